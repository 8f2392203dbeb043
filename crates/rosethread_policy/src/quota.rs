//! One rate limit that many hosts keep together: an owner's pool of tokens, and the leases of those
//! that spend them.
//!
//! Each limit has one owner host. Its [`Pool`] grants tokens to the others, whose [`Holder`]s keep them
//! for a short time. What a new owner cannot know, it doesn't grant. See `docs/design/quotas.md`.

mod holder;
mod pool;
mod programs;

use std::time::Duration;

pub use holder::{Holder, LocalShare, Returned};
pub use pool::{Pool, PoolAsk, PoolReply};

/// The part of what the rule leaves above a limit that a pool holds above its burst. A new owner starts
/// with as much; the rest is for leases under way and for hosts that don't reach the owner.
const POOL_PART: f64 = 0.25;

/// How long a token may be spent after the question for it was sent. It eats into the overage.
pub const LEASE_LIFE: Duration = Duration::from_millis(250);

/// What the calls of an organisation are counted against, at all hosts together: in any window at most
/// `(rate * window_s + burst) * (1 + overage) + slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRule {
    /// The window, in seconds.
    pub window_s: f64,
    /// The part of the limit that may be passed.
    pub overage: f64,
    /// The calls in addition to that.
    pub slack: f64,
}

/// A limit of an organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Calls per second.
    pub per_s: f64,
    /// Calls at once after a pause, in addition to the rate.
    pub burst: f64,
}

impl QuotaRule {
    /// Returns the calls in a window that the rule allows.
    pub fn allowance(&self, limit: QuotaLimit) -> f64 {
        (limit.per_s * self.window_s + limit.burst) * (1.0 + self.overage) + self.slack
    }

    /// Returns the tokens that a pool may hold above the burst, or without it.
    fn spare(&self, limit: QuotaLimit) -> f64 {
        let spare = self.allowance(limit) - (limit.per_s * self.window_s + limit.burst);
        spare * POOL_PART
    }

    /// Returns the part of the limit that an owner may grant which sees `live` of `known` hosts; those
    /// it doesn't see may have an owner of their own.
    ///
    /// Where most are live, half of the overage is granted in addition: the others together have no
    /// more.
    pub fn part(&self, live: usize, known: usize) -> f64 {
        let part = live as f64 / known.max(live).max(1) as f64;
        if part <= 0.5 { part } else { (part + self.overage / 2.0).min(1.0) }
    }
}

fn seconds(time_s: f64) -> Duration {
    Duration::try_from_secs_f64(time_s.max(0.0)).unwrap_or(Duration::MAX)
}
