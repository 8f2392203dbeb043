//! The actor that runs the failure detector, and the tasks that connect it to timer and network.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use kameo::prelude::*;
use rosethread_membership::{
    AuthKeys, ClusterView, Contact, Detector, DetectorConfig, MAX_DATAGRAM, Message as Datagram,
    NodeSummary, Notice, OutgoingMessage,
};
use rosethread_platform::Clock;
use rosethread_types::{Incarnation, NodeName};
use slog::{Logger, debug, info, warn};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use crate::{DatagramTransport, RandomSource, TaskSpawner, Tick, Timer};

/// The number of datagrams queued for sending, beyond which further ones are dropped.
const SEND_BUFFER: usize = 256;

/// The time between two log lines about datagrams that are not sent or not accepted.
const LOG_PERIOD: Duration = Duration::from_secs(10);

/// Counts datagrams that are dropped on purpose; clones share their counts.
#[derive(Clone, Debug, Default)]
pub struct DroppedDatagrams {
    /// Datagrams that this node did not send, since they are longer than receivers accept.
    pub unsent: Arc<AtomicU64>,
    /// Datagrams of others that this node did not accept.
    pub rejected: Arc<AtomicU64>,
}

/// Tells of nodes that answer in another way than to heartbeats.
pub trait LifeSigns: Send + Sync {
    /// Returns whether the node with this address for requests between nodes has answered one within
    /// `time`.
    fn has_answered(&self, peer: SocketAddr, time: Duration) -> bool;
}

/// No evidence beside the heartbeats.
pub struct NoLifeSigns;

impl LifeSigns for NoLifeSigns {
    fn has_answered(&self, _peer: SocketAddr, _time: Duration) -> bool {
        false
    }
}

/// The settings and dependencies of the membership actor.
#[derive(Clone)]
pub struct MembershipParts {
    /// This node's name.
    pub node: NodeName,
    /// The incarnation of this node's process.
    pub incarnation: Incarnation,
    /// The zone and the addresses of this node.
    pub contact: Contact,
    /// The periods and timeouts of the failure detector.
    pub config: DetectorConfig,
    /// The keys that authenticate datagrams.
    pub keys: AuthKeys,
    /// The wall clock, whose time authenticated datagrams carry.
    pub clock: Clock,
    /// The spawner of the actor's tasks.
    pub tasks: TaskSpawner,
    /// The timer that drives the probe periods.
    pub timer: Timer,
    /// The transport that carries datagrams to other nodes.
    pub datagrams: Arc<dyn DatagramTransport>,
    /// Evidence of life beside the heartbeats.
    pub life_signs: Arc<dyn LifeSigns>,
    /// The channel on which changes of the view are published.
    pub view: watch::Sender<Arc<ClusterView>>,
    /// The number of suspicions that this node has raised since its start.
    pub suspicions: Arc<AtomicU64>,
    /// The datagrams that were dropped since the start.
    pub dropped: DroppedDatagrams,
    /// The logger for changes of status and for dropped datagrams.
    pub logger: Logger,
}

/// The actor that runs the failure detector and publishes its view of all nodes.
#[derive(Actor)]
pub struct MembershipActor {
    parts: MembershipParts,
    start: Instant,
    detector: Detector,
    sender: mpsc::Sender<OutgoingMessage>,
    /// When a rejected datagram was last logged.
    last_rejected: Option<Instant>,
}

/// Message: a datagram has arrived.
struct DatagramReceived {
    from: SocketAddr,
    bytes: Vec<u8>,
}

/// Message: a probe period begins.
struct PeriodStarted;

/// Message: half of the probe period has passed.
struct HalfPeriodElapsed;

/// Message: replaces the summary that this node reports about itself.
pub struct SetSummary(pub NodeSummary);

