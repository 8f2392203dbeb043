//! Which hosts callers should use.

use std::{net::SocketAddr, time::Duration};

use rosethread_membership::NodeSummary;
use rosethread_policy::{HostLoad, order_hosts};
use rosethread_types::ZoneName;

use crate::entry::{Entry, Phase};

/// The most hosts in one answer.
const MAX_HOSTS: usize = 64;

/// How long callers may keep an answer while nothing changes, unless they are told less.
const KEEP: Duration = Duration::from_secs(2);

/// How long callers may keep an answer of a host that is about to stop.
const LEAVING_KEEP: Duration = Duration::from_millis(500);

/// The hosts to use, and for how long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostList {
    /// The addresses for callers, those to prefer first.
    pub addresses: Vec<SocketAddr>,
    /// How long the answer may be kept.
    pub ttl: Duration,
}

/// Returns the hosts for a caller in `zone`: those that answer, have routes and do not leave.
pub fn list_hosts(entry: &Entry, zone: Option<&ZoneName>) -> HostList {
    let view = entry.view();
    if entry.is_isolated() {
        // Whoever asks finds a host that sees more.
        return HostList { addresses: Vec::new(), ttl: Duration::ZERO };
    }
    let ready: Vec<_> = view.live().filter(|it| it.summary.revision.0 != 0).collect();
    let loads: Vec<HostLoad> = ready
        .iter()
        .map(|it| HostLoad {
            node: it.node.clone(),
            calls: relative_calls(&it.summary),
            is_same_zone: zone == Some(&it.contact.zone),
        })
        .collect();
    let order = order_hosts(&loads, MAX_HOSTS, || entry.random.next_f64());
    let addresses = order.into_iter().map(|it| ready[it].contact.caller).collect();
    let longest = Duration::from_secs_f64(entry.reloadable().bounds.keep_s);
    let keep = if entry.phase() == Phase::Serving { KEEP } else { LEAVING_KEEP };
    HostList { addresses, ttl: keep.min(longest) }
}

/// Returns a host's calls as if it had a whole processor.
fn relative_calls(summary: &NodeSummary) -> u32 {
    summary.calls.saturating_mul(100) / u32::from(summary.power.max(1))
}
