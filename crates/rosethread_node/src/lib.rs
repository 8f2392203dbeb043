//! The rosethread node: the process that stands between callers and targets.
//!
//! A [`Node`] is built from handed-in [`NodeParts`] (clock, log, targets, host list, transport, random
//! source), so the same code runs as a process over sockets and, many nodes at once, on one paused
//! clock in tests. Control state (membership, configuration, timer, journal) lives on one thread;
//! traffic runs on others and reads immutable snapshots. `ARCHITECTURE.md` shows the path of a
//! call through the modules.

pub mod api;
mod call;
mod control;
mod core;
mod dispatch;
mod feed;
mod limits;
mod metrics;
mod node;
mod owner;
mod peers;
mod process;
mod route;
mod signal;
mod slo;

pub use call::{Answer, Call, CallEvent, Close, Create, Created, ProgramStatus, Work};
pub use core::NodeParts;
pub use dispatch::{Lease, Ticket};
pub use feed::{CallStream, Diverged, Feed, FeedReader, Splice};
pub use metrics::Metrics;
pub use node::{Draining, HostAddress, Node, NodeHandle, Serving, Stopped};
pub use peers::{
    DocumentReply, HttpPeerClient, PeerClient, PeerError, PeerReply, PeerRequest, serve_peers,
};
pub use process::{NodeProcess, NodeSockets, StartError};
pub use rosethread_runtime::{
    DatagramTransport, RandomSource, TaskSpawner, Tick, Timer, UdpTransport,
};
