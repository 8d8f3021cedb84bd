//! The ledger of an engine's KV memory: every token held belongs to a lease.

use std::collections::HashMap;
use std::hash::Hash;

use crate::time::Moment;

/// Memory held by one owner until a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Tokens of KV memory.
    pub tokens: u64,
    /// When the hold lapses unless freed.
    pub until: Moment,
}

/// Who holds how much of a bounded memory.
#[derive(Debug)]
pub struct Ledger<K> {
    capacity: u64,
    held: u64,
    holds: HashMap<K, Hold>,
}

impl<K: Eq + Hash + Copy> Ledger<K> {
    /// A ledger over `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self { capacity, held: 0, holds: HashMap::new() }
    }

    /// Holds `tokens` for `owner` until `until`; false, and nothing held, if they do not fit.
    pub fn hold(&mut self, owner: K, tokens: u64, until: Moment) -> bool {
        if self.holds.contains_key(&owner) || tokens > self.free() {
            return false;
        }
        self.held += tokens;
        self.holds.insert(owner, Hold { tokens, until });
        self.check();
        true
    }

    /// Frees what `owner` holds and returns its tokens.
    pub fn free_owner(&mut self, owner: K) -> u64 {
        let Some(hold) = self.holds.remove(&owner) else { return 0 };
        self.held -= hold.tokens;
        self.check();
        hold.tokens
    }

    /// Owners whose hold has lapsed at `now`; they stay held until freed.
    pub fn lapsed(&self, now: Moment) -> Vec<K> {
        self.holds.iter().filter(|(_, hold)| hold.until < now).map(|(owner, _)| *owner).collect()
    }

    /// Tokens not held.
    pub fn free(&self) -> u64 {
        self.capacity - self.held
    }

    /// Tokens held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Tokens in all.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    fn check(&self) {
        crate::invariant!(self.held <= self.capacity, "memory held stays within the engine's");
        crate::invariant!(!self.holds.is_empty() || self.held == 0, "memory without an owner is free");
    }
}
