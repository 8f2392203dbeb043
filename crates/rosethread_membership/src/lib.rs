//! Failure detection, the view of live nodes, and the ownership of targets.
//!
//! The core is pure: [`Detector`] takes messages and the time in, and gives messages out; the node
//! (`rosethread_node`) carries them over UDP. Nothing here decides a dispute: a wrong suspicion
//! moves work, and the journal keeps the promises. See `docs/design/membership.md`.

mod detector;
mod message;
mod rendezvous;
mod state;
mod wire;

pub use detector::{Detector, DetectorConfig, OutgoingMessage};
pub use message::{Message, MessageKind};
pub use rendezvous::{rank_nodes, responsible_node, target_owner};
pub use state::{ClusterView, Contact, NodeState, NodeSummary, Status, TargetLoad};
pub use wire::{AuthKeys, MAX_DATAGRAM, WireError};
