//! Which target serves a call.
//!
//! The cost model prevents cascades of moves: a full engine loses a program to another engine, the
//! prefill of its prompt evicts another program's cache there, and that program moves in turn. The
//! cost of a candidate is the delay that the choice causes to the call and to all other calls at
//! the target, plus wasted cache, as one number. Prefill stalls every call in the engine's batch,
//! so a program leaves its cache only where that saves more time than it costs all calls together.
//! The wait is estimated from the owner's own count of calls, never only from a target's delayed
//! report. New programs go to the less loaded of two randomly drawn targets.

use std::collections::BTreeMap;

use crate::Strategy;

/// A target that may serve the call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// The number of calls that the target processes concurrently.
    pub slots: u32,
    /// The number of calls that were sent to the target and have not finished.
    pub running: u32,
    /// The number of calls queued for the target.
    pub waiting: u32,
    /// The prompt tokens of the program that the target is expected to have cached.
    pub cached: u64,
    /// The fraction of the target's cache memory that is pinned or in use, from 0 to 1.
    pub pressure: f64,
    /// The prefill rate, in prompt tokens per second.
    pub prefill_rate: f64,
    /// The mean time that a call occupies a slot, in seconds.
    pub service_s: f64,
    /// The network delay of a request to the target, in seconds.
    pub network_s: f64,
    /// The slowdown of each sequence in a full batch, as a fraction of `service_s`.
    pub batch_slowdown: f64,
    /// How much longer a call takes than at a target of the service's mean speed, as a fraction of that
    /// time; see [`TargetSpeeds`](crate::TargetSpeeds).
    pub slowness: f64,
    /// Whether the target must not be chosen, because it fails or has no free connection.
    pub is_unavailable: bool,
    /// Whether this host has a share of its own in the rate that the target takes. Then other hosts
    /// can't choose it at the same time, and the share is lost unless it is used.
    pub has_share: bool,
}

impl Candidate {
    /// Returns the calls that the target works on or that wait for it.
    fn work(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// The call to place.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementRequest {
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The index among the candidates of the target that served the program last, if it is one.
    pub home: Option<usize>,
    /// A uniformly random number, which picks targets where the strategy draws them.
    pub random: usize,
}

/// The weights of the two parts of the cost, set per class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// The cost of one second of delay.
    pub latency: f64,
    /// The cost of a thousand wasted tokens.
    pub waste: f64,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights { latency: 1.0, waste: 10.0 }
    }
}

/// The chosen target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// The target's index among the candidates.
    pub index: usize,
    /// The expected cost of the choice; zero for new programs and for baselines.
    pub cost: f64,
}

/// Chooses a target for a call; returns `None` if every candidate is unavailable.
pub fn choose_target(
    strategy: Strategy,
    candidates: &[Candidate],
    request: PlacementRequest,
    weights: Weights,
) -> Option<Placement> {
    let usable = candidates.iter().enumerate().filter(|(_, it)| !it.is_unavailable);
    match strategy {
        Strategy::Adaptive if candidates.iter().all(|it| it.cached == 0) => {
            let usable: Vec<(usize, &Candidate)> = usable.collect();
            less_loaded_of_drawn(&usable, request.random)
        }
        Strategy::Adaptive => {
            let max_cached = candidates.iter().map(|it| it.cached).max().unwrap_or(0);
            let cost = |it: &Candidate| cost(it, request, weights, max_cached);
            let own_shares = usable.clone().filter(|(_, it)| it.has_share);
            draw_by_cache(usable, request.random)
                .chain(own_shares)
                .map(|(index, it)| Placement { index, cost: cost(it) })
                .min_by(|a, b| a.cost.total_cmp(&b.cost))
        }
        Strategy::RoundRobin => {
            let usable: Vec<usize> = usable.map(|(index, _)| index).collect();
            let index = *usable.get(request.random % usable.len().max(1))?;
            Some(Placement { index, cost: 0.0 })
        }
        Strategy::LeastLoaded => least_loaded(usable),
        Strategy::Sticky => {
            let home =
                request.home.filter(|it| candidates.get(*it).is_some_and(|c| !c.is_unavailable));
            match home {
                Some(index) => Some(Placement { index, cost: 0.0 }),
                None => least_loaded(usable),
            }
        }
    }
}

