//! Chooses the target of a request: candidates from the registry, costs from `rosethread_policy`.

use std::collections::BTreeMap;

use rosethread_config::PolicyName;
use rosethread_membership::ClusterView;
use rosethread_policy::{Candidate, Holders, PlacementRequest, Strategy, Weights, choose_target};
use rosethread_types::{ServiceName, TargetName};

use crate::{
    call::{Call, PromptSize},
    entry::Entry,
    limits::Room,
    load::{RemoteReports, TargetStats},
    origins::AllowedSoftware,
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
    /// How much longer a call takes than at a target of the mean speed, as a fraction.
    pub(crate) slowness: f64,
}

/// Chooses a ready target of `service` that runs allowed software and is not in `excluded`.
///
/// `home` is the target that most likely caches the session's prompt.
pub(crate) fn select_target(
    entry: &Entry,
    call: &Call,
    service: &ServiceName,
    home: Option<&TargetName>,
    allowed: &AllowedSoftware,
    excluded: &[TargetName],
) -> Option<Choice> {
    let routes = entry.routes();
    let targets = entry.targets();
    let view = entry.view();
    let max_connections = connection_limit(routes.services.get(service), &view);
    let usable = |it: &&Target| {
        it.service == *service
            && it.status == TargetStatus::Ready
            && allowed.allows(&it.software)
            && !excluded.contains(&it.name)
    };
    let mut usable: Vec<&Target> = targets.values().filter(usable).collect();
    if usable.is_empty() {
        return None;
    }
    // Among equal costs the first candidate wins, which must differ between hosts.
    let offset = entry.random.next_u64() as usize % usable.len();
    usable.rotate_left(offset);
    let remote = entry.remote_reports();
    let per_token_s = entry.loads.prefill_estimator(service).per_token_s();
    let slowness = slowness(entry, service, &usable);
    let loads = entry.loads.lock();
    let default_stats = TargetStats::default();
    let mut candidates: Vec<Candidate> = usable
        .iter()
        .zip(slowness)
        .map(|(it, slowness)| {
            let stats = loads.get(&it.name).unwrap_or(&default_stats);
            let remote_running = remote.running.get(&it.name).copied().unwrap_or(0);
            let prompt = call.prompt.as_ref();
            let candidate =
                candidate(entry, it, stats, remote_running, prompt, home, max_connections);
            let room = find_room(entry, it, &remote);
            Candidate {
                prefill_rate: 1.0 / per_token_s,
                slowness,
                is_unavailable: candidate.is_unavailable || room == Room::None,
                has_share: room == Room::OwnShare,
                ..candidate
            }
        })
        .collect();
    drop(loads);
    if let Some(holders) = PartHolders::find(entry, call, service, &targets) {
        holders.restrict(&usable, home, &mut candidates);
    }
    let request = PlacementRequest {
        prompt_tokens: call.prompt.as_ref().map_or(0, PromptSize::input_tokens),
        home: home.and_then(|home| usable.iter().position(|it| it.name == *home)),
        // Drawn independently of the rotation; sharing one draw would favour some targets.
        random: entry.random.next_u64() as usize,
    };
    let weights = Weights { latency: 1.0, waste: 0.0 };
    let strategy = strategy(entry.reloadable().policy);
    let placement = loop {
        let placement = choose_target(strategy, &candidates, request, weights)?;
        if take_room(entry, usable[placement.index], &remote) {
            break placement;
        }
        // Another call has taken the rest of this host's share since.
        candidates[placement.index].is_unavailable = true;
    };
    let Candidate { running, cached, slowness, .. } = candidates[placement.index];
    let uncached_tokens = request.prompt_tokens.saturating_sub(cached);
    let estimate = Estimate { running, uncached_tokens, per_token_s, slowness };
    Some(Choice { target: usable[placement.index].clone(), max_connections, estimate })
}

/// Returns the slowness of each of `targets`; zero for all if the settings don't ask for it.
fn slowness(entry: &Entry, service: &ServiceName, targets: &[&Target]) -> Vec<f64> {
    let now = entry.now();
    let speeds = entry.loads.lock_speeds();
    let speeds = speeds.get(service).filter(|_| entry.reloadable().target_speeds);
    let slowness = |it: &&Target| speeds.map_or(0.0, |speeds| speeds.slowness(&it.name, now));
    targets.iter().map(slowness).collect()
}

/// Returns whether a target's limit, if it has one, leaves this host a request to send.
fn find_room(entry: &Entry, target: &Target, remote: &RemoteReports) -> Room {
    entry.limits.find_room(target, &remote.limits, entry.sharers(remote), entry.now())
}

