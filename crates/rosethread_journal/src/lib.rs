//! The journal: what must survive a node, kept in the platform's log.
//!
//! [`Record`]s are grouped into [`Batch`]es, one append each. [`JournalIndex`] reads batches in
//! log order and decides which records count; it is pure, so every reader reaches the same verdicts.
//! [`Journal`] is the asynchronous shell: it appends, reads back, and tells each writer the verdict
//! on its record. `docs/design/journal.md` gives the rules and the reasons.

mod fold;
mod journal;
mod record;

pub use fold::{IndexedProgram, IndexedTarget, JournalIndex, Verdict};
pub use journal::{Journal, JournalConfig, JournalError, JournalStats, Receipt};
pub use record::{Batch, Record};
