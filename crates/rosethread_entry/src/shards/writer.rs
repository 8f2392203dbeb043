//! Group commit of one shard's records, fenced by the epoch of its claim.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use rosethread_platform::{FencingToken, Partition, SharedLogError};
use slog::warn;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep, timeout_at},
};

use crate::{entry::Entry, ledger::LedgerRecord, pace::WritePacer, shards::encode_record};

/// The number of records from which an append takes no further ones.
const MAX_BATCH: usize = 512;

/// How long records that nobody waits for may wait for others. A program's next turn comes later than
/// that, after its tools, so that its ceiling is in the log by then.
const GATHER_TIME: Duration = Duration::from_millis(40);

/// The delay before an append is repeated while the log is unavailable.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Records that are appended together, and the sender that reports whether they were.
struct Pending {
    records: Vec<Bytes>,
    urgency: Urgency,
    done: oneshot::Sender<bool>,
}

/// Whether a call or the end of the host waits for records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Urgency {
    Now,
    Soon,
}

/// The queue of one shard's records to the task that appends them to the log.
pub(super) struct Writer {
    sender: mpsc::UnboundedSender<Pending>,
}

impl Writer {
    /// Starts the task that appends; its first append has number 1, since the claim's has 0.
    pub(super) fn start(
        entry: &Arc<Entry>,
        index: u32,
        partition: Partition,
        epoch: u64,
        is_lost: Arc<AtomicBool>,
    ) -> Writer {
        let (sender, receiver) = mpsc::unbounded_channel();
        let appender = Appender { entry: entry.clone(), index, partition, epoch, is_lost };
        entry.tasks.spawn(appender.run(receiver));
        Writer { sender }
    }

    /// Queues records, which are appended together; the receiver yields whether they have reached the
    /// log, or an error if the task has ended.
    pub(super) fn submit(
        &self,
        records: &[LedgerRecord],
        urgency: Urgency,
    ) -> oneshot::Receiver<bool> {
        let (done, receiver) = oneshot::channel();
        let records = records.iter().map(encode_record).collect();
        // Fails if the task has ended because the shard is lost; the receiver then fails too.
        let _ = self.sender.send(Pending { records, urgency, done });
        receiver
    }
}

/// The task that appends one shard's records.
struct Appender {
    entry: Arc<Entry>,
    index: u32,
    partition: Partition,
    epoch: u64,
    is_lost: Arc<AtomicBool>,
}

/// Adds the queued records to `batch`, and waits for more while nobody waits for any of them.
async fn gather(receiver: &mut mpsc::UnboundedReceiver<Pending>, batch: &mut Vec<Pending>) {
    let until = Instant::now() + GATHER_TIME;
    let mut count: usize = batch.iter().map(|it| it.records.len()).sum();
    while count < MAX_BATCH {
        let is_urgent = batch.iter().any(|it| it.urgency == Urgency::Now);
        let next = match receiver.try_recv() {
            Ok(next) => Some(next),
            Err(_) if is_urgent => None,
            Err(_) => timeout_at(until, receiver.recv()).await.ok().flatten(),
        };
        let Some(next) = next else {
            return;
        };
        count += next.records.len();
        batch.push(next);
    }
}

impl Appender {
    async fn run(self, mut receiver: mpsc::UnboundedReceiver<Pending>) {
        let mut sequence = 1;
        let mut batch = Vec::new();
        let mut pace = WritePacer::new(&self.entry);
        while receiver.recv_many(&mut batch, 1).await != 0 {
            pace.wait(&self.entry).await;
            gather(&mut receiver, &mut batch).await;
            let (records, waiting): (Vec<_>, Vec<_>) =
                batch.drain(..).map(|it| (it.records, it.done)).unzip();
            let records = records.concat();
            let fence = FencingToken { epoch: self.epoch, sequence };
            let is_appended = self.append(&records, fence).await;
            for it in waiting {
                // Fails if the caller that queued the record does not wait for it.
                let _ = it.send(is_appended);
            }
            if !is_appended {
                self.is_lost.store(true, Ordering::Relaxed);
                return;
            }
            sequence += 1;
        }
    }

    /// Appends until the log has taken the records; returns false if the shard is lost.
    async fn append(&self, records: &[Bytes], fence: FencingToken) -> bool {
        let entry = &self.entry;
        loop {
            entry.metrics.appends.inc();
            let error = match entry.shared_log.append(&self.partition, records, Some(fence)).await {
                Ok(_) => return true,
                // An earlier attempt has appended these records, but its reply was lost.
                Err(SharedLogError::OutOfOrder { expected }) if expected == fence.sequence + 1 => {
                    return true;
                }
                Err(error) => error,
            };
            if !error.is_unavailable() || self.is_lost.load(Ordering::Relaxed) {
                warn!(entry.logger, "shards: lost"; "shard" => self.index, "epoch" => fence.epoch,
                    "error" => %error);
                return false;
            }
            sleep(RETRY_DELAY).await;
        }
    }
}
