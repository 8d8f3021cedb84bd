//! Set whose items are evicted by insertion time.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

use crate::time::Moment;

/// Set of items with their insertion times.
#[derive(Debug)]
pub struct Remembered<T> {
    at: HashMap<T, Moment>,
    ages: VecDeque<(Moment, T)>,
}

impl<T: Copy + Eq + Hash> Default for Remembered<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T: Copy + Eq + Hash> Remembered<T> {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self { at: HashMap::new(), ages: VecDeque::new() }
    }

    /// Inserts an item; an item already in the set keeps its insertion time for eviction.
    pub fn insert(&mut self, item: T, now: Moment) {
        if self.at.insert(item, now).is_none() {
            self.ages.push_back((now, item));
        }
    }

    /// Returns whether the set contains the item.
    pub fn contains(&self, item: T) -> bool {
        self.at.contains_key(&item)
    }

    /// Evicts the items inserted earlier than `before`.
    pub fn forget(&mut self, before: Moment) {
        while self.ages.front().is_some_and(|(at, _)| *at < before) {
            if let Some((_, item)) = self.ages.pop_front() {
                self.at.remove(&item);
            }
        }
    }
}
