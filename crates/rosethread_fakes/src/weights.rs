//! A fake of the platform's rate-limited store of model weights.

use std::{sync::Mutex, time::Duration};

use tokio::time::Instant;

/// Why a read from the weight store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightStoreError {
    /// The rate limit is reached; holds the time until the next read can succeed.
    RateLimited(Duration),
}

/// A store of model weights that serves a limited number of reads in a sliding window of time.
pub struct WeightStore {
    limit: usize,
    window: Duration,
    /// The times of the reads within the window, the oldest first.
    reads: Mutex<Vec<Instant>>,
}

impl WeightStore {
    /// Returns a store that serves `limit` reads within any `window`.
    pub fn new(limit: usize, window: Duration) -> WeightStore {
        WeightStore { limit, window, reads: Mutex::default() }
    }

    /// Reads the weights of a model, which takes no time and returns no data.
    pub fn read(&self) -> Result<(), WeightStoreError> {
        let now = Instant::now();
        let mut reads =
            self.reads.lock().expect("no thread panics while it holds the weight store");
        reads.retain(|it| now < *it + self.window);
        if reads.len() < self.limit {
            reads.push(now);
            return Ok(());
        }
        let wait = reads.first().map_or(self.window, |it| *it + self.window - now);
        Err(WeightStoreError::RateLimited(wait))
    }
}
