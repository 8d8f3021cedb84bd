//! Decides by forecast which waiting prompts are refused, and when their callers return.
//!
//! This answers a burst that exceeds the capacity. A prompt that cannot start before its answer is useless is refused
//! as soon as the forecast shows it, so that its caller can go elsewhere or return. A prompt that would be late is
//! refused early if its caller can be served in time when it returns: an answer in time after a return is worth more
//! than a late one, and a late one more than none. All other prompts wait.

use std::time::Duration;

use super::Planner;
use super::forecast::{Demand, Prediction};
use super::job::Job;
use super::overload::RETRY_AFTER_SHARE;
use super::promise::{Promise, PromiseCounts, PromiseId};
use super::refusal::{Forecast, Reason, Refusal, Rejection};
use super::wait_queue::Candidate;
use crate::engine::duration_from_ms;
use crate::time::Moment;

/// Bounds the waiting prompts of one forecast. Those behind them wait for the next one.
const MAX_FORECAST_PROMPTS: usize = 256;
/// Share of a caller's time within which its prompt must start. It is small enough that a refused caller has time left
/// to return.
const MAX_START_SHARE: f64 = 0.4;
/// Share of the remaining time of a returned caller within which its prompt must start. No better time can be offered
/// to it, so only the time to prefill and to answer is left.
const MAX_RETURN_START_SHARE: f64 = 0.6;
/// Largest share of the first-event target for which a prompt may have waited when its caller is told to return.
const MAX_EARLY_WAIT_SHARE: f64 = 0.25;

/// Forecast for a prompt and the times of its caller, in milliseconds from now.
#[derive(Clone, Copy, Debug)]
struct Situation {
    start_ms: f64,
    first_event_ms: f64,
    /// Time at which there is capacity that prompts still to arrive do not need.
    spare_ms: f64,
    /// Margin by which the forecast may be wrong.
    margin_ms: f64,
    /// Time since the prompt arrived.
    waited_ms: f64,
    slack_ms: f64,
    remaining_ms: f64,
    is_return: bool,
    /// Whether the planner has room for another promise to the caller.
    can_promise: bool,
}

/// Decision for one prompt.
#[derive(Clone, Copy, Debug)]
enum Verdict {
    Wait,
    Refuse { reason: Reason, retry_after_ms: f64, is_promised: bool },
}

impl Situation {
    fn verdict(&self) -> Verdict {
        // An engine that is free now is granted as soon as its state allows it.
        if self.start_ms <= 0.0 {
            return Verdict::Wait;
        }
        let share = if self.is_return { MAX_RETURN_START_SHARE } else { MAX_START_SHARE };
        if self.start_ms - self.margin_ms > latest_start_ms(share, self.waited_ms, self.remaining_ms) {
            return self.refuse(Reason::StartsTooLate, self.can_promise && self.is_useful_after_return());
        }
        let is_late = self.first_event_ms - self.margin_ms > self.slack_ms;
        if is_late
            && self.can_promise
            && !self.is_return
            && is_early(self.waited_ms, self.slack_ms)
            && self.is_in_time_after_return()
        {
            return self.refuse(Reason::ReturnInTime, true);
        }
        Verdict::Wait
    }

    fn refuse(&self, reason: Reason, is_promised: bool) -> Verdict {
        // Without a promise, the latest time is best: a later return is more likely to find capacity.
        let retry_after_ms = if is_promised { self.return_ms() } else { self.heeded_ms() };
        Verdict::Refuse { reason, retry_after_ms, is_promised }
    }

    fn target_ms(&self) -> f64 {
        self.slack_ms + self.waited_ms
    }

    /// Returns the longest retry delay that the caller heeds.
    fn heeded_ms(&self) -> f64 {
        self.remaining_ms * RETRY_AFTER_SHARE
    }

    /// Returns the time of a return that takes no capacity from prompts still to arrive.
    fn return_ms(&self) -> f64 {
        self.spare_ms.min(self.heeded_ms())
    }

    /// Returns the time from a return to the start.
    fn wait_after_return_ms(&self) -> f64 {
        self.spare_ms - self.return_ms() + self.margin_ms
    }

