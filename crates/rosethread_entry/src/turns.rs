//! The turns stored in the log, and the in-memory index that rebuilds a conversation from them.
//!
//! Turns form a tree: each names the turn that it continues, and several may continue the same one.
//! A stored turn is immutable, so any host may cache a copy without owning it.

use std::{collections::BTreeMap, time::Duration};

use bytes::{Bytes, BytesMut};
use rosethread_types::RequestId;
use serde::{Deserialize, Serialize};

/// Bytes reserved in each record for everything but the bytes of its fragment.
const FRAGMENT_OVERHEAD: usize = 128;

/// One finished turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedTurn {
    /// The ID of the request that ran as this turn.
    pub id: RequestId,
    /// The turn that this one continues, if any.
    pub previous: Option<RequestId>,
    /// The bytes that the caller added to the conversation.
    pub input: Vec<u8>,
    /// The data of each event of the answer, each followed by a line feed.
    pub output: Vec<u8>,
}

/// Turns indexed by ID, with the time of their last use.
///
/// Times are durations since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct TurnTree {
    turns: BTreeMap<RequestId, (Duration, FinishedTurn)>,
    bytes: usize,
}

impl TurnTree {
    /// Adds a turn, or replaces the one with the same ID; `now` counts as its last use.
    pub fn insert(&mut self, turn: FinishedTurn, now: Duration) {
        let added = turn.input.len() + turn.output.len();
        if let Some((_, old)) = self.turns.insert(turn.id.clone(), (now, turn)) {
            self.bytes -= old.input.len() + old.output.len();
        }
        self.bytes += added;
    }

    /// Returns whether the tree holds the turn `id`.
    pub fn contains(&self, id: &RequestId) -> bool {
        self.turns.contains_key(id)
    }

    /// Returns the inputs and outputs from the first turn of the conversation to `id`, in order.
    ///
    /// Returns `None` if `id` or any of its ancestors is missing, or if a turn is its own ancestor: the
    /// IDs are the callers', and one may be used again. All turns on the path are marked
    /// as used at `now`, so that a conversation that goes on does not expire.
    pub fn transcript(&mut self, id: &RequestId, now: Duration) -> Option<Bytes> {
        let mut path = Vec::new();
        let mut next = Some(id.clone());
        while let Some(id) = next {
            let (last_used, turn) = self.turns.get_mut(&id)?;
            *last_used = now;
            next = turn.previous.clone();
            path.push(id);
            if self.turns.len() < path.len() {
                return None;
            }
        }
        let mut text = BytesMut::new();
        for id in path.iter().rev() {
            let (_, turn) = &self.turns[id];
            text.extend_from_slice(&turn.input);
            text.extend_from_slice(&turn.output);
        }
        Some(text.freeze())
    }

    /// Evicts the turns that have not been used for `ttl`, and returns whether there were any.
    pub fn expire(&mut self, now: Duration, ttl: Duration) -> bool {
        let before = self.turns.len();
        self.turns.retain(|_, (last_used, _)| now < *last_used + ttl);
        let bytes = |it: &(Duration, FinishedTurn)| it.1.input.len() + it.1.output.len();
        self.bytes = self.turns.values().map(bytes).sum();
        self.turns.len() < before
    }

    /// Returns the number of turns and the bytes of their inputs and outputs.
    pub fn size(&self) -> (usize, usize) {
        (self.turns.len(), self.bytes)
    }
}

/// A log record: one part of an encoded turn.
///
/// The fragments of a turn are contiguous in the log, because they are appended together.
#[derive(Serialize, Deserialize)]
struct Fragment {
    turn: RequestId,
    index: u32,
    count: u32,
    bytes: Vec<u8>,
}

