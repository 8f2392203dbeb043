//! The messages between failure detectors.

use rosethread_types::NodeName;
use serde::{Deserialize, Serialize};

use crate::NodeState;

/// What a message asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Asks the receiver for an acknowledgement.
    Ping,
    /// Answers a ping; `subject` is the node that is known to run.
    Ack {
        /// The node that answered.
        subject: NodeName,
    },
    /// Asks the receiver to ping `subject` and to pass its acknowledgement on.
    Probe {
        /// The node to ping.
        subject: NodeName,
    },
}

/// One datagram between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// What it asks or answers.
    pub kind: MessageKind,
    /// The number of the ping, which its acknowledgements repeat.
    pub number: u64,
    /// The sender's own report, followed by reports about others.
    pub states: Vec<NodeState>,
}
