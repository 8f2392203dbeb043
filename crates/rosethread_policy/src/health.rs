//! The health of one target, as one node observes it.

use std::time::Duration;

use crate::{BreakerConfig, CircuitBreaker, RetryBudget};

/// The weight of the newest sample in the exponential moving average of service times.
const SERVICE_EWMA_WEIGHT: f64 = 0.1;

/// The service time that is assumed before the first sample, in seconds.
const INITIAL_SERVICE_S: f64 = 0.5;

/// The health of a target, as this node observes it.
#[derive(Clone, Debug)]
pub struct TargetHealth {
    /// The circuit breaker that stops calls to a failing target.
    pub breaker: CircuitBreaker,
    /// The budget that limits retries of calls that failed at the target.
    pub retry_budget: RetryBudget,
    /// The moving average of the time that a call occupies a slot, in seconds.
    pub service_s: f64,
    /// The number of this node's own calls in progress at the target.
    pub outstanding: u32,
    /// The fraction of the target's cache memory in use, from 0 to 1, as it last reported.
    pub pressure: f64,
}

impl Default for TargetHealth {
    fn default() -> TargetHealth {
        TargetHealth {
            breaker: CircuitBreaker::default(),
            retry_budget: RetryBudget::default(),
            service_s: INITIAL_SERVICE_S,
            outstanding: 0,
            pressure: 0.0,
        }
    }
}

impl TargetHealth {
    /// Records a call that succeeded and occupied its slot for `service`.
    pub fn record_success(&mut self, service: Duration) {
        self.breaker.record_success();
        self.retry_budget.record_success();
        let observed = service.as_secs_f64();
        self.service_s += (observed - self.service_s) * SERVICE_EWMA_WEIGHT;
    }

    /// Records a call that failed at `now`, the time since the node's start.
    pub fn record_failure(&mut self, now: Duration) {
        self.breaker.record_failure(now, BreakerConfig::default());
    }
}
