//! The shared state of one entry process, and the dependencies it is built from.
//!
//! The *store* is the platform's storage service. It holds the shared log, the operator's routes
//! and the registrations of targets.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use rosethread_config::KeySettings;
use rosethread_membership::{AuthKeys, ClusterView, Contact, Status};
use rosethread_platform::{Clock, SharedLog};
use rosethread_runtime::{DatagramTransport, DroppedDatagrams, RandomSource, TaskSpawner, Timer};
use rosethread_types::{Incarnation, RequestId, ServiceName, TargetName};
use slog::{Logger, info, warn};
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

use crate::{
    admission::Demands,
    call::Call,
    connections::{CallerConnection, Connections},
    fingerprint::Fingerprint,
    gated_log::GatedLog,
    history::TurnCache,
    limits::{Sharers, TargetLimits},
    load::{LoadTracker, RemoteLoads, RemoteReports},
    memory::{BodyMemory, MemoryPool},
    metrics::Metrics,
    origins::{Origins, Software, SoftwareByService},
    paths::Paths,
    peers::PeerClient,
    ports::{RoutesSource, SoftwareRecord, TargetsSource, Upstream},
    quota::Quotas,
    registry::{Target, TargetRegistry},
    routes::Routes,
    settings::{EntrySettings, ReloadableSettings},
    shards::Shards,
    software::{RegistryReads, SoftwareHistory},
    suspects::SuspectedCalls,
};

/// Time without a response from the store after which this host counts as cut off from the shared
/// log, so that its shards move to hosts that reach it. It is longer than two read periods of the
/// target registry, 700 ms each.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(1_600);

/// Memory that all large responses in progress share, in bytes.
const RESPONSE_MEMORY_BYTES: usize = 8 << 20;

/// The least time between two log lines about callers that met a limit of this host.
const LIMIT_LOG_PERIOD: Duration = Duration::from_secs(1);

/// The dependencies of an entry, passed to [`EntryNode::start`](crate::EntryNode::start).
pub struct EntryDependencies {
    /// The settings of this process.
    pub settings: EntrySettings,
    /// The wall clock.
    pub clock: Clock,
    /// The append-only log of the platform, shared by all hosts.
    pub shared_log: Arc<dyn SharedLog>,
    /// The source of the operator's routes.
    pub routes_source: Arc<dyn RoutesSource>,
    /// The record of the versions of services' software.
    pub software_record: Arc<dyn SoftwareRecord>,
    /// The source of the target registrations.
    pub targets_source: Arc<dyn TargetsSource>,
    /// The client that sends requests to targets.
    pub upstream: Arc<dyn Upstream>,
    /// The client for requests to other nodes.
    pub peers: Arc<dyn PeerClient>,
    /// The UDP transport for heartbeats between nodes.
    pub datagrams: Arc<dyn DatagramTransport>,
    /// The random number generator; a test can pass a seeded one.
    pub random: RandomSource,
    /// Spawns the background tasks.
    pub tasks: TaskSpawner,
    /// The logger of the process.
    pub logger: Logger,
}

/// The lifecycle phase of an entry, in the order in which the phases follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The entry accepts calls.
    Serving,
    /// The entry is shutting down: it still answers new calls, but reports itself as not ready and
    /// leaves the directory, the list of hosts for callers.
    Draining,
    /// The entry accepts no new connections or calls, and completes the calls in progress.
    Closing,
    /// The entry has ended the calls that were still in progress, and only sends their answers.
    Stopped,
}

