//! The log service over HTTP.

use std::{sync::Arc, time::Duration};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{DefaultBodyLimit, Path, Query, State},
    http::StatusCode,
    routing::post,
};
use rosethread_platform::{LogError, LogService};
use rosethread_types::StreamName;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::{FakeLog, serve::no_delay};

/// The maximum size of a record, in bytes.
const MAX_RECORD_BYTES: usize = 8 << 20;

#[derive(Serialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    max: usize,
    wait_ms: u64,
}

#[derive(Serialize)]
struct ReadResponse {
    first: u64,
    end: u64,
    entries: Vec<EncodedEntry>,
}

#[derive(Serialize)]
struct EncodedEntry {
    offset: u64,
    data: String,
}

/// Serves the log until the task is aborted.
pub async fn serve_log(listener: TcpListener, log: Arc<FakeLog>) {
    let app = Router::new()
        .route("/streams/{stream}", post(append).get(read))
        .layer(DefaultBodyLimit::max(MAX_RECORD_BYTES))
        .with_state(log);
    let _ = axum::serve(no_delay(listener), app).await;
}

async fn append(
    State(log): State<Arc<FakeLog>>,
    Path(stream): Path<StreamName>,
    body: Bytes,
) -> Result<Json<AppendResponse>, StatusCode> {
    let offset = log.append(&stream, body).await.map_err(status_code)?;
    Ok(Json(AppendResponse { offset }))
}

async fn read(
    State(log): State<Arc<FakeLog>>,
    Path(stream): Path<StreamName>,
    Query(query): Query<ReadQuery>,
) -> Result<Json<ReadResponse>, StatusCode> {
    let wait = Duration::from_millis(query.wait_ms);
    let read = log.read(&stream, query.from, query.max, wait).await.map_err(status_code)?;
    let entries = read
        .entries
        .into_iter()
        .map(|it| EncodedEntry { offset: it.offset, data: hex::encode(it.data) })
        .collect();
    Ok(Json(ReadResponse { first: read.first, end: read.end, entries }))
}

fn status_code(error: LogError) -> StatusCode {
    match error {
        LogError::RateLimited => StatusCode::TOO_MANY_REQUESTS,
        LogError::Unavailable(_) | LogError::Malformed(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}
