//! Forwards a stream of events to the caller, and fails over to another target if one breaks off.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use futures::StreamExt;
use rosethread_types::{Reason, Refusal, Tokens};
use slog::{info, warn};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    time::timeout_at,
};

use crate::{
    call::{
        Attempts, CallResponse, Dispatched, PreparedCall, Received, ResponseBody, check_end,
        cutoff_refusal, dispatch, uncertain_refusal,
    },
    events::{Event, EventBuffer},
    history,
    origins::{self, AllowedSoftware},
    sequence::{EventOrder, EventSequence},
    suspects,
    turns::FinishedTurn,
};

/// Number of events buffered for a caller who reads slowly. Reads from the target pause while the
/// buffer is full.
const CALLER_BUFFER_EVENTS: usize = 32;

/// Size in bytes up to which these events are buffered. A larger event is buffered alone.
const CALLER_BUFFER_BYTES: usize = 64 << 10;

/// The number of targets that have to say that a stream has no further event.
const CONFIRMED_ENDS: u32 = 2;

/// the stream was interrupted: {0}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct StreamInterrupted(pub String);

impl std::error::Error for StreamInterrupted {}

/// What the relay of a stream hands to the caller's side.
#[derive(Debug)]
enum StreamItem {
    /// An event, which holds its part of the buffer until the caller's side takes it.
    Event { bytes: Bytes, room: OwnedSemaphorePermit },
    /// The stream is complete.
    End,
    /// The stream has ended early.
    Interrupted(StreamInterrupted),
}

/// The events of one stream as they arrive.
///
/// The end of a stream is stated. A relay that is dropped, as by a panic or the end of its runtime, has
/// interrupted the stream.
#[derive(Debug)]
pub struct EventReceiver(mpsc::Receiver<StreamItem>);

impl EventReceiver {
    /// Waits for the next event, and returns `None` at the end of a complete stream. An error means that
    /// the stream has ended early.
    pub async fn next(&mut self) -> Option<Result<Bytes, StreamInterrupted>> {
        match self.0.recv().await {
            Some(StreamItem::Event { bytes, room }) => {
                drop(room);
                Some(Ok(bytes))
            }
            Some(StreamItem::End) => None,
            Some(StreamItem::Interrupted(error)) => Some(Err(error)),
            None => Some(Err(StreamInterrupted("its relay has ended".to_owned()))),
        }
    }
}

/// Waits for the first event, then starts a task that forwards the stream.
///
/// A target that fails before its first event is thus replaced before the caller gets a response.
pub(crate) async fn open(
    prepared: Arc<PreparedCall>,
    attempts: Attempts,
    dispatched: Dispatched,
) -> Result<CallResponse, Refusal> {
    let status = dispatched.response.status;
    let headers = dispatched.response.headers.clone();
    let mut relay = Relay::new(prepared.clone(), attempts, dispatched);
    let first_event = relay.next_event().await?;
    if first_event.is_some() {
        relay.record_start();
    }
    relay.first_latency = Some(prepared.call.arrived.elapsed());
    let (sender, receiver) = mpsc::channel(CALLER_BUFFER_EVENTS);
    prepared.entry.clone().tasks.spawn(relay.run(first_event, sender));
    Ok(CallResponse { status, headers, body: ResponseBody::Stream(EventReceiver(receiver)) })
}

/// Forwards one stream from its targets to the caller.
struct Relay {
    prepared: Arc<PreparedCall>,
    attempts: Attempts,
    dispatched: Dispatched,
    buffer: EventBuffer,
    /// What has come from the current target.
    received: Received,
    /// The versions of the software that may go on with the stream: the one that began it, once the
    /// caller has an event.
    allowed: AllowedSoftware,
    /// The numbers of the events forwarded to the caller.
    sequence: EventSequence,
    /// The number of targets that took the stream up and ended it without a further event.
    empty_ends: u32,
    /// Tokens of the events forwarded to the caller.
    tokens: Tokens,
    /// The data of all events, collected only if the route stores the history of turns.
    output: Vec<u8>,
    /// Time from the call's arrival to the first event.
    first_latency: Option<Duration>,
}

impl Relay {
    fn new(prepared: Arc<PreparedCall>, attempts: Attempts, dispatched: Dispatched) -> Relay {
        let sequence = EventSequence::new(prepared.call.resume_after);
        let allowed = prepared.allowed.clone();
        Relay {
            prepared,
            attempts,
            dispatched,
            buffer: EventBuffer::default(),
            received: Received::Nothing,
            allowed,
            sequence,
            empty_ends: 0,
            tokens: 0,
            output: Vec::new(),
            first_latency: None,
        }
    }

