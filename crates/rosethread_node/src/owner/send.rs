//! Sends one attempt to a target and reads its answer.

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
    call::Work,
    core::Core,
    feed::Feed,
    owner::{Owned, serve::Bounded},
    slo::Subject,
};

/// The longest silence of an engine between two events.
const STREAM_SILENCE: Duration = Duration::from_secs(30);

/// A whole answer from a target.
pub(super) struct Finished {
    pub(super) text: String,
    pub(super) usage: Usage,
    pub(super) target: Target,
    /// Tokens that earlier attempts may have generated.
    pub(super) discarded: Tokens,
}

/// An attempt without a whole answer.
pub(super) struct Failure {
    pub(super) ran: ExecutionStatus,
    pub(super) reason: Reason,
    pub(super) detail: String,
    /// Whether another attempt may fare better.
    pub(super) is_retryable: bool,
    /// Tokens that the target may have generated: all that it was allowed, unless it did not run.
    pub(super) generated: Tokens,
}

/// Returns the address of a target.
pub(super) fn address(target: &Target) -> TargetAddress {
    TargetAddress { name: target.name.clone(), address: target.address }
}

/// Sends the call to `target` and feeds its answer on.
pub(super) async fn send(
    core: &Arc<Core>,
    owned: &Arc<Owned>,
    bounded: &Bounded,
    target: &Target,
    feed: &Arc<Feed>,
    deadline: Instant,
) -> Result<Finished, Failure> {
    let started = Instant::now();
    core.dispatch.update_health(&target.name, |it| {
        it.outstanding += 1;
        it.breaker.record_start();
    });
    let result = match &bounded.call.work {
        Work::Model { messages, .. } => {
            generate(core, owned, bounded, messages, target, feed, deadline).await
        }
        Work::Service { service, path, body } => {
            let request = request(core, target, path, body, deadline);
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
    owned: &Arc<Owned>,
    bounded: &Bounded,
    messages: &str,
    target: &Target,
    feed: &Arc<Feed>,
    deadline: Instant,
) -> Result<Finished, Failure> {
    let attempt = core.random.next_attempt_id();
    let request = {
        let mut state = owned.lock();
        state.touched.insert(target.name.clone());
        EngineRequest {
            attempt,
            program: owned.id.clone(),
            epoch: state.epoch(),
            model: state.program.grant.model.clone(),
            messages: prompt(&state.program.history, messages),
            max_tokens: bounded.max_tokens,
            priority: priority(bounded, &state.program.grant.class),
        }
    };
    let address = address(target);
    let opening = timeout_at(deadline, core.targets.generate(&address, request)).await;
    let mut stream = match opening {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(failure(&error, bounded.max_tokens)),
        Err(_) => return Err(out_of_time(bounded.max_tokens)),
    };
    let mut reading = Reading::new(attempt, bounded.max_tokens);
    loop {
        let silence = deadline.min(Instant::now() + STREAM_SILENCE);
        let event = match timeout_at(silence, stream.recv()).await {
            Ok(Some(Ok(event))) => event,
            Ok(Some(Err(error))) => return Err(failure(&error, reading.max_tokens)),
            Ok(None) => {
                let error = TargetError::ResponseFailed("the stream ended early".to_owned());
                return Err(failure(&error, reading.max_tokens));
            }
            Err(_) if deadline <= Instant::now() => return Err(out_of_time(reading.max_tokens)),
            Err(_) => return Err(failure(&TargetError::TimedOut, reading.max_tokens)),
        };
        observe_token(core, owned, bounded, target, reading.last);
        reading.last = Some(Instant::now());
        match reading.take(event) {
            Read::Foreign => {
                let detail = "the engine sent text that belongs to another request";
                return Err(failure(
                    &TargetError::ResponseFailed(detail.to_owned()),
                    reading.max_tokens,
                ));
            }
            Read::Text(text) => feed.push(&text).map_err(|it| Failure {
                ran: ExecutionStatus::Possible,
                reason: Reason::TargetFailed,
                detail: it.to_string(),
                is_retryable: false,
                generated: reading.max_tokens,
            })?,
            Read::Done(usage) => {
                let text = feed.text();
                return Ok(Finished { text, usage, target: target.clone(), discarded: 0 });
            }
        }
    }
}

/// How far an engine's stream has been read.
struct Reading {
    attempt: AttemptId,
    tokens: Tokens,
    max_tokens: Tokens,
    /// When the last event came.
    last: Option<Instant>,
}

enum Read {
    /// The event belongs to another attempt.
    Foreign,
    Text(String),
    Done(Usage),
}

impl Reading {
    fn new(attempt: AttemptId, max_tokens: Tokens) -> Reading {
        Reading { attempt, tokens: 0, max_tokens, last: None }
    }

    /// Takes an event; an engine that generates past its limit is cut there.
    fn take(&mut self, event: EngineEvent) -> Read {
        match event {
            EngineEvent::Text { attempt, .. } if attempt != self.attempt => Read::Foreign,
            EngineEvent::Text { tokens, .. } if self.max_tokens < tokens => {
                Read::Done(Usage { completion: self.tokens, ..Usage::default() })
            }
            EngineEvent::Text { text, tokens, .. } => {
                self.tokens = tokens;
                Read::Text(text)
            }
            // The end of another, shorter or longer answer.
            EngineEvent::Done(usage) if usage.completion != self.tokens => Read::Foreign,
            EngineEvent::Done(usage) => Read::Done(self.usage(usage)),
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

/// Counts the time to the first token, or from the token before.
fn observe_token(
    core: &Core,
    owned: &Owned,
    bounded: &Bounded,
    target: &Target,
    last: Option<Instant>,
) {
    let class = owned.lock().program.grant.class.clone();
    let subject = Subject { class: &class, member: &owned.id.member, target: Some(&target.name) };
    let (kind, since) = match last {
        Some(last) => (ObjectiveKind::BetweenTokens, last),
        None => {
            core.metrics.observe_first_token(bounded.arrived.elapsed());
            (ObjectiveKind::FirstToken, bounded.arrived)
        }
    };
    let document = &bounded.in_force.document;
    core.objectives.observe_time(document, core.now(), kind, subject, since.elapsed());
}

/// Returns the whole prompt: the history's messages and those of this turn.
fn prompt(history: &History, messages: &str) -> String {
    let mut prompt = String::with_capacity(history.size_bytes() + messages.len() + 2);
    prompt.push('[');
    for exchange in history.exchanges().iter().filter(|it| it.prompted) {
        prompt.push_str(elements(&exchange.input));
        prompt.push_str(",{\"role\":\"assistant\",\"content\":");
        prompt.push_str(&serde_json::Value::from(exchange.answer.as_str()).to_string());
        prompt.push_str("},");
    }
    prompt.push_str(elements(messages));
    prompt.push(']');
    prompt
}

/// Returns the elements of a JSON array without its brackets.
fn elements(array: &str) -> &str {
    let trimmed = array.trim();
    trimmed.strip_prefix('[').and_then(|it| it.strip_suffix(']')).unwrap_or(trimmed)
}

fn priority(bounded: &Bounded, class: &rosethread_types::ClassName) -> i32 {
    bounded.in_force.document.class(class).map_or(0, |it| it.priority)
}

fn request(
    core: &Core,
    target: &Target,
    path: &str,
    body: &str,
    deadline: Instant,
) -> ServiceRequest {
    let longest =
        target.service().map_or(STREAM_SILENCE, |it| Duration::from_millis(it.timeout_ms));
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
    feed: &Arc<Feed>,
) -> Result<Finished, Failure> {
    let reply = core.targets.call(&address(target), request).await;
    let reply = reply.map_err(|it| failure(&it, 0))?;
    if 500 <= reply.status {
        let error =
            TargetError::ResponseFailed(format!("{service} answered with {}", reply.status));
        return Err(failure(&error, 0));
    }
    if 400 <= reply.status {
        let detail = format!("{service} answered with {}: {}", reply.status, reply.body);
        return Err(failure(&TargetError::InvalidRequest(detail), 0));
    }
    // A service answers in one piece, so a second attempt does not have to repeat the first.
    feed.push(&reply.body).map_err(|it| Failure {
        ran: ExecutionStatus::Possible,
        reason: Reason::TargetFailed,
        detail: it.to_string(),
        is_retryable: false,
        generated: 0,
    })?;
    Ok(Finished { text: reply.body, usage: Usage::default(), target: target.clone(), discarded: 0 })
}

fn failure(error: &TargetError, generated: Tokens) -> Failure {
    let is_rejected = matches!(error, TargetError::InvalidRequest(_));
    Failure {
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

fn out_of_time(generated: Tokens) -> Failure {
    Failure {
        ran: ExecutionStatus::Possible,
        reason: Reason::DeadlineExceeded,
        detail: "the target did not finish before the deadline".to_owned(),
        is_retryable: false,
        generated,
    }
}

/// Changes the hold on a program's cache without waiting for it.
pub(super) fn release_detached(
    core: &Arc<Core>,
    program: &ProgramId,
    target: &Target,
    hold: CacheAction,
) {
    let (core, program, address) = (core.clone(), program.clone(), address(target));
    core.tasks.clone().spawn(async move {
        // An engine that cannot be reached now is swept later.
        let _ = core.targets.apply_cache_action(&address, &program, hold).await;
    });
}
