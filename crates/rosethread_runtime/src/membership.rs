//! The actor that keeps the failure detector.

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
    AuthKeys, ClusterView, Contact, Detector, DetectorConfig, Message as Datagram, NodeSummary,
    OutgoingMessage,
};
use rosethread_platform::Clock;
use rosethread_types::{Incarnation, NodeName};
use slog::{Logger, debug, info};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use crate::{DatagramTransport, RandomSource, TaskSpawner, Tick, Timer};

/// Datagrams waiting to be sent before further ones are dropped.
const SEND_BUFFER: usize = 256;

/// Everything that membership is built from.
#[derive(Clone)]
pub struct MembershipParts {
    /// This node's name.
    pub node: NodeName,
    /// The run of this node's process.
    pub incarnation: Incarnation,
    /// Where this node is.
    pub contact: Contact,
    /// When other nodes are probed and judged.
    pub config: DetectorConfig,
    /// The keys that authenticate datagrams.
    pub keys: AuthKeys,
    /// The wall clock.
    pub clock: Clock,
    /// Where the tasks run.
    pub tasks: TaskSpawner,
    /// The source of periods.
    pub timer: Timer,
    /// The way to other nodes.
    pub datagrams: Arc<dyn DatagramTransport>,
    /// Where changes of the view are published.
    pub view: watch::Sender<Arc<ClusterView>>,
    /// The number of suspicions raised since the start.
    pub suspicions: Arc<AtomicU64>,
    /// The logger.
    pub logger: Logger,
}

/// The actor that keeps the failure detector and publishes the view of the nodes.
#[derive(Actor)]
pub struct MembershipActor {
    parts: MembershipParts,
    start: Instant,
    detector: Detector,
    sender: mpsc::Sender<OutgoingMessage>,
}

/// A datagram has arrived.
struct Received(Vec<u8>);

/// A probe period begins.
struct Period;

/// Half a probe period has passed.
struct HalfPeriod;

/// What this node tells about itself has changed.
pub struct SetSummary(pub NodeSummary);

/// Some other nodes were named by the platform or by a seed.
#[derive(Clone, Debug, Default)]
pub struct NodeList {
    /// The nodes and where they are.
    pub contacts: Vec<(NodeName, Contact)>,
    /// Those of them that are about to go.
    pub leaving: Vec<NodeName>,
}

/// Some addresses may belong to nodes that are not known yet.
pub struct PingAddresses(pub Vec<SocketAddr>);

/// This node takes no new work from now on.
pub struct Leave;

/// Starts the actor and the tasks that feed it.
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
    parts.tasks.spawn_control(send_all(parts.clone(), outgoing));
    let prepared = MembershipActor::prepare();
    let members = prepared.actor_ref().clone();
    let state = MembershipActor { parts: parts.clone(), start: Instant::now(), detector, sender };
    parts.tasks.spawn_control(async move {
        // The actor ends only when the node does.
        let _ = prepared.run(state).await;
    });
    parts.tasks.spawn_control(receive_all(parts.clone(), members.clone()));
    parts.tasks.spawn_control(tick_all(parts.timer.clone(), members.clone(), parts.config.period));
    members
}

async fn send_all(parts: MembershipParts, mut outgoing: mpsc::Receiver<OutgoingMessage>) {
    while let Some(outgoing) = outgoing.recv().await {
        let bytes = parts.keys.encode(&outgoing.message, parts.clock.now_ms());
        parts.datagrams.send(outgoing.to, bytes).await;
    }
}

async fn receive_all(parts: MembershipParts, members: ActorRef<MembershipActor>) {
    loop {
        let bytes = parts.datagrams.receive().await;
        if members.tell(Received(bytes)).await.is_err() {
            return;
        }
    }
}

async fn tick_all(timer: Timer, members: ActorRef<MembershipActor>, period: Duration) {
    let mut ticks = timer.every(period / 2);
    let mut is_half = false;
    while let Some(Tick) = ticks.recv().await {
        let is_told = if is_half {
            members.tell(HalfPeriod).await.is_ok()
        } else {
            members.tell(Period).await.is_ok()
        };
        if !is_told {
            return;
        }
        is_half = !is_half;
    }
}

impl MembershipActor {
    fn send(&self, outgoing: Vec<OutgoingMessage>) {
        for it in outgoing {
            // A full buffer loses the datagram, as the network might.
            let _ = self.sender.try_send(it);
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Publishes the view if it has changed, and logs each node whose status did.
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

impl Message<Received> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, message: Received, _ctx: &mut Context<MembershipActor, ()>) {
        let datagram: Datagram = match self.parts.keys.decode(&message.0, self.parts.clock.now_ms())
        {
            Ok(datagram) => datagram,
            Err(error) => {
                debug!(self.parts.logger, "members: dropped a datagram: {}", error);
                return;
            }
        };
        let now = self.now();
        let answers = self.detector.receive(now, datagram);
        self.send(answers);
        self.publish();
    }
}

impl Message<Period> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _message: Period, _ctx: &mut Context<MembershipActor, ()>) {
        let now = self.now();
        let probes = self.detector.tick(now);
        self.send(probes);
        self.publish();
    }
}

impl Message<HalfPeriod> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _message: HalfPeriod, _ctx: &mut Context<MembershipActor, ()>) {
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
        let others = message.0.into_iter().filter(|it| *it != own);
        let pings = others.map(|it| self.detector.ping_address(it)).collect();
        self.send(pings);
    }
}
