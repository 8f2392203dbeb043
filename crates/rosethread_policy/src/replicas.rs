//! Which hosts keep a small fact about a key, so that it outlives the host that learned it.
//!
//! Hosts agree on them without asking each other: rendezvous hashing ranks the live hosts for each
//! key. When a host goes, only the keys that it kept move on to the next in their ranking, so that
//! whoever asks one host more than keep a fact still finds it.

use std::cmp::Reverse;

use rosethread_types::NodeName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the first `count` hosts in the ranking for `key`.
pub fn select_replicas<'a, H>(key: u64, hosts: H, count: usize) -> Vec<&'a NodeName>
where
    H: Iterator<Item = &'a NodeName>,
{
    let weight = |host: &NodeName| xxh3_64_with_seed(host.as_str().as_bytes(), key);
    let mut ranked: Vec<_> = hosts.map(|it| (Reverse(weight(it)), it)).collect();
    // A full sort of hundreds of hosts takes several times as long.
    if count < ranked.len() {
        ranked.select_nth_unstable(count);
        ranked.truncate(count);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, it)| it).collect()
}
