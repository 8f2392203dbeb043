//! The actor that keeps the failure detector.

use std::{sync::Arc, time::Duration};

use kameo::prelude::*;
use rosethread_config::KeySettings;
use rosethread_membership::{
    AuthKeys, Detector, DetectorConfig, Message as Datagram, Outgoing, Summary,
};
use rosethread_platform::{HostEntry, HostState};
use slog::debug;
use tokio::sync::mpsc;

use crate::{core::Core, timer::Tick};

/// Datagrams waiting to be sent before further ones are dropped.
const SEND_BUFFER: usize = 256;

/// The actor that keeps the failure detector and publishes the view of the nodes.
#[derive(Actor)]
pub(crate) struct Members {
    core: Arc<Core>,
    detector: Detector,
    keys: AuthKeys,
    sender: mpsc::Sender<Outgoing>,
}

/// A datagram has arrived.
pub(crate) struct Received(Vec<u8>);

/// A probe period begins.
pub(crate) struct Period;

/// Half a probe period has passed.
pub(crate) struct HalfPeriod;

/// What this node tells about itself has changed.
pub(crate) struct SetSummary(pub(crate) Summary);

/// The platform's host list was read.
pub(crate) struct Listed(pub(crate) Vec<HostEntry>);

/// This node takes no new work from now on.
pub(crate) struct Leave;

/// Starts the actor and the tasks that feed it.
pub(super) fn start(core: &Arc<Core>) -> ActorRef<Members> {
    let settings = &core.settings;
    let config = DetectorConfig {
        period: Duration::from_millis(settings.membership.period_ms),
        suspicion: Duration::from_millis(settings.membership.suspicion_ms),
    };
    let seed = core.random.bits();
    let detector = Detector::new(core.me().clone(), core.incarnation, core.contact(), config, seed);
    let keys = AuthKeys::new(KeySettings::decode(&settings.keys.shared));
    let (sender, outgoing) = mpsc::channel(SEND_BUFFER);
    core.tasks.spawn_control(send_all(core.clone(), keys.clone(), outgoing));
    let prepared = Members::prepare();
    let members = prepared.actor_ref().clone();
    let state = Members { core: core.clone(), detector, keys, sender };
    core.tasks.spawn_control(async move {
        // The actor ends only when the node does.
        let _ = prepared.run(state).await;
    });
    core.tasks.spawn_control(receive_all(core.clone(), members.clone()));
    core.tasks.spawn_control(tick_all(core.clone(), members.clone(), config.period));
    members
}

async fn send_all(core: Arc<Core>, keys: AuthKeys, mut outgoing: mpsc::Receiver<Outgoing>) {
    while let Some(outgoing) = outgoing.recv().await {
        let bytes = keys.encode(&outgoing.message, core.clock.now_ms());
        core.datagrams.send(outgoing.to, bytes).await;
    }
}

async fn receive_all(core: Arc<Core>, members: ActorRef<Members>) {
    loop {
        let bytes = core.datagrams.receive().await;
        if members.tell(Received(bytes)).await.is_err() {
            return;
        }
    }
}

async fn tick_all(core: Arc<Core>, members: ActorRef<Members>, period: Duration) {
    let mut ticks = core.timer.every(period / 2);
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

impl Members {
    fn send(&self, outgoing: Vec<Outgoing>) {
        for it in outgoing {
            // A full buffer loses the datagram, as the network might.
            let _ = self.sender.try_send(it);
        }
    }

    /// Publishes the view if it has changed.
    fn publish(&self) {
        let view = self.detector.view();
        self.core.metrics.nodes_alive.set(view.live().count() as i64);
        self.core.metrics.suspicions.set(self.detector.suspicions() as i64);
        self.core.view.send_if_modified(|it| {
            let is_changed = **it != view;
            if is_changed {
                *it = Arc::new(view);
            }
            is_changed
        });
    }
}

impl Message<Received> for Members {
    type Reply = ();

    async fn handle(&mut self, message: Received, _ctx: &mut Context<Members, ()>) {
        let datagram: Datagram = match self.keys.decode(&message.0, self.core.clock.now_ms()) {
            Ok(datagram) => datagram,
            Err(error) => {
                debug!(self.core.logger, "members: dropped a datagram: {}", error);
                return;
            }
        };
        let now = self.core.now();
        let answers = self.detector.receive(now, datagram);
        self.send(answers);
        self.publish();
    }
}

impl Message<Period> for Members {
    type Reply = ();

    async fn handle(&mut self, _message: Period, _ctx: &mut Context<Members, ()>) {
        let now = self.core.now();
        let probes = self.detector.tick(now);
        self.send(probes);
        self.publish();
    }
}

impl Message<HalfPeriod> for Members {
    type Reply = ();

    async fn handle(&mut self, _message: HalfPeriod, _ctx: &mut Context<Members, ()>) {
        let now = self.core.now();
        let probes = self.detector.half_tick(now);
        self.send(probes);
    }
}

impl Message<SetSummary> for Members {
    type Reply = ();

    async fn handle(&mut self, message: SetSummary, _ctx: &mut Context<Members, ()>) {
        self.detector.set_summary(message.0);
        self.publish();
    }
}

impl Message<Listed> for Members {
    type Reply = ();

    async fn handle(&mut self, message: Listed, _ctx: &mut Context<Members, ()>) {
        let now = self.core.now();
        for host in message.0 {
            let contact = rosethread_membership::Contact {
                zone: host.zone,
                caller: host.caller,
                peer: host.peer,
                heartbeat: host.heartbeat,
            };
            self.detector.introduce(now, host.node.clone(), contact);
            if host.state == HostState::Leaving {
                self.detector.mark_leaving(now, &host.node);
            }
        }
        self.publish();
    }
}

impl Message<Leave> for Members {
    type Reply = ();

    async fn handle(&mut self, _message: Leave, _ctx: &mut Context<Members, ()>) {
        self.detector.leave();
        self.publish();
    }
}
