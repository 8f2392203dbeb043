//! What one node has experienced with one target.

use std::time::Duration;

use rosethread_platform::EngineLoad;
use rosethread_policy::{Breaker, BreakerConfig, RetryBudget};

/// The weight of the newest observation in a moving mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// The service time assumed before the first observation, in seconds.
const FIRST_SERVICE_S: f64 = 0.5;

/// A target's health, as this node has experienced it.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    /// The circuit breaker.
    pub(crate) breaker: Breaker,
    /// The retries that the target may still cause.
    pub(crate) retries: RetryBudget,
    /// The mean time that a call occupies a slot, in seconds.
    pub(crate) service_s: f64,
    /// This node's own calls under way at the target.
    pub(crate) outstanding: u32,
    /// The last load report.
    pub(crate) load: EngineLoad,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            breaker: Breaker::default(),
            retries: RetryBudget::default(),
            service_s: FIRST_SERVICE_S,
            outstanding: 0,
            load: EngineLoad::default(),
        }
    }
}

impl Health {
    /// Takes note of a call that succeeded after `service`.
    pub(crate) fn succeed(&mut self, service: Duration) {
        self.breaker.succeed();
        self.retries.succeed();
        let observed = service.as_secs_f64();
        self.service_s += (observed - self.service_s) * NEWEST_WEIGHT;
    }

    /// Takes note of a call that failed at `now`.
    pub(crate) fn fail(&mut self, now: Duration) {
        self.breaker.fail(now, BreakerConfig::default());
    }

    /// Returns the share of the target's cache memory in use.
    pub(crate) fn pressure(&self) -> f64 {
        self.load.used as f64 / self.load.memory.max(1) as f64
    }
}
