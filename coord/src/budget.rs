//! Retry budgets, which limit retries to a share of first attempts.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Moment;

/// Tokens that one retry costs; a first attempt earns `share` times this amount.
const RETRY_COST: f64 = 1.0;

/// Token bucket that first attempts fill and retries drain.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    cap: f64,
    level: f64,
}

impl Budget {
    /// Creates a full budget that allows `share` retries per first attempt and stores at most `cap` retries.
    pub fn new(share: f64, cap: f64) -> Self {
        Self { share, cap, level: cap }
    }

    /// Records a first attempt.
    pub fn record_request(&mut self) {
        self.level = (self.level + self.share * RETRY_COST).min(self.cap);
    }

    /// Takes one retry from the budget, or returns `false` if the budget is exhausted.
    pub fn try_retry(&mut self) -> bool {
        if self.level < RETRY_COST {
            return false;
        }
        self.level -= RETRY_COST;
        let is_overdrawn = self.level < 0.0;
        crate::invariant!(!is_overdrawn, "retry budget is never overdrawn");
        true
    }
}

/// Budget over a sliding window: at most `allowance + share * first attempts` retries within the window that ends
/// now.
///
/// When traffic falls, a later window can hold the same retries and fewer first attempts, so a caller that bounds
/// every possible window must leave room for that. Several processes keep a common bound without coordination if each
/// uses its own part of the allowance, because the shares of first attempts add up.
#[derive(Clone, Debug)]
pub struct WindowedBudget {
    share: f64,
    allowance: f64,
    window: Duration,
    first_attempts: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

/// Returns the part of a common allowance that each of `processes` may use independently of the others.
pub fn allowance_per_process(allowance: f64, processes: usize) -> f64 {
    allowance / processes.max(1) as f64
}

impl WindowedBudget {
    /// Creates a budget of `allowance` retries plus `share` retries per first attempt in every `window`.
    pub fn new(share: f64, allowance: f64, window: Duration) -> Self {
        Self { share, allowance, window, first_attempts: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Sets the allowance. Retries made under a larger allowance still count.
    pub fn set_allowance(&mut self, allowance: f64) {
        self.allowance = allowance;
    }

    /// Records a first attempt.
    pub fn record_request(&mut self, now: Moment) {
        self.evict_expired(now);
        self.first_attempts.push_back(now);
    }

    /// Returns the number of retries that the budget allows now, with fractions of a retry.
    pub fn available(&mut self, now: Moment) -> f64 {
        self.evict_expired(now);
        self.allowance + self.share * self.first_attempts.len() as f64 - self.retries.len() as f64
    }

    /// Takes one retry from the budget, or returns `false` if the budget is exhausted.
    pub fn try_retry(&mut self, now: Moment) -> bool {
        self.evict_expired(now);
        let bound = self.allowance + self.share * self.first_attempts.len() as f64;
        if self.retries.len() as f64 + RETRY_COST > bound {
            return false;
        }
        self.retries.push_back(now);
        let is_within_bound = self.retries.len() as f64 <= bound;
        crate::invariant!(is_within_bound, "retry budget is never overdrawn");
        true
    }

    fn evict_expired(&mut self, now: Moment) {
        for times in [&mut self.first_attempts, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > self.window) {
                times.pop_front();
            }
        }
    }
}
