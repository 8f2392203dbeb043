//! One seeded run of the fuzz test: load, faults, and the checks during the run and at its end.

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
    document::parse_name,
    memory::{
        Fault, Violation,
        oracle::{Observations, check_draining, check_targets},
        plan::{self, PlannedFault},
        program::{self, RunContext},
    },
};

/// The number of programs in a run.
const PROGRAM_COUNT: usize = 8;

/// The time after which a leaving engine must get no new calls.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// The time within which all nodes must activate an accepted document.
const ACTIVATION_TIME: Duration = Duration::from_secs(5);

/// The time after the last call within which all engine cache memory must be released: the idle
/// timeout of abandoned programs (60 s) and the periodic expiry that applies it.
const RELEASE_TIME: Duration = Duration::from_secs(100);

/// The options of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct FuzzOptions {
    /// A kind of fault that the plan must include; the rest of the plan is drawn from the seed.
    pub required_fault: Option<Fault>,
}

/// The faults, counts and violations of a run.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// The number of injected faults by kind.
    pub faults: BTreeMap<Fault, u64>,
    /// The number of times that a request was sent, retries included, duplicates excluded.
    pub attempts: u64,
    /// The number of requests that were answered.
    pub answers: u64,
    /// The number of requests that ended with the outcome `unknown`.
    pub unknown_outcomes: u64,
    /// The number of programs that finished all their turns.
    pub finished_programs: u64,
    /// The number of requests that ended with a refusal, by reason code.
    pub refusals: BTreeMap<String, u64>,
    /// The number of repeatable calls that reached an engine from a former owner, after the log had
    /// accepted its successor's claim.
    pub stale_calls: u64,
    /// The number of budget tokens that takeovers stranded.
    pub stranded_tokens: u64,
    /// The violated invariants.
    pub violations: Vec<Violation>,
}

/// Runs one seed to its end on a paused clock, and blocks the thread until then.
pub fn run_seed(seed: u64, options: FuzzOptions) -> RunReport {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O can be built");
    runtime.block_on(run_simulation(seed, options))
}

async fn run_simulation(seed: u64, options: FuzzOptions) -> RunReport {
    let mut random = Pcg64::seed_from_u64(seed);
    let spec = ClusterSpec { seed, ..ClusterSpec::default() };
    let mut cluster = Cluster::start(spec);
    let document = build_document(&cluster);
    cluster.publish(&document);
    cluster.wait_until_ready().await;
    let context = Arc::new(RunContext {
        network: cluster.network.clone(),
        targets: cluster.targets.clone(),
        contacts: (0..cluster.nodes.len()).map(|it| cluster.contact(it)).collect(),
        clock: cluster.clock(),
        observed: Mutex::new(Observations::default()),
    });
    let plan = plan::draw_plan(&mut random, options.required_fault);
    let programs: Vec<_> = (0..PROGRAM_COUNT)
        .map(|it| {
            let name = format!("p{it}");
            tokio::spawn(program::run_program(context.clone(), name, random.random()))
        })
        .collect();
    let mut injector =
        FaultInjector { cluster, document, drained: None, is_single_fault: plan.len() == 1 };
    injector.run(&plan, &context).await;
    for program in programs {
        program.await.expect("a caller does not panic");
    }
    finish_run(injector, &context, &plan).await
}

/// Checks the invariants that concern the end of a run, and builds the report.
async fn finish_run(
    injector: FaultInjector,
    context: &Arc<RunContext>,
    plan: &[PlannedFault],
) -> RunReport {
    let cluster = injector.cluster;
    check_revisions(&cluster, context).await;
    sleep(RELEASE_TIME).await;
    let mut observed = context.observed();
    check_targets(&mut observed, &context.targets, &cluster.log);
    if let Some(drained) = injector.drained
        && injector.is_single_fault
    {
        let mut records = context.targets.engines()[drained.engine].records();
        records.retain(|it| drained.until.is_none_or(|until| it.arrived < until));
        check_draining(&mut observed, &records, drained.since, DRAIN_GRACE);
    }
    let mut report = RunReport {
        attempts: observed.attempts,
        answers: observed.answers,
        unknown_outcomes: observed.unknown_outcomes,
        finished_programs: observed.finished_programs,
        refusals: observed.refusals.clone(),
        stale_calls: observed.stale_calls,
        stranded_tokens: cluster.nodes.values().map(|it| it.handle.stranded_tokens()).sum(),
        violations: observed.violations.clone(),
        faults: BTreeMap::new(),
    };
    for planned in plan {
        *report.faults.entry(planned.fault).or_default() += 1;
    }
    report
}

