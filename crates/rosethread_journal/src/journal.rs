//! Group commit, read-back and recovery over the log service.

mod appender;
mod reader;
mod recover;

use std::{
    pin::pin,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use displaydoc::Display;
use rosethread_platform::{Clock, LogService};
use rosethread_types::{Incarnation, NodeName, StreamName};
use tokio::{
    sync::{Notify, mpsc, oneshot, watch},
    time::Instant,
};

use crate::{JournalIndex, Record, Verdict};

/// The configuration with which a journal writes and reads its stream.
#[derive(Clone, Debug)]
pub struct JournalConfig {
    /// The stream in the log service.
    pub stream: StreamName,
    /// The node that writes.
    pub node: NodeName,
    /// The incarnation of the node, which changes with each start of its process.
    pub incarnation: Incarnation,
    /// The minimum time between two appends; records submitted meanwhile share the next one.
    pub window: Duration,
    /// The delay before a failed append or read is retried.
    pub retry_delay: Duration,
    /// How long one read of the log waits for new batches.
    pub poll_timeout: Duration,
    /// The maximum size of one batch, in bytes.
    pub batch_bytes: usize,
    /// The maximum size of all records that wait for the log; further ones are refused.
    pub queue_bytes: usize,
    /// The clock that timestamps batches.
    pub clock: Clock,
}

impl JournalConfig {
    /// Returns the default configuration for `node` on `stream`.
    pub fn new(
        stream: StreamName,
        node: NodeName,
        incarnation: Incarnation,
        clock: Clock,
    ) -> JournalConfig {
        JournalConfig {
            stream,
            node,
            incarnation,
            window: Duration::from_millis(25),
            retry_delay: Duration::from_millis(100),
            poll_timeout: Duration::from_millis(500),
            batch_bytes: 256 << 10,
            queue_bytes: 16 << 20,
            clock,
        }
    }

    /// Sets the minimum time between two appends.
    #[must_use]
    pub fn window(mut self, window: Duration) -> JournalConfig {
        self.window = window;
        self
    }

    /// Sets the maximum size of all records that wait for the log, in bytes.
    #[must_use]
    pub fn queue_bytes(mut self, bytes: usize) -> JournalConfig {
        self.queue_bytes = bytes;
        self
    }
}

/// Why the journal cannot give a verdict, or cannot be read.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum JournalError {
    /// the queue of records for the log is full
    QueueFull,
    /// the journal has stopped
    Stopped,
    /// the log expired before it was read
    Expired,
    /// the log is unavailable
    Unavailable,
}

impl std::error::Error for JournalError {}

/// Counters of one journal since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JournalStats {
    /// Batches that were written and read back.
    pub batches: u64,
    /// Attempts to append a batch, retries included.
    pub appends: u64,
    /// Records taken from the queue into batches.
    pub records: u64,
    /// Encoded bytes of the written batches.
    pub bytes: u64,
    /// Log entries read, whichever node wrote them.
    pub reads: u64,
    /// How often entries expired before they were read, which resets the index.
    pub gaps: u64,
    /// Records refused because the queue was full.
    pub refused: u64,
}

/// A handle by which a submitter waits for the verdict on its record.
pub struct Receipt(Result<oneshot::Receiver<Verdict>, JournalError>);

impl Receipt {
    /// Waits until the record has been read back from the log, and returns its verdict.
    pub async fn verdict(self) -> Result<Verdict, JournalError> {
        self.0?.await.map_err(|_| JournalError::Stopped)
    }
}

/// A submitted record that waits for the next batch.
pub(crate) struct PendingRecord {
    record: Record,
    bytes: usize,
    reply: oneshot::Sender<Verdict>,
}

/// The batch being appended: its number, and the submitters that wait for verdicts.
#[derive(Default)]
pub(crate) struct InFlightBatch {
    number: u64,
    replies: Vec<oneshot::Sender<Verdict>>,
}

/// The state that a journal's handles and tasks share.
pub(crate) struct Shared {
    config: JournalConfig,
    log: Arc<dyn LogService>,
    index: Mutex<JournalIndex>,
    in_flight: Mutex<InFlightBatch>,
    /// The number of this node's last batch that has been read back.
    read_back: watch::Sender<u64>,
    /// Whether the stream has been read to its end at least once.
    caught_up: watch::Sender<bool>,
    /// Whether the last read of the log succeeded.
    log_reachable: AtomicBool,
    /// When the last successful read of the log started.
    last_read: Mutex<Option<Instant>>,
    /// Wakes waiters after each read of the log, successful or not.
    has_read: Notify,
    /// The offset of the next entry to read; all earlier ones have been applied to the index.
    next_offset: AtomicU64,
    /// The size of all records that wait to be written and read back.
    queued_bytes: AtomicUsize,
    counters: Counters,
}

/// The counters behind [`JournalStats`].
#[derive(Default)]
pub(crate) struct Counters {
    batches: AtomicU64,
    appends: AtomicU64,
    records: AtomicU64,
    bytes: AtomicU64,
    reads: AtomicU64,
    gaps: AtomicU64,
    refused: AtomicU64,
}

fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}

