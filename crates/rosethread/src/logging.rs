//! Logs of the node process, on standard output.

use std::{io, sync::Mutex};

use slog::{Drain, Level, Logger, o};

/// Lines that wait to be written before further ones are dropped and counted.
const BUFFERED_LINES: usize = 2_048;

/// The form of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// For people.
    Terminal,
    /// For programs, a JSON object a line.
    Json,
}

/// Returns a logger that writes messages of at least `level`.
///
/// Writing happens on a thread of its own; when that falls behind, messages are dropped and the
/// drop is logged, so a slow terminal never delays traffic.
pub(crate) fn logger(level: Level, format: Format) -> Logger {
    match format {
        Format::Terminal => {
            let decorator = slog_term::TermDecorator::new().stdout().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            build(level, drain)
        }
        Format::Json => {
            let drain = slog_json::Json::default(io::stdout()).map(Mutex::new).fuse();
            build(level, drain)
        }
    }
}

fn build<D>(level: Level, drain: D) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(BUFFERED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .filter_level(level)
        .fuse();
    Logger::root(drain, o!())
}
