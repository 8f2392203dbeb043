//! A fake of the platform's log service.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use rosethread_platform::{LogEntry, LogError, LogRead, LogService};
use rosethread_types::StreamName;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

/// The faults that are active on the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LogFaults {
    /// Whether each append and read fails as unavailable.
    pub down: bool,
    /// The delay before each append and read.
    pub delay: Duration,
    /// Every n-th append takes effect, but its acknowledgement is lost; zero means none.
    pub lost_ack_every: u64,
    /// The most appends accepted in a second; zero means no limit.
    pub rate: u32,
    /// How long records are retained; zero means forever.
    pub retention: Duration,
}

#[derive(Default)]
struct Stream {
    /// The offset of the oldest entry.
    first: u64,
    /// The entries with the time of their append.
    entries: VecDeque<(Instant, Bytes)>,
}

#[derive(Default)]
struct State {
    faults: LogFaults,
    streams: BTreeMap<StreamName, Stream>,
    appends: u64,
    bytes: u64,
    /// The start of the current one-second rate window, and the appends counted in it.
    rate_window: Option<(Instant, u32)>,
}

/// An append-only log in memory.
#[derive(Default)]
pub struct FakeLog {
    state: Mutex<State>,
    appended: Notify,
}

impl FakeLog {
    /// Returns an empty log without faults.
    pub fn new() -> FakeLog {
        FakeLog::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the log")
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: LogFaults) {
        self.state().faults = faults;
    }

    /// Returns the active faults.
    pub fn faults(&self) -> LogFaults {
        self.state().faults
    }

    /// Returns the number of appends that took effect, and their bytes.
    pub fn append_totals(&self) -> (u64, u64) {
        let state = self.state();
        (state.appends, state.bytes)
    }

    /// Returns the retained records of a stream.
    pub fn records(&self, stream: &StreamName) -> Vec<Bytes> {
        let state = self.state();
        let stream = state.streams.get(stream);
        stream
            .map(|it| it.entries.iter().map(|(_, data)| data.clone()).collect())
            .unwrap_or_default()
    }

    /// Returns the retained records of a stream, with the time of each append.
    pub fn timed_records(&self, stream: &StreamName) -> Vec<(Instant, LogEntry)> {
        let state = self.state();
        let Some(stream) = state.streams.get(stream) else {
            return Vec::new();
        };
        let entries = stream.entries.iter().enumerate();
        let entries = entries.map(|(index, (at, data))| {
            let offset = stream.first + index as u64;
            (*at, LogEntry { offset, data: data.clone() })
        });
        entries.collect()
    }

    /// Appends at once, regardless of the active faults; returns the offset.
    pub fn append_bypassing_faults(&self, stream: &StreamName, data: Bytes) -> u64 {
        let mut state = self.state();
        state.appends += 1;
        state.bytes += data.len() as u64;
        let stream = state.streams.entry(stream.clone()).or_default();
        let offset = stream.first + stream.entries.len() as u64;
        stream.entries.push_back((Instant::now(), data));
        drop(state);
        self.appended.notify_waiters();
        offset
    }

    fn check_available(&self) -> Result<(), LogError> {
        if self.state().faults.down {
            return Err(LogError::Unavailable("the log service is down".to_owned()));
        }
        Ok(())
    }

    /// Counts an append against the rate limit.
    fn check_rate(&self) -> Result<(), LogError> {
        let mut state = self.state();
        let rate = state.faults.rate;
        if rate == 0 {
            return Ok(());
        }
        let now = Instant::now();
        let (start, count) = state.rate_window.unwrap_or((now, 0));
        let is_over = start + Duration::from_secs(1) <= now;
        let (start, count) = if is_over { (now, 0) } else { (start, count) };
        state.rate_window = Some((start, count + 1));
        if rate <= count { Err(LogError::RateLimited) } else { Ok(()) }
    }

    /// Returns what can be read now; deletes expired entries first.
    fn read_available(&self, stream: &StreamName, from: u64, max: usize) -> LogRead {
        let mut state = self.state();
        let retention = state.faults.retention;
        let stream = state.streams.entry(stream.clone()).or_default();
        if !retention.is_zero() {
            remove_expired(stream, retention);
        }
        let end = stream.first + stream.entries.len() as u64;
        let start = from.clamp(stream.first, end);
        let skipped = (start - stream.first) as usize;
        let entries = stream.entries.iter().skip(skipped).take(max).enumerate();
        let entries = entries
            .map(|(index, (_, data))| LogEntry { offset: start + index as u64, data: data.clone() })
            .collect();
        LogRead { first: stream.first, end, entries }
    }
}

/// Deletes the entries that are older than `retention`.
fn remove_expired(stream: &mut Stream, retention: Duration) {
    let now = Instant::now();
    while stream.entries.front().is_some_and(|(at, _)| *at + retention < now) {
        stream.entries.pop_front();
        stream.first += 1;
    }
}

#[async_trait]
impl LogService for FakeLog {
    async fn append(&self, stream: &StreamName, data: Bytes) -> Result<u64, LogError> {
        let delay = self.faults().delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
        self.check_available()?;
        self.check_rate()?;
        let offset = self.append_bypassing_faults(stream, data);
        let state = self.state();
        let every = state.faults.lost_ack_every;
        if every != 0 && state.appends.is_multiple_of(every) {
            return Err(LogError::Unavailable("the acknowledgement was lost".to_owned()));
        }
        Ok(offset)
    }

    async fn read(
        &self,
        stream: &StreamName,
        from: u64,
        max: usize,
        wait: Duration,
    ) -> Result<LogRead, LogError> {
        let delay = self.faults().delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            self.check_available()?;
            let read = self.read_available(stream, from, max);
            if !read.entries.is_empty() || deadline <= Instant::now() {
                return Ok(read);
            }
            if timeout_at(deadline, appended).await.is_err() {
                self.check_available()?;
                return Ok(self.read_available(stream, from, max));
            }
        }
    }
}
