//! Drafts: documents that operators are editing.

use std::{collections::BTreeMap, sync::Arc};

use rosethread_config::{Document, Problems};
use rosethread_types::Revision;
use toml::{Table, Value};

use crate::forms::schema::{FieldKind, Section};

/// A document that an operator is editing, which may be incomplete.
#[derive(Clone, Debug)]
pub(crate) struct Draft {
    /// The revision from which the draft started.
    pub(crate) base: Revision,
    /// The document from which the draft started.
    pub(crate) origin: Arc<Document>,
    table: Table,
}

impl Draft {
    /// Starts a draft from the document in force.
    pub(crate) fn from_document(document: &Arc<Document>, base: Revision) -> Draft {
        let table = Table::try_from(document.as_ref()).unwrap_or_default();
        Draft { base, origin: document.clone(), table }
    }

    /// Parses and validates the draft as a document.
    pub(crate) fn document(&self) -> Result<Document, Problems> {
        Document::parse(&self.table.to_string())
    }

    /// Returns the entries of a section, or none if the draft lacks it.
    pub(crate) fn entries(&self, section: &Section) -> &[Value] {
        let entries = self.table.get(section.name).and_then(Value::as_array);
        entries.map(Vec::as_slice).unwrap_or_default()
    }

    /// Returns the texts of an entry's fields, by their paths; a new entry has none.
    pub(crate) fn values(&self, section: &Section, index: usize) -> BTreeMap<String, String> {
        let Some(entry) = self.entries(section).get(index) else {
            return BTreeMap::new();
        };
        let fields = section.fields.iter().filter_map(|field| {
            let value = field.path.split('.').try_fold(entry, |it, key| it.get(key))?;
            Some((field.path.to_owned(), FieldKind::format(value)))
        });
        fields.collect()
    }

    /// Saves an entry, or returns errors by field path and leaves the draft unchanged.
    ///
    /// An error under an empty path concerns the entry as a whole.
    pub(crate) fn save(
        &mut self,
        section: &Section,
        index: usize,
        values: &BTreeMap<String, String>,
    ) -> BTreeMap<String, String> {
        let mut errors = BTreeMap::new();
        let mut entry = Table::new();
        for field in section.fields {
            let text = values.get(field.path).map(|it| it.trim()).unwrap_or_default();
            if text.is_empty() {
                continue;
            }
            match field.kind.parse(text) {
                Ok(value) => insert_at_path(&mut entry, field.path, value),
                Err(rule) => {
                    errors.insert(field.path.to_owned(), rule);
                }
            }
        }
        if !errors.is_empty() {
            return errors;
        }
        let mut changed = self.clone();
        let index = changed.replace(section, index, Value::Table(entry));
        match changed.document() {
            Ok(_) => *self = changed,
            Err(problems) => errors = errors_by_field(section, index, &problems),
        }
        errors
    }

    /// Removes an entry, if it exists.
    pub(crate) fn remove(&mut self, section: &Section, index: usize) {
        if let Some(Value::Array(entries)) = self.table.get_mut(section.name)
            && index < entries.len()
        {
            entries.remove(index);
        }
    }

    /// Replaces an entry, or appends it if there is none at `index`, and returns its index.
    fn replace(&mut self, section: &Section, index: usize, entry: Value) -> usize {
        let empty = || Value::Array(Vec::new());
        let entries = self.table.entry(section.name).or_insert_with(empty);
        let Value::Array(entries) = entries else {
            return index;
        };
        match entries.get_mut(index) {
            Some(existing) => {
                *existing = entry;
                index
            }
            None => {
                entries.push(entry);
                entries.len() - 1
            }
        }
    }
}

/// Sets the value at a dotted path, creating tables on the way.
fn insert_at_path(table: &mut Table, path: &str, value: Value) {
    match path.split_once('.') {
        None => {
            table.insert(path.to_owned(), value);
        }
        Some((key, rest)) => {
            let inner = table.entry(key).or_insert_with(|| Value::Table(Table::new()));
            if let Value::Table(inner) = inner {
                insert_at_path(inner, rest, value);
            }
        }
    }
}

/// Assigns each problem to the field that it names; others go under an empty path.
fn errors_by_field(
    section: &Section,
    index: usize,
    problems: &Problems,
) -> BTreeMap<String, String> {
    let prefix = format!("{}[{index}].", section.name);
    let mut errors = BTreeMap::new();
    for problem in &problems.0 {
        let path = problem.field.strip_prefix(&prefix).unwrap_or("");
        let is_field = section.fields.iter().any(|it| it.path == path);
        let (path, text) = if is_field {
            (path.to_owned(), problem.rule.clone())
        } else {
            (String::new(), problem.to_string())
        };
        errors.insert(path, text);
    }
    errors
}
