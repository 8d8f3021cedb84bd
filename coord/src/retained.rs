//! Retained results of a bounded sum of sizes: the oldest ones are dropped first.

use std::collections::VecDeque;

/// Sizes of retained results, in the order in which they were added.
#[derive(Clone, Debug)]
pub struct Retained<K> {
    max_bytes: u64,
    sizes: VecDeque<(K, u64)>,
    total: u64,
}

impl<K> Retained<K> {
    /// Creates an empty collection that retains at most `max_bytes`.
    pub fn new(max_bytes: u64) -> Self {
        Self { max_bytes, sizes: VecDeque::new(), total: 0 }
    }

    /// Adds the result of `key`. Returns the keys whose results have to be dropped, which may include `key`.
    pub fn add(&mut self, key: K, bytes: u64) -> Vec<K> {
        self.sizes.push_back((key, bytes));
        self.total += bytes;
        let mut dropped = Vec::new();
        while self.total > self.max_bytes
            && let Some((key, bytes)) = self.sizes.pop_front()
        {
            self.total -= bytes;
            dropped.push(key);
        }
        dropped
    }

    /// Forgets the results whose keys `is_retained` rejects, which their owner has dropped for another reason.
    pub fn retain(&mut self, is_retained: impl Fn(&K) -> bool) {
        self.sizes.retain(|(key, _)| is_retained(key));
        self.total = self.sizes.iter().map(|(_, bytes)| bytes).sum();
    }

    /// Returns the sum of the sizes, in bytes.
    pub fn total_bytes(&self) -> u64 {
        self.total
    }
}
