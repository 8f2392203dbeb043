//! The logger of the process, which writes to standard output.

use std::{io, sync::Mutex};

use slog::{Drain, Level, Logger, o};

/// The maximum number of messages that wait to be written; more are dropped and counted.
const MAX_BUFFERED_MESSAGES: usize = 2_048;

/// The format of log messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogFormat {
    /// Text for people.
    Terminal,
    /// One JSON object per line, for log processors.
    Json,
}

/// Returns a logger for messages of at least `level`.
///
/// A separate thread writes the messages. If it falls behind, messages are dropped and their number
/// is logged, so that a slow terminal does not delay calls.
pub(crate) fn create_logger(level: Level, format: LogFormat) -> Logger {
    match format {
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stdout().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            build_logger(level, drain)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(io::stdout()).map(Mutex::new).fuse();
            build_logger(level, drain)
        }
    }
}

fn build_logger<D>(level: Level, drain: D) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(MAX_BUFFERED_MESSAGES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .filter_level(level)
        .fuse();
    Logger::root(drain, o!())
}
