//! Refuses prompts early that would get engines too late to be useful.
//!
//! While prompts that can be in time find no engine, late prompts get only the remaining capacity. The recent grants
//! to late prompts measure that capacity. A late prompt whose predecessors in the queue need longer than its caller
//! will wait is refused, so that the caller can go elsewhere or return after the burst. This handles bursts that last
//! longer than callers wait: without it, prompts were held for 6.7 s, refused, retried at once and refused again.

use std::time::Duration;

use super::Planner;
use super::job::Id;
use super::wait_queue::{Prompt, Turn};
use crate::time::Moment;

/// Time for which prompts that could be in time must have found no engine before late ones are refused. Short bursts
/// end sooner, and late prompts are served after them. It is twice the time that decoding a long answer takes, after
/// which its engines are free again.
const PRESSED: Duration = Duration::from_secs(2);
/// Half-life of the recorded grants to late prompts; one second covers some dozens of grants.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Retry delay of a refused prompt as a share of its remaining time. Callers wait no longer than a third of it, and a
/// later retry is more likely to find the burst over.
pub(super) const COME_BACK: f64 = 0.33;

/// Prompt that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The job.
    pub id: Id,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

/// Decaying rate of prefill that was granted to late prompts.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    /// Granted engine time in milliseconds, decayed to `at`.
    ms: f64,
    at: Moment,
}

impl Pace {
    fn add(&mut self, ms: f64, now: Moment) {
        self.ms = self.faded(now) + ms;
        self.at = now;
    }

    /// Returns the granted engine time in milliseconds per second.
    fn per_s(&self, now: Moment) -> f64 {
        self.faded(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    fn faded(&self, now: Moment) -> f64 {
        self.ms * (-now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// Tracks whether demand exceeds the engines.
#[derive(Debug, Default)]
pub struct Pressure {
    /// Start of the current period in which prompts that could be in time have been waiting.
    since: Option<Moment>,
    short: Pace,
    long: Pace,
}

impl Pressure {
    /// Records whether prompts that could be in time are left without engines.
    pub fn note(&mut self, waits: bool, now: Moment) {
        self.since = if waits { self.since.or(Some(now)) } else { None };
    }

    /// Records a grant to a late prompt.
    pub fn granted_late(&mut self, prompt: &Prompt, now: Moment) {
        let pace = if prompt.short { &mut self.short } else { &mut self.long };
        pace.add(prompt.read_ms, now);
    }

    /// Returns for how long prompts that could be in time have been waiting without interruption.
    pub fn held_for(&self, now: Moment) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.since(since))
    }

    fn lasts(&self, now: Moment) -> bool {
        self.since.is_some_and(|since| now.since(since) >= PRESSED)
    }
}

impl Planner {
    /// Removes and returns the prompts that cannot be served in time to be useful.
    pub fn refuse(&mut self, now: Moment) -> Vec<Refusal> {
        if !self.policy.refuse_early {
            return Vec::new();
        }
        let mut refusals = self.refuse_rationed(now);
        if self.pressure.lasts(now) {
            refusals.extend(self.refuse_late(now));
        }
        refusals
    }

    /// Removes and returns the late prompts whose predecessors need longer than their callers will wait.
    fn refuse_late(&mut self, now: Moment) -> Vec<Refusal> {
        let (mut ahead_short, mut ahead_long) = (0.0, 0.0);
        let mut refusals = Vec::new();
        for turn in self.waiting.late_turns(now) {
            let (ahead_ms, pace) = match turn.prompt.short {
                true => (&mut ahead_short, self.pressure.short),
                false => (&mut ahead_long, self.pressure.long),
            };
            let wait_s = (*ahead_ms + turn.prompt.read_ms) / pace.per_s(now).max(f64::MIN_POSITIVE);
            if wait_s > self.useful_s(&turn, now) {
                let retry_after = turn.prompt.job.deadline.since(now).mul_f64(COME_BACK);
                refusals.push(Refusal { id: turn.id, retry_after });
            } else {
                *ahead_ms += turn.prompt.read_ms;
            }
        }
        refusals.iter().for_each(|refusal| self.waiting.remove(refusal.id));
        refusals
    }

    /// Returns for how many seconds a late prompt may still wait to be prefilled before its caller gives up.
    pub(super) fn useful_s(&self, turn: &Turn, now: Moment) -> f64 {
        turn.prompt.job.deadline.since(now).as_secs_f64() * self.policy.late_share
    }
}
