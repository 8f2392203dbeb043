//! What all parts of a node share.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use rosethread_config::{ActiveDocument, KeySettings, Settings};
use rosethread_journal::{Journal, JournalConfig};
use rosethread_membership::{ClusterView, Contact};
use rosethread_platform::{Clock, HostList, LogService, TargetClient};
use rosethread_program::{SealKey, SealKeys};
use rosethread_runtime::{DatagramTransport, RandomSource, TaskSpawner, Timer};
use rosethread_types::{Incarnation, NodeName, ProgramId, Reason, Refusal};
use slog::Logger;
use tokio::{sync::watch, time::Instant};

use crate::{
    dispatch::Dispatch, limits::MemberLimits, metrics::Metrics, owner::Owned, peers::PeerClient,
    slo::ObjectiveCounters,
};

/// Everything that a node is built from.
pub struct NodeParts {
    /// The process's own settings.
    pub settings: Settings,
    /// The wall clock.
    pub clock: Clock,
    /// The platform's log service.
    pub log: Arc<dyn LogService>,
    /// The platform's targets.
    pub targets: Arc<dyn TargetClient>,
    /// The platform's host list.
    pub hosts: Arc<dyn HostList>,
    /// The way to other nodes, for calls.
    pub peers: Arc<dyn PeerClient>,
    /// The way to other nodes, for heartbeats.
    pub datagrams: Arc<dyn DatagramTransport>,
    /// The random source.
    pub random: RandomSource,
    /// Where the node's tasks run.
    pub tasks: TaskSpawner,
    /// The logger.
    pub logger: Logger,
}

/// How far a node is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It takes new work.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It has handed everything over.
    Stopped,
}

/// The shared state of a node.
pub(crate) struct Core {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) started_at: Instant,
    pub(crate) tasks: TaskSpawner,
    pub(crate) timer: Timer,
    pub(crate) random: RandomSource,
    pub(crate) logger: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) log: Arc<dyn LogService>,
    pub(crate) journal: Journal,
    pub(crate) targets: Arc<dyn TargetClient>,
    pub(crate) hosts: Arc<dyn HostList>,
    pub(crate) peers: Arc<dyn PeerClient>,
    pub(crate) datagrams: Arc<dyn DatagramTransport>,
    pub(crate) seal_keys: SealKeys,
    pub(crate) incarnation: Incarnation,
    pub(crate) document: watch::Sender<Arc<ActiveDocument>>,
    pub(crate) view: watch::Sender<Arc<ClusterView>>,
    /// Suspicions that membership has raised since the start.
    pub(crate) suspicions: Arc<AtomicU64>,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) dispatch: Dispatch,
    pub(crate) limits: MemberLimits,
    pub(crate) objectives: ObjectiveCounters,
    programs: Mutex<BTreeMap<ProgramId, Arc<Owned>>>,
    takeovers: Mutex<BTreeMap<ProgramId, Arc<tokio::sync::Mutex<()>>>>,
    /// Calls under way here, for summaries.
    pub(crate) active_calls: AtomicU32,
}

impl Core {
    /// Builds the shared state and starts the journal's tasks.
    pub(crate) fn new(parts: NodeParts) -> Arc<Core> {
        let incarnation = Incarnation(parts.clock.now_ms());
        let settings = parts.settings;
        let config = JournalConfig::new(
            settings.log.journal.clone(),
            settings.node.clone(),
            incarnation,
            parts.clock,
        )
        .window(Duration::from_millis(settings.journal.window_ms))
        .queue_bytes(settings.journal.queue_bytes);
        let (journal, writer, reader) = Journal::new(config, parts.log.clone());
        parts.tasks.spawn_control(writer);
        parts.tasks.spawn_control(reader);
        let timer = Timer::start(&parts.tasks);
        Arc::new(Core {
            seal_keys: decode_seal_keys(&settings.keys),
            clock: parts.clock,
            started_at: Instant::now(),
            timer,
            random: parts.random,
            logger: parts.logger,
            metrics: Metrics::new(),
            log: parts.log,
            journal,
            targets: parts.targets,
            hosts: parts.hosts,
            peers: parts.peers,
            datagrams: parts.datagrams,
            incarnation,
            document: watch::Sender::new(Arc::default()),
            view: watch::Sender::new(Arc::default()),
            suspicions: Arc::default(),
            phase: watch::Sender::new(Phase::Serving),
            dispatch: Dispatch::default(),
            limits: MemberLimits::default(),
            objectives: ObjectiveCounters::default(),
            programs: Mutex::default(),
            takeovers: Mutex::default(),
            active_calls: AtomicU32::new(0),
            tasks: parts.tasks,
            settings,
        })
    }

