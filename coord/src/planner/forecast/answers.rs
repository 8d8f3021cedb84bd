//! Predicts when running answers end.

use std::collections::BTreeMap;

use crate::planner::job::Id;
use crate::time::Moment;

/// Weight of a new observation in the learned duration factor.
const OBSERVATION_WEIGHT: f64 = 0.05;
/// Bounds of the learned duration factor: answers end early, or prefill of other prompts slows them down.
const FACTOR_RANGE: (f64, f64) = (0.2, 3.0);

/// Answer that decodes, or will once its prompt is prefilled.
#[derive(Clone, Copy, Debug)]
struct Answer {
    output_tokens: u64,
    /// Time of its first event; `None` while its prompt is prefilled.
    first_event_at: Option<Moment>,
    /// Time from its first event to its end that the passes alone would take, in milliseconds.
    decode_ms: f64,
}

/// Running answers, and the learned ratio of their durations to those that their sizes predict.
#[derive(Debug)]
pub struct Answers {
    answers: BTreeMap<Id, Answer>,
    factor: f64,
}

impl Default for Answers {
    fn default() -> Self {
        Self { answers: BTreeMap::new(), factor: 1.0 }
    }
}

impl Answers {
    /// Adds an answer of at most `output_tokens` tokens.
    pub fn insert(&mut self, id: Id, output_tokens: u64) {
        self.answers.insert(id, Answer { output_tokens, first_event_at: None, decode_ms: 0.0 });
    }

    /// Records the first event of an answer. `decode_ms` returns the time that the passes for a number of tokens take.
    pub fn record_first_event(&mut self, id: Id, decode_ms: impl FnOnce(u64) -> f64, now: Moment) {
        if let Some(answer) = self.answers.get_mut(&id).filter(|answer| answer.first_event_at.is_none()) {
            answer.first_event_at = Some(now);
            answer.decode_ms = decode_ms(answer.output_tokens);
        }
    }

    /// Removes an answer that has ended.
    pub fn remove(&mut self, id: Id, now: Moment) {
        let Some(Answer { first_event_at: Some(first_event_at), decode_ms, .. }) = self.answers.remove(&id) else {
            return;
        };
        if decode_ms > 0.0 {
            let observed = now.since(first_event_at).as_secs_f64() * 1e3 / decode_ms;
            let (min, max) = FACTOR_RANGE;
            self.factor += (observed.clamp(min, max) - self.factor) * OBSERVATION_WEIGHT;
        }
    }

    /// Returns the time until an answer ends, in milliseconds. `prefill_ms` is the time until its engine has prefilled
    /// all prompts, and `decode_ms` returns the time that the passes for a number of tokens take.
    pub fn remaining_ms(&self, id: Id, prefill_ms: f64, decode_ms: impl FnOnce(u64) -> f64, now: Moment) -> f64 {
        let Some(answer) = self.answers.get(&id) else { return prefill_ms };
        match answer.first_event_at {
            Some(at) => (answer.decode_ms * self.factor - now.since(at).as_secs_f64() * 1e3).max(0.0),
            None => prefill_ms + decode_ms(answer.output_tokens) * self.factor,
        }
    }

    /// Returns the learned ratio of durations.
    pub fn factor(&self) -> f64 {
        self.factor
    }
}