/// The state that all tasks and servers of one entry process share.
pub struct Entry {
    /// The settings as read at startup; the current reloadable ones are in `reloadable`.
    pub(crate) settings: EntrySettings,
    reloadable: watch::Sender<Arc<ReloadableSettings>>,
    pub(crate) clock: Clock,
    pub(crate) started_at: Instant,
    /// The wall-clock start time, which distinguishes this process from earlier ones of the node.
    pub(crate) incarnation: Incarnation,
    pub(crate) tasks: TaskSpawner,
    pub(crate) timer: Timer,
    pub(crate) random: RandomSource,
    /// The first of the shared keys, under which all hosts compute the fingerprints of calls.
    fingerprint_key: Vec<u8>,
    pub(crate) logger: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) shared_log: Arc<dyn SharedLog>,
    pub(crate) routes_source: Arc<dyn RoutesSource>,
    pub(crate) software_record: Arc<dyn SoftwareRecord>,
    pub(crate) targets_source: Arc<dyn TargetsSource>,
    pub(crate) upstream: Arc<dyn Upstream>,
    pub(crate) peers: Arc<dyn PeerClient>,
    pub(crate) datagrams: Arc<dyn DatagramTransport>,
    pub(crate) dropped_datagrams: DroppedDatagrams,
    pub(crate) routes: watch::Sender<Arc<Routes>>,
    /// The registrations of targets; `targets` is the published snapshot that calls read.
    pub(crate) registry: Mutex<TargetRegistry>,
    pub(crate) targets: watch::Sender<Arc<BTreeMap<TargetName, Target>>>,
    /// When the current target list was read from the store, by this host or by the peer that sent
    /// it, in milliseconds since the start; zero before the first list.
    targets_read_ms: AtomicU64,
    /// When the store last responded to this host, in milliseconds since the start; zero before
    /// that.
    store_response_ms: AtomicU64,
    /// When the store last told this host the newest routes, or that there are none, in milliseconds since the
    /// start.
    routes_read_ms: AtomicU64,
    /// Wakes the tasks that wait for the store when it responds again after a failed read of the
    /// registry.
    pub(crate) store_regained: Notify,
    /// The cluster's nodes, this one included, as the membership protocol sees them.
    pub(crate) view: watch::Sender<Arc<ClusterView>>,
    pub(crate) phase: watch::Sender<Phase>,
    /// When this host ends the calls that are still in progress; set once it is shutting down.
    cutoff: OnceLock<Instant>,
    pub(crate) loads: LoadTracker,
    /// The programs that callers begin at this host.
    pub(crate) demands: Demands,
    /// The request rates that targets in need have named.
    pub(crate) limits: TargetLimits,
    /// The limits of organisations.
    pub(crate) quotas: Quotas,
    /// The versions of software at which streams began.
    pub(crate) origins: Origins,
    /// The versions of software of each service.
    pub(crate) software: watch::Sender<Arc<SoftwareByService>>,
    /// Whether `software` includes the versions that this host did not see itself.
    pub(crate) software_history: SoftwareHistory,
    /// The reads of the registry in the store.
    pub(crate) registry_reads: RegistryReads,
    /// The calls that are suspected of crashing targets.
    pub(crate) suspects: SuspectedCalls,
    /// The paths to targets, direct ones and by way of other hosts.
    pub(crate) paths: Paths,
    /// Authenticates requests for paths.
    pub(crate) auth_keys: AuthKeys,
    /// The load of each target from other hosts, cached for a short time.
    remote_loads: Mutex<RemoteLoads>,
    pub(crate) shards: Shards,
    pub(crate) turns: TurnCache,
    /// The open connections of callers.
    pub(crate) connections: Connections,
    /// Number of calls in progress at this host.
    pub(crate) active_calls: AtomicU32,
    /// Memory for the large ones of the responses that are being buffered.
    pub(crate) response_memory: MemoryPool,
    /// Memory for the bodies of requests.
    request_memory: BodyMemory,
    /// When a refusal for lack of memory or connections was last logged.
    limit_logged: Mutex<Option<Instant>>,
}

