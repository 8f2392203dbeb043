//! Runs one admitted call to its end.

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
    call::{Answer, Work},
    core::Core,
    dispatch::{Held, Ticket, acquire},
    feed::Feed,
    owner::{
        Owned,
        create::class_of,
        journalling,
        place::{self, Chosen, Need, Prompt},
        send::{self, Failure, Finished},
        serve::{Bounded, grow, grow_ahead, time_left},
        strategy,
    },
    slo::Subject,
};

/// How long a queued call outlives its last caller, who may come back.
const ABANDONED: Duration = Duration::from_secs(2);

/// The pressure from which an engine is told to keep a program's cache.
const HOLD_PRESSURE: f64 = 0.5;

/// How old the last read of the log may be when a call is sent to a target.
///
/// It is shorter than the time in which a silent node is declared dead, so a node that wakes from
/// a long pause reads the claims made meanwhile before it sends anything.
const FRESHNESS: Duration = Duration::from_millis(1_500);

/// The pause expected between two calls before anything is known, in seconds.
const EXPECTED_PAUSE_S: f64 = 5.0;

/// A call without an answer, and what it cost all the same.
struct Loss {
    refusal: Refusal,
    cost: Tokens,
}

impl From<Refusal> for Loss {
    fn from(refusal: Refusal) -> Loss {
        Loss { refusal, cost: 0 }
    }
}

/// Runs a call that has been admitted, and settles it.
pub(super) async fn run(core: Arc<Core>, owned: Arc<Owned>, bounded: Bounded, feed: Arc<Feed>) {
    let _guard = core.count_call();
    let arrived = Instant::now();
    let member = owned.id.member.clone();
    let is_counted = start_limits(&core, &bounded);
    let result = match &is_counted {
        Ok(()) => execute(&core, &owned, &bounded, &feed).await,
        Err(refusal) => Err(refusal.clone().into()),
    };
    if is_counted.is_ok() {
        core.limits.end(&member);
    }
    let result = settle(&core, &owned, &bounded, result);
    observe_end(&core, &owned, &bounded, arrived, &result);
    feed.finish(result);
    owned.notify();
    grow_ahead(&core, &owned);
}

fn observe_end(
    core: &Core,
    owned: &Owned,
    bounded: &Bounded,
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
    let subject = Subject { class: &class, member, target: target.as_ref() };
    let document = &bounded.in_force.document;
    core.objectives.observe_end(document, core.now(), subject, result.is_ok());
}

fn start_limits(core: &Core, bounded: &Bounded) -> Result<(), Refusal> {
    let Some(member) = bounded.in_force.document.member(&bounded.call.program.member) else {
        let detail = "the member is no longer in the document";
        return Err(Refusal::not_run(Reason::Forbidden, detail));
    };
    let part = limit_part(core);
    core.limits.start(member, core.now(), part, bounded.head.max_cost)
}

/// Returns this node's part of all members' limits, by its part of the calls under way.
fn limit_part(core: &Core) -> f64 {
    let view = core.view();
    let nodes = view.live().count();
    let total: u32 = view.live().map(|it| it.summary.calls).sum();
    let own = view.get(core.me()).map_or(0, |it| it.summary.calls);
    rosethread_policy::local_share(f64::from(own), f64::from(total), nodes)
}

