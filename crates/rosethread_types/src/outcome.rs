//! Errors for callers: whether the request ran, and why it has no result.

use std::{fmt, time::Duration};

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Whether a request without a result ran, as far as is known.
///
/// The comments of the variants are the codes that callers see.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// not-run
    NotRun,
    /// unknown
    Unknown,
    /// failed
    Failed,
}

/// Why a request was refused or failed.
///
/// The names of the variants, in kebab-case, are stable codes for client programs; the comments of
/// the variants are the titles that callers see.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// the request is malformed
    BadRequest,
    /// the key is missing or belongs to nobody
    Unauthorized,
    /// the member may not do this
    Forbidden,
    /// the program is not known
    UnknownProgram,
    /// the program has ended
    ProgramEnded,
    /// the turn is older than the program's current one
    StaleTurn,
    /// the turn came before its predecessor finished
    EarlyTurn,
    /// the request identifier was used for a different call
    RequestMismatch,
    /// the continuation is not genuine
    BadContinuation,
    /// the continuation does not match the program's history
    HistoryMismatch,
    /// history is needed from an earlier turn
    HistoryNeeded,
    /// the budget is spent
    BudgetSpent,
    /// the budget's journalled block is spent and the log is unavailable
    BudgetNotJournalled,
    /// the journal is unavailable and this call requires it
    JournalUnavailable,
    /// the deadline cannot be met
    DeadlineExceeded,
    /// the member's limit is reached
    LimitReached,
    /// the system is overloaded
    Overloaded,
    /// no target may serve this request
    NoTarget,
    /// the target failed
    TargetFailed,
    /// the call was cut by its cancellation
    Cancelled,
    /// another node owns the program
    NotOwner,
    /// the node is leaving
    Leaving,
    /// no document is in force
    NoDocument,
    /// no route matches the request
    UnknownRoute,
    /// the previous turn is not known
    UnknownTurn,
    /// an earlier attempt at this request left no outcome
    OutcomeUnknown,
    /// targets crash when they run this request
    CrashesTargets,
}

impl Reason {
    /// Returns the code that callers see in the `reason` field of an error.
    pub fn code(self) -> String {
        let value = serde_json::to_value(self).expect("a unit variant serialises");
        value.as_str().expect("a unit variant serialises to a string").to_owned()
    }
}

/// The error for a request without a result, with what its caller needs to continue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why there is no result.
    pub reason: Reason,
    /// Details for human readers.
    pub detail: String,
    /// How long the caller should wait before it retries, if a retry can succeed.
    pub retry_after: Option<Duration>,
    /// The first turn whose history the caller must supply, for [`Reason::HistoryNeeded`].
    pub from_turn: Option<u32>,
}

impl Refusal {
    /// Creates the error for a request that certainly did not run.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Refusal {
        Refusal::new(Outcome::NotRun, reason, detail)
    }

    /// Creates the error for a request that may or may not have run.
    pub fn unknown(reason: Reason, detail: impl Into<String>) -> Refusal {
        Refusal::new(Outcome::Unknown, reason, detail)
    }

    /// Creates the error for a request that ran, at least in part.
    pub fn failed(reason: Reason, detail: impl Into<String>) -> Refusal {
        Refusal::new(Outcome::Failed, reason, detail)
    }

    fn new(outcome: Outcome, reason: Reason, detail: impl Into<String>) -> Refusal {
        Refusal { outcome, reason, detail: detail.into(), retry_after: None, from_turn: None }
    }

    /// Sets how long the caller should wait before it retries.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Refusal {
        self.retry_after = Some(delay);
        self
    }

    /// Sets the first turn whose history the caller must supply.
    #[must_use]
    pub fn from_turn(mut self, turn: u32) -> Refusal {
        self.from_turn = Some(turn);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.outcome, self.reason, self.detail)
    }
}

impl std::error::Error for Refusal {}
