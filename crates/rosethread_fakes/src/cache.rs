//! The prefix cache of a fake engine: blocks of prompt tokens in limited memory.

use std::collections::{BTreeMap, BTreeSet};

use rosethread_types::{ProgramId, Tokens};
use tokio::time::Instant;

use crate::oracle::TOKEN_BYTES;

/// Tokens in a block.
const BLOCK_TOKENS: usize = 16;

/// Bytes in a block.
const BLOCK_BYTES: usize = BLOCK_TOKENS * TOKEN_BYTES;

/// Counters since the cache was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheStats {
    /// Prompt tokens found in the cache.
    pub hits: Tokens,
    /// Prompt tokens not found, which the engine must compute.
    pub misses: Tokens,
    /// Tokens evicted without ever being reused.
    pub wasted: Tokens,
    /// Tokens evicted, reused or not.
    pub evicted: Tokens,
}

#[derive(Clone, Debug)]
struct Block {
    /// The cache's logical clock at the last use.
    last_used: u64,
    /// Whether a lookup has found it since it was inserted.
    reused: bool,
    /// The program that inserted it.
    program: ProgramId,
}

/// A least-recently-used cache of prompt blocks, each keyed by a hash of itself and all before it.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    blocks: BTreeMap<u64, Block>,
    /// The last use and the hash of each block, the least recently used first.
    by_last_use: BTreeSet<(u64, u64)>,
    /// Until when each pinned program's blocks are kept.
    pinned: BTreeMap<ProgramId, Instant>,
    /// A logical clock, which each use of a block advances.
    clock: u64,
    stats: CacheStats,
}

impl PrefixCache {
    /// Returns an empty cache for `max_tokens` tokens, rounded down to full blocks, at least one.
    pub fn new(max_tokens: Tokens) -> PrefixCache {
        PrefixCache {
            capacity: (max_tokens as usize / BLOCK_TOKENS).max(1),
            blocks: BTreeMap::new(),
            by_last_use: BTreeSet::new(),
            pinned: BTreeMap::new(),
            clock: 0,
            stats: CacheStats::default(),
        }
    }

    /// Returns the counters.
    pub fn stats(&self) -> CacheStats {
        self.stats
    }

    /// Returns the number of tokens in the cache.
    pub fn used(&self) -> Tokens {
        (self.blocks.len() * BLOCK_TOKENS) as Tokens
    }

    /// Returns the number of prompt tokens at the start of `prompt` that are cached, and counts
    /// the lookup.
    pub fn lookup(&mut self, prompt: &[u8]) -> Tokens {
        let mut cached = 0;
        for hash in block_hashes(prompt) {
            if !self.blocks.contains_key(&hash) {
                break;
            }
            self.touch(hash, true);
            cached += BLOCK_TOKENS as Tokens;
        }
        let total = prompt.len().div_ceil(TOKEN_BYTES) as Tokens;
        let cached = cached.min(total);
        self.stats.hits += cached;
        self.stats.misses += total - cached;
        cached
    }

    /// Stores the blocks of `prompt` for `program`.
    pub fn insert(&mut self, prompt: &[u8], program: &ProgramId) {
        for hash in block_hashes(prompt) {
            if self.blocks.contains_key(&hash) {
                self.touch(hash, false);
                continue;
            }
            self.evict_to_capacity();
            self.clock += 1;
            let block = Block { last_used: self.clock, reused: false, program: program.clone() };
            self.by_last_use.insert((self.clock, hash));
            self.blocks.insert(hash, block);
        }
    }

    /// Protects the blocks of `program` from eviction until `until`.
    ///
    /// If all blocks in the cache are protected, the least recently used one is evicted anyway.
    pub fn pin(&mut self, program: &ProgramId, until: Instant) {
        self.pinned.insert(program.clone(), until);
    }

    /// Ends the protection of the blocks of `program`.
    pub fn unpin(&mut self, program: &ProgramId) {
        self.pinned.remove(program);
    }

    /// Removes the blocks of `program`; they count neither as evicted nor as wasted.
    pub fn remove_program(&mut self, program: &ProgramId) {
        self.unpin(program);
        let hashes: Vec<u64> = self
            .blocks
            .iter()
            .filter(|(_, it)| it.program == *program)
            .map(|(hash, _)| *hash)
            .collect();
        for hash in hashes {
            if let Some(block) = self.blocks.remove(&hash) {
                self.by_last_use.remove(&(block.last_used, hash));
            }
        }
    }

    /// Returns the programs that have blocks in the cache, pinned or not.
    pub fn programs(&self) -> BTreeSet<ProgramId> {
        self.blocks.values().map(|it| it.program.clone()).collect()
    }

    /// Returns the programs whose blocks are protected from eviction.
    pub fn pinned(&self) -> Vec<ProgramId> {
        let now = Instant::now();
        self.pinned.iter().filter(|(_, it)| now < **it).map(|(it, _)| it.clone()).collect()
    }

    /// Marks a block as just used.
    fn touch(&mut self, hash: u64, is_reuse: bool) {
        self.clock += 1;
        let clock = self.clock;
        if let Some(block) = self.blocks.get_mut(&hash) {
            self.by_last_use.remove(&(block.last_used, hash));
            block.last_used = clock;
            block.reused |= is_reuse;
            self.by_last_use.insert((clock, hash));
        }
    }

    /// Evicts blocks until there is room for one more.
    fn evict_to_capacity(&mut self) {
        let now = Instant::now();
        self.pinned.retain(|_, it| now < *it);
        while self.capacity <= self.blocks.len() {
            let Some((last_used, hash)) = self.eviction_candidate() else {
                return;
            };
            self.by_last_use.remove(&(last_used, hash));
            if let Some(block) = self.blocks.remove(&hash) {
                self.stats.evicted += BLOCK_TOKENS as Tokens;
                if !block.reused {
                    self.stats.wasted += BLOCK_TOKENS as Tokens;
                }
            }
        }
    }

    /// Returns the least recently used unpinned block, or that of all blocks if all are pinned.
    fn eviction_candidate(&self) -> Option<(u64, u64)> {
        let is_unpinned = |hash: &u64| {
            self.blocks.get(hash).is_some_and(|it| !self.pinned.contains_key(&it.program))
        };
        let unpinned = self.by_last_use.iter().find(|(_, hash)| is_unpinned(hash));
        unpinned.or_else(|| self.by_last_use.first()).copied()
    }
}

/// Returns, for each full block, the 64-bit FNV-1a hash of the prompt up to its end.
fn block_hashes(prompt: &[u8]) -> impl Iterator<Item = u64> {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    prompt.chunks_exact(BLOCK_BYTES).map(move |block| {
        for byte in block {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
        hash
    })
}
