//! The program itself: admits calls, settles their results and checks continuations.

use std::collections::BTreeSet;

use rosethread_types::{Digest, Outcome, Reason, Refusal, RequestId, Tokens, Turn};

use crate::{Account, BudgetError, Continuation, Event, Exchange, Grant, History, HistoryError};

/// The properties of a call that decide its admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallDescriptor {
    /// The caller's identifier of the call.
    pub request: RequestId,
    /// The turn number that the caller gave the call.
    pub turn: Turn,
    /// A digest of the call's content, which distinguishes a retry from a different call under the
    /// same identifier.
    pub content_digest: Digest,
    /// The most tokens that the call can add to the history.
    pub max_cost: Tokens,
    /// Whether the call may safely run twice.
    pub repeatable: bool,
    /// Whether the caller may have sent the call before.
    pub retry: bool,
}

/// What the owner must do with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Run the call now; its maximum cost is held.
    Start,
    /// The same call is already running; attach its caller to that run's answer.
    Join,
    /// The call has finished; return the stored answer.
    Replay(Exchange),
    /// Wait until earlier turns have finished.
    Wait,
    /// Journal this spending limit, in tokens, and then try again.
    ExtendLimit(Tokens),
    /// Refuse the call.
    Refuse(Refusal),
}

/// How a running call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete answer arrived.
    Answered {
        /// The finished exchange.
        exchange: Exchange,
        /// Tokens that the call added to the history.
        cost: Tokens,
    },
    /// There is no complete answer; any tokens generated so far are still charged.
    Unanswered {
        /// Whether the call ran, as far as known.
        outcome: Outcome,
        /// Tokens that were generated and discarded.
        cost: Tokens,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct RunningCall {
    call: CallDescriptor,
}

/// The state of one program at its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Program {
    /// The program's identity and limits, fixed at creation.
    pub grant: Grant,
    /// The budget account.
    pub account: Account,
    /// The finished exchanges.
    pub history: History,
    running: Option<RunningCall>,
    /// Calls that must not run twice and may have run.
    unknown_outcomes: BTreeSet<RequestId>,
    /// Repeatable calls that may have reached a target and have no answer.
    unanswered: BTreeSet<RequestId>,
    /// Whether the program had an earlier owner, which may have sent repeatable calls without a
    /// record of them.
    taken_over: bool,
    /// The number of turns that are known to have finished; the history may be shorter until the
    /// caller supplies the rest.
    finished_turns: Turn,
    /// The number of turns whose answers the caller is known to have.
    acked_turns: Turn,
    ended: bool,
}

impl Program {
    /// Creates a program without any calls.
    pub fn new(grant: Grant) -> Program {
        let account = Account::new(grant.budget);
        Program::from_parts(grant, account, History::default(), BTreeSet::new(), false)
    }

    /// Creates a program from recovered state, without a running call.
    pub(crate) fn from_parts(
        grant: Grant,
        account: Account,
        history: History,
        unknown_outcomes: BTreeSet<RequestId>,
        ended: bool,
    ) -> Program {
        Program {
            grant,
            account,
            history,
            running: None,
            unknown_outcomes,
            unanswered: BTreeSet::new(),
            taken_over: false,
            finished_turns: 0,
            acked_turns: 0,
            ended,
        }
    }

    /// Returns whether the program has ended.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Returns whether a call is running.
    pub fn has_running_call(&self) -> bool {
        self.running.is_some()
    }

    /// Records that the program had an earlier owner.
    pub fn mark_taken_over(&mut self) {
        self.taken_over = true;
    }

    /// Corrects the outcome of `refusal` so that it covers every time the request was sent.
    ///
    /// "Not run" promises that no attempt reached a target, so it becomes "unknown" if an earlier
    /// one may have done so.
    pub fn correct_outcome(&self, call: &CallDescriptor, refusal: Refusal) -> Refusal {
        let by_earlier_owner = self.taken_over && call.retry && call.repeatable;
        let may_have_run = by_earlier_owner
            || self.unanswered.contains(&call.request)
            || self.unknown_outcomes.contains(&call.request)
            || self.history.find_request(&call.request).is_some()
            || self.is_executing(&call.request);
        if refusal.outcome == Outcome::NotRun && may_have_run {
            return Refusal { outcome: Outcome::Unknown, ..refusal };
        }
        refusal
    }

    /// Decides what to do with a call at `now_ms`, in milliseconds since the Unix epoch.
    ///
    /// After [`Admission::Start`], the call is the running one until [`Program::finish`].
    pub fn admit(&mut self, call: &CallDescriptor, now_ms: u64) -> Admission {
        match self.decide(call, now_ms) {
            Admission::Refuse(refusal) => Admission::Refuse(self.correct_outcome(call, refusal)),
            admission => admission,
        }
    }

