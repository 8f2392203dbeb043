//! The rosethread node: the process that stands between callers and targets.
//!
//! The dependencies of a [`Node`] (clock, log, targets, host list, transport, random source) are
//! injected as [`NodeParts`], so the same code runs in production as a process over sockets, and in
//! tests as many nodes in one process on a paused clock. The control state (membership,
//! configuration, timer, journal) is owned by tasks on one thread; traffic runs on other threads,
//! which read immutable snapshots of it. `ARCHITECTURE.md` shows the path of a call through the
//! modules.

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

pub use call::{Answer, Call, CallEvent, CallPayload, Close, Create, Created, ProgramStatus};
pub use core::NodeParts;
pub use dispatch::{LeaseId, SlotRequest};
pub use feed::{AnswerFeed, AnswerMismatch, CallStream, FeedReader, TextAssembler};
pub use metrics::Metrics;
pub use node::{Draining, HostAddress, Node, NodeHandle, Serving, Stopped};
pub use peers::{
    DocumentReply, HttpPeerClient, PeerClient, PeerError, PeerReply, PeerRequest, serve_peers,
};
pub use process::{NodeProcess, NodeSockets, StartError};
pub use rosethread_runtime::{
    DatagramTransport, RandomSource, TaskSpawner, Tick, Timer, UdpTransport,
};
