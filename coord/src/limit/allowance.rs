//! How much of a replica's limit may still be used, by whoever decides for some or all entries.

use std::time::Duration;

use crate::engine::millis;
use crate::time::Moment;

/// What is not used is saved up for this long, in seconds, and for one request at least: a longer pause must not be
/// followed by a burst that the replica did not ask for.
const SAVED_S: f64 = 0.25;
/// Requests a second that go to a replica which says that it takes none, or hardly any: one that gets nothing cannot
/// say that its need is over. One in ten seconds is less than a hundredth of what the smallest replicas seen serve.
const LEAST_RATE: f64 = 0.1;
/// Requests that one send counts.
const SEND: f64 = 1.0;

/// An allowance of so many requests a second.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Requests a second.
    rate: f64,
    /// Requests that might be sent at `at`; below zero if some were promised for later.
    credit: f64,
    at: Moment,
}

impl Allowance {
    /// An allowance for a `share` of a limit of `rate` requests a second.
    ///
    /// `start`, from 0 to 1, is the part of the first request that is there already. Those who know nothing of each other
    /// draw it at random: all of them together then begin no faster than the limit, however many they are.
    pub fn new(rate: f64, share: f64, start: f64, now: Moment) -> Self {
        Self { rate: rate.max(LEAST_RATE) * share, credit: start * SEND, at: now }
    }

    /// Changes the limit, or the share of it; what was used stays used.
    pub fn set(&mut self, rate: f64, share: f64, now: Moment) {
        self.credit = self.credit(now);
        self.at = now;
        self.rate = rate.max(LEAST_RATE) * share;
    }

    /// Begins anew, with the part `start` of the first request: what others have sent of late is not known.
    pub fn restart(&mut self, start: f64, now: Moment) {
        self.credit = start * SEND;
        self.at = now;
    }

    /// Time from one request to the next.
    pub fn pause(&self) -> Duration {
        millis(SEND / self.rate * 1e3)
    }

    /// Requests that may be sent now.
    pub fn credit(&self, now: Moment) -> f64 {
        let most = (self.rate * SAVED_S).max(SEND);
        (self.credit + self.rate * now.since(self.at).as_secs_f64()).min(most)
    }

    /// Whether a request may be sent now.
    pub fn admits(&self, now: Moment) -> bool {
        self.wait(now).is_zero()
    }

    /// Time until the next request may be sent.
    pub fn wait(&self, now: Moment) -> Duration {
        let missing = SEND - self.credit(now);
        // A moment has whole microseconds: less than one is nothing.
        if missing <= self.rate * 1e-6 { Duration::ZERO } else { millis(missing / self.rate * 1e3) }
    }

    /// Takes the next request out, which is sent now or once it may be.
    pub fn take(&mut self, now: Moment) {
        self.credit = self.credit(now) - SEND;
        self.at = now;
    }
}
