//! Prompts for which the limits that engines name leave no room: their callers are told at once.
//!
//! Where every engine names a limit, it is known when which of them takes the next request. A prompt whose turn comes too
//! late for its caller by that is refused as soon as that is known, in place of being held; who comes next in time
//! gets the turn. Eight engines that take 2 prompts a second each and 30 that come: 16 a second are served in time and
//! the others are told within some milliseconds, with the time after which there would be room
//! (`platform_limits::where_all_engines_...`).

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::Planner;
use super::pressure::{COME_BACK, Refusal};
use super::waiting::Turn;
use crate::limit::Allowance;
use crate::time::Moment;

/// The times until engines take one more request each, the soonest first.
///
/// Not what they take a second divided by what waits: eight that were all used up at the same moment take nothing for a
/// while and then eight at once.
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

    /// Takes the next `sends` out; returns the time until the last of them.
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
    /// Takes out those for which the limits of all engines leave no room in time.
    pub(super) fn refuse_rationed(&mut self, now: Moment) -> Vec<Refusal> {
        let limits: Option<Vec<&Allowance>> = self.fleet.engines().iter().map(|engine| engine.limit.as_ref()).collect();
        let Some(limits) = limits.filter(|limits| !limits.is_empty()) else { return Vec::new() };
        let turns = self.waiting.turns(now);
        let mut slots = Slots::new(limits, now);
        // When the next that nobody has taken yet would be.
        let mut wait = slots.take(1);
        let mut refusals = Vec::new();
        for (position, turn) in turns.iter().enumerate() {
            let further = self.fewest_sends(turn, now) - 1;
            // Whoever is next gets the next slot: late, if nobody in time is there then.
            if position == 0 || wait <= self.usable(turn, now) {
                wait = slots.take(further + 1);
            } else {
                let most = turn.prompt.job.deadline.since(now).mul_f64(COME_BACK);
                // One after the other, so that they do not all come back at the same moment.
                refusals.push(Refusal { id: turn.id, retry_after: wait.min(most) });
                wait = slots.take(1);
            }
        }
        refusals.iter().for_each(|refusal| self.waiting.remove(refusal.id));
        refusals
    }

    /// Engines that a prompt asks something of, if it is to be in time.
    fn fewest_sends(&self, turn: &Turn, now: Moment) -> usize {
        if turn.prompt.short {
            return 1;
        }
        let slack_ms = turn.prompt.job.aim.since(now).as_secs_f64() * 1e3;
        let most = self.policy.most_parts.min(self.fleet.engines().len()).max(1);
        ((turn.prompt.read_ms / slack_ms.max(1.0)).ceil() as usize).clamp(1, most)
    }

    /// For how much longer a prompt may wait and still be in time. A long one that cannot be is still of use; a short one
    /// waits in vain then: as long as more comes than the limits allow, there is one in time for every slot.
    fn usable(&self, turn: &Turn, now: Moment) -> Duration {
        match (turn.late, turn.prompt.short) {
            (false, _) => turn.prompt.late_after.since(now),
            (true, false) => Duration::from_secs_f64(self.useful_s(turn, now)),
            (true, true) => Duration::ZERO,
        }
    }
}
