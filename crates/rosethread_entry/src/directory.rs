//! The directory service: tells callers which hosts to use.

use std::{net::SocketAddr, time::Duration};

use rosethread_membership::NodeSummary;
use rosethread_policy::{HostLoad, order_hosts};
use rosethread_types::ZoneName;

use crate::entry::{Entry, Phase};

/// The maximum number of hosts in one response.
const MAX_HOSTS: usize = 64;

/// How long callers may cache a response of a serving host; `keep_s` in the settings can lower it.
const DEFAULT_TTL: Duration = Duration::from_secs(2);

/// How long callers may cache a response of a host that is shutting down.
const DRAINING_TTL: Duration = Duration::from_millis(500);

/// The hosts that a caller should use, and how long it may cache the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryResponse {
    /// The caller addresses of the hosts, in order of preference.
    pub addresses: Vec<SocketAddr>,
    /// How long the list may be cached.
    pub ttl: Duration,
}

/// Returns the hosts for a caller in `zone`: those that are alive, not draining, and have routes.
///
/// An isolated host returns an empty list.
pub fn list_hosts(entry: &Entry, zone: Option<&ZoneName>) -> DirectoryResponse {
    let view = entry.view();
    if entry.is_isolated() {
        // Its view is out of date; the caller should ask another host.
        return DirectoryResponse { addresses: Vec::new(), ttl: Duration::ZERO };
    }
    let ready: Vec<_> = view.live().filter(|it| it.summary.revision.0 != 0).collect();
    let loads: Vec<HostLoad> = ready
        .iter()
        .map(|it| HostLoad {
            node: it.node.clone(),
            calls: calls_per_processor(&it.summary),
            is_same_zone: zone == Some(&it.contact.zone),
        })
        .collect();
    let order = order_hosts(&loads, MAX_HOSTS, || entry.random.next_f64());
    let addresses = order.into_iter().map(|it| ready[it].contact.caller).collect();
    let max_ttl = Duration::from_secs_f64(entry.reloadable().bounds.keep_s);
    let ttl = if entry.phase() == Phase::Serving { DEFAULT_TTL } else { DRAINING_TTL };
    DirectoryResponse { addresses, ttl: ttl.min(max_ttl) }
}

/// Scales a host's number of calls to a whole processor, so that hosts of unequal size compare.
fn calls_per_processor(summary: &NodeSummary) -> u32 {
    summary.calls.saturating_mul(100) / u32::from(summary.power.max(1))
}
