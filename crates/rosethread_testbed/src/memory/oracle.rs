//! What callers saw, and whether it agrees with what targets did.
//!
//! The oracle is plain lists and maps: each request with its content, what became of it, and the
//! stand-ins' own records of what they executed.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};

use rosethread_fakes::{FakeLog, FakeTargets, GenerationRecord};
use rosethread_journal::{Batch, JournalIndex, Record, Verdict};
use rosethread_types::{Digest, Epoch, ProgramId};
use tokio::time::Instant;

use crate::document::parse_name;

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant, in a few words.
    pub invariant: &'static str,
    /// The particulars.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.detail)
    }
}

/// What a request asked of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RequestContent {
    /// The digest of a whole prompt.
    Prompt(Digest),
    /// The body of a service call.
    Body(String),
}

/// One request, as its caller knows it.
#[derive(Clone, Debug)]
pub(super) struct SentRequest {
    pub(super) program: ProgramId,
    pub(super) turn: u32,
    pub(super) content: RequestContent,
    pub(super) repeatable: bool,
}

/// What all callers of a run saw.
#[derive(Default)]
pub(super) struct Observations {
    pub(super) requests: Vec<SentRequest>,
    pub(super) violations: Vec<Violation>,
    pub(super) attempts: u64,
    pub(super) answers: u64,
    pub(super) unknown_outcomes: u64,
    pub(super) refusals: BTreeMap<String, u64>,
    pub(super) finished_programs: u64,
    pub(super) closed: BTreeSet<ProgramId>,
    pub(super) budgets: BTreeMap<ProgramId, u64>,
    /// Repeatable calls sent by owners that had been overtaken.
    pub(super) stale_calls: u64,
}

impl Observations {
    pub(super) fn record_violation(&mut self, invariant: &'static str, detail: impl Into<String>) {
        self.violations.push(Violation { invariant, detail: detail.into() });
    }
}

/// Returns how often targets executed a request with this content.
pub(super) fn count_executions(targets: &FakeTargets, content: &RequestContent) -> usize {
    match content {
        RequestContent::Prompt(digest) => {
            targets.engines().iter().map(|it| it.execution_count(*digest)).sum()
        }
        RequestContent::Body(body) => {
            targets.services().iter().map(|it| it.execution_count(body)).sum()
        }
    }
}

/// Checks the promises that concern targets, at the end of a run.
pub(super) fn check_targets(observed: &mut Observations, targets: &FakeTargets, log: &FakeLog) {
    check_at_most_once(observed, targets);
    check_budgets(observed, targets);
    check_takeovers(observed, targets);
    check_turn_order(observed, targets, log);
    check_cache_release(observed, targets);
}

fn check_at_most_once(observed: &mut Observations, targets: &FakeTargets) {
    let at_most_once: Vec<SentRequest> =
        observed.requests.iter().filter(|it| !it.repeatable).cloned().collect();
    for request in at_most_once {
        let count = count_executions(targets, &request.content);
        if 1 < count {
            let detail = format!("turn {} of {} ran {count} times", request.turn, request.program);
            observed.record_violation("at most once", detail);
        }
    }
}

/// Checks that what an earlier owner had running ended before its successor sent anything.
fn check_takeovers(observed: &mut Observations, targets: &FakeTargets) {
    let mut records: Vec<GenerationRecord> =
        targets.engines().iter().flat_map(|it| it.records()).collect();
    records.sort_by(|a, b| (&a.program, a.arrived).cmp(&(&b.program, b.arrived)));
    for (index, old) in records.iter().enumerate() {
        let later = records[index + 1..].iter().take_while(|it| it.program == old.program);
        let next = later.into_iter().find(|it| old.epoch < it.epoch);
        let is_running = next.is_some_and(|it| old.ended.is_none_or(|end| it.arrived < end));
        if is_running && old.epoch != Epoch::UNCLAIMED {
            let detail = format!("a stream of {} ran beside its successor's", old.program);
            observed.record_violation("streams end before a takeover goes on", detail);
        }
    }
}

