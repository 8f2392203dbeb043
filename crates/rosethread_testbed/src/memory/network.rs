//! The network between nodes in memory, with cuts, loss, delay and duplicates.

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
    Call, CallEvent, CallStream, DatagramTransport, NodeHandle, PeerError, PeerReply, PeerRequest,
    Peers, TaskSpawner,
};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::{sleep, timeout},
};

/// The time of one message.
const DELAY: Duration = Duration::from_micros(800);

/// How long a sender waits for a node that does not answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// Events buffered in a stream between two nodes.
const STREAM_BUFFER: usize = 64;

struct Station {
    handle: NodeHandle,
    tasks: TaskSpawner,
}

#[derive(Default)]
struct Inbox {
    datagrams: Mutex<VecDeque<Vec<u8>>>,
    arrived: Notify,
}

struct State {
    stations: BTreeMap<SocketAddr, Station>,
    inboxes: BTreeMap<SocketAddr, Arc<Inbox>>,
    /// The addresses, of either kind, that cannot reach or be reached by others in another group.
    groups: BTreeMap<SocketAddr, u32>,
    one_way: BTreeSet<u32>,
    loss: f64,
    duplicates: f64,
    random: Pcg64,
}

/// The network of one run.
pub struct Network {
    state: Mutex<State>,
}