    /// Decides on a call, without regard to earlier attempts in a refusal's outcome.
    fn decide(&mut self, call: &CallDescriptor, now_ms: u64) -> Admission {
        if let Some(duplicate) = self.find_duplicate(call) {
            return duplicate;
        }
        if self.ended {
            let detail = "the program was closed";
            return refuse(Reason::ProgramEnded, detail);
        }
        if let Err(refusal) = self.check_missing_turns(call) {
            return Admission::Refuse(refusal);
        }
        let next = self.history.next_turn();
        if call.turn < next {
            let detail = format!("turn {} has finished; the next is {next}", call.turn);
            return refuse(Reason::StaleTurn, detail);
        }
        if next < call.turn || self.running.is_some() {
            return Admission::Wait;
        }
        match self.hold(call.max_cost, now_ms) {
            Ok(()) => {
                self.running = Some(RunningCall { call: call.clone() });
                Admission::Start
            }
            Err(BudgetError::LimitNotJournalled { limit }) => Admission::ExtendLimit(limit),
            Err(it) => refuse(Reason::BudgetSpent, it.to_string()),
        }
    }

    /// Records that at least `finished` turns have finished, and that the caller has the answers to
    /// the first `acknowledged` of them.
    pub(crate) fn set_progress(&mut self, finished: Turn, acknowledged: Turn) {
        self.finished_turns = finished;
        self.acked_turns = acknowledged;
    }

    /// Refuses calls while the history lacks turns that are known to have finished.
    ///
    /// A delayed duplicate of such a turn would otherwise run again, after later turns. The last
    /// finished turn is an exception: its answer may have been lost with its owner, so that nobody
    /// can supply it, and a repeatable call may run it again.
    fn check_missing_turns(&self, call: &CallDescriptor) -> Result<(), Refusal> {
        let next = self.history.next_turn();
        if self.finished_turns <= next {
            return Ok(());
        }
        let may_be_lost = next + 1 == self.finished_turns && self.acked_turns <= next;
        if call.repeatable && call.turn == next && may_be_lost {
            return Ok(());
        }
        let detail = format!("turns from {next} to {} are missing", self.finished_turns - 1);
        Err(Refusal::not_run(Reason::HistoryNeeded, detail).from_turn(next))
    }

    /// Returns the decision on a call whose identifier was used before.
    fn find_duplicate(&self, call: &CallDescriptor) -> Option<Admission> {
        if let Some(running) = &self.running
            && running.call.request == call.request
        {
            let is_same = running.call.content_digest == call.content_digest
                && running.call.turn == call.turn;
            return Some(if is_same { Admission::Join } else { refuse_mismatch(call) });
        }
        if let Some((turn, exchange)) = self.history.find_request(&call.request) {
            let content_digest = content_digest(exchange.prompted, &exchange.input);
            let is_same = content_digest == call.content_digest && turn == call.turn;
            return Some(if is_same {
                Admission::Replay(exchange.clone())
            } else {
                refuse_mismatch(call)
            });
        }
        if self.unknown_outcomes.contains(&call.request) {
            let detail = format!("request {} may have run under an earlier owner", call.request);
            return Some(Admission::Refuse(Refusal::unknown(Reason::OutcomeUnknown, detail)));
        }
        None
    }

    /// Holds tokens for a call after checking the limits on calls and wall time.
    fn hold(&mut self, max_cost: Tokens, now_ms: u64) -> Result<(), BudgetError> {
        let budget = self.account.budget;
        if budget.calls <= self.history.next_turn() {
            return Err(BudgetError::CallsExhausted);
        }
        if self.is_expired(now_ms) {
            return Err(BudgetError::WallTimeExceeded);
        }
        self.account.hold(max_cost)
    }

