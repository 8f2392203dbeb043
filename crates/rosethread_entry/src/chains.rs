//! What was said in earlier turns, kept for those that follow.
//!
//! Turns form a tree: each names the one that it continues, and several may continue the same one.
//! A turn never changes once it is kept, so any host may hold a copy, and no ownership is needed.

use std::{collections::BTreeMap, time::Duration};

use bytes::{Bytes, BytesMut};
use rosethread_types::RequestId;
use serde::{Deserialize, Serialize};

/// Bytes of a record that are not part of the piece of a turn that it holds.
const PIECE_OVERHEAD: usize = 128;

/// One finished turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// The call that it was.
    pub id: RequestId,
    /// The turn that it continued.
    pub previous: Option<RequestId>,
    /// What the caller added.
    pub input: Vec<u8>,
    /// The data of each event, each followed by a line feed.
    pub output: Vec<u8>,
}

/// Kept turns; time is the duration since the process's start.
#[derive(Clone, Debug, Default)]
pub struct TurnTree {
    turns: BTreeMap<RequestId, (Duration, Turn)>,
    bytes: usize,
}

impl TurnTree {
    /// Keeps a turn, seen at `now`.
    pub fn keep(&mut self, turn: Turn, now: Duration) {
        let added = turn.input.len() + turn.output.len();
        if let Some((_, old)) = self.turns.insert(turn.id.clone(), (now, turn)) {
            self.bytes -= old.input.len() + old.output.len();
        }
        self.bytes += added;
    }

    /// Tells whether a turn is kept.
    pub fn contains(&self, id: &RequestId) -> bool {
        self.turns.contains_key(id)
    }

    /// Returns all inputs and outputs from the chain's first turn to `id`, in order.
    ///
    /// Returns nothing if any turn of the chain is missing. A turn that is continued stays for as
    /// long as a fresh one.
    pub fn text(&mut self, id: &RequestId, now: Duration) -> Option<Bytes> {
        let mut line = Vec::new();
        let mut next = Some(id.clone());
        while let Some(id) = next {
            let (seen, turn) = self.turns.get_mut(&id)?;
            *seen = now;
            next = turn.previous.clone();
            line.push(id);
        }
        let mut text = BytesMut::new();
        for id in line.iter().rev() {
            let (_, turn) = &self.turns[id];
            text.extend_from_slice(&turn.input);
            text.extend_from_slice(&turn.output);
        }
        Some(text.freeze())
    }

    /// Forgets the turns that have not been used for `age`, and tells whether there were any.
    pub fn expire(&mut self, now: Duration, age: Duration) -> bool {
        let before = self.turns.len();
        self.turns.retain(|_, (seen, _)| now < *seen + age);
        let bytes = |it: &(Duration, Turn)| it.1.input.len() + it.1.output.len();
        self.bytes = self.turns.values().map(bytes).sum();
        self.turns.len() < before
    }

    /// Returns the number of turns and their bytes.
    pub fn size(&self) -> (usize, usize) {
        (self.turns.len(), self.bytes)
    }
}

/// A part of a turn as it lies in the log; the parts of one turn follow each other.
#[derive(Serialize, Deserialize)]
struct Piece {
    turn: RequestId,
    index: u32,
    count: u32,
    bytes: Vec<u8>,
}

/// Returns the records that hold a turn, each of at most `record_bytes`.
pub fn turn_records(turn: &Turn, record_bytes: usize) -> Vec<Bytes> {
    let bytes = postcard::to_stdvec(turn).expect("a turn serialises");
    let room = record_bytes.saturating_sub(PIECE_OVERHEAD).max(1);
    let count = bytes.len().div_ceil(room) as u32;
    let chunks = bytes.chunks(room).enumerate();
    let piece = |(index, chunk): (usize, &[u8])| Piece {
        turn: turn.id.clone(),
        index: index as u32,
        count,
        bytes: chunk.to_vec(),
    };
    let encode = |it: Piece| Bytes::from(postcard::to_stdvec(&it).expect("a piece serialises"));
    chunks.map(piece).map(encode).collect()
}

/// What the turns of a shard tell about one of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TurnLookup {
    /// Everything that was said up to it.
    Transcript(Bytes),
    /// It is there, and a turn before it is not.
    Incomplete,
    /// It is not among them.
    NotFound,
}

/// The turns of one shard, as far as they are known here; time is the duration since the process's
/// start.
#[derive(Clone, Debug, Default)]
pub struct ShardTurnCache {
    chains: TurnTree,
    /// The offset up to which the partition has been read.
    next: u64,
    /// The pieces of a turn whose last one has not been read.
    partial: Vec<u8>,
    /// Whether turns before `next` have been forgotten.
    has_forgotten: bool,
}

impl ShardTurnCache {
    /// Returns the offset from which the partition has to be read on.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Goes on at a later offset: what lies before it is no longer in the log.
    pub fn skip(&mut self, first: u64) {
        self.next = first;
    }

    /// Takes in the record at an offset.
    pub fn take(&mut self, offset: u64, data: &[u8], now: Duration) -> postcard::Result<()> {
        self.next = offset + 1;
        let piece: Piece = postcard::from_bytes(data)?;
        if piece.index == 0 {
            self.partial.clear();
        }
        self.partial.extend_from_slice(&piece.bytes);
        if piece.index + 1 < piece.count {
            return Ok(());
        }
        let turn = postcard::from_bytes(&std::mem::take(&mut self.partial))?;
        self.chains.keep(turn, now);
        Ok(())
    }

    /// Keeps a turn that this host has written, seen at `now`.
    pub fn keep(&mut self, turn: Turn, now: Duration) {
        self.chains.keep(turn, now);
    }

    /// Looks for everything that was said up to a turn.
    pub fn find(&mut self, id: &RequestId, now: Duration) -> TurnLookup {
        match self.chains.text(id, now) {
            Some(text) => TurnLookup::Transcript(text),
            None if self.chains.contains(id) => TurnLookup::Incomplete,
            None => TurnLookup::NotFound,
        }
    }

    /// Forgets the turns that have not been used here for `age`; the log may hold them yet.
    pub fn expire(&mut self, now: Duration, age: Duration) {
        self.has_forgotten |= self.chains.expire(now, age);
    }

    /// Goes back to the partition's begin if turns have been forgotten, and tells whether it did.
    ///
    /// Other hosts may have gone on from turns that were not used here, so only a partition that
    /// was read whole tells that there is no such turn. What is read again is kept for as long as
    /// a fresh turn, so the next one that is forgotten before that is one that the log has dropped.
    pub fn restart(&mut self) -> bool {
        if !std::mem::take(&mut self.has_forgotten) {
            return false;
        }
        self.next = 0;
        self.partial.clear();
        true
    }

    /// Returns the number of turns and their bytes.
    pub fn size(&self) -> (usize, usize) {
        self.chains.size()
    }
}
