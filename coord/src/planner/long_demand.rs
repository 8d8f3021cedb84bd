//! Number of engines that long prompts need, which short prompts must leave without answers.
//!
//! An engine that decodes short answers is of little use to a long prompt, because only a short part of the prompt can
//! be prefilled between two events. Short prompts in turn start sooner the more engines they use. The number of engines
//! that long prompts need decides between them. It follows the prefill time that long prompts brought recently, so that
//! short prompts spread over the engines soon after long prompts become rare, and gather on few when they return.

use std::time::Duration;

use super::Planner;
use super::policy::Policy;
use super::wait_queue::{Candidate, Prompt};
use crate::time::Moment;

/// Time after which a prompt counts half in the demand. Answers to short prompts take about as long, so that short
/// prompts do not take engines over faster than these can be freed for long prompts again.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Number of engines left to long prompts for each engine that they keep busy on average. They arrive irregularly, so
/// that with the average alone many of them would wait.
const HEADROOM: f64 = 2.0;

/// Decaying demand of long prompts.
#[derive(Debug, Default)]
pub struct LongDemand {
    /// Long prompts that arrived since the last pump.
    arrived: Vec<Prompt>,
    /// Engine time that arrived, in milliseconds, decayed to `updated_at`.
    prefill_ms: f64,
    /// Size of the largest team that was needed, decayed to `updated_at`.
    team_size: f64,
    updated_at: Moment,
}

impl LongDemand {
    /// Records a long prompt that takes `prefill_ms` of engine time and needs `team_size` engines to be in time.
    pub fn record(&mut self, prefill_ms: f64, team_size: usize, now: Moment) {
        let decay = self.decay(now);
        self.prefill_ms = self.prefill_ms * decay + prefill_ms;
        self.team_size = (self.team_size * decay).max(team_size as f64);
        self.updated_at = now;
    }

    /// Returns the number of engines that long prompts need: those that they keep busy, and a team for the next one. It
    /// is at least `waiting_engines`, the sum of the engines that the waiting prompts need.
    pub fn engines(&self, waiting_engines: usize, now: Moment) -> usize {
        let decay = self.decay(now);
        let busy = self.prefill_ms * decay / 1e3 * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        let recent = busy * HEADROOM + self.team_size * decay;
        (recent.round() as usize).max(waiting_engines)
    }

    fn decay(&self, now: Moment) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// Returns the number of engines that must prefill a long prompt together so that it is in time.
fn timely_team_size(prompt: &Prompt, policy: &Policy, now: Moment) -> usize {
    let slack_ms = prompt.job.first_event_target.since(now).as_secs_f64() * 1e3 * policy.in_time_share;
    let parts = (prompt.prefill_ms / slack_ms.max(1.0)).ceil() as usize;
    parts.clamp(1, policy.max_parts)
}

impl Planner {
    /// Returns the number of engines that short prompts had to leave to long ones at the last pump.
    pub fn engines_for_long(&self) -> usize {
        self.engines_for_long
    }

    /// Records a prompt that is submitted, if it is long.
    pub(super) fn record_arrival(&mut self, prompt: &Prompt) {
        if self.features.spreading && !prompt.is_short {
            self.long_demand.arrived.push(*prompt);
        }
    }

    /// Computes how many engines short prompts must leave to long ones, and the margin of their predictions.
    pub(super) fn prepare_spreading(&mut self, waiting: &[Candidate], now: Moment) {
        if !self.features.spreading {
            return;
        }
        self.predictions.expire(now);
        for prompt in std::mem::take(&mut self.long_demand.arrived) {
            self.long_demand.record(prompt.prefill_ms, timely_team_size(&prompt, &self.policy, now), now);
        }
        let long = waiting.iter().filter(|candidate| !candidate.prompt.is_short && !candidate.is_late);
        let waiting_engines = long.map(|candidate| timely_team_size(&candidate.prompt, &self.policy, now)).sum();
        self.engines_for_long = self.long_demand.engines(waiting_engines, now);
    }
}
