//! The owner's side of a limit: the tokens that all hosts may spend.

use std::time::Duration;

use super::{QuotaLimit, QuotaRule, programs::Programs, seconds};

/// A pool that was not looked at for longer belongs to a host that stood still. Another owner may have
/// granted what would have come in meanwhile.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// The part of a pool that one lease may take.
const LEASE_PART: f64 = 0.125;

/// The most that is kept for programs under way, in seconds of the rate.
const RESERVE_S: f64 = 1.0;

/// The part of a pool that is kept for programs under way at most, so that new ones are let in where the
/// pool is full.
const RESERVE_PART: f64 = 0.75;

/// A question for tokens: one for a call, and more for calls to come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolAsk {
    /// The tokens, with the one for the call.
    pub want: u32,
    /// A fingerprint of the call's program; a call without one counts as new.
    pub program: Option<u64>,
    /// Whether the call says itself that its program is under way.
    pub is_underway: bool,
    /// Tokens of this pool that are returned unspent.
    pub returned: u32,
}

/// An answer to a [`PoolAsk`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PoolReply {
    /// The call may be sent.
    Granted {
        /// The tokens, at least one, at most those asked for.
        tokens: u32,
    },
    /// The call may not be sent.
    Refused {
        /// When there is room for it.
        retry_after: Duration,
        /// The tokens in the pool.
        level: f64,
        /// The tokens that are kept for programs under way.
        reserve: f64,
        /// Whether the call begins a program, and was refused for those under way.
        is_new: bool,
    },
}

/// The tokens of one organisation. Times are durations since the owner's start.
///
/// It answers the load of an organisation that begins more programs than its limit carries: a program
/// that is cut in its middle has spent its earlier calls for nothing, so new ones are refused at their
/// first call while those under way need the tokens, and later calls of admitted ones are refused last.
#[derive(Clone, Debug)]
pub struct Pool {
    rule: QuotaRule,
    limit: QuotaLimit,
    /// The part of the limit that this owner may grant.
    part: f64,
    level: f64,
    updated: Duration,
    programs: Programs,
    /// When the new programs that were refused so far have been let in.
    next_room: Duration,
}

impl Pool {
    /// Creates the pool of a new owner. It starts without the burst, as nobody knows whether that was
    /// spent.
    pub fn new(rule: QuotaRule, limit: QuotaLimit, part: f64, now: Duration) -> Pool {
        let programs = Programs::default();
        let level = rule.spare(limit) * part;
        Pool { rule, limit, part, level, updated: now, programs, next_room: now }
    }

    /// Returns the limit.
    pub fn limit(&self) -> QuotaLimit {
        self.limit
    }

    /// Returns the tokens in the pool at the last update.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Fills the pool up to now. It has to be called more often than every 400 ms.
    pub fn update(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated);
        self.updated = self.updated.max(now);
        if MAX_PAUSE < elapsed {
            self.level = self.level.min(self.rule.spare(self.limit) * self.part);
            return;
        }
        let filled = self.level + elapsed.as_secs_f64() * self.rate();
        self.level = filled.min(self.capacity());
    }

    /// Takes over another limit. The level falls with it, and doesn't rise.
    pub fn set_limit(&mut self, limit: QuotaLimit, now: Duration) {
        if self.limit == limit {
            return;
        }
        self.update(now);
        let before = self.capacity();
        self.limit = limit;
        self.level *= (self.capacity() / before).min(1.0);
    }

    /// Takes over another part of the limit.
    pub fn set_part(&mut self, part: f64, now: Duration) {
        self.update(now);
        self.part = part;
        self.level = self.level.min(self.capacity());
    }

    /// Records a call that was sent with a leased token.
    pub fn record_spent(&mut self, program: u64, now: Duration) {
        self.programs.record(program, false, now);
    }

    /// Decides whether a call may be sent.
    pub fn ask(&mut self, ask: &PoolAsk, now: Duration) -> PoolReply {
        self.update(now);
        self.level = (self.level + f64::from(ask.returned)).min(self.capacity());
        let is_known = ask.program.is_some_and(|it| self.programs.contains(it));
        let is_underway = ask.is_underway || is_known;
        let reserve = self.reserve(now);
        let needed = if is_underway { 1.0 } else { 1.0 + reserve };
        if self.level < needed {
            return self.refuse(!is_underway, reserve, needed, now);
        }
        let spare = (self.level - 1.0 - reserve).max(0.0) * LEASE_PART;
        let tokens = ask.want.clamp(1, 1 + spare as u32);
        self.level -= f64::from(tokens);
        if let Some(program) = ask.program {
            self.programs.record(program, is_underway, now);
        }
        PoolReply::Granted { tokens }
    }

    fn refuse(&mut self, is_new: bool, reserve: f64, needed: f64, now: Duration) -> PoolReply {
        let rate = self.rate().max(f64::MIN_POSITIVE);
        let mut room = now.saturating_add(seconds((needed - self.level) / rate));
        if is_new {
            // Each program that is let in needs room for its later calls, so all that wait are not
            // told the same time.
            let program_s = (1.0 + self.programs.mean_further()) / rate;
            room = room.max(self.next_room);
            let latest = now.saturating_add(seconds(self.rule.window_s));
            self.next_room = room.saturating_add(seconds(program_s)).min(latest);
        }
        let level = self.level;
        PoolReply::Refused { retry_after: room - now, level, reserve, is_new }
    }

    /// Returns the tokens that are kept for programs under way.
    fn reserve(&mut self, now: Duration) -> f64 {
        let expected = self.programs.expected_calls(now);
        let most = (self.rate() * RESERVE_S).min((self.capacity() - 1.0) * RESERVE_PART);
        expected.min(most.max(0.0))
    }

    fn rate(&self) -> f64 {
        self.limit.per_s * self.part
    }

    /// Returns the most tokens that the pool holds. Less than one would never let a call through.
    fn capacity(&self) -> f64 {
        ((self.limit.burst + self.rule.spare(self.limit)) * self.part).max(1.0)
    }
}
