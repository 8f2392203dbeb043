//! Failures of the platform, as values.

use displaydoc::Display;

use crate::Execution;

/// Why the log service gave no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum LogError {
    /// the log service is unavailable: {0}
    Unavailable(String),
    /// the log service limits the rate of appends
    RateLimited,
    /// the log service's answer is malformed: {0}
    Malformed(String),
}

impl std::error::Error for LogError {}

/// Why a target gave no whole answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum TargetError {
    /// the target could not be reached: {0}
    Unreachable(String),
    /// the target refused the request: {0}
    Refused(String),
    /// the target does not serve this request: {0}
    InvalidRequest(String),
    /// the target broke the answer off: {0}
    ResponseFailed(String),
    /// the target did not answer in time
    TimedOut,
}

impl std::error::Error for TargetError {}

impl TargetError {
    /// Tells whether the target may have executed the request.
    pub fn execution(&self) -> Execution {
        match self {
            TargetError::Unreachable(_)
            | TargetError::Refused(_)
            | TargetError::InvalidRequest(_) => Execution::NotStarted,
            TargetError::ResponseFailed(_) | TargetError::TimedOut => Execution::Possible,
        }
    }
}
