//! Per-target load, health and cache contents, as this host observes them.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use rosethread_membership::{ClusterView, TargetLimit, TargetLoad};
use rosethread_policy::{PartDemand, PrefillEstimator, TargetHealth, TargetSpeeds};
use rosethread_types::{NodeName, PromptPart, ServiceName, TargetName};
use tokio::time::Instant;

use crate::{call::Call, choose::Choice, limits::ReportedLimits};

/// How long a part of a prompt is assumed to stay in an engine's prefix cache after its last use.
const CACHE_TTL: Duration = Duration::from_secs(20);

/// How long the totals of other hosts' loads are reused. The reports behind them are older than
/// this, so reuse costs little accuracy.
const TOTALS_TTL: Duration = Duration::from_millis(50);

/// Number of remembered prompt parts per target above which those unused for half of [`CACHE_TTL`]
/// are evicted.
const MAX_CACHED_PARTS: usize = 256;

/// The pauses between events from which a stream tells the speed of its target.
const MIN_PAUSES: u32 = 2;

/// What this host has observed of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetStats {
    pub(crate) health: TargetHealth,
    /// Prompt parts that the target is assumed to cache, with the time of their last use.
    cached_parts: BTreeMap<PromptPart, Duration>,
}

impl TargetStats {
    /// Returns how many leading tokens of a prompt the target is assumed to cache.
    pub(crate) fn cached_tokens(&self, prompt: &[(PromptPart, u64)], now: Duration) -> u64 {
        let is_cached = |it: &&(PromptPart, u64)| {
            self.cached_parts.get(&it.0).is_some_and(|last_used| now < *last_used + CACHE_TTL)
        };
        prompt.iter().take_while(is_cached).fold(0, |sum, it| it.1.saturating_add(sum))
    }

    /// Marks the parts of a prompt as cached from `now` on, and evicts old parts above the limit.
    fn record_prompt(&mut self, prompt: &[(PromptPart, u64)], now: Duration) {
        for (part, _) in prompt {
            self.cached_parts.insert(part.clone(), now);
        }
        if MAX_CACHED_PARTS < self.cached_parts.len() {
            self.cached_parts.retain(|_, last_used| now < *last_used + CACHE_TTL / 2);
        }
    }
}

/// Tracks the load and health of the targets that this host uses; clones share their state.
#[derive(Clone, Default)]
pub(crate) struct LoadTracker {
    targets: Arc<Mutex<BTreeMap<TargetName, TargetStats>>>,
    /// Estimates the prefill time of each service's engines.
    prefill_estimators: Arc<Mutex<BTreeMap<ServiceName, PrefillEstimator>>>,
    /// The speeds of each service's targets.
    speeds: Arc<Mutex<BTreeMap<ServiceName, TargetSpeeds>>>,
    /// Counts the shared prompt parts in the calls to each service.
    part_demands: Arc<Mutex<BTreeMap<ServiceName, PartDemand>>>,
}

