//! Conversations that outlive the log's records.
//!
//! The log drops a record by its own age, while a turn is owed with its whole chain. So a turn that
//! a later one needs for longer than its record lives is copied to a compacted topic, once, where it
//! stays until nobody may ask for it. See `docs/design/journal.md`.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use rosethread_platform::KeyedValue;
use rosethread_types::RequestId;

use crate::turns::{CachedTurn, ShardTurnCache, TurnAssembler, TurnTimes, turn_records};

/// How much earlier than by its times a record counts as dropped, and how much longer a turn counts
/// as owed: twice the 5 s by which clocks of hosts differ, and 5 s from a write to the end of the
/// answer.
const MARGIN: Duration = Duration::from_secs(15);

/// Bytes reserved in each value for its key.
const KEY_BYTES: usize = 128;

/// The times that decide how long a record lives and a turn is owed.
#[derive(Clone, Copy, Debug)]
pub struct Lifetimes {
    /// How long the log keeps a record.
    pub record: Duration,
    /// How long a turn without times of its own is owed.
    pub turn: Duration,
}

impl Lifetimes {
    /// Returns whether the log may drop the record of a turn that is still owed, even if no other
    /// turn continues it.
    pub fn are_close(&self) -> bool {
        self.record < self.turn + MARGIN
    }
}

/// The present by both clocks: the time since the process started, and the wall-clock time.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// The time since the process started.
    pub process: Duration,
    /// The time since the Unix epoch.
    pub wall: Duration,
}

/// What to change in the compacted topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChainPlan {
    /// The turns to copy there, those whose records are the oldest first.
    pub copy: Vec<RequestId>,
    /// The turns to drop there, since nobody may ask for them any more.
    pub drop: Vec<RequestId>,
    /// Whether a turn that is owed has an ancestor that is not cached.
    pub has_gap: bool,
}

impl ShardTurnCache {
    /// Returns what to change in the compacted topic, so that every cached turn that is owed lives
    /// there or in the log, with its chain, for as long as it is owed.
    pub fn plan_chains(&self, lifetimes: Lifetimes, now: Now) -> ChainPlan {
        let turns = &self.tree.turns;
        let mut plan = ChainPlan::default();
        // Until when turns that continue it need a turn.
        let mut inherited: BTreeMap<&RequestId, Duration> = BTreeMap::new();
        for cached in turns.values() {
            let until = owed_until(cached, lifetimes, now) + MARGIN;
            let mut next = cached.turn.previous.as_ref().filter(|_| now.wall < until);
            while let Some(id) = next {
                let Some((id, ancestor)) = turns.get_key_value(id) else {
                    plan.has_gap = true;
                    break;
                };
                let known = inherited.entry(id).or_default();
                if until <= *known {
                    break;
                }
                *known = until;
                next = ancestor.turn.previous.as_ref();
            }
        }
        let mut copy = Vec::new();
        for (id, cached) in turns {
            let inherited = inherited.get(id);
            let is_owed = now.wall < owed_until(cached, lifetimes, now) + MARGIN;
            let expiry = expiry(cached, lifetimes, now);
            let outlives_record = is_owed && lifetimes.record < keep(cached, lifetimes) + MARGIN
                || inherited.is_some_and(|it| expiry < *it);
            let is_unused = cached.last_used + lifetimes.turn <= now.process;
            if !cached.is_copied && outlives_record {
                copy.push((expiry, id.clone()));
            }
            // A call that continues the turn may be on its way, so it has to be unused as well.
            if cached.is_copied && inherited.is_none() && !is_owed && is_unused {
                plan.drop.push(id.clone());
            }
        }
        copy.sort();
        plan.copy = copy.into_iter().map(|it| it.1).collect();
        plan
    }

