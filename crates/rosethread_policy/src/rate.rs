//! Rate limits of a member that all nodes enforce together without a central counter.

use std::time::Duration;

/// The smallest share of a limit that a node uses, so that the first call at a node gets through.
const MIN_LOCAL_SHARE: f64 = 0.02;

/// Returns the share of a member's limit that this node may use, from 0 to 1.
///
/// The shares follow the demands that nodes report to each other; `nodes` is the number of live
/// nodes. They sum to at most 1 as long as all nodes know the same demands.
pub fn local_share(own_demand: f64, total_demand: f64, nodes: usize) -> f64 {
    let even_share = 1.0 / nodes.max(1) as f64;
    if total_demand <= 0.0 {
        return even_share;
    }
    let floor = MIN_LOCAL_SHARE.min(even_share);
    let spare = 1.0 - floor * nodes as f64;
    floor + spare.max(0.0) * (own_demand / total_demand).clamp(0.0, 1.0)
}

/// A token bucket; times are durations since the node's start.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    level: f64,
    updated_at: Duration,
}

impl TokenBucket {
    /// Creates a bucket that holds `level` tokens at `now`.
    pub fn new(level: f64, now: Duration) -> TokenBucket {
        TokenBucket { level, updated_at: now }
    }

    /// Takes `amount` from the bucket, which refills at `rate` per second up to `burst`.
    ///
    /// A `burst` below 1 still lets a whole token accumulate, if `amount` needs it.
    ///
    /// # Errors
    ///
    /// Returns how long to wait if the bucket holds too little; takes nothing in that case.
    pub fn take(
        &mut self,
        now: Duration,
        rate: f64,
        burst: f64,
        amount: f64,
    ) -> Result<(), Duration> {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.level = (self.level + elapsed * rate).min(burst.max(amount.min(1.0)));
        if amount <= self.level {
            self.level -= amount;
            return Ok(());
        }
        let wait_s = (amount - self.level) / rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::from_secs(60)))
    }
}
