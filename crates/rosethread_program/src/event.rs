//! What the journal stores about a program.

use rosethread_types::{ClassName, ModelName, ProgramId, RequestId, Tokens, Turn};
use serde::{Deserialize, Serialize};

use crate::{Budget, Exchange, History};

/// What a program was given at its creation; it never changes afterwards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The program's identifier.
    pub program: ProgramId,
    /// The class that sets its deadline, objective and journal rule.
    pub class: ClassName,
    /// The model that its calls use.
    pub model: ModelName,
    /// Its limits.
    pub budget: Budget,
    /// The program that this one is a sub-agent of.
    pub parent: Option<ProgramId>,
    /// The time of creation, in milliseconds since the Unix epoch.
    pub created_ms: u64,
}

/// One journalled change of a program's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A node took the program over; the first such event also creates it.
    Claimed(Grant),
    /// The owner may spend up to this limit.
    Reserved(Tokens),
    /// A call that must not be repeated is about to be sent to a target.
    Intended(RequestId),
    /// A call announced by [`Event::Intended`] was certainly not executed.
    Withdrawn(RequestId),
    /// A turn finished.
    Finished {
        /// The number of the turn.
        turn: Turn,
        /// Tokens spent after the turn.
        spent: Tokens,
        /// The exchange, if the class journals histories; the caller supplies it otherwise.
        exchange: Option<Exchange>,
    },
    /// The caller has the answers to all turns before this one, since it made the call.
    ///
    /// Written where the caller keeps the history: a late copy of an earlier turn must not run.
    Acknowledged(Turn),
    /// The program ended.
    Closed,
    /// No engine holds anything for the ended program any more.
    Released,
    /// The whole state, rewritten before retention takes the records it replaces.
    Checkpoint {
        /// What the program was given.
        grant: Grant,
        /// Tokens spent.
        spent: Tokens,
        /// The journalled limit.
        limit: Tokens,
        /// The finished exchanges that the owner has.
        history: History,
        /// The turns that are known to have finished.
        finished: Turn,
        /// Calls whose outcome is not known.
        unknown: Vec<RequestId>,
        /// Whether the program has ended.
        ended: bool,
    },
}
