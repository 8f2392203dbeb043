//! `rosethread-console`, the operators' tool to check, compare, edit and publish the document.
//!
//! The forms of `serve` and the commands validate with the same library, `rosethread_config`. A
//! published document is the complete configuration in force; there is no other way to change it.
//! The tool also reports on service-level objectives and analyses nodes' logs.

mod args;
mod commands;
mod explain;
mod forms;
mod losses;
mod report;
mod settings;
mod stream;

use std::{
    io::{self, Write},
    process::ExitCode,
};

use crate::args::{Action, Args, ReportFormat};

fn main() -> ExitCode {
    let args = match Args::parse(std::env::args().skip(1)) {
        Ok(args) => args,
        Err(error) => return fail(&error),
    };
    match run(&args) {
        Ok(text) => print(&text),
        Err(error) => fail(&error),
    }
}

fn run(args: &Args) -> Result<String, String> {
    match &args.action {
        Action::Help => Ok(args::usage()),
        Action::Version => Ok(format!("rosethread-console {}\n", env!("CARGO_PKG_VERSION"))),
        Action::Check { file } => commands::check(file),
        Action::Diff { old, new } => commands::diff(old, new),
        Action::Publish { file } => on_runtime(commands::publish(&args.settings()?, file)),
        Action::Show => on_runtime(commands::show(&args.settings()?)),
        Action::Report => on_runtime(report::report(&args.settings()?, args.format)),
        Action::Explain { id, files } => {
            explain::explain(id, files, args.format == ReportFormat::Json)
        }
        Action::Losses { files } => losses::losses(files, args.format == ReportFormat::Json),
        Action::Serve => on_runtime(forms::serve(args.settings()?)),
    }
}

fn on_runtime<F>(future: F) -> Result<String, String>
where
    F: Future<Output = Result<String, String>>,
{
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.map_err(|it| format!("cannot start the asynchronous runtime: {it}"))?.block_on(future)
}

fn print(text: &str) -> ExitCode {
    match io::stdout().write_all(text.as_bytes()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

fn fail(text: &str) -> ExitCode {
    // An error that cannot be written to standard error has nowhere else to go.
    let _ = writeln!(io::stderr(), "rosethread-console: {text}");
    ExitCode::FAILURE
}
