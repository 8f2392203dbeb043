//! The events of a program that the journal stores.

use rosethread_types::{ClassName, ModelName, ProgramId, RequestId, Tokens, Turn};
use serde::{Deserialize, Serialize};

use crate::{Budget, Exchange, History};

/// The identity and limits of a program, fixed at its creation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The program's identifier.
    pub program: ProgramId,
    /// The class that sets its deadline, its objective and whether the journal keeps its history.
    pub class: ClassName,
    /// The model that its calls use.
    pub model: ModelName,
    /// Its limits.
    pub budget: Budget,
    /// The parent program, if this one is a sub-agent.
    pub parent: Option<ProgramId>,
    /// The time of creation, in milliseconds since the Unix epoch.
    pub created_ms: u64,
}

/// One journalled change of a program's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A node claimed the program; the first claim also creates it.
    Claimed(Grant),
    /// The owner may spend tokens up to this total.
    Reserved(Tokens),
    /// A call that must not run twice is about to be sent to a target.
    Intended(RequestId),
    /// A call announced by [`Event::Intended`] did not run on any target.
    Withdrawn(RequestId),
    /// A turn finished.
    Finished {
        /// The number of the turn.
        turn: Turn,
        /// Tokens spent after the turn.
        spent: Tokens,
        /// The exchange, if the class journals histories; otherwise the caller keeps it.
        exchange: Option<Exchange>,
    },
    /// The caller has the answers to all turns before this one, as its call for this turn shows.
    ///
    /// Written if the caller keeps the history, so that a new owner does not run a delayed
    /// duplicate of an earlier turn.
    Acknowledged(Turn),
    /// The program ended.
    Closed,
    /// No engine holds cached state for the ended program any more.
    Released,
    /// The complete state, written before the log's retention drops the records that it replaces.
    Checkpoint {
        /// The program's identity and limits.
        grant: Grant,
        /// Tokens spent.
        spent: Tokens,
        /// The spending limit in the journal.
        limit: Tokens,
        /// The finished exchanges that the owner has; later ones may be missing.
        history: History,
        /// The number of turns that are known to have finished.
        finished: Turn,
        /// Calls that may have run and whose outcome is unknown.
        unknown: Vec<RequestId>,
        /// Whether the program has ended.
        ended: bool,
    },
}
