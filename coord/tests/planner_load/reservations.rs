//! Simulates more long prompts than the engines have capacity for, beside a steady stream of short prompts.

use std::time::Duration;

use coord::planner::{Features, Policy};

use crate::mix::{Distribution, PromptKind};
use crate::play::{Outcomes, Simulation};
use crate::turnover::large_model_profile;

/// Tokens that a fifth of the longest prompts exceed.
const LARGEST_FIFTH_TOKENS: u64 = 355_000;

/// Returns a load in which the longest prompts come at four times their usual rate for 8 s.
fn longest_fourfold() -> [PromptKind; 3] {
    [
        PromptKind {
            arrivals_per_s: |_| 75.0,
            prompts: Distribution::LogNormal(4_960.0, 0.9, 23_800.0),
            first_event_target_ms: 300,
            gap_target_ms: 250.0,
            events: Distribution::LogNormal(35.7, 0.7, 89.0),
        },
        PromptKind {
            arrivals_per_s: |_| 6.0,
            prompts: Distribution::LogNormal(45_000.0, 0.5, 110_000.0),
            first_event_target_ms: 1_500,
            gap_target_ms: 600.0,
            events: Distribution::LogNormal(21.4, 0.6, 53.0),
        },
        PromptKind {
            arrivals_per_s: |second| if (6.0..14.0).contains(&second) { 7.2 } else { 1.8 },
            prompts: Distribution::LogNormal(260_000.0, 0.55, 900_000.0),
            first_event_target_ms: 4_000,
            gap_target_ms: 1_000.0,
            events: Distribution::LogNormal(17.8, 0.5, 44.0),
        },
    ]
}

/// Returns the results by kind of prompt, and those of the largest fifth of the longest prompts.
fn simulate(kinds: &[PromptKind], features: Features) -> (Vec<Outcomes>, Outcomes) {
    let mut totals = vec![Outcomes::default(); kinds.len()];
    let mut largest = Outcomes::default();
    for seed in 1..=6 {
        let mut simulation = Simulation::new(Policy::default(), large_model_profile(), seed);
        simulation.set_features(features);
        let (by_kind, of_largest) = simulation.run(kinds, Duration::from_secs(26), LARGEST_FIFTH_TOKENS);
        totals.iter_mut().zip(by_kind).for_each(|(total, outcomes)| total.add(outcomes));
        largest.add(of_largest);
    }
    (totals, largest)
}

const WITH: Features = Features { reservations: true, forecasts: false, fair_shares: false, spreading: false };

#[test]
fn probe() {
    let mut kinds = longest_fourfold();
    if let Ok(x) = std::env::var("MILD") {
        kinds[2].arrivals_per_s = if x == "1" {
            |second| if (6.0..14.0).contains(&second) { 4.5 } else { 1.8 }
        } else {
            |second| if (6.0..14.0).contains(&second) { 11.0 } else { 1.8 }
        }
    }
    if std::env::var("FLOOD").is_ok() {
        kinds[0].arrivals_per_s = |second| if (6.0..14.0).contains(&second) { 230.0 } else { 75.0 };
        kinds[2].arrivals_per_s = |_| 2.5;
    }
    if std::env::var("TURN").is_ok() {
        kinds = crate::turnover::alternating_mix();
        kinds[2].arrivals_per_s = |second| if crate::turnover::is_short_phase(second) { 0.08 } else { 8.0 }
    }
    for features in [Features::default(), WITH] {
        let (by_kind, largest) = simulate(&kinds, features);
        println!("{features:?}");
        for o in by_kind.iter().chain([&largest]) {
            println!(
                "  all {} in time {:.3} late {} refused {} earned {:.3} hold {:.0}",
                o.all,
                o.in_time_share(),
                o.late,
                o.refused,
                o.earned_share(),
                o.mean_hold_ms()
            );
        }
    }
}