impl LoadTracker {
    /// Locks the observations of all targets.
    pub(crate) fn lock(&self) -> MutexGuard<'_, BTreeMap<TargetName, TargetStats>> {
        self.targets.lock().expect("no holder of the target stats lock panics")
    }

    /// Returns the prefill estimate for the engines of `service`, or the initial guess.
    pub(crate) fn prefill_estimator(&self, service: &ServiceName) -> PrefillEstimator {
        let prefill_estimators = self
            .prefill_estimators
            .lock()
            .expect("no holder of the prefill estimators lock panics");
        prefill_estimators.get(service).copied().unwrap_or_default()
    }

    /// Locks the speeds of the targets of all services.
    pub(crate) fn lock_speeds(&self) -> MutexGuard<'_, BTreeMap<ServiceName, TargetSpeeds>> {
        self.speeds.lock().expect("no holder of the target speeds lock panics")
    }

    /// Locks the demand for prompt parts at all services.
    pub(crate) fn lock_demands(&self) -> MutexGuard<'_, BTreeMap<ServiceName, PartDemand>> {
        self.part_demands.lock().expect("no holder of the part demands lock panics")
    }

    /// Counts the prompt parts of a call to `service`.
    pub(crate) fn observe_prompt(&self, service: &ServiceName, call: &Call, now: Duration) {
        let Some(prompt) = &call.prompt else {
            return;
        };
        let program = call.program.as_ref().map(|it| &it.program);
        let mut demands = self.lock_demands();
        demands.entry(service.clone()).or_default().observe(program, &prompt.parts, now);
    }

    /// Counts a request as in flight at a target until the returned guard is dropped.
    pub(crate) fn start_request(
        &self,
        choice: &Choice,
        prompt: &[(PromptPart, u64)],
        now: Duration,
    ) -> InFlightRequest {
        let target = &choice.target;
        let mut loads = self.lock();
        let stats = loads.entry(target.name.clone()).or_default();
        stats.health.outstanding += 1;
        stats.health.breaker.record_start();
        stats.record_prompt(prompt, now);
        drop(loads);
        InFlightRequest {
            loads: self.clone(),
            target: target.name.clone(),
            service: target.service.clone(),
            uncached_tokens: choice.estimate.uncached_tokens,
            // With all slots taken, the time to the first event includes time in the queue.
            measures_prefill: choice.estimate.running < target.slots,
            started: Instant::now(),
            first_output: None,
            events: 0,
            last_event: None,
            is_recorded: false,
        }
    }

    /// Discards the observations of a target that is gone or has restarted.
    ///
    /// The count of requests in flight stays, because their guards still decrement it.
    pub(crate) fn forget(&self, target: &TargetName) {
        if let Some(stats) = self.lock().get_mut(target) {
            let outstanding = stats.health.outstanding;
            *stats = TargetStats::default();
            stats.health.outstanding = outstanding;
        }
        self.lock_speeds().values_mut().for_each(|it| it.forget(target));
    }

    /// Returns this host's requests in flight per target, for its reports to other hosts.
    pub(crate) fn summary(&self) -> Vec<TargetLoad> {
        let loads = self.lock();
        let busy = loads.iter().filter(|(_, it)| it.health.outstanding != 0);
        busy.map(|(target, it)| TargetLoad {
            target: target.clone(),
            running: it.health.outstanding.min(u32::from(u16::MAX)) as u16,
            waiting: 0,
        })
        .collect()
    }
}

/// What all other hosts together report of the targets.
#[derive(Default)]
pub(crate) struct RemoteReports {
    /// Requests that they have in flight, by target.
    pub(crate) running: BTreeMap<TargetName, u32>,
    /// The lowest limit that any of them reports, by target; of the target's newest run.
    pub(crate) limits: ReportedLimits,
    /// The live hosts, this one included, in the order of their names.
    pub(crate) hosts: Vec<NodeName>,
    /// A hash of `hosts`.
    pub(crate) digest: u64,
}

impl RemoteReports {
    fn read(view: &ClusterView, own: &NodeName) -> RemoteReports {
        let mut reports = RemoteReports::default();
        for node in view.live().filter(|it| it.node != *own) {
            for load in &node.summary.targets {
                let running = reports.running.entry(load.target.clone()).or_default();
                *running = running.saturating_add(u32::from(load.running));
            }
            for limit in &node.summary.limits {
                let known = reports.limits.entry(limit.target.clone()).or_insert(limit.clone());
                let rank = |it: &TargetLimit| (Reverse(it.start), it.milli_per_s);
                if rank(limit) < rank(known) {
                    *known = limit.clone();
                }
            }
        }
        reports.hosts = view.live().map(|it| it.node.clone()).collect();
        let mut hasher = DefaultHasher::new();
        reports.hosts.hash(&mut hasher);
        reports.digest = hasher.finish();
        reports
    }
}

