//! Skips short prompts that cannot be placed because a cheaper one just found no engine.

use super::Reach;
use crate::planner::wait_queue::Prompt;

/// Short prompts that have found no engine since the last grant.
///
/// If a short prompt finds no engine, neither does one with the same gap limit that takes at least as long to prefill
/// and needs at least as much memory: the cheaper prompt could have used any engine that fits the other. With 1,000
/// prompts waiting at 150 engines, this leaves a handful to place in each pump.
#[derive(Debug, Default)]
pub(in crate::planner) struct Hopeless(Vec<Failure>);

/// Requirements of a short prompt that found no engine.
#[derive(Debug)]
struct Failure {
    reach: Reach,
    gap_ms: f64,
    read_ms: f64,
    needs: u64,
}

impl Hopeless {
    /// Returns whether placement of a prompt can be skipped.
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

    /// Records a prompt that found no engine; long prompts are ignored.
    pub(in crate::planner) fn note(&mut self, prompt: &Prompt, reach: Reach) {
        if prompt.short {
            let job = &prompt.job;
            self.0.push(Failure { reach, gap_ms: job.gap_ms, read_ms: prompt.read_ms, needs: job.needs() });
        }
    }

    /// Removes all records. Must be called when the state of an engine changes.
    pub(in crate::planner) fn clear(&mut self) {
        self.0.clear();
    }
}
