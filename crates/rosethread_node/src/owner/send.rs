//! Sends one attempt of a call to a target and reads the response.

use std::{sync::Arc, time::Duration};

use rosethread_config::{ObjectiveKind, Target};
use rosethread_platform::{
    CacheAction, EngineEvent, EngineRequest, EngineUsage, ExecutionStatus, ServiceRequest,
    TargetAddress, TargetError,
};
use rosethread_program::{History, Usage};
use rosethread_types::{AttemptId, ProgramId, Reason, ServiceName, Tokens};
use tokio::time::{Instant, timeout_at};

use crate::{
    call::CallPayload,
    core::Core,
    feed::AnswerFeed,
    owner::{OwnedProgram, serve::BoundedCall},
    slo::EventLabels,
};

/// The longest time between two events of an engine's stream before the attempt fails.
///
/// Also limits the call of a service whose target has no timeout.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A complete answer from a target.
pub(super) struct TargetAnswer {
    pub(super) text: String,
    pub(super) usage: Usage,
    pub(super) target: Target,
    /// Tokens that earlier, failed attempts may have generated.
    pub(super) discarded: Tokens,
}

/// An attempt that ended without a complete answer.
pub(super) struct AttemptFailure {
    /// Whether the target may have executed the attempt.
    pub(super) ran: ExecutionStatus,
    pub(super) reason: Reason,
    pub(super) detail: String,
    /// Whether another attempt could succeed.
    pub(super) is_retryable: bool,
    /// Tokens that the target may have generated: the limit of the attempt, or 0 if it did not run.
    pub(super) generated: Tokens,
}

/// Returns the address of a target.
pub(super) fn address(target: &Target) -> TargetAddress {
    TargetAddress { name: target.name.clone(), address: target.address }
}

/// Sends the call to `target`, passes its answer on to `feed` and updates the target's health.
pub(super) async fn send(
    core: &Arc<Core>,
    owned: &Arc<OwnedProgram>,
    bounded: &BoundedCall,
    target: &Target,
    feed: &Arc<AnswerFeed>,
    deadline: Instant,
) -> Result<TargetAnswer, AttemptFailure> {
    let started = Instant::now();
    core.dispatch.update_health(&target.name, |it| {
        it.outstanding += 1;
        it.breaker.record_start();
    });
    let result = match &bounded.call.work {
        CallPayload::Model { messages, .. } => {
            generate(core, owned, bounded, messages, target, feed, deadline).await
        }
        CallPayload::Service { service, path, body } => {
            let request = service_request(core, target, path, body, deadline);
            call_service(core, service, request, target, feed).await
        }
    };
    let now = core.now();
    core.dispatch.update_health(&target.name, |it| {
        it.outstanding = it.outstanding.saturating_sub(1);
        match &result {
            Ok(_) => it.record_success(started.elapsed()),
            Err(failure) if failure.reason == Reason::TargetFailed => it.record_failure(now),
            Err(_) => it.breaker.record_inconclusive(),
        }
    });
    result
}

