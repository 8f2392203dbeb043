//! Which waiting call goes to a target next.
//!
//! Within weighted fair shares between members, the call that has waited longest goes first. Least
//! attained service was tried and taken out: it keeps more programs under way at once, whose caches
//! evict each other (`docs/design/decisions.md`). Classes with reserved slots may go past the
//! target's batch: the target's own queue honours priorities, so such a call gets the next free
//! place, and no slot has to stand empty for it.

use std::{cmp::Ordering, collections::BTreeMap};

use rosethread_types::MemberName;

use crate::Strategy;

/// The calls of reserved classes that may go past a target's slots, as a share of these.
const RESERVED_SHARE: f64 = 0.1;

/// A call that waits for a target.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedCall {
    /// The member on whose behalf it runs.
    pub member: MemberName,
    /// The priority of its class; smaller numbers go first.
    pub priority: i32,
    /// Whether its class has reserved slots.
    pub reserved: bool,
    /// How long it has waited, in seconds.
    pub waited_s: f64,
}

/// The service that members have received at a target, divided by their shares.
///
/// It is start-time fair queueing: a member that was idle starts at the level of those that were
/// not, so idleness earns no credit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FairShares {
    served: BTreeMap<MemberName, f64>,
    floor: f64,
}

impl FairShares {
    /// Returns the service that counts against `member`.
    pub fn virtual_time(&self, member: &MemberName) -> f64 {
        self.served.get(member).copied().unwrap_or(0.0).max(self.floor)
    }

    /// Counts `tokens` of service for `member`, which has the weight `share`.
    pub fn charge(&mut self, member: &MemberName, share: u32, tokens: u64) {
        let level = self.virtual_time(member);
        let served = level + tokens as f64 / f64::from(share.max(1));
        self.served.insert(member.clone(), served);
    }

    /// Takes note that `member` was chosen; nobody may start below its level afterwards.
    pub fn advance(&mut self, member: &MemberName) {
        self.floor = self.virtual_time(member);
        let floor = self.floor;
        self.served.retain(|_, it| floor < *it);
    }
}

/// Chooses the next call, by its position in `waiting`, for a target that works on `running` calls.
///
/// Returns nothing if no call may go.
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
    let has_reserved = running < slots + reserved_slots(slots);
    let may_go = |it: &QueuedCall| if it.reserved { has_reserved } else { has_slot };
    let eligible = waiting.iter().enumerate().filter(|(_, it)| may_go(it));
    let best = eligible.min_by(|(_, a), (_, b)| compare(shares, a, b));
    best.map(|(index, _)| index)
}

/// Returns the calls of reserved classes that may go past a target's slots.
fn reserved_slots(slots: u32) -> u32 {
    (f64::from(slots) * RESERVED_SHARE).ceil() as u32
}

fn compare(shares: &FairShares, a: &QueuedCall, b: &QueuedCall) -> Ordering {
    let by_class = (!a.reserved, a.priority).cmp(&(!b.reserved, b.priority));
    by_class
        .then_with(|| shares.virtual_time(&a.member).total_cmp(&shares.virtual_time(&b.member)))
        .then_with(|| b.waited_s.total_cmp(&a.waited_s))
}
