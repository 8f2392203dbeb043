//! HTTP client and server for other nodes: JSON-RPC for requests, lines of JSON for streams.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use axum::{
    Json, Router,
    body::Body,
    extract::{DefaultBodyLimit, State},
    http::StatusCode,
    response::Response,
    routing::post,
};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use jsonrpsee::{
    RpcModule,
    core::{ClientError, client::ClientT},
    http_client::{HttpClient, HttpClientBuilder},
    rpc_params,
};
use rosethread_config::{KeySettings, Settings};
use rosethread_membership::Contact;
use rosethread_platform::Clock;
use tokio::{net::TcpListener, sync::mpsc};

use rosethread_runtime::RandomSource;

use crate::{
    call::{Call, CallEvent},
    feed::CallStream,
    node::NodeHandle,
    peers::{
        PeerClient, PeerError, PeerReply, PeerRequest,
        envelope::{Envelope, EnvelopeKeys},
        rpc,
    },
    process::with_nodelay,
};

/// The maximum size of a message between nodes, in bytes.
///
/// A handover contains the whole history of a program.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// The timeout of requests that are handled at once.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// The timeout of requests that wait for a slot or for the log.
const LONG_REQUEST_TIMEOUT: Duration = Duration::from_secs(600);

/// The maximum number of buffered events of a forwarded call.
const STREAM_BUFFER: usize = 64;

/// A client for other nodes over HTTP.
pub struct HttpPeerClient {
    keys: EnvelopeKeys,
    clock: Clock,
    random: RandomSource,
    client: reqwest::Client,
    rpc_clients: Mutex<BTreeMap<SocketAddr, HttpClient>>,
}

impl HttpPeerClient {
    /// Returns a client that signs its messages with the shared keys in `settings`.
    pub fn new(settings: &Settings, clock: Clock, client: reqwest::Client) -> HttpPeerClient {
        HttpPeerClient {
            keys: EnvelopeKeys::new(KeySettings::decode(&settings.keys.shared)),
            clock,
            random: RandomSource::from_system(),
            client,
            rpc_clients: Mutex::default(),
        }
    }

    fn sign(&self, body: String) -> Envelope {
        self.keys.sign(body, self.clock.now_ms(), self.random.next_u64())
    }

    /// Returns the JSON-RPC client for `address`, creating it if necessary.
    fn rpc_client(&self, address: SocketAddr) -> Result<HttpClient, PeerError> {
        let mut clients = self.rpc_clients.lock().expect("no holder of the clients lock panics");
        if let Some(client) = clients.get(&address) {
            return Ok(client.clone());
        }
        let client = HttpClientBuilder::default()
            .max_request_size(MAX_MESSAGE_BYTES as u32)
            .max_response_size(MAX_MESSAGE_BYTES as u32)
            .request_timeout(LONG_REQUEST_TIMEOUT)
            .build(format!("http://{address}/rpc"))
            .map_err(|it| PeerError::Unreachable(it.to_string()))?;
        clients.insert(address, client.clone());
        Ok(client)
    }
}

#[async_trait]
impl PeerClient for HttpPeerClient {
    async fn request(&self, to: &Contact, request: PeerRequest) -> Result<PeerReply, PeerError> {
        let limit = match request {
            PeerRequest::Acquire { .. } | PeerRequest::Adopt { .. } | PeerRequest::Create(_) => {
                LONG_REQUEST_TIMEOUT
            }
            _ => REQUEST_TIMEOUT,
        };
        let broken = |it: serde_json::Error| PeerError::Broken(it.to_string());
        let body = serde_json::to_string(&request).map_err(broken)?;
        let client = self.rpc_client(to.peer)?;
        let response = client.request(rpc::METHOD, rpc_params![self.sign(body)]);
        let reply: Result<PeerReply, ClientError> = tokio::time::timeout(limit, response)
            .await
            .map_err(|_| PeerError::Broken("timed out while waiting for the reply".to_owned()))?;
        reply.map_err(|it| match it {
            ClientError::Transport(_) => PeerError::Unreachable(it.to_string()),
            _ => PeerError::Broken(it.to_string()),
        })
    }

