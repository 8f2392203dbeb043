//! The operators' document and a process's own settings: schema, validation and differences.
//!
//! The document is the whole of what is in force for a deployment; operators publish it through
//! the platform's log, and every node and the console check it with [`Document::parse`]. Settings
//! belong to one process. Both are TOML, both refuse unknown fields, and every finding names the
//! field, the value and the rule. See `docs/design/configuration.md`.

mod diff;
mod document;
mod fold;
mod problem;
mod publication;
mod settings;
mod validate;

pub use diff::{Change, diff};
pub use document::{
    Class, Document, EngineSpec, HistoryStorage, Member, Objective, ObjectiveKind, PolicyName,
    ServiceSpec, Target, TargetKind, TargetState,
};
pub use fold::{ActiveDocument, ConfigFold, PublicationError};
pub use problem::{Problem, Problems};
pub use publication::Publication;
pub use settings::{
    Addresses, JournalSettings, KeySettings, Limits, LogSettings, MembershipSettings, Settings,
};
pub use validate::{hash_key, key_matches};
