//! Order of the waiting prompts, and the estimates that this order and the placement depend on.

use super::Planner;
use super::policy::{MAX_SHORT_PREFILL_MS, PASSES_TO_FIRST_EVENT};
use coord::engine::duration_from_ms;
use coord::planner::{Id, Job};
use coord::time::Moment;

/// Waiting job with its sort keys.
pub struct Candidate {
    pub id: Id,
    pub job: Job,
    /// Whether the job would be late even if it started now.
    pub is_late: bool,
    /// Engine time to prefill the prompt, in milliseconds.
    prefill_ms: f64,
}

impl Planner {
    /// Returns the waiting jobs in the order in which they are to be placed: jobs that can still be in time first,
    /// then the more urgent priority, then the cheaper prompt.
    pub fn list_ordered(&self, now: Moment) -> Vec<Candidate> {
        let to_candidate = |(id, job): (&Id, &Job)| Candidate {
            id: *id,
            job: *job,
            is_late: self.is_late(job, now),
            prefill_ms: self.prefill_ms(job),
        };
        let mut candidates: Vec<Candidate> = self.waiting.iter().map(to_candidate).collect();
        let cheapest_first = self.policy.cheapest_first;
        candidates.sort_by(|a, b| {
            let ordering = (a.is_late, a.job.priority).cmp(&(b.is_late, b.job.priority));
            ordering.then_with(|| match cheapest_first {
                true => a.prefill_ms.total_cmp(&b.prefill_ms),
                false => a.job.first_event_target.cmp(&b.job.first_event_target),
            })
        });
        candidates
    }

    /// Returns whether a prompt would be late even if it started now: on one engine if it is short, otherwise on all
    /// engines, after half a pass that is under way and a pass that produces the first event.
    pub fn is_late(&self, job: &Job, now: Moment) -> bool {
        let Some(engine) = self.engines.values().next() else { return false };
        let parts = if self.is_short(job) { 1 } else { self.policy.max_parts.min(self.engines.len()) };
        let pass_ms = engine.profile.pass_ms(engine.profile.slots / 2, 0);
        now + duration_from_ms(self.prefill_ms(job) / parts as f64 + pass_ms * PASSES_TO_FIRST_EVENT)
            > job.first_event_target
    }

    /// Returns the engine time to prefill a job's prompt, in milliseconds.
    pub fn prefill_ms(&self, job: &Job) -> f64 {
        self.engines
            .values()
            .next()
            .map_or(job.prompt_tokens as f64, |engine| engine.profile.prefill_ms(job.prompt_tokens))
    }

    /// Returns whether one engine can prefill the prompt without exceeding the gap target of an answer like its own.
    pub fn is_short(&self, job: &Job) -> bool {
        let Some(engine) = self.engines.values().next() else { return true };
        let gap_target_ms = if job.gap_target_ms > 0.0 { job.gap_target_ms } else { f64::INFINITY };
        let profile = &engine.profile;
        let full_pass_ms = profile.pass_ms((f64::from(profile.slots) * self.policy.slot_share) as u32, 0);
        profile.prefill_ms(job.prompt_tokens) <= gap_target_ms * self.policy.gap_share - full_pass_ms
            && profile.prefill_ms(job.prompt_tokens) <= MAX_SHORT_PREFILL_MS
    }
}
