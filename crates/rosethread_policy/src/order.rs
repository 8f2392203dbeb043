//! Which waiting call goes to a target next.
//!
//! Within weighted fair shares between members, the program that has received the least service
//! goes first, since the length of programs is not known in advance and short ones then finish
//! early. Waiting counts in a call's favour, so none starves. Classes with reserved slots keep a
//! share of the target to themselves, so a short call never waits behind long ones.

use std::collections::BTreeMap;

use rosethread_types::MemberName;

use crate::Strategy;

/// The share of a target's slots that only reserved classes may use.
const RESERVED_SHARE: f64 = 0.1;

/// The tokens of attained service that a second of waiting makes up for.
const AGEING_TOKENS_PER_S: f64 = 2_000.0;

/// A call that waits for a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting {
    /// The member on whose behalf it runs.
    pub member: MemberName,
    /// The priority of its class; smaller numbers go first.
    pub priority: i32,
    /// Whether its class has reserved slots.
    pub reserved: bool,
    /// Tokens of service that its program has received.
    pub attained: u64,
    /// How long it has waited, in seconds.
    pub waited_s: f64,
}

/// The service that members have received at a target, divided by their shares.
///
/// It is start-time fair queueing: a member that was idle starts at the level of those that were
/// not, so idleness earns no credit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    served: BTreeMap<MemberName, f64>,
    floor: f64,
}

impl Shares {
    /// Returns the service that counts against `member`.
    pub fn level(&self, member: &MemberName) -> f64 {
        self.served.get(member).copied().unwrap_or(0.0).max(self.floor)
    }

    /// Counts `tokens` of service for `member`, which has the weight `share`.
    pub fn charge(&mut self, member: &MemberName, share: u32, tokens: u64) {
        let level = self.level(member);
        let served = level + tokens as f64 / f64::from(share.max(1));
        self.served.insert(member.clone(), served);
    }

    /// Takes note that `member` was chosen; nobody may start below its level afterwards.
    pub fn advance(&mut self, member: &MemberName) {
        self.floor = self.level(member);
        let floor = self.floor;
        self.served.retain(|_, it| floor < *it);
    }
}

/// Chooses the next call, by its position in `waiting`, for a target with `free` of `slots` free.
///
/// Returns nothing if no call may go: the last slots are kept for reserved classes.
pub fn pick(
    strategy: Strategy,
    waiting: &[Waiting],
    shares: &Shares,
    free: u32,
    slots: u32,
) -> Option<usize> {
    if free == 0 {
        return None;
    }
    if strategy != Strategy::Adaptive {
        let by_wait = |it: &(usize, &Waiting)| it.1.waited_s;
        let first = waiting.iter().enumerate().max_by(|a, b| by_wait(a).total_cmp(&by_wait(b)));
        return first.map(|(index, _)| index);
    }
    let kept = reserved_slots(slots);
    let eligible = waiting.iter().enumerate().filter(|(_, it)| it.reserved || kept < free);
    let best = eligible.min_by(|(_, a), (_, b)| compare(shares, a, b));
    best.map(|(index, _)| index)
}

/// Returns the slots of a target that only reserved classes may use.
fn reserved_slots(slots: u32) -> u32 {
    if slots < 2 {
        return 0;
    }
    ((f64::from(slots) * RESERVED_SHARE).ceil() as u32).min(slots - 1)
}

fn compare(shares: &Shares, a: &Waiting, b: &Waiting) -> std::cmp::Ordering {
    let by_class = (!a.reserved, a.priority).cmp(&(!b.reserved, b.priority));
    by_class
        .then_with(|| shares.level(&a.member).total_cmp(&shares.level(&b.member)))
        .then_with(|| urgency(a).total_cmp(&urgency(b)))
}

/// Returns the attained service of a call's program, less what its waiting makes up for.
fn urgency(it: &Waiting) -> f64 {
    it.attained as f64 - it.waited_s * AGEING_TOKENS_PER_S
}
