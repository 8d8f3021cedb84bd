//! Circuit breaker for one replica, driven by the outcomes of its requests.
//!
//! A failure opens the breaker, for longer the more failures occurred recently. After that time the breaker is
//! half-open and lets one trial request through, whose success closes it. The weight of past failures decays with
//! time only, not with successes, so that a replica that fails every other request or that flaps stays excluded for
//! longer each time.

use std::time::Duration;

use crate::time::Moment;

/// Open time after the first failure; a few times the delay that a lost connection causes to its caller.
const INITIAL_OPEN_TIME: Duration = Duration::from_millis(500);
/// Upper bound of the open time; a replica that recovers must receive requests again within seconds.
const MAX_OPEN_TIME: Duration = Duration::from_secs(8);
/// Half-life of the weight of a failure; a few times the shortest observed period of a flapping replica.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(5);
/// Time after which a trial request without an outcome no longer blocks other requests.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the breaker stays half-open; if no request arrives within it, the breaker closes.
const HALF_OPEN_TIME: Duration = Duration::from_secs(4);
/// Least weight of failures that opens the breaker; a single failure with share 1 exceeds it.
const MIN_OPEN_WEIGHT: f64 = 0.5;

/// Circuit breaker of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    /// Weight of past failures as of `weighed_at`.
    weight: f64,
    weighed_at: Moment,
    /// No request is admitted before this time.
    open_until: Moment,
    /// End of the half-open period, which starts after an open period or a suspicion and ends early on a success.
    half_open_until: Moment,
    /// Start time of the trial request in flight.
    trial_started: Option<Moment>,
}

impl Breaker {
    /// Records a failure; `share`, from 0 to 1, is the part of the failure that is attributed to the replica.
    pub fn record_failure(&mut self, share: f64, now: Moment) {
        self.weight = self.decayed_weight(now) + share;
        self.weighed_at = now;
        self.trial_started = None;
        if self.weight < MIN_OPEN_WEIGHT {
            return;
        }
        self.open_until = self.open_until.max(now + self.open_time());
        self.half_open_until = self.open_until + HALF_OPEN_TIME;
    }

    /// Makes the breaker half-open after a failure that the replica took part in but may not have caused, so that a
    /// trial request decides.
    pub fn require_trial(&mut self, now: Moment) {
        self.half_open_until = self.open_until.max(now) + HALF_OPEN_TIME;
    }

    /// Records a success.
    pub fn record_success(&mut self, now: Moment) {
        // A success while the breaker is open belongs to a request sent before the failures and says nothing about
        // the present state.
        if now >= self.open_until {
            self.half_open_until = now;
            self.trial_started = None;
        }
    }

    /// Records that a request is sent; in the half-open state it becomes the trial request.
    pub fn record_request(&mut self, now: Moment) {
        if self.is_half_open(now) {
            self.trial_started = Some(now);
        }
    }

    /// Returns whether a request may be sent at `now`.
    pub fn allows_request(&self, now: Moment) -> bool {
        let has_trial_in_flight = self.trial_started.is_some_and(|started| now.since(started) < TRIAL_TIMEOUT);
        now >= self.open_until && !(self.is_half_open(now) && has_trial_in_flight)
    }

    /// Returns whether the breaker is half-open, so that the next request is a trial.
    pub fn is_half_open(&self, now: Moment) -> bool {
        now < self.half_open_until
    }

    /// Returns the open time for the current weight of failures; it doubles with each failure up to `MAX_OPEN_TIME`.
    fn open_time(&self) -> Duration {
        let max_factor = MAX_OPEN_TIME.as_secs_f64() / INITIAL_OPEN_TIME.as_secs_f64();
        INITIAL_OPEN_TIME.mul_f64((self.weight - 1.0).exp2().min(max_factor))
    }

    /// Returns the decayed weight of past failures at `now`.
    fn decayed_weight(&self, now: Moment) -> f64 {
        let half_lives = now.since(self.weighed_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.weight * (-half_lives).exp2()
    }
}
