//! Simulates short prompts on engines in several failure domains, whose passes take longer than their profile tells.

use std::time::Duration;

use coord::planner::Policy;

use crate::mix::PromptKind;
use crate::play::{Outcomes, Simulation};
use crate::turnover::{alternating_mix, large_model_profile};

/// One-way delay between two failure domains.
const ONE_WAY: Duration = Duration::from_micros(5_400);
/// Largest share by which a pass takes longer than its profile tells.
const PASS_NOISE: f64 = 0.25;

/// Returns a calm load, which leaves half of the engines idle.
fn calm_mix() -> [PromptKind; 3] {
    let [mut short, mut middle, mut longest] = alternating_mix();
    short.arrivals_per_s = |_| 80.0;
    middle.arrivals_per_s = |_| 5.0;
    longest.arrivals_per_s = |_| 1.5;
    [short, middle, longest]
}

/// Returns the results by kind of prompt, summed over several seeds.
fn simulate(kinds: &[PromptKind], is_spreading: bool) -> Vec<Outcomes> {
    let mut totals = vec![Outcomes::default(); kinds.len()];
    for seed in 1..=6 {
        let mut simulation = Simulation::new(Policy::default(), large_model_profile(), seed);
        simulation.pass_noise = PASS_NOISE;
        simulation.set_distance(ONE_WAY);
        if is_spreading {
            simulation.enable_spreading();
        }
        let (by_kind, _) = simulation.run(kinds, Duration::from_secs(35), u64::MAX);
        totals.iter_mut().zip(by_kind).for_each(|(total, outcomes)| total.add(outcomes));
    }
    totals
}

#[test]
fn in_the_calm_hardly_any_short_prompt_is_late() {
    let short = simulate(&calm_mix(), true)[0];
    let late_share = 1.0 - short.in_time_share();
    assert!(late_share <= 0.05, "{late_share:.3} of the short prompts late");
}

#[test]
fn while_the_mix_alternates_spreading_helps_short_prompts_at_no_cost_to_the_longest() {
    let kinds = alternating_mix();
    let (with, without) = (simulate(&kinds, true), simulate(&kinds, false));
    let [short, _, longest] = [0, 1, 2].map(|kind| with[kind].earned_share());
    let [short_without, _, longest_without] = [0, 1, 2].map(|kind| without[kind].earned_share());
    assert!(short > short_without, "{short:.3} and {short_without:.3} of the short prompts' value");
    assert!(longest + 0.02 >= longest_without, "{longest:.3} and {longest_without:.3} of the longest prompts' value");
}
