//! The `rosethread` process: reads its settings, serves, and drains when told to stop.
//!
//! It runs on the users' platform with `--platform`, and on its own interfaces otherwise.

mod args;
mod logging;

use std::{
    fmt::Display,
    io::{self, Write},
    process::ExitCode,
};

use rosethread_adapter::AdapterProcess;
use rosethread_config::{Problems, Settings};
use rosethread_entry::{Entry, EntrySettings};
use rosethread_node::NodeProcess;
use slog::{Logger, error, info, o};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::args::{Action, Args};

fn main() -> ExitCode {
    let args = match Args::parse(std::env::args().skip(1)) {
        Ok(args) => args,
        Err(error) => return fail(&error),
    };
    match args.action {
        Action::Help => print(&args::usage()),
        Action::Version => print(&format!("rosethread {}\n", env!("CARGO_PKG_VERSION"))),
        Action::Check => check(&args),
        Action::Serve if args.platform => match load(&args, EntrySettings::parse) {
            Ok(settings) => serve_platform(settings, &args),
            Err(error) => fail(&error),
        },
        Action::Serve => match load(&args, Settings::parse) {
            Ok(settings) => serve(settings, &args),
            Err(error) => fail(&error),
        },
    }
}

fn print(text: &str) -> ExitCode {
    match io::stdout().write_all(text.as_bytes()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

fn fail(text: &dyn Display) -> ExitCode {
    // Nothing is left to do if the error cannot be shown.
    let _ = writeln!(io::stderr(), "rosethread: {text}");
    ExitCode::FAILURE
}

fn check(args: &Args) -> ExitCode {
    let result = if args.platform {
        load(args, EntrySettings::parse).map(drop)
    } else {
        load(args, Settings::parse).map(drop)
    };
    match result {
        Ok(()) => print("the settings are valid\n"),
        Err(error) => fail(&error),
    }
}

fn load<T>(args: &Args, parse: impl FnOnce(&str) -> Result<T, Problems>) -> Result<T, String> {
    let path = args.settings.as_deref().ok_or("--settings FILE is missing")?;
    let text = std::fs::read_to_string(path).map_err(|it| format!("{path}: {it}"))?;
    parse(&text).map_err(|it| format!("{path}:\n{it}"))
}

fn serve(settings: Settings, args: &Args) -> ExitCode {
    let logger = logging::logger(args.level, args.format);
    let workers = std::thread::available_parallelism().map_or(1, usize::from);
    let process = match NodeProcess::start(settings, logger.clone(), workers) {
        Ok(process) => process,
        Err(error) => return fail(&error),
    };
    let reload = || info!(logger, "settings: read at the next start");
    let stop = async {
        Signals::new()?.until_stop(logger.clone(), reload).await;
        io::Result::Ok(())
    };
    if let Err(error) = process.runtime().block_on(stop) {
        return fail(&format!("signals cannot be received: {error}"));
    }
    process.drain();
    ExitCode::SUCCESS
}

fn serve_platform(settings: EntrySettings, args: &Args) -> ExitCode {
    let logger = logging::logger(args.level, args.format);
    let logger = logger.new(o!("log_node" => settings.node.to_string()));
    let process = match AdapterProcess::start(settings, logger.clone()) {
        Ok(process) => process,
        Err(error) => return fail(&error),
    };
    let entry = process.entry();
    process.run_until(async {
        match Signals::new() {
            Ok(signals) => {
                signals.until_stop(logger, || reload(&entry, args)).await;
            }
            Err(error) => {
                error!(logger, "process: signals cannot be received"; "error" => %error);
            }
        }
    });
    ExitCode::SUCCESS
}

/// Reads the settings again; where they are bad, the process goes on with those that it has.
fn reload(entry: &Entry, args: &Args) {
    match load(args, EntrySettings::parse) {
        Ok(settings) => entry.reload(&settings),
        Err(error) => {
            error!(entry.logger(), "settings: not reloaded, the former ones stay";
                "error" => error);
        }
    }
}

/// The signals that the process listens to.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    fn new() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Reloads at each signal to do so, until the first signal to stop; later ones change nothing,
    /// so that no stream is cut.
    async fn until_stop(mut self, logger: Logger, reload: impl Fn()) {
        loop {
            tokio::select! {
                biased;
                _ = self.terminate.recv() => break,
                _ = self.interrupt.recv() => break,
                _ = self.reload.recv() => {
                    info!(logger, "process: told to reload");
                    reload();
                }
            }
        }
        info!(logger, "process: told to stop");
        tokio::spawn(async move {
            // The handlers stay in place until the drain ends, and swallow further signals.
            loop {
                tokio::select! {
                    biased;
                    _ = self.terminate.recv() => (),
                    _ = self.interrupt.recv() => (),
                    _ = self.reload.recv() => (),
                }
            }
        });
    }
}
