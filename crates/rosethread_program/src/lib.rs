//! The state machine of one program: order of turns, account, answers and history.
//!
//! Everything here is a pure function of its inputs: no I/O, no clock, no random source. The node
//! (`rosethread_node`) feeds calls in and carries out what comes back; the journal
//! (`rosethread_journal`) stores the [`Event`]s and hands them to [`Recovery`] when another node
//! takes the program over. The reasons behind the rules are in `docs/design/programs.md`.

mod account;
mod continuation;
mod event;
mod history;
mod program;
mod recovery;

pub use account::{Account, Budget, BudgetError};
pub use continuation::{Continuation, SealError, SealKey, SealKeys};
pub use event::{Event, Grant};
pub use history::{Exchange, History, HistoryError, Usage};
pub use program::{Admission, CallDescriptor, CallOutcome, Program};
pub use recovery::Recovery;
