//! What requests tell of the ways from entries to engines.
//!
//! An entry that is cut off fails at every engine, and that is no fault of theirs: its reports count
//! less the more engines it names, and only for its own requests in full.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::name::Name;
use crate::time::Moment;

/// For how long an entry gets no further grant at an engine that failed it.
const PAIR_PENALTY: Duration = Duration::from_millis(1_500);
/// Failures of an entry at other engines within this time make its word count less.
const MEMORY: Duration = Duration::from_secs(3);

/// Evidence about the ways to all engines of a service.
#[derive(Debug, Default)]
pub struct Evidence {
    /// When a request last failed on the way from an entry to an engine.
    failed_at: BTreeMap<u64, BTreeMap<Name, Moment>>,
}

impl Evidence {
    /// Notes that a request of `entry` failed at `engine`; returns how far that is the engine's fault, in 0..=1.
    pub fn failed(&mut self, entry: u64, engine: &Name, now: Moment) -> f64 {
        self.retain(|_, at| now.since(at) < MEMORY);
        let of_entry = self.failed_at.entry(entry).or_default();
        of_entry.insert(engine.clone(), now);
        1.0 / of_entry.len() as f64
    }

    /// Notes that a request of `entry` went well at `engine`.
    pub fn succeeded(&mut self, entry: u64, engine: &Name) {
        if let Some(of_entry) = self.failed_at.get_mut(&entry) {
            of_entry.remove(engine);
        }
    }

    /// Forgets engines that are not among `known`.
    pub fn keep(&mut self, known: impl Fn(&Name) -> bool) {
        self.retain(|engine, _| known(engine));
    }

    /// Engines that `entry` does not reach, as far as is known.
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
