//! A circuit breaker for one replica, fed by what its requests come to.
//!
//! A failure opens it for a while, and the more failures there were of late the longer. When that
//! time is over one request is let through as a trial; its success closes the breaker again. Past
//! failures fade slowly, whatever succeeds in between, so a replica that fails every other request or
//! goes down and up by turns is left alone for longer each time.

use std::time::Duration;

use crate::time::Moment;

/// For how long the first failure opens it: a few times what a lost connection costs its caller.
const FIRST_OPEN: Duration = Duration::from_millis(500);
/// Longest time for which it is open: replicas that come back are wanted again within seconds.
const LONGEST_OPEN: Duration = Duration::from_secs(8);
/// A failure weighs half after this time: the shortest turn of a flapping replica seen, a few times over.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// A trial without an outcome does not keep others away for longer than this.
const TRIAL_PATIENCE: Duration = Duration::from_secs(2);
/// For how long it waits for a trial; where nobody comes to try it, it is as good as any.
const TRIAL_SPAN: Duration = Duration::from_secs(4);
/// Failures must weigh so much to open it; one report in full does.
const LEAST_WEIGHT: f64 = 0.5;

/// A circuit breaker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    /// What failures weighed at `weighed_at`.
    weight: f64,
    weighed_at: Moment,
    /// It lets nothing through before.
    open_until: Moment,
    /// It was open, or is suspected, and no request has succeeded since; over at this moment.
    on_trial_until: Moment,
    /// When the trial under way began.
    trial: Option<Moment>,
}

impl Breaker {
    /// Notes a failure; `share` in 0..=1 tells how far it is the replica's fault.
    pub fn failed(&mut self, share: f64, now: Moment) {
        self.weight = self.weight(now) + share;
        self.weighed_at = now;
        self.trial = None;
        if self.weight < LEAST_WEIGHT {
            return;
        }
        self.open_until = self.open_until.max(now + self.open_for());
        self.on_trial_until = self.open_until + TRIAL_SPAN;
    }

    /// Notes that something it took part in went badly, maybe not by its fault: a trial shall tell.
    pub fn suspect(&mut self, now: Moment) {
        self.on_trial_until = self.open_until.max(now) + TRIAL_SPAN;
    }

    /// Notes a success.
    pub fn succeeded(&mut self, now: Moment) {
        // One that was sent before the failures says nothing of the replica since.
        if now >= self.open_until {
            self.on_trial_until = now;
            self.trial = None;
        }
    }

    /// Notes that a request is sent.
    pub fn begin(&mut self, now: Moment) {
        if self.is_on_trial(now) {
            self.trial = Some(now);
        }
    }

    /// Whether a request may be sent.
    pub fn admits(&self, now: Moment) -> bool {
        let busy = self.trial.is_some_and(|since| now.since(since) < TRIAL_PATIENCE);
        now >= self.open_until && !(self.is_on_trial(now) && busy)
    }

    /// Whether the next request is a trial.
    pub fn is_on_trial(&self, now: Moment) -> bool {
        now < self.on_trial_until
    }

    /// For how long a failure opens it, by what it weighs with those before it: twice as long for each one more.
    fn open_for(&self) -> Duration {
        let most = LONGEST_OPEN.as_secs_f64() / FIRST_OPEN.as_secs_f64();
        FIRST_OPEN.mul_f64((self.weight - 1.0).exp2().min(most))
    }

    /// What past failures weigh now.
    fn weight(&self, now: Moment) -> f64 {
        let half_lives = now.since(self.weighed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.weight * (-half_lives).exp2()
    }
}
