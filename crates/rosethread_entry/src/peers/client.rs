//! The client side of requests between nodes.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot, watch},
    time::{Instant, timeout},
};
use tokio_util::codec::Framed;

use crate::peers::{PeerClient, PeerError, PeerReply, PeerRequest, frame_codec};

/// How long to wait for a reply. The slowest request writes to the log twice.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// How long to wait until a connection is established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The most requests that are queued for writing on one connection; further senders wait.
const MAX_QUEUED_REQUESTS: usize = 1_024;

/// The senders for replies that have not arrived, by request ID.
type PendingReplies = Arc<Mutex<BTreeMap<u64, oneshot::Sender<PeerReply>>>>;

/// A connection to one node.
#[derive(Clone)]
struct Connection {
    id: u64,
    frames: mpsc::Sender<Bytes>,
    pending: PendingReplies,
    /// When the last frame arrived.
    last_received: watch::Receiver<Option<Instant>>,
}

#[derive(Default)]
struct Connections {
    next_id: u64,
    /// By address, and whether it is the shared one.
    open: BTreeMap<(SocketAddr, bool), Connection>,
}

/// A [`PeerClient`] over TCP; clones share the connections.
#[derive(Clone, Default)]
pub struct TcpPeerClient {
    connections: Arc<Mutex<Connections>>,
}

impl TcpPeerClient {
    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().expect("the lock is not poisoned")
    }

    async fn connection(&self, to: SocketAddr, is_shared: bool) -> Result<Connection, PeerError> {
        if let Some(connection) = self.lock().open.get(&(to, is_shared))
            && !connection.frames.is_closed()
        {
            return Ok(connection.clone());
        }
        let unreachable = |it: std::io::Error| PeerError::Unreachable(it.to_string());
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
        let timed_out = |_| PeerError::Unreachable("timed out while connecting".to_owned());
        let socket = connecting.map_err(timed_out)?.map_err(unreachable)?;
        socket.set_nodelay(true).map_err(unreachable)?;
        let (frames, receiver) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let pending = PendingReplies::default();
        let (received, last_received) = watch::channel(None);
        tokio::spawn(run_connection(socket, receiver, pending.clone(), received));
        let mut connections = self.lock();
        connections.next_id += 1;
        let connection = Connection { id: connections.next_id, frames, pending, last_received };
        connections.open.insert((to, is_shared), connection.clone());
        Ok(connection)
    }

    /// Removes a connection that gave no reply, so that the next request opens a new one.
    ///
    /// A dead connection may never report an error. The ID is compared because another request may
    /// have replaced the connection already.
    fn remove_connection(&self, to: SocketAddr, id: u64) {
        self.lock().open.retain(|(address, _), it| *address != to || it.id != id);
    }
}

#[async_trait]
impl PeerClient for TcpPeerClient {
    async fn request(&self, to: SocketAddr, request: PeerRequest) -> Result<PeerReply, PeerError> {
        let connection = self.connection(to, request.shares_connection()).await?;
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut connections = self.lock();
            connections.next_id += 1;
            connections.next_id
        };
        let frame = request.encode(id).map_err(|it| PeerError::Unreachable(it.to_string()))?;
        connection.pending.lock().expect("the lock is not poisoned").insert(id, sender);
        let sent_at = Instant::now();
        let result = timeout(REPLY_TIMEOUT, async {
            let closed = PeerError::Unreachable("the connection was closed".to_owned());
            if connection.frames.send(frame.into()).await.is_err() {
                return Err(closed);
            }
            receiver.await.map_err(|_| closed)
        });
        let result = result.await.unwrap_or(Err(PeerError::TimedOut));
        connection.pending.lock().expect("the lock is not poisoned").remove(&id);
        // Keep the connection if other replies arrived on it: then only this request is slow.
        let has_received = connection.last_received.borrow().is_some_and(|it| sent_at < it);
        if result.is_err() && !has_received {
            self.remove_connection(to, connection.id);
        }
        result
    }

    fn has_replied(&self, to: SocketAddr, time: Duration) -> bool {
        let connections = self.lock();
        let open = connections.open.get(&(to, true)).filter(|it| !it.frames.is_closed());
        open.and_then(|it| *it.last_received.borrow()).is_some_and(|last| last.elapsed() < time)
    }
}

/// Writes queued requests and delivers replies until either side closes the connection.
async fn run_connection(
    socket: TcpStream,
    mut frames: mpsc::Receiver<Bytes>,
    pending: PendingReplies,
    received: watch::Sender<Option<Instant>>,
) {
    let (mut sink, mut stream) = Framed::new(socket, frame_codec()).split();
    loop {
        tokio::select! {
            frame = frames.recv() => {
                let Some(frame) = frame else {
                    break;
                };
                if sink.send(frame).await.is_err() {
                    break;
                }
            }
            reply = stream.next() => match reply {
                Some(Ok(frame)) => {
                    received.send_replace(Some(Instant::now()));
                    deliver_reply(&frame, &pending);
                }
                _ => break,
            },
        }
    }
    // Dropping the senders makes the requests that still wait for a reply fail.
    pending.lock().expect("the lock is not poisoned").clear();
}

fn deliver_reply(frame: &[u8], pending: &PendingReplies) {
    let Ok((id, reply)) = PeerReply::decode(frame) else {
        return;
    };
    let sender = pending.lock().expect("the lock is not poisoned").remove(&id);
    if let Some(sender) = sender {
        // The requester may have stopped waiting.
        let _ = sender.send(reply);
    }
}
