//! Simulates more long prompts than the engines have capacity for, beside a steady stream of short prompts.

use std::time::Duration;

use coord::planner::{Features, Policy};

use crate::mix::{Distribution, PromptKind};
use crate::play::{Outcomes, Simulation};
use crate::turnover::{alternating_mix, is_short_phase, large_model_profile};

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
    for seed in 1..=std::env::var("SEEDS").map_or(6, |n| n.parse().unwrap()) {
        let mut simulation = Simulation::new(Policy::default(), large_model_profile(), seed);
        simulation.set_features(features);
        let (by_kind, of_largest) = simulation.run(kinds, Duration::from_secs(26), LARGEST_FIFTH_TOKENS);
        totals.iter_mut().zip(by_kind).for_each(|(total, outcomes)| total.add(outcomes));
        largest.add(of_largest);
    }
    (totals, largest)
}

/// Returns the results without and with reservations.
fn compare(kinds: &[PromptKind]) -> [(Vec<Outcomes>, Outcomes); 2] {
    let with = Features { reservations: true, ..Features::default() };
    [simulate(kinds, Features::default()), simulate(kinds, with)]
}

/// Returns how often the largest fifth is in time in relation to all prompts of its kind.
fn relative_share((by_kind, largest): &(Vec<Outcomes>, Outcomes)) -> f64 {
    largest.in_time_share() / by_kind[2].in_time_share()
}

#[test]
fn while_the_longest_prompts_exceed_the_capacity_the_largest_are_in_time_nearly_as_often() {
    let [without, with] = compare(&longest_fourfold());
    let (relative, relative_without) = (relative_share(&with), relative_share(&without));
    assert!(relative >= 0.75 && relative >= relative_without + 0.1, "{relative:.3} and {relative_without:.3}");
    let (by_kind, _) = with;
    assert!(by_kind[0].in_time_share() >= 0.86 && by_kind[2].in_time_share() >= 0.8, "{by_kind:?}");
}

#[test]
fn beside_a_flood_of_short_prompts_the_largest_are_in_time_more_often() {
    let mut kinds = longest_fourfold();
    kinds[0].arrivals_per_s = |second| if (6.0..14.0).contains(&second) { 230.0 } else { 75.0 };
    kinds[2].arrivals_per_s = |_| 2.5;
    let [without, with] = compare(&kinds);
    let (relative, relative_without) = (relative_share(&with), relative_share(&without));
    assert!(relative >= 0.75 && relative >= relative_without + 0.05, "{relative:.3} and {relative_without:.3}");
    assert!(with.0[0].in_time_share() >= 0.86, "{:?}", with.0);
}

#[test]
fn when_the_load_turns_from_short_to_long_prompts_the_largest_are_in_time_nearly_as_often() {
    let mut kinds = alternating_mix();
    kinds[2].arrivals_per_s = |second| if is_short_phase(second) { 0.08 } else { 8.0 };
    let [without, with] = compare(&kinds);
    let (relative, relative_without) = (relative_share(&with), relative_share(&without));
    assert!(relative >= 0.75 && relative >= relative_without + 0.1, "{relative:.3} and {relative_without:.3}");
    assert!(with.0[0].in_time_share() >= 0.86, "{:?}", with.0);
}

#[test]
fn probe() {
    let mut load = longest_fourfold();
    let mut flood = longest_fourfold();
    flood[0].arrivals_per_s = |second| if (6.0..14.0).contains(&second) { 230.0 } else { 75.0 };
    flood[2].arrivals_per_s = |_| 2.5;
    let mut turn = alternating_mix();
    turn[2].arrivals_per_s = |second| if is_short_phase(second) { 0.08 } else { 8.0 };
    for (name, kinds) in [("fourfold", &load), ("flood", &flood), ("turn", &turn)] {
        for (by_kind, largest) in compare(kinds) {
            let shares: Vec<String> =
                by_kind.iter().chain([&largest]).map(|o| format!("{:.3}", o.in_time_share())).collect();
            println!("{name} {} earned {:.3} of {}", shares.join(" "), by_kind[2].earned_share(), largest.all);
        }
    }
    load.reverse();
}
