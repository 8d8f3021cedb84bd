//! Network distances between failure domains.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::name::Name;

/// One-way delays between failure domains, as far as they are configured. A delay is the same in both directions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Distances(BTreeMap<(Name, Name), Duration>);

impl Distances {
    /// Sets the one-way delay between two failure domains; an earlier one is replaced.
    pub fn set(&mut self, a: &Name, b: &Name, delay: Duration) {
        self.0.insert(key(a, b), delay);
    }

    /// Returns the one-way delay between two failure domains: zero within a domain, `None` if it is not configured.
    pub fn one_way(&self, a: &Name, b: &Name) -> Option<Duration> {
        if a == b {
            return Some(Duration::ZERO);
        }
        self.0.get(&key(a, b)).copied()
    }

    /// Returns the longest one-way delay between any two failure domains; zero if none is configured.
    pub fn max(&self) -> Duration {
        self.0.values().copied().max().unwrap_or_default()
    }
}

/// Returns the same key for both directions.
fn key(a: &Name, b: &Name) -> (Name, Name) {
    if a <= b { (a.clone(), b.clone()) } else { (b.clone(), a.clone()) }
}
