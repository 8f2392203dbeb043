//! The prefix cache of a stand-in engine: blocks of prompt tokens in limited memory.

use std::collections::{BTreeMap, BTreeSet};

use rosethread_types::{ProgramId, Tokens};
use tokio::time::Instant;

use crate::oracle::TOKEN_BYTES;

/// Tokens in one block.
const BLOCK_TOKENS: usize = 16;

/// Bytes in one block.
const BLOCK_BYTES: usize = BLOCK_TOKENS * TOKEN_BYTES;

/// What the cache did since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheStats {
    /// Prompt tokens found.
    pub hits: Tokens,
    /// Prompt tokens computed.
    pub misses: Tokens,
    /// Tokens filled and discarded unused.
    pub wasted: Tokens,
    /// Tokens discarded in all.
    pub evicted: Tokens,
}

#[derive(Clone, Debug)]
struct Block {
    stamp: u64,
    reused: bool,
    program: ProgramId,
}

/// A least-recently-used cache of prompt blocks, each identified by the whole prefix before it.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    blocks: BTreeMap<u64, Block>,
    by_stamp: BTreeSet<(u64, u64)>,
    pinned: BTreeMap<ProgramId, Instant>,
    clock: u64,
    stats: CacheStats,
}

impl PrefixCache {
    /// Returns an empty cache for `memory` tokens.
    pub fn new(memory: Tokens) -> PrefixCache {
        PrefixCache {
            capacity: (memory as usize / BLOCK_TOKENS).max(1),
            blocks: BTreeMap::new(),
            by_stamp: BTreeSet::new(),
            pinned: BTreeMap::new(),
            clock: 0,
            stats: CacheStats::default(),
        }
    }

    /// Returns the counters.
    pub fn stats(&self) -> CacheStats {
        self.stats
    }

    /// Returns the tokens in memory.
    pub fn used(&self) -> Tokens {
        (self.blocks.len() * BLOCK_TOKENS) as Tokens
    }

    /// Returns the number of prompt tokens at the start of `prompt` that are cached, and counts
    /// the lookup.
    pub fn lookup(&mut self, prompt: &[u8]) -> Tokens {
        let mut found = 0;
        for hash in block_hashes(prompt) {
            if !self.blocks.contains_key(&hash) {
                break;
            }
            self.touch(hash, true);
            found += BLOCK_TOKENS as Tokens;
        }
        let total = prompt.len().div_ceil(TOKEN_BYTES) as Tokens;
        let found = found.min(total);
        self.stats.hits += found;
        self.stats.misses += total - found;
        found
    }

    /// Stores the blocks of `prompt` for `program`.
    pub fn insert(&mut self, prompt: &[u8], program: &ProgramId) {
        for hash in block_hashes(prompt) {
            if self.blocks.contains_key(&hash) {
                self.touch(hash, false);
                continue;
            }
            self.make_room();
            self.clock += 1;
            let block = Block { stamp: self.clock, reused: false, program: program.clone() };
            self.by_stamp.insert((self.clock, hash));
            self.blocks.insert(hash, block);
        }
    }

    /// Keeps the blocks of `program` against eviction until `until`.
    pub fn pin(&mut self, program: &ProgramId, until: Instant) {
        self.pinned.insert(program.clone(), until);
    }

    /// Lets the blocks of `program` be evicted again.
    pub fn unpin(&mut self, program: &ProgramId) {
        self.pinned.remove(program);
    }

    /// Discards the blocks of `program` at once; they have served their purpose.
    pub fn drop_program(&mut self, program: &ProgramId) {
        self.unpin(program);
        let hashes: Vec<u64> = self
            .blocks
            .iter()
            .filter(|(_, it)| it.program == *program)
            .map(|(hash, _)| *hash)
            .collect();
        for hash in hashes {
            if let Some(block) = self.blocks.remove(&hash) {
                self.by_stamp.remove(&(block.stamp, hash));
            }
        }
    }

    /// Returns the programs that hold blocks, pinned or not.
    pub fn holders(&self) -> BTreeSet<ProgramId> {
        self.blocks.values().map(|it| it.program.clone()).collect()
    }

    /// Returns the programs whose blocks are kept against eviction.
    pub fn pinned(&self) -> Vec<ProgramId> {
        let now = Instant::now();
        self.pinned.iter().filter(|(_, it)| now < **it).map(|(it, _)| it.clone()).collect()
    }

    fn touch(&mut self, hash: u64, is_reuse: bool) {
        self.clock += 1;
        let clock = self.clock;
        if let Some(block) = self.blocks.get_mut(&hash) {
            self.by_stamp.remove(&(block.stamp, hash));
            block.stamp = clock;
            block.reused |= is_reuse;
            self.by_stamp.insert((clock, hash));
        }
    }

    fn make_room(&mut self) {
        let now = Instant::now();
        self.pinned.retain(|_, it| now < *it);
        while self.capacity <= self.blocks.len() {
            let Some((stamp, hash)) = self.victim() else {
                return;
            };
            self.by_stamp.remove(&(stamp, hash));
            if let Some(block) = self.blocks.remove(&hash) {
                self.stats.evicted += BLOCK_TOKENS as Tokens;
                if !block.reused {
                    self.stats.wasted += BLOCK_TOKENS as Tokens;
                }
            }
        }
    }

    /// Returns the oldest block that is not pinned, or the oldest if all are.
    fn victim(&self) -> Option<(u64, u64)> {
        let is_free = |hash: &u64| {
            self.blocks.get(hash).is_some_and(|it| !self.pinned.contains_key(&it.program))
        };
        let free = self.by_stamp.iter().find(|(_, hash)| is_free(hash));
        free.or_else(|| self.by_stamp.first()).copied()
    }
}

/// Returns the hash of each whole block together with everything before it (FNV-1a, 64 bits).
fn block_hashes(prompt: &[u8]) -> impl Iterator<Item = u64> {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    prompt.chunks_exact(BLOCK_BYTES).map(move |block| {
        for byte in block {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
        hash
    })
}
