//! Prompts that will not get engines in time to be of use: their callers are told at once.
//!
//! While prompts that can be in time find no engines, those that are late already get what is left over. How much that is
//! shows in what late prompts were granted of late; one that has more before it than its caller will wait for is refused,
//! and its caller can go elsewhere or come back when the burst is over. This answers bursts that last longer than callers
//! wait: without it prompts were held for 6.7 s, refused, came back at once and were refused again.

use std::time::Duration;

use super::Planner;
use super::job::Id;
use super::waiting::{Prompt, Turn};
use crate::time::Moment;

/// For how long prompts that could be in time must have found no engines: a short burst passes, and the late are served
/// after it. Twice the time in which long answers were seen to be written, after which their engines are free.
const PRESSED: Duration = Duration::from_secs(2);
/// What was granted to late prompts counts half after this time: a second holds some dozens of grants.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Part of the time that it has left after which a refused caller should come back: callers wait no longer than a third,
/// and the later it comes back, the likelier the burst is over.
pub(super) const COME_BACK: f64 = 0.33;

/// A prompt that gets no engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The job.
    pub id: Id,
    /// When its caller should come back.
    pub retry_after: Duration,
}

/// How much reading late prompts of a kind were granted of late.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    /// Milliseconds of engine time, faded.
    ms: f64,
    at: Moment,
}

impl Pace {
    fn add(&mut self, ms: f64, now: Moment) {
        self.ms = self.faded(now) + ms;
        self.at = now;
    }

    /// Milliseconds of engine time a second.
    fn per_s(&self, now: Moment) -> f64 {
        self.faded(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    fn faded(&self, now: Moment) -> f64 {
        self.ms * (-now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// Whether there is more to do than engines for it.
#[derive(Debug, Default)]
pub struct Pressure {
    /// Since when prompts that could be in time have waited without a break.
    since: Option<Moment>,
    short: Pace,
    long: Pace,
}

impl Pressure {
    /// Notes whether prompts that could be in time are left without engines.
    pub fn note(&mut self, waits: bool, now: Moment) {
        self.since = if waits { self.since.or(Some(now)) } else { None };
    }

    /// Notes that a late prompt got its engines.
    pub fn granted_late(&mut self, prompt: &Prompt, now: Moment) {
        let pace = if prompt.short { &mut self.short } else { &mut self.long };
        pace.add(prompt.read_ms, now);
    }

    /// For how long prompts that could be in time have found no engines without a break.
    pub fn held_for(&self, now: Moment) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.since(since))
    }

    fn lasts(&self, now: Moment) -> bool {
        self.since.is_some_and(|since| now.since(since) >= PRESSED)
    }
}

impl Planner {
    /// Takes out those that wait in vain; their callers are to be told.
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

    /// Takes out those that are late and have more before them than their callers will wait for.
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

    /// For how many seconds more a prompt may wait and still be read before its caller gives up.
    pub(super) fn useful_s(&self, turn: &Turn, now: Moment) -> f64 {
        turn.prompt.job.deadline.since(now).as_secs_f64() * self.policy.late_share
    }
}
