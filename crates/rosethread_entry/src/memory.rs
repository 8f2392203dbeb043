//! A bound on the memory that calls in progress use together.
//!
//! Targets in trouble may all send responses without end. A limit for each response is then not
//! enough: hosts have as little as 88 MB for hundreds of calls.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

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
        let missing = bytes.saturating_sub(self.bytes);
        let take = |free: usize| free.checked_sub(missing);
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
