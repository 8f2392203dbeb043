//! The interface to the platform's append-only log service.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use rosethread_types::StreamName;

use crate::LogError;

/// A record that was read from a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// The record's offset in its stream.
    pub offset: u64,
    /// The record's content.
    pub data: Bytes,
}

/// A range of records from a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogRead {
    /// The offset of the oldest record that has not expired.
    pub first: u64,
    /// The offset of the next append.
    pub end: u64,
    /// The records, ordered by offset.
    pub entries: Vec<LogEntry>,
}

/// An append-only log service with independent streams.
///
/// An append whose acknowledgement is lost may have taken effect. So writers that retry must
/// recognise their own records when they read the stream.
#[async_trait]
pub trait LogService: Send + Sync {
    /// Appends a record and returns its offset.
    async fn append(&self, stream: &StreamName, data: Bytes) -> Result<u64, LogError>;

    /// Reads up to `max` records, starting at offset `from`.
    ///
    /// If there is no such record yet, waits up to `wait` for one. If the record at `from` has
    /// expired, starts with the oldest record that has not.
    async fn read(
        &self,
        stream: &StreamName,
        from: u64,
        max: usize,
        wait: Duration,
    ) -> Result<LogRead, LogError>;
}