async fn generate(
    core: &Arc<Core>,
    owned: &Arc<OwnedProgram>,
    bounded: &BoundedCall,
    messages: &str,
    target: &Target,
    feed: &Arc<AnswerFeed>,
    deadline: Instant,
) -> Result<TargetAnswer, AttemptFailure> {
    let attempt = core.random.next_attempt_id();
    let request = {
        let mut state = owned.lock();
        state.used_engines.insert(target.name.clone());
        EngineRequest {
            attempt,
            program: owned.id.clone(),
            epoch: state.epoch(),
            model: state.program.grant.model.clone(),
            messages: build_prompt(&state.program.history, messages),
            max_tokens: bounded.max_tokens,
            priority: priority(bounded, &state.program.grant.class),
        }
    };
    let address = address(target);
    let opening = timeout_at(deadline, core.targets.generate(&address, request)).await;
    let mut stream = match opening {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(attempt_failure(&error, bounded.max_tokens)),
        Err(_) => return Err(timed_out(bounded.max_tokens)),
    };
    let mut reader = StreamReader::new(attempt, bounded.max_tokens);
    loop {
        let event_deadline = deadline.min(Instant::now() + STREAM_IDLE_TIMEOUT);
        let event = match timeout_at(event_deadline, stream.recv()).await {
            Ok(Some(Ok(event))) => event,
            Ok(Some(Err(error))) => return Err(attempt_failure(&error, reader.max_tokens)),
            Ok(None) => {
                let error = TargetError::ResponseFailed("the stream ended early".to_owned());
                return Err(attempt_failure(&error, reader.max_tokens));
            }
            Err(_) if deadline <= Instant::now() => return Err(timed_out(reader.max_tokens)),
            Err(_) => return Err(attempt_failure(&TargetError::TimedOut, reader.max_tokens)),
        };
        observe_token(core, owned, bounded, target, reader.last_event);
        reader.last_event = Some(Instant::now());
        match reader.accept(event) {
            StreamItem::Misrouted => {
                let detail = "the engine sent text that belongs to another request";
                return Err(attempt_failure(
                    &TargetError::ResponseFailed(detail.to_owned()),
                    reader.max_tokens,
                ));
            }
            StreamItem::Text(text) => feed.push(&text).map_err(|it| AttemptFailure {
                ran: ExecutionStatus::Possible,
                reason: Reason::TargetFailed,
                detail: it.to_string(),
                is_retryable: false,
                generated: reader.max_tokens,
            })?,
            StreamItem::Done(usage) => {
                let text = feed.text();
                return Ok(TargetAnswer { text, usage, target: target.clone(), discarded: 0 });
            }
        }
    }
}

/// Reads and checks the stream of one attempt.
struct StreamReader {
    attempt: AttemptId,
    /// Tokens received so far.
    tokens: Tokens,
    max_tokens: Tokens,
    /// When the last event arrived.
    last_event: Option<Instant>,
}

/// What an event of an engine's stream means for the attempt.
enum StreamItem {
    /// The event belongs to another attempt: the engine has mixed up its clients.
    Misrouted,
    Text(String),
    Done(Usage),
}

impl StreamReader {
    fn new(attempt: AttemptId, max_tokens: Tokens) -> StreamReader {
        StreamReader { attempt, tokens: 0, max_tokens, last_event: None }
    }

    /// Interprets an event; the answer ends at the token limit, even if the engine goes on.
    fn accept(&mut self, event: EngineEvent) -> StreamItem {
        match event {
            EngineEvent::Text { attempt, .. } if attempt != self.attempt => StreamItem::Misrouted,
            EngineEvent::Text { tokens, .. } if self.max_tokens < tokens => {
                StreamItem::Done(Usage { completion: self.tokens, ..Usage::default() })
            }
            EngineEvent::Text { text, tokens, .. } => {
                self.tokens = tokens;
                StreamItem::Text(text)
            }
            // The token count differs from the tokens received, so this ends another attempt.
            EngineEvent::Done(usage) if usage.completion != self.tokens => StreamItem::Misrouted,
            EngineEvent::Done(usage) => StreamItem::Done(self.usage(usage)),
        }
    }

    fn usage(&self, reported: EngineUsage) -> Usage {
        Usage {
            prompt: reported.prompt,
            cached: reported.cached,
            completion: reported.completion.min(self.max_tokens),
        }
    }
}

/// Records the time to the first token, or the time since the previous one.
fn observe_token(
    core: &Core,
    owned: &OwnedProgram,
    bounded: &BoundedCall,
    target: &Target,
    last: Option<Instant>,
) {
    let class = owned.lock().program.grant.class.clone();
    let subject =
        EventLabels { class: &class, member: &owned.id.member, target: Some(&target.name) };
    let (kind, since) = match last {
        Some(last) => (ObjectiveKind::BetweenTokens, last),
        None => {
            core.metrics.observe_first_token(bounded.arrived.elapsed());
            (ObjectiveKind::FirstToken, bounded.arrived)
        }
    };
    let document = &bounded.active_document.document;
    core.objectives.observe_time(document, core.now(), kind, subject, since.elapsed());
}

