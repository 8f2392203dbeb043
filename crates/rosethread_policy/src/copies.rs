//! Which targets cache the prompt parts that many programs share.
//!
//! The load that this answers: many programs begin with the same few parts, and many hosts serve
//! them. A host sees a small fraction of the programs, so it rarely knows which engines cache a
//! part. If each host picks engines at random, every engine ends up with a copy of every part. The
//! copies evict the prompts of running programs, which are then processed again.
//!
//! So hosts agree on the targets of a part without asking each other: rendezvous hashing ranks the
//! targets for each part, and the first few of the ranking hold it. Their number follows from the
//! fraction of calls that contain the part. Hosts estimate that fraction from their own calls;
//! where their estimates differ, the larger set contains the smaller one. Where all holders are
//! busy, the next ones in the ranking become holders too. See `docs/design/load.md`.

use std::{collections::BTreeMap, time::Duration};

use rosethread_types::{ProgramLabel, PromptPart, TargetName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time constant with which old calls lose weight, in seconds.
const DECAY_S: f64 = 20.0;

/// Weight of the prior, in calls: before the first calls, all parts are equally frequent.
const PRIOR_CALLS: f64 = 8.0;

/// The number of parts that a host assumes to exist beside those it has seen.
const UNSEEN_PARTS: f64 = 16.0;

/// The fewest targets that hold a part, so that a rare part does not depend on a single target.
const MIN_COPIES: usize = 2;

/// Number of tracked parts above which those with the smallest weight are dropped.
const MAX_PARTS: usize = 1_024;

/// The calls that a host has seen for one part.
#[derive(Clone, Debug)]
struct PartCalls {
    /// Number of calls, weighted by their age.
    weight: f64,
    /// Time of the last call.
    updated: Duration,
    /// Program of the last call.
    program: Option<ProgramLabel>,
    /// Whether calls of several programs contained the part.
    is_shared: bool,
}

impl PartCalls {
    fn weight_at(&self, now: Duration) -> f64 {
        self.weight * (-now.saturating_sub(self.updated).as_secs_f64() / DECAY_S).exp()
    }
}

/// How often the calls of one service contain each prompt part, as one host observes it.
#[derive(Clone, Debug, Default)]
pub struct PartDemand {
    parts: BTreeMap<PromptPart, PartCalls>,
    /// Number of calls, weighted by their age at `updated`.
    calls: f64,
    updated: Duration,
}

impl PartDemand {
    /// Records a call of `program` whose prompt consists of `parts`.
    pub fn observe(
        &mut self,
        program: Option<&ProgramLabel>,
        parts: &[(PromptPart, u64)],
        now: Duration,
    ) {
        self.calls = self.calls_at(now) + 1.0;
        self.updated = now;
        // The last part belongs to a single session.
        let Some((_, parts)) = parts.split_last() else {
            return;
        };
        for (index, (part, _)) in parts.iter().enumerate() {
            let calls = self.parts.entry(part.clone()).or_insert_with(|| PartCalls {
                weight: 0.0,
                updated: now,
                program: program.cloned(),
                // Only a later part may belong to one program, to whose sub-agents it is passed on.
                is_shared: index == 0,
            });
            calls.weight = calls.weight_at(now) + 1.0;
            calls.updated = now;
            calls.is_shared |= calls.program.as_ref() != program;
            calls.program = program.cloned();
        }
        if MAX_PARTS < self.parts.len() {
            self.evict(now);
        }
    }

    /// Drops the half of the parts that has the smallest weight.
    fn evict(&mut self, now: Duration) {
        let mut weights: Vec<f64> = self.parts.values().map(|it| it.weight_at(now)).collect();
        weights.sort_by(f64::total_cmp);
        let median = weights[weights.len() / 2];
        self.parts.retain(|_, it| median <= it.weight_at(now));
    }

    fn calls_at(&self, now: Duration) -> f64 {
        self.calls * (-now.saturating_sub(self.updated).as_secs_f64() / DECAY_S).exp()
    }

    /// Returns the estimated fraction of all calls that contain `part`, or `None` if the part is
    /// not known to be shared by programs.
    ///
    /// The call that asks is not counted: a host that sees few calls would otherwise overestimate
    /// each part that it sees at all.
    pub fn share(&self, part: &PromptPart, now: Duration) -> Option<f64> {
        let calls = self.parts.get(part).filter(|it| it.is_shared)?;
        let shared = self.parts.values().filter(|it| it.is_shared).count();
        let prior = PRIOR_CALLS / (shared as f64 + UNSEEN_PARTS);
        let others = (calls.weight_at(now) - 1.0).max(0.0);
        Some((others + prior) / ((self.calls_at(now) - 1.0).max(0.0) + PRIOR_CALLS))
    }
}

/// Returns how many of `targets` hold a part that a fraction `share` of all calls contain.
///
/// With `headroom` 1, the holders' part of all targets equals the part's share of the calls. More
/// headroom leaves a choice among the holders, at the price of memory for more copies.
pub fn copy_count(share: f64, targets: usize, headroom: f64) -> usize {
    let copies = (share * targets as f64 * headroom).ceil() as usize;
    copies.max(MIN_COPIES).min(targets)
}

/// Ranks targets by rendezvous hashing for `part`; returns their indices, the first holder first.
///
/// If a target leaves, only the ranks behind it change, by one.
pub fn rank_holders<'a, I>(part: &PromptPart, targets: I) -> Vec<usize>
where
    I: Iterator<Item = &'a TargetName>,
{
    let seed = xxh3_64_with_seed(part.as_str().as_bytes(), 0);
    let weight = |it: &TargetName| xxh3_64_with_seed(it.as_str().as_bytes(), seed);
    let mut ranked: Vec<(u64, usize)> =
        targets.enumerate().map(|(index, it)| (weight(it), index)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, index)| index).collect()
}

