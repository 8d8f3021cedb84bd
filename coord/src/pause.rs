//! Pauses between calls that fail, doubled with each failure in a row.

use std::time::Duration;

/// Doublings after which the pause is surely the longest.
const MOST_DOUBLINGS: u32 = 8;

/// The shortest and the longest pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// After the first failure.
    pub first: Duration,
    /// After many.
    pub longest: Duration,
}

impl Pause {
    /// The pause after so many failures in a row.
    pub fn after(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(MOST_DOUBLINGS);
        (self.first * 2u32.pow(doublings)).min(self.longest)
    }

    /// Pauses so much longer that `processes` which fail together make no more than `per_s` calls a second, once their
    /// pauses are the longest. One of them that succeeds tells the others.
    pub fn shared(self, processes: usize, per_s: f64) -> Self {
        let stretch = (processes as f64 / per_s / self.longest.as_secs_f64()).max(1.0);
        Self { first: self.first.mul_f64(stretch), longest: self.longest.mul_f64(stretch) }
    }
}
