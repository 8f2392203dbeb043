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
    time::sleep,
};

use crate::{entry::Entry, ledger::LedgerRecord, pace::WritePacer, shards::encode_record};

/// The number of records from which an append takes no further ones.
const MAX_BATCH: usize = 512;

/// The delay before an append is repeated while the log is unavailable.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Records that are appended together, and the sender that reports whether they were.
struct Pending {
    records: Vec<Bytes>,
    done: oneshot::Sender<bool>,
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
    pub(super) fn submit(&self, records: &[LedgerRecord]) -> oneshot::Receiver<bool> {
        let (done, receiver) = oneshot::channel();
        let records = records.iter().map(encode_record).collect();
        // Fails if the task has ended because the shard is lost; the receiver then fails too.
        let _ = self.sender.send(Pending { records, done });
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

impl Appender {
    async fn run(self, mut receiver: mpsc::UnboundedReceiver<Pending>) {
        let mut sequence = 1;
        let mut batch = Vec::new();
        let mut pace = WritePacer::new(&self.entry);
        while receiver.recv_many(&mut batch, 1).await != 0 {
            pace.wait(&self.entry).await;
            let mut count: usize = batch.iter().map(|it: &Pending| it.records.len()).sum();
            while count < MAX_BATCH
                && let Ok(pending) = receiver.try_recv()
            {
                count += pending.records.len();
                batch.push(pending);
            }
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