/// Message: adds the nodes of the platform's host list.
#[derive(Clone, Debug, Default)]
pub struct NodeList {
    /// The nodes to add, with their zones and addresses.
    pub contacts: Vec<(NodeName, Contact)>,
    /// The nodes that are about to leave.
    pub leaving: Vec<NodeName>,
}

/// Message: pings addresses whose nodes are not known yet; nodes become known by their answers.
pub struct PingAddresses(pub Vec<SocketAddr>);

/// Message: tells all nodes of facts that this node has learned.
pub struct Announce(pub Vec<Notice>);

/// Message: this node takes no new work from now on, and tells the others so.
pub struct Leave;

/// Starts the actor and the tasks that drive it, and returns the reference to the actor.
pub fn start_membership(
    parts: MembershipParts,
    random: &RandomSource,
) -> ActorRef<MembershipActor> {
    let detector = Detector::new(
        parts.node.clone(),
        parts.incarnation,
        parts.contact.clone(),
        parts.config,
        random.next_u64(),
    );
    let (sender, outgoing) = mpsc::channel(SEND_BUFFER);
    parts.tasks.spawn_control(send_datagrams(parts.clone(), outgoing));
    let prepared = MembershipActor::prepare();
    let actor = prepared.actor_ref().clone();
    let state = MembershipActor {
        parts: parts.clone(),
        start: Instant::now(),
        detector,
        sender,
        last_rejected: None,
    };
    parts.tasks.spawn_control(async move {
        // The actor runs until the node stops, so its result says nothing.
        let _ = prepared.run(state).await;
    });
    parts.tasks.spawn_control(receive_datagrams(parts.clone(), actor.clone()));
    parts.tasks.spawn_control(send_ticks(parts.timer.clone(), actor.clone(), parts.config.period));
    actor
}

async fn send_datagrams(parts: MembershipParts, mut outgoing: mpsc::Receiver<OutgoingMessage>) {
    let mut last_unsent = None;
    while let Some(outgoing) = outgoing.recv().await {
        let bytes = parts.keys.encode(&outgoing.message, parts.clock.now_ms());
        if bytes.len() <= MAX_DATAGRAM {
            parts.datagrams.send(outgoing.to, bytes).await;
            continue;
        }
        let count = parts.dropped.unsent.fetch_add(1, Ordering::Relaxed) + 1;
        if is_log_due(&mut last_unsent) {
            warn!(parts.logger, "members: a datagram is too long to be sent"; "to" => %outgoing.to,
                "bytes" => bytes.len(), "count" => count);
        }
    }
}

/// Returns whether [`LOG_PERIOD`] has passed since the last log line, and counts this one if so.
fn is_log_due(last: &mut Option<Instant>) -> bool {
    let is_due = last.is_none_or(|it| LOG_PERIOD <= it.elapsed());
    if is_due {
        *last = Some(Instant::now());
    }
    is_due
}

async fn receive_datagrams(parts: MembershipParts, actor: ActorRef<MembershipActor>) {
    loop {
        let (from, bytes) = parts.datagrams.receive().await;
        if actor.tell(DatagramReceived { from, bytes }).await.is_err() {
            return;
        }
    }
}

async fn send_ticks(timer: Timer, actor: ActorRef<MembershipActor>, period: Duration) {
    let mut ticks = timer.every(period / 2);
    let mut is_half_period = false;
    while let Some(Tick) = ticks.recv().await {
        let is_delivered = if is_half_period {
            actor.tell(HalfPeriodElapsed).await.is_ok()
        } else {
            actor.tell(PeriodStarted).await.is_ok()
        };
        if !is_delivered {
            return;
        }
        is_half_period = !is_half_period;
    }
}

