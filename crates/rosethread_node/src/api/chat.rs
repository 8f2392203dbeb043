//! Calls to models, in the format of the chat completions API.

use std::convert::Infallible;

use axum::{
    Json,
    extract::{State, rejection::JsonRejection},
    http::HeaderMap,
    response::{
        IntoResponse, Response,
        sse::{Event, Sse},
    },
};
use rosethread_program::Exchange;
use rosethread_types::{Reason, Refusal, Tokens};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::{
    api::{Problem, auth},
    call::{Answer, CallEvent, CallPayload},
    feed::CallStream,
    node::NodeHandle,
};

#[derive(Deserialize)]
pub(super) struct ChatBody {
    /// The messages that this turn adds; the node stores those of earlier turns.
    messages: Box<RawValue>,
    max_tokens: Option<Tokens>,
    #[serde(default)]
    stream: bool,
    /// Earlier turns, which the caller sends again after an error whose `from_turn` is the first one.
    #[serde(default)]
    rosethread_history: Vec<Exchange>,
}

#[derive(Serialize)]
struct ChatChunk<'a> {
    object: &'static str,
    choices: [ChunkChoice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<ChatUsage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    rosethread: Option<Progress<'a>>,
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "str::is_empty")]
    content: &'a str,
}

#[derive(Serialize)]
struct ChatReply<'a> {
    object: &'static str,
    choices: [ReplyChoice<'a>; 1],
    usage: ChatUsage,
    rosethread: Progress<'a>,
}

#[derive(Serialize)]
struct ReplyChoice<'a> {
    index: u32,
    message: ReplyMessage<'a>,
    finish_reason: &'static str,
}

#[derive(Serialize)]
struct ReplyMessage<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct ChatUsage {
    prompt_tokens: Tokens,
    completion_tokens: Tokens,
    cached_tokens: Tokens,
}

/// The program's progress, in the field `rosethread` of a reply and of the last chunk.
#[derive(Serialize)]
pub(super) struct Progress<'a> {
    turn: u32,
    spent: Tokens,
    continuation: &'a str,
}

impl<'a> From<&'a Answer> for Progress<'a> {
    fn from(answer: &'a Answer) -> Progress<'a> {
        Progress { turn: answer.turn, spent: answer.spent, continuation: &answer.continuation }
    }
}

pub(super) async fn complete(
    State(node): State<NodeHandle>,
    headers: HeaderMap,
    body: Result<Json<ChatBody>, JsonRejection>,
) -> Result<Response, Problem> {
    let Json(body) = body.map_err(|it| Refusal::not_run(Reason::BadRequest, it.body_text()))?;
    let messages = body.messages.get().to_owned();
    let work = CallPayload::Model { messages, max_tokens: body.max_tokens };
    let mut call = auth::call(&node, &headers, work, true)?;
    call.supplied = body.rosethread_history;
    let stream = node.call(call).await;
    if body.stream { streamed_reply(stream).await } else { buffered_reply(stream).await }
}

async fn buffered_reply(stream: CallStream) -> Result<Response, Problem> {
    let answer = stream.collect().await?;
    let message = ReplyMessage { role: "assistant", content: &answer.text };
    let reply = ChatReply {
        object: "chat.completion",
        choices: [ReplyChoice { index: 0, message, finish_reason: "stop" }],
        usage: usage(&answer),
        rosethread: Progress::from(&answer),
    };
    Ok(Json(reply).into_response())
}

fn usage(answer: &Answer) -> ChatUsage {
    ChatUsage {
        prompt_tokens: answer.usage.prompt,
        completion_tokens: answer.usage.completion,
        cached_tokens: answer.usage.cached,
    }
}

/// Streams an answer as server-sent events.
///
/// A call that is refused before its first token gets an ordinary error response instead.
async fn streamed_reply(mut stream: CallStream) -> Result<Response, Problem> {
    let first = stream.next().await;
    if let Some(CallEvent::Refused(refusal)) = first {
        return Err(refusal.into());
    }
    let events = futures::stream::unfold((first, stream, false), next_event);
    Ok(Sse::new(events).into_response())
}

/// An event that is not sent yet, the events after it, and whether the last event has been sent.
type EventState = (Option<CallEvent>, CallStream, bool);

async fn next_event(
    (pending, mut stream, is_finished): EventState,
) -> Option<(Result<Event, Infallible>, EventState)> {
    if is_finished {
        return None;
    }
    let event = match pending {
        Some(event) => Some(event),
        None => stream.next().await,
    };
    let (event, is_finished) = match event {
        Some(CallEvent::Text(text)) => (text_chunk(&text), false),
        Some(CallEvent::Done(answer)) => (last_chunk(&answer), true),
        Some(CallEvent::Refused(refusal)) => (problem_event(refusal), true),
        None => {
            let detail = "the stream ended before the answer was complete";
            (problem_event(Refusal::unknown(Reason::OutcomeUnknown, detail)), true)
        }
    };
    Some((Ok(event), (None, stream, is_finished)))
}

fn text_chunk(text: &str) -> Event {
    let choice = ChunkChoice { index: 0, delta: Delta { content: text }, finish_reason: None };
    chunk(choice, None)
}

fn last_chunk(answer: &Answer) -> Event {
    let delta = Delta { content: "" };
    chunk(ChunkChoice { index: 0, delta, finish_reason: Some("stop") }, Some(answer))
}

fn chunk(choice: ChunkChoice<'_>, answer: Option<&Answer>) -> Event {
    let chunk = ChatChunk {
        object: "chat.completion.chunk",
        choices: [choice],
        usage: answer.map(usage),
        rosethread: answer.map(Progress::from),
    };
    Event::default().json_data(chunk).unwrap_or_default()
}

fn problem_event(refusal: Refusal) -> Event {
    Event::default().event("error").json_data(Problem::from(refusal)).unwrap_or_default()
}
