//! The pace of one host's calls to a log that fails: the load of many hosts, each with calls that wait for
//! the same log and try again, which would keep a log that has come back from serving any of them.

use std::time::Duration;

/// Failures in a row from which calls are held back; fewer say nothing of the log as a whole.
const MIN_FAILURES: u32 = 3;

/// The full time between two calls after the first such failure.
const BASE_PAUSE: Duration = Duration::from_millis(60);

/// The upper limit of that time: callers who wait for the log are to notice its return soon.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Lets one call at a time probe a log that fails, and all calls through as soon as one has succeeded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallGate {
    /// The calls that have failed since the last one that succeeded.
    failures: u32,
    /// When the next call may probe the log.
    next_probe: Duration,
}

impl CallGate {
    /// Returns whether a call may be sent at `now`, or else the time until the next one may be.
    ///
    /// `jitter`, a random number between 0 and 1, spreads the probes of many hosts.
    pub fn admit(&mut self, now: Duration, jitter: f64) -> Result<(), Duration> {
        let Some(streak) = self.failures.checked_sub(MIN_FAILURES) else {
            return Ok(());
        };
        if now < self.next_probe {
            return Err(self.next_probe - now);
        }
        let full = BASE_PAUSE.saturating_mul(1 << streak.min(8)).min(MAX_PAUSE);
        self.next_probe = now + full.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0));
        Ok(())
    }

    /// Records the result of a call, and returns whether calls are held back or let through from now on.
    pub fn record(&mut self, is_available: bool) -> bool {
        let was_open = self.failures < MIN_FAILURES;
        self.failures = if is_available { 0 } else { self.failures.saturating_add(1) };
        was_open != (self.failures < MIN_FAILURES)
    }
}
