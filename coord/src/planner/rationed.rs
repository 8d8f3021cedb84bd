//! Refuses prompts at once for which the rate limits of the engines leave no capacity in time.
//!
//! If every engine announces a rate limit, the time of each future send is known. A prompt whose send would come too
//! late for its caller is refused at once instead of being held, and the send goes to the next prompt that can use
//! it. With eight engines that accept 2 prompts per second each and 30 prompts per second arriving, 16 per second are
//! served in time and the others are refused within milliseconds, with the time at which there will be capacity
//! (`platform_limits::where_all_engines_...`).

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::Planner;
use super::overload::{COME_BACK, Refusal};
use super::wait_queue::Turn;
use crate::limit::Allowance;
use crate::time::Moment;

/// Times at which the rate limits admit the next requests, earliest first.
///
/// A simple average rate would not do: eight engines that were exhausted at the same moment admit nothing for a while
/// and then eight requests at once.
struct Slots<'a> {
    limits: Vec<&'a Allowance>,
    next: BinaryHeap<Reverse<(Duration, usize)>>,
}

impl<'a> Slots<'a> {
    fn new(limits: Vec<&'a Allowance>, now: Moment) -> Self {
        let waits = limits.iter().enumerate().map(|(index, limit)| Reverse((limit.wait(now), index)));
        let next = waits.collect();
        Self { limits, next }
    }

    /// Consumes the next `sends` requests; returns the time until the last of them.
    fn take(&mut self, sends: usize) -> Duration {
        let mut last = Duration::ZERO;
        for _ in 0..sends {
            let Some(Reverse((wait, index))) = self.next.pop() else { return Duration::MAX };
            last = wait;
            self.next.push(Reverse((wait + self.limits[index].pause(), index)));
        }
        last
    }
}

impl Planner {
    /// Removes and returns the prompts for which the rate limits of all engines leave no capacity in time.
    pub(super) fn refuse_rationed(&mut self, now: Moment) -> Vec<Refusal> {
        let limits: Option<Vec<&Allowance>> = self.fleet.engines().iter().map(|engine| engine.limit.as_ref()).collect();
        let Some(limits) = limits.filter(|limits| !limits.is_empty()) else { return Vec::new() };
        let turns = self.waiting.turns(now);
        let mut slots = Slots::new(limits, now);
        // Time until the first send that no earlier prompt has consumed.
        let mut wait = slots.take(1);
        let mut refusals = Vec::new();
        for (position, turn) in turns.iter().enumerate() {
            let further = self.fewest_sends(turn, now) - 1;
            // The first prompt always gets the next send, even if late, because no prompt in time is there to use it.
            if position == 0 || wait <= self.usable(turn, now) {
                wait = slots.take(further + 1);
            } else {
                let most = turn.prompt.job.deadline.since(now).mul_f64(COME_BACK);
                // Each refused prompt gets a later time, so that the retries do not coincide.
                refusals.push(Refusal { id: turn.id, retry_after: wait.min(most) });
                wait = slots.take(1);
            }
        }
        refusals.iter().for_each(|refusal| self.waiting.remove(refusal.id));
        refusals
    }

    /// Returns the number of engines that a prompt must be sent to so that its first event is in time.
    fn fewest_sends(&self, turn: &Turn, now: Moment) -> usize {
        if turn.prompt.short {
            return 1;
        }
        let slack_ms = turn.prompt.job.aim.since(now).as_secs_f64() * 1e3;
        let most = self.policy.most_parts.min(self.fleet.engines().len()).max(1);
        ((turn.prompt.read_ms / slack_ms.max(1.0)).ceil() as usize).clamp(1, most)
    }

    /// Returns for how long a prompt may still wait. A late long prompt is useful until its caller gives up. A late
    /// short prompt is refused, because under sustained overload another short prompt in time can use the send.
    fn usable(&self, turn: &Turn, now: Moment) -> Duration {
        match (turn.late, turn.prompt.short) {
            (false, _) => turn.prompt.late_after.since(now),
            (true, false) => Duration::from_secs_f64(self.useful_s(turn, now)),
            (true, true) => Duration::ZERO,
        }
    }
}
