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
use super::overload::RETRY_AFTER_SHARE;
use super::refusal::{Reason, Refusal, Rejection};
use super::wait_queue::Candidate;
use crate::limit::TokenBucket;
use crate::time::Moment;

/// Times at which the rate limits admit the next requests, earliest first.
///
/// A simple average rate would not do: eight engines that were exhausted at the same moment admit nothing for a while
/// and then eight requests at once.
struct SendSlots<'a> {
    limits: Vec<&'a TokenBucket>,
    next_sends: BinaryHeap<Reverse<(Duration, usize)>>,
}

impl<'a> SendSlots<'a> {
    fn new(limits: Vec<&'a TokenBucket>, now: Moment) -> Self {
        let sends = limits.iter().enumerate().map(|(index, limit)| Reverse((limit.time_until_next(now), index)));
        let next_sends = sends.collect();
        Self { limits, next_sends }
    }

    /// Consumes the next `sends` requests; returns the time until the last of them.
    fn consume(&mut self, sends: usize) -> Duration {
        let mut last = Duration::ZERO;
        for _ in 0..sends {
            let Some(Reverse((wait, index))) = self.next_sends.pop() else { return Duration::MAX };
            last = wait;
            self.next_sends.push(Reverse((wait + self.limits[index].request_interval(), index)));
        }
        last
    }
}

impl Planner {
    /// Removes and returns the prompts for which the rate limits of all engines leave no capacity in time.
    pub(super) fn refuse_rate_limited(&mut self, now: Moment) -> Vec<Refusal> {
        let limits: Option<Vec<&TokenBucket>> =
            self.fleet.engines().iter().map(|engine| engine.limit.as_ref()).collect();
        let Some(limits) = limits.filter(|limits| !limits.is_empty()) else { return Vec::new() };
        let candidates = self.waiting.list_ordered(now);
        let mut send_slots = SendSlots::new(limits, now);
        // Time until the first send that no earlier prompt has consumed.
        let mut next_wait = send_slots.consume(1);
        let mut refusals = Vec::new();
        for (position, candidate) in candidates.iter().enumerate() {
            let extra_sends = self.min_sends(candidate, now) - 1;
            // The first prompt always gets the next send, even if late, because no prompt in time is there to use it.
            if position == 0 || next_wait <= self.max_wait(candidate, now) {
                next_wait = send_slots.consume(extra_sends + 1);
            } else {
                let max_retry_after = candidate.prompt.job.deadline.since(now).mul_f64(RETRY_AFTER_SHARE);
                // Each refused prompt gets a later time, so that the retries do not coincide.
                let rejection = Rejection::new(Reason::RateLimited, next_wait.min(max_retry_after));
                refusals.push(Refusal { id: candidate.id, rejection });
                next_wait = send_slots.consume(1);
            }
        }
        for Refusal { id, rejection } in &mut refusals {
            self.waiting.remove(*id);
            let waiting = self.forecaster.remove_waiting(*id);
            rejection.is_return = waiting.is_some_and(|waiting| waiting.promise.is_some());
            self.promises.counts.broken += u64::from(rejection.is_return);
        }
        refusals
    }

    /// Returns the number of engines that a prompt must be sent to so that its first event is in time.
    fn min_sends(&self, candidate: &Candidate, now: Moment) -> usize {
        if candidate.prompt.is_short {
            return 1;
        }
        let slack_ms = candidate.prompt.job.first_event_target.since(now).as_secs_f64() * 1e3;
        let max_sends = self.policy.max_parts.min(self.fleet.engines().len()).max(1);
        ((candidate.prompt.prefill_ms / slack_ms.max(1.0)).ceil() as usize).clamp(1, max_sends)
    }

    /// Returns for how long a prompt may still wait. A late long prompt is useful until its caller gives up. A late
    /// short prompt is refused, because under sustained overload another short prompt in time can use the send.
    fn max_wait(&self, candidate: &Candidate, now: Moment) -> Duration {
        match (candidate.is_late, candidate.prompt.is_short) {
            (false, _) => candidate.prompt.late_after.since(now),
            (true, false) => Duration::from_secs_f64(self.max_wait_s(candidate, now)),
            (true, true) => Duration::ZERO,
        }
    }
}
