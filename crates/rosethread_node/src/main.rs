//! The `rosethread` node process: reads its settings, serves, and drains when told to stop.

mod args;
mod logging;

use std::{
    io::{self, Write},
    process::ExitCode,
};

use rosethread_config::Settings;
use rosethread_node::NodeProcess;
use slog::{Logger, info};
use tokio::signal::unix::{SignalKind, signal};

use crate::args::{Action, Args};

fn main() -> ExitCode {
    let args = match Args::parse(std::env::args().skip(1)) {
        Ok(args) => args,
        Err(error) => return fail(&error),
    };
    match args.action {
        Action::Help => print(&args::usage()),
        Action::Version => print(&format!("rosethread {}\n", env!("CARGO_PKG_VERSION"))),
        Action::Check => match load(&args) {
            Ok(_) => print("the settings are valid\n"),
            Err(error) => fail(&error),
        },
        Action::Serve => match load(&args) {
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

fn fail(text: &str) -> ExitCode {
    // Nothing is left to do if the error cannot be shown.
    let _ = writeln!(io::stderr(), "rosethread: {text}");
    ExitCode::FAILURE
}

fn load(args: &Args) -> Result<Settings, String> {
    let path = args.settings.as_deref().ok_or("--settings FILE is missing")?;
    let text = std::fs::read_to_string(path).map_err(|it| format!("{path}: {it}"))?;
    Settings::parse(&text).map_err(|it| format!("{path}:\n{it}"))
}

fn serve(settings: Settings, args: &Args) -> ExitCode {
    let logger = logging::logger(args.level, args.format);
    let workers = std::thread::available_parallelism().map_or(1, usize::from);
    let process = match NodeProcess::start(settings, logger.clone(), workers) {
        Ok(process) => process,
        Err(error) => return fail(&error.to_string()),
    };
    if let Err(error) = process.runtime().block_on(wait_for_stop(&logger)) {
        return fail(&format!("signals cannot be received: {error}"));
    }
    process.drain();
    ExitCode::SUCCESS
}

/// Waits for the first signal to stop; later ones change nothing, so that no stream is cut.
async fn wait_for_stop(logger: &Logger) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        biased;
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    info!(logger, "node: told to stop");
    tokio::spawn(async move {
        // The handlers stay in place until the drain ends, and swallow further signals.
        loop {
            tokio::select! {
                biased;
                _ = terminate.recv() => (),
                _ = interrupt.recv() => (),
            }
        }
    });
    Ok(())
}
