//! What was said in earlier turns, kept for those that follow.
//!
//! Turns form a tree: each names the one that it continues, and several may continue the same one.
//! A turn never changes once it is kept, so any host may hold a copy, and no ownership is needed.

use std::{collections::BTreeMap, time::Duration};

use bytes::{Bytes, BytesMut};
use rosethread_types::RequestId;
use serde::{Deserialize, Serialize};

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
pub struct Chains {
    turns: BTreeMap<RequestId, (Duration, Turn)>,
    bytes: usize,
}

impl Chains {
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

    /// Forgets the turns that have not been used for `age`.
    pub fn expire(&mut self, now: Duration, age: Duration) {
        self.turns.retain(|_, (seen, _)| now < *seen + age);
        let bytes = |it: &(Duration, Turn)| it.1.input.len() + it.1.output.len();
        self.bytes = self.turns.values().map(bytes).sum();
    }

    /// Returns the number of turns and their bytes.
    pub fn size(&self) -> (usize, usize) {
        (self.turns.len(), self.bytes)
    }
}
