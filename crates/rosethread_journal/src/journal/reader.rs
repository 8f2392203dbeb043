//! Reads the stream in order, applies batches to the index, and sends verdicts to submitters.

use std::sync::{Arc, atomic::Ordering};

use rosethread_platform::{LogEntry, LogRead};
use tokio::time::{Instant, sleep};

use crate::{
    Batch, JournalIndex, Verdict,
    journal::{Shared, add},
};

/// The maximum number of log entries in one read.
const READ_BATCHES: usize = 256;

/// Reads the stream without end; the task is dropped with the node.
pub(crate) async fn run(shared: Arc<Shared>) {
    let config = &shared.config;
    let mut next = 0;
    loop {
        // A response may wait in a buffer for long, so its content is only as fresh as the start of
        // the read.
        let started = Instant::now();
        let read = shared.log.read(&config.stream, next, READ_BATCHES, config.poll_timeout).await;
        shared.log_reachable.store(read.is_ok(), Ordering::Relaxed);
        match read {
            Ok(read) => {
                next = apply_read(&shared, next, &read);
                shared.next_offset.store(next, Ordering::Release);
                *shared.last_read() = Some(started);
                shared.has_read.notify_waiters();
            }
            Err(_) => {
                shared.has_read.notify_waiters();
                sleep(config.retry_delay).await;
            }
        }
    }
}

/// Applies what was read to the index and returns the offset of the next read.
fn apply_read(shared: &Shared, next: u64, read: &LogRead) -> u64 {
    let has_gap = next < read.first;
    if has_gap && *shared.caught_up.borrow() {
        // Entries that expired unread may have held claims, so the index is no longer valid.
        *shared.index() = JournalIndex::default();
        add(&shared.counters.gaps, 1);
    }
    let mut next = next.max(read.first);
    for entry in &read.entries {
        apply_entry(shared, entry);
        next = entry.offset + 1;
    }
    if read.end <= next {
        shared.caught_up.send_if_modified(|it| !std::mem::replace(it, true));
    }
    next
}

fn apply_entry(shared: &Shared, entry: &LogEntry) {
    add(&shared.counters.reads, 1);
    let Some(batch) = Batch::decode(&entry.data) else {
        return;
    };
    let verdicts = shared.index().apply(entry.offset, &batch);
    let is_own = batch.node == shared.config.node && batch.incarnation == shared.config.incarnation;
    if let (true, Some(verdicts)) = (is_own, verdicts) {
        send_verdicts(shared, batch.number, verdicts);
    }
}

/// Sends the verdicts on this node's batch to the submitters of its records.
fn send_verdicts(shared: &Shared, number: u64, verdicts: Vec<Verdict>) {
    let replies = {
        let mut in_flight = shared.in_flight();
        if in_flight.number != number {
            return;
        }
        std::mem::take(&mut in_flight.replies)
    };
    for (reply, verdict) in replies.into_iter().zip(verdicts) {
        // A submitter may have stopped waiting; the verdict on its record holds regardless.
        let _ = reply.send(verdict);
    }
    shared.read_back.send_replace(number);
}
