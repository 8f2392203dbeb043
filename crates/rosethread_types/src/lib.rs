//! Identifiers, names, epochs and outcomes shared by every rosethread crate.
//!
//! This crate sits below all others: it has no I/O, no clock and no knowledge of how a value is
//! stored or sent. `rosethread_program`, `rosethread_journal` and `rosethread_policy` build their
//! state from these types, and the integrations (`rosethread_platform`, `rosethread_node`)
//! serialise them. The terms are defined in `docs/GLOSSARY.md`.

mod digest;
mod id;
mod name;
mod outcome;
mod position;

pub use digest::Digest;
pub use id::{
    AttemptId, Incarnation, ProgramId, ProgramLabel, PromptPart, RequestId, SessionLabel,
};
pub use name::{
    ClassName, MemberName, ModelName, NameError, NodeName, ServiceName, StreamName, TargetName,
    ZoneName,
};
pub use outcome::{Outcome, Reason, Refusal};
pub use position::{Epoch, Position, Revision};

/// A count of tokens, the unit of budgets, prompts and cache memory.
pub type Tokens = u64;

/// The number of a call within its program, counted from zero.
pub type Turn = u32;
