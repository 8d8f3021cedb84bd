//! Refuses prompts early that would get engines too late to be useful.
//!
//! While prompts that can be in time find no engine, late prompts get only the remaining capacity. The recent grants
//! to late prompts measure that capacity. A late prompt whose predecessors in the queue need longer than its caller
//! will wait is refused, so that the caller can go elsewhere or return after the burst. This handles bursts that last
//! longer than callers wait: without it, prompts were held for 6.7 s, refused, retried at once and refused again.
//! With [`Features::forecasts`](super::Features::forecasts), forecasts decide instead ([`super::admission`]).

use std::time::Duration;

use super::Planner;
use super::refusal::{Reason, Refusal, Rejection};
use super::wait_queue::{Candidate, Prompt};
use crate::time::Moment;

/// Time for which prompts that could be in time must have found no engine before late ones are refused. Short bursts
/// end sooner, and late prompts are served after them. It is twice the time that decoding a long answer takes, after
/// which its engines are free again.
const MIN_OVERLOAD_DURATION: Duration = Duration::from_secs(2);
/// Half-life of the recorded grants to late prompts; one second covers some dozens of grants.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Retry delay of a refused prompt as a share of its remaining time. Callers wait no longer than a third of it, and a
/// later retry is more likely to find the burst over.
pub(super) const RETRY_AFTER_SHARE: f64 = 0.33;

/// Decaying rate of prefill that was granted to late prompts.
#[derive(Clone, Copy, Debug, Default)]
struct GrantRate {
    /// Granted engine time in milliseconds, decayed to `updated_at`.
    ms: f64,
    updated_at: Moment,
}

impl GrantRate {
    fn add(&mut self, ms: f64, now: Moment) {
        self.ms = self.decayed_ms(now) + ms;
        self.updated_at = now;
    }

    /// Returns the granted engine time in milliseconds per second.
    fn ms_per_s(&self, now: Moment) -> f64 {
        self.decayed_ms(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    fn decayed_ms(&self, now: Moment) -> f64 {
        self.ms * (-now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// Tracks whether prompts that could be in time find no engines.
#[derive(Debug, Default)]
pub struct Overload {
    /// Start of the current period in which prompts that could be in time have been waiting.
    started_at: Option<Moment>,
    short: GrantRate,
    long: GrantRate,
}

impl Overload {
    /// Records whether prompts that could be in time are left without engines.
    pub fn record(&mut self, has_timely_waiting: bool, now: Moment) {
        self.started_at = if has_timely_waiting { self.started_at.or(Some(now)) } else { None };
    }

    pub fn record_late_grant(&mut self, prompt: &Prompt, now: Moment) {
        let rate = if prompt.is_short { &mut self.short } else { &mut self.long };
        rate.add(prompt.prefill_ms, now);
    }

    /// Returns for how long prompts that could be in time have been waiting without interruption.
    pub fn duration(&self, now: Moment) -> Duration {
        self.started_at.map_or(Duration::ZERO, |started_at| now.since(started_at))
    }

    /// Returns whether prompts that could be in time found no engines at the last pump.
    pub fn has_shortage(&self) -> bool {
        self.started_at.is_some()
    }

    fn is_sustained(&self, now: Moment) -> bool {
        self.started_at.is_some_and(|started_at| now.since(started_at) >= MIN_OVERLOAD_DURATION)
    }
}

impl Planner {
    /// Removes and returns the prompts that cannot be served in time to be useful.
    pub fn refuse(&mut self, now: Moment) -> Vec<Refusal> {
        if !self.policy.refuse_early {
            return Vec::new();
        }
        let mut refusals = self.refuse_rate_limited(now);
        if self.features.forecasts {
            refusals.extend(self.refuse_by_forecast(now));
        } else if self.overload.is_sustained(now) {
            refusals.extend(self.refuse_late(now));
        }
        refusals
    }

    /// Removes and returns the late prompts whose predecessors need longer than their callers will wait.
    fn refuse_late(&mut self, now: Moment) -> Vec<Refusal> {
        let (mut ahead_short_ms, mut ahead_long_ms) = (0.0, 0.0);
        let mut refusals = Vec::new();
        for candidate in self.waiting.list_late(now) {
            let (ahead_ms, rate) = match candidate.prompt.is_short {
                true => (&mut ahead_short_ms, self.overload.short),
                false => (&mut ahead_long_ms, self.overload.long),
            };
            let wait_s = (*ahead_ms + candidate.prompt.prefill_ms) / rate.ms_per_s(now).max(f64::MIN_POSITIVE);
            if wait_s > self.max_wait_s(&candidate, now) {
                let retry_after = candidate.prompt.job.deadline.since(now).mul_f64(RETRY_AFTER_SHARE);
                refusals.push(Refusal { id: candidate.id, rejection: Rejection::new(Reason::Overload, retry_after) });
            } else {
                *ahead_ms += candidate.prompt.prefill_ms;
            }
        }
        refusals.iter().for_each(|refusal| self.waiting.remove(refusal.id));
        refusals
    }

    /// Returns for how many seconds a late prompt may still wait to be prefilled before its caller gives up.
    pub(super) fn max_wait_s(&self, candidate: &Candidate, now: Moment) -> f64 {
        candidate.prompt.job.deadline.since(now).as_secs_f64() * self.policy.late_share
    }
}
