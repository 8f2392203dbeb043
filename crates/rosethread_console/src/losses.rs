//! What calls lost, by second and cause, from the logs of all nodes.
//!
//! It answers what binds under load: whether calls were refused, failed or cut, for what reason, and
//! how much was read again because programs left their caches. See `docs/design/load.md`.

#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, fmt::Write};

use serde::Serialize;

use crate::explain::{Line, parse};

/// The part of a time stamp that names a second.
const SECOND: usize = "2026-01-01T00:00:00".len();

/// What became of the calls that ended in one second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Second {
    /// Calls that a target answered.
    pub(crate) answered: u64,
    /// Of these, turns that ran elsewhere than where their prompt was cached.
    pub(crate) moved: u64,
    /// Prompt tokens that targets were believed to have to read.
    pub(crate) to_read: u64,
    /// Calls whose callers left.
    pub(crate) left: u64,
    /// Calls whose streams were cut.
    pub(crate) cut: u64,
    /// Calls that were refused or failed, by the reason that the logs give.
    pub(crate) lost: BTreeMap<String, u64>,
}

impl Second {
    fn count(&mut self, line: &Line) {
        match (line.message.as_str(), line.text("outcome")) {
            ("call: refused", _) => {
                *self.lost.entry(line.text("reason").to_owned()).or_default() += 1;
            }
            ("call: ended", "caller-left") | ("call: caller left", _) => self.left += 1,
            ("call: ended", "interrupted") => self.cut += 1,
            ("call: ended", _) => {
                let home = line.text("home");
                self.answered += 1;
                self.moved += u64::from(!home.is_empty() && home != line.text("target"));
                self.to_read += line.number("to_read");
            }
            _ => (),
        }
    }
}

/// Adds up log files, as text or JSON.
pub(crate) fn losses(files: &[String], is_json: bool) -> Result<String, String> {
    let mut seconds = BTreeMap::new();
    for file in files {
        let bytes = std::fs::read(file).map_err(|it| format!("{file}: {it}"))?;
        add_up(&mut seconds, &parse(file, &String::from_utf8_lossy(&bytes)));
    }
    if seconds.is_empty() {
        return Err("no line of these logs tells the end of a call".to_owned());
    }
    if is_json {
        let text = serde_json::to_string_pretty(&seconds).map_err(|it| it.to_string())?;
        return Ok(text + "\n");
    }
    Ok(show(&seconds))
}

/// Counts the ends of calls among `lines` by second.
pub(crate) fn add_up(seconds: &mut BTreeMap<String, Second>, lines: &[Line]) {
    const ENDS: [&str; 3] = ["call: ended", "call: refused", "call: caller left"];
    let is_end = |it: &&Line| ENDS.contains(&it.message.as_str());
    for line in lines.iter().filter(is_end) {
        let second = line.at.get(..SECOND).unwrap_or(&line.at);
        seconds.entry(second.to_owned()).or_default().count(line);
    }
}

fn show(seconds: &BTreeMap<String, Second>) -> String {
    let mut text = format!(
        "{:19} {:>8} {:>6} {:>9} {:>6} {:>5}  lost\n",
        "second", "answered", "moved", "to read", "left", "cut"
    );
    for (second, it) in seconds {
        let lost: Vec<String> =
            it.lost.iter().map(|(why, count)| format!("{why} {count}")).collect();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{second:19} {:>8} {:>6} {:>9} {:>6} {:>5}  {}",
            it.answered,
            it.moved,
            it.to_read,
            it.left,
            it.cut,
            lost.join(", ")
        );
    }
    text
}
