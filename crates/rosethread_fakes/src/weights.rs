//! A stand-in for the platform's rate-limited weight store.

use std::{sync::Mutex, time::Duration};

use tokio::time::Instant;

/// Why the weight store did not serve a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightStoreError {
    /// The limit is reached; this is how long until it is not.
    RateLimited(Duration),
}

/// A store of model weights that serves a limited number of reads in a window of time.
pub struct WeightStore {
    limit: usize,
    window: Duration,
    reads: Mutex<Vec<Instant>>,
}

impl WeightStore {
    /// Returns a store that serves `limit` reads in each `window`.
    pub fn new(limit: usize, window: Duration) -> WeightStore {
        WeightStore { limit, window, reads: Mutex::default() }
    }

    /// Reads the weights of a model.
    pub fn read(&self) -> Result<(), WeightStoreError> {
        let now = Instant::now();
        let mut reads = self.reads.lock().expect("no holder of the weight store panics");
        reads.retain(|it| now < *it + self.window);
        if reads.len() < self.limit {
            reads.push(now);
            return Ok(());
        }
        let wait = reads.first().map_or(self.window, |it| *it + self.window - now);
        Err(WeightStoreError::RateLimited(wait))
    }
}