    fn is_in_time_after_return(&self) -> bool {
        self.wait_after_return_ms() + self.first_event_ms - self.start_ms <= self.target_ms()
    }

    fn is_useful_after_return(&self) -> bool {
        let remaining_ms = self.remaining_ms - self.return_ms();
        self.wait_after_return_ms() <= latest_start_ms(MAX_RETURN_START_SHARE, 0.0, remaining_ms)
    }
}

/// Returns whether a prompt has waited for a small part of its target only, so that its caller can still be told to
/// return.
fn is_early(waited_ms: f64, slack_ms: f64) -> bool {
    waited_ms <= (waited_ms + slack_ms) * MAX_EARLY_WAIT_SHARE
}

/// Returns the latest useful start of a prompt that has waited for `waited_ms` and must start within `share` of its
/// time, in milliseconds from now.
fn latest_start_ms(share: f64, waited_ms: f64, remaining_ms: f64) -> f64 {
    (waited_ms + remaining_ms) * share - waited_ms
}

/// Prediction and decision for one waiting prompt.
#[derive(Clone, Copy, Debug)]
struct Decision {
    candidate: Candidate,
    /// Predicted start without correction for the learned error.
    start: Moment,
    /// Whether the uncorrected start is too late for the target.
    is_late: bool,
    forecast: Forecast,
    first_event_within: Duration,
    is_return: bool,
    verdict: Verdict,
}

impl Planner {
    /// Removes and returns the prompts that are refused by forecast.
    pub(super) fn refuse_by_forecast(&mut self, now: Moment) -> Vec<Refusal> {
        if self.waiting.is_empty() || !self.forecaster.begin(now) {
            return Vec::new();
        }
        let candidates = self.waiting.list_ordered(now);
        let decisions = self.decide(&candidates, now);
        decisions.into_iter().filter_map(|decision| self.apply(&decision, now)).collect()
    }

    /// Predicts the service of the waiting prompts in their order, and decides which of them are refused.
    fn decide(&self, candidates: &[Candidate], now: Moment) -> Vec<Decision> {
        let Some(mut timeline) = self.timeline(now) else { return Vec::new() };
        let mut returns = self.promises.standing().map(|promise| self.demand_of_promise(promise, now)).peekable();
        let mut decisions = Vec::new();
        let mut ahead = 0;
        for candidate in candidates.iter().take(MAX_FORECAST_PROMPTS) {
            if self.is_exceptional(candidate, now) {
                continue;
            }
            let demand = self.demand_of(&candidate.prompt, now);
            let Some(mut prediction) = timeline.predict(&demand) else { continue };
            // A caller that returns before the prompt can start is served before it.
            while let Some(earlier) = returns.next_if(|earlier| earlier.earliest_ms < prediction.start_ms) {
                if let Some(of_return) = timeline.predict(&earlier) {
                    timeline.schedule(&earlier, &of_return);
                    ahead += 1;
                }
                let Some(next) = timeline.predict(&demand) else { break };
                prediction = next;
            }
            let decision = self.decide_one(candidate, &demand, &prediction, ahead, now);
            let place = match decision.verdict {
                Verdict::Wait => Some((demand, prediction)),
                Verdict::Refuse { is_promised: false, .. } => None,
                Verdict::Refuse { retry_after_ms, .. } => {
                    let on_return = Demand { earliest_ms: retry_after_ms, ..demand };
                    timeline.predict(&on_return).map(|prediction| (on_return, prediction))
                }
            };
            if let Some((demand, prediction)) = place {
                timeline.schedule(&demand, &prediction);
                ahead += 1;
            }
            decisions.push(decision);
        }
        decisions
    }

