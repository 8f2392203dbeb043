//! An in-memory network between nodes, with partitions, delay, loss and duplication.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use async_trait::async_trait;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rosethread_membership::Contact;
use rosethread_node::{
    Call, CallEvent, CallStream, DatagramTransport, NodeHandle, PeerClient, PeerError, PeerReply,
    PeerRequest, TaskSpawner,
};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::{sleep, timeout},
};

/// The one-way latency of every message.
const MESSAGE_DELAY: Duration = Duration::from_micros(800);

/// The time a node waits for the reply to a peer request that should not block.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// The number of events buffered in a stream to a node or a caller.
const STREAM_BUFFER: usize = 64;

/// A node that can be reached over the network while its tasks run.
struct RegisteredNode {
    handle: NodeHandle,
    tasks: TaskSpawner,
}

/// The datagrams that arrived at an address and were not received yet.
#[derive(Default)]
struct Inbox {
    datagrams: Mutex<VecDeque<(SocketAddr, Vec<u8>)>>,
    arrived: Notify,
}

struct NetworkState {
    nodes: BTreeMap<SocketAddr, RegisteredNode>,
    inboxes: BTreeMap<SocketAddr, Arc<Inbox>>,
    /// The partition group of each peer and heartbeat address; 0 if absent. Addresses in different
    /// groups cannot reach each other.
    groups: BTreeMap<SocketAddr, u32>,
    /// The groups whose messages still reach all other groups.
    outbound_only: BTreeSet<u32>,
    loss_rate: f64,
    duplicate_rate: f64,
    random: Pcg64,
}

/// The network of one cluster.
pub struct Network {
    state: Mutex<NetworkState>,
}

impl Network {
    /// Returns a network without faults.
    pub fn new(seed: u64) -> Arc<Network> {
        Arc::new(Network {
            state: Mutex::new(NetworkState {
                nodes: BTreeMap::new(),
                inboxes: BTreeMap::new(),
                groups: BTreeMap::new(),
                outbound_only: BTreeSet::new(),
                loss_rate: 0.0,
                duplicate_rate: 0.0,
                random: Pcg64::seed_from_u64(seed),
            }),
        })
    }

    fn state(&self) -> MutexGuard<'_, NetworkState> {
        self.state.lock().expect("no holder of the network panics")
    }

    /// Connects a node to the network; a restarted node replaces its predecessor.
    pub fn register_node(&self, contact: &Contact, handle: NodeHandle, tasks: TaskSpawner) {
        self.state().nodes.insert(contact.peer, RegisteredNode { handle, tasks });
    }

    /// Puts a node into a partition group; only nodes of the same group reach each other.
    pub fn set_group(&self, contact: &Contact, group: u32) {
        let mut state = self.state();
        state.groups.insert(contact.peer, group);
        state.groups.insert(contact.heartbeat, group);
    }

    /// Lets messages from `group` reach all other groups, or stops them again.
    ///
    /// Messages from other groups to `group` stay blocked, which makes the partition asymmetric.
    pub fn set_outbound_only(&self, group: u32, is_outbound_only: bool) {
        let mut state = self.state();
        if is_outbound_only {
            state.outbound_only.insert(group);
        } else {
            state.outbound_only.remove(&group);
        }
    }

    /// Sets the fraction of datagrams that are lost, and the fraction of the others that are
    /// duplicated.
    pub fn set_loss(&self, loss_rate: f64, duplicate_rate: f64) {
        let mut state = self.state();
        state.loss_rate = loss_rate;
        state.duplicate_rate = duplicate_rate;
    }

    /// Draws the number of copies of a datagram that arrive: 0, 1 or 2.
    fn draw_copies(&self) -> usize {
        let mut state = self.state();
        let (loss_rate, duplicate_rate) = (state.loss_rate, state.duplicate_rate);
        if state.random.random::<f64>() < loss_rate {
            return 0;
        }
        1 + usize::from(state.random.random::<f64>() < duplicate_rate)
    }

    fn inbox(&self, address: SocketAddr) -> Arc<Inbox> {
        self.state().inboxes.entry(address).or_default().clone()
    }
}

impl NetworkState {
    fn can_reach(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let group = |it: &SocketAddr| self.groups.get(it).copied().unwrap_or_default();
        let (from, to) = (group(&from), group(&to));
        from == to || self.outbound_only.contains(&from)
    }
}

/// The network as one node uses it, for peer requests, calls and datagrams.
pub struct NodeTransport {
    network: Arc<Network>,
    local: Contact,
}

impl NodeTransport {
    /// Returns the transport of the node at `local`.
    pub fn new(network: Arc<Network>, local: Contact) -> NodeTransport {
        NodeTransport { network, local }
    }

    /// Tells whether messages pass in both directions, as a request with its reply needs.
    fn is_connected(&self, to: &Contact) -> bool {
        let state = self.network.state();
        state.can_reach(self.local.peer, to.peer) && state.can_reach(to.peer, self.local.peer)
    }

    /// Returns the handle and the tasks of the node at `to`; fails if it is not running or is in
    /// another partition group.
    fn find_node(&self, to: &Contact) -> Result<(NodeHandle, TaskSpawner), PeerError> {
        if !self.is_connected(to) {
            return Err(PeerError::Unreachable("the network is partitioned".to_owned()));
        }
        let state = self.network.state();
        let node = state.nodes.get(&to.peer).filter(|it| !it.tasks.is_killed());
        let node = node.ok_or_else(|| PeerError::Unreachable("connection refused".to_owned()))?;
        Ok((node.handle.clone(), node.tasks.clone()))
    }
}

