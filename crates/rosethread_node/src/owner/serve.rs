//! Admits calls of programs that this node owns, and starts, joins or replays them.

use std::{sync::Arc, time::Duration};

use rosethread_config::ActiveDocument;
use rosethread_program::{Admission, CallDescriptor, Event, Exchange};
use rosethread_types::{Outcome, Reason, Refusal, Tokens};
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    call::{Answer, Call, CallEvent, CallPayload},
    core::Core,
    feed::{AnswerFeed, CallStream},
    owner::{OwnedProgram, OwnedState, Ownership, create::class_of, journalling, run},
};

/// The most tokens that an engine's chat template adds to a message.
const TEMPLATE_TOKENS: Tokens = 8;

/// How long the refusal of a retried call waits for the journal to catch up with the log.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);

/// Retry delay sent to callers while the log is unavailable.
const LOG_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The result of serving a call at the node that is believed to own its program.
pub(crate) enum ServeOutcome {
    /// The stream of the call's events, which may hold just a refusal.
    Stream(CallStream),
    /// This node no longer owns the program; the call has to be routed again.
    OwnershipLost,
}

/// A call with an upper bound on the tokens that it can consume.
pub(super) struct BoundedCall {
    pub(super) call: Call,
    /// Identifies the call for admission, with the most tokens that it can consume.
    pub(super) descriptor: CallDescriptor,
    /// The most tokens that the engine may generate.
    pub(super) max_tokens: Tokens,
    /// The document that was active when the call arrived.
    pub(super) active_document: Arc<ActiveDocument>,
    /// When the call reached its owner.
    pub(super) arrived: Instant,
}

/// Serves a call of a program that this node owns.
///
/// A refused call gets a stream that holds the refusal, with an outcome that accounts for earlier
/// attempts at the same request.
pub(crate) async fn serve(core: &Arc<Core>, owned: &Arc<OwnedProgram>, call: Call) -> ServeOutcome {
    let lookup = lookup_descriptor(&call);
    match admit(core, owned, call).await {
        Ok(served) => served,
        Err(refusal) => {
            let refusal = owned.lock().program.correct_outcome(&lookup, refusal);
            refuse(core, owned, lookup.retry, refusal).await
        }
    }
}

/// Refuses a call, after checking that this node still owns the program where that matters.
///
/// Another attempt at a retried call may be running at a new owner whose claim this node has not
/// read yet, so "not run" is reported only once the journal has caught up with the log.
async fn refuse(
    core: &Arc<Core>,
    owned: &Arc<OwnedProgram>,
    retry: bool,
    refusal: Refusal,
) -> ServeOutcome {
    let mut refusal = refusal;
    if retry && refusal.outcome == Outcome::NotRun {
        let caught_up = timeout(CATCH_UP_TIMEOUT, core.journal.catch_up()).await;
        if !matches!(caught_up, Ok(Ok(()))) {
            refusal.outcome = Outcome::Unknown;
        } else if !journalling::is_owner(core, owned) {
            owned.mark_lost(core);
            return ServeOutcome::OwnershipLost;
        }
    }
    ServeOutcome::Stream(CallStream::from_events(vec![CallEvent::Refused(refusal)]))
}

/// Returns a descriptor that identifies a call in the program's history, without content and cost.
fn lookup_descriptor(call: &Call) -> CallDescriptor {
    CallDescriptor::new(call.request.clone(), call.turn, call.work.is_prompted(), "", 0)
        .repeatable(call.repeatable)
        .retry(call.retry)
}

