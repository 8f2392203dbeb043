//! Runs one admitted call to its end: attempts at targets, retries and the settlement.

use std::{sync::Arc, time::Duration};

use rosethread_config::{Class, HistoryStorage, TargetState};
use rosethread_platform::ExecutionStatus;
use rosethread_policy::admit;
use rosethread_policy::{
    AdmissionRequest, CacheRetention, Forecast, PauseForecast, Strategy, backoff, choose_retention,
};
use rosethread_program::{BudgetError, CallOutcome, Event, Exchange, Usage};
use rosethread_types::{Outcome, Reason, Refusal, Tokens};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    call::{Answer, CallPayload},
    core::Core,
    dispatch::{AcquiredSlot, SlotRequest, acquire},
    feed::AnswerFeed,
    owner::{
        OwnedProgram,
        create::class_of,
        journalling,
        place::{self, Capability, ChosenTarget, PromptState},
        send::{self, AttemptFailure, TargetAnswer},
        serve::{BoundedCall, extend_limit, extend_limit_ahead, time_left},
        strategy,
    },
    slo::EventLabels,
};

/// How long a queued call is kept after its last caller has disconnected, in case one reconnects.
const ABANDON_GRACE: Duration = Duration::from_secs(2);

/// The memory pressure from which an engine is asked to retain a program's cache.
const CACHE_HOLD_PRESSURE: f64 = 0.5;

/// The maximum age of the last read of the log when a call is sent to a target.
///
/// It is shorter than the time after which an unresponsive node is declared dead. A node that
/// resumes after a long pause therefore reads the claims made meanwhile before it sends anything.
const MAX_LOG_AGE: Duration = Duration::from_millis(1_500);

/// The pause between two calls that is assumed without knowledge of the program, in seconds.
const DEFAULT_PAUSE_S: f64 = 5.0;

/// A call that ended without an answer.
struct CallFailure {
    refusal: Refusal,
    /// Tokens that its attempts may have generated.
    cost: Tokens,
}

impl From<Refusal> for CallFailure {
    fn from(refusal: Refusal) -> CallFailure {
        CallFailure { refusal, cost: 0 }
    }
}

/// Runs an admitted call, settles its tokens and publishes the result to all its readers.
pub(super) async fn run_call(
    core: Arc<Core>,
    owned: Arc<OwnedProgram>,
    bounded: BoundedCall,
    feed: Arc<AnswerFeed>,
) {
    let _guard = core.count_call();
    let arrived = Instant::now();
    let member = owned.id.member.clone();
    let limit_check = start_member_limits(&core, &bounded);
    let result = match &limit_check {
        Ok(()) => execute(&core, &owned, &bounded, &feed).await,
        Err(refusal) => Err(refusal.clone().into()),
    };
    if limit_check.is_ok() {
        core.limits.end_call(&member);
    }
    let result = settle(&core, &owned, &bounded, result);
    observe_end(&core, &owned, &bounded, arrived, &result);
    feed.finish(result);
    owned.notify();
    extend_limit_ahead(&core, &owned);
}

fn observe_end(
    core: &Core,
    owned: &OwnedProgram,
    bounded: &BoundedCall,
    arrived: Instant,
    result: &Result<Answer, Refusal>,
) {
    let (class, target) = {
        let mut state = owned.lock();
        state.first_call.get_or_insert(arrived);
        if result.is_ok() {
            state.last_answer = Some(Instant::now());
        }
        let target = state.cached.as_ref().map(|(target, _)| target.clone());
        (state.program.grant.class.clone(), target)
    };
    core.metrics.observe_call(&class, arrived.elapsed(), result);
    let member = &owned.id.member;
    let subject = EventLabels { class: &class, member, target: target.as_ref() };
    let document = &bounded.active_document.document;
    core.objectives.observe_end(document, core.now(), subject, result.is_ok());
}

