//! Who calls, and the headers that describe a call.

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
const PROGRAM: &str = "x-rosethread-program";

/// The header with the call's identifier.
const REQUEST: &str = "x-rosethread-request";

/// The header with the call's number.
const TURN: &str = "x-rosethread-turn";

/// The header with the sealed continuation.
const CONTINUATION: &str = "x-rosethread-continuation";

/// The header that says whether running the call twice does no harm.
const REPEATABLE: &str = "x-rosethread-repeatable";

/// The header that says whether the call may have been sent before.
const RETRY: &str = "x-rosethread-retry";

/// The header with the time until the deadline, in milliseconds.
const DEADLINE: &str = "x-rosethread-deadline-ms";

/// The longest accepted deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// The deadline of calls that set none and whose class is not known here, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Returns the member to whom the request's key belongs.
pub(super) fn member(node: &NodeHandle, headers: &HeaderMap) -> Result<MemberName, Problem> {
    let refuse = |detail: &str| Problem::from(Refusal::not_run(Reason::Unauthorized, detail));
    let in_force = node.core.document()?;
    let text = headers.get("authorization").and_then(|it| it.to_str().ok());
    let key = text.and_then(|it| it.strip_prefix("Bearer "));
    let key = key.ok_or_else(|| refuse("authorization: must be `Bearer` and a member's key"))?;
    let member = in_force.document.members.iter().find(|it| key_matches(it, key));
    member.map(|it| it.name.clone()).ok_or_else(|| refuse("authorization: the key is unknown"))
}

/// Builds a call from its headers and its work.
pub(super) fn call(
    node: &NodeHandle,
    headers: &HeaderMap,
    work: CallPayload,
    is_repeatable: bool,
) -> Result<Call, Problem> {
    let member = member(node, headers)?;
    let program: ProgramId = required(headers, PROGRAM)?;
    if program.member != member {
        let detail = format!("{PROGRAM}: the program belongs to another member");
        return Err(Refusal::not_run(Reason::Forbidden, detail).into());
    }
    let request: RequestId = required(headers, REQUEST)?;
    let turn: Turn = required(headers, TURN)?;
    let deadline_ms = optional(headers, DEADLINE)?.unwrap_or(DEFAULT_DEADLINE_MS);
    if deadline_ms == 0 || MAX_DEADLINE_MS < deadline_ms {
        return Err(bad_header(DEADLINE, "must be from 1 to 3600000"));
    }
    Ok(Call {
        program,
        request,
        turn,
        work,
        repeatable: optional(headers, REPEATABLE)?.unwrap_or(is_repeatable),
        retry: optional(headers, RETRY)?.unwrap_or(true),
        deadline_ms: node.now_ms() + deadline_ms,
        continuation: text(headers, CONTINUATION).map(str::to_owned),
        supplied: Vec::new(),
        hops: 0,
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
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
    let Some(text) = text(headers, name) else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|it: T::Err| bad_header(name, &it.to_string()))
}

/// What a request's body may cost.
#[derive(Clone, Copy)]
pub(super) struct BodyLimit {
    /// Its most bytes.
    pub(super) bytes: usize,
    /// The longest time for it to arrive.
    pub(super) time: Duration,
}

/// Reads the whole request first, so that a slow client holds nothing for long.
pub(super) async fn limit_body(
    State(limit): State<BodyLimit>,
    request: Request,
    next: Next,
) -> Response {
    let (parts, body) = request.into_parts();
    let reading = axum::body::to_bytes(body, limit.bytes);
    let refuse =
        |detail: &str| Problem::from(Refusal::not_run(Reason::BadRequest, detail)).into_response();
    match tokio::time::timeout(limit.time, reading).await {
        Ok(Ok(bytes)) => next.run(Request::from_parts(parts, Body::from(bytes))).await,
        Ok(Err(_)) => refuse("body: cannot be read, or is larger than `limits.body_bytes`"),
        Err(_) => refuse("body: did not arrive within `limits.request_ms`"),
    }
}
