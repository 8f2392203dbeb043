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

impl FinishedTurn {
    fn size(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

/// When a turn was written, and for how long it is owed; written behind the turn, where hosts of
/// earlier releases don't look.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnTimes {
    /// The wall-clock time just before the write, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// The time for which callers may continue the turn, in milliseconds.
    pub keep_ms: u64,
}

/// A turn in a [`TurnTree`].
#[derive(Clone, Debug)]
pub(crate) struct CachedTurn {
    pub(crate) turn: FinishedTurn,
    /// When this host added the turn.
    pub(crate) added: Duration,
    pub(crate) last_used: Duration,
    /// Unknown for a record of an earlier release.
    pub(crate) times: Option<TurnTimes>,
    /// Whether the compacted topic holds the turn; see [`crate::chains`].
    pub(crate) is_copied: bool,
}

/// Turns indexed by ID, with the time of their last use.
///
/// Times are durations since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct TurnTree {
    pub(crate) turns: BTreeMap<RequestId, CachedTurn>,
    bytes: usize,
}

impl TurnTree {
    /// Adds a turn, or replaces the one with the same ID; `now` counts as its last use.
    ///
    /// Of two records of a turn the later one counts, since it lives longer.
    pub fn insert(&mut self, turn: FinishedTurn, times: Option<TurnTimes>, now: Duration) {
        self.bytes += turn.size();
        let id = turn.id.clone();
        let cached = CachedTurn { turn, added: now, last_used: now, times, is_copied: false };
        let cached = match self.turns.remove(&id) {
            Some(old) => {
                self.bytes -= old.turn.size();
                let later = |it: &TurnTimes| it.written_ms;
                let times = old.times.into_iter().chain(times).max_by_key(later);
                CachedTurn { times, is_copied: old.is_copied, ..cached }
            }
            None => cached,
        };
        self.turns.insert(id, cached);
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
            let cached = self.turns.get_mut(&id)?;
            cached.last_used = now;
            next = cached.turn.previous.clone();
            path.push(id);
            if self.turns.len() < path.len() {
                return None;
            }
        }
        let mut text = BytesMut::new();
        for id in path.iter().rev() {
            let turn = &self.turns[id].turn;
            text.extend_from_slice(&turn.input);
            text.extend_from_slice(&turn.output);
        }
        Some(text.freeze())
    }

    /// Evicts the turns that have not been used for `ttl`, and returns whether there were any.
    ///
    /// Turns in the compacted topic stay twice as long, so that whoever looks after their shard
    /// still knows them when they have to be dropped there.
    pub fn expire(&mut self, now: Duration, ttl: Duration) -> bool {
        let before = self.turns.len();
        let is_used = |it: &CachedTurn| {
            let ttl = if it.is_copied { 2 * ttl } else { ttl };
            now < it.last_used + ttl
        };
        self.turns.retain(|_, it| is_used(it));
        self.bytes = self.turns.values().map(|it| it.turn.size()).sum();
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
pub fn turn_records(
    turn: &FinishedTurn,
    times: Option<TurnTimes>,
    record_bytes: usize,
) -> Vec<Bytes> {
    let mut bytes = postcard::to_stdvec(turn).expect("a turn serialises");
    if let Some(times) = times {
        bytes = postcard::to_extend(&times, bytes).expect("the times serialise");
    }
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

/// Puts the records of one turn together.
#[derive(Clone, Debug, Default)]
pub(crate) struct TurnAssembler {
    /// The fragments so far of a turn whose last fragment is missing.
    bytes: Vec<u8>,
    /// The turn of these fragments, and their number.
    next: Option<(RequestId, u32)>,
}

impl TurnAssembler {
    /// Forgets the fragments so far.
    fn clear(&mut self) {
        self.bytes.clear();
        self.next = None;
    }

    /// Returns whether no turn is incomplete.
    fn is_empty(&self) -> bool {
        self.next.is_none()
    }

    /// Adds the next record, and returns its turn once that is complete.
    ///
    /// A record that does not follow the one before it is skipped, with those after it until the
    /// next beginning of a turn.
    pub(crate) fn add(
        &mut self,
        data: &[u8],
    ) -> postcard::Result<Option<(FinishedTurn, Option<TurnTimes>)>> {
        let fragment: Fragment = postcard::from_bytes(data)?;
        if fragment.index == 0 {
            self.clear();
            self.next = Some((fragment.turn.clone(), 0));
        }
        if self.next.as_ref() != Some(&(fragment.turn.clone(), fragment.index)) {
            self.clear();
            return Ok(None);
        }
        self.bytes.extend_from_slice(&fragment.bytes);
        self.next = Some((fragment.turn, fragment.index.saturating_add(1)));
        if fragment.index < fragment.count.saturating_sub(1) {
            return Ok(None);
        }
        let bytes = std::mem::take(&mut self.bytes);
        self.next = None;
        let (turn, rest) = postcard::take_from_bytes(&bytes)?;
        let times = if rest.is_empty() { None } else { Some(postcard::from_bytes(rest)?) };
        Ok(Some((turn, times)))
    }
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
    pub(crate) tree: TurnTree,
    /// The offset of the first record that has not been read.
    next_offset: u64,
    partial: TurnAssembler,
    /// Whether turns have been evicted since the partition was last read from its start.
    has_evicted: bool,
    pub(crate) has_copies: bool,
}

impl ShardTurnCache {
    /// Returns the offset of the next record to read from the partition.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Moves the read position to `first`, since the log no longer holds earlier records.
    pub fn skip_to(&mut self, first: u64) {
        self.next_offset = first;
        self.has_copies = false;
    }

    /// Returns whether the copies of all turns that are neither cached nor in the log were read.
    ///
    /// A turn is in the log when it is copied, so copies are missed only where records are.
    pub fn has_copies(&self) -> bool {
        self.has_copies
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
        if let Some((turn, times)) = self.partial.add(data)? {
            self.tree.insert(turn, times, now);
        }
        Ok(())
    }

    /// Adds a turn that this host has written to the log; `now` counts as its last use.
    pub fn insert(&mut self, turn: FinishedTurn, times: Option<TurnTimes>, now: Duration) {
        self.tree.insert(turn, times, now);
    }

    /// Moves the read position behind `count` records that this host has written at `offset`, if
    /// it has read all records before them; their turns have to be cached.
    pub fn skip_written(&mut self, offset: u64, count: u64) {
        if self.next_offset == offset && self.partial.is_empty() {
            self.next_offset = offset + count;
        }
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
        self.has_copies = false;
        self.partial.clear();
        true
    }

    /// Returns the number of cached turns and the bytes of their inputs and outputs.
    pub fn size(&self) -> (usize, usize) {
        self.tree.size()
    }
}