fn start_member_limits(core: &Core, bounded: &BoundedCall) -> Result<(), Refusal> {
    let Some(member) = bounded.active_document.document.member(&bounded.call.program.member) else {
        let detail = "the member is no longer in the document";
        return Err(Refusal::not_run(Reason::Forbidden, detail));
    };
    let share = limit_share(core);
    core.limits.start_call(member, core.now(), share, bounded.descriptor.max_cost)
}

/// Returns the fraction of each member's limits that this node enforces: its fraction of the calls
/// that run in the cluster.
fn limit_share(core: &Core) -> f64 {
    let view = core.view();
    let nodes = view.live().count();
    let total: u32 = view.live().map(|it| it.summary.calls).sum();
    let own = view.get(core.node_name()).map_or(0, |it| it.summary.calls);
    rosethread_policy::local_share(f64::from(own), f64::from(total), nodes)
}

async fn execute(
    core: &Arc<Core>,
    owned: &Arc<OwnedProgram>,
    bounded: &BoundedCall,
    feed: &Arc<AnswerFeed>,
) -> Result<TargetAnswer, CallFailure> {
    let deadline = Instant::now() + time_left(core, &bounded.call);
    let class = class_of(&bounded.active_document.document, &owned.lock().program.grant)?.clone();
    if !bounded.call.repeatable {
        journal_intent(core, owned, bounded, deadline).await?;
    }
    if class.history == HistoryStorage::Caller && bounded.descriptor.turn != 0 {
        journalling::record_detached(core, owned, Event::Acknowledged(bounded.descriptor.turn));
    }
    let mut cost = 0;
    for attempt in 0.. {
        let may_have_run = attempt != 0;
        let slot = acquire_active_slot(core, owned, bounded, &class, deadline, feed).await;
        let (chosen, held) =
            slot.map_err(|it| CallFailure { refusal: downgrade_not_run(it, may_have_run), cost })?;
        core.journal.wait_until_fresh(MAX_LOG_AGE).await;
        if !journalling::is_owner(core, owned) {
            let refusal = Refusal::not_run(Reason::NotOwner, "another node owns the program");
            return Err(CallFailure { refusal: downgrade_not_run(refusal, may_have_run), cost });
        }
        let sent = send::send(core, owned, bounded, &chosen.target, feed, deadline).await;
        drop(held);
        let failure = match sent {
            Ok(target_answer) => return Ok(TargetAnswer { discarded: cost, ..target_answer }),
            Err(failure) => failure,
        };
        cost += failure.generated;
        if !may_retry(core, bounded, &class, &chosen, &failure, attempt) {
            return Err(CallFailure {
                refusal: final_refusal(bounded, &failure, may_have_run),
                cost,
            });
        }
        let delay = backoff(attempt, core.random.next_f64());
        if timeout_at(deadline, sleep(delay)).await.is_err() {
            return Err(CallFailure {
                refusal: final_refusal(bounded, &failure, may_have_run),
                cost,
            });
        }
        if let Err(refusal) = hold_more(core, owned, bounded, failure.generated, deadline).await {
            return Err(CallFailure { refusal: downgrade_not_run(refusal, true), cost });
        }
        feed.restart();
    }
    unreachable!("the loop returns once an attempt succeeds or is not retried")
}

/// Holds as many tokens again as a failed attempt may have used, so that the next one is covered.
async fn hold_more(
    core: &Arc<Core>,
    owned: &Arc<OwnedProgram>,
    bounded: &BoundedCall,
    tokens: Tokens,
    deadline: Instant,
) -> Result<(), Refusal> {
    loop {
        let held = owned.lock().program.hold_more(&bounded.descriptor.request, tokens);
        let limit = match held {
            Ok(()) => return Ok(()),
            Err(BudgetError::LimitNotJournalled { limit }) => limit,
            Err(it) => return Err(Refusal::not_run(Reason::BudgetSpent, it.to_string())),
        };
        let extension = timeout_at(deadline, extend_limit(core, owned, limit)).await;
        extension.unwrap_or_else(|_| {
            let detail = "a larger token limit was not journalled before the deadline";
            Err(Refusal::not_run(Reason::BudgetNotJournalled, detail))
        })?;
    }
}

