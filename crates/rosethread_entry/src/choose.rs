//! Which target gets a request: candidates from the registry, the cost from `rosethread_policy`.

use rosethread_config::PolicyName;
use rosethread_membership::ClusterView;
use rosethread_policy::{
    Candidate, PlacementRequest, Strategy, Weights, choose_target, should_shed,
};
use rosethread_types::{ServiceName, TargetName};

use crate::{
    call::{Call, PromptSize},
    entry::Entry,
    load::Known,
    registry::{Target, TargetStatus},
    routes::Service,
};

/// By how much a full batch slows its sequences down, as a share of a request's time.
const BATCH_CROWDING: f64 = 0.4;

/// The extra time to reach a target in another availability zone, in seconds.
const ZONE_DISTANCE_S: f64 = 0.002;

/// The part of a target's connections that all hosts together use, so that there is room left when
/// hosts vanish and their connections still count at the target.
const CONNECTION_SHARE: f64 = 0.5;

/// The fewest connections that a host may have to a target, however many hosts there are.
const MIN_CONNECTIONS: usize = 2;

/// A chosen target and what is known of its room.
#[derive(Clone, Debug)]
pub(crate) struct Chosen {
    pub(crate) target: Target,
    /// The connections that this host may have to it.
    pub(crate) connections: usize,
    /// What the choice went by.
    pub(crate) basis: Basis,
}

/// What a choice went by.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Basis {
    /// Requests that all hosts are known to have under way at the target.
    pub(crate) running: u32,
    /// Prompt tokens that it is believed to have to read.
    pub(crate) uncached: u64,
    /// The time that a prompt token takes, in seconds.
    pub(crate) per_token_s: f64,
}

/// Chooses a target of `service`, other than those in `tried`.
pub(crate) fn choose(
    entry: &Entry,
    call: &Call,
    service: &ServiceName,
    home: Option<&TargetName>,
    tried: &[TargetName],
) -> Option<Chosen> {
    let routes = entry.routes();
    let targets = entry.targets();
    let view = entry.view();
    let connections = connections(routes.services.get(service), &view);
    let usable = |it: &&Target| {
        it.service == *service && it.status == TargetStatus::Ready && !tried.contains(&it.name)
    };
    let mut usable: Vec<&Target> = targets.values().filter(usable).collect();
    if usable.is_empty() {
        return None;
    }
    // Equal costs go to the first, which must not be the same target at every host.
    let turn = entry.random.next_u64() as usize % usable.len();
    usable.rotate_left(turn);
    let elsewhere = entry.remote_requests();
    let per_token_s = entry.loads.reading(service).per_token_s();
    let loads = entry.loads.lock();
    let fresh = Known::default();
    let candidates: Vec<Candidate> = usable
        .iter()
        .map(|it| {
            let known = loads.get(&it.name).unwrap_or(&fresh);
            let others = elsewhere.get(&it.name).copied().unwrap_or(0);
            let prompt = call.prompt.as_ref();
            let candidate = candidate(entry, it, known, others, prompt, home, connections);
            Candidate { prefill_rate: 1.0 / per_token_s, ..candidate }
        })
        .collect();
    drop(loads);
    let request = PlacementRequest {
        prompt_tokens: call.prompt.as_ref().map_or(0, PromptSize::input_tokens),
        home: home.and_then(|home| usable.iter().position(|it| it.name == *home)),
        // Independent of the rotation, which would favour some targets otherwise.
        random: entry.random.next_u64() as usize,
    };
    let weights = Weights { latency: 1.0, waste: 0.0 };
    let placement =
        choose_target(strategy(entry.reloadable().policy), &candidates, request, weights)?;
    let Candidate { running, cached, .. } = candidates[placement.index];
    let uncached = request.prompt_tokens.saturating_sub(cached);
    let basis = Basis { running, uncached, per_token_s };
    Some(Chosen { target: usable[placement.index].clone(), connections, basis })
}

/// What all hosts have under way at a service.
pub(crate) struct Crowd {
    pub(crate) running: u32,
    pub(crate) slots: u32,
}

/// Returns what is under way at a service if a new program should come later for it.
pub(crate) fn crowd(entry: &Entry, service: &ServiceName) -> Option<Crowd> {
    let targets = entry.targets();
    let usable = |it: &&Target| it.service == *service && it.status == TargetStatus::Ready;
    let elsewhere = entry.remote_requests();
    let loads = entry.loads.lock();
    let (mut running, mut slots) = (0, 0);
    for target in targets.values().filter(usable) {
        let own = loads.get(&target.name).map_or(0, |it| it.health.outstanding);
        running += own + elsewhere.get(&target.name).copied().unwrap_or(0);
        slots += target.slots;
    }
    should_shed(running, slots, entry.random.next_f64()).then_some(Crowd { running, slots })
}

/// Returns this host's part of the connections that a target accepts.
fn connections(service: Option<&Service>, view: &ClusterView) -> usize {
    let all = service.map_or(f64::MAX, |it| f64::from(it.connections)) * CONNECTION_SHARE;
    ((all / view.live().count().max(1) as f64) as usize).max(MIN_CONNECTIONS)
}

fn candidate(
    entry: &Entry,
    target: &Target,
    known: &Known,
    elsewhere: u32,
    prompt: Option<&PromptSize>,
    home: Option<&TargetName>,
    connections: usize,
) -> Candidate {
    let now = entry.now();
    let own = known.health.outstanding;
    let cached = match prompt {
        Some(prompt) if home == Some(&target.name) => prompt.input_tokens(),
        Some(prompt) => known.cached(&prompt.parts, now),
        None => 0,
    };
    let is_near = target.zone == entry.settings.zone;
    Candidate {
        slots: target.slots,
        running: own + elsewhere,
        waiting: 0,
        cached,
        pressure: known.health.pressure,
        service_s: known.health.service_s,
        network_s: if is_near { 0.0 } else { ZONE_DISTANCE_S },
        batch_slowdown: BATCH_CROWDING,
        is_unavailable: known.health.breaker.is_open(now) || connections <= own as usize,
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
