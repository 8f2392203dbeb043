//! Requests and forwarded calls between nodes.
//!
//! A request with a single reply is a JSON-RPC call. The events of a forwarded call are the lines of
//! a plain HTTP response, since a JSON-RPC subscription per call would cost two more round trips.

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
    dispatch::{LeaseId, SlotRequest},
    feed::CallStream,
};

pub use http::{HttpPeerClient, serve_peers};

/// The reason why there is no reply from another node.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PeerError {
    /// the node is unreachable or rejected the request: {0}
    Unreachable(String),
    /// the node may have handled the request, but there is no reply: {0}
    Broken(String),
}

impl std::error::Error for PeerError {}

/// The active document of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentReply {
    /// The revision of the document.
    pub revision: Revision,
    /// The publication from which the document can be restored.
    pub publication: Publication,
}

/// A request from one node to another that has a single reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Creates a program.
    Create(Create),
    /// Ends a program.
    Close(Close),
    /// Returns a program's status.
    Status {
        /// The program.
        program: ProgramId,
        /// The member on whose behalf the status is requested.
        member: MemberName,
    },
    /// Leases a slot of a target from the target's owner.
    Acquire {
        /// The target.
        target: TargetName,
        /// The node that will hold the lease.
        holder: NodeName,
        /// The call that needs the slot.
        ticket: SlotRequest,
    },
    /// Returns a leased slot.
    Release {
        /// The lease.
        lease: LeaseId,
    },
    /// Returns the active document.
    Document,
    /// Transfers a program from its owner, which has paused it, to the receiver.
    Adopt {
        /// The program, its grant and its account, as the owner left them.
        handover: Box<Handover>,
    },
}

/// The state of a program that a draining node hands over to the next owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The epoch of the present owner; the next owner's claim must replace it.
    pub epoch: rosethread_types::Epoch,
    /// The complete state of the program, as a journal event.
    pub checkpoint: rosethread_program::Event,
    /// The target that caches the history.
    pub target: Option<TargetName>,
    /// The engines that may hold cache entries or streams of the program.
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
    /// The slot was leased.
    Granted(LeaseId),
    /// The active document, if one has been published.
    Document(Option<DocumentReply>),
    /// The request was refused.
    Refused(Refusal),
}

/// A client that sends requests and calls to other nodes.
#[async_trait]
pub trait PeerClient: Send + Sync {
    /// Sends a request that has a single reply.
    async fn request(&self, to: &Contact, request: PeerRequest) -> Result<PeerReply, PeerError>;

    /// Forwards a call and returns the stream of its events.
    async fn call(&self, to: &Contact, call: Call) -> Result<CallStream, PeerError>;
}
