//! The journal: records in the platform's log from which programs survive the loss of a node.
//!
//! [`Record`]s are grouped into [`Batch`]es, one append each. [`JournalIndex`] reads batches in
//! log order and decides which records are accepted. It is deterministic, so all readers reach the
//! same verdicts. [`Journal`] runs on top of it: it appends batches, reads the log back, and
//! reports to each writer the verdict on its record. `docs/design/journal.md` explains the rules.

mod index;
mod journal;
mod record;

pub use index::{IndexedProgram, IndexedTarget, JournalIndex, Verdict};
pub use journal::{Journal, JournalConfig, JournalError, JournalStats, Receipt};
pub use record::{Batch, Record};
