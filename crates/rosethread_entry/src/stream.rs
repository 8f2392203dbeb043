//! Passes a stream's events on as they come, and lets another target go on where one stops.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use futures::StreamExt;
use rosethread_types::{Reason, Refusal};
use slog::{info, warn};
use tokio::{sync::mpsc, time::timeout_at};

use crate::{
    call::{CallResponse, Job, ResponseBody, Sent, Tries, dispatch, may_have_run},
    chains::Turn,
    events::{Event, EventBuffer},
    history,
};

/// Events that wait for a caller who reads slowly.
const EVENT_BUFFER: usize = 32;

/// the stream was interrupted: {0}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct StreamInterrupted(pub String);

impl std::error::Error for StreamInterrupted {}

/// Waits for the first event, so that a target that fails before it can still be replaced, and
/// passes the stream on.
pub(crate) async fn open(job: Arc<Job>, tries: Tries, sent: Sent) -> Result<CallResponse, Refusal> {
    let status = sent.reply.status;
    let headers = sent.reply.headers.clone();
    let mut relay = Relay::new(job.clone(), tries, sent);
    let first = relay.next_event().await?;
    relay.first = Some(job.call.arrived.elapsed());
    let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
    job.entry.clone().tasks.spawn(relay.run(first, sender));
    Ok(CallResponse { status, headers, body: ResponseBody::Stream(receiver) })
}

/// One stream on its way.
struct Relay {
    job: Arc<Job>,
    tries: Tries,
    sent: Sent,
    buffer: EventBuffer,
    /// The number of the last event that was passed on.
    last: Option<u64>,
    /// The data of all events, where the route keeps it.
    output: Vec<u8>,
    /// The time to the first event.
    first: Option<Duration>,
}

impl Relay {
    fn new(job: Arc<Job>, tries: Tries, sent: Sent) -> Relay {
        let last = job.call.resume_after;
        Relay {
            job,
            tries,
            sent,
            buffer: EventBuffer::default(),
            last,
            output: Vec::new(),
            first: None,
        }
    }

    /// Passes events on until the end, and keeps the turn before the caller sees that end.
    async fn run(
        mut self,
        first: Option<Event>,
        sender: mpsc::Sender<Result<Bytes, StreamInterrupted>>,
    ) {
        let _guard = self.job.entry.count_call();
        let outcome = self.pass_on(first, &sender).await;
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(refusal) => {
                let interrupted = StreamInterrupted(refusal.detail.clone());
                // A caller who has gone needs no notice.
                let _ = sender.send(Err(interrupted)).await;
                info!(self.job.entry.logger, "call: interrupted"; "id" => %self.job.call.id,
                    "reason" => refusal.reason.code(), "detail" => &refusal.detail);
                "interrupted"
            }
        };
        let target = self.sent.target.name.clone();
        self.job.log_end(outcome, self.sent.reply.status, &target, &self.tries, self.first);
    }

    async fn pass_on(
        &mut self,
        first: Option<Event>,
        sender: &mpsc::Sender<Result<Bytes, StreamInterrupted>>,
    ) -> Result<&'static str, Refusal> {
        let mut next = first;
        while let Some(event) = next {
            self.job.count_tokens(self.job.event_tokens());
            self.remember(&event);
            if sender.send(Ok(event.bytes)).await.is_err() {
                return Ok("caller-left");
            }
            next = tokio::select! {
                biased;
                () = sender.closed() => return Ok("caller-left"),
                next = self.next_event() => next?,
            };
        }
        self.sent.in_flight.record_success();
        self.keep().await?;
        Ok("answered")
    }

    fn remember(&mut self, event: &Event) {
        if event.id.is_some() {
            self.last = event.id;
        }
        if self.job.route.history.is_some() {
            self.output.extend_from_slice(&event.data);
            self.output.push(b'\n');
        }
    }

    /// Returns the next event, from another target if need be, or nothing at the end.
    async fn next_event(&mut self) -> Result<Option<Event>, Refusal> {
        loop {
            if let Some(event) = self.buffer.next_event() {
                self.sent.in_flight.record_event();
                // A target that goes on may repeat what the caller has.
                let is_old = event.id.is_some() && event.id <= self.last;
                if is_old {
                    continue;
                }
                return Ok(Some(event));
            }
            let chunk = timeout_at(self.job.deadline, self.sent.reply.body.next()).await;
            let detail = match chunk {
                Ok(Some(Ok(bytes))) => match self.buffer.push(&bytes) {
                    Ok(()) => continue,
                    Err(error) => error.to_string(),
                },
                Ok(None) if !self.buffer.has_partial() => return Ok(None),
                Ok(None) => "the stream ended within an event".to_owned(),
                Ok(Some(Err(error))) => error,
                Err(_) => {
                    let detail = "the stream did not end before the deadline".to_owned();
                    let is_repeatable = self.job.route.is_repeatable();
                    return Err(may_have_run(is_repeatable, Reason::DeadlineExceeded, detail));
                }
            };
            self.go_on_elsewhere(&detail).await?;
        }
    }

    /// Opens the stream at another target, behind the last event that the caller has.
    async fn go_on_elsewhere(&mut self, detail: &str) -> Result<(), Refusal> {
        self.sent.in_flight.record_failure(self.job.entry.now());
        let target = self.sent.target.name.clone();
        self.tries.may_retry(&self.job, target, detail)?;
        let sent = dispatch(&self.job, &mut self.tries, self.last).await?;
        if !sent.reply.is_stream || sent.reply.status != 200 {
            let detail = format!("{} did not go on with the stream", sent.target.name);
            return Err(may_have_run(true, Reason::TargetFailed, detail));
        }
        self.sent = sent;
        self.buffer = EventBuffer::default();
        Ok(())
    }

    /// Writes the turn to the log, where the route keeps what was said.
    async fn keep(&mut self) -> Result<(), Refusal> {
        let job = &self.job;
        if job.route.history.is_none() {
            return Ok(());
        }
        // A chain that goes on from another program's holds all that was said there itself.
        let (previous, input) = if job.is_root {
            (None, &job.body)
        } else {
            (job.call.previous.clone(), &job.call.body)
        };
        let turn = Turn {
            id: job.call.id.clone(),
            previous,
            input: input.to_vec(),
            output: std::mem::take(&mut self.output),
        };
        let result = history::persist_turn(&job.entry, job.shard, turn, job.deadline).await;
        result.map_err(|error| {
            warn!(job.entry.logger, "history: a turn was not kept"; "id" => %job.call.id,
                "error" => %error);
            let detail = format!("the turn could not be kept: {error}");
            Refusal::unknown(Reason::JournalUnavailable, detail)
        })
    }
}
