//! The request rates that targets in need name in their responses.
//!
//! Such a rate is for all hosts together. A host learns of it from a response or from the report of
//! another host, and then sends no more than its share ([`rate_share`]). A target withdraws its limit by
//! responding without one, so only a response to a request that was sent after the limit was known
//! counts: an earlier one may have been overtaken.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use rosethread_membership::TargetLimit;
use rosethread_policy::{RateShare, TokenBucket, rate_share};
use rosethread_types::{Incarnation, NodeName, TargetName};

use crate::registry::Target;

/// How long a host keeps to a limit that it learned from the target itself, and reports it, without
/// another response; a host that sends little keeps to it for two of its requests longer.
const LIMIT_HOLD: Duration = Duration::from_secs(5);

/// The most limits in a report, so that it fits into a datagram.
const MAX_REPORTED: usize = 16;

/// Converts between a rate and the thousandths in which hosts report it.
const MILLI: f64 = 1_000.0;

/// The limits that other hosts report, by target.
pub(crate) type ReportedLimits = BTreeMap<TargetName, TargetLimit>;

/// The hosts that share a target's rate, and this host among them.
#[derive(Clone, Copy)]
pub(crate) struct Sharers<'a> {
    /// All live hosts.
    pub(crate) hosts: &'a [NodeName],
    /// A hash of `hosts`.
    pub(crate) digest: u64,
    /// This host.
    pub(crate) own: &'a NodeName,
}

/// A rate that a target named to this host.
#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    per_s: f64,
    received: Duration,
}

/// This host's share of a rate, with the inputs that it follows from.
#[derive(Clone, Copy, Debug)]
struct CachedShare {
    per_s: f64,
    digest: u64,
    share: Option<RateShare>,
}

#[derive(Clone, Debug)]
struct LimitState {
    /// The run of the target to which the state belongs.
    start: Incarnation,
    named: Option<NamedLimit>,
    /// What this host may send at once; starts empty.
    bucket: TokenBucket,
    /// When a request was last weighed against the limit.
    used: Duration,
    /// The share that was computed last. Ranking hundreds of hosts for each call takes too long.
    share: Option<CachedShare>,
}

impl LimitState {
    fn new(start: Incarnation, now: Duration) -> LimitState {
        let bucket = TokenBucket::new(0.0, now);
        LimitState { start, named: None, bucket, used: now, share: None }
    }

    /// Returns this host's share of `per_s`, or `None` if it is not selected to send.
    fn share(
        &mut self,
        per_s: f64,
        target: &TargetName,
        sharers: Sharers<'_>,
    ) -> Option<RateShare> {
        let known = self.share.filter(|it| it.per_s == per_s && it.digest == sharers.digest);
        let cached = known.unwrap_or_else(|| {
            let share = rate_share(per_s, target, sharers.hosts.iter(), sharers.own);
            CachedShare { per_s, digest: sharers.digest, share }
        });
        self.share = Some(cached);
        cached.share
    }

    /// Returns the rate that the target named to this host, unless that was too long ago.
    fn held_rate(
        &mut self,
        target: &TargetName,
        sharers: Sharers<'_>,
        now: Duration,
    ) -> Option<f64> {
        let NamedLimit { per_s, received } = self.named?;
        let share = self.share(per_s, target, sharers);
        let two_requests = Duration::from_secs_f64(share.map_or(0.0, |it| 2.0 / it.per_s));
        if received + LIMIT_HOLD + two_requests <= now {
            self.named = None;
        }
        self.named.map(|it| it.per_s)
    }

    /// Returns the rate that the target takes from all hosts, or `None` if it has no limit. What the
    /// target told this host is newer than what others report of it.
    fn rate(
        &mut self,
        target: &TargetName,
        reported: &ReportedLimits,
        sharers: Sharers<'_>,
        now: Duration,
    ) -> Option<f64> {
        let reported = reported.get(target).filter(|it| it.start == self.start);
        let reported = reported.map(|it| f64::from(it.milli_per_s) / MILLI);
        self.held_rate(target, sharers, now).or(reported)
    }
}

/// A change in what a target says of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LimitChange {
    /// It named this rate, in requests per second.
    Named(f64),
    /// It responded without a limit again.
    Withdrawn,
}

/// Whether a target's limit leaves room for a request of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Room {
    /// The target has no limit.
    Unlimited,
    /// This host's share of the limit has room.
    OwnShare,
    /// This host has no share, or has used it up.
    None,
}

/// The limits of all targets, as this host knows them. All times are durations since its start.
#[derive(Default)]
pub(crate) struct TargetLimits(Mutex<BTreeMap<TargetName, LimitState>>);

impl TargetLimits {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<TargetName, LimitState>> {
        self.0.lock().expect("no holder of the target limits lock panics")
    }

