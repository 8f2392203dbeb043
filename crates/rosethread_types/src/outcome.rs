//! What a caller may conclude from an answer that is not a success.

use std::{fmt, time::Duration};

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// What is known about a request that has no answer.
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

/// Why a request was refused or failed, as a stable code for programs to act on.
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
}

impl Reason {
    /// Returns the code that callers see in the `reason` member of an error.
    pub fn code(self) -> String {
        let value = serde_json::to_value(self).expect("a unit variant serialises");
        value.as_str().expect("a unit variant serialises to a string").to_owned()
    }
}

/// A request that has no answer, with everything its caller needs to go on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What is known about the request.
    pub outcome: Outcome,
    /// Why there is no answer.
    pub reason: Reason,
    /// The particulars, for people.
    pub detail: String,
    /// How long the caller should wait before it asks again, if asking again can help.
    pub retry_after: Option<Duration>,
    /// The first turn whose history the caller must supply, for [`Reason::HistoryNeeded`].
    pub from_turn: Option<u32>,
}

impl Refusal {
    /// Returns a refusal of a request that truly did not run.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Refusal {
        Refusal::new(Outcome::NotRun, reason, detail)
    }

    /// Returns a refusal of a request that may or may not have run.
    pub fn unknown(reason: Reason, detail: impl Into<String>) -> Refusal {
        Refusal::new(Outcome::Unknown, reason, detail)
    }

    /// Returns the failure of a request that ran, at least in part.
    pub fn failed(reason: Reason, detail: impl Into<String>) -> Refusal {
        Refusal::new(Outcome::Failed, reason, detail)
    }

    fn new(outcome: Outcome, reason: Reason, detail: impl Into<String>) -> Refusal {
        Refusal { outcome, reason, detail: detail.into(), retry_after: None, from_turn: None }
    }

    /// Sets how long the caller should wait before it asks again.
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
