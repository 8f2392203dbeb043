//! The platform's append-only log service.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use rosethread_types::StreamName;

use crate::LogError;

/// One record as the log service returns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// The record's offset in its stream.
    pub offset: u64,
    /// The record's content.
    pub data: Bytes,
}

/// A part of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogRead {
    /// The offset of the oldest record that is still kept.
    pub first: u64,
    /// The offset that the next append will get.
    pub end: u64,
    /// Records in the order of their offsets.
    pub entries: Vec<LogEntry>,
}

/// The append-only log service.
///
/// An append whose acknowledgement is lost may have taken effect, so appenders have to recognise
/// their own records when they read them back.
#[async_trait]
pub trait LogService: Send + Sync {
    /// Appends a record and returns its offset.
    async fn append(&self, stream: &StreamName, data: Bytes) -> Result<u64, LogError>;

    /// Reads at most `max` records from offset `from` on.
    ///
    /// Waits up to `wait` for a first record if there is none yet. Starts with the oldest record
    /// that is kept if `from` has expired.
    async fn read(
        &self,
        stream: &StreamName,
        from: u64,
        max: usize,
        wait: Duration,
    ) -> Result<LogRead, LogError>;
}
