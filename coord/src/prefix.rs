//! Chained hashes over the blocks of a prompt: equal chains mean equal prefixes.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Size of each of the first blocks, in bytes.
pub const BLOCK_BYTES: usize = 2_048;
/// Number of consecutive blocks of one size; the size then doubles.
const BLOCKS_PER_SIZE: usize = 4;
/// Maximum number of hashed blocks; with doubling sizes they cover about 8 MB.
pub const MAX_BLOCKS: usize = 40;

/// Returns the size of block `index` in bytes.
const fn block_bytes(index: usize) -> usize {
    BLOCK_BYTES << (index / BLOCKS_PER_SIZE)
}

/// Hashes of a prompt's leading blocks, each seeded with the hash before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Chain(pub Vec<u64>);

impl Chain {
    /// Hashes the complete blocks of `prompt`; a partial block at the end is ignored.
    pub fn of(prompt: &[u8]) -> Self {
        let mut chain = Vec::new();
        let mut remaining = prompt;
        let mut seed = 0;
        while chain.len() < MAX_BLOCKS && remaining.len() >= block_bytes(chain.len()) {
            let (block, remainder) = remaining.split_at(block_bytes(chain.len()));
            seed = xxh3_64_with_seed(block, seed);
            chain.push(seed);
            remaining = remainder;
        }
        Self(chain)
    }

    /// Returns the hash of the first block, which routes prompts with a common prefix to the same endpoints.
    pub fn head(&self) -> Option<u64> {
        self.0.first().copied()
    }

    /// Returns the number of bytes that the first `blocks` blocks cover.
    pub fn bytes(blocks: usize) -> u64 {
        (0..blocks).map(|index| block_bytes(index) as u64).sum()
    }
}

/// Estimated contents of an engine's prefix cache, bounded with least-recently-used eviction.
///
/// The estimate follows the prompts sent to the engine and its cache events, which arrive late and with gaps. A wrong
/// entry only makes a time estimate less accurate; no guarantee depends on it.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    clock: u64,
    last_used: HashMap<u64, u64>,
}

impl Cache {
    /// Creates an empty cache of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity: capacity.max(1), clock: 0, last_used: HashMap::new() }
    }

    /// Returns the number of leading blocks of `chain` that the cache holds.
    pub fn matching_blocks(&self, chain: &Chain) -> usize {
        chain.0.iter().take_while(|hash| self.last_used.contains_key(hash)).count()
    }

    /// Records that the engine now holds all blocks of `chain`.
    pub fn insert(&mut self, chain: &Chain) {
        for hash in &chain.0 {
            self.clock += 1;
            self.last_used.insert(*hash, self.clock);
        }
        if self.last_used.len() > self.capacity {
            self.evict();
        }
    }

    /// Records that the engine evicted a block.
    pub fn remove(&mut self, hash: u64) {
        self.last_used.remove(&hash);
    }

    /// Empties the cache, as after an engine restart or a gap in its events.
    pub fn clear(&mut self) {
        self.last_used.clear();
    }

    fn evict(&mut self) {
        let mut ages: Vec<u64> = self.last_used.values().copied().collect();
        // Evicts an eighth of the capacity in addition, so that the costly selection runs rarely.
        let evict_count = self.last_used.len() - self.capacity + self.capacity / 8;
        let (_, oldest_kept, _) = ages.select_nth_unstable(evict_count.min(self.last_used.len() - 1));
        let oldest_kept = *oldest_kept;
        self.last_used.retain(|_, age| *age >= oldest_kept);
    }
}
