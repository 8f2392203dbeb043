//! Requests between the hosts' processes.
//!
//! One TCP connection a pair carries many requests at once, each with a number that its reply
//! repeats, so that a slow one does not hold up the others. Frames and encoding come from
//! libraries. jsonrpsee, which `rosethread_node` uses, costs several times the processor time for
//! messages as short and frequent as these; a host has a quarter of a core.

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
    chains::Turn,
    ledger::{GrantRequest, Ledger, Settlement, Verdict},
    registry::Target,
    routes::Routes,
    shards::YieldedAccounts,
};

pub use client::TcpPeerClient;
pub use server::serve_peers;

/// The largest frame, in bytes: a chain of kept turns with room to spare.
const MAX_FRAME: usize = 16 << 20;

/// Why another node gave no reply.
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
    /// Decide whether a turn may run.
    Ask {
        /// The program's shard.
        shard: u32,
        /// The turn.
        ask: GrantRequest,
    },
    /// Take note of how a granted turn ended.
    Settle {
        /// The program's shard.
        shard: u32,
        /// How it ended.
        settlement: Settlement,
    },
    /// Tell everything that was said up to a turn.
    Chain {
        /// The program's shard.
        shard: u32,
        /// The last turn.
        turn: RequestId,
    },
    /// Write a turn to the log.
    Write {
        /// The program's shard.
        shard: u32,
        /// The turn.
        turn: Turn,
    },
    /// Go on with a shard in the stead of its owner, which stops while the log is away.
    TakeOn {
        /// The shard.
        shard: u32,
        /// The epoch of the claim from which the accounts come.
        epoch: u64,
        /// Its accounts, which grant only here from now on.
        ledger: Box<Ledger>,
    },
    /// Stop granting for a shard, and hand its accounts over.
    Yield {
        /// The shard.
        shard: u32,
    },
    /// Tell the routes in force.
    Routes,
    /// Tell the targets that are known.
    Targets,
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The decision about a turn.
    Verdict(Verdict),
    /// Everything that was said up to the turn.
    Chain(Bytes),
    /// The whole log was read, and there is no such turn.
    NoTurn,
    /// The request was carried out.
    Done,
    /// The accounts of a shard that the node has given up, if it had any.
    Yielded(Option<YieldedAccounts>),
    /// The routes in force.
    Routes(Routes),
    /// The targets, and how old the knowledge is, in milliseconds.
    Targets {
        /// The targets.
        targets: Vec<Target>,
        /// The time since the store was read, in milliseconds.
        age_ms: u64,
    },
    /// Another node owns the shard.
    OwnedBy(NodeName),
    /// This node cannot tell: it does not own the shard, or the store does not answer.
    Unable(String),
}

/// The way to other nodes.
#[async_trait]
pub trait PeerClient: Send + Sync {
    /// Sends a request and waits for its reply.
    async fn request(&self, to: SocketAddr, request: PeerRequest) -> Result<PeerReply, PeerError>;
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_codec()
}
