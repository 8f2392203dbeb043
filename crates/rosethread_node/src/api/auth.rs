//! Authentication of callers, the headers that describe a call, and the limit of request bodies.

use std::{str::FromStr, time::Duration};

use axum::{
    body::Body,
    extract::{Request, State},
    http::HeaderMap,
    middleware::Next,
    response::{IntoResponse, Response},
};
use rosethread_config::key_matches;
use rosethread_types::{MemberName, ProgramId, Reason, Refusal, RequestId, Turn};

use crate::{api::Problem, call::Call, call::CallPayload, node::NodeHandle};

/// The header with the program's identifier.
const PROGRAM_HEADER: &str = "x-rosethread-program";

/// The header with the request's identifier, the same in every attempt.
const REQUEST_HEADER: &str = "x-rosethread-request";

/// The header with the number of the turn.
const TURN_HEADER: &str = "x-rosethread-turn";

/// The header with the sealed continuation.
const CONTINUATION_HEADER: &str = "x-rosethread-continuation";

/// The header that says whether the call is idempotent, so that it may run twice.
const REPEATABLE_HEADER: &str = "x-rosethread-repeatable";

/// The header that says whether the request may have been sent before.
const RETRY_HEADER: &str = "x-rosethread-retry";

/// The header with the time left until the deadline, in milliseconds.
const DEADLINE_HEADER: &str = "x-rosethread-deadline-ms";

/// The maximum time until the deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// The time until the deadline of calls that set none and whose class is not known here, in
/// milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Returns the member whose key the request carries in its `authorization` header.
pub(super) fn member(node: &NodeHandle, headers: &HeaderMap) -> Result<MemberName, Problem> {
    let refuse = |detail: &str| Problem::from(Refusal::not_run(Reason::Unauthorized, detail));
    let active = node.core.document()?;
    let text = headers.get("authorization").and_then(|it| it.to_str().ok());
    let key = text.and_then(|it| it.strip_prefix("Bearer "));
    let key = key.ok_or_else(|| refuse("authorization: must be `Bearer` and a member's key"))?;
    let member = active.document.members.iter().find(|it| key_matches(it, key));
    member.map(|it| it.name.clone()).ok_or_else(|| refuse("authorization: the key is unknown"))
}

/// Builds a call from its headers and its payload.
///
/// `is_repeatable` applies if there is no header that says whether the call is idempotent.
pub(super) fn call(
    node: &NodeHandle,
    headers: &HeaderMap,
    work: CallPayload,
    is_repeatable: bool,
) -> Result<Call, Problem> {
    let member = member(node, headers)?;
    let program: ProgramId = required(headers, PROGRAM_HEADER)?;
    if program.member != member {
        let detail = format!("{PROGRAM_HEADER}: the program belongs to another member");
        return Err(Refusal::not_run(Reason::Forbidden, detail).into());
    }
    let request: RequestId = required(headers, REQUEST_HEADER)?;
    let turn: Turn = required(headers, TURN_HEADER)?;
    let deadline_ms = optional(headers, DEADLINE_HEADER)?.unwrap_or(DEFAULT_DEADLINE_MS);
    if deadline_ms == 0 || MAX_DEADLINE_MS < deadline_ms {
        return Err(bad_header(DEADLINE_HEADER, "must be from 1 to 3600000"));
    }
    Ok(Call {
        program,
        request,
        turn,
        work,
        repeatable: optional(headers, REPEATABLE_HEADER)?.unwrap_or(is_repeatable),
        retry: optional(headers, RETRY_HEADER)?.unwrap_or(true),
        deadline_ms: node.now_ms() + deadline_ms,
        continuation: header_text(headers, CONTINUATION_HEADER).map(str::to_owned),
        supplied: Vec::new(),
        hops: 0,
    })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|it| it.to_str().ok())
}

fn bad_header(name: &str, rule: &str) -> Problem {
    Refusal::not_run(Reason::BadRequest, format!("{name}: {rule}")).into()
}

fn required<T>(headers: &HeaderMap, name: &str) -> Result<T, Problem>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    optional(headers, name)?.ok_or_else(|| bad_header(name, "is missing"))
}

fn optional<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Problem>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let Some(text) = header_text(headers, name) else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|it: T::Err| bad_header(name, &it.to_string()))
}

/// The limits of a request body.
#[derive(Clone, Copy)]
pub(super) struct BodyLimit {
    /// The maximum size in bytes.
    pub(super) bytes: usize,
    /// The maximum time until the body has arrived.
    pub(super) timeout: Duration,
}

/// Buffers the request body before the handler runs, so that a slow client does not hold any
/// resources of the scheduler for long.
pub(super) async fn limit_body(
    State(limit): State<BodyLimit>,
    request: Request,
    next: Next,
) -> Response {
    let (parts, body) = request.into_parts();
    let reading = axum::body::to_bytes(body, limit.bytes);
    let refuse =
        |detail: &str| Problem::from(Refusal::not_run(Reason::BadRequest, detail)).into_response();
    match tokio::time::timeout(limit.timeout, reading).await {
        Ok(Ok(bytes)) => next.run(Request::from_parts(parts, Body::from(bytes))).await,
        Ok(Err(_)) => refuse("body: cannot be read, or is larger than `limits.body_bytes`"),
        Err(_) => refuse("body: did not arrive within `limits.request_ms`"),
    }
}
