//! Group commit: collects records into batches and appends one batch at a time.

use std::sync::{Arc, atomic::Ordering};

use bytes::Bytes;
use rosethread_types::Position;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    Batch,
    journal::{PendingRecord, RecordQueue, Shared, add},
};

/// Runs until all handles on the journal are dropped.
pub(crate) async fn run(shared: Arc<Shared>, mut queue: RecordQueue) {
    let start = Instant::now();
    let mut next_append = start;
    let mut number = 0;
    let mut carried_over = None;
    loop {
        let first = match carried_over.take() {
            Some(pending) => pending,
            None => match queue.receiver.recv().await {
                Some(pending) => pending,
                None => return,
            },
        };
        sleep_until(next_append).await;
        next_append = Instant::now() + shared.config.window;
        let (group, rest) = collect(&shared, first, &mut queue);
        carried_over = rest;
        number += 1;
        commit(&shared, number, group).await;
    }
}

/// Takes queued records up to the size of one batch.
///
/// Also returns a record that was taken from the queue and did not fit.
fn collect(
    shared: &Shared,
    first: PendingRecord,
    queue: &mut RecordQueue,
) -> (Vec<PendingRecord>, Option<PendingRecord>) {
    let mut bytes = first.bytes;
    let mut group = vec![first];
    while group.len() < Position::MAX_BATCH {
        let Ok(pending) = queue.receiver.try_recv() else {
            break;
        };
        if shared.config.batch_bytes < bytes + pending.bytes {
            return (group, Some(pending));
        }
        bytes += pending.bytes;
        group.push(pending);
    }
    (group, None)
}

/// Writes one batch and waits until it has been read back.
async fn commit(shared: &Shared, number: u64, group: Vec<PendingRecord>) {
    let size: usize = group.iter().map(|it| it.bytes).sum();
    let (records, replies): (Vec<_>, Vec<_>) =
        group.into_iter().map(|it| (it.record, it.reply)).unzip();
    add(&shared.counters.records, records.len() as u64);
    let batch = Batch {
        node: shared.config.node.clone(),
        incarnation: shared.config.incarnation,
        number,
        written_ms: shared.now_ms(),
        records,
    };
    let data = batch.encode();
    {
        let mut in_flight = shared.in_flight();
        in_flight.number = number;
        in_flight.replies = replies;
    }
    append_until_read_back(shared, number, &data).await;
    shared.queued_bytes.fetch_sub(size, Ordering::Relaxed);
    add(&shared.counters.batches, 1);
    add(&shared.counters.bytes, data.len() as u64);
}

/// Retries the append until the reader has seen the batch.
///
/// A failed append may have taken effect. The retry carries the same batch number, so readers apply
/// the batch only once.
async fn append_until_read_back(shared: &Shared, number: u64, data: &Bytes) {
    let mut read_back = shared.read_back.subscribe();
    let wait_read_back = async |read_back: &mut tokio::sync::watch::Receiver<u64>| {
        read_back.wait_for(|it| number <= *it).await.is_ok()
    };
    while *read_back.borrow() < number {
        add(&shared.counters.appends, 1);
        let result = shared.log.append(&shared.config.stream, data.clone()).await;
        let is_read_back = match result {
            Ok(_) => wait_read_back(&mut read_back).await,
            Err(_) => tokio::select! {
                biased;
                is_read_back = wait_read_back(&mut read_back) => is_read_back,
                () = sleep(shared.config.retry_delay) => false,
            },
        };
        if is_read_back {
            return;
        }
    }
}
