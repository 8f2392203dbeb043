//! One seeded run: load, faults, and the checks at its end.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rosethread_config::{Document, EngineSpec, HistoryStorage, TargetState};
use rosethread_fakes::{EngineFaults, LogFaults, ServiceFaults};
use rosethread_types::Revision;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    Cluster, ClusterSpec, DocumentBuilder,
    document::valid,
    memory::{
        Fault, Violation,
        oracle::{Observed, check, check_leaving},
        plan::{self, Planned},
        program::{self, World},
    },
};

/// The number of programs in a run.
const PROGRAMS: usize = 8;

/// The time after which a leaving target gets nothing new.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// The time within which an accepted document is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(5);

/// The time after the last call in which all engine memory is released: idle limit and sweeps.
const RELEASE: Duration = Duration::from_secs(100);

/// What a run is to do.
#[derive(Clone, Copy, Debug, Default)]
pub struct FuzzOptions {
    /// A fault that every run has to include.
    pub required_fault: Option<Fault>,
}

/// What a run did.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// The faults injected, by kind.
    pub faults: BTreeMap<Fault, u64>,
    /// Sendings of requests.
    pub attempts: u64,
    /// Requests answered.
    pub answers: u64,
    /// Requests whose outcome the system could not tell.
    pub unknown_outcomes: u64,
    /// Programs that finished all their turns.
    pub finished_programs: u64,
    /// Final refusals by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Repeatable calls sent by owners that had been overtaken.
    pub stale_calls: u64,
    /// Budget tokens stranded by takeovers.
    pub stranded_tokens: u64,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

/// Runs one seed to its end on a paused clock.
pub fn run_seed(seed: u64, options: FuzzOptions) -> RunReport {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O can be built");
    runtime.block_on(run(seed, options))
}

async fn run(seed: u64, options: FuzzOptions) -> RunReport {
    let mut random = Pcg64::seed_from_u64(seed);
    let spec = ClusterSpec { seed, ..ClusterSpec::default() };
    let mut cluster = Cluster::start(spec);
    let document = document(&cluster);
    cluster.publish(&document);
    cluster.wait_until_ready().await;
    let world = Arc::new(World {
        network: cluster.network.clone(),
        targets: cluster.targets.clone(),
        contacts: (0..cluster.nodes.len()).map(|it| cluster.contact(it)).collect(),
        clock: cluster.clock(),
        observed: Mutex::new(Observed::default()),
    });
    let plan = plan::draw(&mut random, options.required_fault);
    let programs: Vec<_> = (0..PROGRAMS)
        .map(|it| {
            let name = format!("p{it}");
            tokio::spawn(program::run(world.clone(), name, random.random()))
        })
        .collect();
    let mut faults = Faults { cluster, document, leaving: None, is_lone: plan.len() == 1 };
    faults.run(&plan, &world).await;
    for program in programs {
        program.await.expect("a caller does not panic");
    }
    finish(faults, &world, &plan).await
}

async fn finish(faults: Faults, world: &Arc<World>, plan: &[Planned]) -> RunReport {
    let cluster = faults.cluster;
    check_revisions(&cluster, world).await;
    sleep(RELEASE).await;
    let mut observed = world.observed();
    check(&mut observed, &world.targets, &cluster.log);
    if let Some(leaving) = faults.leaving
        && faults.is_lone
    {
        let mut records = world.targets.engines()[leaving.engine].records();
        records.retain(|it| leaving.until.is_none_or(|until| it.arrived < until));
        check_leaving(&mut observed, &records, leaving.since, LEAVING_GRACE);
    }
    let mut report = RunReport {
        attempts: observed.attempts,
        answers: observed.answers,
        unknown_outcomes: observed.unknown_outcomes,
        finished_programs: observed.finished_programs,
        refusals: observed.refusals.clone(),
        stale_calls: observed.stale_calls,
        stranded_tokens: cluster.nodes.values().map(|it| it.handle.stranded()).sum(),
        violations: observed.violations.clone(),
        faults: BTreeMap::new(),
    };
    for planned in plan {
        *report.faults.entry(planned.fault).or_default() += 1;
    }
    report
}

/// Checks that every node has the accepted document in force.
async fn check_revisions(cluster: &Cluster, world: &World) {
    sleep(IN_FORCE).await;
    for node in cluster.nodes.values() {
        let revision = node.handle.document().revision;
        if revision != cluster.revision {
            let name = node.handle.name();
            let detail = format!("{name} has {revision}, in force is {}", cluster.revision);
            world.observed().violate("configuration in force everywhere", detail);
        }
    }
}

