//! A stand-in for the platform's log service.

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

/// How the log misbehaves at present.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LogFaults {
    /// Whether it refuses everything.
    pub down: bool,
    /// The delay of each append and read.
    pub delay: Duration,
    /// Of how many appends one loses its acknowledgement after taking effect; zero means none.
    pub lost_ack_every: u64,
    /// Appends accepted in a second; zero means any number.
    pub rate: u32,
    /// How long records are kept; zero means for ever.
    pub retention: Duration,
}

#[derive(Default)]
struct Stream {
    first: u64,
    entries: VecDeque<(Instant, Bytes)>,
}

#[derive(Default)]
struct State {
    faults: LogFaults,
    streams: BTreeMap<StreamName, Stream>,
    appends: u64,
    bytes: u64,
    second: Option<(Instant, u32)>,
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
        self.state.lock().expect("no holder of the log panics")
    }

    /// Changes how the log misbehaves.
    pub fn set_faults(&self, faults: LogFaults) {
        self.state().faults = faults;
    }

    /// Returns how the log misbehaves.
    pub fn faults(&self) -> LogFaults {
        self.state().faults
    }

    /// Returns the number of appends that took effect, and their bytes.
    pub fn append_totals(&self) -> (u64, u64) {
        let state = self.state();
        (state.appends, state.bytes)
    }

    /// Returns all records of a stream that are kept.
    pub fn records(&self, stream: &StreamName) -> Vec<Bytes> {
        let state = self.state();
        let stream = state.streams.get(stream);
        stream
            .map(|it| it.entries.iter().map(|(_, data)| data.clone()).collect())
            .unwrap_or_default()
    }

    /// Returns all records of a stream that are kept, with the time of each append.
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

    /// Appends at once, past all faults.
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

    fn check(&self) -> Result<(), LogError> {
        if self.state().faults.down {
            return Err(LogError::Unavailable("the log service is down".to_owned()));
        }
        Ok(())
    }

    fn check_rate(&self) -> Result<(), LogError> {
        let mut state = self.state();
        let rate = state.faults.rate;
        if rate == 0 {
            return Ok(());
        }
        let now = Instant::now();
        let (start, count) = state.second.unwrap_or((now, 0));
        let is_over = start + Duration::from_secs(1) <= now;
        let (start, count) = if is_over { (now, 0) } else { (start, count) };
        state.second = Some((start, count + 1));
        if rate <= count { Err(LogError::RateLimited) } else { Ok(()) }
    }

    fn try_read(&self, stream: &StreamName, from: u64, max: usize) -> LogRead {
        let mut state = self.state();
        let retention = state.faults.retention;
        let stream = state.streams.entry(stream.clone()).or_default();
        if !retention.is_zero() {
            expire(stream, retention);
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

fn expire(stream: &mut Stream, retention: Duration) {
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
        self.check()?;
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
            self.check()?;
            let read = self.try_read(stream, from, max);
            if !read.entries.is_empty() || deadline <= Instant::now() {
                return Ok(read);
            }
            if timeout_at(deadline, appended).await.is_err() {
                self.check()?;
                return Ok(self.try_read(stream, from, max));
            }
        }
    }
}
