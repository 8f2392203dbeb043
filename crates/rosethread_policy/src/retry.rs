//! Retries that cannot turn a partial failure into an overload.

use std::time::Duration;

/// Retries allowed for each success.
const RETRY_SHARE: f64 = 0.2;

/// The most retries saved up.
const MAX_SAVED: f64 = 20.0;

/// The first delay before a retry.
const FIRST_DELAY: Duration = Duration::from_millis(20);

/// The longest delay before a retry.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// The retries that a target may still cause: a share of its recent successes.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: MAX_SAVED / 2.0 }
    }
}

impl RetryBudget {
    /// Takes note of a success.
    pub fn record_success(&mut self) {
        self.saved = (self.saved + RETRY_SHARE).min(MAX_SAVED);
    }

    /// Takes a retry from the budget, if there is one.
    pub fn try_take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// Returns the delay before retry `attempt`, counted from zero; `jitter` lies between 0 and 1.
pub fn backoff(attempt: u32, jitter: f64) -> Duration {
    let full = FIRST_DELAY.saturating_mul(1 << attempt.min(16)).min(MAX_DELAY);
    full.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0))
}