    /// Records the rate that a target named in a response, or that it named none, and returns what is
    /// new. `sent` is when the request was sent.
    pub(crate) fn record_response(
        &self,
        target: &Target,
        sent: Duration,
        per_s: Option<f64>,
        now: Duration,
    ) -> Option<LimitChange> {
        let mut states = self.lock();
        let Some(per_s) = per_s else {
            let state = states.get_mut(&target.name).filter(|it| it.start == target.start)?;
            state.named.filter(|it| it.received <= sent)?;
            state.named = None;
            // What a host saved up under one limit must not count towards the next.
            state.bucket = TokenBucket::new(0.0, now);
            return Some(LimitChange::Withdrawn);
        };
        let state = current_state(&mut states, target, now);
        let before = state.named.replace(NamedLimit { per_s, received: now });
        (before.map(|it| it.per_s) != Some(per_s)).then_some(LimitChange::Named(per_s))
    }

    /// Returns the rate that a target takes from all hosts, in requests per second; `None` if it has
    /// no limit.
    pub(crate) fn rate(
        &self,
        target: &Target,
        reported: &ReportedLimits,
        sharers: Sharers<'_>,
        now: Duration,
    ) -> Option<f64> {
        let mut states = self.lock();
        if !states.contains_key(&target.name) && !reported.contains_key(&target.name) {
            return None;
        }
        current_state(&mut states, target, now).rate(&target.name, reported, sharers, now)
    }

    /// Returns whether this host may send a request to the target now.
    pub(crate) fn find_room(
        &self,
        target: &Target,
        reported: &ReportedLimits,
        sharers: Sharers<'_>,
        now: Duration,
    ) -> Room {
        match weigh_request(&mut self.lock(), target, reported, sharers, now) {
            Weighed::Unlimited => Room::Unlimited,
            Weighed::Fits(..) => Room::OwnShare,
            Weighed::Exceeds => Room::None,
        }
    }

    /// Counts a request to the target against this host's share, and returns whether it may be sent.
    pub(crate) fn take_room(
        &self,
        target: &Target,
        reported: &ReportedLimits,
        sharers: Sharers<'_>,
        now: Duration,
    ) -> bool {
        match weigh_request(&mut self.lock(), target, reported, sharers, now) {
            Weighed::Unlimited => true,
            Weighed::Fits(state, rest) => {
                state.bucket = rest;
                true
            }
            Weighed::Exceeds => false,
        }
    }

    /// Returns whether nothing is known of any limit.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Returns the limits that targets named to this host, for its report to the others; those first
    /// that this host is selected to use, as it learns first when they are withdrawn.
    pub(crate) fn report(&self, sharers: Sharers<'_>, now: Duration) -> Vec<TargetLimit> {
        let mut states = self.lock();
        states.retain(|_, it| it.named.is_some() || now < it.used + 2 * LIMIT_HOLD);
        let mut held: Vec<(bool, TargetLimit)> = Vec::new();
        for (target, state) in states.iter_mut() {
            let Some(per_s) = state.held_rate(target, sharers, now) else {
                continue;
            };
            let is_selected = state.share(per_s, target, sharers).is_some();
            let milli_per_s = (per_s * MILLI).round() as u32;
            let limit = TargetLimit { target: target.clone(), start: state.start, milli_per_s };
            held.push((!is_selected, limit));
        }
        held.sort_by_key(|(is_idle, _)| *is_idle);
        held.into_iter().map(|(_, it)| it).take(MAX_REPORTED).collect()
    }

    /// Returns the number of targets that named this host a limit.
    pub(crate) fn named_count(&self) -> usize {
        self.lock().values().filter(|it| it.named.is_some()).count()
    }
}

/// A request weighed against the limit of its target.
enum Weighed<'a> {
    Unlimited,
    /// It fits into this host's share, of which the bucket is what it leaves.
    Fits(&'a mut LimitState, TokenBucket),
    Exceeds,
}

fn weigh_request<'a>(
    states: &'a mut BTreeMap<TargetName, LimitState>,
    target: &Target,
    reported: &ReportedLimits,
    sharers: Sharers<'_>,
    now: Duration,
) -> Weighed<'a> {
    if !states.contains_key(&target.name) && !reported.contains_key(&target.name) {
        return Weighed::Unlimited;
    }
    let state = current_state(states, target, now);
    let Some(per_s) = state.rate(&target.name, reported, sharers, now) else {
        return Weighed::Unlimited;
    };
    state.used = now;
    let Some(share) = state.share(per_s, &target.name, sharers) else {
        state.bucket = TokenBucket::new(0.0, now);
        return Weighed::Exceeds;
    };
    let mut rest = state.bucket.clone();
    match rest.take(now, share.per_s, share.burst, 1.0) {
        Ok(()) => Weighed::Fits(state, rest),
        Err(_) => Weighed::Exceeds,
    }
}

/// Returns the state of the target's current run.
fn current_state<'a>(
    states: &'a mut BTreeMap<TargetName, LimitState>,
    target: &Target,
    now: Duration,
) -> &'a mut LimitState {
    let state =
        states.entry(target.name.clone()).or_insert_with(|| LimitState::new(target.start, now));
    if state.start != target.start {
        *state = LimitState::new(target.start, now);
    }
    state
}