    /// Returns the values that copy the first of `ids` to the compacted topic, or drop them there,
    /// and how many turns that is: as many as fit into `batch_bytes`, but at least one.
    pub fn chain_batch(
        &self,
        ids: &[RequestId],
        is_copy: bool,
        record_bytes: usize,
        batch_bytes: usize,
    ) -> (usize, Vec<KeyedValue>) {
        let mut batch = Vec::new();
        let mut bytes = 0;
        for (id, count) in ids.iter().zip(0..) {
            let values = self.chain_values(id, is_copy, record_bytes);
            bytes += values.iter().map(|it| it.key.len() + it.value.len()).sum::<usize>();
            if count != 0 && batch_bytes < bytes {
                return (count, batch);
            }
            batch.extend(values);
        }
        (ids.len(), batch)
    }

    /// Returns the values that copy a turn to the compacted topic, or drop it there.
    fn chain_values(&self, id: &RequestId, is_copy: bool, record_bytes: usize) -> Vec<KeyedValue> {
        let Some(cached) = self.tree.turns.get(id) else {
            return Vec::new();
        };
        let room = record_bytes.saturating_sub(KEY_BYTES);
        let records = turn_records(&cached.turn, cached.times, room).into_iter().zip(0..);
        let value = |record: Bytes| if is_copy { record } else { Bytes::new() };
        let keyed = |(record, part)| KeyedValue { key: value_key(id, part), value: value(record) };
        records.map(keyed).collect()
    }

    /// Records whether the compacted topic holds a turn.
    pub fn set_copied(&mut self, id: &RequestId, is_copied: bool) {
        if let Some(cached) = self.tree.turns.get_mut(id) {
            cached.is_copied = is_copied;
        }
    }

    /// Adds the turns that the compacted topic holds, and returns how many values could not be
    /// decoded.
    ///
    /// A turn of which a part is missing was dropped meanwhile.
    pub fn apply_values(&mut self, values: &[KeyedValue], now: Duration) -> usize {
        self.has_copies = true;
        // Another host may have dropped copies that this one knew.
        self.tree.turns.values_mut().for_each(|it| it.is_copied = false);
        let mut assembler = TurnAssembler::default();
        let mut failures = 0;
        let mut values: Vec<&KeyedValue> = values.iter().collect();
        values.sort_by_key(|it| it.key.rsplit_once('/'));
        for it in values {
            match assembler.add(&it.value) {
                Ok(Some((turn, times))) => {
                    let id = turn.id.clone();
                    self.insert(turn, times, now);
                    self.set_copied(&id, true);
                }
                Ok(None) => (),
                Err(_) => failures += 1,
            }
        }
        failures
    }
}

/// Returns the key of a part of a turn.
fn value_key(id: &RequestId, part: u32) -> String {
    format!("{id}/{part:05}")
}

/// Returns the time for which a turn is owed after its write.
fn keep(cached: &CachedTurn, lifetimes: Lifetimes) -> Duration {
    cached.times.map_or(lifetimes.turn, |it| Duration::from_millis(it.keep_ms))
}

/// Returns the wall-clock time until which a turn is owed, the latest that is possible.
fn owed_until(cached: &CachedTurn, lifetimes: Lifetimes, now: Now) -> Duration {
    // A turn without times may have been written just before this host read it.
    let written = |it: TurnTimes| Duration::from_millis(it.written_ms);
    cached.times.map_or_else(|| added_wall(cached, now), written) + keep(cached, lifetimes)
}

/// Returns the wall-clock time at which the log drops a turn's record, the earliest that is possible.
fn expiry(cached: &CachedTurn, lifetimes: Lifetimes, now: Now) -> Duration {
    match cached.times {
        Some(it) => Duration::from_millis(it.written_ms) + lifetimes.record,
        // The record may have been about to expire when this host read it.
        None => added_wall(cached, now),
    }
}

fn added_wall(cached: &CachedTurn, now: Now) -> Duration {
    now.wall.saturating_sub(now.process.saturating_sub(cached.added))
}
