//! Errors as `application/problem+json` (RFC 9457).

use axum::{
    http::{HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
};
use rosethread_types::{Outcome, Reason, Refusal};
use serde::Serialize;

/// The body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The problem type, as a relative URI reference.
    #[serde(rename = "type")]
    kind: String,
    /// The reason as a text for people.
    title: String,
    /// The HTTP status code.
    status: u16,
    /// What is specific to this occurrence of the problem.
    detail: String,
    /// What is known about the execution of the request.
    outcome: Outcome,
    /// The reason as a code.
    reason: Reason,
    /// The time after which the caller should retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    /// The first turn that the caller has to send again, since its history is missing.
    #[serde(skip_serializing_if = "Option::is_none")]
    from_turn: Option<u32>,
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Problem {
        Problem {
            kind: format!("/problems/{}", refusal.reason.code()),
            title: refusal.reason.to_string(),
            status: status_code(&refusal).as_u16(),
            detail: refusal.detail,
            outcome: refusal.outcome,
            reason: refusal.reason,
            retry_after_ms: refusal.retry_after.map(|it| it.as_millis() as u64),
            from_turn: refusal.from_turn,
        }
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let body = serde_json::to_string(&self).unwrap_or_default();
        let mut response = (status, body).into_response();
        let headers = response.headers_mut();
        let kind = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, kind);
        if let Some(ms) = self.retry_after_ms {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
        }
        response
    }
}

fn status_code(refusal: &Refusal) -> StatusCode {
    match refusal.reason {
        Reason::BadRequest | Reason::BadContinuation | Reason::CrashesTargets => {
            StatusCode::BAD_REQUEST
        }
        Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        Reason::Forbidden => StatusCode::FORBIDDEN,
        Reason::UnknownProgram | Reason::UnknownRoute | Reason::UnknownTurn => {
            StatusCode::NOT_FOUND
        }
        Reason::ProgramEnded => StatusCode::GONE,
        Reason::StaleTurn
        | Reason::EarlyTurn
        | Reason::RequestMismatch
        | Reason::HistoryMismatch
        | Reason::HistoryNeeded => StatusCode::CONFLICT,
        Reason::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
        Reason::LimitReached | Reason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        Reason::BudgetNotJournalled
        | Reason::JournalUnavailable
        | Reason::NoTarget
        | Reason::NotOwner
        | Reason::Leaving
        | Reason::NoDocument => StatusCode::SERVICE_UNAVAILABLE,
        Reason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        Reason::TargetFailed | Reason::Cancelled | Reason::OutcomeUnknown => {
            StatusCode::BAD_GATEWAY
        }
    }
}
