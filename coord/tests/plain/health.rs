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
const PATH_BACKOFF: Duration = Duration::from_millis(1_500);
/// Period in which failures of an entry at other engines reduce the weight of its next failure.
const FAILURE_WINDOW: Duration = Duration::from_secs(3);

/// Path from an entry to an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Path {
    entry: u64,
    engine: Name,
}

/// Recent failures and circuit breakers of all engines of a service.
#[derive(Debug, Default)]
pub struct EngineHealth {
    breakers: BTreeMap<Name, Breaker>,
    /// Time of the last failure on each path.
    failed_at: BTreeMap<Path, Moment>,
}

impl EngineHealth {
    /// Records that a request of `entry` failed at `engine`.
    pub fn record_failure(&mut self, entry: u64, engine: &Name, now: Moment) {
        self.failed_at.retain(|_, at| now.since(*at) < FAILURE_WINDOW);
        self.failed_at.insert(Path { entry, engine: engine.clone() }, now);
        let failed_engines = self.failed_at.keys().filter(|path| path.entry == entry).count();
        self.breakers.entry(engine.clone()).or_default().record_failure(1.0 / failed_engines as f64, now);
    }

    /// Records that a request of `entry` succeeded at `engine`.
    pub fn record_success(&mut self, entry: u64, engine: &Name, now: Moment) {
        self.failed_at.remove(&Path { entry, engine: engine.clone() });
        if let Some(breaker) = self.breakers.get_mut(engine) {
            breaker.record_success(now);
        }
    }

    /// Requires a trial request of `engine`, because a prompt that it shares with other engines took far too long.
    pub fn require_trial(&mut self, engine: &Name, now: Moment) {
        self.breakers.entry(engine.clone()).or_default().require_trial(now);
    }

    /// Records that a request is sent to `engine`.
    pub fn record_request(&mut self, engine: &Name, now: Moment) {
        if let Some(breaker) = self.breakers.get_mut(engine) {
            breaker.record_request(now);
        }
    }

    /// Retains only engines for which `is_known` returns true.
    pub fn retain_engines(&mut self, is_known: impl Fn(&Name) -> bool) {
        self.breakers.retain(|engine, _| is_known(engine));
        self.failed_at.retain(|path, _| is_known(&path.engine));
    }

    /// Returns whether the circuit breaker of `engine` admits requests.
    pub fn allows_request(&self, engine: &Name, now: Moment) -> bool {
        self.breakers.get(engine).is_none_or(|breaker| breaker.allows_request(now))
    }

    /// Returns whether `entry` had no failure at `engine` within the last `PATH_BACKOFF`.
    pub fn can_reach(&self, entry: u64, engine: &Name, now: Moment) -> bool {
        let failed_at = self.failed_at.get(&Path { entry, engine: engine.clone() });
        failed_at.is_none_or(|at| now.since(*at) >= PATH_BACKOFF)
    }

    /// Returns the number of engines whose circuit breakers are half-open.
    pub fn count_half_open(&self, now: Moment) -> usize {
        self.breakers.values().filter(|breaker| breaker.is_half_open(now)).count()
    }

    /// Returns whether the circuit breaker of `engine` is half-open, so that the next request is a trial.
    pub fn is_half_open(&self, engine: &Name, now: Moment) -> bool {
        self.breakers.get(engine).is_some_and(|breaker| breaker.is_half_open(now))
    }
}
