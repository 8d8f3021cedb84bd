//! The order in which waiting prompts get their turn, and the model's view of a prompt that this and
//! the choice of engines depend on.

use super::Planner;
use super::policy::{PASSES_TO_FIRST_EVENT, SHORT_READ_MS};
use coord::engine::millis;
use coord::planner::{Id, Job};
use coord::time::Moment;

/// A job that waits, with what its turn depends on.
pub struct Ranked {
    /// Its identity.
    pub id: Id,
    /// What it asks for.
    pub job: Job,
    /// Whether it would be late even if it started now.
    pub late: bool,
    /// Engine time that reading it takes, in milliseconds.
    cost_ms: f64,
}

impl Planner {
    /// What waits: prompts that can still be in time go first; among them the more urgent rank, then the cheaper.
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

    /// Whether a prompt would be late even if it started now: on one engine if short, else on all,
    /// behind the rest of a pass and with the pass in which its first event is written.
    pub fn is_late(&self, job: &Job, now: Moment) -> bool {
        let Some(engine) = self.engines.values().next() else { return false };
        let engines = if self.is_short(job) { 1 } else { self.policy.most_parts.min(self.engines.len()) };
        let pass = engine.figures.pass_ms(engine.figures.slots / 2, 0);
        now + millis(self.cost_ms(job) / engines as f64 + pass * PASSES_TO_FIRST_EVENT) > job.aim
    }

    /// Engine time that reading a job takes, in milliseconds.
    pub fn cost_ms(&self, job: &Job) -> f64 {
        self.engines.values().next().map_or(job.prompt as f64, |engine| engine.figures.read_ms(job.prompt))
    }

    /// Whether one engine can read the prompt without a pause that someone like its caller would mind.
    pub fn is_short(&self, job: &Job) -> bool {
        let Some(engine) = self.engines.values().next() else { return true };
        let gap = if job.gap_ms > 0.0 { job.gap_ms } else { f64::INFINITY };
        let figures = &engine.figures;
        let full = figures.pass_ms((f64::from(figures.slots) * self.policy.slot_share) as u32, 0);
        figures.read_ms(job.prompt) <= gap * self.policy.pause_share - full
            && figures.read_ms(job.prompt) <= SHORT_READ_MS
    }
}