/// Encodes a turn as log records of at most `record_bytes` each.
pub fn turn_records(turn: &FinishedTurn, record_bytes: usize) -> Vec<Bytes> {
    let bytes = postcard::to_stdvec(turn).expect("a turn serialises");
    let room = record_bytes.saturating_sub(FRAGMENT_OVERHEAD).max(1);
    let count = bytes.len().div_ceil(room) as u32;
    let chunks = bytes.chunks(room).enumerate();
    let fragment = |(index, chunk): (usize, &[u8])| Fragment {
        turn: turn.id.clone(),
        index: index as u32,
        count,
        bytes: chunk.to_vec(),
    };
    let encode = |it: Fragment| Bytes::from(postcard::to_stdvec(&it).expect("it serialises"));
    chunks.map(fragment).map(encode).collect()
}

/// The result of looking up a turn in a [`ShardTurnCache`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TurnLookup {
    /// All inputs and outputs up to and including the turn.
    Transcript(Bytes),
    /// The turn is cached, but one of its ancestors is not.
    Incomplete,
    /// The turn is not cached.
    NotFound,
}

/// The turns of one shard that this host has read or written, and its position in the log.
///
/// Times are durations since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct ShardTurnCache {
    tree: TurnTree,
    /// The offset of the first record that has not been read.
    next_offset: u64,
    /// The fragments read so far of a turn whose last fragment has not been read.
    partial_turn: Vec<u8>,
    /// Whether turns have been evicted since the partition was last read from its start.
    has_evicted: bool,
}

impl ShardTurnCache {
    /// Returns the offset of the next record to read from the partition.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Moves the read position to `first`, since the log no longer holds earlier records.
    pub fn skip_to(&mut self, first: u64) {
        self.next_offset = first;
    }

    /// Applies the record that was read at `offset`, and adds its turn once that is complete.
    ///
    /// The read position advances even if the record cannot be decoded.
    pub fn apply_record(
        &mut self,
        offset: u64,
        data: &[u8],
        now: Duration,
    ) -> postcard::Result<()> {
        self.next_offset = offset + 1;
        let fragment: Fragment = postcard::from_bytes(data)?;
        if fragment.index == 0 {
            self.partial_turn.clear();
        }
        self.partial_turn.extend_from_slice(&fragment.bytes);
        if fragment.index < fragment.count.saturating_sub(1) {
            return Ok(());
        }
        let turn = postcard::from_bytes(&std::mem::take(&mut self.partial_turn))?;
        self.tree.insert(turn, now);
        Ok(())
    }

    /// Adds a turn that this host has written to the log; `now` counts as its last use.
    pub fn insert(&mut self, turn: FinishedTurn, now: Duration) {
        self.tree.insert(turn, now);
    }

    /// Looks up all inputs and outputs up to and including the turn `id`.
    pub fn lookup(&mut self, id: &RequestId, now: Duration) -> TurnLookup {
        match self.tree.transcript(id, now) {
            Some(text) => TurnLookup::Transcript(text),
            None if self.tree.contains(id) => TurnLookup::Incomplete,
            None => TurnLookup::NotFound,
        }
    }

    /// Evicts the turns that have not been used here for `ttl`; the log may still hold them.
    pub fn expire(&mut self, now: Duration, ttl: Duration) {
        self.has_evicted |= self.tree.expire(now, ttl);
    }

    /// Moves the read position back to the start of the partition if turns have been evicted, and
    /// returns whether it did.
    ///
    /// Other hosts may have continued turns that this host evicted because they were not used
    /// here, so only a scan of the whole partition proves that a turn is absent. Turns that are
    /// read again get a full TTL, so no further scan is needed until some of them expire. A turn
    /// that is still missing then never existed, or the log has dropped it.
    pub fn restart_scan(&mut self) -> bool {
        if !std::mem::take(&mut self.has_evicted) {
            return false;
        }
        self.next_offset = 0;
        self.partial_turn.clear();
        true
    }

    /// Returns the number of cached turns and the bytes of their inputs and outputs.
    pub fn size(&self) -> (usize, usize) {
        self.tree.size()
    }
}
