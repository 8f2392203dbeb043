//! A plain service over HTTP.

use std::{sync::Arc, time::Duration};

use axum::{
    Router,
    extract::{DefaultBodyLimit, Path, State},
    http::{HeaderMap, StatusCode},
    routing::post,
};
use rosethread_platform::ServiceRequest;
use rosethread_types::AttemptId;
use tokio::net::TcpListener;

use crate::{FakeService, serve::no_delay};

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 32 << 20;

/// The most time that the service spends on a request over HTTP.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Serves a plain service until the task is aborted.
pub async fn serve_service(listener: TcpListener, service: Arc<FakeService>) {
    let app = Router::new()
        .route("/{*path}", post(call))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(service);
    let _ = axum::serve(no_delay(listener), app).await;
}

async fn call(
    State(service): State<Arc<FakeService>>,
    Path(path): Path<String>,
    headers: HeaderMap,
    body: String,
) -> Result<String, StatusCode> {
    let attempt = headers.get("x-request-id").and_then(|it| it.to_str().ok());
    let attempt = attempt.and_then(|it| u128::from_str_radix(it, 16).ok()).unwrap_or_default();
    let request =
        ServiceRequest { attempt: AttemptId(attempt), path, body, timeout: REQUEST_TIMEOUT };
    let response = service.call(request).await.map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
    Ok(response.body)
}
