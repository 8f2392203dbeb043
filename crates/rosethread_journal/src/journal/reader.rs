//! Reads the stream in order, feeds the fold, and returns verdicts to the writers.

use std::sync::{Arc, atomic::Ordering};

use rosethread_platform::{LogEntry, LogRead};
use tokio::time::{Instant, sleep};

use crate::{
    Batch, JournalIndex, Verdict,
    journal::{Shared, add},
};

/// The most batches taken by one read.
const READ_BATCHES: usize = 256;

/// Runs for as long as the node does.
pub(crate) async fn run(shared: Arc<Shared>) {
    let config = &shared.config;
    let mut next = 0;
    loop {
        // What a read returns is as old as its start: it may have lain in a buffer for long.
        let started = Instant::now();
        let read = shared.log.read(&config.stream, next, READ_BATCHES, config.poll_timeout).await;
        shared.is_up.store(read.is_ok(), Ordering::Relaxed);
        match read {
            Ok(read) => {
                next = take(&shared, next, &read);
                shared.next.store(next, Ordering::Release);
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

/// Folds what was read and returns the offset to go on from.
fn take(shared: &Shared, next: u64, read: &LogRead) -> u64 {
    let has_gap = next < read.first;
    if has_gap && *shared.caught_up.borrow() {
        // What expired unread may have held claims, so nothing known before can be relied on.
        *shared.fold() = JournalIndex::default();
        add(&shared.counters.gaps, 1);
    }
    let mut next = next.max(read.first);
    for entry in &read.entries {
        take_entry(shared, entry);
        next = entry.offset + 1;
    }
    if read.end <= next {
        shared.caught_up.send_if_modified(|it| !std::mem::replace(it, true));
    }
    next
}

fn take_entry(shared: &Shared, entry: &LogEntry) {
    add(&shared.counters.reads, 1);
    let Some(batch) = Batch::decode(&entry.data) else {
        return;
    };
    let verdicts = shared.fold().apply(entry.offset, &batch);
    let is_own = batch.node == shared.config.node && batch.incarnation == shared.config.incarnation;
    if let (true, Some(verdicts)) = (is_own, verdicts) {
        answer(shared, batch.number, verdicts);
    }
}

/// Tells the writers of this node's batch what became of their records.
fn answer(shared: &Shared, number: u64, verdicts: Vec<Verdict>) {
    let replies = {
        let mut flight = shared.flight();
        if flight.number != number {
            return;
        }
        std::mem::take(&mut flight.replies)
    };
    for (reply, verdict) in replies.into_iter().zip(verdicts) {
        // The writer may have stopped waiting; its record counts all the same.
        let _ = reply.send(verdict);
    }
    shared.returned.send_replace(number);
}
