//! Admission of calls to a program and the settlement of their results.

use std::collections::BTreeSet;

use rosethread_types::{Digest, Outcome, Reason, Refusal, RequestId, Tokens, Turn};

use crate::{Account, BudgetError, Continuation, Event, Exchange, Grant, History, HistoryError};

/// The parts of a call that decide its admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallDescriptor {
    /// The caller's identifier of the call.
    pub request: RequestId,
    /// The number that the caller gave the call.
    pub turn: Turn,
    /// A digest of the call's content, which tells a retry from another call under the same
    /// identifier.
    pub content_digest: Digest,
    /// Tokens that the call may cost at worst.
    pub max_cost: Tokens,
    /// Whether running the call twice does no harm.
    pub repeatable: bool,
    /// Whether the caller may have sent the call before.
    pub retry: bool,
}

/// What is to be done with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call runs now; its worst case is held.
    Start,
    /// The same call is already running; its caller gets that run's answer.
    Join,
    /// The call has finished; its caller gets the kept answer.
    Replay(Exchange),
    /// The call has to wait for its predecessor.
    Wait,
    /// The call has to wait until the journal holds this limit.
    ExtendLimit(Tokens),
    /// The call is refused.
    Refuse(Refusal),
}

/// How a running call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer arrived; `cost` tokens were added to the history.
    Answered {
        /// The finished exchange.
        exchange: Exchange,
        /// Tokens that the call added to the history.
        cost: Tokens,
    },
    /// There is no answer; `cost` tokens were spent all the same.
    Unanswered {
        /// What is known about the call.
        outcome: Outcome,
        /// Tokens that were generated and thrown away.
        cost: Tokens,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Running {
    head: CallDescriptor,
}

/// The state of one program at its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Program {
    /// What the program was given at its creation.
    pub grant: Grant,
    /// Its account.
    pub account: Account,
    /// Its finished exchanges.
    pub history: History,
    running: Option<Running>,
    unknown: BTreeSet<RequestId>,
    /// Calls that reached a target and have no answer.
    attempted: BTreeSet<RequestId>,
    /// Whether an earlier owner may have sent repeatable calls that nobody recorded.
    taken_over: bool,
    /// The turns that are known to have finished; the history may be behind until the caller
    /// supplies the rest.
    finished: Turn,
    /// The turns whose answers the caller is known to have.
    acknowledged: Turn,
    ended: bool,
}

impl Program {
    /// Returns a program that has made no call yet.
    pub fn new(grant: Grant) -> Program {
        let account = Account::new(grant.budget);
        Program::restored(grant, account, History::default(), BTreeSet::new(), false)
    }

    pub(crate) fn restored(
        grant: Grant,
        account: Account,
        history: History,
        unknown: BTreeSet<RequestId>,
        ended: bool,
    ) -> Program {
        Program {
            grant,
            account,
            history,
            running: None,
            unknown,
            attempted: BTreeSet::new(),
            taken_over: false,
            finished: 0,
            acknowledged: 0,
            ended,
        }
    }

    /// Tells whether the program has ended.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Tells whether a call is running.
    pub fn has_running_call(&self) -> bool {
        self.running.is_some()
    }

    /// Takes note that the program had another owner before.
    pub fn mark_taken_over(&mut self) {
        self.taken_over = true;
    }

    /// Returns `refusal` with an outcome that is certainly true of the call.
    ///
    /// "Not run" must hold for every sending of the request, so it is weakened where an earlier
    /// sending may have reached a target.
    pub fn correct_outcome(&self, head: &CallDescriptor, refusal: Refusal) -> Refusal {
        let by_predecessor = self.taken_over && head.retry && head.repeatable;
        let may_have_run = by_predecessor
            || self.attempted.contains(&head.request)
            || self.unknown.contains(&head.request)
            || self.history.find_request(&head.request).is_some()
            || self.is_executing(&head.request);
        if refusal.outcome == Outcome::NotRun && may_have_run {
            return Refusal { outcome: Outcome::Unknown, ..refusal };
        }
        refusal
    }

