//! A model engine over HTTP, with the chat-completions protocol.

use std::{convert::Infallible, sync::Arc};

use axum::{
    Json, Router,
    extract::{DefaultBodyLimit, State},
    http::StatusCode,
    response::sse::{Event, Sse},
    routing::{get, post},
};
use futures::Stream;
use rosethread_platform::{
    CacheAction, EngineCommand, EngineEvent, EngineLoad, EngineRequest, EngineStream, TargetError,
};
use rosethread_types::{AttemptId, Epoch, ModelName, ProgramId, Tokens};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::net::TcpListener;

use crate::{FakeEngine, serve::no_delay};

/// The maximum size of a request body, in bytes.
const MAX_PROMPT_BYTES: usize = 32 << 20;

#[derive(Deserialize)]
struct ChatRequest {
    model: ModelName,
    messages: Box<RawValue>,
    max_tokens: Tokens,
    #[serde(default)]
    priority: i32,
    user: ProgramId,
    request_id: String,
    #[serde(default)]
    fence: u64,
}

#[derive(Serialize)]
struct ChatChunk {
    id: String,
    choices: [ChatChoice; 1],
    usage: ChatUsage,
}

#[derive(Serialize)]
struct ChatChoice {
    index: u32,
    delta: ChatDelta,
}

#[derive(Serialize)]
struct ChatDelta {
    content: String,
}

#[derive(Serialize)]
struct ChatUsage {
    prompt_tokens: Tokens,
    cached_tokens: Tokens,
    completion_tokens: Tokens,
}

#[derive(Deserialize)]
struct CancelRequest {
    user: ProgramId,
}

#[derive(Deserialize)]
struct CacheActionRequest {
    user: ProgramId,
    hold: CacheAction,
}

#[derive(Deserialize)]
struct CommandRequest {
    fence: u64,
    #[serde(flatten)]
    order: EngineCommand,
}

/// Serves a model engine until the task is aborted.
pub async fn serve_engine(listener: TcpListener, engine: Arc<FakeEngine>) {
    let app = Router::new()
        .route("/v1/chat/completions", post(generate))
        .route("/v1/cancel", post(cancel))
        .route("/v1/cache/release", post(apply_cache_action))
        .route("/v1/load", get(load))
        .route("/v1/orders", post(execute_command))
        .layer(DefaultBodyLimit::max(MAX_PROMPT_BYTES))
        .with_state(engine);
    let _ = axum::serve(no_delay(listener), app).await;
}

async fn generate(
    State(engine): State<Arc<FakeEngine>>,
    Json(chat): Json<ChatRequest>,
) -> Result<Sse<impl Stream<Item = Result<Event, Infallible>>>, (StatusCode, String)> {
    let attempt = u128::from_str_radix(&chat.request_id, 16)
        .map_err(|_| (StatusCode::BAD_REQUEST, "request_id is not hexadecimal".to_owned()))?;
    let request = EngineRequest {
        attempt: AttemptId(attempt),
        program: chat.user,
        epoch: Epoch(chat.fence),
        model: chat.model,
        messages: chat.messages.get().to_owned(),
        max_tokens: chat.max_tokens,
        priority: chat.priority,
    };
    let stream = engine.generate(request).map_err(error_response)?;
    Ok(Sse::new(sse_events(stream)))
}

/// Converts an engine's stream to server-sent events; after an error it ends without `[DONE]`.
fn sse_events(stream: EngineStream) -> impl Stream<Item = Result<Event, Infallible>> {
    let start = (stream, false);
    futures::stream::unfold(start, |(mut stream, is_done)| async move {
        if is_done {
            let event = Event::default().data("[DONE]");
            stream.close();
            return stream.recv().await.is_none().then_some((Ok(event), (stream, false)));
        }
        match stream.recv().await? {
            Ok(EngineEvent::Text { attempt, text, tokens }) => {
                let event = chunk_event(attempt.to_string(), text, 0, 0, tokens);
                Some((Ok(event), (stream, false)))
            }
            Ok(EngineEvent::Done(usage)) => {
                let id = String::new();
                let event =
                    chunk_event(id, String::new(), usage.prompt, usage.cached, usage.completion);
                Some((Ok(event), (stream, true)))
            }
            Err(_) => None,
        }
    })
}

fn chunk_event(
    id: String,
    content: String,
    prompt: Tokens,
    cached: Tokens,
    completion: Tokens,
) -> Event {
    let usage =
        ChatUsage { prompt_tokens: prompt, cached_tokens: cached, completion_tokens: completion };
    let choice = ChatChoice { index: 0, delta: ChatDelta { content } };
    let chunk = ChatChunk { id, choices: [choice], usage };
    Event::default().json_data(chunk).unwrap_or_default()
}

async fn cancel(
    State(engine): State<Arc<FakeEngine>>,
    Json(request): Json<CancelRequest>,
) -> Result<(), (StatusCode, String)> {
    engine.cancel(&request.user).map_err(error_response)
}

async fn apply_cache_action(
    State(engine): State<Arc<FakeEngine>>,
    Json(request): Json<CacheActionRequest>,
) -> Result<(), (StatusCode, String)> {
    engine.apply_cache_action(&request.user, request.hold).map_err(error_response)
}

async fn load(
    State(engine): State<Arc<FakeEngine>>,
) -> Result<Json<EngineLoad>, (StatusCode, String)> {
    engine.load().map(Json).map_err(error_response)
}

async fn execute_command(
    State(engine): State<Arc<FakeEngine>>,
    Json(request): Json<CommandRequest>,
) -> Result<(), (StatusCode, String)> {
    engine.execute_command(Epoch(request.fence), request.order).map_err(error_response)
}

fn error_response(error: TargetError) -> (StatusCode, String) {
    let status = match error {
        TargetError::Refused(_) => StatusCode::CONFLICT,
        TargetError::InvalidRequest(_) => StatusCode::BAD_REQUEST,
        TargetError::Unreachable(_) | TargetError::ResponseFailed(_) | TargetError::TimedOut => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    };
    (status, error.to_string())
}
