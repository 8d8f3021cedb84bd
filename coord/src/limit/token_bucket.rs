//! Token bucket for the limit of one replica, kept by the leader of some or all entries.

use std::time::Duration;

use crate::engine::duration_from_ms;
use crate::time::Moment;

/// Time in seconds for which unused capacity accumulates, at least enough for one request. A longer time would follow
/// an idle period with a burst that the replica did not allow.
const CREDIT_WINDOW_S: f64 = 0.25;
/// Minimum rate in requests per second for a replica that accepts almost none: a replica that receives nothing could
/// never announce that its limit is lifted. One request in ten seconds is less than a hundredth of the load of the
/// smallest replicas observed.
const MIN_RATE: f64 = 0.1;
/// Credit that one request costs.
const REQUEST_COST: f64 = 1.0;

/// Token bucket that fills at a share of a replica's limit.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Fill rate in requests per second.
    rate: f64,
    /// Requests that could be sent at `updated_at`; negative if requests are already promised for later.
    credit: f64,
    updated_at: Moment,
}

impl TokenBucket {
    /// Creates a bucket for a `share` of a limit of `rate` requests per second.
    ///
    /// `initial_fraction`, from 0 to 1, is the initial credit in requests. Entries that cannot communicate draw it at
    /// random, so that together they start no faster than the limit, however many they are.
    pub fn new(rate: f64, share: f64, initial_fraction: f64, now: Moment) -> Self {
        Self { rate: rate.max(MIN_RATE) * share, credit: initial_fraction * REQUEST_COST, updated_at: now }
    }

    /// Changes the limit or the share; used capacity stays used.
    pub fn set(&mut self, rate: f64, share: f64, now: Moment) {
        self.credit = self.credit(now);
        self.updated_at = now;
        self.rate = rate.max(MIN_RATE) * share;
    }

    /// Resets the credit to `initial_fraction` of one request, for a leader that has no record of what others sent
    /// recently.
    pub fn reset(&mut self, initial_fraction: f64, now: Moment) {
        self.credit = initial_fraction * REQUEST_COST;
        self.updated_at = now;
    }

    /// Returns the time between two requests at the current rate.
    pub fn request_interval(&self) -> Duration {
        duration_from_ms(REQUEST_COST / self.rate * 1e3)
    }

    /// Returns the number of requests that may be sent at `now`; negative if requests are already promised for later.
    pub fn credit(&self, now: Moment) -> f64 {
        let max_credit = (self.rate * CREDIT_WINDOW_S).max(REQUEST_COST);
        (self.credit + self.rate * now.since(self.updated_at).as_secs_f64()).min(max_credit)
    }

    /// Returns whether a request may be sent at `now`.
    pub fn allows_request(&self, now: Moment) -> bool {
        self.time_until_next(now).is_zero()
    }

    /// Returns the time until the next request may be sent.
    pub fn time_until_next(&self, now: Moment) -> Duration {
        let deficit = REQUEST_COST - self.credit(now);
        // Moments have a resolution of one microsecond, so a smaller deficit counts as zero.
        if deficit <= self.rate * 1e-6 { Duration::ZERO } else { duration_from_ms(deficit / self.rate * 1e3) }
    }

    /// Takes one request from the bucket, to be sent now or as soon as the credit allows.
    pub fn take(&mut self, now: Moment) {
        self.credit = self.credit(now) - REQUEST_COST;
        self.updated_at = now;
    }
}
