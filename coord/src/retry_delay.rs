//! Exponential delay between failing calls, doubled with each consecutive failure.

use std::time::Duration;

/// Number of doublings after which the delay has surely reached its maximum.
const MAX_DOUBLINGS: u32 = 8;

/// Initial and maximum retry delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryDelay {
    /// Delay after the first failure.
    pub initial: Duration,
    /// Upper bound of the delay.
    pub max: Duration,
}

impl RetryDelay {
    /// Returns the delay after `failures` consecutive failures.
    pub fn delay(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
        (self.initial * 2u32.pow(doublings)).min(self.max)
    }

    /// Stretches the delays so that `processes` that fail together make at most `per_s` calls per second once they
    /// reach the maximum. A process that succeeds notifies the others.
    pub fn shared_among(self, processes: usize, per_s: f64) -> Self {
        let factor = (processes as f64 / per_s / self.max.as_secs_f64()).max(1.0);
        Self { initial: self.initial.mul_f64(factor), max: self.max.mul_f64(factor) }
    }
}
