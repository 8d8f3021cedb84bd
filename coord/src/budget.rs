//! Retry budgets: retries are a bounded share of first tries.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Moment;

/// Tokens that one retry costs; a first try earns `share` of it.
const RETRY_COST: f64 = 1.0;

/// A budget that first tries fill and retries drain.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    cap: f64,
    level: f64,
}

impl Budget {
    /// A budget of `share` retries per first try, saving at most `cap` retries.
    pub fn new(share: f64, cap: f64) -> Self {
        Self { share, cap, level: cap }
    }

    /// Notes a first try.
    pub fn earn(&mut self) {
        self.level = (self.level + self.share * RETRY_COST).min(self.cap);
    }

    /// Takes one retry out, or says that the budget is spent.
    pub fn spend(&mut self) -> bool {
        if self.level < RETRY_COST {
            return false;
        }
        self.level -= RETRY_COST;
        let overdrawn = self.level < 0.0;
        crate::invariant!(!overdrawn, "retry budget is never overdrawn");
        true
    }
}

/// A budget over the window of a fixed length that ends now: at most `allowance + share * first tries` retries.
///
/// When traffic falls, a later window may hold the same retries and fewer first tries; who bounds
/// every window must leave room for that. Several processes keep a common bound without a word to
/// each other when each keeps its own part of the allowance, since the shares of first tries add up.
#[derive(Clone, Debug)]
pub struct Windowed {
    share: f64,
    allowance: f64,
    window: Duration,
    firsts: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

/// The part of a common allowance that one of `processes` may use, whatever the others do.
pub fn part(allowance: f64, processes: usize) -> f64 {
    allowance / processes.max(1) as f64
}

impl Windowed {
    /// A budget of `allowance` retries and `share` retries per first try in every `window`.
    pub fn new(share: f64, allowance: f64, window: Duration) -> Self {
        Self { share, allowance, window, firsts: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Sets the allowance; retries that were made under a larger one still count.
    pub fn set_allowance(&mut self, allowance: f64) {
        self.allowance = allowance;
    }

    /// Notes a first try.
    pub fn earn(&mut self, now: Moment) {
        self.forget(now);
        self.firsts.push_back(now);
    }

    /// Takes one retry out, or says that the budget is spent.
    pub fn spend(&mut self, now: Moment) -> bool {
        self.forget(now);
        let bound = self.allowance + self.share * self.firsts.len() as f64;
        if self.retries.len() as f64 + RETRY_COST > bound {
            return false;
        }
        self.retries.push_back(now);
        let within = self.retries.len() as f64 <= bound;
        crate::invariant!(within, "retry budget is never overdrawn");
        true
    }

    fn forget(&mut self, now: Moment) {
        for times in [&mut self.firsts, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > self.window) {
                times.pop_front();
            }
        }
    }
}