impl Entry {
    pub(crate) fn new(dependencies: EntryDependencies) -> Arc<Entry> {
        let metrics = Metrics::new();
        let shared_log = Arc::new(GatedLog::new(
            dependencies.shared_log,
            dependencies.settings.platform.record_bytes,
            RandomSource::seeded(dependencies.random.next_u64()),
            metrics.log_calls_held.clone(),
            dependencies.logger.clone(),
        ));
        Arc::new(Entry {
            started_at: Instant::now(),
            incarnation: Incarnation(dependencies.clock.now_ms()),
            timer: Timer::start(&dependencies.tasks),
            metrics,
            routes: watch::Sender::new(Arc::default()),
            registry: Mutex::new(TargetRegistry::new(dependencies.settings.report_period())),
            targets: watch::Sender::new(Arc::default()),
            targets_read_ms: AtomicU64::new(0),
            store_response_ms: AtomicU64::new(0),
            routes_read_ms: AtomicU64::new(0),
            store_regained: Notify::new(),
            view: watch::Sender::new(Arc::default()),
            phase: watch::Sender::new(Phase::Serving),
            cutoff: OnceLock::new(),
            loads: LoadTracker::default(),
            demands: Demands::default(),
            limits: TargetLimits::default(),
            quotas: Quotas::default(),
            origins: Origins::default(),
            software: watch::Sender::new(Arc::default()),
            software_history: SoftwareHistory::default(),
            registry_reads: RegistryReads::default(),
            suspects: SuspectedCalls::default(),
            paths: Paths::default(),
            auth_keys: AuthKeys::new(KeySettings::decode(&dependencies.settings.keys.shared)),
            remote_loads: Mutex::default(),
            shards: Shards::default(),
            turns: TurnCache::default(),
            connections: Connections::default(),
            active_calls: AtomicU32::new(0),
            response_memory: MemoryPool::new(RESPONSE_MEMORY_BYTES),
            request_memory: BodyMemory::new(dependencies.settings.request_bytes()),
            limit_logged: Mutex::default(),
            reloadable: watch::Sender::new(Arc::new(dependencies.settings.reloadable())),
            fingerprint_key: first_key(&dependencies.settings),
            settings: dependencies.settings,
            clock: dependencies.clock,
            shared_log,
            routes_source: dependencies.routes_source,
            software_record: dependencies.software_record,
            targets_source: dependencies.targets_source,
            upstream: dependencies.upstream,
            peers: dependencies.peers,
            datagrams: dependencies.datagrams,
            dropped_datagrams: DroppedDatagrams::default(),
            random: dependencies.random,
            tasks: dependencies.tasks,
            logger: dependencies.logger,
        })
    }

    /// Returns the settings that the process was started with.
    pub fn settings(&self) -> &EntrySettings {
        &self.settings
    }

    /// Returns the current values of the settings that can change without a restart.
    pub(crate) fn reloadable(&self) -> Arc<ReloadableSettings> {
        self.reloadable.borrow().clone()
    }

    /// Applies the reloadable part of new settings, and logs the changes that need a restart.
    pub fn reload(&self, settings: &EntrySettings) {
        let ignored = self.settings.changes_needing_restart(settings);
        if !ignored.is_empty() {
            warn!(self.logger, "settings: some changes need a restart"; "fields" => ?ignored);
        }
        let reloadable = settings.reloadable();
        let is_changed = reloadable != *self.reloadable();
        info!(self.logger, "settings: reloaded"; "changed" => is_changed,
            "processor" => reloadable.processor, "policy" => ?reloadable.policy,
            "part_copies" => reloadable.part_copies, "target_speeds" => reloadable.target_speeds,
            "admission" => ?reloadable.admission,
            "writes_per_s" => reloadable.writes_per_s, "grace_s" => reloadable.bounds.grace_s,
            "keep_s" => reloadable.bounds.keep_s);
        self.reloadable.send_replace(Arc::new(reloadable));
    }

    /// Returns the logger of the process.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Returns the metrics of this entry.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the active routes.
    pub fn routes(&self) -> Arc<Routes> {
        self.routes.borrow().clone()
    }

    /// Returns the current lifecycle phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Starts the shutdown, in which all calls end by `cutoff`.
    pub(crate) fn begin_drain(&self, cutoff: Instant) {
        // Before the phase, so that a call which finds the host draining also knows how long it may take.
        self.cutoff.get_or_init(|| cutoff);
        self.phase.send_replace(Phase::Draining);
    }

    /// Returns when this host ends the calls in progress, if it is shutting down.
    pub(crate) fn cutoff(&self) -> Option<Instant> {
        self.cutoff.get().copied()
    }

    /// Waits until the entry accepts no new connections.
    pub async fn wait_for_closing(&self) {
        // The entry owns the sender, so the wait cannot fail while `self` is borrowed.
        let _ = self.phase.subscribe().wait_for(|it| Phase::Closing <= *it).await;
    }

