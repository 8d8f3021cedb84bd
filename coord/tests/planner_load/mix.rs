//! Definition of a load: kinds of prompts, their arrival rates and their sizes.

use rand::RngExt;
use rand::rngs::StdRng;

/// Distribution of a count.
#[derive(Clone)]
pub enum Count {
    /// Always the same count.
    Just(u64),
    /// Uniform distribution over a range.
    Even(std::ops::Range<u64>),
    /// Log-normal distribution: mean, standard deviation of the logarithm, and upper bound.
    Skewed(f64, f64, f64),
}

impl Count {
    pub fn mean(&self) -> f64 {
        match self {
            Count::Just(count) => *count as f64,
            Count::Even(range) => (range.start + range.end) as f64 / 2.0,
            Count::Skewed(mean, ..) => *mean,
        }
    }

    pub fn draw(&self, rng: &mut StdRng) -> u64 {
        match self {
            Count::Just(count) => *count,
            Count::Even(range) => rng.random_range(range.clone()),
            Count::Skewed(mean, spread, most) => {
                let drawn = (normal(rng) * spread - spread * spread / 2.0).exp() * mean;
                drawn.clamp(1.0, *most) as u64
            }
        }
    }
}

/// Draws from the standard normal distribution.
fn normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * rng.random_range(1e-12..1.0f64).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random_range(0.0..1.0f64)).cos()
}

/// Kind of prompt in the load.
pub struct Kind {
    /// Arrivals per second, as a function of the time in seconds.
    pub per_s: fn(f64) -> f64,
    pub prompts: Count,
    pub aim_ms: u64,
    pub gap_ms: f64,
    pub events: Count,
}
