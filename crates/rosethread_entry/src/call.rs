//! Serves one call from its arrival to its response, and defines the types of both.

mod access;
mod dispatch;
mod end;
mod prepare;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method};
use rosethread_types::{
    Outcome, ProgramLabel, PromptPart, Reason, Refusal, RequestId, SessionLabel, Tokens,
};
use slog::info;
use tokio::time::Instant;

use crate::{
    entry::Entry,
    organisations::{Credential, Identity},
    ports::TargetResponse,
    routes::Routes,
    stream::{self, EventReceiver},
    suspects,
};

pub(crate) use dispatch::{Attempts, Dispatched, dispatch};
pub(crate) use end::{Received, check_end};
pub(crate) use prepare::PreparedCall;

use prepare::OTHER_HOST_RETRY;

/// Size limit of a response that is buffered before it is forwarded, in bytes.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// The bytes of each response that may be buffered whatever the other responses need.
const SMALL_RESPONSE_BYTES: usize = 32 << 10;

/// Tokens of a prompt and of the output that it may generate, as the caller states them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptSize {
    /// Consecutive parts of the prompt, each with its number of tokens.
    pub parts: Vec<(PromptPart, Tokens)>,
    /// Tokens of the whole prompt, which the parts may cover only in part.
    pub input: Tokens,
    /// Limit on the generated tokens.
    pub max_output: Tokens,
}

impl PromptSize {
    /// Returns the tokens of the whole prompt: the larger of `input` and the sum of the parts.
    pub fn input_tokens(&self) -> Tokens {
        self.input.max(self.parts.iter().fold(0, |sum, it| it.1.saturating_add(sum)))
    }
}

/// The program that a call belongs to, and its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramContext {
    /// The program's identifier.
    pub program: ProgramLabel,
    /// The session, a sequence of dependent turns within the program.
    pub session: SessionLabel,
    /// Time within which the program should finish.
    pub finish_within: Option<Duration>,
    /// Limit on the tokens that all turns of the program generate together.
    pub budget: Option<Tokens>,
}

/// A call as received from a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// The caller's identifier for this attempt.
    pub id: RequestId,
    /// The HTTP method.
    pub method: Method,
    /// The host name in the request, which selects the route.
    pub host: Arc<str>,
    /// The path, including the query.
    pub path: Arc<str>,
    /// The headers to forward to the target.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Bytes,
    /// When the call arrived, from which its deadline counts.
    pub arrived: Instant,
    /// How long the caller waits; the route's timeout also applies.
    pub timeout: Option<Duration>,
    /// For a resumed stream, the identifier of the last event that the caller received.
    pub resume_after: Option<u64>,
    /// For a resumed stream, the attempt that brought its first event.
    pub resumes: Option<RequestId>,
    /// Size of the prompt, for calls to a model engine.
    pub prompt: Option<PromptSize>,
    /// The program that the call belongs to, if any.
    pub program: Option<ProgramContext>,
    /// The turn that this call continues, for routes that store the history of turns.
    pub previous: Option<RequestId>,
    /// `previous` as the caller names it, under which hosts of earlier releases stored the turns of
    /// organisations; `None` where it is not scoped.
    pub previous_unscoped: Option<RequestId>,
    /// The identifier under which hosts know this call as a turn: `id`, scoped to the organisation.
    pub turn: RequestId,
    /// The credential that the call carries.
    pub credential: Credential,
    /// On whose behalf the call is made, as follows from the credential.
    pub identity: Identity,
}

/// A target's response, as forwarded to the caller.
#[derive(Debug)]
pub struct CallResponse {
    /// The HTTP status.
    pub status: u16,
    /// The response headers.
    pub headers: HeaderMap,
    /// The response body.
    pub body: ResponseBody,
}

/// The body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body.
    Buffered(Bytes),
    /// Server-sent events as they arrive.
    Stream(EventReceiver),
}

