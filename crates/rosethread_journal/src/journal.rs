//! The asynchronous shell: group commit, read-back and recovery.

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

/// How a journal writes and reads its stream.
#[derive(Clone, Debug)]
pub struct JournalConfig {
    /// The stream in the log service.
    pub stream: StreamName,
    /// The node that writes.
    pub node: NodeName,
    /// The run of the node's process.
    pub incarnation: Incarnation,
    /// The least time between two appends; records that come within it share an append.
    pub window: Duration,
    /// The delay before a failed append or read is repeated.
    pub retry_delay: Duration,
    /// How long one read waits for new records.
    pub poll_timeout: Duration,
    /// The most bytes of one batch.
    pub batch_bytes: usize,
    /// The most bytes that wait for the log; further records are refused.
    pub queue_bytes: usize,
    /// The source of the time that batches carry.
    pub clock: Clock,
}

impl JournalConfig {
    /// Returns the usual configuration for `node` on `stream`.
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

    /// Sets the least time between two appends.
    #[must_use]
    pub fn window(mut self, window: Duration) -> JournalConfig {
        self.window = window;
        self
    }

    /// Sets the most bytes that wait for the log.
    #[must_use]
    pub fn queue_bytes(mut self, bytes: usize) -> JournalConfig {
        self.queue_bytes = bytes;
        self
    }
}

/// Why the journal gives no verdict.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum JournalError {
    /// too many records wait for the log
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
    /// Batches written.
    pub batches: u64,
    /// Attempts to append, repeated ones included.
    pub appends: u64,
    /// Records written.
    pub records: u64,
    /// Bytes written.
    pub bytes: u64,
    /// Batches read, by any node.
    pub reads: u64,
    /// Times that records expired before they were read.
    pub gaps: u64,
    /// Records refused because too many waited.
    pub refused: u64,
}

/// The promise of a verdict on a submitted record.
pub struct Receipt(Result<oneshot::Receiver<Verdict>, JournalError>);

impl Receipt {
    /// Waits until the record has been read back in log order.
    pub async fn verdict(self) -> Result<Verdict, JournalError> {
        self.0?.await.map_err(|_| JournalError::Stopped)
    }
}

pub(crate) struct Pending {
    record: Record,
    bytes: usize,
    reply: oneshot::Sender<Verdict>,
}

/// The batch that is on its way: its number and the writers that wait for verdicts.
#[derive(Default)]
pub(crate) struct Flight {
    number: u64,
    replies: Vec<oneshot::Sender<Verdict>>,
}

pub(crate) struct Shared {
    config: JournalConfig,
    log: Arc<dyn LogService>,
    fold: Mutex<JournalIndex>,
    flight: Mutex<Flight>,
    /// The number of this node's last batch that was read back.
    returned: watch::Sender<u64>,
    /// The offset up to which the stream has been read, once the first pass is complete.
    caught_up: watch::Sender<bool>,
    is_up: AtomicBool,
    /// When the last read of the log succeeded.
    last_read: Mutex<Option<Instant>>,
    has_read: Notify,
    /// The offset up to which the stream has been folded.
    next: AtomicU64,
    queued: AtomicUsize,
    counters: Counters,
}

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
    sender: mpsc::UnboundedSender<Pending>,
}

/// The tasks that the owner of a journal has to run.
pub(crate) struct Lanes {
    receiver: mpsc::UnboundedReceiver<Pending>,
}

impl Journal {
    /// Returns a journal and the two tasks, writer and reader, that have to run for it.
    pub fn new(
        config: JournalConfig,
        log: Arc<dyn LogService>,
    ) -> (Journal, impl Future<Output = ()> + Send, impl Future<Output = ()> + Send) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            config,
            log,
            fold: Mutex::default(),
            flight: Mutex::default(),
            returned: watch::Sender::new(0),
            caught_up: watch::Sender::new(false),
            is_up: AtomicBool::new(false),
            last_read: Mutex::default(),
            has_read: Notify::new(),
            next: AtomicU64::new(0),
            queued: AtomicUsize::new(0),
            counters: Counters::default(),
        });
        let writer = appender::run(shared.clone(), Lanes { receiver });
        let reader = reader::run(shared.clone());
        (Journal { shared, sender }, writer, reader)
    }

    /// Queues a record for the next batch.
    pub fn submit(&self, record: Record) -> Receipt {
        let bytes = postcard::experimental::serialized_size(&record).unwrap_or(usize::MAX);
        let queued = self.shared.queued.load(Ordering::Relaxed);
        if self.shared.config.queue_bytes < queued.saturating_add(bytes) {
            add(&self.shared.counters.refused, 1);
            return Receipt(Err(JournalError::QueueFull));
        }
        self.shared.queued.fetch_add(bytes, Ordering::Relaxed);
        let (reply, receiver) = oneshot::channel();
        if self.sender.send(Pending { record, bytes, reply }).is_err() {
            return Receipt(Err(JournalError::Stopped));
        }
        Receipt(Ok(receiver))
    }

    /// Returns the index of what has been read so far.
    pub fn index(&self) -> MutexGuard<'_, JournalIndex> {
        self.shared.fold()
    }

    /// Tells whether the last read of the log succeeded.
    pub fn is_log_reachable(&self) -> bool {
        self.shared.is_up.load(Ordering::Relaxed)
    }

    /// Tells whether the stream has been read to its end at least once.
    pub fn is_caught_up(&self) -> bool {
        *self.shared.caught_up.borrow()
    }

    /// Waits until the log has been read within the last `age`, unless it is unavailable.
    ///
    /// A process that was paused finds out here that the log may have moved on, before it acts on
    /// what it read earlier.
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

    /// Waits until everything that is in the log now has been folded.
    pub async fn catch_up(&self) -> Result<(), JournalError> {
        let config = &self.shared.config;
        // A read far beyond the end returns the end and no records.
        let read = self.shared.log.read(&config.stream, u64::MAX, 1, Duration::ZERO).await;
        let end = read.map_err(|_| JournalError::Unavailable)?.end;
        loop {
            let mut has_read = pin!(self.shared.has_read.notified());
            has_read.as_mut().enable();
            if end <= self.shared.next.load(Ordering::Acquire) {
                return Ok(());
            }
            has_read.await;
        }
    }

    /// Returns the number of bytes that wait for the log.
    pub fn queued_bytes(&self) -> usize {
        self.shared.queued.load(Ordering::Relaxed)
    }

    /// Returns the counters.
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

    fn fold(&self) -> MutexGuard<'_, JournalIndex> {
        self.fold.lock().expect("no holder of the fold panics")
    }

    fn last_read(&self) -> MutexGuard<'_, Option<Instant>> {
        self.last_read.lock().expect("no holder of the time panics")
    }

    fn flight(&self) -> MutexGuard<'_, Flight> {
        self.flight.lock().expect("no holder of the flight panics")
    }
}
