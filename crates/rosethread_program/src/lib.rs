//! The state machine of one program: turn order, budget account, answers and history.
//!
//! The crate is deterministic: it has no I/O, no clock and no random source. The node
//! (`rosethread_node`) passes calls in and executes the resulting decisions. The journal
//! (`rosethread_journal`) stores the [`Event`]s and replays them into a [`Recovery`] when another
//! node takes the program over. The rules are explained in `docs/design/programs.md`.

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