impl Network {
    /// Returns a network without faults.
    pub fn new(seed: u64) -> Arc<Network> {
        Arc::new(Network {
            state: Mutex::new(State {
                stations: BTreeMap::new(),
                inboxes: BTreeMap::new(),
                groups: BTreeMap::new(),
                one_way: BTreeSet::new(),
                loss: 0.0,
                duplicates: 0.0,
                random: Pcg64::seed_from_u64(seed),
            }),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the network panics")
    }

    /// Connects a node, or its next run, to the network.
    pub fn register_node(&self, contact: &Contact, handle: NodeHandle, tasks: TaskSpawner) {
        self.state().stations.insert(contact.peer, Station { handle, tasks });
    }

    /// Puts a node into a group; only nodes of one group reach each other.
    pub fn set_group(&self, contact: &Contact, group: u32) {
        let mut state = self.state();
        state.groups.insert(contact.peer, group);
        state.groups.insert(contact.heartbeat, group);
    }

    /// Lets messages out of `group` pass, though none come in: a cut in one direction.
    pub fn set_outbound_only(&self, group: u32, is_one_way: bool) {
        let mut state = self.state();
        if is_one_way {
            state.one_way.insert(group);
        } else {
            state.one_way.remove(&group);
        }
    }

    /// Sets the share of datagrams that are lost and doubled.
    pub fn set_loss(&self, loss: f64, duplicates: f64) {
        let mut state = self.state();
        state.loss = loss;
        state.duplicates = duplicates;
    }

    /// Returns the number of copies in which a datagram arrives.
    fn copies(&self) -> usize {
        let mut state = self.state();
        let (loss, duplicates) = (state.loss, state.duplicates);
        if state.random.random::<f64>() < loss {
            return 0;
        }
        1 + usize::from(state.random.random::<f64>() < duplicates)
    }

    fn inbox(&self, address: SocketAddr) -> Arc<Inbox> {
        self.state().inboxes.entry(address).or_default().clone()
    }
}

impl State {
    fn reaches(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let group = |it: &SocketAddr| self.groups.get(it).copied().unwrap_or_default();
        let (from, to) = (group(&from), group(&to));
        from == to || self.one_way.contains(&from)
    }
}

/// One node's access to the network.
pub struct NodeTransport {
    network: Arc<Network>,
    own: Contact,
}

impl NodeTransport {
    /// Returns the access of the node at `own`.
    pub fn new(network: Arc<Network>, own: Contact) -> NodeTransport {
        NodeTransport { network, own }
    }

    /// Tells whether a request and its reply get through.
    fn is_connected(&self, to: &Contact) -> bool {
        let state = self.network.state();
        state.reaches(self.own.peer, to.peer) && state.reaches(to.peer, self.own.peer)
    }

    /// Returns the node at `to` and its tasks, if it runs and can be reached.
    fn station(&self, to: &Contact) -> Result<(NodeHandle, TaskSpawner), PeerError> {
        if !self.is_connected(to) {
            return Err(PeerError::Unreachable("the network is cut".to_owned()));
        }
        let state = self.network.state();
        let station = state.stations.get(&to.peer).filter(|it| !it.tasks.is_killed());
        let station =
            station.ok_or_else(|| PeerError::Unreachable("connection refused".to_owned()))?;
        Ok((station.handle.clone(), station.tasks.clone()))
    }
}

#[async_trait]
impl Peers for NodeTransport {
    async fn ask(&self, to: &Contact, request: PeerRequest) -> Result<PeerReply, PeerError> {
        sleep(DELAY).await;
        let (handle, tasks) = self.station(to)?;
        let waits = matches!(request, PeerRequest::Acquire { .. } | PeerRequest::Adopt { .. });
        let (sender, receiver) = oneshot::channel();
        tasks.spawn(async move {
            // The asking node may be gone by now.
            let _ = sender.send(handle.answer(request).await);
        });
        let broken = |detail: &str| PeerError::Broken(detail.to_owned());
        let reply = if waits {
            receiver.await.map_err(|_| broken("the node died"))?
        } else {
            let reply = timeout(PATIENCE, receiver).await;
            reply.map_err(|_| broken("no reply"))?.map_err(|_| broken("the node died"))?
        };
        sleep(DELAY).await;
        if !self.is_connected(to) {
            return Err(broken("the network was cut before the reply"));
        }
        Ok(reply)
    }

    async fn call(&self, to: &Contact, call: Call) -> Result<CallStream, PeerError> {
        sleep(DELAY).await;
        let (handle, tasks) = self.station(to)?;
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
        let (network, own, to) = (self.network.clone(), self.own.clone(), to.clone());
        tasks.spawn(async move {
            let way = Way { link: NodeTransport::new(network, own), to };
            pump(handle, call, sender, Some(way)).await;
        });
        Ok(CallStream::Channel(receiver))
    }
}

/// The way that a stream takes between two nodes.
struct Way {
    link: NodeTransport,
    to: Contact,
}

/// Carries a call's events to whoever reads them, until the reader goes or the way is cut.
async fn pump(handle: NodeHandle, call: Call, sender: mpsc::Sender<CallEvent>, way: Option<Way>) {
    let mut stream = handle.call(call).await;
    loop {
        let event = tokio::select! {
            biased;
            () = sender.closed() => return,
            event = stream.next() => event,
        };
        let Some(event) = event else { return };
        if let Some(way) = &way {
            sleep(DELAY).await;
            if !way.link.is_connected(&way.to) {
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
        if !self.network.state().reaches(self.own.heartbeat, to) {
            return;
        }
        let inbox = self.network.inbox(to);
        for _ in 0..self.network.copies() {
            let (inbox, bytes) = (inbox.clone(), bytes.clone());
            tokio::spawn(async move {
                sleep(DELAY).await;
                inbox.datagrams.lock().expect("no holder of an inbox panics").push_back(bytes);
                inbox.arrived.notify_one();
            });
        }
    }

    async fn receive(&self) -> Vec<u8> {
        let inbox = self.network.inbox(self.own.heartbeat);
        loop {
            let next = inbox.datagrams.lock().expect("no holder of an inbox panics").pop_front();
            match next {
                Some(bytes) => return bytes,
                None => inbox.arrived.notified().await,
            }
        }
    }
}

impl Network {
    /// Runs `serve` at the node as a caller's request would; callers reach all nodes.
    async fn request<T, F, R>(&self, to: &Contact, serve: F) -> Option<T>
    where
        T: Send + 'static,
        F: FnOnce(NodeHandle) -> R,
        R: Future<Output = T> + Send + 'static,
    {
        sleep(DELAY).await;
        let (serving, tasks) = {
            let state = self.state();
            let station = state.stations.get(&to.peer).filter(|it| !it.tasks.is_killed())?;
            (serve(station.handle.clone()), station.tasks.clone())
        };
        let (sender, receiver) = oneshot::channel();
        tasks.spawn(async move {
            // The caller may have gone.
            let _ = sender.send(serving.await);
        });
        let reply = receiver.await.ok();
        sleep(DELAY).await;
        reply
    }

    /// Creates a program as a caller does.
    pub async fn create(
        &self,
        to: &Contact,
        create: rosethread_node::Create,
    ) -> Option<Result<rosethread_node::Created, rosethread_types::Refusal>> {
        self.request(to, |node| async move { node.create(create).await }).await
    }

    /// Ends a program as a caller does.
    pub async fn close(
        &self,
        to: &Contact,
        close: rosethread_node::Close,
    ) -> Option<Result<(), rosethread_types::Refusal>> {
        self.request(to, |node| async move { node.close(close).await }).await
    }

    /// Makes a call as a caller does; returns nothing if the node cannot be reached.
    pub async fn call(&self, to: &Contact, call: Call) -> Option<mpsc::Receiver<CallEvent>> {
        sleep(DELAY).await;
        let (handle, tasks) = {
            let state = self.state();
            let station = state.stations.get(&to.peer).filter(|it| !it.tasks.is_killed())?;
            (station.handle.clone(), station.tasks.clone())
        };
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
        tasks.spawn(pump(handle, call, sender, None));
        Some(receiver)
    }
}
