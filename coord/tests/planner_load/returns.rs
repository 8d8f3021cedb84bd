//! Simulates a burst of all kinds of prompts at twice the capacity, after which refused callers return.

use std::time::Duration;

use coord::planner::{Features, Policy};

use crate::common::profile;
use crate::mix::{Distribution, PromptKind};
use crate::play::{Outcomes, Returns, Simulation};

/// Begin and end of the burst, in seconds.
const BURST_S: std::ops::Range<f64> = 3.0..11.0;

fn factor(second: f64) -> f64 {
    if BURST_S.contains(&second) { 2.0 } else { 0.6 }
}

/// Returns a mix that takes the whole capacity at a factor of 1.
fn burst() -> [PromptKind; 3] {
    [
        PromptKind {
            arrivals_per_s: |second| 150.0 * factor(second),
            prompts: Distribution::Uniform(1_000..9_000),
            first_event_target_ms: 300,
            gap_target_ms: 250.0,
            events: Distribution::Constant(24),
        },
        PromptKind {
            arrivals_per_s: |second| 10.0 * factor(second),
            prompts: Distribution::Uniform(20_000..70_000),
            first_event_target_ms: 1_500,
            gap_target_ms: 600.0,
            events: Distribution::Constant(15),
        },
        PromptKind {
            arrivals_per_s: |second| 4.0 * factor(second),
            prompts: Distribution::Uniform(100_000..400_000),
            first_event_target_ms: 4_000,
            gap_target_ms: 1_000.0,
            events: Distribution::Constant(12),
        },
    ]
}

fn simulate(forecasts: bool, returns: Returns) -> Vec<Outcomes> {
    let kinds = burst();
    let mut totals = vec![Outcomes::default(); kinds.len()];
    for seed in 1..=3 {
        let mut simulation = Simulation::new(Policy::default(), profile(10, 73), seed);
        simulation.set_features(Features { forecasts, ..Features::default() });
        simulation.returns = returns;
        let (by_kind, _) = simulation.run(&kinds, Duration::from_secs(30), u64::MAX);
        totals.iter_mut().zip(by_kind).for_each(|(total, outcomes)| total.add(outcomes));
    }
    totals
}

#[test]
fn trial() {
    for returns in [Returns::AsTold, Returns::AtOnce] {
        for forecasts in [false, true] {
            println!("{returns:?} {forecasts}");
            for outcomes in simulate(forecasts, returns) {
                println!("  {outcomes:?}");
            }
        }
    }
}
