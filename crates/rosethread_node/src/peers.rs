//! Calls and heartbeats between nodes.
//!
//! Requests with one reply go over JSON-RPC; the streams of forwarded calls go over a plain HTTP
//! response, since a subscription per call would cost two more round trips.

mod envelope;
mod http;
mod rpc;

use async_trait::async_trait;
use displaydoc::Display;
use rosethread_config::Publication;
use rosethread_membership::Contact;
use rosethread_types::{MemberName, NodeName, ProgramId, Refusal, Revision, TargetName};
use serde::{Deserialize, Serialize};

use crate::{
    call::{Call, Close, Create, Created, ProgramStatus},
    dispatch::{Lease, Ticket},
    feed::CallStream,
};

pub use http::{HttpPeerClient, serve_peers};

/// Why another node gave no reply.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PeerError {
    /// the node could not be reached: {0}
    Unreachable(String),
    /// the node broke the reply off: {0}
    Broken(String),
}

impl std::error::Error for PeerError {}

/// The document that a node has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentReply {
    /// Its revision.
    pub revision: Revision,
    /// Its publication.
    pub publication: Publication,
}

/// A request from one node to another that has a single reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Create a program.
    Create(Create),
    /// End a program.
    Close(Close),
    /// Tell a program's status.
    Status {
        /// The program.
        program: ProgramId,
        /// The member that asks.
        member: MemberName,
    },
    /// Lend a slot of a target.
    Acquire {
        /// The target.
        target: TargetName,
        /// The node that borrows.
        holder: NodeName,
        /// Who asks.
        ticket: Ticket,
    },
    /// Take a lent slot back.
    Release {
        /// The lease.
        lease: Lease,
    },
    /// Tell the document in force.
    Document,
    /// Take a program over from its owner, which has paused it.
    Adopt {
        /// The program, its grant and account as the owner left them.
        handover: Box<Handover>,
    },
}

/// A program on its way from a node that leaves to its successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The epoch that the successor's claim replaces.
    pub epoch: rosethread_types::Epoch,
    /// The whole state, as an event.
    pub checkpoint: rosethread_program::Event,
    /// The target that caches the history.
    pub target: Option<TargetName>,
    /// The engines that may hold something for the program.
    pub touched: Vec<TargetName>,
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The program was created.
    Created(Created),
    /// The request was carried out.
    Done,
    /// The program's status.
    Status(ProgramStatus),
    /// The slot was lent.
    Granted(Lease),
    /// The document in force, if there is one.
    Document(Option<DocumentReply>),
    /// The request was refused.
    Refused(Refusal),
}

/// The way to other nodes, for calls.
#[async_trait]
pub trait PeerClient: Send + Sync {
    /// Sends a request that has a single reply.
    async fn request(&self, to: &Contact, request: PeerRequest) -> Result<PeerReply, PeerError>;

    /// Forwards a call.
    async fn call(&self, to: &Contact, call: Call) -> Result<CallStream, PeerError>;
}