async fn admit(
    core: &Arc<Core>,
    owned: &Arc<OwnedProgram>,
    call: Call,
) -> Result<ServeOutcome, Refusal> {
    let active_document = core.document()?;
    check_continuation(core, owned, &call)?;
    check_history_size(core, owned, &call)?;
    let bounded = bound_tokens(owned, call, active_document)?;
    let descriptor = bounded.descriptor.clone();
    let arrived = Instant::now();
    let early_deadline = arrived + Duration::from_millis(core.settings.limits.early_ms);
    let deadline = arrived + time_left(core, &bounded.call);
    loop {
        let changed = owned.changed.listen();
        if !journalling::is_owner(core, owned) {
            owned.mark_lost(core);
            return Ok(ServeOutcome::OwnershipLost);
        }
        let step = next_step(core, &mut owned.lock(), &descriptor);
        match step {
            Step::HandingOver => {
                let reason = Reason::NotOwner;
                let detail = "the program is being handed over";
                wait_for_change(changed, deadline, reason, detail).await?;
            }
            Step::Admission(Admission::Start) => return Ok(start_call(core, owned, bounded)),
            Step::Admission(Admission::Join) => return Ok(join_running(owned, &descriptor)),
            Step::Admission(Admission::Replay(exchange)) => {
                return Ok(ServeOutcome::Stream(replay_answer(
                    core,
                    owned,
                    &exchange,
                    descriptor.turn,
                )));
            }
            Step::Admission(Admission::Wait) => {
                let detail = "an earlier turn has not finished";
                let refusal = wait_for_change(
                    changed,
                    early_deadline.min(deadline),
                    Reason::EarlyTurn,
                    detail,
                );
                refusal.await?;
            }
            Step::Admission(Admission::ExtendLimit(limit)) => {
                let extension = timeout_at(deadline, extend_limit(core, owned, limit)).await;
                extension.unwrap_or_else(|_| Err(limit_not_journalled()))?;
            }
            Step::Admission(Admission::Refuse(refusal)) => return Err(refusal),
        }
    }
}

/// What to do next with a call that waits for admission.
enum Step {
    /// The program is being handed over to another node, so no call starts.
    HandingOver,
    Admission(Admission),
}

fn next_step(core: &Core, state: &mut OwnedState, descriptor: &CallDescriptor) -> Step {
    state.last_used = Instant::now();
    if state.handing_over {
        return Step::HandingOver;
    }
    Step::Admission(state.program.admit(descriptor, core.clock.now_ms()))
}

/// Returns the time until a call's deadline.
pub(super) fn time_left(core: &Core, call: &Call) -> Duration {
    Duration::from_millis(call.deadline_ms.saturating_sub(core.clock.now_ms()))
}

/// Waits until the program changes, or refuses the call with `reason` at `until`.
async fn wait_for_change(
    changed: impl Future<Output = ()>,
    until: Instant,
    reason: Reason,
    detail: &str,
) -> Result<(), Refusal> {
    match timeout_at(until, changed).await {
        Ok(()) => Ok(()),
        Err(_) => Err(Refusal::not_run(reason, detail).retry_after(Duration::from_millis(200))),
    }
}

fn check_continuation(core: &Core, owned: &OwnedProgram, call: &Call) -> Result<(), Refusal> {
    let Some(text) = &call.continuation else {
        return Ok(());
    };
    let continuation = core
        .seal_keys
        .open(text)
        .map_err(|it| Refusal::not_run(Reason::BadContinuation, it.to_string()))?;
    let mut state = owned.lock();
    if continuation.grant == state.program.grant && !call.supplied.is_empty() {
        state.program.accept_history(&continuation, &call.supplied)?;
    }
    state.program.check_continuation(&continuation)
}

/// Refuses a call that would make the program's history larger than `limits.history_bytes`.
fn check_history_size(core: &Core, owned: &OwnedProgram, call: &Call) -> Result<(), Refusal> {
    let limit = core.settings.limits.history_bytes;
    let (bytes, is_known) = {
        let history = &owned.lock().program.history;
        (
            history.size_bytes() + call.work.input().len(),
            history.find_request(&call.request).is_some(),
        )
    };
    // A finished call is answered from the history and does not extend it.
    if is_known || bytes <= limit {
        return Ok(());
    }
    let detail = format!("messages: the history would have {bytes} bytes; the limit is {limit}");
    Err(Refusal::not_run(Reason::LimitReached, detail))
}