    /// Returns this node's name.
    pub(crate) fn node_name(&self) -> &NodeName {
        &self.settings.node
    }

    /// Returns where this node is.
    pub(crate) fn contact(&self) -> Contact {
        let addresses = &self.settings.addresses;
        Contact {
            zone: self.settings.zone.clone(),
            caller: addresses.caller,
            peer: addresses.peer,
            heartbeat: addresses.heartbeat,
        }
    }

    /// Returns the time since the node's start.
    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns the document in force, or a refusal if there is none yet.
    pub(crate) fn document(&self) -> Result<Arc<ActiveDocument>, Refusal> {
        let document = self.document.borrow().clone();
        if document.revision.0 == 0 {
            let detail = "no document has been published yet";
            let refusal = Refusal::not_run(Reason::NoDocument, detail);
            return Err(refusal.retry_after(Duration::from_secs(1)));
        }
        Ok(document)
    }

    /// Returns the nodes as they are known at present.
    pub(crate) fn view(&self) -> Arc<ClusterView> {
        self.view.borrow().clone()
    }

    /// Returns how far the node is in its life.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns the program if this node owns it.
    pub(crate) fn owned(&self, program: &ProgramId) -> Option<Arc<Owned>> {
        self.programs().get(program).cloned()
    }

    /// Returns all programs that this node owns.
    pub(crate) fn owned_programs(&self) -> Vec<Arc<Owned>> {
        self.programs().values().cloned().collect()
    }

    /// Returns the number of programs that this node owns.
    pub(crate) fn owned_count(&self) -> usize {
        self.programs().len()
    }

    /// Adds a program that this node owns from now on.
    pub(crate) fn insert_owned(&self, owned: Arc<Owned>) {
        self.programs().insert(owned.id.clone(), owned);
    }

    /// Removes a program that this node no longer owns.
    pub(crate) fn remove_owned(&self, program: &ProgramId) -> Option<Arc<Owned>> {
        self.programs().remove(program)
    }

    fn programs(&self) -> MutexGuard<'_, BTreeMap<ProgramId, Arc<Owned>>> {
        self.programs.lock().expect("no holder of the programs panics")
    }

    /// Returns the lock under which `program` is taken over, so that it happens once.
    pub(crate) fn takeover_lock(&self, program: &ProgramId) -> Arc<tokio::sync::Mutex<()>> {
        let mut takeovers = self.takeovers.lock().expect("no holder of the takeovers panics");
        takeovers.retain(|_, it| 1 < Arc::strong_count(it));
        takeovers.entry(program.clone()).or_default().clone()
    }

    /// Counts a call as under way until the guard is dropped.
    pub(crate) fn count_call(self: &Arc<Core>) -> CallGuard {
        self.active_calls.fetch_add(1, Ordering::Relaxed);
        CallGuard(self.clone())
    }
}

/// Counts one call as under way.
pub(crate) struct CallGuard(Arc<Core>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.active_calls.fetch_sub(1, Ordering::Relaxed);
    }
}

fn decode_seal_keys(keys: &KeySettings) -> SealKeys {
    let mut decoded = KeySettings::decode(&keys.seal).into_iter().map(SealKey);
    let current = decoded.next().expect("settings have at least one valid seal key");
    SealKeys::new(current, decoded.collect())
}
