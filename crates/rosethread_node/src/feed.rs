//! The answer to a running call, broadcast to all its readers.
//!
//! The text is buffered from its start, so a caller that joins late or reconnects gets the complete
//! answer, and a slow caller does not delay the others.

use std::sync::{Arc, Mutex, MutexGuard};

use displaydoc::Display;
use rosethread_types::Refusal;
use tokio::sync::mpsc;

use crate::{
    call::{Answer, CallEvent},
    signal::Signal,
};

/// A retried attempt produced other text than callers have already received.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct AnswerMismatch;

impl std::error::Error for AnswerMismatch {}

/// Assembles the text of one answer from several attempts.
///
/// After a restart the new attempt must repeat the earlier text byte for byte before it extends it.
#[derive(Debug, Default)]
pub struct TextAssembler {
    text: String,
    /// The length in bytes of what the current attempt has produced.
    position: usize,
}

impl TextAssembler {
    /// Returns the text so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Starts the next attempt, which repeats the text from its beginning.
    pub fn restart(&mut self) {
        self.position = 0;
    }

    /// Adds the next part of the current attempt and returns the text that goes beyond the earlier
    /// attempts, which may be empty.
    pub fn push(&mut self, part: &str) -> Result<String, AnswerMismatch> {
        let known = &self.text[self.position..];
        if part.len() <= known.len() {
            if !known.starts_with(part) {
                return Err(AnswerMismatch);
            }
            self.position += part.len();
            return Ok(String::new());
        }
        let Some(new_text) = part.strip_prefix(known) else {
            return Err(AnswerMismatch);
        };
        let new_text = new_text.to_owned();
        self.text.push_str(&new_text);
        self.position = self.text.len();
        Ok(new_text)
    }
}

#[derive(Default)]
struct FeedState {
    assembler: TextAssembler,
    result: Option<Result<Answer, Refusal>>,
    readers: usize,
}

/// The answer to one running call.
#[derive(Default)]
pub struct AnswerFeed {
    state: Mutex<FeedState>,
    /// Raised when the text grows or the call ends.
    changed: Signal,
    /// Raised when the last reader is dropped.
    readers_gone: Signal,
}

impl AnswerFeed {
    /// Returns an empty feed.
    pub fn new() -> Arc<AnswerFeed> {
        Arc::default()
    }

    fn state(&self) -> MutexGuard<'_, FeedState> {
        self.state.lock().expect("no code panics while it holds the feed")
    }

    /// Adds text from the current attempt.
    ///
    /// Fails if it differs from the text of an earlier attempt.
    pub fn push(&self, part: &str) -> Result<(), AnswerMismatch> {
        let new_text = self.state().assembler.push(part)?;
        if !new_text.is_empty() {
            self.changed.raise();
        }
        Ok(())
    }

    /// Starts the next attempt, which repeats the text from its beginning.
    pub fn restart(&self) {
        self.state().assembler.restart();
    }

    /// Returns the text so far.
    pub fn text(&self) -> String {
        self.state().assembler.text().to_owned()
    }

    /// Ends the feed with the result of the call, which each reader gets after the text.
    pub fn finish(&self, result: Result<Answer, Refusal>) {
        self.state().result = Some(result);
        self.changed.raise();
    }

    /// Waits until the feed has no readers.
    pub async fn abandoned(&self) {
        loop {
            let readers_gone = self.readers_gone.listen();
            if self.is_abandoned() {
                return;
            }
            readers_gone.await;
        }
    }

    /// Returns whether the feed has no readers at present.
    pub fn is_abandoned(&self) -> bool {
        self.state().readers == 0
    }

    /// Returns a reader that starts at the beginning of the answer.
    pub fn subscribe(self: &Arc<AnswerFeed>) -> FeedReader {
        self.state().readers += 1;
        FeedReader { feed: self.clone(), position: 0, is_finished: false }
    }
}

/// A reader of a feed, with its own position in the text.
pub struct FeedReader {
    feed: Arc<AnswerFeed>,
    position: usize,
    is_finished: bool,
}

impl FeedReader {
    /// Waits for the next event; returns `None` after the last.
    pub async fn next(&mut self) -> Option<CallEvent> {
        while !self.is_finished {
            let feed = self.feed.clone();
            let changed = feed.changed.listen();
            if let Some(event) = self.next_ready() {
                return Some(event);
            }
            changed.await;
        }
        None
    }

    fn next_ready(&mut self) -> Option<CallEvent> {
        let state = self.feed.state();
        let text = state.assembler.text();
        if self.position < text.len() {
            let part = text[self.position..].to_owned();
            self.position = text.len();
            return Some(CallEvent::Text(part));
        }
        let result = state.result.clone()?;
        self.is_finished = true;
        Some(match result {
            Ok(answer) => CallEvent::Done(answer),
            Err(refusal) => CallEvent::Refused(refusal),
        })
    }
}

impl Drop for FeedReader {
    fn drop(&mut self) {
        let is_last = {
            let mut state = self.feed.state();
            state.readers -= 1;
            state.readers == 0
        };
        if is_last {
            self.feed.readers_gone.raise();
        }
    }
}

/// The stream of a call's events, from this node or another.
pub enum CallStream {
    /// From a call that runs here.
    Local(FeedReader),
    /// From another node, or already complete.
    Channel(mpsc::Receiver<CallEvent>),
}

impl CallStream {
    /// Returns a stream of the given events, which are available at once.
    pub fn from_events(events: Vec<CallEvent>) -> CallStream {
        let (sender, receiver) = mpsc::channel(events.len().max(1));
        for event in events {
            sender.try_send(event).expect("the channel has room for all events");
        }
        CallStream::Channel(receiver)
    }

    /// Waits for the next event; returns `None` after the last, or if the connection was lost.
    pub async fn next(&mut self) -> Option<CallEvent> {
        match self {
            CallStream::Local(reader) => reader.next().await,
            CallStream::Channel(receiver) => receiver.recv().await,
        }
    }

    /// Reads the stream to its end and returns the result; the text events are discarded, since the
    /// answer contains the text.
    pub async fn collect(mut self) -> Result<Answer, Refusal> {
        while let Some(event) = self.next().await {
            match event {
                CallEvent::Text(_) => (),
                CallEvent::Done(answer) => return Ok(answer),
                CallEvent::Refused(refusal) => return Err(refusal),
            }
        }
        let reason = rosethread_types::Reason::OutcomeUnknown;
        Err(Refusal::unknown(reason, "the stream ended before the answer was complete"))
    }
}