#[async_trait]
impl PeerClient for NodeTransport {
    async fn request(&self, to: &Contact, request: PeerRequest) -> Result<PeerReply, PeerError> {
        sleep(MESSAGE_DELAY).await;
        let (handle, tasks) = self.find_node(to)?;
        let has_no_timeout =
            matches!(request, PeerRequest::Acquire { .. } | PeerRequest::Adopt { .. });
        let (sender, receiver) = oneshot::channel();
        tasks.spawn(async move {
            // The requesting node may have stopped by now.
            let _ = sender.send(handle.handle_peer_request(request).await);
        });
        let broken = |detail: &str| PeerError::Broken(detail.to_owned());
        let reply = if has_no_timeout {
            receiver.await.map_err(|_| broken("the node stopped before it replied"))?
        } else {
            let reply = timeout(REPLY_TIMEOUT, receiver).await;
            reply
                .map_err(|_| broken("no reply in time"))?
                .map_err(|_| broken("the node stopped before it replied"))?
        };
        sleep(MESSAGE_DELAY).await;
        if !self.is_connected(to) {
            return Err(broken("the network was partitioned before the reply"));
        }
        Ok(reply)
    }

    async fn call(&self, to: &Contact, call: Call) -> Result<CallStream, PeerError> {
        sleep(MESSAGE_DELAY).await;
        let (handle, tasks) = self.find_node(to)?;
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
        let (network, local, to) = (self.network.clone(), self.local.clone(), to.clone());
        tasks.spawn(async move {
            let path = ReplyPath { transport: NodeTransport::new(network, local), to };
            forward_events(handle, call, sender, Some(path)).await;
        });
        Ok(CallStream::Channel(receiver))
    }
}

/// The connection over which a node forwards the events of a call to another node.
struct ReplyPath {
    transport: NodeTransport,
    to: Contact,
}

/// Runs a call at a node and forwards its events to `sender`.
///
/// Stops when the receiver is dropped or the connection `path` is partitioned. A call without a
/// path comes from a caller, whose connection is never partitioned.
async fn forward_events(
    handle: NodeHandle,
    call: Call,
    sender: mpsc::Sender<CallEvent>,
    path: Option<ReplyPath>,
) {
    let mut stream = handle.call(call).await;
    loop {
        let event = tokio::select! {
            biased;
            () = sender.closed() => return,
            event = stream.next() => event,
        };
        let Some(event) = event else { return };
        if let Some(path) = &path {
            sleep(MESSAGE_DELAY).await;
            if !path.transport.is_connected(&path.to) {
                return;
            }
        }
        if sender.send(event).await.is_err() {
            return;
        }
    }
}

#[async_trait]
impl DatagramTransport for NodeTransport {
    async fn send(&self, to: SocketAddr, bytes: Vec<u8>) {
        if !self.network.state().can_reach(self.local.heartbeat, to) {
            return;
        }
        let (inbox, from) = (self.network.inbox(to), self.local.heartbeat);
        for _ in 0..self.network.draw_copies() {
            let (inbox, bytes) = (inbox.clone(), bytes.clone());
            tokio::spawn(async move {
                sleep(MESSAGE_DELAY).await;
                inbox
                    .datagrams
                    .lock()
                    .expect("no holder of an inbox panics")
                    .push_back((from, bytes));
                inbox.arrived.notify_one();
            });
        }
    }

    async fn receive(&self) -> (SocketAddr, Vec<u8>) {
        let inbox = self.network.inbox(self.local.heartbeat);
        loop {
            let next = inbox.datagrams.lock().expect("no holder of an inbox panics").pop_front();
            match next {
                Some(datagram) => return datagram,
                None => inbox.arrived.notified().await,
            }
        }
    }
}

impl Network {
    /// Runs a caller's request at the node; partitions do not affect callers.
    ///
    /// Returns `None` if the node is not running or stops before it responds.
    async fn request<T, F, R>(&self, to: &Contact, serve: F) -> Option<T>
    where
        T: Send + 'static,
        F: FnOnce(NodeHandle) -> R,
        R: Future<Output = T> + Send + 'static,
    {
        sleep(MESSAGE_DELAY).await;
        let (serving, tasks) = {
            let state = self.state();
            let node = state.nodes.get(&to.peer).filter(|it| !it.tasks.is_killed())?;
            (serve(node.handle.clone()), node.tasks.clone())
        };
        let (sender, receiver) = oneshot::channel();
        tasks.spawn(async move {
            // The caller may have given up waiting.
            let _ = sender.send(serving.await);
        });
        let reply = receiver.await.ok();
        sleep(MESSAGE_DELAY).await;
        reply
    }

    /// Creates a program as a caller does; returns `None` if the node is not running.
    pub async fn create(
        &self,
        to: &Contact,
        create: rosethread_node::Create,
    ) -> Option<Result<rosethread_node::Created, rosethread_types::Refusal>> {
        self.request(to, |node| async move { node.create(create).await }).await
    }

    /// Closes a program as a caller does; returns `None` if the node is not running.
    pub async fn close(
        &self,
        to: &Contact,
        close: rosethread_node::Close,
    ) -> Option<Result<(), rosethread_types::Refusal>> {
        self.request(to, |node| async move { node.close(close).await }).await
    }

    /// Makes a call as a caller does, and returns its events; returns `None` if the node is not
    /// running.
    pub async fn call(&self, to: &Contact, call: Call) -> Option<mpsc::Receiver<CallEvent>> {
        sleep(MESSAGE_DELAY).await;
        let (handle, tasks) = {
            let state = self.state();
            let node = state.nodes.get(&to.peer).filter(|it| !it.tasks.is_killed())?;
            (node.handle.clone(), node.tasks.clone())
        };
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
        tasks.spawn(forward_events(handle, call, sender, None));
        Some(receiver)
    }
}
