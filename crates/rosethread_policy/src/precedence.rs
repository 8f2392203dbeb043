//! The load that this answers: a burst of a less urgent kind beside urgent programs.
//!
//! As many programs are refused as without priorities, but the least urgent ones first. Each priority
//! keeps a part of what is admitted, so that a lasting burst of urgent programs starves none.

use std::{collections::BTreeMap, ops::Bound};

/// How often programs of each priority are admitted at least, as a part of how often all are.
pub(crate) const MIN_PART: f64 = 0.25;

/// By how much the load has to pass the limit before it counts as more than the less urgent programs
/// make up, as a multiple of their part.
pub(crate) const MARGIN: f64 = 2.0;

/// Returns which part of the programs of `priority` to refuse if the load calls for refusing the part
/// `shed` of all, which may be above 1.
///
/// `demand` holds the programs that begin at each priority; smaller numbers are more urgent. The least
/// urgent ones make up all refusals as long as they can. As views of the load are late, a more urgent
/// one is refused only from twice the load beyond the limit at which the less urgent ones are at their
/// minimum. With a single priority the result is `shed`.
pub fn refuse_by_priority(demand: &BTreeMap<u8, f64>, shed: f64, priority: u8) -> f64 {
    let has_others = demand.iter().any(|(it, amount)| *it != priority && 0.0 < *amount);
    if !has_others || shed <= 0.0 {
        return shed;
    }
    let most = 1.0 - MIN_PART * (1.0 - shed.min(1.0));
    let total: f64 = demand.values().sum();
    let less_urgent = demand.range((Bound::Excluded(priority), Bound::Unbounded));
    let before = less_urgent.map(|it| it.1).sum::<f64>() / total;
    let is_last = demand.range(..priority).next().is_none();
    let own = if is_last { 1.0 } else { demand.get(&priority).map_or(0.0, |it| it / total) };
    let beyond = shed - (MARGIN * before).min(1.0);
    (beyond / own.max(f64::MIN_POSITIVE)).clamp(0.0, most)
}
