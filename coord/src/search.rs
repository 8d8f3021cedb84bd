//! Whom to try, and when again, for a process that looks for the one that leads.
//!
//! Everyone that lost a leader looks for the next at the same moment. Without a bound each would try everybody, and
//! the tries would grow as the square of the processes: 100 that wait for a store made 6,000 a second. So a round
//! tries a few, those that rank first, and one that failed is left out of the next rounds for a growing while.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::pause::Pause;
use crate::time::Moment;

/// Most candidates that are tried in one round: the leader, and two that would follow it in rank if it is gone.
pub const ROUND: usize = 3;
/// Time for which one that failed is left out: at first two beats of a leader, within which it may come up; after a cut
/// the two sides find each other within the longest.
const PAUSE: Pause = Pause { first: Duration::from_millis(300), longest: Duration::from_secs(4) };

/// What came of earlier tries.
#[derive(Clone, Copy, Debug)]
struct Failure {
    /// Tries that failed in a row.
    count: u32,
    /// It is left out before.
    until: Moment,
}

/// Remembers whom it is no use to try yet.
#[derive(Debug)]
pub struct Search<K> {
    failures: HashMap<K, Failure>,
}

impl<K> Default for Search<K> {
    fn default() -> Self {
        Self { failures: HashMap::new() }
    }
}

impl<K: Clone + Eq + Hash> Search<K> {
    /// Those of `candidates`, which come in the order of their rank, that are tried in a round that begins now.
    pub fn round(&self, candidates: impl IntoIterator<Item = K>, now: Moment) -> Vec<K> {
        let may = |candidate: &K| self.failures.get(candidate).is_none_or(|failure| failure.until <= now);
        candidates.into_iter().filter(may).take(ROUND).collect()
    }

    /// Notes that a candidate could not be reached, or leads nobody. `jitter` stretches the pause, so that those who
    /// failed together do not try again together.
    pub fn failed(&mut self, candidate: K, jitter: f64, now: Moment) {
        let failure = self.failures.entry(candidate).or_insert(Failure { count: 0, until: now });
        failure.count += 1;
        failure.until = now + PAUSE.after(failure.count).mul_f64(jitter);
    }

    /// Notes that a candidate answered.
    pub fn reached(&mut self, candidate: &K) {
        self.failures.remove(candidate);
    }

    /// Forgets all failures: what caused them is over.
    pub fn restart(&mut self) {
        self.failures.clear();
    }

    /// Forgets those that are not among `known`.
    pub fn keep(&mut self, known: impl Fn(&K) -> bool) {
        self.failures.retain(|candidate, _| known(candidate));
    }
}
