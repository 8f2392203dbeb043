//! The side of a limit that spends tokens: leases of the owner, and a small share without it.

use std::time::Duration;

use super::{LEASE_LIFE, QuotaLimit, QuotaRule, seconds};

/// The time over which a host counts its own demand.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// The demand that a lease covers. It is spent before the lease ends.
const LEASE_TIME: Duration = Duration::from_millis(200);

/// The most tokens in a question.
const MAX_WANT: f64 = 64.0;

/// The most batches of tokens that are kept.
const MAX_BATCHES: usize = 8;

/// The most programs that are named to the owner in one question.
const MAX_SPENT: usize = 32;

/// How long new programs are refused without another question.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// The part of an equal share that a host uses while the owner may be granting all of it.
const UNKNOWN_PART: f64 = 0.5;

/// Tokens to be returned to the pool from which they came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Returned {
    /// The pool.
    pub pool: u32,
    /// The tokens.
    pub tokens: u32,
}

/// What a host may send without its owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalShare {
    /// The rule.
    pub rule: QuotaRule,
    /// The limit of all hosts together.
    pub limit: QuotaLimit,
    /// The hosts that share it.
    pub hosts: usize,
    /// Whether nobody owns the limit at present.
    pub is_orphaned: bool,
    /// From 0 to 1, different at each host. The hosts' first calls come at different times, so that they
    /// don't pass the rule together where each share is less than a call.
    pub phase: f64,
}

#[derive(Clone, Copy, Debug)]
struct Batch {
    pool: u32,
    /// When the question for it was sent.
    asked: Duration,
    tokens: u32,
}

/// The tokens of one organisation at one host. Times are durations since the host's start.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    batches: Vec<Batch>,
    returned: Returned,
    /// Calls in the last second, fading.
    demand: f64,
    counted: Duration,
    /// Programs whose calls were sent with leased tokens since the last question.
    spent: Vec<u64>,
    /// The tokens of the local share, and when they were last used.
    local: Option<(f64, Duration)>,
    /// Until when new programs are refused, and when there is room for them.
    refusal: Option<(Duration, Duration)>,
}

impl Holder {
    /// Counts a call, whether or not it is sent.
    pub fn count_call(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.counted).as_secs_f64();
        self.demand = self.demand * (-elapsed / DEMAND_TIME.as_secs_f64()).exp() + 1.0;
        self.counted = now;
    }

    /// Takes a leased token for a call, and returns where it came from.
    pub fn spend(&mut self, program: Option<u64>, now: Duration) -> Option<(u32, Duration)> {
        self.drop_expired(now);
        if MAX_SPENT <= self.spent.len() {
            // The owner has to hear of these first.
            return None;
        }
        let batch = self.batches.first_mut()?;
        let source = (batch.pool, batch.asked);
        batch.tokens -= 1;
        self.batches.retain(|it| it.tokens != 0);
        self.spent.extend(program);
        Some(source)
    }

    /// Returns until when calls of new programs are refused without a question, if they are.
    pub fn refused_until(&self, now: Duration) -> Option<Duration> {
        let (until, room) = self.refusal?;
        (now < until && now < room).then_some(room)
    }

    /// Records that the owner refuses new programs until there is `room`.
    pub fn record_refusal(&mut self, room: Duration, now: Duration) {
        self.refusal = Some((now + REFUSAL_TIME, room));
    }

    /// Returns what to ask for, what is returned, and the programs that have spent leased tokens.
    pub fn prepare_ask(&mut self, now: Duration) -> (u32, Returned, Vec<u64>) {
        self.drop_expired(now);
        let held: u32 = self.batches.iter().map(|it| it.tokens).sum();
        let want = (self.demand * LEASE_TIME.as_secs_f64()).min(MAX_WANT) as u32;
        let want = want.saturating_sub(held).max(1);
        let returned = std::mem::take(&mut self.returned);
        (want, returned, std::mem::take(&mut self.spent))
    }

    /// Takes in granted tokens, and returns whether the first of them, which is the call's own, is still
    /// valid.
    pub fn receive(&mut self, pool: u32, tokens: u32, asked: Duration, now: Duration) -> bool {
        self.drop_expired(now);
        self.refusal = None;
        if asked + LEASE_LIFE <= now {
            self.add_returned(pool, tokens);
            return false;
        }
        self.add_batch(Batch { pool, asked, tokens: tokens.saturating_sub(1) });
        0 < tokens
    }

    /// Takes back the token of a call that was not sent.
    pub fn give_back(&mut self, pool: u32, asked: Duration, now: Duration) {
        if now < asked + LEASE_LIFE {
            self.add_batch(Batch { pool, asked, tokens: 1 });
        } else {
            self.add_returned(pool, 1);
        }
    }

    /// Takes a token of the host's own share, without burst.
    ///
    /// # Errors
    ///
    /// Returns when the share will hold one.
    pub fn take_local(&mut self, share: &LocalShare, now: Duration) -> Result<(), Duration> {
        let hosts = share.hosts.max(1) as f64;
        let part = if share.is_orphaned { 1.0 } else { UNKNOWN_PART };
        let rate = share.limit.per_s / hosts * part;
        let start = share.rule.spare(share.limit) / hosts + share.phase;
        let window = seconds(share.rule.window_s);
        let known = self.local.filter(|it| now < it.1.saturating_add(window));
        let level = match known {
            Some((level, used)) => {
                let filled = level + now.saturating_sub(used).as_secs_f64() * rate;
                filled.min(start.max(1.0))
            }
            None => start,
        };
        let is_enough = 1.0 <= level;
        self.local = Some((if is_enough { level - 1.0 } else { level }, now));
        if is_enough { Ok(()) } else { Err(seconds((1.0 - level) / rate.max(f64::MIN_POSITIVE))) }
    }

    /// Returns whether nothing is known here that matters after a while.
    pub fn is_idle(&self, now: Duration) -> bool {
        self.counted + 60 * DEMAND_TIME < now
    }

    fn add_batch(&mut self, batch: Batch) {
        if batch.tokens == 0 {
            return;
        }
        if self.batches.len() < MAX_BATCHES {
            self.batches.push(batch);
        } else {
            self.add_returned(batch.pool, batch.tokens);
        }
    }

    fn add_returned(&mut self, pool: u32, tokens: u32) {
        if self.returned.pool != pool {
            self.returned = Returned { pool, tokens: 0 };
        }
        self.returned.tokens += tokens;
    }

    fn drop_expired(&mut self, now: Duration) {
        for index in (0..self.batches.len()).rev() {
            if self.batches[index].asked + LEASE_LIFE <= now {
                let batch = self.batches.remove(index);
                self.add_returned(batch.pool, batch.tokens);
            }
        }
    }
}
