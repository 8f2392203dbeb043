//! The interface to a partitioned log that all nodes share, with fencing of former owners.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;
use rosethread_types::StreamName;

use crate::LogEntry;

/// A partition of a topic.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Partition {
    /// The name of the topic.
    pub topic: StreamName,
    /// The number of the partition within the topic, from 0.
    pub index: u32,
}

/// A fencing token, with which the owner of a partition appends.
///
/// The log rejects appends whose epoch is lower than one that it has seen. It recognises a repeated
/// append by its sequence number, so an append whose response was lost can safely be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencingToken {
    /// The owner's epoch.
    pub epoch: u64,
    /// The sequence number of the append within the epoch, from 0.
    pub sequence: u64,
}

/// A range of records from a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartitionRead {
    /// The offset of the oldest record that has not expired.
    pub first: u64,
    /// The offset of the next append.
    pub end: u64,
    /// The records, ordered by offset.
    pub entries: Vec<LogEntry>,
}

/// The newest value of a key in a partition of a compacted topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedValue {
    /// The key.
    pub key: String,
    /// The value; an empty one deletes the key.
    pub value: Bytes,
}

/// An error of the shared log.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SharedLogError {
    /// the shared log did not execute the request: {0}
    NotExecuted(String),
    /// the shared log did not respond and may still execute the request: {0}
    NoResponse(String),
    /// a newer owner holds the partition
    Fenced,
    /// the append is out of sequence; the shared log expects number {expected}
    OutOfOrder {
        /// The sequence number that the log expects next.
        expected: u64,
    },
    /// the records before offset {first} have expired
    Expired {
        /// The offset of the oldest record that has not expired.
        first: u64,
    },
    /// the response of the shared log is malformed: {0}
    Malformed(String),
}

impl std::error::Error for SharedLogError {}

impl SharedLogError {
    /// Returns whether the log could not be reached, declined the request or did not respond. In
    /// these cases a retry may succeed.
    pub fn is_unavailable(&self) -> bool {
        matches!(self, SharedLogError::NotExecuted(_) | SharedLogError::NoResponse(_))
    }
}

/// A partitioned log that all nodes share.
#[async_trait]
pub trait SharedLog: Send + Sync {
    /// Starts the epoch of a new owner; from then on, appends under lower epochs are rejected.
    async fn fence(&self, partition: &Partition, epoch: u64) -> Result<(), SharedLogError>;

    /// Appends records atomically and returns the offset of the first.
    async fn append(
        &self,
        partition: &Partition,
        records: &[Bytes],
        fence: Option<FencingToken>,
    ) -> Result<u64, SharedLogError>;

    /// Reads records, starting at offset `from`.
    ///
    /// If there is no such record yet, waits up to `wait` for one. The total size of the records is
    /// about `max_bytes` at most, but at least one record is returned if there is any.
    async fn read(
        &self,
        partition: &Partition,
        from: u64,
        max_bytes: usize,
        wait: Duration,
    ) -> Result<PartitionRead, SharedLogError>;

    /// Writes values to a partition of a compacted topic, all or none.
    ///
    /// Such a topic keeps the newest value of each key, whatever its age. Its name is one that no
    /// other topic has.
    async fn write_values(
        &self,
        partition: &Partition,
        values: &[KeyedValue],
    ) -> Result<(), SharedLogError>;

    /// Reads the newest value of each key from a partition of a compacted topic; none if nobody has
    /// written to the topic yet.
    async fn read_values(&self, partition: &Partition) -> Result<Vec<KeyedValue>, SharedLogError>;
}