    /// Returns whether the program's wall time is over.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        let wall_ms = self.grant.budget.wall.as_millis() as u64;
        self.grant.created_ms.saturating_add(wall_ms) <= now_ms
    }

    /// Holds `tokens` more for the running call `request`, for another attempt at a target.
    ///
    /// Does nothing if another call is running.
    pub fn hold_more(&mut self, request: &RequestId, tokens: Tokens) -> Result<(), BudgetError> {
        let is_executing = self.is_executing(request);
        if let Some(running) = self.running.as_mut().filter(|_| is_executing) {
            self.account.hold(tokens)?;
            running.call.max_cost += tokens;
        }
        Ok(())
    }

    /// Settles the running call `request` and returns the event to journal, if any.
    ///
    /// Does nothing if another call is running.
    pub fn finish(&mut self, request: &RequestId, outcome: CallOutcome) -> Option<Event> {
        if !self.is_executing(request) {
            return None;
        }
        let running = self.running.take()?;
        match outcome {
            CallOutcome::Answered { exchange, cost } => {
                self.account.settle(running.call.max_cost, cost.min(running.call.max_cost));
                let turn = self.history.next_turn();
                self.history.push(exchange.clone());
                let spent = self.account.spent;
                Some(Event::Finished { turn, spent, exchange: Some(exchange) })
            }
            CallOutcome::Unanswered { outcome, cost } => {
                self.account.settle(running.call.max_cost, cost.min(running.call.max_cost));
                self.record_unanswered(&running.call, outcome)
            }
        }
    }

    /// Records a call without an answer, unless it did not run, and returns the event to journal.
    fn record_unanswered(&mut self, call: &CallDescriptor, outcome: Outcome) -> Option<Event> {
        let request = call.request.clone();
        if outcome == Outcome::NotRun {
            return (!call.repeatable).then_some(Event::Withdrawn(request));
        }
        if call.repeatable {
            self.unanswered.insert(request);
        } else {
            self.unknown_outcomes.insert(request);
        }
        None
    }

    /// Ends the program and returns the event to journal; later calls are refused.
    pub fn close(&mut self) -> Event {
        self.ended = true;
        Event::Closed
    }

    /// Checks a continuation, whose seal has been verified, against the program's history.
    ///
    /// An older continuation is accepted if its digest matches the history, since the caller may
    /// have missed an answer. A newer one means that the journal lacks turns, and the refusal asks
    /// the caller for them.
    pub fn check_continuation(&self, continuation: &Continuation) -> Result<(), Refusal> {
        if continuation.grant != self.grant {
            let detail = "the continuation belongs to another program";
            return Err(Refusal::not_run(Reason::BadContinuation, detail));
        }
        let next = self.history.next_turn();
        match self.history.digest_before(continuation.turn) {
            Some(digest) if digest == continuation.digest => Ok(()),
            Some(_) => {
                let detail = format!("the history differs before turn {}", continuation.turn);
                Err(Refusal::not_run(Reason::HistoryMismatch, detail))
            }
            None => {
                let detail = format!("turns from {next} to {} are missing", continuation.turn - 1);
                Err(Refusal::not_run(Reason::HistoryNeeded, detail).from_turn(next))
            }
        }
    }

    /// Appends turns that the journal lacks and that the caller supplied with its continuation.
    ///
    /// Refuses them unless they verify against the continuation's digest.
    pub fn accept_history(
        &mut self,
        continuation: &Continuation,
        supplied: &[Exchange],
    ) -> Result<(), Refusal> {
        let next = self.history.next_turn();
        if continuation.turn <= next {
            return Ok(());
        }
        let result = self.history.extend_verified(supplied, continuation.turn, continuation.digest);
        result.map_err(|it| {
            let reason = match it {
                HistoryError::Gap => Reason::HistoryNeeded,
                HistoryError::DigestMismatch => Reason::HistoryMismatch,
            };
            Refusal::not_run(reason, it.to_string()).from_turn(next)
        })?;
        self.abandon_superseded_call();
        for exchange in supplied {
            self.unknown_outcomes.remove(&exchange.request);
        }
        self.account.spent = self.account.spent.max(continuation.spent);
        Ok(())
    }

    /// Abandons a running call whose turn was supplied by the caller, as answered by another owner.
    ///
    /// The call's own answer would be a second one to the same turn, and is discarded.
    fn abandon_superseded_call(&mut self) {
        let next = self.history.next_turn();
        if let Some(running) = self.running.take_if(|it| it.call.turn < next) {
            // How much the engine generated is unknown, so the maximum cost counts as spent.
            self.account.settle(running.call.max_cost, running.call.max_cost);
        }
    }

    /// Returns whether `request` is the running call.
    pub fn is_executing(&self, request: &RequestId) -> bool {
        self.running.as_ref().is_some_and(|it| it.call.request == *request)
    }

    /// Returns a checkpoint, which replaces all earlier events of the program.
    ///
    /// The running call is listed as one of unknown outcome.
    pub fn checkpoint(&self) -> Event {
        let mut unknown: Vec<RequestId> = self.unknown_outcomes.iter().cloned().collect();
        unknown.extend(self.running.iter().map(|it| it.call.request.clone()));
        Event::Checkpoint {
            grant: self.grant.clone(),
            spent: self.account.spent,
            limit: self.account.journalled_limit,
            history: self.history.clone(),
            finished: self.finished_turns.max(self.history.next_turn()),
            unknown,
            ended: self.ended,
        }
    }
}

/// Returns the digest of a call's content, by which a retry is recognised.
pub(crate) fn content_digest(prompted: bool, input: &str) -> Digest {
    Digest::default().chain(&[&[u8::from(prompted)], input.as_bytes()])
}

impl CallDescriptor {
    /// Describes a call that is repeatable and not a retry.
    pub fn new(
        request: RequestId,
        turn: Turn,
        prompted: bool,
        input: &str,
        max_cost: Tokens,
    ) -> CallDescriptor {
        let content_digest = content_digest(prompted, input);
        CallDescriptor { request, turn, content_digest, max_cost, repeatable: true, retry: false }
    }

    /// Sets whether the call may safely run twice.
    #[must_use]
    pub fn repeatable(mut self, repeatable: bool) -> CallDescriptor {
        self.repeatable = repeatable;
        self
    }

    /// Sets whether the caller may have sent the call before.
    #[must_use]
    pub fn retry(mut self, retry: bool) -> CallDescriptor {
        self.retry = retry;
        self
    }
}

fn refuse(reason: Reason, detail: impl Into<String>) -> Admission {
    Admission::Refuse(Refusal::not_run(reason, detail))
}

fn refuse_mismatch(call: &CallDescriptor) -> Admission {
    let detail = format!("request {} was used for a different call", call.request);
    refuse(Reason::RequestMismatch, detail)
}
