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

/// Largest number of earned retries that is saved, as a fraction of what the requests of the window have earned. At least
/// one retry is saved, since an entry with few requests could never retry otherwise.
const MAX_SAVED_SHARE: f64 = 0.1;

/// What a process knows at its start of the retries that earlier processes made.
#[derive(Clone, Copy, Debug)]
pub enum Start {
    /// No process ran before, so that the whole allowance is unused.
    First,
    /// An earlier process may have used the allowance until this process started.
    Again {
        /// Time at which this process started.
        at: Moment,
        /// Fraction of a retry, from 0 to 1, that counts as earned at the start. Processes draw it at random: together
        /// they then make as many retries as their requests earn, even if none of them lives until it has earned one.
        earned: f64,
    },
}

/// A retry within the window.
#[derive(Clone, Copy, Debug)]
struct Retry {
    at: Moment,
    /// Part of the retry that was taken from the allowance; the rest was earned.
    from_allowance: f64,
}

/// Budget over a sliding window: at most `allowance + share * requests` retries within the window that ends now.
///
/// Several processes keep a common bound without coordination if each uses its own part of the allowance, because the
/// shares of requests add up. The windows of the processes end at different times, and a process that starts does not
/// know the retries of earlier processes that are still in the window. The common bound therefore holds by two rules,
/// however requests move between the processes and however often processes start:
///
/// - A process uses its part of the allowance only when it is older than the window, so that everything that an earlier
///   process took from the same part has left the window.
/// - Each request earns a fraction of one retry, and only a few earned retries are saved. All processes together then
///   make no more earned retries in a window than the requests of the window earn, beside the few that were saved before.
#[derive(Clone, Debug)]
pub struct WindowedBudget {
    share: f64,
    allowance: f64,
    window: Duration,
    /// Time from which this process uses its part of the allowance.
    allowance_from: Moment,
    /// Earned retries that have not been used.
    earned: f64,
    /// Times of the requests within the window.
    requests: VecDeque<Moment>,
    /// Retries within the window.
    retries: VecDeque<Retry>,
}

/// Returns the part of a common allowance that each of `processes` may use independently of the others.
pub fn allowance_per_process(allowance: f64, processes: usize) -> f64 {
    allowance / processes.max(1) as f64
}

impl WindowedBudget {
    /// Creates a budget of `allowance` retries plus `share` retries per request in every `window`.
    pub fn new(share: f64, allowance: f64, window: Duration, start: Start) -> Self {
        let (allowance_from, earned) = match start {
            Start::First => (Moment::ZERO, 0.0),
            Start::Again { at, earned } => (at + window, earned),
        };
        Self { share, allowance, window, allowance_from, earned, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Sets the allowance. Retries made under a larger allowance still count.
    pub fn set_allowance(&mut self, allowance: f64) {
        self.allowance = allowance;
    }

    /// Records a request.
    pub fn record_request(&mut self, now: Moment) {
        self.requests.push_back(now);
        self.earned += self.earned_per_request();
        self.update(now);
    }

    /// Returns the number of retries that the budget allows now, with fractions of a retry.
    pub fn available(&mut self, now: Moment) -> f64 {
        self.update(now);
        let in_window = self.window_bound() - self.retries.len() as f64 * RETRY_COST;
        in_window.min(self.earned + self.available_allowance(now)).max(0.0)
    }

    /// Takes one retry from the budget, or returns `false` if the budget is exhausted.
    pub fn try_retry(&mut self, now: Moment) -> bool {
        if self.available(now) < RETRY_COST {
            return false;
        }
        // Earned retries are used first, since few of them can be saved.
        let from_earned = self.earned.min(RETRY_COST);
        self.earned -= from_earned;
        self.retries.push_back(Retry { at: now, from_allowance: RETRY_COST - from_earned });
        let is_within_bound = self.retries.len() as f64 * RETRY_COST <= self.window_bound();
        crate::invariant!(is_within_bound, "retry budget is never overdrawn");
        true
    }

    /// Returns the number of retries that may be in the window.
    fn window_bound(&self) -> f64 {
        self.allowance + self.share * self.requests.len() as f64
    }

    /// Returns the fraction of a retry that each request earns. With the retries saved before the window, the sum is at
    /// most the share.
    fn earned_per_request(&self) -> f64 {
        self.share * RETRY_COST / (1.0 + MAX_SAVED_SHARE)
    }

    /// Returns the part of the allowance that is not used within the window.
    fn available_allowance(&self, now: Moment) -> f64 {
        if now < self.allowance_from {
            return 0.0;
        }
        let used: f64 = self.retries.iter().map(|retry| retry.from_allowance).sum();
        (self.allowance - used).max(0.0)
    }

    /// Removes what has left the window, and earned retries beyond those that may be saved.
    fn update(&mut self, now: Moment) {
        let is_expired = |at: Moment| now.since(at) > self.window;
        while self.requests.front().is_some_and(|at| is_expired(*at)) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|retry| is_expired(retry.at)) {
            self.retries.pop_front();
        }
        let max_saved = MAX_SAVED_SHARE * self.earned_per_request() * self.requests.len() as f64;
        self.earned = self.earned.min(max_saved.max(RETRY_COST));
    }
}