/// The targets that hold the shared parts of one prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holders {
    /// All targets by index, the holders first.
    order: Vec<usize>,
    /// How many leading tokens of the prompt each target holds.
    tokens: Vec<u64>,
    /// The number of targets that hold all shared parts.
    copies: usize,
}

impl Holders {
    /// Finds the targets that hold the shared parts of `prompt`; `None` if no part is shared.
    ///
    /// The holders of a later part are chosen among those of the part before it, since an engine
    /// reuses a part only if it has cached everything before it.
    pub fn find(
        demand: &PartDemand,
        prompt: &[(PromptPart, u64)],
        targets: &[&TargetName],
        headroom: f64,
        now: Duration,
    ) -> Option<Holders> {
        let mut holders = Holders {
            order: (0..targets.len()).collect(),
            tokens: vec![0; targets.len()],
            copies: targets.len(),
        };
        let mut is_shared = false;
        for (part, size) in prompt {
            let Some(share) = demand.share(part, now) else {
                break;
            };
            is_shared = true;
            let previous = &holders.order[..holders.copies];
            let ranked = rank_holders(part, previous.iter().map(|it| targets[*it]));
            let ranked: Vec<usize> = ranked.into_iter().map(|it| previous[it]).collect();
            holders.order.splice(..holders.copies, ranked);
            holders.copies = copy_count(share, targets.len(), headroom).min(holders.copies);
            for it in &holders.order[..holders.copies] {
                holders.tokens[*it] = holders.tokens[*it].saturating_add(*size);
            }
        }
        is_shared.then_some(holders)
    }

    /// Returns how many leading tokens of the prompt the target with this index holds.
    pub fn tokens(&self, target: usize) -> u64 {
        self.tokens[target]
    }

    /// Returns the number of tokens in the shared parts.
    pub fn shared_tokens(&self) -> u64 {
        self.tokens.iter().copied().max().unwrap_or(0)
    }

    /// Returns the targets that the call may go to: the holders and, while all of these are busy,
    /// twice as many of the ranking.
    ///
    /// All hosts thus choose the same further targets for a part, and few of them.
    pub fn usable<F>(&self, is_busy: F) -> &[usize]
    where
        F: Fn(usize) -> bool,
    {
        let mut count = self.copies;
        while count < self.order.len() && self.order[..count].iter().all(|it| is_busy(*it)) {
            count = (2 * count).min(self.order.len());
        }
        &self.order[..count]
    }
}
