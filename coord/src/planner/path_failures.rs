//! Records failures on the paths from entries to engines.
//!
//! An entry that is cut off from the network fails at every engine, which is no fault of the engines. Its failures
//! therefore count less against each engine the more engines they hit. Only the grants of the entry itself take each
//! failure fully into account.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::name::Name;
use crate::time::Moment;

/// Time for which an entry gets no grant at an engine that failed one of its requests.
const PAIR_PENALTY: Duration = Duration::from_millis(1_500);
/// Period in which failures of an entry at other engines reduce the weight of its next failure.
const MEMORY: Duration = Duration::from_secs(3);

/// Recent failures on the paths to all engines of a service.
#[derive(Debug, Default)]
pub struct Evidence {
    /// Time of the last failure, by entry and engine.
    failed_at: BTreeMap<u64, BTreeMap<Name, Moment>>,
}

impl Evidence {
    /// Records that a request of `entry` failed at `engine`; returns the engine's share of the blame, from 0 to 1.
    pub fn failed(&mut self, entry: u64, engine: &Name, now: Moment) -> f64 {
        self.retain(|_, at| now.since(at) < MEMORY);
        let of_entry = self.failed_at.entry(entry).or_default();
        of_entry.insert(engine.clone(), now);
        1.0 / of_entry.len() as f64
    }

    /// Records that a request of `entry` succeeded at `engine`.
    pub fn succeeded(&mut self, entry: u64, engine: &Name) {
        if let Some(of_entry) = self.failed_at.get_mut(&entry) {
            of_entry.remove(engine);
        }
    }

    /// Retains only engines for which `known` returns true.
    pub fn keep(&mut self, known: impl Fn(&Name) -> bool) {
        self.retain(|engine, _| known(engine));
    }

    /// Returns the engines that `entry` failed to reach recently.
    pub fn unreached(&self, entry: u64, now: Moment) -> impl Iterator<Item = &Name> {
        let of_entry = self.failed_at.get(&entry).into_iter().flatten();
        of_entry.filter(move |(_, at)| now.since(**at) < PAIR_PENALTY).map(|(engine, _)| engine)
    }

    fn retain(&mut self, keep: impl Fn(&Name, Moment) -> bool) {
        self.failed_at.retain(|_, of_entry| {
            of_entry.retain(|engine, at| keep(engine, *at));
            !of_entry.is_empty()
        });
    }
}
