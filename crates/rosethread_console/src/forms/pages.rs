//! Renders the pages of the forms as HTML.

use std::collections::BTreeMap;

use rosethread_config::Change;

use crate::{
    forms::{
        draft::Draft,
        schema::{Field, FieldKind, SECTIONS, Section},
    },
    report::escape,
};

const STYLE: &str = "body{font:15px sans-serif;margin:2em;max-width:60em}\
label{display:block;margin-top:.6em}input,select{width:30em}.error{color:#b00}\
pre{background:#f4f4f4;padding:1em;overflow:auto}form.inline{display:inline}";

fn page(title: &str, body: &str) -> String {
    format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title} - rosethread</title>\
         <style>{STYLE}</style><h1>{title}</h1>{body}</html>",
        title = escape(title)
    )
}

/// Renders a page with a message.
pub(super) fn message(title: &str, text: &str) -> String {
    page(title, &format!("<pre>{}</pre><p><a href=\"/\">Back</a>", escape(text)))
}

/// Renders the login page, with an error after a failed attempt.
pub(super) fn login(error: Option<&str>) -> String {
    let error = error.map(|it| format!("<p class=\"error\">{}", escape(it))).unwrap_or_default();
    let body = format!(
        "{error}<form method=\"post\"><label>Name <input name=\"name\" autofocus></label>\
         <label>Password <input name=\"password\" type=\"password\"></label>\
         <p><button>Log in</button></form>"
    );
    page("Log in", &body)
}

/// Renders the start page: the sections, and the nodes that do not have the draft's base revision.
pub(super) fn overview(operator: &str, draft: &Draft, lag: &[String]) -> String {
    let sections: String = SECTIONS
        .iter()
        .map(|it| {
            let count = draft.entries(it).len();
            format!("<li><a href=\"/section/{}\">{}</a> ({count})", it.name, it.title)
        })
        .collect();
    let lag: String = lag.iter().map(|it| format!("<li>{}", escape(it))).collect();
    let lag = if lag.is_empty() { "<li>every node has this revision".to_owned() } else { lag };
    let body = format!(
        "<p>{} edits from revision {}.<ul>{sections}</ul><p><a href=\"/publish\">Show and publish \
         the document</a><h2>Nodes</h2><ul>{lag}</ul><form method=\"post\" action=\"/reload\">\
         <button>Throw the draft away</button></form>",
        escape(operator),
        draft.base
    );
    page("The document", &body)
}

/// Renders the list of a section's entries.
pub(super) fn section(section: &Section, draft: &Draft) -> String {
    let entries = draft.entries(section);
    let rows: String = entries
        .iter()
        .enumerate()
        .map(|(index, entry)| {
            let name = entry.get("name").map(FieldKind::format).unwrap_or_default();
            format!(
                "<li><a href=\"/section/{s}/{index}\">{}</a> <form class=\"inline\" method=\"post\" \
                 action=\"/section/{s}/{index}/remove\"><button>Remove</button></form>",
                escape(&name),
                s = section.name
            )
        })
        .collect();
    let add = format!("<p><a href=\"/section/{}/{}\">Add</a>", section.name, entries.len());
    page(section.title, &format!("<ul>{rows}</ul>{add}<p><a href=\"/\">Back</a>"))
}

/// Renders the form of one entry, with each error beside its field.
pub(super) fn entry(
    section: &Section,
    index: usize,
    values: &BTreeMap<String, String>,
    errors: &BTreeMap<String, String>,
) -> String {
    let inputs: String = section.fields.iter().map(|it| input(it, values, errors)).collect();
    let entry_error = error("", errors);
    let body = format!(
        "{entry_error}<form method=\"post\" action=\"/section/{s}/{index}\">{inputs}<p>\
         <button>Save to the draft</button></form><p><a href=\"/section/{s}\">Back</a>",
        s = section.name
    );
    page(section.title, &body)
}

fn error(path: &str, errors: &BTreeMap<String, String>) -> String {
    let text = errors.get(path);
    text.map(|it| format!(" <span class=\"error\">{}</span>", escape(it))).unwrap_or_default()
}

fn input(
    field: &Field,
    values: &BTreeMap<String, String>,
    errors: &BTreeMap<String, String>,
) -> String {
    let value = values.get(field.path).map(String::as_str).unwrap_or_default();
    let control = match field.kind {
        FieldKind::Choice(words) => {
            let options = std::iter::once(&"").chain(words).map(|word| {
                let selected = if *word == value { " selected" } else { "" };
                format!("<option{selected}>{word}</option>")
            });
            format!("<select name=\"{}\">{}</select>", field.path, options.collect::<String>())
        }
        _ => format!("<input name=\"{}\" value=\"{}\">", field.path, escape(value)),
    };
    format!("<label>{} {control}{}</label>", field.label, error(field.path, errors))
}

fn change_list(changes: &[Change]) -> String {
    if changes.is_empty() {
        return "<p>Nothing differs.".to_owned();
    }
    let lines: String = changes.iter().map(|it| format!("{it}\n")).collect();
    format!("<pre>{}</pre>", escape(&lines))
}

/// Renders the document and its changes before publication.
pub(super) fn preview(document: &str, changes: &[Change]) -> String {
    let body = format!(
        "<h2>What changes</h2>{}<h2>The whole document</h2><pre>{}</pre><form method=\"post\">\
         <button>Publish</button></form><p><a href=\"/\">Back</a>",
        change_list(changes),
        escape(document)
    );
    page("Publish", &body)
}

/// Renders the page after a rejected publication, usually because another one came first.
pub(super) fn conflict(reason: &str, changes: &[Change]) -> String {
    let body = format!(
        "<p>{}<h2>What differs between the document in force and yours</h2>{}<form method=\"post\" \
         action=\"/reload\"><button>Start again from the document in force</button></form>",
        escape(reason),
        change_list(changes)
    );
    page("Not published", &body)
}