/// Journals the intent to run a call that is not repeatable, and waits until the log accepts it.
///
/// A new owner that finds the intent without a result does not run the call again.
async fn journal_intent(
    core: &Arc<Core>,
    owned: &Arc<OwnedProgram>,
    bounded: &BoundedCall,
    deadline: Instant,
) -> Result<(), Refusal> {
    let event = Event::Intended(bounded.descriptor.request.clone());
    let waiting = journalling::record_and_wait(core, owned, event);
    match timeout_at(deadline, waiting).await {
        Ok(Ok(true)) => Ok(()),
        Ok(Ok(false)) => Err(Refusal::not_run(Reason::NotOwner, "another node owns the program")),
        Ok(Err(_)) | Err(_) => {
            let detail = "the intent to run the call was not journalled before the deadline";
            let refusal = Refusal::not_run(Reason::JournalUnavailable, detail);
            Err(refusal.retry_after(Duration::from_secs(1)))
        }
    }
}

/// Acquires slots until one belongs to a target that is still active in the document.
async fn acquire_active_slot(
    core: &Arc<Core>,
    owned: &Arc<OwnedProgram>,
    bounded: &BoundedCall,
    class: &Class,
    deadline: Instant,
    feed: &Arc<AnswerFeed>,
) -> Result<(ChosenTarget, AcquiredSlot), Refusal> {
    loop {
        let (chosen, held) = acquire_slot(core, owned, bounded, class, deadline, feed).await?;
        let active_document = core.document()?;
        let target = active_document.document.target(&chosen.target.name);
        if target.is_some_and(|it| it.state == TargetState::Active) {
            return Ok((chosen, held));
        }
    }
}

/// Chooses a target and waits for one of its slots.
///
/// The adaptive policy refuses the call first if the deadline is forecast to be missed.
async fn acquire_slot(
    core: &Arc<Core>,
    owned: &Arc<OwnedProgram>,
    bounded: &BoundedCall,
    class: &Class,
    deadline: Instant,
    feed: &Arc<AnswerFeed>,
) -> Result<(ChosenTarget, AcquiredSlot), Refusal> {
    let chosen = choose(core, owned, bounded, class)?;
    if strategy(&bounded.active_document.document) == Strategy::Adaptive {
        let is_underway = 0 < bounded.descriptor.turn;
        let request = AdmissionRequest { deadline: deadline - Instant::now(), is_underway };
        let forecast = Forecast { wait_s: chosen.wait_s, service_s: chosen.service_s };
        admit(request, forecast).map_err(|retry| {
            let detail = "the deadline cannot be met";
            Refusal::not_run(Reason::Overloaded, detail).retry_after(retry)
        })?;
    }
    let slot_request = slot_request(owned, bounded, class);
    let abandoned = async {
        loop {
            feed.abandoned().await;
            sleep(ABANDON_GRACE).await;
            if feed.is_abandoned() {
                return;
            }
        }
    };
    tokio::select! {
        biased;
        held = acquire(core, &chosen.target, slot_request) => Ok((chosen, held)),
        () = tokio::time::sleep_until(deadline) => {
            let detail = "no slot was free before the deadline";
            let refusal = Refusal::not_run(Reason::DeadlineExceeded, detail);
            Err(refusal.retry_after(Duration::from_secs(1)))
        }
        () = abandoned => {
            Err(Refusal::not_run(Reason::Cancelled, "the caller disconnected"))
        }
    }
}

