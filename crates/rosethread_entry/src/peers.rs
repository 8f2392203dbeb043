//! The request protocol between hosts.
//!
//! A host multiplexes its requests to another one over a single TCP connection. Each request has an
//! ID that its reply repeats, so that a slow request does not hold up the others. Messages are
//! encoded with postcard in length-delimited frames. jsonrpsee, which `rosethread_node` uses, costs
//! several times the CPU time for messages as short and frequent as these, and a host has a quarter
//! of a core.

mod client;
mod server;

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;
use rosethread_types::{NodeName, RequestId};
use serde::{Deserialize, Serialize};
use tokio_util::codec::LengthDelimitedCodec;

use crate::{
    ledger::{GrantRequest, Ledger, Settlement, Verdict},
    registry::Target,
    routes::Routes,
    shards::YieldedAccounts,
    turns::FinishedTurn,
};

pub use client::TcpPeerClient;
pub use server::serve_peers;

/// The largest accepted frame, in bytes: the transcript of a conversation, with room to spare.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// Why a request to another node got no reply.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PeerError {
    /// the node could not be reached: {0}
    Unreachable(String),
    /// the node did not reply in time
    TimedOut,
}

impl std::error::Error for PeerError {}

/// A request from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Decide whether a turn may run, as the owner of the program's shard.
    Ask {
        /// The program's shard.
        shard: u32,
        /// The turn and the tokens that it asks for.
        ask: GrantRequest,
    },
    /// Record how a granted turn ended.
    Settle {
        /// The program's shard.
        shard: u32,
        /// How it ended.
        settlement: Settlement,
    },
    /// Return the transcript up to and including a turn.
    Chain {
        /// The shard in which to look for the turn.
        shard: u32,
        /// The last turn of the transcript.
        turn: RequestId,
    },
    /// Append a finished turn to the log.
    Write {
        /// The program's shard.
        shard: u32,
        /// The turn.
        turn: FinishedTurn,
    },
    /// Take over a shard from its owner, which stops while the log is unavailable.
    TakeOn {
        /// The shard.
        shard: u32,
        /// The epoch of the claim from which the accounts come.
        epoch: u64,
        /// The shard's token accounts. From now on only the receiver grants from them.
        ledger: Box<Ledger>,
    },
    /// Stop granting tokens for a shard, and hand its accounts over to the sender.
    Yield {
        /// The shard.
        shard: u32,
    },
    /// Return the routes in force.
    Routes,
    /// Return the known targets.
    Targets,
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The decision about a turn.
    Verdict(Verdict),
    /// The transcript: all inputs and outputs up to and including the turn.
    Chain(Bytes),
    /// The whole partition was read, and it does not hold the turn.
    NoTurn,
    /// The request was carried out.
    Done,
    /// The accounts of the shard that the node has given up, if it had any.
    Yielded(Option<YieldedAccounts>),
    /// The routes in force.
    Routes(Routes),
    /// The known targets.
    Targets {
        /// The targets.
        targets: Vec<Target>,
        /// The time since they were read from the log, in milliseconds.
        age_ms: u64,
    },
    /// Another node owns the shard.
    OwnedBy(NodeName),
    /// The node could not carry out the request, and why. It may not own the shard, or the log may
    /// be unavailable.
    Unable(String),
}

/// Sends requests to other nodes.
#[async_trait]
pub trait PeerClient: Send + Sync {
    /// Sends a request to the node at `to`, and waits for the reply.
    async fn request(&self, to: SocketAddr, request: PeerRequest) -> Result<PeerReply, PeerError>;
}

fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
