//! The request protocol between nodes. A node is the process that runs on a host, one on each.
//!
//! A node multiplexes its requests to another one over a single TCP connection. Each request has an
//! ID that its reply repeats, so that a slow request does not hold up the others. Messages are
//! encoded with postcard in length-delimited frames. jsonrpsee, which `rosethread_node` uses, costs
//! several times the CPU time for messages as short and frequent as these, and a host may have only
//! a quarter of a core.

mod client;
mod server;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;
use rosethread_runtime::LifeSigns;
use rosethread_types::{NodeName, RequestId, ServiceName, SoftwareVersion};
use serde::{Deserialize, Serialize};
use tokio_util::codec::LengthDelimitedCodec;

use crate::{
    ledger::{GrantRequest, HeldGrant, Ledger, Settlement, Verdict},
    paths::{NoPath, PathRequest, Probe},
    quota::{QuotaAsk, QuotaReply},
    registry::Target,
    routes::Routes,
    shards::YieldedAccounts,
    turns::FinishedTurn,
};

pub use client::TcpPeerClient;
pub use server::serve_peers;

/// The largest frame that is sent or accepted, in bytes: the transcript of a conversation, with
/// room to spare.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// Why a request to another node got no reply; the node may have carried it out all the same.
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
    /// Decide whether a turn may run, as the owner of the program's shard. A node that does not own
    /// the shard tries to claim it first, or names the owner.
    Ask {
        /// The program's shard.
        shard: u32,
        /// The turn and the tokens that it asks for.
        ask: GrantRequest,
    },
    /// Record how a granted turn ended. It is sent to all nodes that were asked for the turn's
    /// tokens, since each of them may have granted some.
    Settle {
        /// The program's shard.
        shard: u32,
        /// How it ended.
        settlement: Settlement,
        /// The grant, if the sender holds it. It follows the request, where nodes of the last release
        /// don't look.
        #[serde(skip)]
        held: Option<HeldGrant>,
    },
    /// Return the transcript up to and including a turn: the inputs and outputs of the chain of
    /// turns that it continues.
    Chain {
        /// The shard in which to look for the turn.
        shard: u32,
        /// The last turn of the transcript.
        turn: RequestId,
    },
    /// Append a finished turn to the log, on behalf of the sender. The node that is responsible for
    /// the shard batches the turns of all nodes, and any other node that reaches the log can stand
    /// in for it.
    Write {
        /// The program's shard.
        shard: u32,
        /// The turn.
        turn: FinishedTurn,
    },
    /// Take over a shard from its owner, which is shutting down and does not reach the log. The
    /// ledger is dropped if the receiver owns the shard, or has lost it under a later claim.
    TakeOn {
        /// The shard.
        shard: u32,
        /// The epoch of the claim from which the accounts come.
        epoch: u64,
        /// The shard's token accounts. From now on only the receiver grants from them.
        ledger: Box<Ledger>,
    },
    /// Stop granting tokens for a shard, and hand its accounts over to the sender, which is
    /// claiming the shard. A node that can still serve the shard keeps it and replies with
    /// [`PeerReply::OwnedBy`].
    Yield {
        /// The shard.
        shard: u32,
    },
    /// Return the active routes.
    Routes,
    /// Return the known targets.
    Targets,
    /// Keep the versions of the software at which streams began.
    NoteOrigins {
        /// The digests of the attempts that brought the first events, with the versions.
        origins: Vec<(u64, Option<SoftwareVersion>)>,
    },
    /// Return the version of the software at which a stream began.
    FindOrigin {
        /// The digest of the attempt that brought the first event.
        key: u64,
    },
    /// Open a path to a target. It is the first request on its connection, which carries the path if
    /// the reply is [`PeerReply::Done`].
    OpenPath(PathRequest),
    /// Return what the node finds at the address of a target.
    ProbeTarget(PathRequest),
    /// Return the versions of a service's software after another read of the registry, and the one at
    /// which a stream began.
    ConfirmSoftware {
        /// The service.
        service: ServiceName,
        /// The digest of the attempt that brought the first event, if the caller named it.
        key: Option<u64>,
    },
    /// Grant tokens of an organisation's limit, as its owner.
    AskQuota(QuotaAsk),
}

impl PeerRequest {
    /// Encodes the request as number `id`. Whether a turn is stored, or what its sender holds, follows it,
    /// where nodes of the last release don't look.
    pub fn encode(&self, id: u64) -> Result<Vec<u8>, postcard::Error> {
        let frame = postcard::to_stdvec(&(id, self))?;
        match self {
            PeerRequest::Ask { ask, .. } if ask.is_stored => postcard::to_extend(&true, frame),
            PeerRequest::Settle { held: Some(held), .. } => postcard::to_extend(held, frame),
            _ => Ok(frame),
        }
    }

