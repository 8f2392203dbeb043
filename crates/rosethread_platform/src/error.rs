//! Errors of the log service and of targets.

use displaydoc::Display;

use crate::ExecutionStatus;

/// An error of the log service.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum LogError {
    /// the log service is unavailable: {0}
    Unavailable(String),
    /// the log service rejected the append because of its rate limit
    RateLimited,
    /// the response of the log service is malformed: {0}
    Malformed(String),
}

impl std::error::Error for LogError {}

/// The reason why a target returned no complete response.
///
/// A refused request may succeed later, for instance when a full queue has space again; an invalid
/// one never does.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum TargetError {
    /// the target could not be reached: {0}
    Unreachable(String),
    /// the target refused the request: {0}
    Refused(String),
    /// the target rejected the request as invalid: {0}
    InvalidRequest(String),
    /// the target's response failed or is incomplete: {0}
    ResponseFailed(String),
    /// the request to the target timed out
    TimedOut,
}

impl std::error::Error for TargetError {}

impl TargetError {
    /// Returns whether the target may have executed the request.
    pub fn execution_status(&self) -> ExecutionStatus {
        match self {
            TargetError::Unreachable(_)
            | TargetError::Refused(_)
            | TargetError::InvalidRequest(_) => ExecutionStatus::NotStarted,
            TargetError::ResponseFailed(_) | TargetError::TimedOut => ExecutionStatus::Possible,
        }
    }
}