/// Caches the reports of the other hosts.
///
/// Every choice of a target needs the totals of all candidates, and computing them reads the
/// reports of all hosts, so the totals are cached and shared by many choices.
#[derive(Default)]
pub(crate) struct RemoteLoads {
    computed: Option<Duration>,
    reports: Arc<RemoteReports>,
}

impl RemoteLoads {
    /// Returns the reports, read again from `view` if they are older than [`TOTALS_TTL`].
    pub(crate) fn reports(
        &mut self,
        view: &ClusterView,
        own: &NodeName,
        now: Duration,
    ) -> Arc<RemoteReports> {
        if self.computed.is_none_or(|it| it + TOTALS_TTL <= now) {
            self.reports = Arc::new(RemoteReports::read(view, own));
            self.computed = Some(now);
        }
        self.reports.clone()
    }
}

/// Guard for one request in flight at a target, which also records its outcome once.
pub(crate) struct InFlightRequest {
    loads: LoadTracker,
    target: TargetName,
    service: ServiceName,
    /// Prompt tokens that the target is assumed not to cache.
    uncached_tokens: u64,
    /// Whether the time to the first event is a sample of the prefill time.
    measures_prefill: bool,
    started: Instant,
    /// When the first part of the target's output arrived.
    first_output: Option<Instant>,
    /// The stream events that have arrived, and when the last one did.
    events: u32,
    last_event: Option<Instant>,
    /// Whether the outcome has been recorded.
    is_recorded: bool,
}

impl InFlightRequest {
    /// Returns for how long the target has been sending output; zero before the first part.
    pub(crate) fn output_time(&self) -> Duration {
        self.first_output.map_or(Duration::ZERO, |it| it.elapsed())
    }

    /// Records that the target sends output.
    pub(crate) fn record_output(&mut self) {
        self.first_output.get_or_insert_with(Instant::now);
    }

    /// Records the arrival of a stream event. The first one counts as a prefill time sample.
    pub(crate) fn record_event(&mut self) {
        self.record_output();
        self.events += 1;
        self.last_event = Some(Instant::now());
        if !std::mem::replace(&mut self.measures_prefill, false) {
            return;
        }
        let first = self.started.elapsed();
        let mut prefill_estimators = self
            .loads
            .prefill_estimators
            .lock()
            .expect("no holder of the prefill estimators lock panics");
        prefill_estimators
            .entry(self.service.clone())
            .or_default()
            .observe(self.uncached_tokens, first);
    }

    /// Returns the mean pause between the events of the stream, if there are enough of them.
    fn mean_pause(&self) -> Option<Duration> {
        let time = self.last_event?.saturating_duration_since(self.first_output?);
        let pauses = self.events.checked_sub(1).filter(|it| MIN_PAUSES <= *it)?;
        Some(time / pauses)
    }

    /// Records that the target has completed the request, at `now`.
    pub(crate) fn record_success(&mut self, now: Duration) {
        if let Some(pause) = self.mean_pause().filter(|_| !self.is_recorded) {
            let mut speeds = self.loads.lock_speeds();
            speeds.entry(self.service.clone()).or_default().observe(&self.target, pause, now);
        }
        let time = self.started.elapsed();
        self.record_outcome(|it| it.record_success(time));
    }

    /// Records that the target failed the request at `now`.
    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.record_outcome(|it| it.record_failure(now));
    }

    /// Applies `update` to the target's health, unless an outcome has been recorded already.
    fn record_outcome(&mut self, update: impl FnOnce(&mut TargetHealth)) {
        if !std::mem::replace(&mut self.is_recorded, true)
            && let Some(stats) = self.loads.lock().get_mut(&self.target)
        {
            update(&mut stats.health);
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.record_outcome(|it| it.breaker.record_inconclusive());
        if let Some(stats) = self.loads.lock().get_mut(&self.target) {
            stats.health.outstanding = stats.health.outstanding.saturating_sub(1);
        }
    }
}
