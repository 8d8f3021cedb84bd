//! Forecasts when waiting prompts will start.
//!
//! This answers a load that exceeds the capacity for longer than callers wait. A forecast schedules the waiting
//! prompts, in the order in which they are served, on the capacity that becomes free: pending prefill ends at known
//! times, and running answers end after a number of passes that follows from their sizes. The forecast learns how far
//! it is from the actual starts ([`Accuracy`]).

mod accuracy;
mod answers;
mod timeline;

use std::collections::BTreeMap;
use std::time::Duration;

use self::accuracy::Accuracy;
use self::answers::Answers;
pub(super) use self::timeline::{Demand, Prediction};
use self::timeline::{Occupant, Outlook, Timeline};
use super::Planner;
use super::engine::Engine;
use super::job::{Id, Job};
use super::promise::{Promise, PromiseId};
use super::snapshot::EngineState;
use super::wait_queue::Prompt;
use crate::engine::Profile;
use crate::time::Moment;

/// Minimum time between two forecasts. A refusal that is this much later costs its caller nothing, and a forecast at
/// each of several hundred events per second would take a considerable part of a core.
const FORECAST_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time after which the drift of a predicted start is recorded. Within less time, starts move in steps of one
/// pass.
const DRIFT_INTERVAL: Duration = Duration::from_millis(100);

/// Observations of a waiting prompt since its submission.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingPrompt {
    /// Time at which the planner first saw the prompt.
    pub since: Moment,
    /// Promise by which its caller returned.
    pub promise: Option<PromiseId>,
    is_short: bool,
    /// First predicted start.
    first_start: Option<Moment>,
    /// Time of the last recorded prediction, and the start that it predicted.
    last: Option<(Moment, Moment)>,
}

/// State that forecasts need in addition to the queue and the engines.
#[derive(Debug, Default)]
pub(super) struct Forecaster {
    pub accuracy: Accuracy,
    answers: Answers,
    waiting: BTreeMap<Id, WaitingPrompt>,
    /// Prompts that were submitted since the last call of [`Planner::admit_arrivals`].
    arrivals: Vec<Id>,
    made_at: Moment,
}

impl Forecaster {
    /// Returns whether it is time for another forecast, and starts the interval until the next one.
    pub fn begin(&mut self, now: Moment) -> bool {
        let is_due = now.since(self.made_at) >= FORECAST_INTERVAL;
        if is_due {
            self.made_at = now;
        }
        is_due
    }

    pub fn record_submission(&mut self, id: Id) {
        self.arrivals.push(id);
    }

    pub fn waiting(&self, id: Id) -> Option<&WaitingPrompt> {
        self.waiting.get(&id)
    }

    /// Forgets a waiting prompt.
    pub fn remove_waiting(&mut self, id: Id) -> Option<WaitingPrompt> {
        self.waiting.remove(&id)
    }

    /// Records a grant; returns the promise by which the caller had returned.
    pub fn record_grant(&mut self, id: Id, job: &Job, now: Moment) -> Option<PromiseId> {
        self.answers.insert(id, job.max_output_tokens);
        let waiting = self.waiting.remove(&id)?;
        if let Some(predicted) = waiting.first_start {
            self.accuracy.record_error(waiting.is_short, signed_ms(now, predicted));
        }
        waiting.promise
    }

    /// Records the first event of an answer on an engine.
    pub fn record_first_event(&mut self, id: Id, decoder: Option<&Engine>, now: Moment) {
        let decode_ms = |tokens| decoder.map_or(0.0, |engine| decode_ms(engine.profile(), engine.pass_ms(), tokens));
        self.answers.record_first_event(id, decode_ms, now);
    }

    /// Records the end of an answer.
    pub fn record_end(&mut self, id: Id, now: Moment) {
        self.answers.remove(id, now);
    }

    /// Records the predicted start of a waiting prompt; `is_late` tells that it is too late for its target.
    pub fn record_prediction(&mut self, id: Id, start: Moment, is_late: bool, now: Moment) {
        let Some(waiting) = self.waiting.get_mut(&id) else { return };
        waiting.first_start.get_or_insert(start);
        let (at, previous) = *waiting.last.get_or_insert((now, start));
        if now.since(at) < DRIFT_INTERVAL {
            return;
        }
        waiting.last = Some((now, start));
        if is_late {
            let observed_ms = now.since(at).as_secs_f64() * 1e3;
            self.accuracy.record_drift(waiting.is_short, signed_ms(start, previous), observed_ms, now);
        }
    }
}

/// Returns the time from `earlier` to `later` in milliseconds; negative if `later` is earlier.
fn signed_ms(later: Moment, earlier: Moment) -> f64 {
    (later.as_micros() as f64 - earlier.as_micros() as f64) / 1e3
}

/// Returns the time from the first event of an answer of `tokens` tokens to its end, in milliseconds.
fn decode_ms(profile: &Profile, pass_ms: f64, tokens: u64) -> f64 {
    passes_after_first_event(profile, tokens) * pass_ms
}

fn passes_after_first_event(profile: &Profile, tokens: u64) -> f64 {
    tokens.div_ceil(u64::from(profile.stride.max(1))).saturating_sub(1) as f64
}

