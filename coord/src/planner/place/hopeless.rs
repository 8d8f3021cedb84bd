//! Short prompts that need not be looked at: a cheaper one just found no engine.

use super::Reach;
use crate::planner::waiting::Prompt;

/// What found no engine since the last grant.
///
/// Where a short prompt finds none, one that takes as long or longer to read, needs as much memory and minds the same
/// pauses finds none either: each engine that it could take, the cheaper one could have taken. With 1,000 waiting at
/// 150 engines this leaves a handful to look at in a turn.
#[derive(Debug, Default)]
pub(in crate::planner) struct Hopeless(Vec<Failure>);

/// A short prompt that found no engine.
#[derive(Debug)]
struct Failure {
    reach: Reach,
    gap_ms: f64,
    read_ms: f64,
    needs: u64,
}

impl Hopeless {
    /// Whether a prompt need not be looked at.
    pub(in crate::planner) fn covers(&self, prompt: &Prompt, reach: Reach) -> bool {
        let needs = prompt.job.needs();
        let is_cheaper = |failure: &Failure| {
            failure.reach == reach
                && failure.gap_ms == prompt.job.gap_ms
                && failure.read_ms <= prompt.read_ms
                && failure.needs <= needs
        };
        prompt.short && self.0.iter().any(is_cheaper)
    }

    /// Notes that a prompt found no engine.
    pub(in crate::planner) fn note(&mut self, prompt: &Prompt, reach: Reach) {
        if prompt.short {
            let job = &prompt.job;
            self.0.push(Failure { reach, gap_ms: job.gap_ms, read_ms: prompt.read_ms, needs: job.needs() });
        }
    }

    /// Forgets all: engines have changed.
    pub(in crate::planner) fn clear(&mut self) {
        self.0.clear();
    }
}
