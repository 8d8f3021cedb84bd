//! A set that forgets after a window.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

use crate::time::Moment;

/// Items with the time at which each was first inserted.
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
    /// An empty set.
    pub fn new() -> Self {
        Self { at: HashMap::new(), ages: VecDeque::new() }
    }

    /// Remembers an item; one that is remembered keeps its age.
    pub fn insert(&mut self, item: T, now: Moment) {
        if self.at.insert(item, now).is_none() {
            self.ages.push_back((now, item));
        }
    }

    /// Whether the item is remembered.
    pub fn contains(&self, item: T) -> bool {
        self.at.contains_key(&item)
    }

    /// Forgets what was inserted before a moment.
    pub fn forget(&mut self, before: Moment) {
        while self.ages.front().is_some_and(|(at, _)| *at < before) {
            if let Some((_, item)) = self.ages.pop_front() {
                self.at.remove(&item);
            }
        }
    }
}