    fn decide_one(
        &self,
        candidate: &Candidate,
        demand: &Demand,
        prediction: &Prediction,
        ahead: usize,
        now: Moment,
    ) -> Decision {
        let waiting = self.forecaster.waiting(candidate.id);
        let start = now + duration_from_ms(prediction.start_ms);
        let is_short = candidate.prompt.is_short;
        let is_return = waiting.is_some_and(|waiting| waiting.promise.is_some());
        let waited_ms = waiting.map_or(0.0, |waiting| now.since(waiting.since).as_secs_f64() * 1e3);
        let accuracy = &self.forecaster.accuracy;
        let start_ms = accuracy.correct(is_short, prediction.start_ms);
        let situation = Situation {
            start_ms,
            first_event_ms: start_ms + prediction.first_event_ms - prediction.start_ms,
            spare_ms: accuracy.spare_start_ms(is_short, start_ms, now).max(start_ms),
            margin_ms: accuracy.margin_ms(is_short),
            waited_ms,
            slack_ms: demand.slack_ms,
            remaining_ms: demand.remaining_ms,
            is_return,
            can_promise: self.promises.has_room(&candidate.prompt.job),
        };
        Decision {
            candidate: *candidate,
            start,
            is_late: start > candidate.prompt.late_after,
            forecast: Forecast {
                start_in: duration_from_ms(situation.start_ms),
                first_event_in: duration_from_ms(situation.first_event_ms),
                ahead,
            },
            first_event_within: duration_from_ms(situation.target_ms()),
            is_return,
            verdict: situation.verdict(),
        }
    }

    /// Removes the prompt from the queue if it is refused; otherwise records its predicted start.
    fn apply(&mut self, decision: &Decision, now: Moment) -> Option<Refusal> {
        let id = decision.candidate.id;
        let Verdict::Refuse { reason, retry_after_ms, is_promised } = decision.verdict else {
            self.forecaster.record_prediction(id, decision.start, decision.is_late, now);
            return None;
        };
        let retry_after = duration_from_ms(retry_after_ms);
        let promise = if is_promised { self.promise(decision, now + retry_after, now) } else { None };
        if decision.is_return {
            self.promises.counts.broken += 1;
        }
        self.waiting.remove(id);
        self.forecaster.remove_waiting(id);
        let forecast = Some(decision.forecast);
        let rejection = Rejection { reason, retry_after, forecast, promise, is_return: decision.is_return };
        Some(Refusal { id, rejection })
    }

    /// Promises a refused caller that its prompt is served at `due`.
    fn promise(&mut self, decision: &Decision, due: Moment, now: Moment) -> Option<PromiseId> {
        let Candidate { id, prompt, .. } = decision.candidate;
        let promise = Promise::new(PromiseId::new(self.salt, id, now), prompt.job, decision.first_event_within, due);
        if !self.promises.add(promise, now) {
            return None;
        }
        self.promises.counts.made += 1;
        Some(promise.id)
    }

    /// Returns whether the engines of a prompt are chosen by rules that a forecast does not know.
    fn is_exceptional(&self, candidate: &Candidate, now: Moment) -> bool {
        self.suspected_fingerprint(&candidate.prompt.job).is_some()
            || self.backoffs.get(&candidate.id.entry).is_some_and(|backoffs| backoffs.active(now).next().is_some())
    }

    /// Records a promise that another planner made to a caller of `job`.
    pub fn add_promise(&mut self, promise: Promise, now: Moment) {
        if self.features.forecasts {
            self.promises.add(promise, now);
        }
    }

    /// Records the promise in a rejection that another planner sent to the caller of `job`.
    pub fn record_rejection(&mut self, job: &Job, rejection: &Rejection, now: Moment) {
        let Some(id) = rejection.promise else { return };
        let first_event_within = job.first_event_target.since(now);
        self.add_promise(Promise::new(id, *job, first_event_within, now + rejection.retry_after), now);
    }

    /// Returns the promises whose callers have not returned and are still expected.
    pub fn promises(&mut self, now: Moment) -> Vec<Promise> {
        self.promises.drop_expired(now);
        self.promises.standing().copied().collect()
    }

    /// Returns the counts of promises by outcome since the last call.
    pub fn take_promise_counts(&mut self) -> PromiseCounts {
        std::mem::take(&mut self.promises.counts)
    }

    /// Returns whether the planner refuses each prompt that waits for too long, so that entries need not limit the
    /// wait.
    pub fn has_forecasts(&self) -> bool {
        self.features.forecasts && self.policy.refuse_early
    }

    /// Returns the margin by which forecasts for short or long prompts may currently be wrong.
    pub fn forecast_margin(&self, is_short: bool) -> Duration {
        duration_from_ms(self.forecaster.accuracy.margin_ms(is_short))
    }
}
