//! The command line of the `rosethread` binary.

use getopts::Options;
use slog::Level;

use crate::logging::LogFormat;

/// The environment variable that holds the path of the settings file, for `--platform` only.
const SETTINGS_ENV: &str = "ROSETHREAD_SETTINGS";

/// The action to take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Serve calls until a signal to stop.
    Serve,
    /// Validate the settings and exit.
    Check,
    /// Print the version and exit.
    Version,
    /// Print the usage and exit.
    Help,
}

/// The parsed command line.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    pub(crate) action: Action,
    /// The path of the settings file, if one is given.
    pub(crate) settings: Option<String>,
    /// Whether to serve through routes on the users' platform.
    pub(crate) platform: bool,
    pub(crate) level: Level,
    pub(crate) format: LogFormat,
}

fn options() -> Options {
    let mut options = Options::new();
    let usage = "the settings file, in TOML (with --platform: $ROSETHREAD_SETTINGS)";
    options.optopt("s", "settings", usage, "FILE");
    options.optflag("p", "platform", "serve calls through routes, on the users' platform");
    options.optflag("c", "check", "check the settings and exit");
    options.optopt("l", "log-level", "error, warning, info or debug (info)", "LEVEL");
    options.optopt("f", "log-format", "terminal or json (terminal)", "FORMAT");
    options.optflag("V", "version", "print the version and exit");
    options.optflag("h", "help", "print this text and exit");
    options
}

/// Returns the text for `--help`.
pub(crate) fn usage() -> String {
    options().usage("Usage: rosethread --settings FILE [options]")
}

impl Args {
    /// Parses the arguments that follow the name of the binary.
    pub(crate) fn parse(arguments: impl Iterator<Item = String>) -> Result<Args, String> {
        let matches = options().parse(arguments).map_err(|it| it.to_string())?;
        if let Some(extra) = matches.free.first() {
            return Err(format!("{extra}: unexpected argument; see --help"));
        }
        let action = if matches.opt_present("help") {
            Action::Help
        } else if matches.opt_present("version") {
            Action::Version
        } else if matches.opt_present("check") {
            Action::Check
        } else {
            Action::Serve
        };
        let level = match matches.opt_str("log-level").as_deref() {
            None | Some("info") => Level::Info,
            Some("error") => Level::Error,
            Some("warning") => Level::Warning,
            Some("debug") => Level::Debug,
            Some(other) => {
                return Err(format!(
                    "--log-level = {other}: must be error, warning, info or debug"
                ));
            }
        };
        let format = match matches.opt_str("log-format").as_deref() {
            None | Some("terminal") => LogFormat::Terminal,
            Some("json") => LogFormat::Json,
            Some(other) => {
                return Err(format!("--log-format = {other}: must be terminal or json"));
            }
        };
        let platform = matches.opt_present("platform");
        let from_environment = || std::env::var(SETTINGS_ENV).ok().filter(|_| platform);
        let settings = matches.opt_str("settings").or_else(from_environment);
        Ok(Args { action, settings, platform, level, format })
    }
}
