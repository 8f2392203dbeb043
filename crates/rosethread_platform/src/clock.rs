//! A wall clock that advances with the clock of the async runtime.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// A source of wall-clock time that advances with Tokio's clock.
///
/// The system clock is read only once, when the clock is created. So the time never jumps, and on a
/// runtime with a paused clock it depends only on the start time and is deterministic.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_ms: u64,
    start: Instant,
}

impl Clock {
    /// Returns a clock that starts at the current system time.
    pub fn system() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock::starting_at(since_epoch.as_millis() as u64)
    }

    /// Returns a clock that starts at `start_ms` milliseconds since the Unix epoch.
    pub fn starting_at(start_ms: u64) -> Clock {
        Clock { start_ms, start: Instant::now() }
    }

    /// Returns the current time in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        self.start_ms + self.start.elapsed().as_millis() as u64
    }
}
