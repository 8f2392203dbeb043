//! Failure detection, the view of live nodes, and the assignment of targets to nodes.
//!
//! The crate does no I/O: [`Detector`] takes messages and the time as input and returns the
//! messages to send; `rosethread_runtime` exchanges them over UDP. Correctness does not depend on
//! the detector: a false suspicion only moves work, and the guarantees to callers are enforced by
//! the journal. See `docs/design/membership.md`.

mod detector;
mod loads;
mod message;
mod notices;
mod rendezvous;
mod state;
mod wire;

pub use detector::{Detector, DetectorConfig, OutgoingMessage};
pub use message::{Message, MessageKind};
pub use notices::{AgedNotice, NOTICE_LIFETIME, Notice};
pub use rendezvous::{rank_nodes, responsible_node, target_owner};
pub use state::{ClusterView, Contact, NodeState, NodeSummary, Status, TargetLimit, TargetLoad};
pub use wire::{AuthKeys, DatagramError, MAC_BYTES, MAX_CLOCK_SKEW_MS, MAX_DATAGRAM};
