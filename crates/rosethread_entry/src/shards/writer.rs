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

/// The maximum number of records in one append.
const MAX_BATCH: usize = 512;

/// The delay before an append is repeated while the log is unavailable.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A queued record and the sender that reports whether it was appended.
struct Pending {
    record: Bytes,
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

    /// Queues a record; the receiver yields whether it has reached the log, or an error if the task
    /// has ended.
    pub(super) fn submit(&self, record: LedgerRecord) -> oneshot::Receiver<bool> {
        let (done, receiver) = oneshot::channel();
        // Fails if the task has ended because the shard is lost; the receiver then fails too.
        let _ = self.sender.send(Pending { record: encode_record(&record), done });
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
            while batch.len() < MAX_BATCH
                && let Ok(pending) = receiver.try_recv()
            {
                batch.push(pending);
            }
            let (records, waiting): (Vec<Bytes>, Vec<_>) =
                batch.drain(..).map(|it| (it.record, it.done)).unzip();
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
