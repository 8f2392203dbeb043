//! Follows callers' connections, so that a host that stops knows what it still owes on them.
//!
//! A request is owed an answer from its first byte to the last byte of the answer. The calls that the
//! entry serves are only the middle part of that time: before it the request is still arriving, and
//! after it the answer waits for a slow caller or link. See `docs/design/draining.md`.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rosethread_types::RequestId;
use tokio::{sync::Notify, time::Instant};

/// How far the exchange of a request and its answer on a connection has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExchangeStage {
    /// No request has begun since the last answer.
    #[default]
    Idle,
    /// Bytes of a request have arrived, but not the whole of its head.
    ReadingHead,
    /// The head of a request has arrived, but not the whole of its body.
    ReadingBody,
    /// The request has been read, and its answer is not complete.
    Serving,
    /// The answer is complete, but not all of its bytes have been sent.
    Sending,
    /// All bytes of the answer have been written to the socket.
    Sent,
    /// The connection ends with its last answer, and waits for the caller to close it.
    Closing,
}

/// An exchange as it stood at one moment, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ExchangeState {
    pub(crate) stage: ExchangeStage,
    /// The time in this stage.
    pub(crate) age: Duration,
    /// The caller's identifier for the attempt, once the head has been read.
    pub(crate) request: Option<RequestId>,
}

#[derive(Debug)]
struct Exchange {
    stage: ExchangeStage,
    /// When the stage began.
    since: Instant,
    request: Option<RequestId>,
    /// Whether the request is answered although its body has not been read whole.
    is_body_unread: bool,
    /// Whether the end of the connection would pass for that of an answer which is not complete.
    must_reset: bool,
    /// Whether the connection has to make room for others.
    must_yield: bool,
    /// Wakes the task of a connection that has to make room.
    yielding: Arc<Notify>,
}

/// One connection of a caller; it counts as open until this is dropped.
#[derive(Debug)]
pub struct CallerConnection {
    key: u64,
    exchange: Arc<Mutex<Exchange>>,
    open: Connections,
}

impl CallerConnection {
    fn lock(&self) -> MutexGuard<'_, Exchange> {
        lock(&self.exchange)
    }

    /// Returns the current stage.
    pub fn stage(&self) -> ExchangeStage {
        self.lock().stage
    }

    /// Returns when the current stage began.
    pub fn stage_began(&self) -> Instant {
        self.lock().since
    }

    /// Records that the exchange has come to `stage`.
    pub fn set_stage(&self, stage: ExchangeStage) {
        let mut exchange = self.lock();
        if exchange.stage != stage {
            exchange.stage = stage;
            exchange.since = Instant::now();
        }
        if stage == ExchangeStage::Idle {
            exchange.request = None;
        }
    }

    /// Records that the head of a request has been read, with its identifier.
    pub fn begin_request(&self, request: Option<RequestId>) {
        self.set_stage(ExchangeStage::ReadingBody);
        let mut exchange = self.lock();
        exchange.request = request;
        exchange.is_body_unread = true;
    }

    /// Records that the body of the request has been read whole.
    pub fn end_request(&self) {
        self.lock().is_body_unread = false;
        self.set_stage(ExchangeStage::Serving);
    }

    /// Records that the answer has ended early, and that only a reset of the connection tells the caller.
    pub fn require_reset(&self) {
        self.lock().must_reset = true;
    }

    /// Returns whether the connection has to end with a reset.
    pub fn must_reset(&self) -> bool {
        self.lock().must_reset
    }

    /// Waits until this connection has to make room for others. It closes unless a request has begun
    /// meanwhile.
    pub async fn wait_for_yield(&self) {
        let yielding = self.lock().yielding.clone();
        loop {
            yielding.notified().await;
            let mut exchange = self.lock();
            if exchange.stage == ExchangeStage::Idle {
                return;
            }
            exchange.must_yield = false;
        }
    }

    /// Returns whether the last request has been answered although its body has not been read whole.
    pub fn is_body_unread(&self) -> bool {
        self.lock().is_body_unread
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        lock(&self.open.exchanges).remove(&self.key);
    }
}

/// The open connections of callers; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections {
    exchanges: Arc<Mutex<BTreeMap<u64, Arc<Mutex<Exchange>>>>>,
    next_key: Arc<AtomicU64>,
}

impl Connections {
    /// Adds a connection that a caller has just opened.
    pub(crate) fn open(&self) -> CallerConnection {
        let key = self.next_key.fetch_add(1, Ordering::Relaxed);
        let exchange = Exchange {
            stage: ExchangeStage::Idle,
            since: Instant::now(),
            request: None,
            is_body_unread: false,
            must_reset: false,
            must_yield: false,
            yielding: Arc::default(),
        };
        let exchange = Arc::new(Mutex::new(exchange));
        lock(&self.exchanges).insert(key, exchange.clone());
        CallerConnection { key, exchange, open: self.clone() }
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        lock(&self.exchanges).len()
    }

    /// Closes the connection that has been idle for longest; returns whether there is one.
    pub(crate) fn close_idlest(&self) -> bool {
        let exchanges = lock(&self.exchanges);
        let idle = exchanges.values().filter_map(|it| {
            let exchange = lock(it);
            let is_idle = exchange.stage == ExchangeStage::Idle && !exchange.must_yield;
            is_idle.then_some((exchange.since, it))
        });
        let Some((_, idlest)) = idle.min_by_key(|it| it.0) else {
            return false;
        };
        let mut exchange = lock(idlest);
        exchange.must_yield = true;
        exchange.yielding.notify_one();
        true
    }

    /// Returns the exchanges whose request has begun, and whose answer has not been sent whole.
    pub(crate) fn unanswered(&self) -> impl Iterator<Item = ExchangeState> {
        let exchanges: Vec<_> = lock(&self.exchanges).values().cloned().collect();
        let states = exchanges.into_iter().map(|it| {
            let Exchange { stage, since, request, .. } = &*lock(&it);
            ExchangeState { stage: *stage, age: since.elapsed(), request: request.clone() }
        });
        states.filter(|it| ExchangeStage::Idle < it.stage && it.stage < ExchangeStage::Sent)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of a lock on connections panics")
}
