//! The messages that failure detectors exchange.

use rosethread_types::NodeName;
use serde::{Deserialize, Serialize};

use crate::{AgedNotice, NodeState};

/// The type of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Requests an acknowledgement from the receiver.
    Ping,
    /// Acknowledges a ping, directly or through a relay.
    Ack {
        /// The node that answered the ping.
        subject: NodeName,
    },
    /// Asks the receiver to ping `subject` and to forward its acknowledgement (SWIM's ping-req).
    Probe {
        /// The node to ping.
        subject: NodeName,
    },
}

/// The content of one datagram between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// What the message requests or acknowledges.
    pub kind: MessageKind,
    /// The sequence number of the ping; its acknowledgement repeats it.
    pub number: u64,
    /// The sender's own report, followed by gossip about other nodes.
    pub states: Vec<NodeState>,
    /// Facts for all nodes, which are encoded behind the rest of the message; the positions of
    /// partial reports follow them.
    #[serde(skip)]
    pub notices: Vec<AgedNotice>,
}