fn document(cluster: &Cluster) -> Document {
    let engine = EngineSpec {
        models: vec![valid("m")],
        slots: 4,
        memory: 8_000,
        fencing: true,
        prefill_rate: 8_000,
        decode_rate: 90,
    };
    let zone = |index: usize| cluster.zones()[index % cluster.zones().len()];
    let mut builder = DocumentBuilder::new()
        .member("lyra", 1)
        .member("donau", 2)
        .class("journalled", |it| it.block = 400)
        .class("supplied", |it| {
            it.block = 400;
            it.history = HistoryStorage::Caller;
        });
    for index in 0..3 {
        let name = format!("engine-{index}");
        let address = Cluster::target_address(index);
        builder = builder.engine(&name, zone(index), address, engine.clone());
    }
    for index in 0..2 {
        let name = format!("service-{index}");
        let address = Cluster::target_address(100 + index);
        builder = builder.service(&name, zone(index), address, "tool", 4);
    }
    builder.build()
}

/// An engine that is out of service for a while.
#[derive(Clone, Copy)]
struct Leaving {
    engine: usize,
    since: Instant,
    /// When it was put into service again.
    until: Option<Instant>,
}

/// Injects the faults of a run and undoes them.
struct Faults {
    cluster: Cluster,
    document: Document,
    /// The engine that was taken out of service.
    leaving: Option<Leaving>,
    /// Whether the run has only one fault.
    is_lone: bool,
}

impl Faults {
    /// Carries the plan out; faults may overlap.
    async fn run(&mut self, plan: &[Planned], world: &Arc<World>) {
        let start = Instant::now();
        let mut steps: Vec<(Duration, bool, Planned)> = Vec::new();
        for planned in plan {
            steps.push((planned.at, true, *planned));
            steps.push((planned.at + planned.length, false, *planned));
        }
        steps.sort_by_key(|(at, begins, _)| (*at, *begins));
        let watching = tokio::spawn(watch_revisions(self.handles(), world.clone()));
        for (at, begins, planned) in steps {
            sleep_until(start + at).await;
            if begins {
                self.begin(planned);
            } else {
                self.end(planned);
            }
        }
        watching.abort();
    }

    fn handles(&self) -> Vec<rosethread_node::NodeHandle> {
        self.cluster.nodes.values().map(|it| it.handle.clone()).collect()
    }

    fn node(&self, planned: Planned) -> usize {
        planned.victim % self.cluster.node_count()
    }

    fn begin(&mut self, planned: Planned) {
        let node = self.node(planned);
        match planned.fault {
            Fault::Kill => self.cluster.kill(node),
            Fault::Pause => self.with_node(node, |it| it.tasks.pause()),
            Fault::Drain => self.drain(node),
            Fault::NodeLogCut => self.with_node(node, |it| it.log.set_unreachable(true)),
            Fault::ZoneCut => self.set_zone(planned, 1, false),
            Fault::ZoneInboundCut => self.set_zone(planned, 1, true),
            Fault::DatagramLoss => self.cluster.network.set_loss(0.2, 0.1),
            Fault::LogDown => self.set_log(|it| it.down = true),
            Fault::LogSlow => self.set_log(|it| it.delay = Duration::from_millis(300)),
            Fault::LogLostAck => self.set_log(|it| it.lost_ack_every = 3),
            Fault::EngineDown => self.set_engine(planned, |it| it.down = true),
            Fault::EngineHang => self.set_engine(planned, |it| it.hang = true),
            Fault::EngineTruncate => self.set_engine(planned, |it| it.truncate_after = 5),
            Fault::EngineSlow => self.set_engine(planned, |it| it.slow_factor = 20),
            Fault::EngineMisroute => self.set_engine(planned, |it| it.misroute_events = true),
            Fault::EngineOverrun => self.set_engine(planned, |it| it.excess_tokens = 100),
            Fault::ServiceHang => self.set_service(planned, |it| it.hang = true),
            Fault::ServiceReplyLoss => self.set_service(planned, |it| it.lost_response_every = 2),
            Fault::TargetDrain => self.set_leaving(planned, TargetState::Leaving),
            Fault::ConcurrentPublish => self.race(),
            Fault::HostsDown => self.cluster.hosts.set_down(true),
        }
    }

