//! The wall clock, on top of the runtime's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// A source of wall-clock time that advances with the runtime's clock.
///
/// It is read from the system once, at the start, so it never jumps, and on a paused runtime it is
/// fully determined by its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_ms: u64,
    start: Instant,
}

impl Clock {
    /// Returns a clock that starts at the system's time.
    pub fn system() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock::starting_at(since_epoch.as_millis() as u64)
    }

    /// Returns a clock that starts at `start_ms` milliseconds since the Unix epoch.
    pub fn starting_at(start_ms: u64) -> Clock {
        Clock { start_ms, start: Instant::now() }
    }

    /// Returns the time in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        self.start_ms + self.start.elapsed().as_millis() as u64
    }
}
