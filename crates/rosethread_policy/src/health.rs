//! What one node has experienced with one target.

use std::time::Duration;

use crate::{BreakerConfig, CircuitBreaker, RetryBudget};

/// The weight of the newest observation in a moving mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// The service time assumed before the first observation, in seconds.
const FIRST_SERVICE_S: f64 = 0.5;

/// A target's health, as this node has experienced it.
#[derive(Clone, Debug)]
pub struct TargetHealth {
    /// The circuit breaker.
    pub breaker: CircuitBreaker,
    /// The retries that the target may still cause.
    pub retry_budget: RetryBudget,
    /// The mean time that a call occupies a slot, in seconds.
    pub service_s: f64,
    /// This node's own calls under way at the target.
    pub outstanding: u32,
    /// The share of the target's cache memory that is in use, from 0 to 1, as it reported last.
    pub pressure: f64,
}

impl Default for TargetHealth {
    fn default() -> TargetHealth {
        TargetHealth {
            breaker: CircuitBreaker::default(),
            retry_budget: RetryBudget::default(),
            service_s: FIRST_SERVICE_S,
            outstanding: 0,
            pressure: 0.0,
        }
    }
}

impl TargetHealth {
    /// Takes note of a call that succeeded after `service`.
    pub fn record_success(&mut self, service: Duration) {
        self.breaker.record_success();
        self.retry_budget.record_success();
        let observed = service.as_secs_f64();
        self.service_s += (observed - self.service_s) * NEWEST_WEIGHT;
    }

    /// Takes note of a call that failed at `now`.
    pub fn record_failure(&mut self, now: Duration) {
        self.breaker.record_failure(now, BreakerConfig::default());
    }
}
