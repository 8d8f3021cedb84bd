//! Skips short prompts that cannot be placed because a cheaper one just found no engine.

use super::CandidateScope;
use crate::planner::wait_queue::Prompt;

/// Short prompts that have found no engine since the last grant.
///
/// If a short prompt finds no engine, neither does one with the same gap target that takes at least as long to
/// prefill and needs at least as much memory: the cheaper prompt could have used any engine that fits the other. With
/// 1,000 prompts waiting at 150 engines, this leaves a handful to place in each pump.
#[derive(Debug, Default)]
pub(in crate::planner) struct Unplaceable(Vec<Requirements>);

/// Requirements of a short prompt that found no engine.
#[derive(Debug)]
struct Requirements {
    scope: CandidateScope,
    gap_target_ms: f64,
    prefill_ms: f64,
    memory_tokens: u64,
}

impl Unplaceable {
    /// Returns whether placement of a prompt can be skipped.
    pub(in crate::planner) fn covers(&self, prompt: &Prompt, scope: CandidateScope) -> bool {
        let memory_tokens = prompt.job.memory_tokens();
        let is_cheaper = |requirements: &Requirements| {
            requirements.scope == scope
                && requirements.gap_target_ms == prompt.job.gap_target_ms
                && requirements.prefill_ms <= prompt.prefill_ms
                && requirements.memory_tokens <= memory_tokens
        };
        prompt.is_short && self.0.iter().any(is_cheaper)
    }

    /// Records a prompt that found no engine; long prompts are ignored.
    pub(in crate::planner) fn record(&mut self, prompt: &Prompt, scope: CandidateScope) {
        if prompt.is_short {
            let job = &prompt.job;
            self.0.push(Requirements {
                scope,
                gap_target_ms: job.gap_target_ms,
                prefill_ms: prompt.prefill_ms,
                memory_tokens: job.memory_tokens(),
            });
        }
    }

    /// Removes all records. Must be called when the state of an engine changes.
    pub(in crate::planner) fn clear(&mut self) {
        self.0.clear();
    }
}
