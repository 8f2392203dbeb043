//! Calls to plain services, passed through.

use axum::{
    extract::{Path, State, rejection::PathRejection},
    http::{HeaderMap, HeaderValue},
    response::{IntoResponse, Response},
};
use rosethread_types::{Reason, Refusal, ServiceName};

use crate::{
    api::{Problem, auth},
    call::CallPayload,
    node::NodeHandle,
};

/// Serves a service call; unlike a model call it is not repeatable unless the caller says so.
pub(super) async fn call(
    State(node): State<NodeHandle>,
    headers: HeaderMap,
    path: Result<Path<(ServiceName, String)>, PathRejection>,
    body: String,
) -> Result<Response, Problem> {
    let Path((service, path)) =
        path.map_err(|it| Refusal::not_run(Reason::BadRequest, it.body_text()))?;
    let work = CallPayload::Service { service, path, body };
    let call = auth::call(&node, &headers, work, false)?;
    let answer = node.call(call).await.collect().await?;
    let mut response = answer.text.into_response();
    let out = response.headers_mut();
    let json = HeaderValue::from_static("application/json");
    out.insert("content-type", json);
    out.insert("x-rosethread-turn", HeaderValue::from(answer.turn));
    out.insert("x-rosethread-spent", HeaderValue::from(answer.spent));
    if let Ok(continuation) = HeaderValue::from_str(&answer.continuation) {
        out.insert("x-rosethread-continuation", continuation);
    }
    Ok(response)
}
