//! What this host has under way at each target, and what it has learned about them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use rosethread_membership::{ClusterView, TargetLoad};
use rosethread_policy::{PrefillEstimator, TargetHealth};
use rosethread_types::{NodeName, PromptPart, ServiceName, TargetName};
use tokio::time::Instant;

use crate::choose::Chosen;

/// How long a prompt's part is taken to stay in an engine's cache after its last use.
const PART_AGE: Duration = Duration::from_secs(20);

/// How old the sums of other hosts' loads may be; their reports are older than that.
const COUNT_PERIOD: Duration = Duration::from_millis(50);

/// The most parts remembered for a target; the oldest give way.
const MAX_PARTS: usize = 256;

/// What is known of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Known {
    pub(crate) health: TargetHealth,
    /// Parts of prompts that the target has read lately, and when.
    parts: BTreeMap<PromptPart, Duration>,
}

impl Known {
    /// Returns the tokens at the beginning of a prompt that the target is believed to cache.
    pub(crate) fn cached(&self, prompt: &[(PromptPart, u64)], now: Duration) -> u64 {
        let is_kept = |it: &&(PromptPart, u64)| {
            self.parts.get(&it.0).is_some_and(|seen| now < *seen + PART_AGE)
        };
        prompt.iter().take_while(is_kept).map(|it| it.1).sum()
    }

    fn remember(&mut self, prompt: &[(PromptPart, u64)], now: Duration) {
        for (part, _) in prompt {
            self.parts.insert(part.clone(), now);
        }
        if MAX_PARTS < self.parts.len() {
            self.parts.retain(|_, seen| now < *seen + PART_AGE / 2);
        }
    }
}

/// The targets as this host uses them; clones share the state.
#[derive(Clone, Default)]
pub(crate) struct LoadTracker {
    targets: Arc<Mutex<BTreeMap<TargetName, Known>>>,
    /// How fast the engines of each service read prompts.
    reading: Arc<Mutex<BTreeMap<ServiceName, PrefillEstimator>>>,
}

impl LoadTracker {
    pub(crate) fn lock(&self) -> MutexGuard<'_, BTreeMap<TargetName, Known>> {
        self.targets.lock().expect("no holder of the loads panics")
    }

    /// Returns how fast the engines of `service` read prompts.
    pub(crate) fn reading(&self, service: &ServiceName) -> PrefillEstimator {
        let reading = self.reading.lock().expect("no holder of the reading times panics");
        reading.get(service).copied().unwrap_or_default()
    }

    /// Counts a request as under way at a target until the guard is dropped.
    pub(crate) fn start(
        &self,
        chosen: &Chosen,
        prompt: &[(PromptPart, u64)],
        now: Duration,
    ) -> Underway {
        let target = &chosen.target;
        let mut loads = self.lock();
        let known = loads.entry(target.name.clone()).or_default();
        known.health.outstanding += 1;
        known.health.breaker.record_start();
        known.remember(prompt, now);
        drop(loads);
        Underway {
            loads: self.clone(),
            target: target.name.clone(),
            service: target.service.clone(),
            to_read: chosen.basis.uncached,
            // Behind a full batch the first event tells of the queue, not of the reading.
            is_telling: chosen.basis.running < target.slots,
            started: Instant::now(),
            is_judged: false,
        }
    }

    /// Forgets a target that is gone, or that has started anew.
    pub(crate) fn forget(&self, target: &TargetName) {
        if let Some(known) = self.lock().get_mut(target) {
            let outstanding = known.health.outstanding;
            *known = Known::default();
            known.health.outstanding = outstanding;
        }
    }

    /// Returns what this host has under way, for the others.
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

/// What all other hosts have under way at each target.
///
/// Each choice of a target needs it for all candidates, and it is spread over the reports of all
/// hosts, so it is added up once for many choices.
#[derive(Default)]
pub(crate) struct RemoteLoads {
    counted: Option<Duration>,
    running: Arc<BTreeMap<TargetName, u32>>,
}

impl RemoteLoads {
    /// Returns the sums, added up anew from `view` if they are older than [`COUNT_PERIOD`].
    pub(crate) fn totals(
        &mut self,
        view: &ClusterView,
        own: &NodeName,
        now: Duration,
    ) -> Arc<BTreeMap<TargetName, u32>> {
        if self.counted.is_none_or(|it| it + COUNT_PERIOD <= now) {
            let mut running = BTreeMap::new();
            for node in view.live().filter(|it| it.node != *own) {
                for load in &node.summary.targets {
                    *running.entry(load.target.clone()).or_default() += u32::from(load.running);
                }
            }
            self.running = Arc::new(running);
            self.counted = Some(now);
        }
        self.running.clone()
    }
}

/// One request under way at a target.
pub(crate) struct Underway {
    loads: LoadTracker,
    target: TargetName,
    service: ServiceName,
    /// Prompt tokens that the target is believed to read first.
    to_read: u64,
    /// Whether reading them decides when the stream begins.
    is_telling: bool,
    started: Instant,
    is_judged: bool,
}

impl Underway {
    /// Takes note of the first event of a stream.
    pub(crate) fn begin(&mut self) {
        if !std::mem::replace(&mut self.is_telling, false) {
            return;
        }
        let first = self.started.elapsed();
        let mut reading = self.loads.reading.lock().expect("no holder of the reading times panics");
        reading.entry(self.service.clone()).or_default().observe(self.to_read, first);
    }

    /// Takes note that the target has served the request.
    pub(crate) fn succeed(&mut self) {
        let time = self.started.elapsed();
        self.judge(|it| it.record_success(time));
    }

    /// Takes note that the target has failed the request at `now`.
    pub(crate) fn fail(&mut self, now: Duration) {
        self.judge(|it| it.record_failure(now));
    }

    fn judge(&mut self, judge: impl FnOnce(&mut TargetHealth)) {
        if !std::mem::replace(&mut self.is_judged, true)
            && let Some(known) = self.loads.lock().get_mut(&self.target)
        {
            judge(&mut known.health);
        }
    }
}

impl Drop for Underway {
    fn drop(&mut self) {
        self.judge(|it| it.breaker.record_inconclusive());
        if let Some(known) = self.loads.lock().get_mut(&self.target) {
            known.health.outstanding = known.health.outstanding.saturating_sub(1);
        }
    }
}