impl Planner {
    /// Starts to observe the prompts that were submitted since the last call, and ranks those of returning callers
    /// before others.
    pub(super) fn admit_arrivals(&mut self, now: Moment) {
        self.promises.drop_expired(now);
        for id in std::mem::take(&mut self.forecaster.arrivals) {
            let Some(Prompt { job, is_short, .. }) = self.waiting.get(id).copied() else { continue };
            let promise = self.promises.redeem(&job, now);
            if promise.is_some() {
                self.waiting.promote(id);
            }
            let waiting = WaitingPrompt { since: now, promise, is_short, first_start: None, last: None };
            self.forecaster.waiting.insert(id, waiting);
        }
    }

    /// Records a grant for the forecasts, and that a promise is kept if the caller returned by one.
    pub(super) fn record_forecast_grant(&mut self, id: Id, job: &Job, now: Moment) {
        if self.features.forecasts && self.forecaster.record_grant(id, job, now).is_some() {
            self.promises.counts.kept += 1;
        }
    }

    /// Records the first event of an answer for the forecasts.
    pub(super) fn record_answer_start(&mut self, id: Id, now: Moment) {
        let decoder = self.granted.get(id).and_then(|job| self.fleet.get(&job.team.decoder));
        self.forecaster.record_first_event(id, decoder, now);
    }

    /// Forgets a job that has finished or no longer waits. A promise by which its caller had returned stands again.
    pub(super) fn forget_forecast(&mut self, id: Id, now: Moment) {
        self.forecaster.record_end(id, now);
        if let Some(promise) = self.forecaster.remove_waiting(id).and_then(|waiting| waiting.promise) {
            self.promises.restore(promise);
        }
    }

    /// Returns the predicted loads of the engines; `None` if no engine is eligible, so that nothing can be predicted.
    pub(super) fn timeline(&self, now: Moment) -> Option<Timeline<'_>> {
        let eligibility = self.snapshot.eligibility(&self.policy);
        let allow_half_open = self.snapshot.needs_half_open(&self.policy);
        let states = self.fleet.engines().iter().zip(self.snapshot.states());
        // An exhausted rate limit only delays the next request.
        let is_eligible =
            |state: &EngineState| eligibility.is_eligible(&EngineState { is_within_limit: true, ..*state });
        let outlooks = states.filter(|(_, state)| is_eligible(state)).map(|(engine, state)| {
            let can_join =
                (allow_half_open || !state.is_half_open) && self.snapshot.is_fast_enough(state, &self.policy);
            self.outlook(engine, state, can_join, now)
        });
        let engines: Vec<Outlook> = outlooks.collect();
        let settled_ms = self.settled_at.since(now).as_secs_f64() * 1e3;
        let duration_factor = self.forecaster.answers.factor();
        (!engines.is_empty()).then_some(Timeline { engines, policy: &self.policy, settled_ms, duration_factor })
    }

    fn outlook(&self, engine: &Engine, state: &EngineState, can_join: bool, now: Moment) -> Outlook {
        let profile = engine.profile();
        let typical_pass_ms = profile.pass_ms(profile.slots / 2, 0);
        let pass_ms = state.pass_ms.max(typical_pass_ms);
        let decode = |tokens| decode_ms(profile, pass_ms, tokens);
        let occupant = |(id, tokens)| Occupant {
            ends_ms: self.forecaster.answers.remaining_ms(id, state.pending_ms + pass_ms, decode, now),
            tokens,
        };
        let mut occupants: Vec<Occupant> = engine.held_memory().map(occupant).collect();
        occupants.sort_by(|a, b| a.ends_ms.total_cmp(&b.ends_ms));
        Outlook {
            free_ms: state.pending_ms,
            admits_ms: engine.limit.map_or(0.0, |limit| limit.time_until_next(now).as_secs_f64() * 1e3),
            pass_ms,
            slowdown: state.slowdown,
            budget_ms: state.min_gap_target_ms * self.policy.gap_share - state.pass_ms,
            can_join,
            max_sequences: (f64::from(profile.slots) * self.policy.slot_share).ceil() as usize,
            max_tokens: (profile.memory as f64 * self.policy.memory_share) as u64,
            occupants,
        }
    }

    /// Returns the requirements of a prompt that is there now, for a forecast.
    pub(super) fn demand_of(&self, prompt: &Prompt, now: Moment) -> Demand {
        let job = &prompt.job;
        let slack = job.first_event_target.since(now);
        self.demand(*prompt, Duration::ZERO, slack, job.deadline.since(now))
    }

    /// Returns the requirements of the prompt of a promise.
    pub(super) fn demand_of_promise(&self, promise: &Promise, now: Moment) -> Demand {
        let return_in = promise.due.since(now);
        let remaining = promise.job.deadline.since(now + return_in);
        self.demand(self.estimate_prompt(promise.job), return_in, promise.first_event_within, remaining)
    }

    fn demand(&self, prompt: Prompt, return_in: Duration, slack: Duration, remaining: Duration) -> Demand {
        let tokens = prompt.job.max_output_tokens;
        let passes = self.fleet.nominal_profile().map_or(0.0, |profile| passes_after_first_event(profile, tokens));
        let ms = |duration: Duration| duration.as_secs_f64() * 1e3;
        Demand { prompt, passes, earliest_ms: ms(return_in), slack_ms: ms(slack), remaining_ms: ms(remaining) }
    }
}
