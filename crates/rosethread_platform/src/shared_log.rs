//! A partitioned log that all nodes share, with appends that old owners cannot make.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;
use rosethread_types::StreamName;

use crate::LogEntry;

/// One partition of a topic.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Partition {
    /// The topic.
    pub topic: StreamName,
    /// The partition's number, from zero.
    pub index: u32,
}

/// The right of one owner to append to a partition.
///
/// The log refuses an append under a lower epoch than it has seen, and recognises a repetition by
/// its number, so an append whose answer was lost can be sent again without a second effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencingToken {
    /// The owner's epoch.
    pub epoch: u64,
    /// The number of the append within the epoch, from zero.
    pub sequence: u64,
}

/// A part of a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartitionRead {
    /// The offset of the oldest record that is still kept.
    pub first: u64,
    /// The offset that the next append will get.
    pub end: u64,
    /// Records in the order of their offsets.
    pub entries: Vec<LogEntry>,
}

/// Why the shared log did not do what it was asked for.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SharedLogError {
    /// the store did nothing: {0}
    NotExecuted(String),
    /// the store did not answer, and may act yet: {0}
    NoResponse(String),
    /// a newer owner has appended
    Fenced,
    /// the next append of this epoch has number {expected}
    OutOfOrder {
        /// The number that the log expects.
        expected: u64,
    },
    /// the records before {first} have expired
    Expired {
        /// The oldest offset that is kept.
        first: u64,
    },
    /// the store's answer is malformed: {0}
    Malformed(String),
}

impl std::error::Error for SharedLogError {}

impl SharedLogError {
    /// Tells whether the store could not be reached or was not willing to serve.
    pub fn is_unavailable(&self) -> bool {
        matches!(self, SharedLogError::NotExecuted(_) | SharedLogError::NoResponse(_))
    }
}

/// The platform's partitioned log.
#[async_trait]
pub trait SharedLog: Send + Sync {
    /// Begins an owner's epoch on a partition: from now on lower ones are refused.
    async fn fence(&self, partition: &Partition, epoch: u64) -> Result<(), SharedLogError>;

    /// Appends records, all or none, and returns the offset of the first.
    async fn append(
        &self,
        partition: &Partition,
        records: &[Bytes],
        fence: Option<FencingToken>,
    ) -> Result<u64, SharedLogError>;

    /// Reads from offset `from` on, waiting up to `wait` for a first record.
    ///
    /// Returns at least one record if there is any, and at most about `max_bytes`.
    async fn read(
        &self,
        partition: &Partition,
        from: u64,
        max_bytes: usize,
        wait: Duration,
    ) -> Result<PartitionRead, SharedLogError>;
}