/// Bounds the tokens of a call: the new input by its size in bytes, the output by the class and
/// the budget.
fn bound_tokens(
    owned: &OwnedProgram,
    call: Call,
    active_document: Arc<ActiveDocument>,
) -> Result<BoundedCall, Refusal> {
    let state = owned.lock();
    let class = class_of(&active_document.document, &state.program.grant)?;
    let (input, requested) = match &call.work {
        CallPayload::Model { messages, max_tokens } => {
            let requested = max_tokens.unwrap_or(class.max_tokens);
            (max_input_tokens(messages)?, requested)
        }
        CallPayload::Service { .. } => (0, 0),
    };
    let available = state.program.account.available().saturating_sub(input);
    let max_tokens = if available == 0 { requested } else { requested.min(available) };
    let max_cost = input + max_tokens;
    let prompted = call.work.is_prompted();
    let descriptor =
        CallDescriptor::new(call.request.clone(), call.turn, prompted, call.work.input(), max_cost)
            .repeatable(call.repeatable)
            .retry(call.retry);
    drop(state);
    Ok(BoundedCall { call, descriptor, max_tokens, active_document, arrived: Instant::now() })
}

/// Returns an upper bound on the tokens of `messages`, given that a token has at least one byte.
fn max_input_tokens(messages: &str) -> Result<Tokens, Refusal> {
    let parsed: Vec<serde_json::Value> = serde_json::from_str(messages).map_err(|it| {
        Refusal::not_run(Reason::BadRequest, format!("messages: must be a JSON array: {it}"))
    })?;
    if parsed.is_empty() {
        return Err(Refusal::not_run(Reason::BadRequest, "messages: must not be empty"));
    }
    Ok(messages.len() as Tokens + TEMPLATE_TOKENS * parsed.len() as Tokens)
}

fn start_call(core: &Arc<Core>, owned: &Arc<OwnedProgram>, bounded: BoundedCall) -> ServeOutcome {
    let feed = AnswerFeed::new();
    owned.lock().feeds.insert(bounded.descriptor.request.clone(), feed.clone());
    let reader = feed.subscribe();
    core.tasks.spawn(run::run_call(core.clone(), owned.clone(), bounded, feed));
    ServeOutcome::Stream(CallStream::Local(reader))
}

fn join_running(owned: &OwnedProgram, descriptor: &CallDescriptor) -> ServeOutcome {
    let feed = owned.lock().feeds.get(&descriptor.request).cloned();
    match feed {
        Some(feed) => ServeOutcome::Stream(CallStream::Local(feed.subscribe())),
        None => ServeOutcome::OwnershipLost,
    }
}

/// Returns the stored answer of a finished call.
fn replay_answer(core: &Core, owned: &OwnedProgram, exchange: &Exchange, turn: u32) -> CallStream {
    let state = owned.lock();
    let answer = Answer {
        text: exchange.answer.clone(),
        turn,
        usage: exchange.usage,
        spent: state.program.account.spent,
        continuation: state.continuation(core),
    };
    let text = CallEvent::Text(exchange.answer.clone());
    CallStream::from_events(vec![text, CallEvent::Done(answer)])
}

/// Raises the limit up to which the program may spend tokens, and waits until it is journalled.
pub(super) async fn extend_limit(
    core: &Arc<Core>,
    owned: &Arc<OwnedProgram>,
    limit: Tokens,
) -> Result<(), Refusal> {
    if !core.journal.is_log_reachable() {
        return Err(limit_not_journalled());
    }
    let verdict = journalling::record_and_wait(core, owned, Event::Reserved(limit)).await;
    match verdict {
        Ok(true) => {
            owned.lock().program.account.confirm_limit(limit);
            Ok(())
        }
        Ok(false) => Err(Refusal::not_run(Reason::NotOwner, "another node owns the program")),
        Err(_) => Err(limit_not_journalled()),
    }
}

fn limit_not_journalled() -> Refusal {
    let detail = "the journalled part of the budget is used up, and the log takes no larger limit";
    Refusal::not_run(Reason::BudgetNotJournalled, detail).retry_after(LOG_RETRY_AFTER)
}

/// Journals a larger token limit in the background, before the present one is used up.
pub(super) fn extend_limit_ahead(core: &Arc<Core>, owned: &Arc<OwnedProgram>) {
    let limit = {
        let state = owned.lock();
        let is_confirmed = matches!(state.ownership, Ownership::Confirmed(_));
        state.program.account.plan_limit().filter(|_| is_confirmed)
    };
    if let Some(limit) = limit {
        let (core, owned) = (core.clone(), owned.clone());
        core.tasks.clone().spawn(async move {
            // A failure is ignored: the call that needs the limit tries again and reports it.
            let _ = extend_limit(&core, &owned, limit).await;
        });
    }
}
