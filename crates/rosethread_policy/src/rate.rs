//! Limits of a member that all nodes keep together without a central counter.

use std::time::Duration;

/// The smallest part of a limit that a node grants itself, so that a first call gets through.
const MIN_SHARE: f64 = 0.02;

/// Returns the part of a member's limit that this node may use.
///
/// The parts follow the demand that nodes tell each other, and sum to at most one as long as all
/// nodes know the same demands; `nodes` is the number of live nodes.
pub fn local_share(own_demand: f64, total_demand: f64, nodes: usize) -> f64 {
    let even = 1.0 / nodes.max(1) as f64;
    if total_demand <= 0.0 {
        return even;
    }
    let floor = MIN_SHARE.min(even);
    let spare = 1.0 - floor * nodes as f64;
    floor + spare.max(0.0) * (own_demand / total_demand).clamp(0.0, 1.0)
}

/// A token bucket; time is the duration since the node's start.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    level: f64,
    at: Duration,
}

impl TokenBucket {
    /// Returns a bucket that holds `level` from `now` on.
    pub fn new(level: f64, now: Duration) -> TokenBucket {
        TokenBucket { level, at: now }
    }

    /// Takes `amount` from the bucket, which fills at `rate` a second up to `burst`.
    ///
    /// Returns how long to wait if there is not enough.
    pub fn take(
        &mut self,
        now: Duration,
        rate: f64,
        burst: f64,
        amount: f64,
    ) -> Result<(), Duration> {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        self.level = (self.level + passed * rate).min(burst.max(amount.min(1.0)));
        if amount <= self.level {
            self.level -= amount;
            return Ok(());
        }
        let wait_s = (amount - self.level) / rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::from_secs(60)))
    }
}
