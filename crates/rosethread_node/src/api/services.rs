//! Calls to plain services, whose path and body are forwarded unchanged.

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

/// Handles a call to a service.
///
/// Unlike a model call, it is repeatable only if the caller says so.
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
    let headers = response.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert("content-type", json);
    headers.insert("x-rosethread-turn", HeaderValue::from(answer.turn));
    headers.insert("x-rosethread-spent", HeaderValue::from(answer.spent));
    if let Ok(continuation) = HeaderValue::from_str(&answer.continuation) {
        headers.insert("x-rosethread-continuation", continuation);
    }
    Ok(response)
}
