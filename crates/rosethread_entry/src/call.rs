//! One call from its arrival to its answer.

mod dispatch;
mod job;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method};
use rosethread_types::{
    Outcome, ProgramLabel, PromptPart, Reason, Refusal, RequestId, SessionLabel, Tokens,
};
use slog::info;
use tokio::{sync::mpsc, time::Instant};

use crate::{
    entry::Entry,
    ports::TargetResponse,
    stream::{self, StreamInterrupted},
};

pub(crate) use dispatch::{Sent, Tries, dispatch};
pub(crate) use job::Job;

/// The largest answer that is read whole before it is passed on, in bytes.
const MAX_WHOLE: usize = 4 << 20;

/// The size of a prompt and of its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptSize {
    /// The parts of the prompt in order, with their tokens.
    pub parts: Vec<(PromptPart, Tokens)>,
    /// The tokens of the prompt, where the parts do not say.
    pub input: Tokens,
    /// The most tokens to generate.
    pub max_output: Tokens,
}

impl PromptSize {
    /// Returns the tokens of the whole prompt.
    pub fn input_tokens(&self) -> Tokens {
        self.input.max(self.parts.iter().map(|it| it.1).sum())
    }
}

/// The program that a call belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramContext {
    /// The program.
    pub program: ProgramLabel,
    /// The line of turns within it.
    pub session: SessionLabel,
    /// The time until the program should be finished.
    pub finish_within: Option<Duration>,
    /// The tokens that all turns of the program may generate.
    pub budget: Option<Tokens>,
}

/// One call as it arrived.
#[derive(Clone, Debug)]
pub struct Call {
    /// The caller's identifier of this attempt.
    pub id: RequestId,
    /// The HTTP method.
    pub method: Method,
    /// The host that it is for.
    pub host: Arc<str>,
    /// The path with its query.
    pub path: Arc<str>,
    /// The headers that go on to the target.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When it arrived.
    pub arrived: Instant,
    /// The time that the caller waits.
    pub timeout: Option<Duration>,
    /// The number of the last event that the caller has.
    pub resume_after: Option<u64>,
    /// The size of its prompt, if it has one.
    pub prompt: Option<PromptSize>,
    /// The program that it belongs to, if any.
    pub program: Option<ProgramContext>,
    /// The turn that it continues, where the system keeps what was said.
    pub previous: Option<RequestId>,
}

/// The answer of a target.
#[derive(Debug)]
pub struct CallResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: ResponseBody,
}

/// The body of an answer.
#[derive(Debug)]
pub enum ResponseBody {
    /// All of it.
    Buffered(Bytes),
    /// Its events as they come; an error means that the rest will not come.
    Stream(mpsc::Receiver<Result<Bytes, StreamInterrupted>>),
}

impl Entry {
    /// Serves a call.
    ///
    /// Dropping the future gives the call up and tells the target to stop.
    pub async fn serve(self: &Arc<Entry>, call: Call) -> Result<CallResponse, Refusal> {
        let _guard = self.count_call();
        let mut watch = Watch::new(self, &call);
        let result = run(self, call).await;
        watch.is_answered = true;
        if let Err(refusal) = &result {
            watch.log_refusal(refusal);
        }
        result
    }
}

/// What log lines say of a call that ends without a target's answer.
///
/// The future that serves a call is dropped when its caller leaves, and nothing else would tell.
struct Watch {
    entry: Arc<Entry>,
    id: RequestId,
    program: Option<ProgramLabel>,
    previous: Option<RequestId>,
    route: Arc<str>,
    arrived: Instant,
    is_answered: bool,
}

impl Watch {
    fn new(entry: &Arc<Entry>, call: &Call) -> Watch {
        let path = call.path.split('?').next().unwrap_or_default();
        let route = entry.routes().find(&call.host, path).map(|it| it.name.clone());
        Watch {
            entry: entry.clone(),
            id: call.id.clone(),
            program: call.program.as_ref().map(|it| it.program.clone()),
            previous: call.previous.clone(),
            route: route.unwrap_or_default(),
            arrived: call.arrived,
            is_answered: false,
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
            "route" => &*self.route, "previous" => self.previous(), "outcome" => outcome,
            "reason" => refusal.reason.code(), "detail" => &refusal.detail,
            "retry_after_ms" => refusal.retry_after.map_or(0, |it| it.as_millis() as u64),
            "ms" => time.as_millis() as u64, "routes" => entry.routes().revision.0,
            "targets_age_ms" => entry.targets_age_ms());
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let (entry, time) = (&self.entry, self.arrived.elapsed());
        entry.metrics.observe_call("left", "caller-left", time);
        info!(entry.logger, "call: caller left"; "id" => %self.id, "program" => self.program(),
            "route" => &*self.route, "previous" => self.previous(),
            "ms" => time.as_millis() as u64);
    }
}

async fn run(entry: &Arc<Entry>, call: Call) -> Result<CallResponse, Refusal> {
    let job = Arc::new(Job::prepare(entry, call).await?);
    let mut tries = Tries::default();
    loop {
        let sent = dispatch(&job, &mut tries, job.call.resume_after).await?;
        if sent.reply.is_stream && sent.reply.status == 200 {
            return stream::open(job, tries, sent).await;
        }
        let (status, headers) = (sent.reply.status, sent.reply.headers.clone());
        let target = sent.target.name.clone();
        match read_whole(&job, sent).await {
            Ok(body) => {
                job.log_end("answered", status, &target, &tries, None);
                return Ok(CallResponse { status, headers, body: ResponseBody::Buffered(body) });
            }
            Err(detail) => tries.may_retry(&job, target, &detail)?,
        }
    }
}

/// Reads a whole body, so that a broken one is noticed before the caller sees any of it.
async fn read_whole(job: &Job, mut sent: Sent) -> Result<Bytes, String> {
    use futures::StreamExt;
    let TargetResponse { body, .. } = &mut sent.reply;
    let mut whole = bytes::BytesMut::new();
    loop {
        let chunk = tokio::time::timeout_at(job.deadline, body.next()).await;
        match chunk {
            Ok(Some(Ok(bytes))) if whole.len() + bytes.len() <= MAX_WHOLE => {
                whole.extend_from_slice(&bytes);
            }
            Ok(Some(Ok(_))) => return Err("the answer is too large".to_owned()),
            Ok(Some(Err(error))) => {
                sent.in_flight.record_failure(job.entry.now());
                return Err(error);
            }
            Ok(None) => {
                sent.in_flight.record_success();
                return Ok(whole.freeze());
            }
            Err(_) => {
                sent.in_flight.record_failure(job.entry.now());
                return Err("the answer did not end before the deadline".to_owned());
            }
        }
    }
}

/// Returns the refusal of a call that may have run.
pub(crate) fn may_have_run(is_repeatable: bool, reason: Reason, detail: String) -> Refusal {
    if is_repeatable { Refusal::failed(reason, detail) } else { Refusal::unknown(reason, detail) }
}
