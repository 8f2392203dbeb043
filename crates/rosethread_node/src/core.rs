//! The state that all modules of a node share, and the dependencies that it is built from.

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
    dispatch::Dispatch, limits::MemberLimits, metrics::Metrics, owner::OwnedProgram,
    peers::PeerClient, slo::ObjectiveCounters,
};

/// The injected dependencies of a node.
pub struct NodeParts {
    /// The settings of the process.
    pub settings: Settings,
    /// The wall clock.
    pub clock: Clock,
    /// The client of the platform's log service.
    pub log: Arc<dyn LogService>,
    /// The client that calls targets.
    pub targets: Arc<dyn TargetClient>,
    /// The client of the platform's host list.
    pub hosts: Arc<dyn HostList>,
    /// The client that sends requests and calls to other nodes.
    pub peers: Arc<dyn PeerClient>,
    /// The transport of heartbeats between nodes.
    pub datagrams: Arc<dyn DatagramTransport>,
    /// The random source.
    pub random: RandomSource,
    /// Spawns the node's tasks, on the control thread or the traffic threads.
    pub tasks: TaskSpawner,
    /// The logger.
    pub logger: Logger,
}

/// The phase of a node's life cycle; phases are ordered and never go back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The node accepts new programs and calls.
    Serving,
    /// The node finishes its active calls and hands its programs over.
    Draining,
    /// The drain has ended.
    Stopped,
}

/// The state that all tasks of a node share.
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
    /// The number of suspicions that membership has raised since the node's start.
    pub(crate) suspicions: Arc<AtomicU64>,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) dispatch: Dispatch,
    pub(crate) limits: MemberLimits,
    pub(crate) objectives: ObjectiveCounters,
    programs: Mutex<BTreeMap<ProgramId, Arc<OwnedProgram>>>,
    takeover_locks: Mutex<BTreeMap<ProgramId, Arc<tokio::sync::Mutex<()>>>>,
    /// The number of calls in progress here, which the node's summary reports to other nodes.
    pub(crate) active_calls: AtomicU32,
}

impl Core {
    /// Builds the shared state and spawns the journal's writer and reader.
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
            takeover_locks: Mutex::default(),
            active_calls: AtomicU32::new(0),
            tasks: parts.tasks,
            settings,
        })
    }

    /// Returns this node's name.
    pub(crate) fn node_name(&self) -> &NodeName {
        &self.settings.node
    }

    /// Returns this node's zone and addresses.
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

    /// Returns the active document, or a refusal if none has been published yet.
    pub(crate) fn document(&self) -> Result<Arc<ActiveDocument>, Refusal> {
        let document = self.document.borrow().clone();
        if document.revision.0 == 0 {
            let detail = "no document has been published yet";
            let refusal = Refusal::not_run(Reason::NoDocument, detail);
            return Err(refusal.retry_after(Duration::from_secs(1)));
        }
        Ok(document)
    }

    /// Returns the current snapshot of the cluster's membership.
    pub(crate) fn view(&self) -> Arc<ClusterView> {
        self.view.borrow().clone()
    }

    /// Returns the current phase of the node's life cycle.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns the program if this node owns it.
    pub(crate) fn owned(&self, program: &ProgramId) -> Option<Arc<OwnedProgram>> {
        self.programs().get(program).cloned()
    }

    /// Returns all programs that this node owns.
    pub(crate) fn owned_programs(&self) -> Vec<Arc<OwnedProgram>> {
        self.programs().values().cloned().collect()
    }

    /// Returns the number of programs that this node owns.
    pub(crate) fn owned_count(&self) -> usize {
        self.programs().len()
    }

    /// Adds a program that this node has become the owner of.
    pub(crate) fn insert_owned(&self, owned: Arc<OwnedProgram>) {
        self.programs().insert(owned.id.clone(), owned);
    }

    /// Removes a program that this node no longer owns.
    pub(crate) fn remove_owned(&self, program: &ProgramId) -> Option<Arc<OwnedProgram>> {
        self.programs().remove(program)
    }

    fn programs(&self) -> MutexGuard<'_, BTreeMap<ProgramId, Arc<OwnedProgram>>> {
        self.programs.lock().expect("no holder of the programs lock panics")
    }

    /// Returns the lock that serialises takeovers of `program`, so that it is taken over once.
    ///
    /// Removes the locks that nobody holds, so that the map does not grow with every program.
    pub(crate) fn takeover_lock(&self, program: &ProgramId) -> Arc<tokio::sync::Mutex<()>> {
        let mut locks = self.takeover_locks.lock().expect("no holder of the takeover locks panics");
        locks.retain(|_, it| 1 < Arc::strong_count(it));
        locks.entry(program.clone()).or_default().clone()
    }

    /// Counts a call as active until the returned guard is dropped.
    pub(crate) fn count_call(self: &Arc<Core>) -> CallGuard {
        self.active_calls.fetch_add(1, Ordering::Relaxed);
        CallGuard(self.clone())
    }
}

/// Counts one call in [`Core::active_calls`] until it is dropped.
pub(crate) struct CallGuard(Arc<Core>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.active_calls.fetch_sub(1, Ordering::Relaxed);
    }
}

fn decode_seal_keys(keys: &KeySettings) -> SealKeys {
    let mut decoded = KeySettings::decode(&keys.seal).into_iter().map(SealKey);
    let current = decoded.next().expect("validated settings contain at least one seal key");
    SealKeys::new(current, decoded.collect())
}
