//! Keeps all writers together within the calls that the store takes.

use std::time::Duration;

use rosethread_policy::TokenBucket;
use tokio::time::sleep;

use crate::entry::Entry;

/// The part of the store's rate that regular writers use; the rest is for claims and repetitions.
const WRITE_SHARE: f64 = 0.8;

/// The topics that each have one regular writer a shard.
const TOPICS: f64 = 2.0;

/// The time over which a writer may save up calls.
const SAVED: Duration = Duration::from_millis(500);

/// The pace of one shard's writer: its part of the store's rate, with some saved up.
///
/// A writer that has to wait collects records meanwhile, so a store of a tenth of the rate costs
/// latency, not refusals.
pub(crate) struct WritePacer {
    bucket: TokenBucket,
}

impl WritePacer {
    /// Returns the pace of one of a deployment's writers.
    pub(crate) fn new(entry: &Entry) -> WritePacer {
        WritePacer { bucket: TokenBucket::new(burst(rate(entry)), entry.now()) }
    }

    /// Waits until the next append may be made.
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

/// Returns one writer's part of the calls that the store takes in a second.
fn rate(entry: &Entry) -> f64 {
    let writers = TOPICS * f64::from(entry.settings.platform.partitions);
    entry.reloadable().writes_per_s * WRITE_SHARE / writers
}

fn burst(rate: f64) -> f64 {
    (rate * SAVED.as_secs_f64()).max(1.0)
}
