//! In which order callers try the hosts.
//!
//! Callers keep an answer for a while, so hosts are drawn at random with weights that fall with
//! load: a draw spreads callers, where the least loaded host would attract them all.

use rosethread_types::NodeName;

/// How much a host in the caller's zone is preferred.
const ZONE_FACTOR: f64 = 4.0;

/// A host that callers may use.
#[derive(Clone, Debug, PartialEq)]
pub struct HostLoad {
    /// The node on the host.
    pub node: NodeName,
    /// Calls under way there.
    pub calls: u32,
    /// Whether it is in the caller's zone.
    pub is_same_zone: bool,
}

/// Returns the positions of at most `count` hosts in the order of a weighted draw.
///
/// `random` gives numbers between 0 and 1.
pub fn order_hosts(
    hosts: &[HostLoad],
    count: usize,
    mut random: impl FnMut() -> f64,
) -> Vec<usize> {
    let total: u64 = hosts.iter().map(|it| u64::from(it.calls)).sum();
    let mean = total as f64 / hosts.len().max(1) as f64;
    // The draw by exponential keys of Efraimidis and Spirakis: the smallest keys come first.
    let mut keys: Vec<(f64, usize)> = hosts
        .iter()
        .enumerate()
        .map(|(index, it)| (-random().max(f64::MIN_POSITIVE).ln() / weight(it, mean), index))
        .collect();
    keys.sort_by(|a, b| a.0.total_cmp(&b.0));
    keys.into_iter().take(count).map(|(_, index)| index).collect()
}

/// Returns the weight of a host; at most twice and at least a fifth of an average one's.
fn weight(host: &HostLoad, mean: f64) -> f64 {
    let relative = (f64::from(host.calls) + 1.0) / (mean + 1.0);
    let by_load = (1.0 / relative).clamp(0.2, 2.0);
    if host.is_same_zone { by_load * ZONE_FACTOR } else { by_load }
}
