//! Definition of a load: kinds of prompts, their arrival rates and their sizes.

use rand::RngExt;
use rand::rngs::StdRng;

/// Distribution of a count.
#[derive(Clone)]
pub enum Distribution {
    /// Always the same count.
    Constant(u64),
    /// Uniform distribution over a range.
    Uniform(std::ops::Range<u64>),
    /// Log-normal distribution: mean, standard deviation of the logarithm, and upper bound.
    LogNormal(f64, f64, f64),
}

impl Distribution {
    pub fn mean(&self) -> f64 {
        match self {
            Distribution::Constant(count) => *count as f64,
            Distribution::Uniform(range) => (range.start + range.end) as f64 / 2.0,
            Distribution::LogNormal(mean, ..) => *mean,
        }
    }

    pub fn sample(&self, rng: &mut StdRng) -> u64 {
        match self {
            Distribution::Constant(count) => *count,
            Distribution::Uniform(range) => rng.random_range(range.clone()),
            Distribution::LogNormal(mean, sigma, max) => {
                let sampled = (sample_standard_normal(rng) * sigma - sigma * sigma / 2.0).exp() * mean;
                sampled.clamp(1.0, *max) as u64
            }
        }
    }
}

/// Samples the standard normal distribution.
fn sample_standard_normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * rng.random_range(1e-12..1.0f64).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random_range(0.0..1.0f64)).cos()
}

/// Kind of prompt in the load.
pub struct PromptKind {
    /// Arrivals per second, as a function of the time in seconds.
    pub arrivals_per_s: fn(f64) -> f64,
    pub prompts: Distribution,
    pub first_event_target_ms: u64,
    pub gap_target_ms: f64,
    pub events: Distribution,
}