async fn execute(
    core: &Arc<Core>,
    owned: &Arc<Owned>,
    bounded: &Bounded,
    feed: &Arc<Feed>,
) -> Result<Finished, Loss> {
    let deadline = Instant::now() + time_left(core, &bounded.call);
    let class = class_of(&bounded.in_force.document, &owned.lock().program.grant)?.clone();
    if !bounded.call.repeatable {
        announce(core, owned, bounded, deadline).await?;
    }
    if class.history == HistoryStorage::Caller && bounded.head.turn != 0 {
        journalling::record_detached(core, owned, Event::Acknowledged(bounded.head.turn));
    }
    let mut cost = 0;
    for attempt in 0.. {
        let may_have_run = attempt != 0;
        let slot = take_active_slot(core, owned, bounded, &class, deadline, feed).await;
        let (chosen, held) = slot.map_err(|it| Loss { refusal: weaken(it, may_have_run), cost })?;
        core.journal.wait_until_fresh(FRESHNESS).await;
        if !journalling::is_owner(core, owned) {
            let refusal = Refusal::not_run(Reason::NotOwner, "another node owns the program");
            return Err(Loss { refusal: weaken(refusal, may_have_run), cost });
        }
        let sent = send::send(core, owned, bounded, &chosen.target, feed, deadline).await;
        drop(held);
        let failure = match sent {
            Ok(finished) => return Ok(Finished { discarded: cost, ..finished }),
            Err(failure) => failure,
        };
        cost += failure.generated;
        if !may_retry(core, bounded, &class, &chosen, &failure, attempt) {
            return Err(Loss { refusal: give_up(bounded, &failure, may_have_run), cost });
        }
        let delay = backoff(attempt, core.random.next_f64());
        if timeout_at(deadline, sleep(delay)).await.is_err() {
            return Err(Loss { refusal: give_up(bounded, &failure, may_have_run), cost });
        }
        if let Err(refusal) = hold_more(core, owned, bounded, failure.generated, deadline).await {
            return Err(Loss { refusal: weaken(refusal, true), cost });
        }
        feed.restart();
    }
    unreachable!("attempts end by success or by giving up")
}

/// Holds the tokens that a failed attempt has used up, so that the next one is covered too.
async fn hold_more(
    core: &Arc<Core>,
    owned: &Arc<Owned>,
    bounded: &Bounded,
    tokens: Tokens,
    deadline: Instant,
) -> Result<(), Refusal> {
    loop {
        let held = owned.lock().program.hold_more(&bounded.head.request, tokens);
        let limit = match held {
            Ok(()) => return Ok(()),
            Err(BudgetError::LimitNotJournalled { limit }) => limit,
            Err(it) => return Err(Refusal::not_run(Reason::BudgetSpent, it.to_string())),
        };
        let growing = timeout_at(deadline, grow(core, owned, limit)).await;
        growing.unwrap_or_else(|_| {
            let detail = "the log did not take a larger limit before the deadline";
            Err(Refusal::not_run(Reason::BudgetNotJournalled, detail))
        })?;
    }
}

/// Journals the intent of a call that must not be repeated, and waits until it counts.
async fn announce(
    core: &Arc<Core>,
    owned: &Arc<Owned>,
    bounded: &Bounded,
    deadline: Instant,
) -> Result<(), Refusal> {
    let event = Event::Intended(bounded.head.request.clone());
    let waiting = journalling::record_and_wait(core, owned, event);
    match timeout_at(deadline, waiting).await {
        Ok(Ok(true)) => Ok(()),
        Ok(Ok(false)) => Err(Refusal::not_run(Reason::NotOwner, "another node owns the program")),
        Ok(Err(_)) | Err(_) => {
            let detail = "the log did not take the intent before the deadline";
            let refusal = Refusal::not_run(Reason::JournalUnavailable, detail);
            Err(refusal.retry_after(Duration::from_secs(1)))
        }
    }
}

/// Takes slots until one belongs to a target that is still in service.
async fn take_active_slot(
    core: &Arc<Core>,
    owned: &Arc<Owned>,
    bounded: &Bounded,
    class: &Class,
    deadline: Instant,
    feed: &Arc<Feed>,
) -> Result<(Chosen, Held), Refusal> {
    loop {
        let (chosen, held) = take_slot(core, owned, bounded, class, deadline, feed).await?;
        let in_force = core.document()?;
        let target = in_force.document.target(&chosen.target.name);
        if target.is_some_and(|it| it.state == TargetState::Active) {
            return Ok((chosen, held));
        }
    }
}

