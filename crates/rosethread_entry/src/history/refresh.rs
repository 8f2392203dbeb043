//! Copies turns that are owed for longer than the log keeps their records.
//!
//! The host that is responsible for a shard's turns does this, so that it takes no agreement, and
//! duplicates of a copy are harmless. See [`crate::chains`].

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rosethread_platform::{Partition, SharedLogError};
use rosethread_types::{RequestId, StreamName};
use slog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::{
    chains::{ChainPlan, Lifetimes, Now},
    entry::{Entry, Phase},
    history::{BATCH_BYTES, SharedCache, lock, read_to_end},
    shards::responsible_for,
};

/// The longest pause between two checks of what has to be copied.
const MAX_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// The longest time until a host notices that it is responsible for another shard.
const MAX_DUTY_PERIOD: Duration = Duration::from_secs(5);

/// The shortest pause between two checks, and between two reads of what other hosts wrote.
const MIN_PERIOD: Duration = Duration::from_millis(100);

/// A record's lifetime and a turn's are divided by this for the pause between two reads of what other
/// hosts wrote.
const READS_PER_LIFETIME: u32 = 4;

/// What this host knows of a shard since it became responsible for it.
struct Duty {
    /// When to read what other hosts wrote.
    next_read: Instant,
    /// Whether this host has read all records and copies of the shard.
    is_informed: bool,
}

/// Returns the times that decide how long records live and turns are owed.
pub(super) fn lifetimes(entry: &Entry) -> Lifetimes {
    Lifetimes { record: entry.settings.retention(), turn: entry.routes().longest_history() }
}

fn partition(shard: u32) -> Partition {
    let topic: StreamName = "rosethread-chains".parse().expect("the name is valid");
    Partition { topic, index: shard }
}

/// Looks after the chains of all shards that this host is responsible for, until the process ends.
pub(crate) async fn refresh_chains(entry: Arc<Entry>) {
    let mut duties: BTreeMap<u32, Duty> = BTreeMap::new();
    let mut next_duties = Instant::now();
    loop {
        let lifetimes = lifetimes(&entry);
        let shortest = lifetimes.record.min(lifetimes.turn);
        let period = (shortest / READS_PER_LIFETIME).max(MIN_PERIOD);
        sleep(period.min(MAX_CHECK_PERIOD)).await;
        if lifetimes.turn.is_zero() || Phase::Serving < entry.phase() {
            duties.clear();
            continue;
        }
        if next_duties <= Instant::now() {
            next_duties = Instant::now() + period.min(MAX_DUTY_PERIOD);
            for shard in 0..entry.settings.platform.partitions {
                let is_responsible =
                    responsible_for(&entry, shard).as_ref() == Some(&entry.settings.node);
                if !is_responsible {
                    duties.remove(&shard);
                } else {
                    let next_read = Instant::now() + period;
                    let duty = Duty { next_read, is_informed: false };
                    duties.entry(shard).or_insert(duty);
                }
            }
        }
        for (shard, duty) in &mut duties {
            if let Err(error) = refresh_shard(&entry, *shard, duty, lifetimes, period).await {
                info!(entry.logger, "history: could not look after the chains";
                    "shard" => shard, "why" => %error);
                duty.next_read = Instant::now() + period;
            }
        }
    }
}

async fn refresh_shard(
    entry: &Entry,
    shard: u32,
    duty: &mut Duty,
    lifetimes: Lifetimes,
    period: Duration,
) -> Result<(), SharedLogError> {
    let turns = entry.turns.shard(shard);
    let plan = |turns: &SharedCache| {
        let wall = Duration::from_millis(entry.clock.now_ms());
        lock(turns).plan_chains(lifetimes, Now { process: entry.now(), wall })
    };
    if duty.next_read <= Instant::now() {
        let has_gap = plan(&turns).has_gap;
        read_all(entry, shard, &turns, has_gap || !duty.is_informed).await?;
        duty.is_informed = true;
        duty.next_read = Instant::now() + period;
    }
    let ChainPlan { copy, mut drop, .. } = plan(&turns);
    write(entry, shard, &turns, &copy, true).await?;
    if duty.is_informed && !drop.is_empty() {
        // Another host may have written a turn that needs what is to be dropped.
        read_all(entry, shard, &turns, false).await?;
        drop = plan(&turns).drop;
        write(entry, shard, &turns, &drop, false).await?;
    }
    Ok(())
}

/// Reads what other hosts wrote to the log; with `has_gap` also all that this host has evicted, and
/// the copies.
async fn read_all(
    entry: &Entry,
    shard: u32,
    turns: &SharedCache,
    has_gap: bool,
) -> Result<(), SharedLogError> {
    let read_lock = entry.turns.read_lock(shard);
    let _reading = read_lock.lock().await;
    if has_gap {
        lock(turns).restart_scan();
    }
    read_to_end(entry, shard, turns).await?;
    if has_gap {
        read_copies(entry, shard, turns).await?;
    }
    Ok(())
}

/// Adds the copied turns of a shard to the cache.
pub(super) async fn read_copies(
    entry: &Entry,
    shard: u32,
    turns: &SharedCache,
) -> Result<(), SharedLogError> {
    let values = entry.shared_log.read_values(&partition(shard)).await?;
    let failures = lock(turns).apply_values(&values, entry.now());
    if !values.is_empty() {
        info!(entry.logger, "history: read the copies"; "shard" => shard, "values" => values.len());
    }
    if failures != 0 {
        warn!(entry.logger, "history: could not decode copies of turns"; "shard" => shard,
            "values" => failures);
    }
    Ok(())
}

/// Copies turns, or drops their copies, in as many writes as their size takes.
async fn write(
    entry: &Entry,
    shard: u32,
    turns: &SharedCache,
    ids: &[RequestId],
    is_copy: bool,
) -> Result<(), SharedLogError> {
    let record_bytes = entry.settings.platform.record_bytes;
    let mut rest = ids;
    while !rest.is_empty() {
        let (count, values) = lock(turns).chain_batch(rest, is_copy, record_bytes, BATCH_BYTES);
        let (batch, later) = rest.split_at(count);
        rest = later;
        entry.metrics.appends.inc();
        match entry.shared_log.write_values(&partition(shard), &values).await {
            Ok(()) => (),
            Err(error) if error.is_unavailable() => return Err(error),
            Err(error) => {
                // The turns of the other batches have to be copied all the same.
                warn!(entry.logger, "history: copies were refused"; "shard" => shard,
                    "turns" => batch.len(), "error" => %error);
                continue;
            }
        }
        let mut turns = lock(turns);
        for id in batch {
            turns.set_copied(id, is_copy);
        }
        info!(entry.logger, "history: changed the copies"; "shard" => shard, "copied" => is_copy,
            "turns" => batch.len(), "values" => values.len());
        let counter =
            if is_copy { &entry.metrics.copied_turns } else { &entry.metrics.dropped_turns };
        counter.inc_by(batch.len() as u64);
    }
    Ok(())
}
