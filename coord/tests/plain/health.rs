//! Records failures of engines and of the paths from entries to them.
//!
//! An entry that is cut off from the network fails at every engine, which is no fault of the engines. Its failures
//! therefore count less against each engine the more engines they hit. Only the grants of the entry itself take each
//! failure fully into account.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::breaker::Breaker;
use coord::name::Name;
use coord::time::Moment;

/// Time for which an entry gets no grant at an engine that failed one of its requests.
const PAIR_PENALTY: Duration = Duration::from_millis(1_500);
/// Period in which failures of an entry at other engines reduce the weight of its next failure.
const MEMORY: Duration = Duration::from_secs(3);

/// Path from an entry to an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Way {
    entry: u64,
    engine: Name,
}

/// Recent failures and circuit breakers of all engines of a service.
#[derive(Debug, Default)]
pub struct Evidence {
    breakers: BTreeMap<Name, Breaker>,
    /// Time of the last failure on each path.
    failed_at: BTreeMap<Way, Moment>,
}

impl Evidence {
    /// Records that a request of `entry` failed at `engine`.
    pub fn failed(&mut self, entry: u64, engine: &Name, now: Moment) {
        self.failed_at.retain(|_, at| now.since(*at) < MEMORY);
        self.failed_at.insert(Way { entry, engine: engine.clone() }, now);
        let named = self.failed_at.keys().filter(|way| way.entry == entry).count();
        self.breakers.entry(engine.clone()).or_default().failed(1.0 / named as f64, now);
    }

    /// Records that a request of `entry` succeeded at `engine`.
    pub fn succeeded(&mut self, entry: u64, engine: &Name, now: Moment) {
        self.failed_at.remove(&Way { entry, engine: engine.clone() });
        if let Some(breaker) = self.breakers.get_mut(engine) {
            breaker.succeeded(now);
        }
    }

    /// Puts `engine` on trial, because a prompt that it shares with other engines took far too long.
    pub fn suspect(&mut self, engine: &Name, now: Moment) {
        self.breakers.entry(engine.clone()).or_default().suspect(now);
    }

    /// Records that a request is sent to `engine`.
    pub fn begin(&mut self, engine: &Name, now: Moment) {
        if let Some(breaker) = self.breakers.get_mut(engine) {
            breaker.begin(now);
        }
    }

    /// Retains only engines for which `known` returns true.
    pub fn keep(&mut self, known: impl Fn(&Name) -> bool) {
        self.breakers.retain(|engine, _| known(engine));
        self.failed_at.retain(|way, _| known(&way.engine));
    }

    /// Returns whether the circuit breaker of `engine` admits requests.
    pub fn admits(&self, engine: &Name, now: Moment) -> bool {
        self.breakers.get(engine).is_none_or(|breaker| breaker.admits(now))
    }

    /// Returns whether `entry` probably reaches `engine`.
    pub fn reaches(&self, entry: u64, engine: &Name, now: Moment) -> bool {
        let failed_at = self.failed_at.get(&Way { entry, engine: engine.clone() });
        failed_at.is_none_or(|at| now.since(*at) >= PAIR_PENALTY)
    }

    /// Returns the number of engines whose next request is a trial request.
    pub fn on_trial(&self, now: Moment) -> usize {
        self.breakers.values().filter(|breaker| breaker.is_on_trial(now)).count()
    }

    /// Returns whether the next request to `engine` is a trial request.
    pub fn is_on_trial(&self, engine: &Name, now: Moment) -> bool {
        self.breakers.get(engine).is_some_and(|breaker| breaker.is_on_trial(now))
    }
}