/// Chooses a target and waits for one of its slots.
async fn take_slot(
    core: &Arc<Core>,
    owned: &Arc<Owned>,
    bounded: &Bounded,
    class: &Class,
    deadline: Instant,
    feed: &Arc<Feed>,
) -> Result<(Chosen, Held), Refusal> {
    let chosen = choose(core, owned, bounded, class)?;
    if strategy(&bounded.in_force.document) == Strategy::Adaptive {
        let is_underway = 0 < bounded.head.turn;
        let demand = AdmissionRequest { deadline: deadline - Instant::now(), is_underway };
        let forecast = Forecast { wait_s: chosen.wait_s, service_s: chosen.service_s };
        admit(demand, forecast).map_err(|retry| {
            let detail = "the deadline cannot be met";
            Refusal::not_run(Reason::Overloaded, detail).retry_after(retry)
        })?;
    }
    let ticket = ticket(owned, bounded, class);
    let abandoned = async {
        loop {
            feed.abandoned().await;
            sleep(ABANDONED).await;
            if feed.is_abandoned() {
                return;
            }
        }
    };
    tokio::select! {
        biased;
        held = acquire(core, &chosen.target, ticket) => Ok((chosen, held)),
        () = tokio::time::sleep_until(deadline) => {
            let detail = "no slot was free before the deadline";
            let refusal = Refusal::not_run(Reason::DeadlineExceeded, detail);
            Err(refusal.retry_after(Duration::from_secs(1)))
        }
        () = abandoned => {
            Err(Refusal::not_run(Reason::Cancelled, "the caller has gone"))
        }
    }
}

fn choose(core: &Core, owned: &Owned, bounded: &Bounded, class: &Class) -> Result<Chosen, Refusal> {
    // The document in force now, since the call may have waited through a change.
    let in_force = core.document()?;
    let document = &in_force.document;
    let (model, cached, history) = {
        let state = owned.lock();
        let history = state.program.history.context_tokens();
        (state.program.grant.model.clone(), state.cached.clone(), history)
    };
    let (need, tokens) = match &bounded.call.work {
        Work::Model { .. } => (Need::Model(&model), history + bounded.head.max_cost),
        Work::Service { service, .. } => (Need::Service(service), 0),
    };
    let prompt = Prompt { tokens, cached: cached.as_ref() };
    place::choose(core, document, need, &owned.id.member, Some(class), prompt)
}

fn ticket(owned: &Owned, bounded: &Bounded, class: &Class) -> Ticket {
    let member = &owned.id.member;
    let share = bounded.in_force.document.member(member).map_or(1, |it| it.share);
    Ticket {
        member: member.clone(),
        share,
        priority: class.priority,
        reserved: class.reserved,
        tokens: bounded.head.max_cost,
    }
}

fn may_retry(
    core: &Core,
    bounded: &Bounded,
    class: &Class,
    chosen: &Chosen,
    failure: &Failure,
    attempt: u32,
) -> bool {
    let is_safe = bounded.call.repeatable || failure.ran == ExecutionStatus::NotStarted;
    if !is_safe || !failure.is_retryable || class.retries <= attempt {
        return false;
    }
    core.dispatch.update_health(&chosen.target.name, |it| it.retry_budget.try_take())
}

/// Returns the final refusal of a call whose last attempt failed.
fn give_up(bounded: &Bounded, failure: &Failure, may_have_run: bool) -> Refusal {
    let refusal = match failure.ran {
        ExecutionStatus::NotStarted => Refusal::not_run(failure.reason, failure.detail.clone()),
        ExecutionStatus::Possible if bounded.call.repeatable => {
            Refusal::failed(failure.reason, failure.detail.clone())
        }
        ExecutionStatus::Possible => Refusal::unknown(failure.reason, failure.detail.clone()),
    };
    weaken(refusal, may_have_run).retry_after(Duration::from_millis(500))
}

/// Replaces "not run" by "failed" where an earlier attempt may have run.
fn weaken(refusal: Refusal, may_have_run: bool) -> Refusal {
    if may_have_run && refusal.outcome == Outcome::NotRun {
        return Refusal { outcome: Outcome::Failed, ..refusal };
    }
    refusal
}

