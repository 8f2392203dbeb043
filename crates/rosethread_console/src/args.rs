//! The command line of the console.

use getopts::Options;

use crate::settings::ConsoleSettings;

/// The command to run, with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Serve the forms over HTTP.
    Serve,
    /// Validate a document file.
    Check { file: String },
    /// Publish a document file.
    Publish { file: String },
    /// Show the document in force and which nodes do not have it yet.
    Show,
    /// Show the differences between two document files.
    Diff { old: String, new: String },
    /// Report the burn rates of the service-level objectives.
    Report,
    /// Explain what happened to a request or program, from log files.
    Explain { id: String, files: Vec<String> },
    /// Count how calls ended, by second, from log files.
    Losses { files: Vec<String> },
    /// Print the version.
    Version,
    /// Print the help text.
    Help,
}

/// The output format of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportFormat {
    /// Plain text for people.
    Text,
    /// JSON for programs.
    Json,
    /// A self-contained HTML page.
    Html,
}

/// The parsed command line.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    pub(crate) action: Action,
    pub(crate) format: ReportFormat,
    settings: Option<String>,
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "the console's settings file, in TOML", "FILE");
    options.optopt(
        "f",
        "format",
        "the output format of a report: text, json or html (default: text)",
        "FORMAT",
    );
    options.optflag("V", "version", "print the version and exit");
    options.optflag("h", "help", "print this text and exit");
    options
}

/// Returns the text for `--help`.
pub(crate) fn usage() -> String {
    let brief = "Usage: rosethread-console [options] COMMAND

Commands:
    serve           serve the forms over HTTP
    check FILE      validate a document
    publish FILE    publish a document as the successor of the revision in force
    show            show the document in force, and which nodes do not have it
    diff OLD NEW    show the differences between two documents
    report          report the burn rates of the service-level objectives
    explain ID FILE...
                    explain what happened to a request or program, from nodes' logs
    losses FILE...  count how calls ended, by second and cause, from nodes' logs";
    options().usage(brief)
}

impl Args {
    /// Parses the command-line arguments, without the executable's name.
    pub(crate) fn parse(arguments: impl Iterator<Item = String>) -> Result<Args, String> {
        let matches = options().parse(arguments).map_err(|it| it.to_string())?;
        let free: Vec<&str> = matches.free.iter().map(String::as_str).collect();
        let action = if matches.opt_present("help") {
            Action::Help
        } else if matches.opt_present("version") {
            Action::Version
        } else {
            parse_action(&free)?
        };
        let format = match matches.opt_str("format").as_deref() {
            None | Some("text") => ReportFormat::Text,
            Some("json") => ReportFormat::Json,
            Some("html") => ReportFormat::Html,
            Some(other) => return Err(format!("--format = {other}: must be text, json or html")),
        };
        Ok(Args { action, format, settings: matches.opt_str("settings") })
    }

    /// Reads the settings file named by `--settings`.
    pub(crate) fn settings(&self) -> Result<ConsoleSettings, String> {
        let path = self.settings.as_deref().ok_or("--settings FILE is missing")?;
        let text = std::fs::read_to_string(path).map_err(|it| format!("{path}: {it}"))?;
        ConsoleSettings::parse(&text).map_err(|it| format!("{path}: {it}"))
    }
}

fn parse_action(free: &[&str]) -> Result<Action, String> {
    let owned = |it: &&str| (*it).to_owned();
    match free {
        ["serve"] => Ok(Action::Serve),
        ["check", file] => Ok(Action::Check { file: owned(file) }),
        ["publish", file] => Ok(Action::Publish { file: owned(file) }),
        ["show"] => Ok(Action::Show),
        ["diff", old, new] => Ok(Action::Diff { old: owned(old), new: owned(new) }),
        ["report"] => Ok(Action::Report),
        ["explain", id, files @ ..] if !files.is_empty() => {
            Ok(Action::Explain { id: owned(id), files: files.iter().map(owned).collect() })
        }
        ["losses", files @ ..] if !files.is_empty() => {
            Ok(Action::Losses { files: files.iter().map(owned).collect() })
        }
        [] => Err("no command; see --help".to_owned()),
        [other, ..] => Err(format!("{other}: unknown command or wrong arguments; see --help")),
    }
}
