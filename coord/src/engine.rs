//! A time model of one engine that works in passes. It does no I/O.
//!
//! An engine works through its requests in passes. A pass with writers plays `stride` token
//! steps; one without plays a single step. Each step reads at most `chunk` prompt tokens. The
//! figures come from the service's configuration.

use std::time::Duration;

/// Sizes and speeds of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures {
    /// Requests at once.
    pub slots: u32,
    /// KV memory, in tokens.
    pub memory: u64,
    /// Token steps in a pass that has writers; an event carries as many tokens.
    pub stride: u32,
    /// Time of one token step, in milliseconds.
    pub step_ms: f64,
    /// Additional time of a step for each request that writes, in milliseconds.
    pub per_writer_ms: f64,
    /// Additional time of a step for each 1,000 tokens of its writers' context, in milliseconds.
    pub per_context_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub read_per_ms: f64,
    /// Time to attend to a million pairs of a token and an earlier one, in milliseconds.
    pub pairs_ms: f64,
    /// Most prompt tokens read in one step.
    pub chunk: u64,
    /// Additional time of a step for a prompt that helpers read, in milliseconds.
    pub hop_ms: f64,
}

impl Figures {
    /// Milliseconds that an engine needs to read a prompt of `tokens` tokens, steps left out.
    pub fn read_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.read_per_ms + self.pair_ms(tokens)
    }

    /// Milliseconds spent on pairs in a prompt of `tokens` tokens.
    fn pair_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        tokens * tokens / 2.0 / 1e6 * self.pairs_ms
    }

    /// The same engine when everything takes `pace` times as long.
    pub fn at_pace(&self, pace: f64) -> Self {
        Self {
            step_ms: self.step_ms * pace,
            per_writer_ms: self.per_writer_ms * pace,
            per_context_ms: self.per_context_ms * pace,
            read_per_ms: self.read_per_ms / pace,
            pairs_ms: self.pairs_ms * pace,
            hop_ms: self.hop_ms * pace,
            ..self.clone()
        }
    }

    /// Milliseconds that each of `parts` engines reads when they share a prompt evenly.
    pub fn part_ms(&self, tokens: u64, parts: usize) -> f64 {
        self.read_ms(tokens) / parts.max(1) as f64
    }

    /// Milliseconds of one pass with `writers` requests that hold `context` tokens together.
    pub fn pass_ms(&self, writers: u32, context: u64) -> f64 {
        let step = self.step_ms + self.per_writer_ms * f64::from(writers) + self.per_context_ms * context as f64 / 1e3;
        step * f64::from(self.stride.max(1))
    }
}

/// A duration of `ms` milliseconds; anything below zero is none.
pub fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}