    async fn call(&self, to: &Contact, call: Call) -> Result<CallStream, PeerError> {
        let broken = |it: serde_json::Error| PeerError::Broken(it.to_string());
        let body = serde_json::to_string(&call).map_err(broken)?;
        let url = format!("http://{}/call", to.peer);
        let sending = self.client.post(url).json(&self.sign(body)).send();
        let reply = sending.await.map_err(|it| {
            if it.is_connect() {
                PeerError::Unreachable(it.to_string())
            } else {
                PeerError::Broken(it.to_string())
            }
        })?;
        if !reply.status().is_success() {
            return Err(PeerError::Unreachable(format!("status {}", reply.status())));
        }
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
        tokio::spawn(forward_events(reply, sender));
        Ok(CallStream::Channel(receiver))
    }
}

/// Parses the events of a forwarded call and sends them to the stream.
///
/// A line that is malformed or too long ends the stream without a last event, as does a connection
/// that is lost.
async fn forward_events(reply: reqwest::Response, sender: mpsc::Sender<CallEvent>) {
    let mut body = reply.bytes_stream();
    let mut buffer = BytesMut::new();
    while let Some(Ok(bytes)) = body.next().await {
        buffer.extend_from_slice(&bytes);
        if MAX_MESSAGE_BYTES < buffer.len() {
            return;
        }
        while let Some(end) = buffer.iter().position(|it| *it == b'\n') {
            let line = buffer.split_to(end + 1);
            let Ok(event) = serde_json::from_slice(&line) else {
                return;
            };
            if sender.send(event).await.is_err() {
                return;
            }
        }
    }
}

#[derive(Clone)]
struct ServerState {
    node: NodeHandle,
    keys: Arc<EnvelopeKeys>,
    module: Arc<RpcModule<rpc::RpcContext>>,
}

/// Serves the requests and calls of other nodes until the task is aborted.
pub async fn serve_peers(listener: TcpListener, node: NodeHandle) {
    let keys = KeySettings::decode(&node.core.settings.keys.shared);
    let keys = Arc::new(EnvelopeKeys::new(keys));
    let context = rpc::RpcContext { node: node.clone(), keys: keys.clone() };
    let state = ServerState { node, keys, module: Arc::new(rpc::module(context)) };
    let app = Router::new()
        .route("/rpc", post(handle_rpc))
        .route("/call", post(handle_call))
        .layer(DefaultBodyLimit::max(MAX_MESSAGE_BYTES))
        .with_state(state);
    let _ = axum::serve(with_nodelay(listener), app).await;
}

async fn handle_rpc(State(state): State<ServerState>, body: String) -> Result<String, StatusCode> {
    let answer = state.module.raw_json_request(&body, 1).await;
    let (reply, _) = answer.map_err(|_| StatusCode::BAD_REQUEST)?;
    Ok(reply.get().to_owned())
}

async fn handle_call(
    State(state): State<ServerState>,
    Json(envelope): Json<Envelope>,
) -> Result<Response, StatusCode> {
    let now_ms = state.node.now_ms();
    let body = state.keys.open(envelope, now_ms).map_err(|_| StatusCode::UNAUTHORIZED)?;
    let call: Call = serde_json::from_str(&body).map_err(|_| StatusCode::BAD_REQUEST)?;
    let stream = state.node.call(call).await;
    let lines = futures::stream::unfold(stream, |mut stream| async move {
        let event = stream.next().await?;
        let mut line = serde_json::to_vec(&event).unwrap_or_default();
        line.push(b'\n');
        Some((Ok::<_, Infallible>(Bytes::from(line)), stream))
    });
    Ok(Response::new(Body::from_stream(lines)))
}