    fn end(&mut self, planned: Planned) {
        let node = self.node(planned);
        match planned.fault {
            Fault::Kill | Fault::Drain => {
                self.cluster.kill(node);
                self.cluster.start_node(node);
            }
            Fault::Pause => self.with_node(node, |it| it.tasks.resume()),
            Fault::NodeLogCut => self.with_node(node, |it| it.log.set_unreachable(false)),
            Fault::ZoneCut | Fault::ZoneInboundCut => self.set_zone(planned, 0, false),
            Fault::DatagramLoss => self.cluster.network.set_loss(0.0, 0.0),
            Fault::LogDown => self.set_log(|it| it.down = false),
            Fault::LogSlow => self.set_log(|it| it.delay = Duration::ZERO),
            Fault::LogLostAck => self.set_log(|it| it.lost_ack_every = 0),
            Fault::EngineDown => self.set_engine(planned, |it| it.down = false),
            Fault::EngineHang => self.set_engine(planned, |it| it.hang = false),
            Fault::EngineTruncate => self.set_engine(planned, |it| it.truncate_after = 0),
            Fault::EngineSlow => self.set_engine(planned, |it| it.slow_factor = 0),
            Fault::EngineMisroute => self.set_engine(planned, |it| it.misroute_events = false),
            Fault::EngineOverrun => self.set_engine(planned, |it| it.excess_tokens = 0),
            Fault::ServiceHang => self.set_service(planned, |it| it.hang = false),
            Fault::ServiceReplyLoss => self.set_service(planned, |it| it.lost_response_every = 0),
            Fault::TargetDrain => self.set_leaving(planned, TargetState::Active),
            Fault::ConcurrentPublish => (),
            Fault::HostsDown => self.cluster.hosts.set_down(false),
        }
    }

    fn with_node(&self, node: usize, act: impl FnOnce(&super::cluster::ClusterNode)) {
        if let Some(cluster_node) = self.cluster.nodes.get(&node) {
            act(cluster_node);
        }
    }

    /// Starts a drain; the node ends when it is over, or with the fault.
    fn drain(&mut self, node: usize) {
        if let Some(draining) = self.cluster.drain(node) {
            let tasks = self.cluster.nodes[&node].tasks.clone();
            tasks.clone().spawn(async move {
                draining.await;
                tasks.kill();
            });
        }
    }

    fn set_zone(&self, planned: Planned, group: u32, is_one_way: bool) {
        let zones = self.cluster.zones();
        let zone = zones[planned.victim % zones.len()];
        for index in 0..self.cluster.node_count() {
            let contact = self.cluster.contact(index);
            if contact.zone.as_str() == zone {
                self.cluster.network.set_group(&contact, group);
            }
        }
        self.cluster.network.set_outbound_only(1, is_one_way);
    }

    fn set_log(&self, change: impl FnOnce(&mut LogFaults)) {
        let mut faults = self.cluster.log.faults();
        change(&mut faults);
        self.cluster.log.set_faults(faults);
    }

    fn set_engine(&self, planned: Planned, change: impl FnOnce(&mut EngineFaults)) {
        let engines = self.cluster.targets.engines();
        let engine = &engines[planned.victim % engines.len()];
        let mut faults = engine.faults();
        change(&mut faults);
        engine.set_faults(faults);
    }

    fn set_service(&self, planned: Planned, change: impl FnOnce(&mut ServiceFaults)) {
        let services = self.cluster.targets.services();
        let service = &services[planned.victim % services.len()];
        let mut faults = service.faults();
        change(&mut faults);
        service.set_faults(faults);
    }

    fn set_leaving(&mut self, planned: Planned, state: TargetState) {
        let engine = planned.victim % 3;
        self.document.targets[engine].state = state;
        self.cluster.publish(&self.document);
        match state {
            TargetState::Leaving => {
                self.leaving = Some(Leaving { engine, since: Instant::now(), until: None });
            }
            TargetState::Active => {
                if let Some(leaving) = &mut self.leaving {
                    leaving.until = Some(Instant::now());
                }
            }
        }
    }

    /// Two operators publish different documents from the same revision; the first wins.
    fn race(&mut self) {
        let base = self.cluster.revision;
        let mut other = self.document.clone();
        self.document.members[0].share += 1;
        other.members[1].share += 1;
        let winner = self.cluster.publish_from(&self.document, base, "first");
        self.cluster.publish_from(&other, base, "second");
        self.cluster.revision = winner;
    }
}

/// Watches that no node's document ever reverts.
async fn watch_revisions(handles: Vec<rosethread_node::NodeHandle>, world: Arc<World>) {
    let mut last = vec![Revision::default(); handles.len()];
    loop {
        for (handle, last) in handles.iter().zip(&mut last) {
            let revision = handle.document().revision;
            if revision < *last {
                let detail = format!("{} went from {last} back to {revision}", handle.name());
                world.observed().violate("configuration never reverts", detail);
            }
            *last = revision;
        }
        sleep(Duration::from_millis(100)).await;
    }
}
