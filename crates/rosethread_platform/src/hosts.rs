//! The platform's list of hosts, which may be outdated.

use std::net::SocketAddr;

use async_trait::async_trait;
use rosethread_types::{NodeName, ZoneName};
use serde::{Deserialize, Serialize};

/// The state of a host as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host accepts new work.
    Live,
    /// The host is about to be removed.
    Leaving,
}

/// One entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The name of the node process on the host.
    pub node: NodeName,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// The HTTP address for callers.
    pub caller: SocketAddr,
    /// The HTTP address for other nodes and the console.
    pub peer: SocketAddr,
    /// The UDP address for heartbeats.
    pub heartbeat: SocketAddr,
    /// Whether the host accepts new work.
    pub state: HostState,
}

/// The platform's service that lists live and leaving hosts.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Returns all hosts, or `None` if the list is unavailable.
    async fn hosts(&self) -> Option<Vec<HostEntry>>;
}
