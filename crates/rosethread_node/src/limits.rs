//! Limits of members, enforced by all nodes together without a central counter.
//!
//! Each node enforces the fraction of a member's limits that corresponds to its share of the load;
//! see `rosethread_policy::local_share`.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use rosethread_config::Member;
use rosethread_policy::TokenBucket;
use rosethread_types::{MemberName, Reason, Refusal, Tokens};

/// The burst of a member's call rate, in seconds of that rate.
const CALL_BURST_S: f64 = 1.0;

/// The burst of a member's token rate, in seconds of that rate.
const TOKEN_BURST_S: f64 = 60.0;

/// Converts tokens per minute to tokens per second.
const MINUTE_S: f64 = 60.0;

struct Usage {
    calls: TokenBucket,
    tokens: TokenBucket,
    running: u32,
}

/// How much the members use of this node's fraction of their limits.
#[derive(Default)]
pub(crate) struct MemberLimits {
    usage: Mutex<BTreeMap<MemberName, Usage>>,
}

impl MemberLimits {
    fn usage(&self) -> MutexGuard<'_, BTreeMap<MemberName, Usage>> {
        self.usage.lock().expect("no holder of the limits lock panics")
    }

    /// Counts a call of `member` that may cost `tokens`, or refuses it if it exceeds a limit.
    ///
    /// `fraction` is this node's fraction of the member's limits, from 0 to 1.
    pub(crate) fn start_call(
        &self,
        member: &Member,
        now: Duration,
        fraction: f64,
        tokens: Tokens,
    ) -> Result<(), Refusal> {
        let mut usages = self.usage();
        let rate = f64::from(member.rate) * fraction;
        let token_rate = member.minute_tokens as f64 / MINUTE_S * fraction;
        let usage = usages.entry(member.name.clone()).or_insert_with(|| Usage {
            calls: TokenBucket::new((rate * CALL_BURST_S).max(1.0), now),
            tokens: TokenBucket::new(token_rate * TOKEN_BURST_S, now),
            running: 0,
        });
        let concurrency = (f64::from(member.concurrency) * fraction).ceil().max(1.0) as u32;
        if concurrency <= usage.running {
            let detail = format!("{} calls of {} are in progress", usage.running, member.name);
            return Err(limit_refusal(detail, Duration::from_millis(200)));
        }
        let burst = (rate * CALL_BURST_S).max(1.0);
        usage.calls.take(now, rate, burst, 1.0).map_err(|wait| {
            limit_refusal(
                format!("{} starts more than {} calls a second", member.name, member.rate),
                wait,
            )
        })?;
        let burst = (token_rate * TOKEN_BURST_S).max(tokens as f64);
        usage.tokens.take(now, token_rate, burst, tokens as f64).map_err(|wait| {
            let limit = member.minute_tokens;
            limit_refusal(format!("{} spends more than {limit} tokens a minute", member.name), wait)
        })?;
        usage.running += 1;
        Ok(())
    }

    /// Releases the concurrency of a call of `member` that has ended.
    pub(crate) fn end_call(&self, member: &MemberName) {
        if let Some(usage) = self.usage().get_mut(member) {
            usage.running = usage.running.saturating_sub(1);
        }
    }
}

fn limit_refusal(detail: String, wait: Duration) -> Refusal {
    Refusal::not_run(Reason::LimitReached, detail).retry_after(wait)
}
