//! HTTP adapter for model engines and plain services.
//!
//! Engines implement the chat-completions protocol with server-sent events. Their management calls
//! are described in `docs/PLATFORM.md`.

use std::time::Duration;

use async_trait::async_trait;
use futures::StreamExt;
use rosethread_types::{AttemptId, Epoch, ProgramId};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::sync::mpsc;

use crate::{
    CacheAction, EngineCommand, EngineEvent, EngineLoad, EngineRequest, EngineStream, EngineUsage,
    ServiceReply, ServiceRequest, TargetAddress, TargetClient, TargetError, http::sse::SseBuffer,
};

/// The timeout of a management call to an engine.
const MANAGEMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of buffered events of a stream; backpressure slows the engine down beyond it.
const STREAM_BUFFER: usize = 64;

/// The data of the event that ends a stream.
const END_OF_STREAM: &str = "[DONE]";

/// A client that sends requests to targets over HTTP.
pub struct HttpTargetClient {
    client: reqwest::Client,
}

#[derive(Serialize)]
struct ChatRequest<'a> {
    model: &'a str,
    messages: &'a RawValue,
    max_tokens: u64,
    stream: bool,
    priority: i32,
    user: String,
    request_id: String,
    fence: u64,
}

#[derive(Deserialize)]
struct ChatChunk {
    /// The engine's copy of the `request_id`, an attempt identifier in hexadecimal.
    #[serde(default)]
    id: String,
    #[serde(default)]
    choices: Vec<ChatChoice>,
    usage: Option<ChatUsage>,
}

#[derive(Deserialize)]
struct ChatChoice {
    delta: ChatDelta,
}

#[derive(Deserialize)]
struct ChatDelta {
    #[serde(default)]
    content: String,
}

#[derive(Deserialize)]
struct ChatUsage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    cached_tokens: u64,
    completion_tokens: u64,
}

#[derive(Serialize)]
struct CancelRequest {
    user: String,
}

#[derive(Serialize)]
struct CacheActionRequest<'a> {
    user: String,
    hold: &'a CacheAction,
}

#[derive(Serialize)]
struct CommandRequest<'a> {
    fence: u64,
    #[serde(flatten)]
    order: &'a EngineCommand,
}

impl HttpTargetClient {
    /// Returns a client that sends its requests through `client`.
    pub fn new(client: reqwest::Client) -> HttpTargetClient {
        HttpTargetClient { client }
    }

    async fn send_management_call<T>(
        &self,
        target: &TargetAddress,
        path: &str,
        body: &T,
    ) -> Result<(), TargetError>
    where
        T: Serialize + Sync,
    {
        let url = format!("http://{}{path}", target.address);
        let request = self.client.post(url).json(body).timeout(MANAGEMENT_TIMEOUT);
        check_status(request.send().await.map_err(send_error)?).await?;
        Ok(())
    }
}

#[async_trait]
impl TargetClient for HttpTargetClient {
    async fn generate(
        &self,
        target: &TargetAddress,
        request: EngineRequest,
    ) -> Result<EngineStream, TargetError> {
        let messages: Box<RawValue> = RawValue::from_string(request.messages)
            .map_err(|it| TargetError::InvalidRequest(it.to_string()))?;
        let body = ChatRequest {
            model: request.model.as_str(),
            messages: &messages,
            max_tokens: request.max_tokens,
            stream: true,
            priority: request.priority,
            user: request.program.to_string(),
            request_id: request.attempt.to_string(),
            fence: request.epoch.0,
        };
        let url = format!("http://{}/v1/chat/completions", target.address);
        let response = self.client.post(url).json(&body).send().await.map_err(send_error)?;
        let response = check_status(response).await?;
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
        tokio::spawn(forward_events(response, sender));
        Ok(receiver)
    }

    async fn cancel(&self, target: &TargetAddress, program: &ProgramId) -> Result<(), TargetError> {
        let body = CancelRequest { user: program.to_string() };
        self.send_management_call(target, "/v1/cancel", &body).await
    }

    async fn apply_cache_action(
        &self,
        target: &TargetAddress,
        program: &ProgramId,
        action: CacheAction,
    ) -> Result<(), TargetError> {
        let body = CacheActionRequest { user: program.to_string(), hold: &action };
        self.send_management_call(target, "/v1/cache/release", &body).await
    }