    /// Waits until the entry ends the calls that are still in progress.
    pub(crate) async fn wait_for_cutoff(&self) {
        // The entry owns the sender, so the wait cannot fail while `self` is borrowed.
        let _ = self.phase.subscribe().wait_for(|it| Phase::Stopped <= *it).await;
    }

    /// Returns whether callers should use this host: it serves, has routes and is not isolated.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
            && self.routes.borrow().revision.0 != 0
            && !self.is_isolated()
    }

    /// Returns the known targets by name.
    pub(crate) fn targets(&self) -> Arc<BTreeMap<TargetName, Target>> {
        self.targets.borrow().clone()
    }

    /// Returns the time since the target list was read from the store, or [`Duration::MAX`] before
    /// the first one.
    pub(crate) fn targets_age(&self) -> Duration {
        match self.targets_read_ms.load(Ordering::Relaxed) {
            0 => Duration::MAX,
            read => self.now().saturating_sub(Duration::from_millis(read)),
        }
    }

    /// Returns the age of the target list in milliseconds, for logs.
    pub(crate) fn targets_age_ms(&self) -> u64 {
        u64::try_from(self.targets_age().as_millis()).unwrap_or(u64::MAX)
    }

    /// Records the time since the start at which the target list was read.
    pub(crate) fn record_targets_read(&self, time: Duration) {
        // Zero stands for "never read".
        self.targets_read_ms.store((time.as_millis() as u64).max(1), Ordering::Relaxed);
    }

    /// Returns the latest view of the cluster's nodes, this one included.
    pub(crate) fn view(&self) -> Arc<ClusterView> {
        self.view.borrow().clone()
    }

    /// Returns what other hosts report of the targets.
    pub(crate) fn remote_reports(&self) -> Arc<RemoteReports> {
        let mut remote = self.remote_loads.lock().expect("the lock is not poisoned");
        remote.reports(&self.view(), &self.settings.node, self.now())
    }

    /// Returns the hosts that share the rates of targets.
    pub(crate) fn sharers<'a>(&'a self, reports: &'a RemoteReports) -> Sharers<'a> {
        Sharers { hosts: &reports.hosts, digest: reports.digest, own: &self.settings.node }
    }

    /// Returns whether the store has responded within [`MAX_STORE_SILENCE`].
    ///
    /// The periodic read of the target registry serves as the probe.
    pub(crate) fn is_log_reachable(&self) -> bool {
        self.store_response_ms.load(Ordering::Relaxed) != 0
            && self.time_since_store_response() < MAX_STORE_SILENCE
    }

    /// Returns how long the store has not responded to this host, or `None` if any host reaches it.
    ///
    /// If it has never responded, the time counts from the start of the process.
    pub(crate) fn log_outage(&self) -> Option<Duration> {
        let is_reached = self.is_log_reachable() || self.view().live().any(|it| it.summary.has_log);
        (!is_reached).then(|| self.time_since_store_response())
    }

    /// Returns whether this host reaches neither the store nor any of the other hosts it knows.
    ///
    /// A host that knows no others is not isolated.
    pub(crate) fn is_isolated(&self) -> bool {
        let view = self.view();
        // This host counts as one of them.
        let reachable = view.nodes.values().filter(|it| it.status < Status::Suspect).count();
        !self.is_log_reachable() && 1 < view.nodes.len() && reachable <= 1
    }

    /// Returns the time since the store last responded to this host's reads of the registry.
    pub(crate) fn time_since_store_response(&self) -> Duration {
        let last = Duration::from_millis(self.store_response_ms.load(Ordering::Relaxed));
        self.now().saturating_sub(last)
    }

    /// Records that the store has just responded.
    pub(crate) fn record_store_response(&self) {
        // Zero stands for no response, and the first one may come within a millisecond.
        let now_ms = (self.now().as_millis() as u64).max(1);
        self.store_response_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Returns the time since the store last told this host the newest routes.
    pub(crate) fn routes_age(&self) -> Duration {
        let last = Duration::from_millis(self.routes_read_ms.load(Ordering::Relaxed));
        self.now().saturating_sub(last)
    }

    /// Records that the store has just told this host the newest routes.
    pub(crate) fn record_routes_read(&self) {
        self.routes_read_ms.store(self.now().as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns the time since the process start, which serves as the monotonic clock.
    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns the fingerprint that all attempts of a call share.
    pub(crate) fn fingerprint(&self, call: &Call) -> Fingerprint {
        Fingerprint::of_call(call, &self.fingerprint_key)
    }

    /// Returns the fingerprint of one attempt.
    pub(crate) fn attempt_fingerprint(&self, id: &RequestId) -> Fingerprint {
        Fingerprint::of_attempt(id, &self.fingerprint_key)
    }

    /// Returns the versions that the targets of a service run or ran a short time ago.
    pub(crate) fn software(&self, service: &ServiceName) -> BTreeSet<Software> {
        self.software.borrow().get(service).cloned().unwrap_or_default()
    }

    /// Returns the fingerprint of a service's name.
    pub(crate) fn service_fingerprint(&self, service: &ServiceName) -> Fingerprint {
        Fingerprint::of_service(service, &self.fingerprint_key)
    }

    /// Returns the fingerprint of a call's path.
    pub(crate) fn path_fingerprint(&self, call: &Call) -> Fingerprint {
        Fingerprint::of_path(call, &self.fingerprint_key)
    }

    /// Returns the zone and addresses that this node announces to the other nodes.
    pub(crate) fn contact(&self) -> Contact {
        let addresses = &self.settings.addresses;
        Contact {
            zone: self.settings.zone.clone(),
            caller: addresses.caller,
            peer: addresses.peer,
            heartbeat: addresses.heartbeat,
        }
    }

    /// Discards the load statistics and idle connections of a target that left, restarted or moved
    /// to another address.
    pub(crate) fn forget_target(&self, target: &TargetName) {
        self.loads.forget(target);
        self.paths.forget(target);
        self.upstream.close_idle_connections(target);
    }

    /// Adds a connection that a caller has just opened.
    pub fn open_connection(&self) -> CallerConnection {
        self.connections.open()
    }

    /// Returns the memory for the bodies of requests.
    pub fn request_memory(&self) -> &BodyMemory {
        &self.request_memory
    }

    /// Makes room for one more connection of a caller, and returns whether there is any. The connection
    /// that has been idle for longest closes.
    pub fn make_room(&self) -> bool {
        if self.connections.count() < self.settings.max_connections() {
            return true;
        }
        let has_room = self.connections.close_idlest();
        self.record_limit(if has_room { "idle-closed" } else { "turned-away" });
        has_room
    }

    /// Counts, and logs at most once per `LIMIT_LOG_PERIOD`, that a caller met a limit on memory or
    /// connections.
    pub fn record_limit(&self, cause: &str) {
        self.metrics.caller_limits.with_label_values(&[cause]).inc();
        let now = Instant::now();
        let mut logged = self.limit_logged.lock().expect("no holder of this lock panics");
        if logged.is_some_and(|it| now.duration_since(it) < LIMIT_LOG_PERIOD) {
            return;
        }
        *logged = Some(now);
        warn!(self.logger, "callers: a limit of this host was met"; "cause" => cause,
            "body_bytes" => self.request_memory.used_bytes(),
            "body_limit" => self.request_memory.total_bytes(),
            "connections" => self.connections.count(),
            "connection_limit" => self.settings.max_connections());
    }

    /// Counts a call as in progress until the returned guard is dropped.
    pub(crate) fn count_call(self: &Arc<Entry>) -> CallGuard {
        self.active_calls.fetch_add(1, Ordering::Relaxed);
        CallGuard(self.clone())
    }
}

/// Returns the first of the keys that the hosts share.
fn first_key(settings: &EntrySettings) -> Vec<u8> {
    KeySettings::decode(&settings.keys.shared).into_iter().next().unwrap_or_default()
}

/// Counts one call as in progress for as long as it exists.
pub(crate) struct CallGuard(Arc<Entry>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.active_calls.fetch_sub(1, Ordering::Relaxed);
    }
}
