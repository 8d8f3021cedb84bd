//! What a load is made of: kinds of prompts, how many come, and how long they are.

use rand::RngExt;
use rand::rngs::StdRng;

/// How many of something there are.
#[derive(Clone)]
pub enum Count {
    /// So many.
    Just(u64),
    /// Each of these is as likely.
    Even(std::ops::Range<u64>),
    /// Log-normal: mean, deviation of the logarithm, and the largest.
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

/// A draw from the standard normal distribution.
fn normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * rng.random_range(1e-12..1.0f64).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random_range(0.0..1.0f64)).cos()
}

/// One kind of prompt in the load.
pub struct Kind {
    /// Arrivals a second at a time in seconds.
    pub per_s: fn(f64) -> f64,
    pub prompts: Count,
    pub aim_ms: u64,
    pub gap_ms: f64,
    pub events: Count,
}