    /// Binds the stream to the version of the software that sends its first event.
    fn record_start(&mut self) {
        let software = self.dispatched.target.software.clone();
        self.allowed = AllowedSoftware::Only(software.clone());
        let PreparedCall { entry, call, service, .. } = &*self.prepared;
        origins::record_start(entry, call, service, software);
    }

    /// Forwards all events, stores the turn before the caller sees the end, and logs the outcome.
    async fn run(mut self, first_event: Option<Event>, sender: mpsc::Sender<StreamItem>) {
        let _guard = self.prepared.entry.count_call();
        let entry = self.prepared.entry.clone();
        let outcome = tokio::select! {
            biased;
            outcome = self.forward_events(first_event, &sender) => outcome,
            () = entry.wait_for_cutoff() => Err(cutoff_refusal(self.prepared.route.is_repeatable())),
        };
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(refusal) => {
                let interrupted = StreamInterrupted(refusal.detail.clone());
                // Sending fails only if the caller has disconnected.
                let _ = sender.send(StreamItem::Interrupted(interrupted)).await;
                info!(self.prepared.entry.logger, "call: interrupted";
                    "id" => %self.prepared.call.id, "reason" => refusal.reason.code(),
                    "detail" => &refusal.detail);
                "interrupted"
            }
        };
        self.prepared.log_end(
            outcome,
            self.dispatched.response.status,
            &self.dispatched.target,
            &self.attempts,
            self.first_latency,
        );
    }

    /// Forwards events until the stream ends or the caller disconnects, and returns the outcome.
    async fn forward_events(
        &mut self,
        first_event: Option<Event>,
        sender: &mpsc::Sender<StreamItem>,
    ) -> Result<&'static str, Refusal> {
        let buffer = Arc::new(Semaphore::new(CALLER_BUFFER_BYTES));
        let mut next = first_event;
        while let Some(event) = next {
            if !event.is_comment() {
                self.count_event()?;
                self.record_event(&event);
            }
            let bytes = event.bytes.len().min(CALLER_BUFFER_BYTES) as u32;
            let room = tokio::select! {
                biased;
                () = sender.closed() => return Ok("caller-left"),
                room = buffer.clone().acquire_many_owned(bytes) => room,
            };
            let room = room.expect("nothing closes the semaphore");
            if sender.send(StreamItem::Event { bytes: event.bytes, room }).await.is_err() {
                return Ok("caller-left");
            }
            next = tokio::select! {
                biased;
                () = sender.closed() => return Ok("caller-left"),
                next = self.next_event() => next?,
            };
        }
        let now = self.prepared.entry.now();
        self.dispatched.in_flight.record_success(now);
        suspects::clear_completed(&self.prepared);
        self.prepared.settle_grant();
        self.store_turn().await?;
        match sender.send(StreamItem::End).await {
            Ok(()) => Ok("answered"),
            Err(_) => Ok("caller-left"),
        }
    }

    /// Charges the tokens of an event to the turn, and ends the stream if they are more than the turn
    /// may generate. A target that sends events without end would use up the program's budget.
    fn count_event(&mut self) -> Result<(), Refusal> {
        let tokens = self.prepared.event_tokens();
        let max = self.prepared.call.prompt.as_ref().map_or(0, |it| it.max_output);
        if max != 0 && max <= self.tokens {
            self.dispatched.in_flight.record_failure(self.prepared.entry.now());
            let target = &self.dispatched.target.name;
            let detail = format!("{target} generated more than {max} tokens");
            return Err(uncertain_refusal(false, Reason::TargetFailed, detail));
        }
        self.tokens += tokens;
        self.prepared.count_tokens(tokens);
        Ok(())
    }

    /// Advances the position to resume from, and collects the event's data if the turn is stored.
    fn record_event(&mut self, event: &Event) {
        self.sequence.record(event.id);
        if self.prepared.route.history.is_some() {
            self.output.extend_from_slice(&event.data);
            self.output.push(b'\n');
        }
    }

    /// Returns the next event, or `None` at the end of the stream.
    ///
    /// Fails over to another target if the current one breaks off.
    async fn next_event(&mut self) -> Result<Option<Event>, Refusal> {
        loop {
            match self.buffer.next_event() {
                Ok(Some(event)) => {
                    self.dispatched.in_flight.record_event();
                    if event.is_comment() {
                        return Ok(Some(event));
                    }
                    match self.sequence.check(event.id) {
                        EventOrder::Next => {
                            self.received = Received::Some;
                            return Ok(Some(event));
                        }
                        // A target that resumes the stream may repeat events.
                        EventOrder::Repeated => (),
                        EventOrder::Missing => {
                            self.fail_over("the stream goes on with an event missing").await?;
                        }
                    }
                    continue;
                }
                Ok(None) => (),
                Err(error) => {
                    self.fail_over(&error.to_string()).await?;
                    continue;
                }
            }
            let chunk =
                timeout_at(self.prepared.deadline, self.dispatched.response.body.next()).await;
            let detail = match chunk {
                Ok(Some(Ok(bytes))) => match self.buffer.push(&bytes) {
                    Ok(()) => continue,
                    Err(error) => error.to_string(),
                },
                Ok(None) if self.buffer.has_partial() => {
                    "the stream ended in the middle of an event".to_owned()
                }
                Ok(None) => match self.check_end().await {
                    Ok(()) => return Ok(None),
                    // The caller may have all events, as the target states.
                    Err(detail) if self.states_no_event() => {
                        if self.fail_over(&detail).await.is_err() {
                            return Ok(None);
                        }
                        continue;
                    }
                    Err(detail) => detail,
                },
                Ok(Some(Err(error))) => error,
                Err(_) => {
                    let detail = "the stream did not end before the deadline".to_owned();
                    let is_repeatable = self.prepared.route.is_repeatable();
                    return Err(uncertain_refusal(is_repeatable, Reason::DeadlineExceeded, detail));
                }
            };
            self.fail_over(&detail).await?;
        }
    }

    /// Returns why the stream is not complete, though its target has ended it regularly.
    ///
    /// That a target takes a stream up and sends nothing further has to be confirmed by another one, if the
    /// call may be sent again.
    async fn check_end(&mut self) -> Result<(), String> {
        let resumes = self.sequence.last().is_some();
        if resumes && self.received == Received::Nothing {
            self.empty_ends += 1;
            if self.empty_ends < CONFIRMED_ENDS {
                return Err("the stream was taken up and ended without a further event".to_owned());
            }
        }
        if self.dispatched.response.has_doubtful_end() {
            let received = if resumes { Received::Some } else { self.received };
            check_end(&self.prepared, &self.dispatched.target, received).await?;
        }
        Ok(())
    }

    /// Returns whether the target has ended the stream without an event, and not by its connection alone.
    fn states_no_event(&self) -> bool {
        self.received == Received::Nothing && !self.dispatched.response.has_doubtful_end()
    }

    /// Resumes the stream at another target, after the last event that the caller has.
    async fn fail_over(&mut self, detail: &str) -> Result<(), Refusal> {
        self.dispatched.in_flight.record_failure(self.prepared.entry.now());
        let target = self.dispatched.target.name.clone();
        let output_time = self.dispatched.in_flight.output_time();
        // Otherwise the target works on while the next one takes the stream up.
        self.dispatched.response.cancel();
        self.attempts.retry_or_refuse(&self.prepared, target, output_time, detail)?;
        if !self.sequence.can_be_taken_up() {
            let detail = format!("{detail}, and its events have no numbers");
            return Err(uncertain_refusal(true, Reason::TargetFailed, detail));
        }
        let dispatched =
            dispatch(&self.prepared, &mut self.attempts, self.sequence.last(), &self.allowed)
                .await?;
        if !dispatched.response.is_stream || dispatched.response.status != 200 {
            let detail = format!("{} did not resume the stream", dispatched.target.name);
            return Err(uncertain_refusal(true, Reason::TargetFailed, detail));
        }
        self.dispatched = dispatched;
        self.buffer = EventBuffer::default();
        self.received = Received::Nothing;
        self.sequence.take_up();
        Ok(())
    }

    /// Writes the turn to the log, if the route stores the history of turns.
    async fn store_turn(&mut self) -> Result<(), Refusal> {
        let prepared = &self.prepared;
        if prepared.route.history.is_none() {
            return Ok(());
        }
        // A chain that branches off another program's turn stores a full copy of the history.
        let (previous, input) = if prepared.starts_chain {
            (None, &prepared.body)
        } else {
            (prepared.call.previous.clone(), &prepared.call.body)
        };
        let turn = FinishedTurn {
            id: prepared.call.turn.clone(),
            previous,
            input: input.to_vec(),
            output: std::mem::take(&mut self.output),
        };
        let result =
            history::persist_turn(&prepared.entry, prepared.shard, turn, prepared.deadline).await;
        result.map_err(|error| {
            warn!(prepared.entry.logger, "history: a turn was not kept"; "id" => %prepared.call.id,
                "error" => %error);
            let detail = format!("the turn could not be stored: {error}");
            Refusal::unknown(Reason::JournalUnavailable, detail)
        })
    }
}