fn choose(
    core: &Core,
    owned: &OwnedProgram,
    bounded: &BoundedCall,
    class: &Class,
) -> Result<ChosenTarget, Refusal> {
    // The document is read again, since it may have changed while the call waited.
    let active_document = core.document()?;
    let document = &active_document.document;
    let (model, cached, history) = {
        let state = owned.lock();
        let history = state.program.history.context_tokens();
        (state.program.grant.model.clone(), state.cached.clone(), history)
    };
    let (capability, tokens) = match &bounded.call.work {
        CallPayload::Model { .. } => {
            (Capability::Model(&model), history + bounded.descriptor.max_cost)
        }
        CallPayload::Service { service, .. } => (Capability::Service(service), 0),
    };
    let prompt = PromptState { tokens, cached: cached.as_ref() };
    place::choose(core, document, capability, &owned.id.member, Some(class), prompt)
}

fn slot_request(owned: &OwnedProgram, bounded: &BoundedCall, class: &Class) -> SlotRequest {
    let member = &owned.id.member;
    let share = bounded.active_document.document.member(member).map_or(1, |it| it.share);
    SlotRequest {
        member: member.clone(),
        share,
        priority: class.priority,
        reserved: class.reserved,
        tokens: bounded.descriptor.max_cost,
    }
}

fn may_retry(
    core: &Core,
    bounded: &BoundedCall,
    class: &Class,
    chosen: &ChosenTarget,
    failure: &AttemptFailure,
    attempt: u32,
) -> bool {
    let is_safe = bounded.call.repeatable || failure.ran == ExecutionStatus::NotStarted;
    if !is_safe || !failure.is_retryable || class.retries <= attempt {
        return false;
    }
    core.dispatch.update_health(&chosen.target.name, |it| it.retry_budget.try_take())
}

/// Returns the refusal of a call whose last attempt failed.
fn final_refusal(bounded: &BoundedCall, failure: &AttemptFailure, may_have_run: bool) -> Refusal {
    let refusal = match failure.ran {
        ExecutionStatus::NotStarted => Refusal::not_run(failure.reason, failure.detail.clone()),
        ExecutionStatus::Possible if bounded.call.repeatable => {
            Refusal::failed(failure.reason, failure.detail.clone())
        }
        ExecutionStatus::Possible => Refusal::unknown(failure.reason, failure.detail.clone()),
    };
    downgrade_not_run(refusal, may_have_run).retry_after(Duration::from_millis(500))
}

/// Replaces the outcome "not run" by "failed" if an earlier attempt may have run.
fn downgrade_not_run(refusal: Refusal, may_have_run: bool) -> Refusal {
    if may_have_run && refusal.outcome == Outcome::NotRun {
        return Refusal { outcome: Outcome::Failed, ..refusal };
    }
    refusal
}

/// Records the end of a call in the program and in the journal, and returns the caller's result.
fn settle(
    core: &Arc<Core>,
    owned: &Arc<OwnedProgram>,
    bounded: &BoundedCall,
    result: Result<TargetAnswer, CallFailure>,
) -> Result<Answer, Refusal> {
    let is_owner = journalling::is_owner(core, owned);
    match result {
        Ok(_) if !is_owner && bounded.call.repeatable => {
            settle_failure(core, owned, bounded, Outcome::Failed, 0);
            let detail = "another node took over the program during the call";
            Err(Refusal::unknown(Reason::NotOwner, detail))
        }
        Ok(_) if !owned.lock().program.is_executing(&bounded.descriptor.request) => {
            owned.lock().feeds.remove(&bounded.descriptor.request);
            let detail = "the caller supplied this turn while it was running";
            Err(Refusal::unknown(Reason::Cancelled, detail))
        }
        Ok(target_answer) => Ok(settle_answer(core, owned, bounded, target_answer)),
        Err(failure) => {
            settle_failure(core, owned, bounded, failure.refusal.outcome, failure.cost);
            Err(owned.lock().program.correct_outcome(&bounded.descriptor, failure.refusal))
        }
    }
}

