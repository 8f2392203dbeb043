//! Explains what happened to one request or program, from the logs of several nodes.
//!
//! The explanation lists the decisions in order and what the deciding nodes knew at that time, and
//! ends with one sentence on the cause. See `docs/OPERATIONS.md`.

mod cause;
#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, fmt::Write};

use serde::Serialize;
use serde_json::{Map, Value};

/// The maximum number of node states in an explanation.
const MAX_STATES: usize = 12;

/// One line of a node's log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct LogLine {
    /// The time stamp, in the log's own text.
    pub(crate) at: String,
    /// The node that wrote the line, or the log's file name if the line does not name a node.
    pub(crate) node: String,
    /// The message.
    pub(crate) message: String,
    /// All other fields of the line.
    pub(crate) fields: BTreeMap<String, Value>,
}

impl LogLine {
    /// Returns a text field, or an empty text.
    pub(crate) fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns an integer field, or zero.
    pub(crate) fn number(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or_default()
    }
}

/// What happened to a request or program, and why.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Explanation {
    /// The identifier of the request or program.
    pub(crate) id: String,
    /// The lines that name it, ordered by time.
    pub(crate) decisions: Vec<LogLine>,
    /// What the deciding nodes knew then about the store, routes, shards and targets.
    #[serde(rename = "beliefs")]
    pub(crate) states: Vec<LogLine>,
    /// One sentence on the cause of the outcome.
    pub(crate) cause: String,
}

/// Explains a request or program from log files, as text or JSON.
pub(crate) fn explain(id: &str, files: &[String], is_json: bool) -> Result<String, String> {
    let mut lines = Vec::new();
    for file in files {
        let bytes = std::fs::read(file).map_err(|it| format!("{file}: {it}"))?;
        lines.extend(parse_log(file, &String::from_utf8_lossy(&bytes)));
    }
    let explanation = build_explanation(id, lines)
        .ok_or_else(|| format!("{id}: no line of these logs mentions this identifier"))?;
    if is_json {
        let text = serde_json::to_string_pretty(&explanation).map_err(|it| it.to_string())?;
        return Ok(text + "\n");
    }
    Ok(render_text(&explanation))
}

/// Parses a log with one JSON object a line, and ignores any prefix before the object.
pub(crate) fn parse_log(file: &str, text: &str) -> Vec<LogLine> {
    let object = |line: &str| {
        let json = &line[line.find('{')?..];
        serde_json::from_str::<Map<String, Value>>(json).ok()
    };
    text.lines().filter_map(object).map(|it| log_line(file, it)).collect()
}

fn log_line(file: &str, mut object: Map<String, Value>) -> LogLine {
    let mut take = |name: &str| match object.remove(name) {
        Some(Value::String(text)) => Some(text),
        _ => None,
    };
    let (at, message) = (take("ts"), take("msg"));
    let node = take("log_node").unwrap_or_else(|| file.to_owned());
    LogLine {
        at: at.unwrap_or_default(),
        node,
        message: message.unwrap_or_default(),
        fields: object.into_iter().collect(),
    }
}

/// Returns whether a program in a log is `id`, as its caller names it, of some organisation.
fn is_scoped(text: &str, id: &str) -> bool {
    text.split_once('/').is_some_and(|(_, unscoped)| unscoped == id)
}

/// Explains `id`, or returns `None` if no line names it as a request or program.
pub(crate) fn build_explanation(id: &str, mut lines: Vec<LogLine>) -> Option<Explanation> {
    lines.sort_by(|a, b| a.at.cmp(&b.at));
    let lines_with = |field: &str| -> Vec<LogLine> {
        lines.iter().filter(|it| it.text(field) == id).cloned().collect()
    };
    let mut decisions = lines_with("id");
    if decisions.is_empty() {
        decisions = lines_with("program");
    }
    if decisions.is_empty() {
        decisions = lines.iter().filter(|it| is_scoped(it.text("program"), id)).cloned().collect();
    }
    let last = decisions.last()?.clone();
    let states = find_states(&lines, &decisions, &last.at);
    let cause = cause::describe_cause(&decisions, &states);
    Some(Explanation { id: id.to_owned(), decisions, states, cause })
}

/// Returns, for each involved node and subject, the last line on its state up to the time `end`.
///
/// A node is involved if it wrote one of the decisions or a decision's detail names it.
fn find_states(lines: &[LogLine], decisions: &[LogLine], end: &str) -> Vec<LogLine> {
    let mut newest: BTreeMap<(String, String), LogLine> = BTreeMap::new();
    let details: String = decisions.iter().map(|it| it.text("detail")).collect();
    let is_involved =
        |node: &str| details.contains(node) || decisions.iter().any(|d| d.node == node);
    let before = lines.iter().filter(|it| it.at.as_str() <= end && is_involved(&it.node));
    for it in before {
        let subject = match it.message.split(':').next() {
            Some("store") => it.text("part").to_owned(),
            Some("routes") => "routes".to_owned(),
            Some("shards") => format!("shard {}", it.number("shard")),
            Some("targets") => it.text("target").to_owned(),
            _ => continue,
        };
        if is_related(it, decisions, &details) {
            newest.insert((it.node.clone(), subject), it.clone());
        }
    }
    let mut states: Vec<LogLine> = newest.into_values().collect();
    states.sort_by(|a, b| a.at.cmp(&b.at));
    let extra = states.len().saturating_sub(MAX_STATES);
    states.split_off(extra)
}

/// Returns whether a state bears on the decisions: shards and targets only if they are named there.
fn is_related(state: &LogLine, decisions: &[LogLine], details: &str) -> bool {
    match state.message.split(':').next() {
        Some("shards") => details.contains(&format!("shard {} ", state.number("shard"))),
        Some("targets") => {
            let target = state.text("target");
            details.contains(target) || decisions.iter().any(|it| it.text("target") == target)
        }
        _ => true,
    }
}

fn render_text(explanation: &Explanation) -> String {
    let mut text = String::new();
    let mut write = |title: &str, lines: &[LogLine]| {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{title}");
        for it in lines {
            let fields = it.fields.iter().filter(|(name, _)| *name != "level");
            let fields: Vec<String> = fields.map(|(name, it)| format!("{name}={it}")).collect();
            let _ = writeln!(text, "  {} {} {} {}", it.at, it.node, it.message, fields.join(" "));
        }
    };
    write("Decisions in order of time:", &explanation.decisions);
    write("State known to the nodes at that time:", &explanation.states);
    text + &format!("Cause: {}\n", explanation.cause)
}
