//! HTTP adapter for the log service.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use rosethread_types::StreamName;
use serde::{Deserialize, Serialize};

use crate::{LogEntry, LogError, LogRead, LogService};

/// The timeout of an append, after which it counts as unacknowledged.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// How much longer a read may take than it waits for a record.
const READ_MARGIN: Duration = Duration::from_secs(2);

/// A log service that accepts records as request bodies and returns reads as JSON.
pub struct HttpLog {
    client: reqwest::Client,
    base: String,
}

#[derive(Serialize, Deserialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Serialize, Deserialize)]
struct ReadResponse {
    first: u64,
    end: u64,
    entries: Vec<EncodedEntry>,
}

#[derive(Serialize, Deserialize)]
struct EncodedEntry {
    offset: u64,
    /// The content of the record in hexadecimal.
    data: String,
}

impl HttpLog {
    /// Returns a client of the log service at `address`.
    pub fn new(client: reqwest::Client, address: SocketAddr) -> HttpLog {
        HttpLog { client, base: format!("http://{address}/streams") }
    }
}

#[async_trait]
impl LogService for HttpLog {
    async fn append(&self, stream: &StreamName, data: Bytes) -> Result<u64, LogError> {
        let url = format!("{}/{stream}", self.base);
        let request = self.client.post(url).body(data).timeout(APPEND_TIMEOUT);
        let response = request.send().await.map_err(unavailable)?;
        if response.status() == reqwest::StatusCode::TOO_MANY_REQUESTS {
            return Err(LogError::RateLimited);
        }
        let response = response.error_for_status().map_err(unavailable)?;
        let appended: AppendResponse = response.json().await.map_err(malformed)?;
        Ok(appended.offset)
    }

    async fn read(
        &self,
        stream: &StreamName,
        from: u64,
        max: usize,
        wait: Duration,
    ) -> Result<LogRead, LogError> {
        let wait_ms = wait.as_millis();
        let url = format!("{}/{stream}?from={from}&max={max}&wait_ms={wait_ms}", self.base);
        let request = self.client.get(url).timeout(wait + READ_MARGIN);
        let response = request.send().await.map_err(unavailable)?;
        let response = response.error_for_status().map_err(unavailable)?;
        let read: ReadResponse = response.json().await.map_err(malformed)?;
        let entries = read.entries.into_iter().map(decode).collect::<Result<_, _>>()?;
        Ok(LogRead { first: read.first, end: read.end, entries })
    }
}

fn decode(entry: EncodedEntry) -> Result<LogEntry, LogError> {
    let data = hex::decode(&entry.data).map_err(|it| LogError::Malformed(it.to_string()))?;
    Ok(LogEntry { offset: entry.offset, data: data.into() })
}

fn unavailable(error: reqwest::Error) -> LogError {
    LogError::Unavailable(error.to_string())
}

fn malformed(error: reqwest::Error) -> LogError {
    LogError::Malformed(error.to_string())
}
