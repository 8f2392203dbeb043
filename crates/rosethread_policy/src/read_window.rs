//! How much one host reads from the log at a time: the load of many hosts that all read much of the log
//! at once, after an outage or while shards move.
//!
//! The log serves all readers at one rate together. If they ask for more than it sends within the time that they
//! wait for it, each read fails after most of its bytes have been sent, and is asked for again from the
//! start: nobody advances, for as long as the readers keep asking. So a read that gets no response halves
//! the next one, down to a size that holds any record, and a success lets it grow again by a little.

/// The size of a read that has room for most of a shard's recent records, in bytes.
const MAX_BYTES: usize = 1 << 20;

/// By how much a read grows after one that got its response, in bytes.
const GROWTH_BYTES: usize = 64 << 10;

/// The size of the next read from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadWindow {
    bytes: usize,
    min_bytes: usize,
}

impl ReadWindow {
    /// Returns the window of a host that has not read yet; a read of `min_bytes` holds any record.
    pub fn new(min_bytes: usize) -> ReadWindow {
        let min_bytes = min_bytes.min(MAX_BYTES);
        ReadWindow { bytes: MAX_BYTES, min_bytes }
    }

    /// Returns the size of a read for which `wanted` bytes are asked.
    pub fn limit(&self, wanted: usize) -> usize {
        wanted.min(self.bytes)
    }

    /// Records whether a read got its response in time.
    pub fn record(&mut self, is_answered: bool) {
        let bytes = if is_answered { self.bytes + GROWTH_BYTES } else { self.bytes / 2 };
        self.bytes = bytes.clamp(self.min_bytes, MAX_BYTES);
    }
}
