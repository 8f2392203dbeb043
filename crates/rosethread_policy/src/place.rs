//! Which target serves a call.
//!
//! Answers the pattern *moves that cause moves*: a full engine sends a program away, its prompt is
//! read elsewhere and evicts another's, which is sent away in turn. The cost of a candidate is the
//! delay that the choice causes to the call and to all others there, plus wasted cache, in one
//! currency. While an engine reads a prompt, every call in its batch stands still; so a program
//! leaves its cache only where that saves more time than it costs everyone. Waiting is estimated
//! from the owner's own count of calls, never from a target's lagging report alone. New programs go
//! to the lighter of two targets.

use crate::Strategy;

/// A target that may serve the call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Calls that the target works on at once.
    pub slots: u32,
    /// Calls sent to the target and not finished.
    pub running: u32,
    /// Calls queued for the target.
    pub waiting: u32,
    /// Prompt tokens that the target is believed to cache for the program.
    pub cached: u64,
    /// The share of the target's cache memory that is pinned or in use, from 0 to 1.
    pub pressure: f64,
    /// Prompt tokens computed in a second.
    pub prefill_rate: f64,
    /// The mean time that a call occupies a slot, in seconds.
    pub service_s: f64,
    /// Time for a request to reach the target, in seconds.
    pub network_s: f64,
    /// By how much a full batch slows each of its sequences down, as a share of `service_s`.
    pub batch_slowdown: f64,
    /// Whether the target fails at present.
    pub is_unavailable: bool,
}

/// The call to place.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementRequest {
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// The position of the program's last target among the candidates.
    pub home: Option<usize>,
    /// A random number, for drawing targets and for taking turns.
    pub random: usize,
}

/// The weights of the two costs, set per class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// The weight of a second of latency.
    pub latency: f64,
    /// The weight of a thousand wasted tokens.
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
    /// Its position among the candidates.
    pub index: usize,
    /// Its cost; zero for baselines.
    pub cost: f64,
}

/// Chooses a target, or nothing if every candidate is broken.
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
            lighter_of_two(&usable, request.random)
        }
        Strategy::Adaptive => {
            let best_cached = candidates.iter().map(|it| it.cached).max().unwrap_or(0);
            let cost = |it: &Candidate| cost(it, request, weights, best_cached);
            usable
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

/// Draws two targets and chooses the one with less work for its slots.
///
/// A new program has no cache to follow, and the loads that nodes know are some hundred
/// milliseconds old: the best target by them would attract all programs of that time.
fn lighter_of_two(usable: &[(usize, &Candidate)], random: usize) -> Option<Placement> {
    let count = usable.len();
    if count == 0 {
        return None;
    }
    let first = random % count;
    // Another one, unless there is none: the same target twice is no choice.
    let second = (first + 1 + random / count % count.saturating_sub(1).max(1)) % count;
    let draw = [usable[first], usable[second]];
    let work = |it: &Candidate| {
        f64::from(it.running + it.waiting) / f64::from(it.slots.max(1)) + it.network_s
    };
    let (index, _) = draw.into_iter().min_by(|a, b| work(a.1).total_cmp(&work(b.1)))?;
    Some(Placement { index, cost: 0.0 })
}

fn least_loaded<'a>(usable: impl Iterator<Item = (usize, &'a Candidate)>) -> Option<Placement> {
    let (index, _) = usable.min_by_key(|(_, it)| it.running + it.waiting)?;
    Some(Placement { index, cost: 0.0 })
}

/// Returns the cost of sending the call to `candidate`.
///
/// `best_cached` is the most that any candidate caches for the program.
fn cost(
    candidate: &Candidate,
    request: PlacementRequest,
    weights: Weights,
    best_cached: u64,
) -> f64 {
    let uncached = request.prompt_tokens.saturating_sub(candidate.cached) as f64;
    let prefill_s = uncached / candidate.prefill_rate.max(1.0);
    let latency_s = wait_s(candidate) + prefill_s + candidate.network_s;
    // All calls of the batch stand still while the prompt is read.
    let others_s = prefill_s * f64::from(candidate.running.min(candidate.slots));
    let waste = waste(candidate, request, best_cached);
    weights.latency * (latency_s + others_s) + weights.waste * waste / 1_000.0
}

/// Returns the time until a slot is free, in seconds.
///
/// A batch that still has room slows its sequences down a little, which breaks ties between idle
/// targets.
fn wait_s(candidate: &Candidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let ahead = f64::from(candidate.running + candidate.waiting);
    let queued = (ahead + 1.0 - slots).max(0.0);
    let crowding = candidate.batch_slowdown * (ahead / slots).min(1.0);
    candidate.service_s * (queued / slots + crowding)
}

/// Returns the tokens that the choice throws away: what other targets hold for the program and
/// what the new prompt evicts where memory is short.
fn waste(candidate: &Candidate, request: PlacementRequest, best_cached: u64) -> f64 {
    let abandoned = best_cached.saturating_sub(candidate.cached) as f64;
    let evicted =
        request.prompt_tokens.saturating_sub(candidate.cached) as f64 * candidate.pressure;
    abandoned + evicted
}
