//! The asking side of requests between nodes.

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

use crate::peers::{PeerClient, PeerError, PeerReply, PeerRequest, codec};

/// The longest wait for a reply; the slowest request writes to the log twice.
const REPLY_TIME: Duration = Duration::from_millis(600);

/// The longest wait for a connection.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// Requests that wait to be written before further ones fail.
const SEND_BUFFER: usize = 1_024;

type Waiting = Arc<Mutex<BTreeMap<u64, oneshot::Sender<PeerReply>>>>;

/// A connection to one node.
#[derive(Clone)]
struct Connection {
    number: u64,
    frames: mpsc::Sender<Bytes>,
    waiting: Waiting,
    /// When something arrived last.
    heard: watch::Receiver<Instant>,
}

#[derive(Default)]
struct Connections {
    next: u64,
    open: BTreeMap<SocketAddr, Connection>,
}

/// The way to other nodes over TCP; clones share the connections.
#[derive(Clone, Default)]
pub struct TcpPeerClient {
    connections: Arc<Mutex<Connections>>,
}

impl TcpPeerClient {
    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().expect("no holder of the connections panics")
    }

    async fn connection(&self, to: SocketAddr) -> Result<Connection, PeerError> {
        if let Some(connection) = self.lock().open.get(&to)
            && !connection.frames.is_closed()
        {
            return Ok(connection.clone());
        }
        let unreachable = |it: std::io::Error| PeerError::Unreachable(it.to_string());
        let connecting = timeout(CONNECT_TIME, TcpStream::connect(to)).await;
        let late = |_| PeerError::Unreachable("the connection was not made in time".to_owned());
        let socket = connecting.map_err(late)?.map_err(unreachable)?;
        socket.set_nodelay(true).map_err(unreachable)?;
        let (frames, receiver) = mpsc::channel(SEND_BUFFER);
        let waiting = Waiting::default();
        let (hears, heard) = watch::channel(Instant::now());
        tokio::spawn(carry(socket, receiver, waiting.clone(), hears));
        let mut connections = self.lock();
        connections.next += 1;
        let connection = Connection { number: connections.next, frames, waiting, heard };
        connections.open.insert(to, connection.clone());
        Ok(connection)
    }

    /// Drops a connection on which no reply came: it may be silent for good.
    fn abandon(&self, to: SocketAddr, number: u64) {
        let mut connections = self.lock();
        if connections.open.get(&to).is_some_and(|it| it.number == number) {
            connections.open.remove(&to);
        }
    }
}

#[async_trait]
impl PeerClient for TcpPeerClient {
    async fn request(&self, to: SocketAddr, request: PeerRequest) -> Result<PeerReply, PeerError> {
        let connection = self.connection(to).await?;
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut connections = self.lock();
            connections.next += 1;
            connections.next
        };
        let frame = postcard::to_stdvec(&(id, request))
            .map_err(|it| PeerError::Unreachable(it.to_string()))?;
        connection.waiting.lock().expect("no holder panics").insert(id, sender);
        let asked = Instant::now();
        let result = timeout(REPLY_TIME, async {
            let closed = PeerError::Unreachable("the connection was closed".to_owned());
            if connection.frames.send(frame.into()).await.is_err() {
                return Err(closed);
            }
            receiver.await.map_err(|_| closed)
        });
        let result = result.await.unwrap_or(Err(PeerError::TimedOut));
        connection.waiting.lock().expect("no holder panics").remove(&id);
        // A node that is slow with one request may answer others on the same connection.
        if result.is_err() && *connection.heard.borrow() <= asked {
            self.abandon(to, connection.number);
        }
        result
    }
}

/// Writes requests and hands replies to those who wait, until either side closes.
async fn carry(
    socket: TcpStream,
    mut frames: mpsc::Receiver<Bytes>,
    waiting: Waiting,
    hears: watch::Sender<Instant>,
) {
    let (mut sink, mut stream) = Framed::new(socket, codec()).split();
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
                    hears.send_replace(Instant::now());
                    deliver(&frame, &waiting);
                }
                _ => break,
            },
        }
    }
    // Whoever still waits learns from its dropped sender that there will be no reply.
    waiting.lock().expect("no holder panics").clear();
}

fn deliver(frame: &[u8], waiting: &Waiting) {
    let Ok((id, reply)) = postcard::from_bytes::<(u64, PeerReply)>(frame) else {
        return;
    };
    let sender = waiting.lock().expect("no holder panics").remove(&id);
    if let Some(sender) = sender {
        // The asker may have stopped waiting.
        let _ = sender.send(reply);
    }
}
