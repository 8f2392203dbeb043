//! Groups records into batches and appends them, one batch at a time.

use std::sync::{Arc, atomic::Ordering};

use bytes::Bytes;
use rosethread_types::Position;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    Batch,
    journal::{Lanes, Pending, Shared, add},
};

/// Runs until the journal is dropped.
pub(crate) async fn run(shared: Arc<Shared>, mut lanes: Lanes) {
    let start = Instant::now();
    let mut next_append = start;
    let mut number = 0;
    let mut held_over = None;
    loop {
        let first = match held_over.take() {
            Some(pending) => pending,
            None => match lanes.receiver.recv().await {
                Some(pending) => pending,
                None => return,
            },
        };
        sleep_until(next_append).await;
        next_append = Instant::now() + shared.config.window;
        let (group, rest) = collect(&shared, first, &mut lanes);
        held_over = rest;
        number += 1;
        commit(&shared, number, group).await;
    }
}

/// Takes waiting records up to the size of one batch.
fn collect(shared: &Shared, first: Pending, lanes: &mut Lanes) -> (Vec<Pending>, Option<Pending>) {
    let mut bytes = first.bytes;
    let mut group = vec![first];
    while group.len() < Position::MAX_BATCH {
        let Ok(pending) = lanes.receiver.try_recv() else {
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

/// Appends one batch until it has been read back.
async fn commit(shared: &Shared, number: u64, group: Vec<Pending>) {
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
        let mut flight = shared.flight();
        flight.number = number;
        flight.replies = replies;
    }
    append_until_returned(shared, number, &data).await;
    shared.queued.fetch_sub(size, Ordering::Relaxed);
    add(&shared.counters.batches, 1);
    add(&shared.counters.bytes, data.len() as u64);
}

/// Repeats the append until the reader has seen the batch.
///
/// A failed append may have taken effect; its repetition carries the same number, so readers fold
/// the batch once.
async fn append_until_returned(shared: &Shared, number: u64, data: &Bytes) {
    let mut returned = shared.returned.subscribe();
    let has_returned = async |returned: &mut tokio::sync::watch::Receiver<u64>| {
        returned.wait_for(|it| number <= *it).await.is_ok()
    };
    while *returned.borrow() < number {
        add(&shared.counters.appends, 1);
        let result = shared.log.append(&shared.config.stream, data.clone()).await;
        let is_done = match result {
            Ok(_) => has_returned(&mut returned).await,
            Err(_) => tokio::select! {
                biased;
                is_done = has_returned(&mut returned) => is_done,
                () = sleep(shared.config.retry_delay) => false,
            },
        };
        if is_done {
            return;
        }
    }
}
