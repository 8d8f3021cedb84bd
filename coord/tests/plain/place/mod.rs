//! Selects engines for one prompt.

mod long;
mod short;

use super::Planner;
use super::engine::Engine;
use coord::name::Name;
use coord::planner::{Grant, Id, Job, Policy};
use coord::time::Moment;

/// Engines that a prompt may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Any of them.
    All,
    /// Only engines that already decode answers to short prompts. Prompts that wait for a team do not wait for these.
    Shared,
}

/// Prompt to be placed, with all that the selection of its engines depends on.
struct Choice<'a> {
    planner: &'a Planner,
    job: &'a Job,
    /// Eligible engines.
    engines: Vec<(&'a Name, &'a Engine)>,
    reach: Reach,
    /// Engine time to prefill the prompt, in milliseconds.
    read_ms: f64,
    now: Moment,
}

impl<'a> Choice<'a> {
    fn policy(&self) -> &'a Policy {
        &self.planner.policy
    }
}

impl Planner {
    /// Returns the engines for a prompt; `None` if the prompt must wait.
    pub fn place(&self, id: Id, job: &Job, reach: Reach, now: Moment) -> Option<Grant> {
        let engines = self.candidates(id.entry, now);
        if engines.is_empty() {
            return None;
        }
        let choice = Choice { planner: self, job, engines, reach, read_ms: self.cost_ms(job), now };
        if self.is_short(job) {
            return choice.short().map(|team| Grant { id, team, silent_after: None });
        }
        if now < self.settled_at || reach == Reach::Shared {
            return None;
        }
        choice.long().map(|team| Grant { id, team, silent_after: None })
    }

    /// Returns the eligible engines for a job of `entry`. Recently failed engines are excluded as long as most
    /// engines remain: a failure that hits many engines at once has another cause.
    fn candidates(&self, entry: u64, now: Moment) -> Vec<(&Name, &Engine)> {
        let admitted: Vec<_> = self.engines.iter().filter(|(name, _)| self.evidence.admits(name, now)).collect();
        let most = admitted.len() as f64 > self.engines.len() as f64 * self.policy.least_usable;
        let usable = if most { admitted } else { self.engines.iter().collect() };
        let reached = |(name, _): &(&Name, &Engine)| self.evidence.reaches(entry, name, now);
        let reached: Vec<_> = usable.iter().copied().filter(reached).collect();
        if reached.is_empty() { usable } else { reached }
    }
}
