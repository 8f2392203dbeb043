//! Which queued call a target gets next.
//!
//! Calls of classes with reserved slots go first, then calls of higher priority. Among equals,
//! members share the target by weighted fair queueing; within a member, the call that has waited
//! longest goes first. Least attained service was tried and removed: it keeps more programs in
//! progress at once, and their caches evict each other (`docs/design/decisions.md`). Calls of
//! classes with reserved slots may be sent beyond the target's slots: the target's own queue
//! honours priorities, so such a call gets the next free place and no slot has to be kept idle for
//! it.

use std::{cmp::Ordering, collections::BTreeMap};

use rosethread_types::MemberName;

use crate::Strategy;

/// The calls of reserved classes that may be sent beyond a target's slots, as a share of the slots.
const RESERVED_SHARE: f64 = 0.1;

/// A call in the queue of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedCall {
    /// The member on whose behalf the call runs.
    pub member: MemberName,
    /// The priority of the call's class; smaller numbers go first.
    pub priority: i32,
    /// Whether the call's class has reserved slots.
    pub reserved: bool,
    /// The time that the call has waited, in seconds.
    pub waited_s: f64,
}

/// The state of start-time fair queueing between the members at one target.
///
/// The virtual time of a member is the service that it has received, divided by its share. A member
/// that was idle resumes at the virtual time of the active ones, so idle time earns no credit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FairShares {
    virtual_times: BTreeMap<MemberName, f64>,
    /// The virtual time of the member chosen last, below which no member starts.
    floor: f64,
}

impl FairShares {
    /// Returns the virtual time of `member`; at equal priority, the member with the lowest goes
    /// first.
    pub fn virtual_time(&self, member: &MemberName) -> f64 {
        self.virtual_times.get(member).copied().unwrap_or(0.0).max(self.floor)
    }

    /// Adds `tokens` of service to the virtual time of `member`, which has the weight `share`.
    pub fn charge(&mut self, member: &MemberName, share: u32, tokens: u64) {
        let start = self.virtual_time(member);
        let end = start + tokens as f64 / f64::from(share.max(1));
        self.virtual_times.insert(member.clone(), end);
    }

    /// Records that `member` was chosen; from now on no member starts below its virtual time.
    pub fn advance(&mut self, member: &MemberName) {
        self.floor = self.virtual_time(member);
        let floor = self.floor;
        self.virtual_times.retain(|_, it| floor < *it);
    }
}

/// Chooses the next call for a target with `running` calls, and returns its index in `waiting`.
///
/// Returns `None` if the queue is empty or the target has no slot for any of its calls.
pub fn select_next_call(
    strategy: Strategy,
    waiting: &[QueuedCall],
    shares: &FairShares,
    running: u32,
    slots: u32,
) -> Option<usize> {
    let has_slot = running < slots;
    if strategy != Strategy::Adaptive {
        let by_wait = |it: &(usize, &QueuedCall)| it.1.waited_s;
        let first = waiting.iter().enumerate().max_by(|a, b| by_wait(a).total_cmp(&by_wait(b)));
        return first.map(|(index, _)| index).filter(|_| has_slot);
    }
    let has_extra_slot = running < slots + extra_slots(slots);
    let is_allowed = |it: &QueuedCall| if it.reserved { has_extra_slot } else { has_slot };
    let eligible = waiting.iter().enumerate().filter(|(_, it)| is_allowed(it));
    let best = eligible.min_by(|(_, a), (_, b)| compare(shares, a, b));
    best.map(|(index, _)| index)
}

/// Returns how many calls of reserved classes may be sent beyond a target's `slots`.
fn extra_slots(slots: u32) -> u32 {
    (f64::from(slots) * RESERVED_SHARE).ceil() as u32
}

fn compare(shares: &FairShares, a: &QueuedCall, b: &QueuedCall) -> Ordering {
    let by_class = (!a.reserved, a.priority).cmp(&(!b.reserved, b.priority));
    by_class
        .then_with(|| shares.virtual_time(&a.member).total_cmp(&shares.virtual_time(&b.member)))
        .then_with(|| b.waited_s.total_cmp(&a.waited_s))
}
