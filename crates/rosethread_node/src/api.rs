//! The HTTP API for callers, described in `docs/API.md`.

mod auth;
mod chat;
mod locate;
mod problem;
mod programs;
mod services;

use std::time::Duration;

use axum::{
    Router,
    extract::{DefaultBodyLimit, State},
    http::StatusCode,
    routing::{get, post},
};
use tokio::net::TcpListener;

use crate::{node::NodeHandle, process::with_nodelay};

pub use problem::Problem;

/// Returns the router of the HTTP API for callers.
pub fn router(node: NodeHandle) -> Router {
    let limits = &node.core.settings.limits;
    let limit = auth::BodyLimit {
        bytes: limits.body_bytes,
        timeout: Duration::from_millis(limits.request_ms),
    };
    Router::new()
        .route("/v1/locate", get(locate::locate))
        .route("/v1/programs", post(programs::create))
        .route("/v1/programs/{program}", get(programs::status).delete(programs::close))
        .route("/v1/chat/completions", post(chat::complete))
        .route("/v1/services/{service}/{*path}", post(services::call))
        .route("/v1/document", get(programs::document))
        .route("/healthz", get(health))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .layer(DefaultBodyLimit::disable())
        .layer(axum::middleware::from_fn_with_state(limit, auth::limit_body))
        .with_state(node)
}

/// Serves callers until the task is aborted.
pub async fn serve(listener: TcpListener, node: NodeHandle) {
    let _ = axum::serve(with_nodelay(listener), router(node)).await;
}

async fn health() -> &'static str {
    "ok\n"
}

async fn ready(State(node): State<NodeHandle>) -> (StatusCode, &'static str) {
    if node.is_ready() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn metrics(State(node): State<NodeHandle>) -> String {
    let core = &node.core;
    core.metrics.render() + &core.objectives.render(core.now())
}
