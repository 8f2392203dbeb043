//! The story of one request or program, from the logs of several nodes.
//!
//! It shows what was decided about it in order, the beliefs that were in force then, and ends with
//! one sentence of cause. See `docs/OPERATIONS.md`.

mod cause;
#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, fmt::Write};

use serde::Serialize;
use serde_json::{Map, Value};

/// The most beliefs that are shown.
const MAX_BELIEFS: usize = 12;

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Line {
    /// When it was written, as the log says it.
    pub(crate) at: String,
    /// The node that wrote it, or the file where the line does not say.
    pub(crate) node: String,
    /// What it says.
    pub(crate) message: String,
    /// Everything else that it says.
    pub(crate) fields: BTreeMap<String, Value>,
}

impl Line {
    /// Returns a field as text.
    pub(crate) fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns a field as a number.
    pub(crate) fn number(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or_default()
    }
}

/// What became of a request or program.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Story {
    /// The identifier that was asked for.
    pub(crate) id: String,
    /// What was decided about it, in order.
    pub(crate) decisions: Vec<Line>,
    /// What the nodes that decided believed then.
    pub(crate) beliefs: Vec<Line>,
    /// One sentence.
    pub(crate) cause: String,
}

/// Explains a request or program from log files, as text or JSON.
pub(crate) fn explain(id: &str, files: &[String], is_json: bool) -> Result<String, String> {
    let mut lines = Vec::new();
    for file in files {
        let bytes = std::fs::read(file).map_err(|it| format!("{file}: {it}"))?;
        lines.extend(parse(file, &String::from_utf8_lossy(&bytes)));
    }
    let story = tell(id, lines).ok_or_else(|| format!("{id}: no line of these logs names it"))?;
    if is_json {
        let text = serde_json::to_string_pretty(&story).map_err(|it| it.to_string())?;
        return Ok(text + "\n");
    }
    Ok(show(&story))
}

/// Reads the JSON objects of a log; what stands before an object on its line is ignored.
pub(crate) fn parse(file: &str, text: &str) -> Vec<Line> {
    let object = |line: &str| {
        let json = &line[line.find('{')?..];
        serde_json::from_str::<Map<String, Value>>(json).ok()
    };
    text.lines().filter_map(object).map(|it| line(file, it)).collect()
}

fn line(file: &str, mut object: Map<String, Value>) -> Line {
    let mut take = |name: &str| match object.remove(name) {
        Some(Value::String(text)) => Some(text),
        _ => None,
    };
    let (at, message) = (take("ts"), take("msg"));
    let node = take("log_node").unwrap_or_else(|| file.to_owned());
    Line {
        at: at.unwrap_or_default(),
        node,
        message: message.unwrap_or_default(),
        fields: object.into_iter().collect(),
    }
}

/// Tells the story of `id`, or nothing if no line names it.
pub(crate) fn tell(id: &str, mut lines: Vec<Line>) -> Option<Story> {
    lines.sort_by(|a, b| a.at.cmp(&b.at));
    let named_by = |field: &str| -> Vec<Line> {
        lines.iter().filter(|it| it.text(field) == id).cloned().collect()
    };
    let mut decisions = named_by("id");
    if decisions.is_empty() {
        decisions = named_by("program");
    }
    let last = decisions.last()?.clone();
    let beliefs = beliefs(&lines, &decisions, &last.at);
    let cause = cause::cause(&decisions, &beliefs);
    Some(Story { id: id.to_owned(), decisions, beliefs, cause })
}

/// Returns the last beliefs of each kind at the nodes that decided, up to `end`.
fn beliefs(lines: &[Line], decisions: &[Line], end: &str) -> Vec<Line> {
    let mut newest: BTreeMap<(String, String), Line> = BTreeMap::new();
    let said: String = decisions.iter().map(|it| it.text("detail")).collect();
    let is_involved = |node: &str| said.contains(node) || decisions.iter().any(|d| d.node == node);
    let before = lines.iter().filter(|it| it.at.as_str() <= end && is_involved(&it.node));
    for it in before {
        let subject = match it.message.split(':').next() {
            Some("store") => it.text("part").to_owned(),
            Some("routes") => "routes".to_owned(),
            Some("shards") => format!("shard {}", it.number("shard")),
            Some("targets") => it.text("target").to_owned(),
            _ => continue,
        };
        if is_relevant(it, decisions, &said) {
            newest.insert((it.node.clone(), subject), it.clone());
        }
    }
    let mut beliefs: Vec<Line> = newest.into_values().collect();
    beliefs.sort_by(|a, b| a.at.cmp(&b.at));
    let extra = beliefs.len().saturating_sub(MAX_BELIEFS);
    beliefs.split_off(extra)
}

/// Tells whether a belief is about something that the decisions name.
fn is_relevant(belief: &Line, decisions: &[Line], said: &str) -> bool {
    match belief.message.split(':').next() {
        Some("shards") => said.contains(&format!("shard {} ", belief.number("shard"))),
        Some("targets") => {
            let target = belief.text("target");
            said.contains(target) || decisions.iter().any(|it| it.text("target") == target)
        }
        _ => true,
    }
}

fn show(story: &Story) -> String {
    let mut text = String::new();
    let mut write = |title: &str, lines: &[Line]| {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{title}");
        for it in lines {
            let fields = it.fields.iter().filter(|(name, _)| *name != "level");
            let fields: Vec<String> = fields.map(|(name, it)| format!("{name}={it}")).collect();
            let _ = writeln!(text, "  {} {} {} {}", it.at, it.node, it.message, fields.join(" "));
        }
    };
    write("What was decided:", &story.decisions);
    write("What was believed then:", &story.beliefs);
    text + &format!("Cause: {}\n", story.cause)
}