/// A handle on the journal of one stream; clones share it.
#[derive(Clone)]
pub struct Journal {
    shared: Arc<Shared>,
    sender: mpsc::UnboundedSender<PendingRecord>,
}

/// The receiving end of the queue of submitted records, which the appender drains.
pub(crate) struct RecordQueue {
    receiver: mpsc::UnboundedReceiver<PendingRecord>,
}

impl Journal {
    /// Creates a journal and its writer and reader tasks, both of which the caller has to run.
    pub fn new(
        config: JournalConfig,
        log: Arc<dyn LogService>,
    ) -> (Journal, impl Future<Output = ()> + Send, impl Future<Output = ()> + Send) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            config,
            log,
            index: Mutex::default(),
            in_flight: Mutex::default(),
            read_back: watch::Sender::new(0),
            caught_up: watch::Sender::new(false),
            log_reachable: AtomicBool::new(false),
            last_read: Mutex::default(),
            has_read: Notify::new(),
            next_offset: AtomicU64::new(0),
            queued_bytes: AtomicUsize::new(0),
            counters: Counters::default(),
        });
        let writer = appender::run(shared.clone(), RecordQueue { receiver });
        let reader = reader::run(shared.clone());
        (Journal { shared, sender }, writer, reader)
    }

    /// Queues a record for the next batch.
    ///
    /// The receipt reports [`JournalError::QueueFull`] if too many bytes are waiting already.
    pub fn submit(&self, record: Record) -> Receipt {
        let bytes = postcard::experimental::serialized_size(&record).unwrap_or(usize::MAX);
        let queued_bytes = self.shared.queued_bytes.load(Ordering::Relaxed);
        if self.shared.config.queue_bytes < queued_bytes.saturating_add(bytes) {
            add(&self.shared.counters.refused, 1);
            return Receipt(Err(JournalError::QueueFull));
        }
        self.shared.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let (reply, receiver) = oneshot::channel();
        if self.sender.send(PendingRecord { record, bytes, reply }).is_err() {
            return Receipt(Err(JournalError::Stopped));
        }
        Receipt(Ok(receiver))
    }

    /// Locks and returns the index of everything read so far.
    pub fn index(&self) -> MutexGuard<'_, JournalIndex> {
        self.shared.index()
    }

    /// Returns whether the last read of the log succeeded.
    pub fn is_log_reachable(&self) -> bool {
        self.shared.log_reachable.load(Ordering::Relaxed)
    }

    /// Returns whether the stream has been read to its end at least once.
    pub fn is_caught_up(&self) -> bool {
        *self.shared.caught_up.borrow()
    }

    /// Waits until a successful read is less than `age` old, or returns if the log is unreachable.
    ///
    /// After a pause of the process, the index may be stale. Waiting here keeps a node from acting
    /// on it before it has seen the log's newer entries.
    pub async fn wait_until_fresh(&self, age: Duration) {
        let is_fresh = || {
            let last_read = *self.shared.last_read();
            !self.is_log_reachable() || last_read.is_some_and(|it| it.elapsed() < age)
        };
        loop {
            let mut has_read = pin!(self.shared.has_read.notified());
            has_read.as_mut().enable();
            if is_fresh() {
                return;
            }
            has_read.await;
        }
    }

    /// Waits until every entry that is in the log now has been applied to the index.
    pub async fn catch_up(&self) -> Result<(), JournalError> {
        let config = &self.shared.config;
        // A read far beyond the end returns the end offset and no entries.
        let read = self.shared.log.read(&config.stream, u64::MAX, 1, Duration::ZERO).await;
        let end = read.map_err(|_| JournalError::Unavailable)?.end;
        loop {
            let mut has_read = pin!(self.shared.has_read.notified());
            has_read.as_mut().enable();
            if end <= self.shared.next_offset.load(Ordering::Acquire) {
                return Ok(());
            }
            has_read.await;
        }
    }

    /// Returns the size of all records that wait for the log, in bytes.
    pub fn queued_bytes(&self) -> usize {
        self.shared.queued_bytes.load(Ordering::Relaxed)
    }

    /// Returns the counters since the start of the journal.
    pub fn stats(&self) -> JournalStats {
        let counters = &self.shared.counters;
        let get = |it: &AtomicU64| it.load(Ordering::Relaxed);
        JournalStats {
            batches: get(&counters.batches),
            appends: get(&counters.appends),
            records: get(&counters.records),
            bytes: get(&counters.bytes),
            reads: get(&counters.reads),
            gaps: get(&counters.gaps),
            refused: get(&counters.refused),
        }
    }
}

impl Shared {
    fn now_ms(&self) -> u64 {
        self.config.clock.now_ms()
    }

    fn index(&self) -> MutexGuard<'_, JournalIndex> {
        self.index.lock().expect("the index lock is never poisoned")
    }

    fn last_read(&self) -> MutexGuard<'_, Option<Instant>> {
        self.last_read.lock().expect("the last-read lock is never poisoned")
    }

    fn in_flight(&self) -> MutexGuard<'_, InFlightBatch> {
        self.in_flight.lock().expect("the in-flight lock is never poisoned")
    }
}
