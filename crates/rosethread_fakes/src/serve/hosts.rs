//! The host list over HTTP.

use std::sync::Arc;

use axum::{Json, Router, extract::State, http::StatusCode, routing::get};
use rosethread_platform::{HostEntry, HostList};
use tokio::net::TcpListener;

use crate::{FakeHosts, serve::no_delay};

/// Serves the host list until the task is aborted.
pub async fn serve_hosts(listener: TcpListener, hosts: Arc<FakeHosts>) {
    let app = Router::new().route("/hosts", get(list)).with_state(hosts);
    let _ = axum::serve(no_delay(listener), app).await;
}

async fn list(State(hosts): State<Arc<FakeHosts>>) -> Result<Json<Vec<HostEntry>>, StatusCode> {
    hosts.hosts().await.map(Json).ok_or(StatusCode::SERVICE_UNAVAILABLE)
}
