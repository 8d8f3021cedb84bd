//! Accounting of an engine's KV memory: every reserved token belongs to an owner with an expiry time.

use std::collections::HashMap;
use std::hash::Hash;

use crate::time::Moment;

/// Reservation of memory by one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Amount of reserved KV memory, in tokens.
    pub tokens: u64,
    /// Expiry time unless the memory is freed earlier.
    pub until: Moment,
}

/// Reservations in a bounded memory by owner.
#[derive(Debug)]
pub struct Ledger<K> {
    capacity: u64,
    held: u64,
    reservations: HashMap<K, Reservation>,
}

impl<K: Eq + Hash + Copy> Ledger<K> {
    /// Creates an empty ledger over `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self { capacity, held: 0, reservations: HashMap::new() }
    }

    /// Reserves `tokens` for `owner` until `until`. Returns `false` and reserves nothing if they do not fit or the
    /// owner already has a reservation.
    pub fn reserve(&mut self, owner: K, tokens: u64, until: Moment) -> bool {
        if self.reservations.contains_key(&owner) || tokens > self.available() {
            return false;
        }
        self.held += tokens;
        self.reservations.insert(owner, Reservation { tokens, until });
        self.check_invariants();
        true
    }

    /// Frees the memory of `owner` and returns its number of tokens.
    pub fn release(&mut self, owner: K) -> u64 {
        let Some(reservation) = self.reservations.remove(&owner) else { return 0 };
        self.held -= reservation.tokens;
        self.check_invariants();
        reservation.tokens
    }

    /// Returns the owners whose reservations have expired at `now`. Expired memory stays reserved until freed.
    pub fn expired(&self, now: Moment) -> Vec<K> {
        self.reservations.iter().filter(|(_, reservation)| reservation.until < now).map(|(owner, _)| *owner).collect()
    }

    /// Returns the number of tokens that are not reserved.
    pub fn available(&self) -> u64 {
        self.capacity - self.held
    }

    /// Returns the number of reserved tokens.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Returns the capacity in tokens.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    fn check_invariants(&self) {
        crate::invariant!(self.held <= self.capacity, "memory held stays within the engine's");
        crate::invariant!(!self.reservations.is_empty() || self.held == 0, "memory without an owner is free");
    }
}