/// Brings the program's state up to date with the call's end, and returns the caller's answer.
fn settle(
    core: &Arc<Core>,
    owned: &Arc<Owned>,
    bounded: &Bounded,
    result: Result<Finished, Loss>,
) -> Result<Answer, Refusal> {
    let is_owner = journalling::is_owner(core, owned);
    match result {
        Ok(_) if !is_owner && bounded.call.repeatable => {
            settle_loss(core, owned, bounded, Outcome::Failed, 0);
            let detail = "another node took the program over during the call";
            Err(Refusal::unknown(Reason::NotOwner, detail))
        }
        Ok(_) if !owned.lock().program.is_executing(&bounded.head.request) => {
            owned.lock().feeds.remove(&bounded.head.request);
            let detail = "the caller supplied this turn while it was running";
            Err(Refusal::unknown(Reason::Cancelled, detail))
        }
        Ok(finished) => Ok(settle_answer(core, owned, bounded, finished)),
        Err(loss) => {
            settle_loss(core, owned, bounded, loss.refusal.outcome, loss.cost);
            Err(owned.lock().program.correct_outcome(&bounded.head, loss.refusal))
        }
    }
}

fn settle_loss(
    core: &Arc<Core>,
    owned: &Arc<Owned>,
    bounded: &Bounded,
    outcome: Outcome,
    cost: Tokens,
) {
    let request = &bounded.head.request;
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
    owned: &Arc<Owned>,
    bounded: &Bounded,
    finished: Finished,
) -> Answer {
    let request = &bounded.head.request;
    let (event, answer) = {
        let mut state = owned.lock();
        state.feeds.remove(request);
        let is_prompted = bounded.call.work.is_prompted();
        let known = state.program.history.context_tokens();
        let cost = if is_prompted {
            finished.usage.prompt.saturating_sub(known) + finished.usage.completion
        } else {
            0
        };
        let exchange = Exchange {
            request: request.clone(),
            input: bounded.call.work.input().to_owned(),
            answer: finished.text.clone(),
            prompted: is_prompted,
            usage: finished.usage,
        };
        let turn = state.program.history.next_turn();
        let cost = cost.min(bounded.head.max_cost) + finished.discarded;
        let event = state.program.finish(request, CallOutcome::Answered { exchange, cost });
        if is_prompted {
            let tokens = finished.usage.prompt + finished.usage.completion;
            state.cached = Some((finished.target.name.clone(), tokens));
        }
        let answer = Answer {
            text: finished.text,
            turn,
            usage: finished.usage,
            spent: state.program.account.spent,
            continuation: state.continuation(core),
        };
        (event, answer)
    };
    if let Some(event) = event {
        journalling::record_detached(core, owned, lighten(owned, bounded, event));
    }
    hold_cache(core, owned, &finished.target, finished.usage);
    answer
}

/// Leaves the exchange out of the journal where the class has callers keep it.
///
/// A call that must not be repeated is always journalled whole, since its answer is the only one.
fn lighten(owned: &Owned, bounded: &Bounded, event: Event) -> Event {
    let state = owned.lock();
    let class = class_of(&bounded.in_force.document, &state.program.grant);
    let by_caller = class.is_ok_and(|it| it.history == HistoryStorage::Caller);
    match event {
        Event::Finished { turn, spent, .. } if by_caller && bounded.call.repeatable => {
            Event::Finished { turn, spent, exchange: None }
        }
        event => event,
    }
}

/// Tells an engine under pressure to keep the program's cache through the pause that follows.
fn hold_cache(
    core: &Arc<Core>,
    owned: &Arc<Owned>,
    target: &rosethread_config::Target,
    usage: Usage,
) {
    let Some(engine) = target.engine() else {
        return;
    };
    let is_adaptive = strategy(&core.document.borrow().document) == Strategy::Adaptive;
    let pressure = core.dispatch.update_health(&target.name, |it| it.pressure);
    if !is_adaptive || pressure < HOLD_PRESSURE {
        return;
    }
    let cost = PauseForecast {
        expected_s: EXPECTED_PAUSE_S,
        cached_tokens: usage.prompt + usage.completion,
        pressure,
        memory_tokens: engine.memory,
        prefill_rate: f64::from(engine.prefill_rate),
    };
    if let CacheRetention::Hold(time) = choose_retention(cost) {
        let hold = rosethread_platform::CacheAction::Keep(time);
        send::release_detached(core, &owned.id, target, hold);
    }
}