/// Draws two of the targets that cache the same number of tokens, for each such number.
///
/// Targets with the same cache differ only in load, and nodes know loads with a delay: the least
/// loaded of all would attract the calls of all nodes until the next update.
fn draw_by_cache<'a, I>(usable: I, random: usize) -> impl Iterator<Item = (usize, &'a Candidate)>
where
    I: Iterator<Item = (usize, &'a Candidate)>,
{
    let mut by_cache: BTreeMap<u64, Vec<(usize, &Candidate)>> = BTreeMap::new();
    for (index, it) in usable {
        by_cache.entry(it.cached).or_default().push((index, it));
    }
    by_cache.into_values().flat_map(move |equals| draw_two(&equals, random))
}

/// Draws two elements; twice the same one if there is only one.
fn draw_two<T: Copy>(elements: &[T], random: usize) -> [T; 2] {
    let count = elements.len();
    let first = random % count;
    // The second differs from the first unless there is only one element.
    let second = (first + 1 + random / count % count.saturating_sub(1).max(1)) % count;
    [elements[first], elements[second]]
}

/// Draws two targets and chooses the less loaded one ("power of two choices"), or a target in whose
/// rate this host has a share if that is less loaded.
///
/// The load is the number of calls per slot; the network delay separates targets of equal load.
///
/// A new program has no cached prompt anywhere, and the loads that nodes know are some hundred
/// milliseconds old: the least loaded target would attract all new programs until the next update.
fn less_loaded_of_drawn(usable: &[(usize, &Candidate)], random: usize) -> Option<Placement> {
    if usable.is_empty() {
        return None;
    }
    let pair = draw_two(usable, random);
    let work = |it: &Candidate| {
        let load = f64::from(it.work()) / f64::from(it.slots.max(1));
        load * (1.0 + it.slowness) + it.slowness + it.network_s
    };
    let own_shares = usable.iter().filter(|(_, it)| it.has_share).copied();
    let (index, _) =
        pair.into_iter().chain(own_shares).min_by(|a, b| work(a.1).total_cmp(&work(b.1)))?;
    Some(Placement { index, cost: 0.0 })
}

fn least_loaded<'a>(usable: impl Iterator<Item = (usize, &'a Candidate)>) -> Option<Placement> {
    let (index, _) = usable.min_by_key(|(_, it)| it.work())?;
    Some(Placement { index, cost: 0.0 })
}

/// Returns the cost of sending the call to `candidate`.
///
/// `max_cached` is the largest number of tokens that any candidate caches for the program.
fn cost(
    candidate: &Candidate,
    request: PlacementRequest,
    weights: Weights,
    max_cached: u64,
) -> f64 {
    let uncached = request.prompt_tokens.saturating_sub(candidate.cached) as f64;
    let prefill_s = uncached / candidate.prefill_rate.max(1.0) * (1.0 + candidate.slowness);
    let output_s = candidate.service_s * candidate.slowness;
    let latency_s = queue_wait_s(candidate) + prefill_s + output_s + candidate.network_s;
    // Prefill stalls all other calls in the engine's batch.
    let stall_s = prefill_s * f64::from(candidate.running.min(candidate.slots));
    let wasted_tokens = wasted_tokens(candidate, request, max_cached);
    weights.latency * (latency_s + stall_s) + weights.waste * wasted_tokens / 1_000.0
}

/// Returns the expected time until a slot is free, in seconds.
///
/// Includes the slowdown by the calls already in the batch, which also breaks ties between targets
/// with free slots.
fn queue_wait_s(candidate: &Candidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let ahead = f64::from(candidate.work());
    let excess = (ahead + 1.0 - slots).max(0.0);
    let slowdown = candidate.batch_slowdown * (ahead / slots).min(1.0);
    candidate.service_s * (excess / slots + slowdown)
}

/// Returns the cached tokens that the choice wastes: those of the program at other targets, and
/// those that the new prompt is expected to evict at this one.
fn wasted_tokens(candidate: &Candidate, request: PlacementRequest, max_cached: u64) -> f64 {
    let abandoned = max_cached.saturating_sub(candidate.cached) as f64;
    let evicted =
        request.prompt_tokens.saturating_sub(candidate.cached) as f64 * candidate.pressure;
    abandoned + evicted
}