/// Returns the prompt as a JSON array: the messages of the history and of this turn.
fn build_prompt(history: &History, messages: &str) -> String {
    let mut prompt = String::with_capacity(history.size_bytes() + messages.len() + 2);
    prompt.push('[');
    for exchange in history.exchanges().iter().filter(|it| it.prompted) {
        prompt.push_str(array_elements(&exchange.input));
        prompt.push_str(",{\"role\":\"assistant\",\"content\":");
        prompt.push_str(&serde_json::Value::from(exchange.answer.as_str()).to_string());
        prompt.push_str("},");
    }
    prompt.push_str(array_elements(messages));
    prompt.push(']');
    prompt
}

/// Returns the elements of a JSON array without its brackets.
fn array_elements(array: &str) -> &str {
    let trimmed = array.trim();
    trimmed.strip_prefix('[').and_then(|it| it.strip_suffix(']')).unwrap_or(trimmed)
}

fn priority(bounded: &BoundedCall, class: &rosethread_types::ClassName) -> i32 {
    bounded.active_document.document.class(class).map_or(0, |it| it.priority)
}

fn service_request(
    core: &Core,
    target: &Target,
    path: &str,
    body: &str,
    deadline: Instant,
) -> ServiceRequest {
    let longest =
        target.service().map_or(STREAM_IDLE_TIMEOUT, |it| Duration::from_millis(it.timeout_ms));
    ServiceRequest {
        attempt: core.random.next_attempt_id(),
        path: path.to_owned(),
        body: body.to_owned(),
        timeout: longest.min(deadline.saturating_duration_since(Instant::now())),
    }
}

async fn call_service(
    core: &Core,
    service: &ServiceName,
    request: ServiceRequest,
    target: &Target,
    feed: &Arc<AnswerFeed>,
) -> Result<TargetAnswer, AttemptFailure> {
    let reply = core.targets.call(&address(target), request).await;
    let reply = reply.map_err(|it| attempt_failure(&it, 0))?;
    if 500 <= reply.status {
        let error =
            TargetError::ResponseFailed(format!("{service} answered with {}", reply.status));
        return Err(attempt_failure(&error, 0));
    }
    if 400 <= reply.status {
        let detail = format!("{service} answered with {}: {}", reply.status, reply.body);
        return Err(attempt_failure(&TargetError::InvalidRequest(detail), 0));
    }
    // A service's body arrives complete, so a failed attempt has added no text that a later one
    // would have to match.
    feed.push(&reply.body).map_err(|it| AttemptFailure {
        ran: ExecutionStatus::Possible,
        reason: Reason::TargetFailed,
        detail: it.to_string(),
        is_retryable: false,
        generated: 0,
    })?;
    Ok(TargetAnswer {
        text: reply.body,
        usage: Usage::default(),
        target: target.clone(),
        discarded: 0,
    })
}

fn attempt_failure(error: &TargetError, generated: Tokens) -> AttemptFailure {
    let is_rejected = matches!(error, TargetError::InvalidRequest(_));
    AttemptFailure {
        ran: error.execution_status(),
        reason: if is_rejected { Reason::BadRequest } else { Reason::TargetFailed },
        detail: error.to_string(),
        is_retryable: !is_rejected,
        generated: if error.execution_status() == ExecutionStatus::NotStarted {
            0
        } else {
            generated
        },
    }
}

fn timed_out(generated: Tokens) -> AttemptFailure {
    AttemptFailure {
        ran: ExecutionStatus::Possible,
        reason: Reason::DeadlineExceeded,
        detail: "the target did not finish before the deadline".to_owned(),
        is_retryable: false,
        generated,
    }
}

/// Sends a cache action for a program to an engine in the background, ignoring errors.
pub(super) fn apply_cache_action_detached(
    core: &Arc<Core>,
    program: &ProgramId,
    target: &Target,
    action: CacheAction,
) {
    let (core, program, address) = (core.clone(), program.clone(), address(target));
    core.tasks.clone().spawn(async move {
        // An unreachable engine is retried by the periodic sweep once the program has ended.
        let _ = core.targets.apply_cache_action(&address, &program, action).await;
    });
}
