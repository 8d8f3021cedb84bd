//! Estimates for a prompt that its queue position and its placement depend on.

use super::Planner;
use super::engine::Engine;
use super::job::{Job, Team};
use super::policy::{MAX_SHORT_PREFILL_MS, PASSES_TO_FIRST_EVENT, Policy};
use super::wait_queue::Prompt;
use crate::engine::{Profile, duration_from_ms};
use crate::time::Moment;

/// Time later than any that is compared with it.
const NEVER: Moment = Moment::from_micros(u64::MAX);

/// Computes the estimates for a prompt on engines with the given profile; without a profile, it counts as short and
/// never late.
pub(super) fn estimate_prompt(job: Job, profile: Option<&Profile>, engines: usize, policy: &Policy) -> Prompt {
    let Some(profile) = profile else {
        return Prompt { job, prefill_ms: job.prompt_tokens as f64, answer_ms: 0.0, is_short: true, late_after: NEVER };
    };
    let prefill_ms = profile.prefill_ms(job.prompt_tokens);
    let is_short = is_short(&job, profile, policy);
    let parts = if is_short { 1 } else { policy.max_parts.min(engines) };
    // On average half a pass is under way when the prompt arrives, and a whole pass produces the first event.
    let pass_ms = profile.pass_ms(profile.slots / 2, 0);
    let first_event_ms = prefill_ms / parts as f64 + pass_ms * PASSES_TO_FIRST_EVENT;
    let passes = job.max_output_tokens.div_ceil(u64::from(profile.stride.max(1)));
    let answer_ms = passes as f64 * profile.pass_ms(profile.slots, 0);
    let late_after = job.first_event_target - duration_from_ms(first_event_ms);
    Prompt { job, prefill_ms, answer_ms, is_short, late_after }
}

/// Returns whether one engine can prefill the prompt without exceeding the gap target of an answer like its own.
fn is_short(job: &Job, profile: &Profile, policy: &Policy) -> bool {
    let gap_target_ms = if job.gap_target_ms > 0.0 { job.gap_target_ms } else { f64::INFINITY };
    let full_pass_ms = profile.pass_ms((f64::from(profile.slots) * policy.slot_share) as u32, 0);
    let prefill_ms = profile.prefill_ms(job.prompt_tokens);
    prefill_ms <= gap_target_ms * policy.gap_share - full_pass_ms && prefill_ms <= MAX_SHORT_PREFILL_MS
}

impl Planner {
    /// Computes the estimates for a prompt on the current engines.
    pub(super) fn estimate_prompt(&self, job: Job) -> Prompt {
        let engines = self.fleet.engines().len();
        estimate_prompt(job, self.fleet.nominal_profile().map(AsRef::as_ref), engines, &self.policy)
    }

    /// Returns the expected time from a grant at `now` to an `entry` until the first event, in milliseconds.
    pub(super) fn expected_ms(&self, entry: u64, prefill_ms: f64, team: &Team, now: Moment) -> f64 {
        let engines = team.engines().filter_map(|name| self.fleet.get(name));
        let max_wait_ms = engines.clone().map(|engine| engine.wait_ms(now)).fold(0.0, f64::max);
        let max_pass_ms = engines.clone().map(Engine::pass_ms).fold(0.0, f64::max);
        let slowdown = engines.map(Engine::slowdown).fold(1.0, f64::max);
        let network_ms = self.team_delay(entry, team).as_secs_f64() * 1e3;
        max_wait_ms + prefill_ms * slowdown / (1 + team.helpers.len()) as f64 + max_pass_ms + network_ms
    }
}