    /// Decides what to do with a call at `now_ms`, in milliseconds since the Unix epoch.
    pub fn admit(&mut self, head: &CallDescriptor, now_ms: u64) -> Admission {
        match self.decide(head, now_ms) {
            Admission::Refuse(refusal) => Admission::Refuse(self.correct_outcome(head, refusal)),
            admission => admission,
        }
    }

    fn decide(&mut self, head: &CallDescriptor, now_ms: u64) -> Admission {
        if let Some(settled) = self.settled(head) {
            return settled;
        }
        if self.ended {
            let detail = "the program was closed";
            return refuse(Reason::ProgramEnded, detail);
        }
        if let Err(refusal) = self.check_complete(head) {
            return Admission::Refuse(refusal);
        }
        let next = self.history.next_turn();
        if head.turn < next {
            let detail = format!("turn {} has finished; the next is {next}", head.turn);
            return refuse(Reason::StaleTurn, detail);
        }
        if next < head.turn || self.running.is_some() {
            return Admission::Wait;
        }
        match self.hold(head.max_cost, now_ms) {
            Ok(()) => {
                self.running = Some(Running { head: head.clone() });
                Admission::Start
            }
            Err(BudgetError::LimitNotJournalled { limit }) => Admission::ExtendLimit(limit),
            Err(it) => refuse(Reason::BudgetSpent, it.to_string()),
        }
    }

    /// Takes note that at least `finished` turns have finished, and that the caller has the
    /// answers to `acknowledged` of them.
    pub(crate) fn require_history(&mut self, finished: Turn, acknowledged: Turn) {
        self.finished = finished;
        self.acknowledged = acknowledged;
    }

    /// Refuses while turns are missing that are known to have finished: a late copy of one of them
    /// would otherwise run again, after its successors.
    ///
    /// The last finished turn is an exception. Its answer may have been lost with its owner, and
    /// then nobody can supply it, so a repeatable call may make it again.
    fn check_complete(&self, head: &CallDescriptor) -> Result<(), Refusal> {
        let next = self.history.next_turn();
        if self.finished <= next {
            return Ok(());
        }
        let may_be_lost = next + 1 == self.finished && self.acknowledged <= next;
        if head.repeatable && head.turn == next && may_be_lost {
            return Ok(());
        }
        let detail = format!("turns from {next} to {} are missing", self.finished - 1);
        Err(Refusal::not_run(Reason::HistoryNeeded, detail).from_turn(next))
    }

    /// Returns the answer to a call that was seen before.
    fn settled(&self, head: &CallDescriptor) -> Option<Admission> {
        if let Some(running) = &self.running
            && running.head.request == head.request
        {
            let is_same = running.head.content_digest == head.content_digest
                && running.head.turn == head.turn;
            return Some(if is_same { Admission::Join } else { mismatch(head) });
        }
        if let Some((turn, exchange)) = self.history.find_request(&head.request) {
            let content = content_digest(exchange.prompted, &exchange.input);
            let is_same = content == head.content_digest && turn == head.turn;
            return Some(if is_same {
                Admission::Replay(exchange.clone())
            } else {
                mismatch(head)
            });
        }
        if self.unknown.contains(&head.request) {
            let detail = format!("request {} may have run under an earlier owner", head.request);
            return Some(Admission::Refuse(Refusal::unknown(Reason::OutcomeUnknown, detail)));
        }
        None
    }

    /// Holds tokens for a call, after checking the limits on calls and time.
    fn hold(&mut self, worst: Tokens, now_ms: u64) -> Result<(), BudgetError> {
        let budget = self.account.budget;
        if budget.calls <= self.history.next_turn() {
            return Err(BudgetError::CallsExhausted);
        }
        if self.is_expired(now_ms) {
            return Err(BudgetError::WallTimeExceeded);
        }
        self.account.hold(worst)
    }

