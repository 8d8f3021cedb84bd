//! Claims, which bind an idempotency key to one sidecar; the first claim in the log wins.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{Incarnation, Name};
use crate::time::Moment;

/// Idempotency key, scoped to a workspace. Its request runs at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Workspace of the caller.
    pub workspace: Name,
    /// Key that the caller supplied.
    pub key: Name,
}

/// Sidecar incarnation that a key is bound to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Binding {
    /// Endpoint that the sidecar belongs to.
    pub endpoint: Name,
    /// Incarnation of the sidecar; after a restart, the sidecar never runs requests with the key.
    pub incarnation: Incarnation,
}

/// Claims replayed from the log. The claim with the lowest offset holds the key for a window.
#[derive(Debug)]
pub struct Claims {
    window: Duration,
    bound: HashMap<Key, (Binding, Moment)>,
    claims_by_age: VecDeque<(Moment, Key)>,
    next: u64,
}

impl Claims {
    /// Creates an empty set of claims that keeps a binding for `window` after its claim.
    pub fn new(window: Duration) -> Self {
        Self { window, bound: HashMap::new(), claims_by_age: VecDeque::new(), next: 0 }
    }

    /// Marks all records before `offset` as read. A record can hold several claims: apply all of them before
    /// skipping to the next offset.
    pub fn skip_to(&mut self, offset: u64) {
        crate::invariant!(offset >= self.next, "the log is read forward");
        self.next = offset;
    }

    /// Replays the claim at `offset` with log timestamp `at`, and returns the binding in force.
    pub fn apply(&mut self, offset: u64, at: Moment, key: Key, binding: Binding) -> Binding {
        if offset < self.next {
            return self.binding(&key).cloned().unwrap_or(binding);
        }
        self.expire(at);
        if let Some((current, _)) = self.bound.get(&key) {
            return current.clone();
        }
        self.bound.insert(key.clone(), (binding.clone(), at));
        self.claims_by_age.push_back((at, key));
        crate::invariant!(self.bound.len() == self.claims_by_age.len(), "each binding has one claim");
        binding
    }

    /// Returns the binding of `key` if the key was claimed within the window.
    pub fn binding(&self, key: &Key) -> Option<&Binding> {
        self.bound.get(key).map(|(binding, _)| binding)
    }

    /// Returns the offset of the next record to read.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Returns the number of keys bound within the window.
    pub fn len(&self) -> usize {
        self.bound.len()
    }

    /// Returns whether no key is bound.
    pub fn is_empty(&self) -> bool {
        self.bound.is_empty()
    }

    fn expire(&mut self, now: Moment) {
        while self.claims_by_age.front().is_some_and(|(at, _)| now.since(*at) > self.window) {
            if let Some((_, key)) = self.claims_by_age.pop_front() {
                self.bound.remove(&key);
            }
        }
    }
}
