//! Estimates for a prompt that its queue position and its placement depend on.

use super::Planner;
use super::engine::Engine;
use super::job::{Job, Team};
use super::policy::{PASSES_TO_FIRST_EVENT, Policy, SHORT_READ_MS};
use super::wait_queue::Prompt;
use crate::engine::{Figures, millis};
use crate::time::Moment;

/// Time later than any that is compared with it.
const NEVER: Moment = Moment::from_micros(u64::MAX);

/// Computes the estimates for a prompt on engines with these sizes and speeds.
pub(super) fn prompt(job: Job, figures: Option<&Figures>, engines: usize, policy: &Policy) -> Prompt {
    let Some(figures) = figures else {
        return Prompt { job, read_ms: job.prompt as f64, short: true, late_after: NEVER };
    };
    let read_ms = figures.read_ms(job.prompt);
    let short = is_short(&job, figures, policy);
    let readers = if short { 1 } else { policy.most_parts.min(engines) };
    // On average half a pass is under way when the prompt arrives, and a whole pass produces the first event.
    let pass_ms = figures.pass_ms(figures.slots / 2, 0);
    let first_event_ms = read_ms / readers as f64 + pass_ms * PASSES_TO_FIRST_EVENT;
    Prompt { job, read_ms, short, late_after: job.aim - millis(first_event_ms) }
}

/// Returns whether one engine can prefill the prompt without exceeding the gap limit of an answer like its own.
fn is_short(job: &Job, figures: &Figures, policy: &Policy) -> bool {
    let gap = if job.gap_ms > 0.0 { job.gap_ms } else { f64::INFINITY };
    let full = figures.pass_ms((f64::from(figures.slots) * policy.slot_share) as u32, 0);
    let read_ms = figures.read_ms(job.prompt);
    read_ms <= gap * policy.pause_share - full && read_ms <= SHORT_READ_MS
}

impl Planner {
    /// Computes the estimates for a prompt on the current engines.
    pub(super) fn prompt(&self, job: Job) -> Prompt {
        let engines = self.fleet.engines().len();
        prompt(job, self.fleet.figures().map(AsRef::as_ref), engines, &self.policy)
    }

    /// Returns the expected time from a grant at `now` to the first event, in milliseconds.
    pub(super) fn expected_ms(&self, read_ms: f64, team: &Team, now: Moment) -> f64 {
        let engines = team.engines().filter_map(|name| self.fleet.get(name));
        let wait = engines.clone().map(|engine| engine.wait_ms(now)).fold(0.0, f64::max);
        let pass = engines.clone().map(Engine::pass_ms).fold(0.0, f64::max);
        let pace = engines.map(Engine::pace).fold(1.0, f64::max);
        wait + read_ms * pace / (1 + team.helpers.len()) as f64 + pass
    }
}
