//! The test oracle: compares what callers observed with what the fake targets executed.
//!
//! It keeps no model of the system. It uses plain lists and maps of each request with its content
//! and outcome, and the execution records that the fake targets keep themselves.

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

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant, in a few words.
    pub invariant: &'static str,
    /// What was observed instead.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.detail)
    }
}

/// The content of a request, by which a target's execution record is found.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RequestContent {
    /// The digest of the complete prompt of a model call.
    Prompt(Digest),
    /// The body of a service call.
    Body(String),
}

/// A request that a caller sent at least once.
#[derive(Clone, Debug)]
pub(super) struct SentRequest {
    pub(super) program: ProgramId,
    pub(super) turn: u32,
    pub(super) content: RequestContent,
    pub(super) repeatable: bool,
}

/// What all callers of a run observed, and the violations found so far.
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
    /// Calls that reached an engine from a former owner; see [`check_turn_order`].
    pub(super) stale_calls: u64,
}

impl Observations {
    pub(super) fn record_violation(&mut self, invariant: &'static str, detail: impl Into<String>) {
        self.violations.push(Violation { invariant, detail: detail.into() });
    }
}

/// Returns the number of times that targets executed a request with this content.
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

/// Checks the invariants that concern targets, at the end of a run.
pub(super) fn check_targets(observed: &mut Observations, targets: &FakeTargets, log: &FakeLog) {
    check_at_most_once(observed, targets);
    check_budgets(observed, targets);
    check_takeovers(observed, targets);
    check_turn_order(observed, targets, log);
    check_cache_release(observed, targets);
}

/// Checks that targets executed no request more than once that is not repeatable.
fn check_at_most_once(observed: &mut Observations, targets: &FakeTargets) {
    let at_most_once: Vec<SentRequest> =
        observed.requests.iter().filter(|it| !it.repeatable).cloned().collect();
    for request in at_most_once {
        let count = count_executions(targets, &request.content);
        if 1 < count {
            let detail = format!("turn {} of {} ran {count} times", request.turn, request.program);
            observed.record_violation("non-repeatable requests run at most once", detail);
        }
    }
}

/// Checks that the streams of a former owner ended before its successor sent a call.
///
/// A takeover happens under a higher epoch. Calls under [`Epoch::UNCLAIMED`] have no owner.
fn check_takeovers(observed: &mut Observations, targets: &FakeTargets) {
    let mut records: Vec<GenerationRecord> =
        targets.engines().iter().flat_map(|it| it.records()).collect();
    records.sort_by(|a, b| (&a.program, a.arrived).cmp(&(&b.program, b.arrived)));
    for (index, old) in records.iter().enumerate() {
        let later = records[index + 1..].iter().take_while(|it| it.program == old.program);
        let next = later.into_iter().find(|it| old.epoch < it.epoch);
        let is_running = next.is_some_and(|it| old.ended.is_none_or(|end| it.arrived < end));
        if is_running && old.epoch != Epoch::UNCLAIMED {
            let detail = format!(
                "a stream of {} was still running when its successor sent a call",
                old.program
            );
            observed.record_violation(
                "streams of a former owner end before its successor sends",
                detail,
            );
        }
    }
}

/// Checks that engines generated no more tokens for a program than its budget allows.
///
/// Every attempt counts, whichever node sent it and however it ended. Tokens that a faulty engine
/// generates beyond a request's own limit do not count, since they are cut from the answer.
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
            observed.record_violation("programs never exceed their budget", detail);
        }
    }
}

/// Checks that the calls of each program reached the engines in the order of its turns.
///
/// A repeatable call from a former owner is counted but not checked if the log accepted its
/// successor's claim before the call arrived. A record in the log cannot stop an owner that has not
/// read it yet; see "What remains" in `docs/design/programs.md`.
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
            let detail = format!("an engine got a prompt that {} never sent", record.program);
            observed.record_violation("prompts hold only the history of their own program", detail);
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
            observed.record_violation("calls reach engines in the order of turns", detail);
        }
        *last = (*last).max(*turn);
        *epoch = (*epoch).max(record.epoch);
    }
}

/// The accepted claims of each program, with the time at which the log stored them.
type AcceptedClaims = BTreeMap<ProgramId, Vec<(Instant, Epoch)>>;

/// Replays the journal and returns the claims that it accepted.
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

/// Tells whether a call arrived after the log had accepted a claim with a higher epoch.
///
/// Calls under [`Epoch::UNCLAIMED`] have no owner and are never stale.
fn is_stale(claims: &AcceptedClaims, record: &GenerationRecord) -> bool {
    let claims = claims.get(&record.program).map(Vec::as_slice).unwrap_or_default();
    claims.iter().any(|(at, epoch)| {
        *at < record.arrived && record.epoch < *epoch && record.epoch != Epoch::UNCLAIMED
    })
}

/// Checks that engines hold no cache memory for programs; all have ended when this runs.
fn check_cache_release(observed: &mut Observations, targets: &FakeTargets) {
    for (index, engine) in targets.engines().iter().enumerate() {
        for program in engine.resident_programs() {
            let state = if observed.closed.contains(&program) { "closed" } else { "abandoned" };
            let detail =
                format!("engine {index} still holds memory for the {state} program {program}");
            observed.record_violation("engines hold no cache memory for ended programs", detail);
        }
    }
}

/// Checks that an engine marked as leaving at `since` got no calls later than `grace` after that.
pub(super) fn check_draining(
    observed: &mut Observations,
    records: &[GenerationRecord],
    since: Instant,
    grace: Duration,
) {
    for record in records.iter().filter(|it| since + grace < it.arrived) {
        let late = record.arrived - since;
        let detail = format!(
            "a call of {} arrived {late:?} after the engine was marked as leaving",
            record.program
        );
        observed.record_violation("a leaving target gets no new calls", detail);
    }
}
