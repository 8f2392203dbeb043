//! Plays one case of the review: `harness CASE FOLDER`. It starts the program as separate processes on loopback
//! addresses, with stand-ins of the store, of servers and of clients, and judges what these have seen.
//!
//! Exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. With TROUBLE=0 there is no
//! disruption.

mod cases;
mod hosts;
mod http;
mod proxy;
mod record;
mod server;
mod store;

use std::{env, fs, path::PathBuf, process::ExitCode};

use record::Record;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// Where a case plays, and whether with its disruption.
pub struct Stage {
    pub has_trouble: bool,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    pub record: Record,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let Some(play) = cases::find(case) else {
        eprintln!("no case {case}");
        return ExitCode::from(2);
    };
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let temporary = env::temp_dir().join(format!("rosethread-review-{}", std::process::id()));
    fs::create_dir_all(&temporary).expect("a temporary folder");
    let has_trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let stage = Stage { has_trouble, folder: temporary.clone(), record: record.clone() };
    record.line(&format!("case {case}, trouble {has_trouble}"));
    let verdict = play(&stage);
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&temporary);
    }
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was BROKEN", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.say(text);
    ExitCode::from(code)
}
