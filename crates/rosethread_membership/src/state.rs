//! What a node knows about the others.

use std::{collections::BTreeMap, net::SocketAddr};

use rosethread_types::{Incarnation, NodeName, Revision, TargetName, ZoneName};
use serde::{Deserialize, Serialize};

/// Where a node is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its address for callers.
    pub caller: SocketAddr,
    /// Its address for calls between nodes.
    pub peer: SocketAddr,
    /// Its address for heartbeats.
    pub heartbeat: SocketAddr,
}

/// Whether a node is believed to run.
///
/// The order is the order of precedence between reports of the same version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// It answers.
    Alive,
    /// It takes no new work and will stop.
    Leaving,
    /// It has not answered, directly or through others.
    Suspect,
    /// It has not answered for the whole time of suspicion.
    Dead,
}

/// The load of one target, as its owner sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetName,
    /// Calls that it works on.
    pub running: u16,
    /// Calls that wait for it.
    pub waiting: u16,
}

/// What a node tells about itself with its heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeSummary {
    /// The revision of the document that it has in force.
    pub revision: Revision,
    /// Calls under way at the node.
    pub calls: u32,
    /// Programs that it owns.
    pub programs: u32,
    /// Whether it reaches the shared log.
    pub has_log: bool,
    /// Its host's share of a processor, in hundredths; zero if it does not say.
    pub power: u16,
    /// The load of the targets that it owns.
    pub targets: Vec<TargetLoad>,
}

/// The latest report about one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeState {
    /// The node.
    pub node: NodeName,
    /// The run of its process; a restart has a larger one.
    pub incarnation: Incarnation,
    /// The number of the report within the run; the node itself raises it.
    pub version: u64,
    /// Whether it is believed to run.
    pub status: Status,
    /// Where it is.
    pub contact: Contact,
    /// What it told about itself.
    pub summary: NodeSummary,
}

impl NodeState {
    /// Tells whether this report replaces `other`.
    pub fn supersedes(&self, other: &NodeState) -> bool {
        let key = |it: &NodeState| (it.incarnation, it.version, it.status);
        key(other) < key(self)
    }
}

/// All nodes that are known, for readers outside the control thread.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterView {
    /// The nodes by name.
    pub nodes: BTreeMap<NodeName, NodeState>,
}

impl ClusterView {
    /// Returns the state of `node`.
    pub fn get(&self, node: &NodeName) -> Option<&NodeState> {
        self.nodes.get(node)
    }

    /// Tells whether `node` is believed to run.
    pub fn is_running(&self, node: &NodeName) -> bool {
        self.get(node).is_some_and(|it| it.status < Status::Dead)
    }

    /// Returns the nodes that take new work: those that answer and do not leave.
    pub fn live(&self) -> impl Iterator<Item = &NodeState> {
        self.nodes.values().filter(|it| it.status == Status::Alive)
    }
}
