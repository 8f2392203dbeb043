//! The differences between two documents, field by field.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;

use crate::Document;

/// A field that was added, removed or changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The path of the field; list entries appear under their names, for example
    /// `members.caledonian.share`.
    pub path: String,
    /// The old value as TOML, or `None` if the field was added.
    pub old: Option<String>,
    /// The new value as TOML, or `None` if the field was removed.
    pub new: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "~ {}: {old} -> {new}", self.path),
            (None, Some(new)) => write!(f, "+ {}: {new}", self.path),
            (Some(old), None) => write!(f, "- {}: {old}", self.path),
            (None, None) => write!(f, "  {}", self.path),
        }
    }
}

/// Returns the differences from `old` to `new`, ordered by path.
pub fn diff(old: &Document, new: &Document) -> Vec<Change> {
    let old = flatten(old);
    let new = flatten(new);
    let mut paths: Vec<&String> = old.keys().chain(new.keys()).collect();
    paths.sort();
    paths.dedup();
    let changes = paths.into_iter().filter(|it| old.get(*it) != new.get(*it));
    changes
        .map(|it| Change { path: it.clone(), old: old.get(it).cloned(), new: new.get(it).cloned() })
        .collect()
}

/// Returns the fields of a document as TOML values, by path.
fn flatten(document: &Document) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    fields.insert("policy".to_owned(), toml_text(&document.policy));
    for it in &document.members {
        add_fields(&mut fields, &format!("members.{}", it.name), it);
    }
    for it in &document.targets {
        add_fields(&mut fields, &format!("targets.{}", it.name), it);
    }
    for it in &document.classes {
        add_fields(&mut fields, &format!("classes.{}", it.name), it);
    }
    for it in &document.objectives {
        add_fields(&mut fields, &format!("objectives.{}", it.name), it);
    }
    fields
}

fn toml_text<T>(value: &T) -> String
where
    T: Serialize,
{
    toml::Value::try_from(value).map(|it| it.to_string()).unwrap_or_default()
}

fn add_fields<T>(fields: &mut BTreeMap<String, String>, path: &str, entry: &T)
where
    T: Serialize,
{
    if let Ok(toml::Value::Table(table)) = toml::Value::try_from(entry) {
        for (name, value) in table {
            fields.insert(format!("{path}.{name}"), value.to_string());
        }
    }
}
