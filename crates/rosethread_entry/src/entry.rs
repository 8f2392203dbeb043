//! What all parts of an entry share.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use rosethread_membership::{ClusterView, Contact, Status};
use rosethread_platform::{Clock, SharedLog};
use rosethread_runtime::{DatagramTransport, RandomSource, TaskSpawner, Timer};
use rosethread_types::{Incarnation, TargetName};
use slog::{Logger, info, warn};
use tokio::{sync::watch, time::Instant};

use crate::{
    history::TurnCache,
    load::{LoadTracker, RemoteLoads},
    metrics::Metrics,
    peers::PeerClient,
    ports::{RoutesSource, TargetsSource, Upstream},
    registry::{Target, TargetRegistry},
    routes::Routes,
    settings::{EntrySettings, ReloadableSettings},
    shards::Shards,
};

/// The time without an answer of the store after which shards go to hosts that reach it.
const LOG_AGE: Duration = Duration::from_millis(1_600);

/// Everything that an entry is built from.
pub struct EntryParts {
    /// The process's own settings.
    pub settings: EntrySettings,
    /// The wall clock.
    pub clock: Clock,
    /// The platform's shared log.
    pub shared_log: Arc<dyn SharedLog>,
    /// Where routes come from.
    pub routes_source: Arc<dyn RoutesSource>,
    /// Where targets register.
    pub targets_source: Arc<dyn TargetsSource>,
    /// The way to targets.
    pub upstream: Arc<dyn Upstream>,
    /// The way to other nodes, for requests.
    pub peers: Arc<dyn PeerClient>,
    /// The way to other nodes, for heartbeats.
    pub datagrams: Arc<dyn DatagramTransport>,
    /// The random source.
    pub random: RandomSource,
    /// Where the tasks run.
    pub tasks: TaskSpawner,
    /// The logger.
    pub logger: Logger,
}

/// How far an entry is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It takes calls.
    Serving,
    /// It answers calls that still come, and tells callers to go elsewhere.
    Draining,
    /// It takes no connections and no calls any more, and finishes those under way.
    Closing,
    /// It has stopped.
    Stopped,
}

/// The shared state of an entry.
pub struct Entry {
    /// As they were at the start; what may change since is in `reloadable`.
    pub(crate) settings: EntrySettings,
    reloadable: watch::Sender<Arc<ReloadableSettings>>,
    pub(crate) clock: Clock,
    pub(crate) start: Instant,
    pub(crate) incarnation: Incarnation,
    pub(crate) tasks: TaskSpawner,
    pub(crate) timer: Timer,
    pub(crate) random: RandomSource,
    pub(crate) logger: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) shared_log: Arc<dyn SharedLog>,
    pub(crate) routes_source: Arc<dyn RoutesSource>,
    pub(crate) targets_source: Arc<dyn TargetsSource>,
    pub(crate) upstream: Arc<dyn Upstream>,
    pub(crate) peers: Arc<dyn PeerClient>,
    pub(crate) datagrams: Arc<dyn DatagramTransport>,
    pub(crate) routes: watch::Sender<Arc<Routes>>,
    pub(crate) registry: Mutex<TargetRegistry>,
    pub(crate) targets: watch::Sender<Arc<BTreeMap<TargetName, Target>>>,
    /// When the targets were read last, in milliseconds since the start; zero if never.
    targets_read: AtomicU64,
    /// When the store answered last, in milliseconds since the start; zero before its first answer.
    log_seen: AtomicU64,
    pub(crate) view: watch::Sender<Arc<ClusterView>>,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) loads: LoadTracker,
    elsewhere: Mutex<RemoteLoads>,
    pub(crate) shards: Shards,
    pub(crate) turns: TurnCache,
    /// Calls under way here.
    pub(crate) active_calls: AtomicU32,
}

impl Entry {
    pub(crate) fn new(parts: EntryParts) -> Arc<Entry> {
        Arc::new(Entry {
            start: Instant::now(),
            incarnation: Incarnation(parts.clock.now_ms()),
            timer: Timer::start(&parts.tasks),
            metrics: Metrics::new(),
            routes: watch::Sender::new(Arc::default()),
            registry: Mutex::new(TargetRegistry::new(parts.settings.report_period())),
            targets: watch::Sender::new(Arc::default()),
            targets_read: AtomicU64::new(0),
            log_seen: AtomicU64::new(0),
            view: watch::Sender::new(Arc::default()),
            phase: watch::Sender::new(Phase::Serving),
            loads: LoadTracker::default(),
            elsewhere: Mutex::default(),
            shards: Shards::default(),
            turns: TurnCache::default(),
            active_calls: AtomicU32::new(0),
            reloadable: watch::Sender::new(Arc::new(parts.settings.reloadable())),
            settings: parts.settings,
            clock: parts.clock,
            shared_log: parts.shared_log,
            routes_source: parts.routes_source,
            targets_source: parts.targets_source,
            upstream: parts.upstream,
            peers: parts.peers,
            datagrams: parts.datagrams,
            random: parts.random,
            tasks: parts.tasks,
            logger: parts.logger,
        })
    }

