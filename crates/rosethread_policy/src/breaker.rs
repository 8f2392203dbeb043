//! Circuit breakers that stop calls to failing targets.

use std::time::Duration;

/// When a circuit breaker opens, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BreakerConfig {
    /// The number of consecutive failures that open the breaker.
    pub failure_threshold: u32,
    /// The time that the breaker stays open at first; it doubles with each failed trial call.
    pub min_open: Duration,
    /// The upper limit of the open time.
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

/// The circuit breaker of one target; times are durations since the node's start.
///
/// After the open time the breaker is half-open: it lets one trial call through, whose result
/// closes it or opens it again.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CircuitBreaker {
    failures: u32,
    times_opened: u32,
    open_until: Option<Duration>,
    trial_running: bool,
}

impl CircuitBreaker {
    /// Returns whether the breaker rejects calls at `now`.
    pub fn is_open(&self, now: Duration) -> bool {
        match self.open_until {
            Some(until) => now < until || self.trial_running,
            None => false,
        }
    }

    /// Records that a call is sent; it is the trial call if the breaker is half-open.
    pub fn record_start(&mut self) {
        self.trial_running = self.open_until.is_some();
    }

    /// Records a success, which closes the breaker.
    pub fn record_success(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// Records that a call ended without evidence about the target, such as a cancelled one.
    pub fn record_inconclusive(&mut self) {
        self.trial_running = false;
    }

    /// Records a failure at `now`; opens the breaker at the threshold or after a failed trial call.
    pub fn record_failure(&mut self, now: Duration, config: BreakerConfig) {
        self.failures += 1;
        let is_trial = std::mem::take(&mut self.trial_running);
        if is_trial || config.failure_threshold <= self.failures {
            let factor = 1 << self.times_opened.min(16);
            let open = config.min_open.saturating_mul(factor).min(config.max_open);
            self.open_until = Some(now + open);
            self.times_opened += 1;
            self.failures = 0;
        }
    }
}
