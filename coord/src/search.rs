//! Search for the current leader: which candidates to try, and when to try them again.
//!
//! All followers of a lost leader search at the same time. If each tried all processes, the number of attempts would
//! grow quadratically: 100 processes waiting for a store made 6,000 attempts per second. A round therefore tries only
//! the few highest-ranked candidates and skips those that failed recently, with an exponential retry delay.
//!
//! Two processes that lose their leader together may each follow the other. The lower-ranked one then appoints the
//! other as leader. If the appointed process looked for further leaders, it would find only the process that appointed
//! it, and the two would reconnect to each other without end while the lost leader still ranks ahead of both.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::retry_delay::RetryDelay;
use crate::time::Moment;

/// Maximum number of candidates per round: the leader and the next two in rank.
pub const MAX_CANDIDATES_PER_ROUND: usize = 3;
/// Retry delay of a failed candidate. It starts at two heartbeat intervals of a leader, within which the candidate
/// may come up; its maximum bounds how long the two sides of a healed partition take to find each other.
const RETRY_DELAY: RetryDelay = RetryDelay { initial: Duration::from_millis(300), max: Duration::from_secs(4) };

/// Failed attempts to reach a candidate.
#[derive(Clone, Copy, Debug)]
struct Failure {
    /// Number of consecutive failures.
    consecutive_failures: u32,
    /// Earliest time of the next attempt.
    retry_at: Moment,
}

/// Candidates that failed recently, and whether this process was appointed as leader.
#[derive(Debug)]
pub struct LeaderSearch<K> {
    failures: HashMap<K, Failure>,
    is_appointed: bool,
}

impl<K> Default for LeaderSearch<K> {
    fn default() -> Self {
        Self { failures: HashMap::new(), is_appointed: false }
    }
}

impl<K: Clone + Eq + Hash> LeaderSearch<K> {
    /// Selects the candidates for a round at `now`. `candidates` must be in order of rank.
    pub fn next_candidates(&self, candidates: impl IntoIterator<Item = K>, now: Moment) -> Vec<K> {
        let is_eligible = |candidate: &K| self.failures.get(candidate).is_none_or(|failure| failure.retry_at <= now);
        candidates.into_iter().filter(is_eligible).take(MAX_CANDIDATES_PER_ROUND).collect()
    }

    /// Records that a candidate was unreachable or is not a leader. `jitter` scales the retry delay, so that
    /// processes that failed together do not retry together.
    pub fn record_failure(&mut self, candidate: K, jitter: f64, now: Moment) {
        let failure = self.failures.entry(candidate).or_insert(Failure { consecutive_failures: 0, retry_at: now });
        failure.consecutive_failures += 1;
        failure.retry_at = now + RETRY_DELAY.delay(failure.consecutive_failures).mul_f64(jitter);
    }

    /// Records a response of a candidate, which resets its retry delay.
    pub fn record_success(&mut self, candidate: &K) {
        self.failures.remove(candidate);
    }

    /// Records that the leader that this process followed named this process as the next leader.
    pub fn record_appointment(&mut self) {
        self.is_appointed = true;
    }

    /// Records that this process follows a leader, which ends its appointment.
    pub fn record_leader(&mut self) {
        self.is_appointed = false;
    }

    /// Returns whether this process leads although the list of candidates ranks others ahead of it. It then still tries
    /// the candidates of each round, but does not ask other processes for their leader.
    pub fn is_appointed(&self) -> bool {
        self.is_appointed
    }

    /// Clears all failures once their common cause is over.
    pub fn reset(&mut self) {
        self.failures.clear();
    }

    /// Drops the failures of candidates for which `is_known` returns `false`.
    pub fn retain(&mut self, is_known: impl Fn(&K) -> bool) {
        self.failures.retain(|candidate, _| is_known(candidate));
    }
}
