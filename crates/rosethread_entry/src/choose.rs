//! Chooses the target of a request: candidates from the registry, costs from `rosethread_policy`.

use rosethread_config::PolicyName;
use rosethread_membership::ClusterView;
use rosethread_policy::{
    Candidate, PlacementRequest, Strategy, Weights, choose_target, should_shed,
};
use rosethread_types::{ServiceName, TargetName};

use crate::{
    call::{Call, PromptSize},
    entry::Entry,
    load::TargetStats,
    registry::{Target, TargetStatus},
    routes::Service,
};

/// Slowdown of each sequence in a full batch, as a fraction of a request's service time.
const BATCH_SLOWDOWN: f64 = 0.4;

/// Additional latency of a target in another availability zone, in seconds.
const CROSS_ZONE_LATENCY_S: f64 = 0.002;

/// Fraction of a target's connections that all hosts together use. The rest is headroom for when
/// hosts vanish while the target still counts their connections.
const CONNECTION_FRACTION: f64 = 0.5;

/// Lower bound on the connections that one host may open to a target, however many hosts there are.
const MIN_CONNECTIONS: usize = 2;

/// The target chosen for a request.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    pub(crate) target: Target,
    /// How many connections this host may have to it.
    pub(crate) max_connections: usize,
    /// The estimates behind the choice.
    pub(crate) estimate: Estimate,
}

/// Estimates for a chosen target, kept for logs and to train the prefill estimator.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Estimate {
    /// Requests that all hosts are known to have in flight at the target.
    pub(crate) running: u32,
    /// Prompt tokens that the target is assumed not to cache.
    pub(crate) uncached_tokens: u64,
    /// Prefill time of one prompt token, in seconds.
    pub(crate) per_token_s: f64,
}

/// Chooses a ready target of `service` that is not in `excluded`.
///
/// `home` is the target that most likely caches the session's prompt.
pub(crate) fn select_target(
    entry: &Entry,
    call: &Call,
    service: &ServiceName,
    home: Option<&TargetName>,
    excluded: &[TargetName],
) -> Option<Choice> {
    let routes = entry.routes();
    let targets = entry.targets();
    let view = entry.view();
    let max_connections = connection_limit(routes.services.get(service), &view);
    let usable = |it: &&Target| {
        it.service == *service && it.status == TargetStatus::Ready && !excluded.contains(&it.name)
    };
    let mut usable: Vec<&Target> = targets.values().filter(usable).collect();
    if usable.is_empty() {
        return None;
    }
    // Among equal costs the first candidate wins, which must differ between hosts.
    let offset = entry.random.next_u64() as usize % usable.len();
    usable.rotate_left(offset);
    let remote = entry.remote_requests();
    let per_token_s = entry.loads.prefill_estimator(service).per_token_s();
    let loads = entry.loads.lock();
    let default_stats = TargetStats::default();
    let candidates: Vec<Candidate> = usable
        .iter()
        .map(|it| {
            let stats = loads.get(&it.name).unwrap_or(&default_stats);
            let remote_running = remote.get(&it.name).copied().unwrap_or(0);
            let prompt = call.prompt.as_ref();
            let candidate =
                candidate(entry, it, stats, remote_running, prompt, home, max_connections);
            Candidate { prefill_rate: 1.0 / per_token_s, ..candidate }
        })
        .collect();
    drop(loads);
    let request = PlacementRequest {
        prompt_tokens: call.prompt.as_ref().map_or(0, PromptSize::input_tokens),
        home: home.and_then(|home| usable.iter().position(|it| it.name == *home)),
        // Drawn independently of the rotation; sharing one draw would favour some targets.
        random: entry.random.next_u64() as usize,
    };
    let weights = Weights { latency: 1.0, waste: 0.0 };
    let placement =
        choose_target(strategy(entry.reloadable().policy), &candidates, request, weights)?;
    let Candidate { running, cached, .. } = candidates[placement.index];
    let uncached_tokens = request.prompt_tokens.saturating_sub(cached);
    let estimate = Estimate { running, uncached_tokens, per_token_s };
    Some(Choice { target: usable[placement.index].clone(), max_connections, estimate })
}

/// Load of the ready targets of one service.
pub(crate) struct ServiceLoad {
    /// Requests that all hosts are known to have in flight.
    pub(crate) running: u32,
    /// Requests that the targets can work on at once.
    pub(crate) slots: u32,
}

/// Returns the load of a service if a new program should be refused because of it.
///
/// Load shedding is randomized: the fraction of new programs that are refused rises with the load.
pub(crate) fn overload(entry: &Entry, service: &ServiceName) -> Option<ServiceLoad> {
    let targets = entry.targets();
    let usable = |it: &&Target| it.service == *service && it.status == TargetStatus::Ready;
    let remote = entry.remote_requests();
    let loads = entry.loads.lock();
    let (mut running, mut slots) = (0, 0);
    for target in targets.values().filter(usable) {
        let local_running = loads.get(&target.name).map_or(0, |it| it.health.outstanding);
        running += local_running + remote.get(&target.name).copied().unwrap_or(0);
        slots += target.slots;
    }
    should_shed(running, slots, entry.random.next_f64()).then_some(ServiceLoad { running, slots })
}

/// Returns how many connections this host may open to each target of a service.
fn connection_limit(service: Option<&Service>, view: &ClusterView) -> usize {
    let total = service.map_or(f64::MAX, |it| f64::from(it.connections)) * CONNECTION_FRACTION;
    ((total / view.live().count().max(1) as f64) as usize).max(MIN_CONNECTIONS)
}

/// Describes a target as a candidate for placement, all but its prefill rate.
fn candidate(
    entry: &Entry,
    target: &Target,
    stats: &TargetStats,
    remote_running: u32,
    prompt: Option<&PromptSize>,
    home: Option<&TargetName>,
    max_connections: usize,
) -> Candidate {
    let now = entry.now();
    let local_running = stats.health.outstanding;
    let cached = match prompt {
        Some(prompt) if home == Some(&target.name) => prompt.input_tokens(),
        Some(prompt) => stats.cached_tokens(&prompt.parts, now),
        None => 0,
    };
    let is_same_zone = target.zone == entry.settings.zone;
    Candidate {
        slots: target.slots,
        running: local_running + remote_running,
        waiting: 0,
        cached,
        pressure: stats.health.pressure,
        service_s: stats.health.service_s,
        network_s: if is_same_zone { 0.0 } else { CROSS_ZONE_LATENCY_S },
        batch_slowdown: BATCH_SLOWDOWN,
        is_unavailable: stats.health.breaker.is_open(now)
            || max_connections <= local_running as usize,
        ..Candidate::default()
    }
}

fn strategy(policy: PolicyName) -> Strategy {
    match policy {
        PolicyName::Adaptive => Strategy::Adaptive,
        PolicyName::RoundRobin => Strategy::RoundRobin,
        PolicyName::LeastLoaded => Strategy::LeastLoaded,
        PolicyName::Sticky => Strategy::Sticky,
    }
}