    /// Decodes a request, without its number.
    pub fn decode(bytes: &[u8]) -> Result<PeerRequest, postcard::Error> {
        let (mut request, rest): (PeerRequest, &[u8]) = postcard::take_from_bytes(bytes)?;
        match &mut request {
            PeerRequest::Ask { ask, .. } if !rest.is_empty() => {
                ask.is_stored = postcard::take_from_bytes(rest)?.0;
            }
            PeerRequest::Settle { held, .. } if !rest.is_empty() => {
                *held = Some(postcard::take_from_bytes(rest)?.0);
            }
            _ => (),
        }
        Ok(request)
    }

    /// Returns whether the request shares the connection with those that all releases know.
    ///
    /// The last release says that it doesn't know a request; those before it close the connection.
    fn shares_connection(&self) -> bool {
        !matches!(self, PeerRequest::NoteOrigins { .. } | PeerRequest::FindOrigin { .. })
    }
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The decision about a turn.
    Verdict(Verdict),
    /// The transcript: all inputs and outputs up to and including the turn.
    Chain(Bytes),
    /// The turn does not exist in the shard: the node has read the shard's whole partition of the
    /// log.
    NoTurn,
    /// The request was carried out, and it has no result.
    Done,
    /// The node does not own the shard, or has just given it up. Holds its accounts if it has any.
    Yielded(Option<YieldedAccounts>),
    /// The active routes.
    Routes(Routes),
    /// The known targets.
    Targets {
        /// The targets.
        targets: Vec<Target>,
        /// The time since the store last responded to the node that read them, in milliseconds.
        age_ms: u64,
    },
    /// Another node owns the shard.
    OwnedBy(NodeName),
    /// The node could not carry out the request, and why. It may not own the shard, or the log may
    /// be unavailable.
    Unable(String),
    /// The version of the software at which a stream began, if the node knows it.
    Origin(Option<Option<SoftwareVersion>>),
    /// The node opens no path to the target.
    NoPath(NoPath),
    /// What the node found at the address of the target.
    Probed(Probe),
    /// The versions of a service's software.
    Software {
        /// The version at which the stream began, if the node knows it.
        origin: Option<Option<SoftwareVersion>>,
        /// The versions that the service's targets run, or ran a short time ago.
        software: Vec<Option<SoftwareVersion>>,
        /// Whether these were all when the request arrived.
        is_certain: bool,
    },
    /// The decision about an organisation's limit.
    Quota(QuotaReply),
}

impl PeerReply {
    /// Encodes the reply to request `id`. The versions of targets' software, who may use the routes, or
    /// under which claim tokens are reserved follow it, where nodes of the last release don't look.
    pub fn encode(&self, id: u64) -> Result<Vec<u8>, postcard::Error> {
        let frame = postcard::to_stdvec(&(id, self))?;
        match self {
            PeerReply::Targets { targets, .. } => {
                let software: Vec<_> = targets.iter().map(|it| &it.software).collect();
                postcard::to_extend(&software, frame)
            }
            // Without it, the receiver is to know that these routes lack it.
            PeerReply::Routes(routes) if !routes.lacks_access => {
                postcard::to_extend(&routes.access(), frame)
            }
            PeerReply::Verdict(Verdict::Granted { reserved: Some(epoch), .. }) => {
                postcard::to_extend(epoch, frame)
            }
            _ => Ok(frame),
        }
    }

    /// Decodes a reply and the ID of its request.
    pub fn decode(frame: &[u8]) -> Result<(u64, PeerReply), postcard::Error> {
        let ((id, mut reply), rest): ((u64, PeerReply), &[u8]) = postcard::take_from_bytes(frame)?;
        match &mut reply {
            PeerReply::Targets { targets, .. } if !rest.is_empty() => {
                let software: Vec<Option<SoftwareVersion>> = postcard::from_bytes(rest)?;
                for (target, software) in targets.iter_mut().zip(software) {
                    target.software = software;
                }
            }
            PeerReply::Routes(routes) if rest.is_empty() => routes.lacks_access = true,
            PeerReply::Routes(routes) => routes.set_access(postcard::from_bytes(rest)?),
            PeerReply::Verdict(Verdict::Granted { reserved, .. }) if !rest.is_empty() => {
                *reserved = Some(postcard::from_bytes(rest)?);
            }
            _ => (),
        }
        Ok((id, reply))
    }
}

/// Sends requests to other nodes.
#[async_trait]
pub trait PeerClient: Send + Sync {
    /// Sends a request to the node at `to`, and waits for the reply.
    async fn request(&self, to: SocketAddr, request: PeerRequest) -> Result<PeerReply, PeerError>;

    /// Returns whether the node at `to` has replied to a request within `time`, over a connection that
    /// is still open.
    fn has_replied(&self, to: SocketAddr, time: Duration) -> bool;
}

/// Tells membership of the nodes that reply to requests.
pub(crate) struct AnsweringPeers(pub(crate) Arc<dyn PeerClient>);

impl LifeSigns for AnsweringPeers {
    fn has_answered(&self, peer: SocketAddr, time: Duration) -> bool {
        self.0.has_replied(peer, time)
    }
}

pub(crate) fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
