//! Chain hashes over a prompt's blocks: equal chains mean equal prefixes.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt in one of the first blocks.
pub const BLOCK_BYTES: usize = 2_048;
/// Blocks of one size; after so many the size doubles.
const BLOCKS_PER_SIZE: usize = 4;
/// Most blocks that are hashed: with doubling sizes they cover some 8 MB.
pub const MAX_BLOCKS: usize = 40;

/// Bytes in block number `index`.
const fn block_bytes(index: usize) -> usize {
    BLOCK_BYTES << (index / BLOCKS_PER_SIZE)
}

/// The chain of block hashes of a prompt's start.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Chain(pub Vec<u64>);

impl Chain {
    /// Hashes the whole blocks of `prompt`.
    pub fn of(prompt: &[u8]) -> Self {
        let mut chain = Vec::new();
        let mut rest = prompt;
        let mut seed = 0;
        while chain.len() < MAX_BLOCKS && rest.len() >= block_bytes(chain.len()) {
            let (block, after) = rest.split_at(block_bytes(chain.len()));
            seed = xxh3_64_with_seed(block, seed);
            chain.push(seed);
            rest = after;
        }
        Self(chain)
    }

    /// The hash that stands for the prompt's first block, by which like prompts meet.
    pub fn head(&self) -> Option<u64> {
        self.0.first().copied()
    }

    /// Bytes covered by the first `blocks` blocks.
    pub fn bytes(blocks: usize) -> u64 {
        (0..blocks).map(|index| block_bytes(index) as u64).sum()
    }
}

/// The prefixes that an engine's cache is thought to hold: bounded, least recently used out first.
///
/// Fed by what was sent to the engine and corrected by its cache events, which
/// come late and with gaps; a wrong entry costs an estimate, never a promise.
#[derive(Debug)]
pub struct Cache {
    most: usize,
    clock: u64,
    used: HashMap<u64, u64>,
}

impl Cache {
    /// An empty cache of at most `most` blocks.
    pub fn new(most: usize) -> Self {
        Self { most: most.max(1), clock: 0, used: HashMap::new() }
    }

    /// Number of leading blocks of `chain` held.
    pub fn shared(&self, chain: &Chain) -> usize {
        chain.0.iter().take_while(|hash| self.used.contains_key(hash)).count()
    }

    /// Notes that the engine now holds `chain`.
    pub fn insert(&mut self, chain: &Chain) {
        for hash in &chain.0 {
            self.clock += 1;
            self.used.insert(*hash, self.clock);
        }
        if self.used.len() > self.most {
            self.evict();
        }
    }

    /// Notes that the engine dropped a block.
    pub fn remove(&mut self, hash: u64) {
        self.used.remove(&hash);
    }

    /// Notes that the engine's cache is empty, as after a restart or a gap in its events.
    pub fn clear(&mut self) {
        self.used.clear();
    }

    fn evict(&mut self) {
        let mut ages: Vec<u64> = self.used.values().copied().collect();
        // An eighth more than needed goes, so that the sort is rare.
        let surplus = self.used.len() - self.most + self.most / 8;
        let (_, oldest_kept, _) = ages.select_nth_unstable(surplus.min(self.used.len() - 1));
        let oldest_kept = *oldest_kept;
        self.used.retain(|_, age| *age >= oldest_kept);
    }
}
