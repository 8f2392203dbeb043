//! Admits calls to owned programs.

use std::{sync::Arc, time::Duration};

use rosethread_config::ActiveDocument;
use rosethread_program::{Admission, CallDescriptor, Event, Exchange};
use rosethread_types::{Outcome, Reason, Refusal, Tokens};
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    call::{Answer, Call, CallEvent, Work},
    core::Core,
    feed::{CallStream, Feed},
    owner::{Owned, OwnedState, Tenure, create::class_of, journalling, run},
};

/// Tokens that a chat template adds to each message at most.
const TEMPLATE_TOKENS: Tokens = 8;

/// How long a refusal waits for the log to confirm the ownership.
const SYNC_TIME: Duration = Duration::from_millis(300);

/// When a caller should ask again while the log is unavailable.
const LOG_RETRY: Duration = Duration::from_secs(1);

/// What became of a call at its owner.
pub(crate) enum Served {
    /// The call's stream.
    Stream(CallStream),
    /// This node no longer owns the program.
    Lost,
}

/// A call whose tokens have been bounded.
pub(super) struct Bounded {
    pub(super) call: Call,
    /// Tokens that the call adds to the history at worst.
    pub(super) head: CallDescriptor,
    /// The most tokens to generate.
    pub(super) max_tokens: Tokens,
    pub(super) in_force: Arc<ActiveDocument>,
    /// When the call reached its owner.
    pub(super) arrived: Instant,
}

/// Serves a call of a program that this node owns.
pub(crate) async fn serve(core: &Arc<Core>, owned: &Arc<Owned>, call: Call) -> Served {
    let bare = bare_head(&call);
    match admit(core, owned, call).await {
        Ok(served) => served,
        Err(refusal) => {
            let refusal = owned.lock().program.correct_outcome(&bare, refusal);
            refuse(core, owned, bare.retry, refusal).await
        }
    }
}

/// Refuses a call, after making sure that this node may speak for the program.
///
/// Another copy of a retried call may be running at a successor that this node has not heard of,
/// and then "not run" would not be true.
async fn refuse(core: &Arc<Core>, owned: &Arc<Owned>, retry: bool, refusal: Refusal) -> Served {
    let mut refusal = refusal;
    if retry && refusal.outcome == Outcome::NotRun {
        let is_synced = timeout(SYNC_TIME, core.journal.catch_up()).await;
        if !matches!(is_synced, Ok(Ok(()))) {
            refusal.outcome = Outcome::Unknown;
        } else if !journalling::is_owner(core, owned) {
            owned.lose(core);
            return Served::Lost;
        }
    }
    Served::Stream(CallStream::of(vec![CallEvent::Refused(refusal)]))
}

/// Returns the head of a call whose content and cost do not matter.
fn bare_head(call: &Call) -> CallDescriptor {
    CallDescriptor::new(call.request.clone(), call.turn, call.work.is_prompted(), "", 0)
        .repeatable(call.repeatable)
        .retry(call.retry)
}

async fn admit(core: &Arc<Core>, owned: &Arc<Owned>, call: Call) -> Result<Served, Refusal> {
    let in_force = core.document()?;
    check_continuation(core, owned, &call)?;
    check_history(core, owned, &call)?;
    let bounded = bound(owned, call, in_force)?;
    let head = bounded.head.clone();
    let arrived = Instant::now();
    let early = arrived + Duration::from_millis(core.settings.limits.early_ms);
    let deadline = arrived + time_left(core, &bounded.call);
    loop {
        let changed = owned.changed.listen();
        if !journalling::is_owner(core, owned) {
            owned.lose(core);
            return Ok(Served::Lost);
        }
        let step = step(core, &mut owned.lock(), &head);
        match step {
            Step::Frozen => {
                let reason = Reason::NotOwner;
                let detail = "the program is being handed over";
                wait(changed, deadline, reason, detail).await?;
            }
            Step::Admission(Admission::Start) => return Ok(start(core, owned, bounded)),
            Step::Admission(Admission::Join) => return Ok(join(owned, &head)),
            Step::Admission(Admission::Replay(exchange)) => {
                return Ok(Served::Stream(replay(core, owned, &exchange, head.turn)));
            }
            Step::Admission(Admission::Wait) => {
                let detail = "an earlier turn has not finished";
                let refusal = wait(changed, early.min(deadline), Reason::EarlyTurn, detail);
                refusal.await?;
            }
            Step::Admission(Admission::ExtendLimit(limit)) => {
                let growing = timeout_at(deadline, grow(core, owned, limit)).await;
                growing.unwrap_or_else(|_| Err(not_journalled()))?;
            }
            Step::Admission(Admission::Refuse(refusal)) => return Err(refusal),
        }
    }
}

enum Step {
    Frozen,
    Admission(Admission),
}

fn step(core: &Core, state: &mut OwnedState, head: &CallDescriptor) -> Step {
    state.last_used = Instant::now();
    if state.frozen {
        return Step::Frozen;
    }
    Step::Admission(state.program.admit(head, core.clock.now_ms()))
}

/// Returns the time until a call's deadline.
pub(super) fn time_left(core: &Core, call: &Call) -> Duration {
    Duration::from_millis(call.deadline_ms.saturating_sub(core.clock.now_ms()))
}

