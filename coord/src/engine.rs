//! Time model of an inference engine that works in passes.
//!
//! An engine processes its requests in passes. A pass with decoding requests runs `stride` token steps; a pass
//! without them runs one step. Each step prefills at most `chunk` prompt tokens. The parameters come from the
//! service's configuration.

use std::time::Duration;

/// Capacity and speed of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// KV memory, in tokens.
    pub memory: u64,
    /// Token steps in a pass with decoding requests; a stream event carries the same number of tokens.
    pub stride: u32,
    /// Duration of one token step, in milliseconds.
    pub step_ms: f64,
    /// Additional duration of a step per decoding request, in milliseconds.
    pub per_sequence_ms: f64,
    /// Additional duration of a step per 1,000 context tokens of its decoding requests, in milliseconds.
    pub per_context_ms: f64,
    /// Prompt tokens prefilled per millisecond, without attention.
    pub prefill_tokens_per_ms: f64,
    /// Attention time per million pairs of a token and an earlier token, in milliseconds.
    pub attention_ms_per_million_pairs: f64,
    /// Maximum number of prompt tokens prefilled in one step.
    pub chunk: u64,
    /// Additional duration of a step for a prompt that helper engines prefill, in milliseconds.
    pub remote_prefill_step_ms: f64,
}

impl Profile {
    /// Returns the prefill time of a prompt of `tokens` tokens in milliseconds, without step overhead.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.prefill_tokens_per_ms + self.attention_ms(tokens)
    }

    /// Returns the attention time of a prompt of `tokens` tokens, in milliseconds.
    fn attention_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        tokens * tokens / 2.0 / 1e6 * self.attention_ms_per_million_pairs
    }

    /// Returns the parameters of this engine when every operation takes `slowdown` times as long.
    pub fn slowed_by(&self, slowdown: f64) -> Self {
        Self {
            step_ms: self.step_ms * slowdown,
            per_sequence_ms: self.per_sequence_ms * slowdown,
            per_context_ms: self.per_context_ms * slowdown,
            prefill_tokens_per_ms: self.prefill_tokens_per_ms / slowdown,
            attention_ms_per_million_pairs: self.attention_ms_per_million_pairs * slowdown,
            remote_prefill_step_ms: self.remote_prefill_step_ms * slowdown,
            ..self.clone()
        }
    }

    /// Returns the prefill time of each engine, in milliseconds, when `parts` engines share a prompt evenly.
    pub fn prefill_share_ms(&self, tokens: u64, parts: usize) -> f64 {
        self.prefill_ms(tokens) / parts.max(1) as f64
    }

    /// Returns the duration in milliseconds of one pass with `decoding_requests` requests whose contexts hold
    /// `context_tokens` tokens in total.
    pub fn pass_ms(&self, decoding_requests: u32, context_tokens: u64) -> f64 {
        let step_ms = self.step_ms
            + self.per_sequence_ms * f64::from(decoding_requests)
            + self.per_context_ms * context_tokens as f64 / 1e3;
        step_ms * f64::from(self.stride.max(1))
    }
}

/// Converts milliseconds to a duration; negative values become zero, and values beyond its range the largest duration.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1e3).unwrap_or(Duration::MAX)
}
