//! The `rosethread` binary: reads the settings, serves calls, and drains on SIGTERM or SIGINT.
//!
//! With `--platform`, it serves calls through routes on the users' platform. Otherwise, it runs a
//! `rosethread_node` process with the HTTP adapters of `rosethread_platform`.

mod args;
mod logging;

use std::{
    fmt::Display,
    io::{self, Write},
    process::ExitCode,
};

use rosethread_adapter::{AdapterProcess, parse_settings};
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
        Action::Help => print_output(&args::usage()),
        Action::Version => print_output(&format!("rosethread {}\n", env!("CARGO_PKG_VERSION"))),
        Action::Check => check_settings(&args),
        Action::Serve if args.platform => match load_settings(&args, parse_settings) {
            Ok(settings) => serve_platform(settings, &args),
            Err(error) => fail(&error),
        },
        Action::Serve => match load_settings(&args, Settings::parse) {
            Ok(settings) => serve_node(settings, &args),
            Err(error) => fail(&error),
        },
    }
}

fn print_output(text: &str) -> ExitCode {
    match io::stdout().write_all(text.as_bytes()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

/// Prints an error to standard error and returns the exit code for a failure.
fn fail(text: &dyn Display) -> ExitCode {
    // There is no other way to report the error if standard error cannot be written to.
    let _ = writeln!(io::stderr(), "rosethread: {text}");
    ExitCode::FAILURE
}

fn check_settings(args: &Args) -> ExitCode {
    let result = if args.platform {
        load_settings(args, parse_settings).map(drop)
    } else {
        load_settings(args, Settings::parse).map(drop)
    };
    match result {
        Ok(()) => print_output("the settings are valid\n"),
        Err(error) => fail(&error),
    }
}

/// Reads and validates the settings file; an error starts with the path of the file.
fn load_settings<T>(
    args: &Args,
    parse: impl FnOnce(&str) -> Result<T, Problems>,
) -> Result<T, String> {
    let path = args.settings.as_deref().ok_or("--settings FILE is missing")?;
    let text = std::fs::read_to_string(path).map_err(|it| format!("{path}: {it}"))?;
    parse(&text).map_err(|it| format!("{path}:\n{it}"))
}

fn serve_node(settings: Settings, args: &Args) -> ExitCode {
    let logger = logging::create_logger(args.level, args.format);
    let workers = std::thread::available_parallelism().map_or(1, usize::from);
    let process = match NodeProcess::start(settings, logger.clone(), workers) {
        Ok(process) => process,
        Err(error) => return fail(&error),
    };
    let reload =
        || info!(logger, "settings: a reload has no effect; changes apply after a restart");
    let stop = async {
        Signals::new()?.run_until_stop(logger.clone(), reload).await;
        io::Result::Ok(())
    };
    if let Err(error) = process.runtime().block_on(stop) {
        return fail(&format!("cannot install the signal handlers: {error}"));
    }
    process.drain();
    ExitCode::SUCCESS
}

fn serve_platform(settings: EntrySettings, args: &Args) -> ExitCode {
    let logger = logging::create_logger(args.level, args.format);
    let logger = logger.new(o!("log_node" => settings.node.to_string()));
    let process = match AdapterProcess::start(settings, logger.clone()) {
        Ok(process) => process,
        Err(error) => return fail(&error),
    };
    let entry = process.entry();
    process.run_until(async {
        match Signals::new() {
            Ok(signals) => {
                signals.run_until_stop(logger, || reload_settings(&entry, args)).await;
            }
            Err(error) => {
                error!(logger, "process: cannot install the signal handlers"; "error" => %error);
            }
        }
    });
    ExitCode::SUCCESS
}

/// Reloads the settings file; if it is invalid, logs the error and keeps the current settings.
fn reload_settings(entry: &Entry, args: &Args) {
    match load_settings(args, parse_settings) {
        Ok(settings) => entry.reload(&settings),
        Err(error) => {
            error!(entry.logger(), "settings: reload failed; keeping the current settings";
                "error" => error);
        }
    }
}

/// The signals that the process handles.
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

    /// Calls `reload` on each SIGHUP, and returns on the first SIGTERM or SIGINT.
    ///
    /// Later signals are ignored, so that none of them ends the process and cuts off streams while
    /// it drains.
    async fn run_until_stop(mut self, logger: Logger, reload: impl Fn()) {
        loop {
            tokio::select! {
                biased;
                _ = self.terminate.recv() => break,
                _ = self.interrupt.recv() => break,
                _ = self.reload.recv() => {
                    info!(logger, "process: received a signal to reload");
                    reload();
                }
            }
        }
        info!(logger, "process: received a signal to stop");
        tokio::spawn(async move {
            // Keeps the handlers until the drain has ended, so that further signals are ignored.
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
