//! The state of nodes as reported by gossip.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use rosethread_types::{Incarnation, NodeName, Revision, TargetName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::Notice;

/// A node's availability zone and network addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// The availability zone that the node runs in.
    pub zone: ZoneName,
    /// The address for requests of callers.
    pub caller: SocketAddr,
    /// The address for requests between nodes.
    pub peer: SocketAddr,
    /// The UDP address of its failure detector.
    pub heartbeat: SocketAddr,
}

/// A node's status according to the failure detector.
///
/// Of two reports with the same incarnation and version, the one with the greater status wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// The node answers probes and takes new work.
    Alive,
    /// The node takes no new work, and stops once its present work is done.
    Leaving,
    /// The node has answered neither direct nor relayed probes.
    Suspect,
    /// The node has not refuted the suspicion within the suspicion timeout.
    Dead,
}

/// The load of one target, as reported by the node that owns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetName,
    /// The calls that the target is working on.
    pub running: u16,
    /// The calls that wait for the target.
    pub waiting: u16,
}

/// The request rate that a target takes from all nodes together, as it told the reporting node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLimit {
    /// The target.
    pub target: TargetName,
    /// The run of the target that named the limit.
    pub start: Incarnation,
    /// The rate, in thousandths of a request per second.
    pub milli_per_s: u32,
}

/// The application data that a node reports about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeSummary {
    /// The revision of the document that is in force at the node.
    pub revision: Revision,
    /// The calls in progress at the node.
    pub calls: u32,
    /// The programs that the node owns.
    pub programs: u32,
    /// Whether the node reaches the shared log.
    pub has_log: bool,
    /// The CPU share of its host in hundredths of a core; zero if unknown.
    pub power: u16,
    /// The load of the targets that the node owns.
    pub targets: Vec<TargetLoad>,
    /// The limits that targets named to the node.
    pub limits: Vec<TargetLimit>,
    /// Whether loads and limits of some targets only are told, since all of them don't fit into a
    /// report. Nothing is said of the others. It is encoded behind the rest of a message.
    #[serde(skip)]
    pub is_partial: bool,
}

impl NodeSummary {
    /// Returns the summary without what is told of targets.
    pub(crate) fn without_loads(&self) -> NodeSummary {
        let (targets, limits) = (Vec::new(), Vec::new());
        NodeSummary { targets, limits, is_partial: true, ..*self }
    }
}

/// The latest report about one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeState {
    /// The node.
    pub node: NodeName,
    /// Identifies the run of the node's process; it grows with each restart.
    pub incarnation: Incarnation,
    /// The version of the report within the incarnation; only the node itself increments it.
    pub version: u64,
    /// The status that the reporter assigns to the node.
    pub status: Status,
    /// The node's zone and addresses.
    pub contact: Contact,
    /// What the node reported about itself.
    pub summary: NodeSummary,
}

impl NodeState {
    /// Returns whether this report is newer than `other`, which is about the same node.
    pub fn supersedes(&self, other: &NodeState) -> bool {
        let key = |it: &NodeState| (it.incarnation, it.version, it.status);
        key(other) < key(self)
    }
}

/// A snapshot of all known nodes, for readers outside the detector's thread.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterView {
    /// The nodes by name.
    pub nodes: BTreeMap<NodeName, NodeState>,
    /// The facts that any of them has told all others, in order.
    pub notices: Vec<Notice>,
    /// The last reports of nodes that were dead for so long that they are no longer probed.
    pub departed: Arc<BTreeMap<NodeName, NodeState>>,
}

impl ClusterView {
    /// Returns the state of `node`.
    pub fn get(&self, node: &NodeName) -> Option<&NodeState> {
        self.nodes.get(node)
    }

    /// Returns the last state of `node`, also if it has been dead for long.
    pub fn last_state(&self, node: &NodeName) -> Option<&NodeState> {
        self.get(node).or_else(|| self.departed.get(node))
    }

    /// Returns whether `node` is known and not dead.
    pub fn is_running(&self, node: &NodeName) -> bool {
        self.get(node).is_some_and(|it| it.status < Status::Dead)
    }

    /// Returns the nodes that take new work: those that are neither leaving, suspected nor dead.
    pub fn live(&self) -> impl Iterator<Item = &NodeState> {
        self.nodes.values().filter(|it| it.status == Status::Alive)
    }
}
