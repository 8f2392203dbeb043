//! Limits of members, kept by all nodes together without a central counter.
//!
//! Each node enforces a part of a member's limit that follows its share of the load; see
//! `rosethread_policy::local_share`.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use rosethread_config::Member;
use rosethread_policy::TokenBucket;
use rosethread_types::{MemberName, Reason, Refusal, Tokens};

/// How long a rate may be saved up.
const BURST_S: f64 = 1.0;

/// How long a token rate may be saved up.
const TOKEN_BURST_S: f64 = 60.0;

/// Seconds in a minute.
const MINUTE_S: f64 = 60.0;

struct Usage {
    calls: TokenBucket,
    tokens: TokenBucket,
    running: u32,
}

/// The use of this node's parts of all members' limits.
#[derive(Default)]
pub(crate) struct MemberLimits {
    usage: Mutex<BTreeMap<MemberName, Usage>>,
}

impl MemberLimits {
    fn usage(&self) -> MutexGuard<'_, BTreeMap<MemberName, Usage>> {
        self.usage.lock().expect("no holder of the limits panics")
    }

    /// Counts a call of `member` that may cost `tokens`, or refuses it.
    ///
    /// `part` is this node's part of the member's limits, from 0 to 1.
    pub(crate) fn start_call(
        &self,
        member: &Member,
        now: Duration,
        part: f64,
        tokens: Tokens,
    ) -> Result<(), Refusal> {
        let mut all = self.usage();
        let rate = f64::from(member.rate) * part;
        let token_rate = member.minute_tokens as f64 / MINUTE_S * part;
        let usage = all.entry(member.name.clone()).or_insert_with(|| Usage {
            calls: TokenBucket::new((rate * BURST_S).max(1.0), now),
            tokens: TokenBucket::new(token_rate * TOKEN_BURST_S, now),
            running: 0,
        });
        let concurrency = (f64::from(member.concurrency) * part).ceil().max(1.0) as u32;
        if concurrency <= usage.running {
            let detail = format!("{} calls of {} are under way", usage.running, member.name);
            return Err(refuse(detail, Duration::from_millis(200)));
        }
        let burst = (rate * BURST_S).max(1.0);
        usage.calls.take(now, rate, burst, 1.0).map_err(|wait| {
            refuse(format!("{} starts more than {} calls a second", member.name, member.rate), wait)
        })?;
        let burst = (token_rate * TOKEN_BURST_S).max(tokens as f64);
        usage.tokens.take(now, token_rate, burst, tokens as f64).map_err(|wait| {
            let limit = member.minute_tokens;
            refuse(format!("{} spends more than {limit} tokens a minute", member.name), wait)
        })?;
        usage.running += 1;
        Ok(())
    }

    /// Takes note that a call of `member` has ended.
    pub(crate) fn end_call(&self, member: &MemberName) {
        if let Some(usage) = self.usage().get_mut(member) {
            usage.running = usage.running.saturating_sub(1);
        }
    }
}

fn refuse(detail: String, wait: Duration) -> Refusal {
    Refusal::not_run(Reason::LimitReached, detail).retry_after(wait)
}
