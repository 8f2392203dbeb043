//! Positions in the platform's log, and the epochs and revisions that are derived from them.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of low bits of a [`Position`] that hold the record's index within its batch.
const INDEX_BITS: u32 = 12;

/// The position of one record in a log stream: the offset of its batch and its index in the batch.
///
/// Positions in one stream are totally ordered, and this order resolves all conflicts between
/// nodes; see `docs/design/journal.md`.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position(u64);

impl Position {
    /// The maximum number of records in one batch.
    pub const MAX_BATCH: usize = 1 << INDEX_BITS;

    /// Creates the position of record `index` in the batch at `offset`.
    ///
    /// # Panics
    ///
    /// Panics if `index` is not below [`Position::MAX_BATCH`].
    pub fn new(offset: u64, index: usize) -> Position {
        assert!(
            index < Position::MAX_BATCH,
            "a batch holds at most {} records",
            Position::MAX_BATCH
        );
        Position((offset << INDEX_BITS) | index as u64)
    }

    /// Returns the offset of the batch.
    pub fn offset(self) -> u64 {
        self.0 >> INDEX_BITS
    }

    /// Returns the record's index within its batch.
    pub fn index(self) -> usize {
        (self.0 & ((1 << INDEX_BITS) - 1)) as usize
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.offset(), self.index())
    }
}

impl fmt::Debug for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A period of ownership: one more than the position of the claim record that began it.
///
/// Zero means that no node has claimed ownership yet. Of two epochs of the same program or target,
/// the larger one is always the newer, so an epoch also serves as a fencing token.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch of a program or target that no node has claimed.
    pub const UNCLAIMED: Epoch = Epoch(0);

    /// Returns the epoch that begins with the claim at `position`.
    pub fn of_claim(position: Position) -> Epoch {
        Epoch(position.0 + 1)
    }
}

/// The revision of the operators' document: one more than its offset in the configuration stream.
///
/// Zero means that no document has been published.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
