//! Learned estimates: quantiles of the time that prompts of a length class take.

use std::time::Duration;

use crate::time::micros;

/// Upper token bounds of the length classes; the last class has no bound.
pub const CLASS_BOUNDS: [u64; 4] = [2_000, 16_000, 100_000, 400_000];
/// Number of length classes.
pub const CLASSES: usize = CLASS_BOUNDS.len() + 1;

/// The length class of a prompt of `tokens` tokens.
pub fn class(tokens: u64) -> usize {
    CLASS_BOUNDS.iter().position(|bound| tokens <= *bound).unwrap_or(CLASS_BOUNDS.len())
}

/// A running quantile, moved by a step whose size follows the error's scale.
#[derive(Clone, Copy, Debug)]
pub struct Quantile {
    target: f64,
    value: f64,
    /// Running mean of the samples' distance from the estimate.
    scale: f64,
    seen: u64,
}

/// Weight of a new sample in the running scale.
const SCALE_WEIGHT: f64 = 0.02;
/// Smallest step, as a part of the scale: larger follows faster, smaller is steadier.
const LEAST_STEP: f64 = 0.02;

impl Quantile {
    /// A quantile `target` (0..1) that starts at `initial`.
    pub fn new(target: f64, initial: f64) -> Self {
        Self { target, value: initial, scale: initial * 0.5, seen: 0 }
    }

    /// Learns from one sample.
    pub fn learn(&mut self, sample: f64) {
        self.seen += 1;
        let error = (sample - self.value).abs();
        self.scale += SCALE_WEIGHT * (error - self.scale);
        let step = self.scale * (1.0 / self.seen as f64).max(LEAST_STEP);
        let weight = if sample > self.value { self.target } else { self.target - 1.0 };
        self.value = (self.value + weight * step).max(0.0);
    }

    /// The estimate.
    pub fn value(&self) -> f64 {
        self.value
    }
}

/// Estimates for one model at one endpoint.
#[derive(Clone, Debug)]
pub struct Estimate {
    /// Microseconds of prefill per prompt token, by length class.
    prefill: [Quantile; CLASSES],
    /// Microseconds from one output token to the next.
    gap: Quantile,
    /// Microseconds that a first token takes beyond its prefill.
    overhead: Quantile,
}

/// Quantile used for admission: late answers cost more than refusals.
const ADMISSION_QUANTILE: f64 = 0.8;

impl Estimate {
    /// Estimates that start from a prefill rate (tokens per second) and a gap between tokens.
    pub fn new(prefill_rate: f64, gap: Duration) -> Self {
        let per_token = 1e6 / prefill_rate.max(1.0);
        let gap = micros(gap) as f64;
        Self {
            prefill: [Quantile::new(ADMISSION_QUANTILE, per_token); CLASSES],
            gap: Quantile::new(ADMISSION_QUANTILE, gap),
            overhead: Quantile::new(ADMISSION_QUANTILE, gap),
        }
    }

    /// Time that the prefill of `tokens` tokens takes on an engine that does nothing else.
    pub fn prefill(&self, tokens: u64) -> Duration {
        Duration::from_micros((self.prefill[class(tokens)].value() * tokens as f64) as u64)
    }

    /// Time that `tokens` output tokens take.
    pub fn decode(&self, tokens: u64) -> Duration {
        Duration::from_micros((self.gap.value() * tokens as f64) as u64)
    }

    /// Time that a first token takes beyond queue and prefill.
    pub fn overhead(&self) -> Duration {
        Duration::from_micros(self.overhead.value() as u64)
    }

    /// Learns from a prefill that ran with nothing ahead of it.
    pub fn learn_prefill(&mut self, tokens: u64, took: Duration) {
        if tokens < CLASS_BOUNDS[0] / 2 {
            self.overhead.learn(micros(took) as f64);
            return;
        }
        let own = micros(took) as f64 - self.overhead.value();
        self.prefill[class(tokens)].learn(own.max(0.0) / tokens as f64);
    }

    /// Learns from a finished answer of `tokens` tokens, `took` after its first.
    pub fn learn_decode(&mut self, tokens: u64, took: Duration) {
        if tokens > 0 {
            self.gap.learn(micros(took) as f64 / tokens as f64);
        }
    }
}
