//! Limits and delays for retries, so that retries do not turn a partial failure into an overload.

use std::time::Duration;

/// The retries that each success adds to the budget.
const RETRIES_PER_SUCCESS: f64 = 0.2;

/// The upper limit of the budget, in retries.
const MAX_BALANCE: f64 = 20.0;

/// The full delay before the first retry.
const BASE_DELAY: Duration = Duration::from_millis(20);

/// The upper limit of the delay before a retry.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// A retry budget for the calls at one target, which grows with the target's successes.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { balance: MAX_BALANCE / 2.0 }
    }
}

impl RetryBudget {
    /// Records a success, which adds a fraction of a retry.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + RETRIES_PER_SUCCESS).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget; returns false if less than one is left.
    pub fn try_take(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Returns the delay before retry `attempt`, counted from zero.
///
/// The full delay doubles with each retry; `jitter`, a random number between 0 and 1, gives a delay
/// between half of it and all of it.
pub fn backoff(attempt: u32, jitter: f64) -> Duration {
    let full_delay = BASE_DELAY.saturating_mul(1 << attempt.min(16)).min(MAX_DELAY);
    full_delay.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0))
}