/// Checks that engines generated no more for a program than its budget allows.
///
/// Every attempt counts, whoever sent it and whatever became of it. What an engine generates beyond
/// a request's own limit is its fault, and is cut from the answer.
fn check_budgets(observed: &mut Observations, targets: &FakeTargets) {
    let mut generated: BTreeMap<ProgramId, u64> = BTreeMap::new();
    for record in targets.engines().iter().flat_map(|it| it.records()) {
        let tokens = record.generated.min(record.max_tokens);
        *generated.entry(record.program).or_default() += tokens;
    }
    let budgets = observed.budgets.clone();
    for (program, budget) in budgets {
        let tokens = generated.get(&program).copied().unwrap_or_default();
        if budget < tokens {
            let detail = format!("engines generated {tokens} of {budget} tokens for {program}");
            observed.record_violation("never beyond the budget", detail);
        }
    }
}

/// Checks that the calls of each program reached the engines in the program's order.
///
/// A repeatable call is left out, and counted, if its sender was overtaken: the log held the claim
/// of a successor before the call arrived. No record can stop an owner that has not read the claim
/// yet; see "What remains" in `docs/design/programs.md`.
fn check_turn_order(observed: &mut Observations, targets: &FakeTargets, log: &FakeLog) {
    let mut turns: BTreeMap<(ProgramId, Digest), u32> = BTreeMap::new();
    for request in &observed.requests {
        if let RequestContent::Prompt(digest) = request.content {
            turns.insert((request.program.clone(), digest), request.turn);
        }
    }
    let claims = accepted_claims(log);
    let mut records: Vec<GenerationRecord> =
        targets.engines().iter().flat_map(|it| it.records()).collect();
    records.sort_by_key(|it| it.arrived);
    let mut latest: BTreeMap<ProgramId, (u32, Epoch)> = BTreeMap::new();
    for record in records {
        let Some(turn) = turns.get(&(record.program.clone(), record.prompt_digest)) else {
            let detail = format!("an engine got a prompt that {} never made", record.program);
            observed.record_violation("history never mixed", detail);
            continue;
        };
        if is_stale(&claims, &record) {
            observed.stale_calls += 1;
            continue;
        }
        let (last, epoch) = latest.entry(record.program.clone()).or_default();
        if *turn < *last {
            let detail = format!(
                "turn {turn} of {} reached an engine after turn {last}, epoch {} after {}",
                record.program, record.epoch.0, epoch.0
            );
            observed.record_violation("calls in order", detail);
        }
        *last = (*last).max(*turn);
        *epoch = (*epoch).max(record.epoch);
    }
}

/// The claims of each program that count, with the time at which the log took them.
type AcceptedClaims = BTreeMap<ProgramId, Vec<(Instant, Epoch)>>;

fn accepted_claims(log: &FakeLog) -> AcceptedClaims {
    let mut index = JournalIndex::default();
    let mut claims = AcceptedClaims::new();
    for (at, entry) in log.timed_records(&parse_name("rosethread-journal")) {
        let Some(batch) = Batch::decode(&entry.data) else {
            continue;
        };
        let verdicts = index.apply(entry.offset, &batch).unwrap_or_default();
        for (record, verdict) in batch.records.iter().zip(verdicts) {
            if let (Record::Program { program, .. }, Verdict::Accepted(epoch)) = (record, verdict) {
                claims.entry(program.clone()).or_default().push((at, epoch));
            }
        }
    }
    claims
}

fn is_stale(claims: &AcceptedClaims, record: &GenerationRecord) -> bool {
    let claims = claims.get(&record.program).map(Vec::as_slice).unwrap_or_default();
    claims.iter().any(|(at, epoch)| {
        *at < record.arrived && record.epoch < *epoch && record.epoch != Epoch::UNCLAIMED
    })
}

fn check_cache_release(observed: &mut Observations, targets: &FakeTargets) {
    for (index, engine) in targets.engines().iter().enumerate() {
        for program in engine.resident_programs() {
            let state = if observed.closed.contains(&program) { "closed" } else { "abandoned" };
            let detail = format!("engine {index} still holds memory for the {state} {program}");
            observed.record_violation("no memory for programs that are gone", detail);
        }
    }
}

/// Checks that a leaving engine got nothing new later than `grace` after `since`.
pub(super) fn check_draining(
    observed: &mut Observations,
    records: &[GenerationRecord],
    since: Instant,
    grace: Duration,
) {
    for record in records.iter().filter(|it| since + grace < it.arrived) {
        let late = record.arrived - since;
        let detail = format!("{} got work {late:?} after it was to leave", record.program);
        observed.record_violation("a leaving target gets no new work", detail);
    }
}