/// Checks that every node activated the accepted document.
async fn check_revisions(cluster: &Cluster, context: &RunContext) {
    sleep(ACTIVATION_TIME).await;
    for node in cluster.nodes.values() {
        let revision = node.handle.document().revision;
        if revision != cluster.revision {
            let name = node.handle.name();
            let detail =
                format!("{name} has revision {revision}, accepted is {}", cluster.revision);
            context
                .observed()
                .record_violation("every node activates the accepted document", detail);
        }
    }
}

fn build_document(cluster: &Cluster) -> Document {
    let engine = EngineSpec {
        models: vec![parse_name("m")],
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

/// An engine that was marked as leaving for a while.
#[derive(Clone, Copy)]
struct DrainedEngine {
    engine: usize,
    since: Instant,
    /// When it was marked as active again; absent while it is leaving.
    until: Option<Instant>,
}

/// Injects the faults of a plan into a cluster, and undoes each at its end.
struct FaultInjector {
    cluster: Cluster,
    document: Document,
    /// The engine that was marked as leaving last, if any.
    drained: Option<DrainedEngine>,
    /// Whether the plan has only one fault; only then is it checked that a leaving engine gets no
    /// new calls.
    is_single_fault: bool,
}

impl FaultInjector {
    /// Injects and undoes the faults at their planned times; faults may overlap.
    ///
    /// Meanwhile watches that no node's document revision decreases.
    async fn run(&mut self, plan: &[PlannedFault], context: &Arc<RunContext>) {
        let start = Instant::now();
        let mut steps: Vec<(Duration, bool, PlannedFault)> = Vec::new();
        for planned in plan {
            steps.push((planned.start, true, *planned));
            steps.push((planned.start + planned.duration, false, *planned));
        }
        steps.sort_by_key(|(at, is_start, _)| (*at, *is_start));
        let watcher = tokio::spawn(watch_revisions(self.handles(), context.clone()));
        for (at, is_start, planned) in steps {
            sleep_until(start + at).await;
            if is_start {
                self.inject(planned);
            } else {
                self.undo(planned);
            }
        }
        watcher.abort();
    }

    fn handles(&self) -> Vec<rosethread_node::NodeHandle> {
        self.cluster.nodes.values().map(|it| it.handle.clone()).collect()
    }

    fn node(&self, planned: PlannedFault) -> usize {
        planned.selector % self.cluster.node_count()
    }

    fn inject(&mut self, planned: PlannedFault) {
        let node = self.node(planned);
        match planned.fault {
            Fault::Kill => self.cluster.kill(node),
            Fault::Pause => self.with_node(node, |it| it.tasks.pause()),
            Fault::Drain => self.drain(node),
            Fault::NodeLogCut => self.with_node(node, |it| it.log.set_unreachable(true)),
            Fault::ZoneCut => self.set_zone_group(planned, 1, false),
            Fault::ZoneInboundCut => self.set_zone_group(planned, 1, true),
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
            Fault::TargetDrain => self.set_engine_state(planned, TargetState::Leaving),
            Fault::ConcurrentPublish => self.publish_concurrently(),
            Fault::HostsDown => self.cluster.hosts.set_down(true),
        }
    }

    fn undo(&mut self, planned: PlannedFault) {
        let node = self.node(planned);
        match planned.fault {
            Fault::Kill | Fault::Drain => {
                self.cluster.kill(node);
                self.cluster.start_node(node);
            }
            Fault::Pause => self.with_node(node, |it| it.tasks.resume()),
            Fault::NodeLogCut => self.with_node(node, |it| it.log.set_unreachable(false)),
            Fault::ZoneCut | Fault::ZoneInboundCut => self.set_zone_group(planned, 0, false),
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
            Fault::TargetDrain => self.set_engine_state(planned, TargetState::Active),
            Fault::ConcurrentPublish => (),
            Fault::HostsDown => self.cluster.hosts.set_down(false),
        }
    }

    fn with_node(&self, node: usize, action: impl FnOnce(&super::cluster::ClusterNode)) {
        if let Some(cluster_node) = self.cluster.nodes.get(&node) {
            action(cluster_node);
        }
    }

    /// Starts to drain a node, which stops after the drain, or is killed at the end of the fault.
    fn drain(&mut self, node: usize) {
        if let Some(draining) = self.cluster.drain(node) {
            let tasks = self.cluster.nodes[&node].tasks.clone();
            tasks.clone().spawn(async move {
                draining.await;
                tasks.kill();
            });
        }
    }

    fn set_zone_group(&self, planned: PlannedFault, group: u32, is_outbound_only: bool) {
        let zones = self.cluster.zones();
        let zone = zones[planned.selector % zones.len()];
        for index in 0..self.cluster.node_count() {
            let contact = self.cluster.contact(index);
            if contact.zone.as_str() == zone {
                self.cluster.network.set_group(&contact, group);
            }
        }
        self.cluster.network.set_outbound_only(1, is_outbound_only);
    }

    fn set_log(&self, change: impl FnOnce(&mut LogFaults)) {
        let mut faults = self.cluster.log.faults();
        change(&mut faults);
        self.cluster.log.set_faults(faults);
    }

    fn set_engine(&self, planned: PlannedFault, change: impl FnOnce(&mut EngineFaults)) {
        let engines = self.cluster.targets.engines();
        let engine = &engines[planned.selector % engines.len()];
        let mut faults = engine.faults();
        change(&mut faults);
        engine.set_faults(faults);
    }

    fn set_service(&self, planned: PlannedFault, change: impl FnOnce(&mut ServiceFaults)) {
        let services = self.cluster.targets.services();
        let service = &services[planned.selector % services.len()];
        let mut faults = service.faults();
        change(&mut faults);
        service.set_faults(faults);
    }

    fn set_engine_state(&mut self, planned: PlannedFault, state: TargetState) {
        let engine = planned.selector % 3;
        self.document.targets[engine].state = state;
        self.cluster.publish(&self.document);
        match state {
            TargetState::Leaving => {
                self.drained = Some(DrainedEngine { engine, since: Instant::now(), until: None });
            }
            TargetState::Active => {
                if let Some(drained) = &mut self.drained {
                    drained.until = Some(Instant::now());
                }
            }
        }
    }

    /// Publishes two different documents based on the same revision; nodes must accept the first.
    fn publish_concurrently(&mut self) {
        let base = self.cluster.revision;
        let mut other = self.document.clone();
        self.document.members[0].share += 1;
        other.members[1].share += 1;
        let winner = self.cluster.publish_from(&self.document, base, "first");
        self.cluster.publish_from(&other, base, "second");
        self.cluster.revision = winner;
    }
}

/// Checks every 100 ms that no node's document revision has decreased.
async fn watch_revisions(handles: Vec<rosethread_node::NodeHandle>, context: Arc<RunContext>) {
    let mut last = vec![Revision::default(); handles.len()];
    loop {
        for (handle, last) in handles.iter().zip(&mut last) {
            let revision = handle.document().revision;
            if revision < *last {
                let detail =
                    format!("{} went from revision {last} back to {revision}", handle.name());
                context.observed().record_violation("document revisions never decrease", detail);
            }
            *last = revision;
        }
        sleep(Duration::from_millis(100)).await;
    }
}
