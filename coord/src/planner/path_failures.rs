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
const PATH_BACKOFF: Duration = Duration::from_millis(1_500);
/// Period in which failures of an entry at other engines reduce the weight of its next failure.
const FAILURE_WINDOW: Duration = Duration::from_secs(3);

/// Recent failures on the paths to all engines of a service.
#[derive(Debug, Default)]
pub struct PathFailures {
    /// Time of the last failure, by entry and engine.
    failed_at: BTreeMap<u64, BTreeMap<Name, Moment>>,
}

impl PathFailures {
    /// Records that a request of `entry` failed at `engine`; returns the engine's share of the blame, from 0 to 1.
    pub fn record_failure(&mut self, entry: u64, engine: &Name, now: Moment) -> f64 {
        self.retain(|_, at| now.since(at) < FAILURE_WINDOW);
        let entry_failures = self.failed_at.entry(entry).or_default();
        entry_failures.insert(engine.clone(), now);
        1.0 / entry_failures.len() as f64
    }

    /// Records that a request of `entry` succeeded at `engine`.
    pub fn record_success(&mut self, entry: u64, engine: &Name) {
        if let Some(entry_failures) = self.failed_at.get_mut(&entry) {
            entry_failures.remove(engine);
        }
    }

    /// Retains only engines for which `is_known` returns true.
    pub fn retain_engines(&mut self, is_known: impl Fn(&Name) -> bool) {
        self.retain(|engine, _| is_known(engine));
    }

    /// Returns the engines that `entry` failed to reach recently.
    pub fn unreachable_engines(&self, entry: u64, now: Moment) -> impl Iterator<Item = &Name> {
        let entry_failures = self.failed_at.get(&entry).into_iter().flatten();
        entry_failures.filter(move |(_, at)| now.since(**at) < PATH_BACKOFF).map(|(engine, _)| engine)
    }

    fn retain(&mut self, keep: impl Fn(&Name, Moment) -> bool) {
        self.failed_at.retain(|_, entry_failures| {
            entry_failures.retain(|engine, at| keep(engine, *at));
            !entry_failures.is_empty()
        });
    }
}
