//! The order in which callers try the hosts.
//!
//! Callers cache the answer for a while, so hosts are drawn at random with weights that fall with
//! load. This spreads the callers; always naming the least loaded host would send all of them
//! there.

use rosethread_types::NodeName;

/// The factor by which a host in the caller's zone weighs more than one in another zone.
const SAME_ZONE_FACTOR: f64 = 4.0;

/// A host that callers may use, and its load.
#[derive(Clone, Debug, PartialEq)]
pub struct HostLoad {
    /// The name of the host's node.
    pub node: NodeName,
    /// The number of calls in progress at the host.
    pub calls: u32,
    /// Whether the host is in the caller's availability zone.
    pub is_same_zone: bool,
}

/// Draws at most `count` hosts by weight and returns their indices in the order of the draw.
///
/// `random` returns uniform numbers of at least 0 and below 1.
pub fn order_hosts(
    hosts: &[HostLoad],
    count: usize,
    mut random: impl FnMut() -> f64,
) -> Vec<usize> {
    let total: u64 = hosts.iter().map(|it| u64::from(it.calls)).sum();
    let mean = total as f64 / hosts.len().max(1) as f64;
    // Weighted sampling without replacement by exponential keys (Efraimidis and Spirakis): the
    // smallest keys come first.
    let mut keys: Vec<(f64, usize)> = hosts
        .iter()
        .enumerate()
        .map(|(index, it)| (-random().max(f64::MIN_POSITIVE).ln() / weight(it, mean), index))
        .collect();
    keys.sort_by(|a, b| a.0.total_cmp(&b.0));
    keys.into_iter().take(count).map(|(_, index)| index).collect()
}

/// Returns the weight of a host, where 1 is a host of mean load.
///
/// The weight by load lies between 0.2 and 2; hosts in the caller's zone have a multiple of it.
fn weight(host: &HostLoad, mean: f64) -> f64 {
    let relative = (f64::from(host.calls) + 1.0) / (mean + 1.0);
    let by_load = (1.0 / relative).clamp(0.2, 2.0);
    if host.is_same_zone { by_load * SAME_ZONE_FACTOR } else { by_load }
}