    /// Tells whether the program's wall time is over.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        let wall_ms = self.grant.budget.wall.as_millis() as u64;
        self.grant.created_ms.saturating_add(wall_ms) <= now_ms
    }

    /// Holds `tokens` more for the running call, which another attempt at a target may cost.
    pub fn hold_more(&mut self, request: &RequestId, tokens: Tokens) -> Result<(), BudgetError> {
        let is_current = self.is_executing(request);
        if let Some(running) = self.running.as_mut().filter(|_| is_current) {
            self.account.hold(tokens)?;
            running.head.max_cost += tokens;
        }
        Ok(())
    }

    /// Settles the running call `request` and returns what the journal has to store, if anything.
    pub fn finish(&mut self, request: &RequestId, finish: CallOutcome) -> Option<Event> {
        if !self.is_executing(request) {
            return None;
        }
        let running = self.running.take()?;
        match finish {
            CallOutcome::Answered { exchange, cost } => {
                self.account.settle(running.head.max_cost, cost.min(running.head.max_cost));
                let turn = self.history.next_turn();
                self.history.push(exchange.clone());
                let spent = self.account.spent;
                Some(Event::Finished { turn, spent, exchange: Some(exchange) })
            }
            CallOutcome::Unanswered { outcome, cost } => {
                self.account.settle(running.head.max_cost, cost.min(running.head.max_cost));
                self.note_refusal(&running.head, outcome)
            }
        }
    }

    fn note_refusal(&mut self, head: &CallDescriptor, outcome: Outcome) -> Option<Event> {
        let request = head.request.clone();
        if outcome == Outcome::NotRun {
            return (!head.repeatable).then_some(Event::Withdrawn(request));
        }
        if head.repeatable {
            self.attempted.insert(request);
        } else {
            self.unknown.insert(request);
        }
        None
    }

    /// Ends the program; no call is admitted afterwards.
    pub fn close(&mut self) -> Event {
        self.ended = true;
        Event::Closed
    }

    /// Checks a genuine continuation against the program's history.
    ///
    /// A continuation that is behind is accepted as long as it lies on the same chain, since a
    /// caller may have missed an answer. One that is ahead means that the journal is behind.
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

    /// Takes over turns that the journal lacks and the caller supplied.
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
        self.supersede_running();
        for exchange in supplied {
            self.unknown.remove(&exchange.request);
        }
        self.account.spent = self.account.spent.max(continuation.spent);
        Ok(())
    }

    /// Gives up a running call whose turn the caller has supplied from another owner's answer.
    ///
    /// Its own answer would come as a second one to the same turn, and is thrown away.
    fn supersede_running(&mut self) {
        let next = self.history.next_turn();
        if let Some(running) = self.running.take_if(|it| it.head.turn < next) {
            // How far the engine came is not known, so the worst case counts as spent.
            self.account.settle(running.head.max_cost, running.head.max_cost);
        }
    }

    /// Tells whether `request` is the call that is running.
    pub fn is_executing(&self, request: &RequestId) -> bool {
        self.running.as_ref().is_some_and(|it| it.head.request == *request)
    }

    /// Returns the event that replaces all earlier ones of the program.
    pub fn checkpoint(&self) -> Event {
        let mut unknown: Vec<RequestId> = self.unknown.iter().cloned().collect();
        unknown.extend(self.running.iter().map(|it| it.head.request.clone()));
        Event::Checkpoint {
            grant: self.grant.clone(),
            spent: self.account.spent,
            limit: self.account.journalled_limit,
            history: self.history.clone(),
            finished: self.finished.max(self.history.next_turn()),
            unknown,
            ended: self.ended,
        }
    }
}

/// Returns the digest by which a retry is recognised.
pub(crate) fn content_digest(prompted: bool, input: &str) -> Digest {
    Digest::default().chain(&[&[u8::from(prompted)], input.as_bytes()])
}

impl CallDescriptor {
    /// Returns the head of a call with the given content.
    pub fn new(
        request: RequestId,
        turn: Turn,
        prompted: bool,
        input: &str,
        worst: Tokens,
    ) -> CallDescriptor {
        let content = content_digest(prompted, input);
        CallDescriptor {
            request,
            turn,
            content_digest: content,
            max_cost: worst,
            repeatable: true,
            retry: false,
        }
    }

    /// Sets whether running the call twice does no harm.
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

fn mismatch(head: &CallDescriptor) -> Admission {
    let detail = format!("request {} was used for a different call", head.request);
    refuse(Reason::RequestMismatch, detail)
}