impl MembershipActor {
    fn send(&self, outgoing: Vec<OutgoingMessage>) {
        for it in outgoing {
            // A datagram is dropped if the buffer is full; the protocol tolerates lost datagrams.
            let _ = self.sender.try_send(it);
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Confirms the doubted nodes that have answered requests.
    fn confirm_answering(&mut self, now: Duration) {
        let period = self.parts.config.period;
        for (node, peer) in self.detector.doubted() {
            if self.parts.life_signs.has_answered(peer, period) {
                debug!(self.parts.logger, "members: a node answers requests, but no ping";
                    "node" => %node);
                self.detector.confirm(now, &node);
            }
        }
    }

    /// Publishes the view if it has changed, and logs each change of a node's status.
    fn publish(&self) {
        let view = self.detector.view();
        self.parts.suspicions.store(self.detector.suspicions(), Ordering::Relaxed);
        let old = self.parts.view.borrow().clone();
        if *old == view {
            return;
        }
        for (node, state) in &view.nodes {
            let before = old.get(node).map(|it| it.status);
            if before != Some(state.status) {
                info!(self.parts.logger, "members: a node's status changed"; "node" => %node,
                    "before" => ?before, "status" => ?state.status,
                    "incarnation" => state.incarnation.0, "version" => state.version);
            }
        }
        self.parts.view.send_replace(Arc::new(view));
    }
}

impl Message<DatagramReceived> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, message: DatagramReceived, _ctx: &mut Context<MembershipActor, ()>) {
        let DatagramReceived { from, bytes } = message;
        let decoded = self.parts.keys.decode(&bytes, self.parts.clock.now_ms());
        let datagram: Datagram = match decoded {
            Ok(datagram) => datagram,
            Err(error) => {
                let count = self.parts.dropped.rejected.fetch_add(1, Ordering::Relaxed) + 1;
                debug!(self.parts.logger, "members: dropped a datagram: {}", error);
                if is_log_due(&mut self.last_rejected) {
                    warn!(self.parts.logger, "members: a datagram is not accepted";
                        "from" => %from, "bytes" => bytes.len(), "error" => %error,
                        "count" => count);
                }
                return;
            }
        };
        let now = self.now();
        let answers = self.detector.receive(now, datagram);
        self.send(answers);
        self.publish();
    }
}

impl Message<PeriodStarted> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _message: PeriodStarted, _ctx: &mut Context<MembershipActor, ()>) {
        let now = self.now();
        self.confirm_answering(now);
        let probes = self.detector.tick(now);
        self.send(probes);
        self.publish();
    }
}

impl Message<HalfPeriodElapsed> for MembershipActor {
    type Reply = ();

    async fn handle(
        &mut self,
        _message: HalfPeriodElapsed,
        _ctx: &mut Context<MembershipActor, ()>,
    ) {
        let now = self.now();
        let probes = self.detector.retry_probe(now);
        self.send(probes);
    }
}

impl Message<SetSummary> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, message: SetSummary, _ctx: &mut Context<MembershipActor, ()>) {
        self.detector.set_summary(message.0);
        self.publish();
    }
}

impl Message<NodeList> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, message: NodeList, _ctx: &mut Context<MembershipActor, ()>) {
        let now = self.now();
        for (node, contact) in message.contacts {
            self.detector.add_node(now, node, contact);
        }
        for node in message.leaving {
            self.detector.mark_leaving(now, &node);
        }
        self.publish();
    }
}

impl Message<Announce> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, message: Announce, _ctx: &mut Context<MembershipActor, ()>) {
        let now = self.now();
        let outgoing = self.detector.announce(now, &message.0);
        self.send(outgoing);
        self.publish();
    }
}

impl Message<Leave> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _message: Leave, _ctx: &mut Context<MembershipActor, ()>) {
        self.detector.leave();
        self.publish();
    }
}

impl Message<PingAddresses> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, message: PingAddresses, _ctx: &mut Context<MembershipActor, ()>) {
        let own = self.parts.contact.heartbeat;
        let now = self.now();
        let others = message.0.into_iter().filter(|it| *it != own);
        let pings = others.map(|it| self.detector.ping_address(now, it)).collect();
        self.send(pings);
    }
}