fn settle_failure(
    core: &Arc<Core>,
    owned: &Arc<OwnedProgram>,
    bounded: &BoundedCall,
    outcome: Outcome,
    cost: Tokens,
) {
    let request = &bounded.descriptor.request;
    let event = {
        let mut state = owned.lock();
        state.feeds.remove(request);
        state.program.finish(request, CallOutcome::Unanswered { outcome, cost })
    };
    if let Some(event) = event {
        journalling::record_detached(core, owned, event);
    }
}

fn settle_answer(
    core: &Arc<Core>,
    owned: &Arc<OwnedProgram>,
    bounded: &BoundedCall,
    target_answer: TargetAnswer,
) -> Answer {
    let request = &bounded.descriptor.request;
    let (event, answer) = {
        let mut state = owned.lock();
        state.feeds.remove(request);
        let is_prompted = bounded.call.work.is_prompted();
        let known_tokens = state.program.history.context_tokens();
        let cost = if is_prompted {
            target_answer.usage.prompt.saturating_sub(known_tokens) + target_answer.usage.completion
        } else {
            0
        };
        let exchange = Exchange {
            request: request.clone(),
            input: bounded.call.work.input().to_owned(),
            answer: target_answer.text.clone(),
            prompted: is_prompted,
            usage: target_answer.usage,
        };
        let turn = state.program.history.next_turn();
        let cost = cost.min(bounded.descriptor.max_cost) + target_answer.discarded;
        let event = state.program.finish(request, CallOutcome::Answered { exchange, cost });
        if is_prompted {
            let tokens = target_answer.usage.prompt + target_answer.usage.completion;
            state.cached = Some((target_answer.target.name.clone(), tokens));
        }
        let answer = Answer {
            text: target_answer.text,
            turn,
            usage: target_answer.usage,
            spent: state.program.account.spent,
            continuation: state.continuation(core),
        };
        (event, answer)
    };
    if let Some(event) = event {
        journalling::record_detached(core, owned, strip_exchange(owned, bounded, event));
    }
    hold_cache(core, owned, &target_answer.target, target_answer.usage);
    answer
}

/// Removes the exchange from a `Finished` event if the class leaves the history to callers.
///
/// The exchange of a call that is not repeatable is always journalled: running the call again to
/// get its answer back is not allowed.
fn strip_exchange(owned: &OwnedProgram, bounded: &BoundedCall, event: Event) -> Event {
    let state = owned.lock();
    let class = class_of(&bounded.active_document.document, &state.program.grant);
    let by_caller = class.is_ok_and(|it| it.history == HistoryStorage::Caller);
    match event {
        Event::Finished { turn, spent, .. } if by_caller && bounded.call.repeatable => {
            Event::Finished { turn, spent, exchange: None }
        }
        event => event,
    }
}

/// Asks an engine under memory pressure to retain the program's cache until the next call, if the
/// policy decides so.
fn hold_cache(
    core: &Arc<Core>,
    owned: &Arc<OwnedProgram>,
    target: &rosethread_config::Target,
    usage: Usage,
) {
    let Some(engine) = target.engine() else {
        return;
    };
    let is_adaptive = strategy(&core.document.borrow().document) == Strategy::Adaptive;
    let pressure = core.dispatch.update_health(&target.name, |it| it.pressure);
    if !is_adaptive || pressure < CACHE_HOLD_PRESSURE {
        return;
    }
    let cost = PauseForecast {
        expected_s: DEFAULT_PAUSE_S,
        cached_tokens: usage.prompt + usage.completion,
        pressure,
        memory_tokens: engine.memory,
        prefill_rate: f64::from(engine.prefill_rate),
    };
    if let CacheRetention::Hold(time) = choose_retention(cost) {
        let hold = rosethread_platform::CacheAction::Keep(time);
        send::apply_cache_action_detached(core, &owned.id, target, hold);
    }
}
