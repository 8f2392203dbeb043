//! The operators' document and the settings of a process: schema, validation and differences.
//!
//! The document configures a whole deployment. Operators publish it through the platform's log, and
//! every node and the console validate it with [`Document::parse`]. Settings configure one process.
//! Both are TOML and reject unknown fields, and each violation names the field, its value and the
//! rule. See `docs/design/configuration.md`.

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
