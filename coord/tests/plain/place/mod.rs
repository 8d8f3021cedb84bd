//! Selects engines for one prompt.

mod long;
mod short;

use super::Planner;
use super::engine::Engine;
use coord::name::Name;
use coord::planner::{Grant, Id, Job, Policy};
use coord::time::Moment;

/// Engines that a prompt may be placed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateScope {
    /// All eligible engines.
    All,
    /// Only engines that already decode answers to short prompts. Prompts that wait for a team do not wait for these.
    SharedOnly,
}

/// Prompt to be placed, with the state that the selection of its engines depends on.
struct PlacementContext<'a> {
    planner: &'a Planner,
    job: &'a Job,
    /// Eligible engines.
    engines: Vec<(&'a Name, &'a Engine)>,
    scope: CandidateScope,
    /// Engine time to prefill the prompt, in milliseconds.
    prefill_ms: f64,
    now: Moment,
}

impl<'a> PlacementContext<'a> {
    fn policy(&self) -> &'a Policy {
        &self.planner.policy
    }
}

impl Planner {
    /// Returns the engines for a prompt; `None` if the prompt must wait.
    pub fn place(&self, id: Id, job: &Job, scope: CandidateScope, now: Moment) -> Option<Grant> {
        let engines = self.candidates(id.entry, now);
        if engines.is_empty() {
            return None;
        }
        let context = PlacementContext { planner: self, job, engines, scope, prefill_ms: self.prefill_ms(job), now };
        if self.is_short(job) {
            return context.select_short().map(|team| Grant { id, team, unresponsive_after: None });
        }
        if now < self.settled_at || scope == CandidateScope::SharedOnly {
            return None;
        }
        context.select_team().map(|team| Grant { id, team, unresponsive_after: None })
    }

    /// Returns the eligible engines for a job of `entry`. Recently failed engines are excluded as long as most
    /// engines remain: a failure that hits many engines at once has another cause.
    fn candidates(&self, entry: u64, now: Moment) -> Vec<(&Name, &Engine)> {
        let allowed: Vec<_> = self.engines.iter().filter(|(name, _)| self.health.allows_request(name, now)).collect();
        let leaves_most = allowed.len() as f64 > self.engines.len() as f64 * self.policy.min_usable_share;
        let eligible = if leaves_most { allowed } else { self.engines.iter().collect() };
        let reachable = |(name, _): &(&Name, &Engine)| self.health.can_reach(entry, name, now);
        let reachable: Vec<_> = eligible.iter().copied().filter(reachable).collect();
        if reachable.is_empty() { eligible } else { reachable }
    }
}
