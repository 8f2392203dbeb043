//! The platform's list of hosts, which lags behind events.

use std::net::SocketAddr;

use async_trait::async_trait;
use rosethread_types::{NodeName, ZoneName};
use serde::{Deserialize, Serialize};

/// What the platform says about a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host takes new work.
    Live,
    /// The host is about to go.
    Leaving,
}

/// One entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The name of the node process on the host.
    pub node: NodeName,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for calls between nodes.
    pub peer: SocketAddr,
    /// The address for heartbeats.
    pub heartbeat: SocketAddr,
    /// Whether the host stays.
    pub state: HostState,
}

/// The platform's list of live and leaving hosts.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Returns the list, or nothing while it is unavailable.
    async fn hosts(&self) -> Option<Vec<HostEntry>>;
}