    async fn load(&self, target: &TargetAddress) -> Result<EngineLoad, TargetError> {
        let url = format!("http://{}/v1/load", target.address);
        let response = self.client.get(url).timeout(MANAGEMENT_TIMEOUT).send().await;
        let response = check_status(response.map_err(send_error)?).await?;
        response.json().await.map_err(|it| TargetError::ResponseFailed(it.to_string()))
    }

    async fn send_command(
        &self,
        target: &TargetAddress,
        fence: Epoch,
        command: EngineCommand,
    ) -> Result<(), TargetError> {
        let body = CommandRequest { fence: fence.0, order: &command };
        self.send_management_call(target, "/v1/orders", &body).await
    }

    async fn call(
        &self,
        target: &TargetAddress,
        request: ServiceRequest,
    ) -> Result<ServiceReply, TargetError> {
        let url = format!("http://{}/{}", target.address, request.path.trim_start_matches('/'));
        let sending = self
            .client
            .post(url)
            .header("content-type", "application/json")
            .header("x-request-id", request.attempt.to_string())
            .body(request.body)
            .timeout(request.timeout)
            .send();
        let response = sending.await.map_err(send_error)?;
        let status = response.status().as_u16();
        if status == 503 || status == 429 {
            return Err(TargetError::Refused(format!("status {status}")));
        }
        let body = response.text().await.map_err(send_error)?;
        Ok(ServiceReply { status, body })
    }
}

/// Parses the response of a generation and sends its events to `sender` until the stream ends or
/// its receiver is dropped, which closes the connection.
async fn forward_events(
    response: reqwest::Response,
    sender: mpsc::Sender<Result<EngineEvent, TargetError>>,
) {
    let mut body = response.bytes_stream();
    let mut buffer = SseBuffer::default();
    let mut usage = EngineUsage::default();
    while let Some(bytes) = body.next().await {
        let is_buffered = match bytes {
            Ok(bytes) => buffer.push(&bytes),
            Err(_) => false,
        };
        if !is_buffered {
            break;
        }
        while let Some(data) = buffer.next_data() {
            if data == END_OF_STREAM {
                let _ = sender.send(Ok(EngineEvent::Done(usage))).await;
                return;
            }
            let Some(event) = parse_chunk(&data, &mut usage) else {
                continue;
            };
            if sender.send(Ok(event)).await.is_err() {
                return;
            }
        }
    }
    let _ =
        sender.send(Err(TargetError::ResponseFailed("the stream ended early".to_owned()))).await;
}

/// Returns the text of a chunk, if it has any, and updates `usage` with the chunk's token counts.
fn parse_chunk(data: &str, usage: &mut EngineUsage) -> Option<EngineEvent> {
    let chunk: ChatChunk = serde_json::from_str(data).ok()?;
    if let Some(it) = chunk.usage {
        *usage = EngineUsage {
            prompt: it.prompt_tokens,
            cached: it.cached_tokens,
            completion: it.completion_tokens,
        };
    }
    let text = chunk.choices.into_iter().next()?.delta.content;
    if text.is_empty() {
        return None;
    }
    let attempt = AttemptId(u128::from_str_radix(&chunk.id, 16).unwrap_or_default());
    Some(EngineEvent::Text { attempt, text, tokens: usage.completion })
}

/// Converts an error status to the error that tells whether the request may have been executed.
async fn check_status(response: reqwest::Response) -> Result<reqwest::Response, TargetError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let text = response.text().await.unwrap_or_default();
    let detail = format!("status {}: {text}", status.as_u16());
    match status.as_u16() {
        409 | 429 | 503 => Err(TargetError::Refused(detail)),
        400..500 => Err(TargetError::InvalidRequest(detail)),
        _ => Err(TargetError::ResponseFailed(detail)),
    }
}

fn send_error(error: reqwest::Error) -> TargetError {
    if error.is_connect() {
        return TargetError::Unreachable(error.to_string());
    }
    if error.is_timeout() {
        return TargetError::TimedOut;
    }
    TargetError::ResponseFailed(error.to_string())
}
