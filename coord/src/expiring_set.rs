//! Set whose items are evicted by insertion time.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

use crate::time::Moment;

/// Set of items with their insertion times.
#[derive(Debug)]
pub struct ExpiringSet<T> {
    inserted_at: HashMap<T, Moment>,
    insertion_order: VecDeque<(Moment, T)>,
}

impl<T: Copy + Eq + Hash> Default for ExpiringSet<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T: Copy + Eq + Hash> ExpiringSet<T> {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self { inserted_at: HashMap::new(), insertion_order: VecDeque::new() }
    }

    /// Inserts an item; an item already in the set keeps its insertion time for eviction.
    pub fn insert(&mut self, item: T, now: Moment) {
        if self.inserted_at.insert(item, now).is_none() {
            self.insertion_order.push_back((now, item));
        }
    }

    /// Returns whether the set contains the item.
    pub fn contains(&self, item: T) -> bool {
        self.inserted_at.contains_key(&item)
    }

    /// Evicts the items inserted earlier than `before`.
    pub fn evict_before(&mut self, before: Moment) {
        while self.insertion_order.front().is_some_and(|(at, _)| *at < before) {
            if let Some((_, item)) = self.insertion_order.pop_front() {
                self.inserted_at.remove(&item);
            }
        }
    }
}