impl Entry {
    /// Forwards a call to a target and returns the response, or the reason for a refusal.
    ///
    /// Dropping the future cancels the call and tells the target to stop.
    pub async fn serve(self: &Arc<Entry>, mut call: Call) -> Result<CallResponse, Refusal> {
        let _guard = self.count_call();
        let routes = self.routes();
        let identified = access::identify_caller(self, &routes, &mut call);
        let mut log_guard = CallLogGuard::new(self, &call);
        let result = match identified {
            Ok(()) => run_call(self, routes, call).await,
            Err(refusal) => Err(refusal),
        };
        log_guard.is_finished = true;
        if let Err(refusal) = &result {
            log_guard.log_refusal(refusal);
        }
        result
    }
}

/// Logs and counts a call that ends without a response from a target.
///
/// When a caller disconnects, the future that serves its call is dropped, and only the drop of this
/// guard can record it.
struct CallLogGuard {
    entry: Arc<Entry>,
    id: RequestId,
    program: Option<ProgramLabel>,
    previous: Option<RequestId>,
    identity: Identity,
    route: Arc<str>,
    arrived: Instant,
    is_finished: bool,
}

impl CallLogGuard {
    fn new(entry: &Arc<Entry>, call: &Call) -> CallLogGuard {
        let path = call.path.split('?').next().unwrap_or_default();
        let route = entry.routes().find(&call.host, path).map(|it| it.name.clone());
        CallLogGuard {
            entry: entry.clone(),
            id: call.id.clone(),
            program: call.program.as_ref().map(|it| it.program.clone()),
            previous: call.previous.clone(),
            identity: call.identity.clone(),
            route: route.unwrap_or_default(),
            arrived: call.arrived,
            is_finished: false,
        }
    }

    fn program(&self) -> &str {
        self.program.as_ref().map_or("", |it| it.as_str())
    }

    fn previous(&self) -> &str {
        self.previous.as_ref().map_or("", |it| it.as_str())
    }

    fn log_refusal(&self, refusal: &Refusal) {
        let outcome = match refusal.outcome {
            Outcome::NotRun => "not-run",
            Outcome::Failed => "failed",
            Outcome::Unknown => "unknown",
        };
        let (entry, time) = (&self.entry, self.arrived.elapsed());
        entry.metrics.observe_call("refused", outcome, time);
        info!(entry.logger, "call: refused"; "id" => %self.id, "program" => self.program(),
            "organisation" => self.identity.name(),
            "route" => &*self.route, "previous" => self.previous(), "outcome" => outcome,
            "reason" => refusal.reason.code(), "detail" => &refusal.detail,
            "retry_after_ms" => refusal.retry_after.map_or(0, |it| it.as_millis() as u64),
            "ms" => time.as_millis() as u64, "routes" => entry.routes().revision.0,
            "targets_age_ms" => entry.targets_age_ms());
    }
}

impl Drop for CallLogGuard {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let (entry, time) = (&self.entry, self.arrived.elapsed());
        entry.metrics.observe_call("left", "caller-left", time);
        info!(entry.logger, "call: caller left"; "id" => %self.id, "program" => self.program(),
            "route" => &*self.route, "previous" => self.previous(),
            "ms" => time.as_millis() as u64);
    }
}

/// Prepares and dispatches a call, unless this host has to end before.
async fn run_call(
    entry: &Arc<Entry>,
    routes: Arc<Routes>,
    call: Call,
) -> Result<CallResponse, Refusal> {
    suspects::refuse_deadly(entry, &call)?;
    let prepared = tokio::select! {
        biased;
        prepared = PreparedCall::prepare(entry, routes, call) => Arc::new(prepared?),
        () = entry.wait_for_cutoff() => return Err(leaving_refusal("this host stops".to_owned())),
    };
    let is_repeatable = prepared.route.is_repeatable();
    tokio::select! {
        biased;
        result = dispatch_call(entry, prepared) => result,
        () = entry.wait_for_cutoff() => Err(cutoff_refusal(is_repeatable)),
    }
}

