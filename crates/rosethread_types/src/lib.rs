//! Identifiers, names, log positions and errors that all rosethread crates share.
//!
//! This crate depends on no other crate of the workspace. It does no I/O, reads no clock and does
//! not define how values are stored or sent. `rosethread_program`, `rosethread_journal` and
//! `rosethread_policy` build their state from these types, and the integrations
//! (`rosethread_platform`, `rosethread_node`) serialise them. `docs/GLOSSARY.md` defines the terms.

mod digest;
mod id;
mod name;
mod outcome;
mod position;

pub use digest::Digest;
pub use id::{
    AttemptId, Incarnation, OrganisationName, ProgramId, ProgramLabel, PromptPart, RequestId,
    SessionLabel, SoftwareVersion,
};
pub use name::{
    ClassName, MemberName, ModelName, NameError, NodeName, ServiceName, StreamName, TargetName,
    ZoneName,
};
pub use outcome::{Outcome, Reason, Refusal};
pub use position::{Epoch, Position, Revision};

/// A count of tokens, the unit of budgets, prompts and cache memory.
pub type Tokens = u64;

/// The index of a call within its program, counted from zero.
pub type Turn = u32;
