//! Online estimates: quantiles of the processing time of prompts, by length class.

use std::time::Duration;

use crate::time::micros;

/// Upper bounds of the length classes, in tokens; the last class is unbounded.
pub const CLASS_BOUNDS: [u64; 4] = [2_000, 16_000, 100_000, 400_000];
/// Number of length classes.
pub const CLASS_COUNT: usize = CLASS_BOUNDS.len() + 1;

/// Returns the index of the length class of a prompt of `tokens` tokens.
pub fn length_class(tokens: u64) -> usize {
    CLASS_BOUNDS.iter().position(|bound| tokens <= *bound).unwrap_or(CLASS_BOUNDS.len())
}

/// Streaming quantile estimator whose step size follows the scale of the error.
#[derive(Clone, Copy, Debug)]
pub struct Quantile {
    target: f64,
    value: f64,
    /// Running mean of the distance between samples and the estimate.
    scale: f64,
    sample_count: u64,
}

/// Weight of a new sample in the running mean of the scale.
const SCALE_WEIGHT: f64 = 0.02;
/// Minimum step as a fraction of the scale; a larger step adapts faster, a smaller one is more stable.
const MIN_STEP: f64 = 0.02;

impl Quantile {
    /// Creates an estimator of quantile `target` (0..1) that starts at `initial`.
    pub fn new(target: f64, initial: f64) -> Self {
        Self { target, value: initial, scale: initial * 0.5, sample_count: 0 }
    }

    /// Updates the estimate with one sample.
    pub fn observe(&mut self, sample: f64) {
        self.sample_count += 1;
        let error = (sample - self.value).abs();
        self.scale += SCALE_WEIGHT * (error - self.scale);
        let step = self.scale * (1.0 / self.sample_count as f64).max(MIN_STEP);
        let weight = if sample > self.value { self.target } else { self.target - 1.0 };
        self.value = (self.value + weight * step).max(0.0);
    }

    /// Returns the current estimate.
    pub fn value(&self) -> f64 {
        self.value
    }
}

/// Time estimates for one model at one endpoint.
#[derive(Clone, Debug)]
pub struct Estimate {
    /// Prefill time per prompt token in microseconds, by length class.
    prefill: [Quantile; CLASS_COUNT],
    /// Time between two output tokens, in microseconds.
    token_gap: Quantile,
    /// Time to the first token in excess of its prefill, in microseconds.
    overhead: Quantile,
}

/// Quantile used for admission; it lies above the median because a late answer costs more than a refusal.
const ADMISSION_QUANTILE: f64 = 0.8;

impl Estimate {
    /// Creates estimates from an initial prefill rate, in tokens per second, and an initial time between tokens.
    pub fn new(prefill_rate: f64, gap: Duration) -> Self {
        let per_token = 1e6 / prefill_rate.max(1.0);
        let gap = micros(gap) as f64;
        Self {
            prefill: [Quantile::new(ADMISSION_QUANTILE, per_token); CLASS_COUNT],
            token_gap: Quantile::new(ADMISSION_QUANTILE, gap),
            overhead: Quantile::new(ADMISSION_QUANTILE, gap),
        }
    }

    /// Returns the estimated prefill time of `tokens` tokens on an idle engine.
    pub fn prefill(&self, tokens: u64) -> Duration {
        Duration::from_micros((self.prefill[length_class(tokens)].value() * tokens as f64) as u64)
    }

    /// Returns the estimated time to generate `tokens` output tokens.
    pub fn decode(&self, tokens: u64) -> Duration {
        Duration::from_micros((self.token_gap.value() * tokens as f64) as u64)
    }

    /// Returns the estimated time to the first token in excess of queueing and prefill.
    pub fn first_token_overhead(&self) -> Duration {
        Duration::from_micros(self.overhead.value() as u64)
    }

    /// Updates the estimates with a prefill that did not wait for another request.
    pub fn observe_prefill(&mut self, tokens: u64, elapsed: Duration) {
        if tokens < CLASS_BOUNDS[0] / 2 {
            self.overhead.observe(micros(elapsed) as f64);
            return;
        }
        let prefill_micros = micros(elapsed) as f64 - self.overhead.value();
        self.prefill[length_class(tokens)].observe(prefill_micros.max(0.0) / tokens as f64);
    }

    /// Updates the estimates with a finished answer of `tokens` tokens that ended `elapsed` after its first token.
    pub fn observe_decode(&mut self, tokens: u64, elapsed: Duration) {
        if tokens > 0 {
            self.token_gap.observe(micros(elapsed) as f64 / tokens as f64);
        }
    }
}