/// Dispatches a call, and retries it if a buffered response breaks off.
async fn dispatch_call(
    entry: &Arc<Entry>,
    prepared: Arc<PreparedCall>,
) -> Result<CallResponse, Refusal> {
    entry.loads.observe_prompt(&prepared.service, &prepared.call, entry.now());
    let mut attempts = Attempts::default();
    loop {
        let mut dispatched =
            dispatch(&prepared, &mut attempts, prepared.call.resume_after, &prepared.allowed)
                .await?;
        if dispatched.response.is_stream && dispatched.response.status == 200 {
            return stream::open(prepared, attempts, dispatched).await;
        }
        let (status, headers) = (dispatched.response.status, dispatched.response.headers.clone());
        let target = dispatched.target.clone();
        let result = read_body(&prepared, &mut dispatched).await;
        let output_time = dispatched.in_flight.output_time();
        drop(dispatched);
        match result {
            Ok(body) => {
                suspects::clear_completed(&prepared);
                prepared.log_end("answered", status, &target, &attempts, None);
                return Ok(CallResponse { status, headers, body: ResponseBody::Buffered(body) });
            }
            Err(detail) => {
                attempts.retry_or_refuse(&prepared, target.name, output_time, &detail)?;
            }
        }
    }
}

/// Buffers a whole body, so that a failure is noticed before the caller sees any of it.
async fn read_body(prepared: &PreparedCall, dispatched: &mut Dispatched) -> Result<Bytes, String> {
    use futures::StreamExt;
    dispatched.in_flight.record_output();
    let is_doubtful = dispatched.response.has_doubtful_end();
    let TargetResponse { body, .. } = &mut dispatched.response;
    let mut buffered = bytes::BytesMut::new();
    let mut memory = prepared.entry.response_memory.reserve();
    loop {
        let chunk = tokio::time::timeout_at(prepared.deadline, body.next()).await;
        match chunk {
            Ok(Some(Ok(bytes))) if buffered.len() + bytes.len() <= MAX_BUFFERED_BYTES => {
                let needed = (buffered.len() + bytes.len()).saturating_sub(SMALL_RESPONSE_BYTES);
                if !memory.grow_to(needed) {
                    return Err("the responses in progress leave no memory for this one".to_owned());
                }
                buffered.extend_from_slice(&bytes);
            }
            Ok(Some(Ok(_))) => {
                dispatched.in_flight.record_failure(prepared.entry.now());
                return Err("the response exceeds the size limit".to_owned());
            }
            Ok(Some(Err(error))) => {
                dispatched.in_flight.record_failure(prepared.entry.now());
                return Err(error);
            }
            Ok(None) => {
                let received = if buffered.is_empty() { Received::Nothing } else { Received::Some };
                if is_doubtful
                    && let Err(detail) = check_end(prepared, &dispatched.target, received).await
                {
                    dispatched.in_flight.record_failure(prepared.entry.now());
                    return Err(detail);
                }
                dispatched.in_flight.record_success(prepared.entry.now());
                return Ok(buffered.freeze());
            }
            Err(_) => {
                dispatched.in_flight.record_failure(prepared.entry.now());
                return Err("the response was incomplete at the deadline".to_owned());
            }
        }
    }
}

/// Builds the refusal of a call that has not been sent and that this host may not live to answer.
fn leaving_refusal(detail: String) -> Refusal {
    Refusal::not_run(Reason::Leaving, detail).retry_after(OTHER_HOST_RETRY)
}

/// Builds the refusal of a call that may be running at a target when this host has to end.
pub(crate) fn cutoff_refusal(is_repeatable: bool) -> Refusal {
    uncertain_refusal(is_repeatable, Reason::Leaving, "this host stops".to_owned())
}

/// Builds the refusal of a call that may have run: `failed` if it is safe to run again, `unknown`
/// otherwise.
pub(crate) fn uncertain_refusal(is_repeatable: bool, reason: Reason, detail: String) -> Refusal {
    if is_repeatable { Refusal::failed(reason, detail) } else { Refusal::unknown(reason, detail) }
}
