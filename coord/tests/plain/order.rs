//! Order of the waiting prompts, and the estimates that this order and the placement depend on.

use super::Planner;
use super::policy::{PASSES_TO_FIRST_EVENT, SHORT_READ_MS};
use coord::engine::millis;
use coord::planner::{Id, Job};
use coord::time::Moment;

/// Waiting job with its sort keys.
pub struct Ranked {
    pub id: Id,
    pub job: Job,
    /// Whether the job would be late even if it started now.
    pub late: bool,
    /// Engine time to prefill the prompt, in milliseconds.
    cost_ms: f64,
}

impl Planner {
    /// Returns the waiting jobs in the order in which they are to be placed: jobs that can still be in time first,
    /// then the more urgent priority, then the cheaper prompt.
    pub fn ranked(&self, now: Moment) -> Vec<Ranked> {
        let rank = |(id, job): (&Id, &Job)| Ranked {
            id: *id,
            job: *job,
            late: self.is_late(job, now),
            cost_ms: self.cost_ms(job),
        };
        let mut ranked: Vec<Ranked> = self.waiting.iter().map(rank).collect();
        let cheapest_first = self.policy.cheapest_first;
        ranked.sort_by(|a, b| {
            let rank = (a.late, a.job.priority).cmp(&(b.late, b.job.priority));
            rank.then_with(|| match cheapest_first {
                true => a.cost_ms.total_cmp(&b.cost_ms),
                false => a.job.aim.cmp(&b.job.aim),
            })
        });
        ranked
    }

    /// Returns whether a prompt would be late even if it started now: on one engine if it is short, otherwise on all
    /// engines, after half a pass that is under way and a pass that produces the first event.
    pub fn is_late(&self, job: &Job, now: Moment) -> bool {
        let Some(engine) = self.engines.values().next() else { return false };
        let engines = if self.is_short(job) { 1 } else { self.policy.most_parts.min(self.engines.len()) };
        let pass = engine.figures.pass_ms(engine.figures.slots / 2, 0);
        now + millis(self.cost_ms(job) / engines as f64 + pass * PASSES_TO_FIRST_EVENT) > job.aim
    }

    /// Returns the engine time to prefill a job's prompt, in milliseconds.
    pub fn cost_ms(&self, job: &Job) -> f64 {
        self.engines.values().next().map_or(job.prompt as f64, |engine| engine.figures.read_ms(job.prompt))
    }

    /// Returns whether one engine can prefill the prompt without exceeding the gap limit of an answer like its own.
    pub fn is_short(&self, job: &Job) -> bool {
        let Some(engine) = self.engines.values().next() else { return true };
        let gap = if job.gap_ms > 0.0 { job.gap_ms } else { f64::INFINITY };
        let figures = &engine.figures;
        let full = figures.pass_ms((f64::from(figures.slots) * self.policy.slot_share) as u32, 0);
        figures.read_ms(job.prompt) <= gap * self.policy.pause_share - full
            && figures.read_ms(job.prompt) <= SHORT_READ_MS
    }
}