/// Counts a request against the target's limit, if it has one; returns whether it may be sent.
fn take_room(entry: &Entry, target: &Target, remote: &RemoteReports) -> bool {
    entry.limits.take_room(target, &remote.limits, entry.sharers(remote), entry.now())
}

/// The targets that hold the shared parts of a call's prompt.
struct PartHolders<'a> {
    /// The index of each ready target in `holders`.
    indices: BTreeMap<&'a TargetName, usize>,
    holders: Holders,
}

impl PartHolders<'_> {
    /// Finds the holders among the ready targets of `service`; `None` if the prompt shares no part
    /// with other programs.
    ///
    /// Targets that the call excludes keep their ranks, so that a failed send does not change the
    /// holders.
    fn find<'a>(
        entry: &Entry,
        call: &Call,
        service: &ServiceName,
        targets: &'a BTreeMap<TargetName, Target>,
    ) -> Option<PartHolders<'a>> {
        let headroom = entry.reloadable().part_copies;
        let prompt = call.prompt.as_ref().filter(|_| 0.0 < headroom)?;
        let is_ready = |it: &&Target| it.service == *service && it.status == TargetStatus::Ready;
        let names: Vec<&TargetName> =
            targets.values().filter(is_ready).map(|it| &it.name).collect();
        let demands = entry.loads.lock_demands();
        let demand = demands.get(service)?;
        let holders = Holders::find(demand, &prompt.parts, &names, headroom, entry.now())?;
        let indices = names.into_iter().enumerate().map(|(index, name)| (name, index)).collect();
        Some(PartHolders { indices, holders })
    }

    /// Leaves as candidates the holders with room, or the next targets in the ranking, those that
    /// cache more of the prompt than its shared parts, and those in whose rate this host has a share.
    fn restrict(
        &self,
        usable: &[&Target],
        home: Option<&TargetName>,
        candidates: &mut [Candidate],
    ) {
        let mut by_index: BTreeMap<usize, Candidate> = BTreeMap::new();
        for (target, candidate) in usable.iter().zip(candidates.iter()) {
            by_index.insert(self.indices[&target.name], *candidate);
        }
        let is_busy = |index: usize| {
            by_index.get(&index).is_none_or(|it| it.is_unavailable || it.slots <= it.running)
        };
        let allowed = self.holders.usable(is_busy);
        let shared = self.holders.shared_tokens();
        for (target, candidate) in usable.iter().zip(candidates) {
            let index = self.indices[&target.name];
            if allowed.contains(&index) {
                candidate.cached = candidate.cached.max(self.holders.tokens(index));
            } else if home != Some(&target.name)
                && candidate.cached <= shared
                && !candidate.has_share
            {
                candidate.is_unavailable = true;
            }
        }
    }
}

/// Load of the ready targets of one service.
pub(crate) struct ServiceLoad {
    /// Requests that all hosts are known to have in flight.
    pub(crate) running: u32,
    /// Requests that the targets can work on at once.
    pub(crate) slots: u32,
    /// The mean time of a request at those targets that this host has used, in seconds.
    pub(crate) service_s: f64,
}

/// Returns the load of a service.
pub(crate) fn service_load(entry: &Entry, service: &ServiceName) -> ServiceLoad {
    let targets = entry.targets();
    let usable = |it: &&Target| it.service == *service && it.status == TargetStatus::Ready;
    let remote = entry.remote_reports();
    let loads = entry.loads.lock();
    let (mut running, mut slots) = (0_u32, 0_u32);
    let (mut sum_s, mut used) = (0.0, 0_u32);
    for target in targets.values().filter(usable) {
        let local_running = loads.get(&target.name).map_or(0, |it| it.health.outstanding);
        let remote_running = remote.running.get(&target.name).copied().unwrap_or(0);
        running = running.saturating_add(local_running).saturating_add(remote_running);
        let rate = entry.limits.rate(target, &remote.limits, entry.sharers(&remote), entry.now());
        let service_s = loads.get(&target.name).map_or(0.0, |it| it.health.service_s);
        if let Some(stats) = loads.get(&target.name) {
            sum_s += stats.health.service_s;
            used += 1;
        }
        let usable = rate.map_or(target.slots, |it| usable_slots(target.slots, it, service_s));
        // A registration may name any number of slots.
        slots = slots.saturating_add(usable);
    }
    ServiceLoad { running, slots, service_s: sum_s / f64::from(used.max(1)) }
}

/// Returns how many of a target's slots are in use on average if it gets `per_s` requests per second
/// that take `service_s` each.
fn usable_slots(slots: u32, per_s: f64, service_s: f64) -> u32 {
    // A float that is too large for the integer saturates.
    ((per_s * service_s).ceil() as u32).clamp(1, slots.max(1))
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
        running: local_running.saturating_add(remote_running),
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
