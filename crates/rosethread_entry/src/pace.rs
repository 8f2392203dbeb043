//! Rate limit for appends, so that all writers together stay within the write rate of the store.

use std::time::Duration;

use rosethread_policy::TokenBucket;
use tokio::time::sleep;

use crate::entry::Entry;

/// Fraction of the store's write rate given to the regular writers; the rest is reserved for shard
/// claims and retries.
const REGULAR_FRACTION: f64 = 0.8;

/// Number of topics; each has one regular writer per shard.
const TOPICS: f64 = 2.0;

/// Time for which a writer's unused allowance accumulates.
const BURST_PERIOD: Duration = Duration::from_millis(500);

/// Token bucket of one shard's writer, which gets an equal part of the store's write rate.
///
/// A writer that has to wait batches the records that arrive meanwhile, so a store that takes a
/// tenth of the rate costs latency rather than refused calls.
pub(crate) struct WritePacer {
    bucket: TokenBucket,
}

impl WritePacer {
    /// Creates the limit of one writer, with a full bucket.
    pub(crate) fn new(entry: &Entry) -> WritePacer {
        WritePacer { bucket: TokenBucket::new(burst(rate(entry)), entry.now()) }
    }

    /// Waits until the rate allows the next append.
    pub(crate) async fn wait(&mut self, entry: &Entry) {
        loop {
            let rate = rate(entry);
            match self.bucket.take(entry.now(), rate, burst(rate), 1.0) {
                Ok(()) => return,
                Err(wait) => sleep(wait).await,
            }
        }
    }
}

/// Returns the appends that one writer may make per second.
fn rate(entry: &Entry) -> f64 {
    let writers = TOPICS * f64::from(entry.settings.platform.partitions);
    entry.reloadable().writes_per_s * REGULAR_FRACTION / writers
}

/// Returns the capacity of the bucket, in appends; at least one.
fn burst(rate: f64) -> f64 {
    (rate * BURST_PERIOD.as_secs_f64()).max(1.0)
}