    /// Returns the process's settings.
    pub fn settings(&self) -> &EntrySettings {
        &self.settings
    }

    /// Returns the settings that may change while the process runs.
    pub(crate) fn reloadable(&self) -> Arc<ReloadableSettings> {
        self.reloadable.borrow().clone()
    }

    /// Takes over what may change of new settings, and logs what needs another start.
    pub fn reload(&self, settings: &EntrySettings) {
        let fixed = self.settings.changes_needing_restart(settings);
        if !fixed.is_empty() {
            warn!(self.logger, "settings: some changes need another start"; "fields" => ?fixed);
        }
        let reloadable = settings.reloadable();
        let is_changed = reloadable != *self.reloadable();
        info!(self.logger, "settings: reloaded"; "changed" => is_changed,
            "processor" => reloadable.processor, "policy" => ?reloadable.policy,
            "writes_per_s" => reloadable.writes_per_s, "grace_s" => reloadable.bounds.grace_s,
            "keep_s" => reloadable.bounds.keep_s);
        self.reloadable.send_replace(Arc::new(reloadable));
    }

    /// Returns the logger.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> Arc<Routes> {
        self.routes.borrow().clone()
    }

    /// Returns how far the entry is in its life.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the entry takes no more connections.
    pub async fn wait_for_closing(&self) {
        // The sender lives as long as the entry, so there is no other end of the wait.
        let _ = self.phase.subscribe().wait_for(|it| Phase::Closing <= *it).await;
    }

    /// Tells whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
            && self.routes.borrow().revision.0 != 0
            && !self.is_isolated()
    }

    pub(crate) fn targets(&self) -> Arc<BTreeMap<TargetName, Target>> {
        self.targets.borrow().clone()
    }

    /// Returns the time since the targets were read; the longest there is if they never were.
    pub(crate) fn targets_age(&self) -> Duration {
        match self.targets_read.load(Ordering::Relaxed) {
            0 => Duration::MAX,
            read => self.now().saturating_sub(Duration::from_millis(read)),
        }
    }

    /// Returns the time since the targets were read, in milliseconds, for logs.
    pub(crate) fn targets_age_ms(&self) -> u64 {
        u64::try_from(self.targets_age().as_millis()).unwrap_or(u64::MAX)
    }

    /// Takes note of when the targets were read, as time since the start.
    pub(crate) fn set_targets_read(&self, time: Duration) {
        // Zero means that they never were.
        self.targets_read.store((time.as_millis() as u64).max(1), Ordering::Relaxed);
    }

    pub(crate) fn view(&self) -> Arc<ClusterView> {
        self.view.borrow().clone()
    }

    /// Returns the requests that other hosts have under way, by target.
    pub(crate) fn remote_requests(&self) -> Arc<BTreeMap<TargetName, u32>> {
        let mut elsewhere = self.elsewhere.lock().expect("no holder of the sums panics");
        elsewhere.totals(&self.view(), &self.settings.node, self.now())
    }

    /// Tells whether the store has answered lately.
    pub(crate) fn is_log_reachable(&self) -> bool {
        self.log_seen.load(Ordering::Relaxed) != 0 && self.log_age() < LOG_AGE
    }

    /// Returns for how long no host is known to reach the store, if that is so.
    pub(crate) fn log_outage(&self) -> Option<Duration> {
        let is_reached = self.is_log_reachable() || self.view().live().any(|it| it.summary.has_log);
        (!is_reached).then(|| self.log_age())
    }

    /// Tells whether neither the store nor any other host can be reached.
    pub(crate) fn is_isolated(&self) -> bool {
        let view = self.view();
        let heard = view.nodes.values().filter(|it| it.status < Status::Suspect).count();
        !self.is_log_reachable() && 1 < view.nodes.len() && heard <= 1
    }

    fn log_age(&self) -> Duration {
        let seen = Duration::from_millis(self.log_seen.load(Ordering::Relaxed));
        self.now().saturating_sub(seen)
    }

    /// Takes note that the store has just answered.
    pub(crate) fn record_log_response(&self) {
        self.log_seen.store(self.now().as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns the time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub(crate) fn contact(&self) -> Contact {
        let addresses = &self.settings.addresses;
        Contact {
            zone: self.settings.zone.clone(),
            caller: addresses.caller,
            peer: addresses.peer,
            heartbeat: addresses.heartbeat,
        }
    }

    /// Forgets what is known of a target whose address has another one now.
    pub(crate) fn forget_target(&self, target: &TargetName) {
        self.loads.forget(target);
        self.upstream.close_connections(target);
    }

    /// Counts a call as under way until the guard is dropped.
    pub(crate) fn count_call(self: &Arc<Entry>) -> CallGuard {
        self.active_calls.fetch_add(1, Ordering::Relaxed);
        CallGuard(self.clone())
    }
}

/// Counts one call as under way.
pub(crate) struct CallGuard(Arc<Entry>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.active_calls.fetch_sub(1, Ordering::Relaxed);
    }
}
