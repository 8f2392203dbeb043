//! The load that this answers: one organisation sends eight times its usual.
//!
//! What an organisation sends beyond its share is refused before anything else is. Its share is the
//! one that it usually has beside the others, so that a large organisation is not refused for being
//! large, and one that is always small has no less for it. A host sees few programs of a small
//! organisation, so an organisation counts as far above its share only if that is no accident of a few
//! arrivals.

use std::collections::BTreeMap;

use crate::Arrivals;

/// How many times its share an organisation has to send before any of it is refused for that.
const FAR_ABOVE: f64 = 2.0;

/// How many standard deviations of its arrivals an organisation has to be above its share.
const DEVIATIONS: f64 = 1.0;

/// The largest multiple; an organisation that is new has no usual rate.
const MAX_MULTIPLE: f64 = 100.0;

/// The steps of the search for the common level, each of which halves its range.
const SEARCH_STEPS: usize = 30;

/// What one organisation sends, and what its share would be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FairShare {
    /// What it sends as a multiple of its share.
    pub multiple: f64,
    /// The part of its programs that stays within the level to which the excess is cut.
    pub kept: f64,
}

/// The excess that is refused.
#[derive(Clone, Debug, PartialEq)]
pub struct FairCut<K> {
    /// The organisations with demand.
    pub shares: BTreeMap<K, FairShare>,
    /// The refused part of all programs.
    pub refused: f64,
}

/// Returns which part of each organisation's programs to keep so that at most the part `refused` of
/// all programs is refused, all of it from organisations far above their shares.
///
/// They are cut to the same multiple of their shares, which is at least 1, and keep at least
/// `min_kept` of their programs.
pub fn cut_excess<K>(demand: &BTreeMap<K, Arrivals>, refused: f64, min_kept: f64) -> FairCut<K>
where
    K: Ord + Clone,
{
    let total = demand.values().fold(Arrivals::default(), |sum, it| Arrivals {
        recent: sum.recent + it.recent,
        usual: sum.usual + it.usual,
    });
    let multiples: BTreeMap<K, f64> =
        demand.iter().map(|(key, it)| (key.clone(), multiple(*it, total))).collect();
    let kept = |multiple: f64, level: f64| {
        if multiple <= FAR_ABOVE { 1.0 } else { (level / multiple).clamp(min_kept, 1.0) }
    };
    let refused_at = |level: f64| {
        let parts = demand.iter().map(|(key, it)| it.recent * (1.0 - kept(multiples[key], level)));
        parts.sum::<f64>() / total.recent.max(f64::MIN_POSITIVE)
    };
    let highest = multiples.values().copied().fold(1.0, f64::max);
    let (mut low, mut high) = (1.0, highest);
    for _ in 0..SEARCH_STEPS {
        let level = f64::midpoint(low, high);
        if refused < refused_at(level) { low = level } else { high = level }
    }
    // The upper end refuses no more than allowed.
    let share = |multiple: f64| FairShare { multiple, kept: kept(multiple, high) };
    let shares = multiples.iter().map(|(key, it)| (key.clone(), share(*it))).collect();
    FairCut { shares, refused: refused_at(high) }
}

/// Returns what an organisation sends as a multiple of the part that it usually has beside the others;
/// at most 1 if a few accidental arrivals explain it.
fn multiple(own: Arrivals, total: Arrivals) -> f64 {
    let others = Arrivals { recent: total.recent - own.recent, usual: total.usual - own.usual };
    if others.recent <= 0.0 || others.usual <= 0.0 {
        return 1.0;
    }
    let expected = own.usual / others.usual * others.recent;
    let is_accident = own.recent - expected < DEVIATIONS * own.recent.sqrt();
    let multiple = own.recent / expected.max(f64::MIN_POSITIVE);
    if is_accident { multiple.min(1.0) } else { multiple.min(MAX_MULTIPLE) }
}
