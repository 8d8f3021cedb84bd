//! Claims: a key that may run once is bound to the first claimant on the log.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{Incarnation, Name};
use crate::time::Moment;

/// A key that may run once, scoped to a workspace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The workspace that the caller belongs to.
    pub workspace: Name,
    /// The caller's key.
    pub key: Name,
}

/// The sidecar incarnation that a key is bound to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Binding {
    /// The endpoint beside which the sidecar runs.
    pub endpoint: Name,
    /// The sidecar's incarnation: a restarted sidecar never runs the key.
    pub incarnation: Incarnation,
}

/// The claims replayed from the log: the first offset wins, for a window.
#[derive(Debug)]
pub struct Board {
    window: Duration,
    bound: HashMap<Key, (Binding, Moment)>,
    ages: VecDeque<(Moment, Key)>,
    next: u64,
}

impl Board {
    /// A board that remembers a binding for `window` after its claim.
    pub fn new(window: Duration) -> Self {
        Self { window, bound: HashMap::new(), ages: VecDeque::new(), next: 0 }
    }

    /// Notes that everything before `offset` was read. A record may hold several claims:
    /// replay them all, then skip to the next offset.
    pub fn skip_to(&mut self, offset: u64) {
        crate::invariant!(offset >= self.next, "the log is read forward");
        self.next = offset;
    }

    /// Replays a claim found at `offset`, stamped `at` by the log; returns the binding that holds.
    pub fn replay(&mut self, offset: u64, at: Moment, key: Key, binding: Binding) -> Binding {
        if offset < self.next {
            return self.binding(&key).cloned().unwrap_or(binding);
        }
        self.expire(at);
        if let Some((held, _)) = self.bound.get(&key) {
            return held.clone();
        }
        self.bound.insert(key.clone(), (binding.clone(), at));
        self.ages.push_back((at, key));
        crate::invariant!(self.bound.len() == self.ages.len(), "each binding has one claim");
        binding
    }

    /// The binding of `key`, if it was claimed within the window.
    pub fn binding(&self, key: &Key) -> Option<&Binding> {
        self.bound.get(key).map(|(binding, _)| binding)
    }

    /// The next offset to read.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        self.bound.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.bound.is_empty()
    }

    fn expire(&mut self, now: Moment) {
        while self.ages.front().is_some_and(|(at, _)| now.since(*at) > self.window) {
            if let Some((_, key)) = self.ages.pop_front() {
                self.bound.remove(&key);
            }
        }
    }
}
