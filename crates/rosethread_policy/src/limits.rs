//! How hosts share the request rate that a target takes from all of them together.
//!
//! The load that this answers: a target in need names a rate of a few requests per second, and tens
//! or hundreds of hosts send to it. If each kept to the rate alone, the target would get many times as
//! much; if each sent only one request in a while, many hosts would still exceed it.
//!
//! So hosts agree on the few that send without asking each other: rendezvous hashing ranks the live
//! hosts for each target, and the first of the ranking share the rate evenly. The others send nothing
//! until the target is known to have withdrawn its limit. See `docs/design/platform.md`.

use rosethread_types::{NodeName, TargetName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Requests that the selected hosts may together send at once, beyond those of one second.
const SPARE_REQUESTS: f64 = 2.0;

/// The lowest rate at which all hosts together send to a target, in requests per second: without
/// responses nobody learns that a limit has been withdrawn.
const MIN_RATE_PER_S: f64 = 0.25;

/// The part of a target's rate that one host may use: the parameters of its token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShare {
    /// Requests per second.
    pub per_s: f64,
    /// Requests that the host may send at once.
    pub burst: f64,
}

/// Returns the share of host `own` in the `per_s` requests per second that `target` takes from all
/// hosts, or `None` if `own` is not one of those that send to it.
///
/// In a span of `s` seconds all shares together allow `(s + 1) * per_s + 2` requests, or
/// `s * 0.25 + per_s + 2` if the rate is lower than 0.25, as long as the hosts know the same `hosts`.
pub fn rate_share<'a, H>(
    per_s: f64,
    target: &TargetName,
    hosts: H,
    own: &NodeName,
) -> Option<RateShare>
where
    H: Iterator<Item = &'a NodeName>,
{
    let key = xxh3_64_with_seed(target.as_str().as_bytes(), 0);
    let weight = |host: &NodeName| xxh3_64_with_seed(host.as_str().as_bytes(), key);
    let own_weight = (weight(own), own);
    let (mut count, mut rank) = (1, 0);
    for host in hosts.filter(|it| *it != own) {
        count += 1;
        rank += usize::from(own_weight < (weight(host), host));
    }
    let burst = per_s + SPARE_REQUESTS;
    // A float that is too large for the integer saturates.
    let selected = (burst as usize).clamp(1, count);
    (rank < selected).then(|| RateShare {
        per_s: per_s.max(MIN_RATE_PER_S) / selected as f64,
        burst: burst / selected as f64,
    })
}
