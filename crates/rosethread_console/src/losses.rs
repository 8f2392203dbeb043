//! Counts how calls ended, by second and cause, from the logs of all nodes.
//!
//! The counts show what limits a loaded system: how many calls were refused, failed or interrupted
//! and why, and how many prompt tokens had to be processed again because programs moved away from
//! their caches. See `docs/design/load.md`.

#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, fmt::Write};

use serde::Serialize;

use crate::explain::{LogLine, parse_log};

/// The length of the prefix of a time stamp that identifies its second.
const SECOND_LEN: usize = "2026-01-01T00:00:00".len();

/// Counts of the calls that ended in one second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct SecondSummary {
    /// Calls that a target answered.
    pub(crate) answered: u64,
    /// Answered turns that ran on another target than the one that had their prompt in its cache.
    pub(crate) moved: u64,
    /// Estimated prompt tokens that the targets did not have in their caches.
    pub(crate) to_read: u64,
    /// Calls whose callers disconnected.
    pub(crate) left: u64,
    /// Calls whose streams were interrupted.
    pub(crate) cut: u64,
    /// Calls that were refused or failed, by the reason given in the logs.
    pub(crate) lost: BTreeMap<String, u64>,
}

impl SecondSummary {
    fn count_call(&mut self, line: &LogLine) {
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

/// Summarises log files by second, as text or JSON.
pub(crate) fn losses(files: &[String], is_json: bool) -> Result<String, String> {
    let mut seconds = BTreeMap::new();
    for file in files {
        let bytes = std::fs::read(file).map_err(|it| format!("{file}: {it}"))?;
        count_calls(&mut seconds, &parse_log(file, &String::from_utf8_lossy(&bytes)));
    }
    if seconds.is_empty() {
        return Err("no line of these logs reports the end of a call".to_owned());
    }
    if is_json {
        let text = serde_json::to_string_pretty(&seconds).map_err(|it| it.to_string())?;
        return Ok(text + "\n");
    }
    Ok(render_text(&seconds))
}

/// Adds the ends of calls among `lines` to the counts of their seconds.
pub(crate) fn count_calls(seconds: &mut BTreeMap<String, SecondSummary>, lines: &[LogLine]) {
    const ENDS: [&str; 3] = ["call: ended", "call: refused", "call: caller left"];
    let is_end = |it: &&LogLine| ENDS.contains(&it.message.as_str());
    for line in lines.iter().filter(is_end) {
        let second = line.at.get(..SECOND_LEN).unwrap_or(&line.at);
        seconds.entry(second.to_owned()).or_default().count_call(line);
    }
}

fn render_text(seconds: &BTreeMap<String, SecondSummary>) -> String {
    let mut text = format!(
        "{:19} {:>8} {:>6} {:>9} {:>6} {:>5}  lost\n",
        "second", "answered", "moved", "to read", "left", "cut"
    );
    for (second, it) in seconds {
        let lost: Vec<String> =
            it.lost.iter().map(|(reason, count)| format!("{reason} {count}")).collect();
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
