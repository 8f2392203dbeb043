//! A bound on the memory that calls in progress use together.
//!
//! Targets in trouble may all send responses without end. A limit for each response is then not
//! enough: hosts have as little as 88 MB for hundreds of calls.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

/// A number of bytes that calls reserve parts of; clones share it.
#[derive(Clone, Debug)]
pub struct MemoryPool(Arc<AtomicUsize>);

impl MemoryPool {
    /// Returns a pool of this many bytes.
    pub fn new(bytes: usize) -> MemoryPool {
        MemoryPool(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Returns an empty reservation, which can grow.
    pub fn reserve(&self) -> Reservation {
        Reservation { pool: self.clone(), bytes: 0 }
    }

    /// Returns the bytes that are not reserved.
    pub fn free_bytes(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Bytes taken from a pool, to which they return when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    pool: MemoryPool,
    bytes: usize,
}

impl Reservation {
    /// Grows to `bytes` and returns whether the pool had enough left; if not, nothing changes. Never
    /// shrinks.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        self.grow_within(bytes, 0)
    }

    /// Does the same, and leaves at least `kept_free` bytes of the pool.
    fn grow_within(&mut self, bytes: usize, kept_free: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        let take = |free: usize| free.checked_sub(missing).filter(|it| kept_free <= *it);
        let is_taken = self.pool.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok();
        if is_taken {
            self.bytes += missing;
        }
        is_taken
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.pool.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// The time without a part after which a body may lose its memory to others.
const STALL_TIME: Duration = Duration::from_secs(5);

/// The size up to which a body may use the memory that larger ones leave free, in bytes.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// The memory that the bodies of all callers' requests share.
///
/// Bodies beyond `SMALL_BODY_BYTES` leave a quarter free, so that ordinary calls are still served. When
/// the memory runs out, the largest of the bodies that have stalled gives up its part. See
/// `docs/design/memory.md`.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    pool: MemoryPool,
    /// The total size in bytes.
    total: usize,
    arriving: Arc<Mutex<BTreeMap<u64, ArrivingBody>>>,
    next_key: Arc<AtomicU64>,
}

/// A body of which more is to come.
#[derive(Debug)]
struct ArrivingBody {
    bytes: usize,
    /// When its last part arrived.
    progress: Instant,
    eviction: Arc<Notify>,
}

impl BodyMemory {
    /// Returns a memory of this many bytes.
    pub fn new(total: usize) -> BodyMemory {
        let (arriving, next_key) = (Arc::default(), Arc::default());
        BodyMemory { pool: MemoryPool::new(total), total, arriving, next_key }
    }

    /// Returns the bytes in use.
    pub fn used_bytes(&self) -> usize {
        self.total - self.pool.free_bytes()
    }

    /// Returns the total size in bytes.
    pub fn total_bytes(&self) -> usize {
        self.total
    }

    /// Adds a body that begins to arrive.
    pub fn open(&self, now: Instant) -> BodyReservation {
        let key = self.next_key.fetch_add(1, Ordering::Relaxed);
        let eviction = Arc::new(Notify::new());
        let body = ArrivingBody { bytes: 0, progress: now, eviction: eviction.clone() };
        self.lock().insert(key, body);
        let listing = Listing { memory: self.clone(), key };
        BodyReservation { reservation: self.pool.reserve(), listing, eviction }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, ArrivingBody>> {
        self.arriving.lock().expect("no holder of the lock on bodies panics")
    }

    /// Takes the memory of the largest body that has stalled.
    fn evict_stalled(&self, now: Instant) {
        let mut arriving = self.lock();
        let stalled = arriving
            .iter()
            .filter(|(_, it)| 0 < it.bytes && STALL_TIME <= now.duration_since(it.progress));
        let largest = stalled.max_by_key(|(_, it)| it.bytes).map(|it| *it.0);
        if let Some(body) = largest.and_then(|it| arriving.remove(&it)) {
            body.eviction.notify_one();
        }
    }
}

/// The memory of one body that arrives.
#[derive(Debug)]
pub struct BodyReservation {
    reservation: Reservation,
    listing: Listing,
    eviction: Arc<Notify>,
}

impl BodyReservation {
    /// Records that a part has arrived.
    pub fn record_progress(&self, now: Instant) {
        if let Some(body) = self.listing.memory.lock().get_mut(&self.listing.key) {
            body.progress = now;
        }
    }

    /// Grows to `bytes` and returns whether there was enough memory. If not, a body that has stalled
    /// gives up its part, so that a later attempt may succeed.
    pub fn grow_to(&mut self, bytes: usize, now: Instant) -> bool {
        let memory = &self.listing.memory;
        let kept_free = if bytes <= SMALL_BODY_BYTES { 0 } else { memory.total / 4 };
        let is_grown = self.reservation.grow_within(bytes, kept_free);
        if !is_grown {
            memory.evict_stalled(now);
        } else if let Some(body) = memory.lock().get_mut(&self.listing.key) {
            body.bytes = bytes;
        }
        is_grown
    }

    /// Waits until this body has to give up its memory.
    pub async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// Returns the memory of a body that is complete, and so can't stall any more.
    pub fn finish(self) -> Reservation {
        self.reservation
    }
}

/// Lists a body as arriving until this is dropped.
#[derive(Debug)]
struct Listing {
    memory: BodyMemory,
    key: u64,
}

impl Drop for Listing {
    fn drop(&mut self) {
        self.memory.lock().remove(&self.key);
    }
}
