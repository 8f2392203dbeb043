//! The server side of requests between nodes.

use std::sync::Arc;

use bytes::Bytes;
use futures::{
    SinkExt, StreamExt,
    future::ready,
    stream::{self, SplitSink},
};
use slog::{debug, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{
    control,
    entry::Entry,
    grants, history, paths,
    peers::{PeerReply, PeerRequest, frame_codec},
    quota,
    settlements::{self, Settled},
    shards::{self, NotOwned},
    software::software_reply,
};

/// The most replies that are queued for writing on one connection.
const MAX_QUEUED_REPLIES: usize = 256;

/// Accepts connections from other nodes and answers their requests until the process ends.
pub async fn serve_peers(entry: Arc<Entry>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                // Without TCP_NODELAY the connection still works, only slower.
                let _ = socket.set_nodelay(true);
                entry.tasks.spawn(serve_connection(entry.clone(), socket));
            }
            Err(error) => {
                warn!(entry.logger, "peers: could not accept a connection"; "error" => %error);
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection(entry: Arc<Entry>, socket: TcpStream) {
    let mut framed = Framed::new(socket, frame_codec());
    let Some(Ok(first)) = framed.next().await else {
        return;
    };
    if let Ok((id, PeerRequest::OpenPath(request))) = postcard::from_bytes(&first) {
        paths::serve_path(&entry, framed, id, request).await;
        return;
    }
    let (sink, stream) = framed.split();
    let mut stream = stream::once(ready(Ok(first))).chain(stream);
    let (replies, receiver) = mpsc::channel(MAX_QUEUED_REPLIES);
    entry.tasks.spawn(write_replies(sink, receiver));
    while let Some(Ok(frame)) = stream.next().await {
        let Ok((id, request)) = postcard::take_from_bytes::<u64>(&frame) else {
            debug!(entry.logger, "peers: could not decode a frame");
            return;
        };
        let request = match PeerRequest::decode(request) {
            Ok(request) => request,
            Err(error) => {
                // A node of a later release may send requests that this one doesn't know.
                debug!(entry.logger, "peers: could not decode a request"; "error" => %error);
                let _ = replies.send((id, PeerReply::Unable("unknown request".to_owned()))).await;
                continue;
            }
        };
        let (entry, replies) = (entry.clone(), replies.clone());
        entry.tasks.clone().spawn(async move {
            let reply = handle_request(&entry, request).await;
            // If the connection is closed, nobody waits for the reply.
            let _ = replies.send((id, reply)).await;
        });
    }
}

async fn write_replies(
    mut sink: SplitSink<Framed<TcpStream, LengthDelimitedCodec>, Bytes>,
    mut replies: mpsc::Receiver<(u64, PeerReply)>,
) {
    while let Some(reply) = replies.recv().await {
        let (id, reply): (u64, PeerReply) = reply;
        let Ok(frame) = reply.encode(id) else {
            continue;
        };
        if sink.send(frame.into()).await.is_err() {
            return;
        }
    }
}

/// Carries out a request of another node, and returns the reply.
pub(crate) async fn handle_request(entry: &Arc<Entry>, request: PeerRequest) -> PeerReply {
    match request {
        PeerRequest::Ask { shard, ask } => match grants::decide(entry, shard, &ask).await {
            Ok(verdict) => PeerReply::Verdict(verdict),
            Err(NotOwned { owner: Some(owner), .. }) => PeerReply::OwnedBy(owner),
            Err(NotOwned { owner: None, detail }) => PeerReply::Unable(detail),
        },
        PeerRequest::Settle { shard, settlement, held } => {
            // A sender of the last release takes any reply for done.
            match settlements::settle(entry, shard, &settlement, held).await {
                Settled::Done => PeerReply::Done,
                Settled::OwnedBy(owner) => PeerReply::OwnedBy(owner),
                Settled::NotHere => {
                    PeerReply::Unable("the settlement does not count here".to_owned())
                }
            }
        }
        PeerRequest::Chain { shard, turn } => history::local_transcript(entry, shard, &turn).await,
        PeerRequest::Write { shard, turn } => match history::write_turn(entry, shard, turn).await {
            Ok(()) => PeerReply::Done,
            Err(error) => PeerReply::Unable(error.to_string()),
        },
        PeerRequest::TakeOn { shard, epoch, ledger } => {
            shards::accept_transfer(entry, shard, epoch, *ledger);
            PeerReply::Done
        }
        PeerRequest::Yield { shard } => shards::answer_claimant(entry, shard),
        PeerRequest::Routes => PeerReply::Routes((*entry.routes()).clone()),
        PeerRequest::Targets => control::targets_reply(entry),
        PeerRequest::NoteOrigins { origins } => {
            entry.origins.record_told(origins, entry.now());
            PeerReply::Done
        }
        PeerRequest::FindOrigin { key } => PeerReply::Origin(entry.origins.find(key)),
        PeerRequest::ProbeTarget(request) => {
            PeerReply::Probed(paths::answer_probe(entry, &request).await)
        }
        PeerRequest::ConfirmSoftware { service, key } => software_reply(entry, &service, key).await,
        PeerRequest::AskQuota(ask) => PeerReply::Quota(quota::decide(entry, &ask)),
        PeerRequest::OpenPath(_) => {
            PeerReply::Unable("a path needs a connection of its own".to_owned())
        }
    }
}