/// Waits until the program changes, or refuses at `until`.
async fn wait(
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

fn check_continuation(core: &Core, owned: &Owned, call: &Call) -> Result<(), Refusal> {
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

/// Refuses a call whose program would outgrow `limits.history_bytes`.
fn check_history(core: &Core, owned: &Owned, call: &Call) -> Result<(), Refusal> {
    let limit = core.settings.limits.history_bytes;
    let (bytes, is_known) = {
        let history = &owned.lock().program.history;
        (
            history.size_bytes() + call.work.input().len(),
            history.find_request(&call.request).is_some(),
        )
    };
    // A finished call gets its kept answer, which adds nothing.
    if is_known || bytes <= limit {
        return Ok(());
    }
    let detail = format!("messages: the history would have {bytes} bytes; the limit is {limit}");
    Err(Refusal::not_run(Reason::LimitReached, detail))
}

/// Bounds the tokens of a call: its new input by bytes, its output by the class and the budget.
fn bound(owned: &Owned, call: Call, in_force: Arc<ActiveDocument>) -> Result<Bounded, Refusal> {
    let state = owned.lock();
    let class = class_of(&in_force.document, &state.program.grant)?;
    let (input, wanted) = match &call.work {
        Work::Model { messages, max_tokens } => {
            let wanted = max_tokens.unwrap_or(class.max_tokens);
            (input_bound(messages)?, wanted)
        }
        Work::Service { .. } => (0, 0),
    };
    let room = state.program.account.available().saturating_sub(input);
    let max_tokens = if room == 0 { wanted } else { wanted.min(room) };
    let worst = input + max_tokens;
    let prompted = call.work.is_prompted();
    let head =
        CallDescriptor::new(call.request.clone(), call.turn, prompted, call.work.input(), worst)
            .repeatable(call.repeatable)
            .retry(call.retry);
    drop(state);
    Ok(Bounded { call, head, max_tokens, in_force, arrived: Instant::now() })
}

/// Returns the most tokens that `messages` can have: no token is shorter than a byte.
fn input_bound(messages: &str) -> Result<Tokens, Refusal> {
    let parsed: Vec<serde_json::Value> = serde_json::from_str(messages).map_err(|it| {
        Refusal::not_run(Reason::BadRequest, format!("messages: must be a JSON array: {it}"))
    })?;
    if parsed.is_empty() {
        return Err(Refusal::not_run(Reason::BadRequest, "messages: must not be empty"));
    }
    Ok(messages.len() as Tokens + TEMPLATE_TOKENS * parsed.len() as Tokens)
}

fn start(core: &Arc<Core>, owned: &Arc<Owned>, bounded: Bounded) -> Served {
    let feed = Feed::new();
    owned.lock().feeds.insert(bounded.head.request.clone(), feed.clone());
    let reader = feed.subscribe();
    core.tasks.spawn(run::run(core.clone(), owned.clone(), bounded, feed));
    Served::Stream(CallStream::Local(reader))
}

fn join(owned: &Owned, head: &CallDescriptor) -> Served {
    let feed = owned.lock().feeds.get(&head.request).cloned();
    match feed {
        Some(feed) => Served::Stream(CallStream::Local(feed.subscribe())),
        None => Served::Lost,
    }
}

/// Returns the kept answer of a finished call.
fn replay(core: &Core, owned: &Owned, exchange: &Exchange, turn: u32) -> CallStream {
    let state = owned.lock();
    let answer = Answer {
        text: exchange.answer.clone(),
        turn,
        usage: exchange.usage,
        spent: state.program.account.spent,
        continuation: state.continuation(core),
    };
    let text = CallEvent::Text(exchange.answer.clone());
    CallStream::of(vec![text, CallEvent::Done(answer)])
}

/// Waits until the journal holds a larger limit for the program.
pub(super) async fn grow(
    core: &Arc<Core>,
    owned: &Arc<Owned>,
    limit: Tokens,
) -> Result<(), Refusal> {
    if !core.journal.is_log_reachable() {
        return Err(not_journalled());
    }
    let counts = journalling::record_and_wait(core, owned, Event::Reserved(limit)).await;
    match counts {
        Ok(true) => {
            owned.lock().program.account.confirm_limit(limit);
            Ok(())
        }
        Ok(false) => Err(Refusal::not_run(Reason::NotOwner, "another node owns the program")),
        Err(_) => Err(not_journalled()),
    }
}

fn not_journalled() -> Refusal {
    let detail = "the block of the budget that the journal holds is spent";
    Refusal::not_run(Reason::BudgetNotJournalled, detail).retry_after(LOG_RETRY)
}

/// Journals a larger limit ahead of need.
pub(super) fn grow_ahead(core: &Arc<Core>, owned: &Arc<Owned>) {
    let limit = {
        let state = owned.lock();
        let is_confirmed = matches!(state.tenure, Tenure::Confirmed(_));
        state.program.account.plan_limit().filter(|_| is_confirmed)
    };
    if let Some(limit) = limit {
        let (core, owned) = (core.clone(), owned.clone());
        core.tasks.clone().spawn(async move {
            // A refusal here is repeated to the call that needs the limit.
            let _ = grow(&core, &owned, limit).await;
        });
    }
}
