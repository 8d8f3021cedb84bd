//! What requests tell of engines, and of the ways to them.
//!
//! An entry that is cut off fails at every engine, and that is no fault of theirs: its reports count
//! less the more engines it names, and only for its own requests in full.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::breaker::Breaker;
use coord::name::Name;
use coord::time::Moment;

/// For how long an entry gets no further grant at an engine that failed it.
const PAIR_PENALTY: Duration = Duration::from_millis(1_500);
/// Failures of an entry at other engines within this time make its word count less.
const MEMORY: Duration = Duration::from_secs(3);

/// The way from an entry to an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Way {
    entry: u64,
    engine: Name,
}

/// Evidence about all engines of a service.
#[derive(Debug, Default)]
pub struct Evidence {
    breakers: BTreeMap<Name, Breaker>,
    /// When a request last failed on a way.
    failed_at: BTreeMap<Way, Moment>,
}

impl Evidence {
    /// Notes that a request of `entry` failed at `engine`.
    pub fn failed(&mut self, entry: u64, engine: &Name, now: Moment) {
        self.failed_at.retain(|_, at| now.since(*at) < MEMORY);
        self.failed_at.insert(Way { entry, engine: engine.clone() }, now);
        let named = self.failed_at.keys().filter(|way| way.entry == entry).count();
        self.breakers.entry(engine.clone()).or_default().failed(1.0 / named as f64, now);
    }

    /// Notes that a request of `entry` went well at `engine`.
    pub fn succeeded(&mut self, entry: u64, engine: &Name, now: Moment) {
        self.failed_at.remove(&Way { entry, engine: engine.clone() });
        if let Some(breaker) = self.breakers.get_mut(engine) {
            breaker.succeeded(now);
        }
    }

    /// Notes that a prompt took far too long to which `engine` was one of several.
    pub fn suspect(&mut self, engine: &Name, now: Moment) {
        self.breakers.entry(engine.clone()).or_default().suspect(now);
    }

    /// Notes that a request is sent to `engine`.
    pub fn begin(&mut self, engine: &Name, now: Moment) {
        if let Some(breaker) = self.breakers.get_mut(engine) {
            breaker.begin(now);
        }
    }

    /// Forgets engines that are not among `known`.
    pub fn keep(&mut self, known: impl Fn(&Name) -> bool) {
        self.breakers.retain(|engine, _| known(engine));
        self.failed_at.retain(|way, _| known(&way.engine));
    }

    /// Whether requests may be sent to `engine`.
    pub fn admits(&self, engine: &Name, now: Moment) -> bool {
        self.breakers.get(engine).is_none_or(|breaker| breaker.admits(now))
    }

    /// Whether `entry` reaches `engine`, as far as is known.
    pub fn reaches(&self, entry: u64, engine: &Name, now: Moment) -> bool {
        let failed_at = self.failed_at.get(&Way { entry, engine: engine.clone() });
        failed_at.is_none_or(|at| now.since(*at) >= PAIR_PENALTY)
    }

    /// Engines whose next request is a trial.
    pub fn on_trial(&self, now: Moment) -> usize {
        self.breakers.values().filter(|breaker| breaker.is_on_trial(now)).count()
    }

    /// Whether the next request to `engine` is a trial.
    pub fn is_on_trial(&self, engine: &Name, now: Moment) -> bool {
        self.breakers.get(engine).is_some_and(|breaker| breaker.is_on_trial(now))
    }
}
