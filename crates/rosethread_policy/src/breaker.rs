//! Circuit-breaking of targets that fail or have become slow.

use std::time::Duration;

/// When a breaker opens and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BreakerConfig {
    /// Failures in a row that open it.
    pub failure_threshold: u32,
    /// The shortest time that it stays open; it doubles with each failed trial.
    pub min_open: Duration,
    /// The longest time that it stays open.
    pub max_open: Duration,
}

impl Default for BreakerConfig {
    fn default() -> BreakerConfig {
        BreakerConfig {
            failure_threshold: 3,
            min_open: Duration::from_millis(500),
            max_open: Duration::from_secs(20),
        }
    }
}

/// The breaker of one target; time is the duration since the node's start.
///
/// After the open time one call is let through as a trial, and its result decides.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CircuitBreaker {
    failures: u32,
    trips: u32,
    open_until: Option<Duration>,
    in_trial: bool,
}

impl CircuitBreaker {
    /// Tells whether calls may go to the target at `now`.
    pub fn is_open(&self, now: Duration) -> bool {
        match self.open_until {
            Some(until) => now < until || self.in_trial,
            None => false,
        }
    }

    /// Takes note that a call is sent.
    pub fn record_start(&mut self) {
        self.in_trial = self.open_until.is_some();
    }

    /// Takes note of a success.
    pub fn record_success(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// Takes note that a call ended without telling anything about the target.
    pub fn record_inconclusive(&mut self) {
        self.in_trial = false;
    }

    /// Takes note of a failure.
    pub fn record_failure(&mut self, now: Duration, config: BreakerConfig) {
        self.failures += 1;
        let is_trial = std::mem::take(&mut self.in_trial);
        if is_trial || config.failure_threshold <= self.failures {
            let factor = 1 << self.trips.min(16);
            let open = config.min_open.saturating_mul(factor).min(config.max_open);
            self.open_until = Some(now + open);
            self.trips += 1;
            self.failures = 0;
        }
    }
}
