//! Rate limits per workspace, split over all entries.

use std::time::Duration;

use crate::time::Moment;

/// Token bucket that holds at most the amount of one second, and at least 1.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    level: f64,
    filled_at: Moment,
}

impl Bucket {
    /// Creates a full bucket that fills at `rate` per second.
    pub fn new(rate: f64, now: Moment) -> Self {
        Self { rate, level: rate.max(1.0), filled_at: now }
    }

    /// Changes the fill rate from `now` on.
    pub fn set_rate(&mut self, rate: f64, now: Moment) {
        self.fill(now);
        self.rate = rate;
        self.level = self.level.min(rate.max(1.0));
    }

    /// Takes `amount` from the bucket, or returns the time to wait before trying again.
    ///
    /// An amount above the capacity is taken from a full bucket and leaves the level negative.
    pub fn try_take(&mut self, amount: f64, now: Moment) -> Result<(), Duration> {
        self.fill(now);
        let needed = amount.min(self.rate.max(1.0));
        if self.level + 1e-9 >= needed {
            self.level -= amount;
            return Ok(());
        }
        let wait = (needed - self.level) / self.rate.max(1e-3);
        Err(Duration::from_secs_f64(wait.min(3_600.0)))
    }

    /// Returns the fill rate per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    fn fill(&mut self, now: Moment) {
        let gained = now.since(self.filled_at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.rate.max(1.0));
        self.filled_at = now;
    }
}

/// Splits the rate of a workspace by demand: each entry gets its demand, or a proportional part if the total exceeds
/// the rate, plus an equal part of any surplus.
///
/// `demands` are the request rates that the entries observed; the result has the same order.
pub fn split_rate(rate: f64, demands: &[f64]) -> Vec<f64> {
    let total: f64 = demands.iter().sum();
    if demands.is_empty() {
        return Vec::new();
    }
    let surplus_each = (rate - total).max(0.0) / demands.len() as f64;
    let scale = if total > rate { rate / total } else { 1.0 };
    demands.iter().map(|demand| demand * scale + surplus_each).collect()
}
