//! Simulates a burst of long prompts, without faults and with engines that are slow, hang or lose answers.

use std::time::Duration;

use coord::planner::Policy;

use crate::common::profile;
use crate::mix::{Distribution, PromptKind};
use crate::play::{Outcomes, Simulation};

/// Returns a load with many long prompts and few short ones.
fn long_burst() -> [PromptKind; 3] {
    [
        PromptKind {
            arrivals_per_s: |_| 32.0,
            prompts: Distribution::Uniform(1_000..9_000),
            first_event_target_ms: 300,
            gap_target_ms: 250.0,
            events: Distribution::Constant(24),
        },
        PromptKind {
            arrivals_per_s: |_| 10.0,
            prompts: Distribution::Uniform(20_000..70_000),
            first_event_target_ms: 1_500,
            gap_target_ms: 600.0,
            events: Distribution::Constant(15),
        },
        PromptKind {
            arrivals_per_s: |_| 6.5,
            prompts: Distribution::Uniform(100_000..650_000),
            first_event_target_ms: 4_000,
            gap_target_ms: 1_000.0,
            events: Distribution::Constant(12),
        },
    ]
}

/// Simulates the load with the engines `slow.0` slowed down by the factor `slow.1`, or with a `lost_share` of the
/// answers lost. Returns the results by kind of prompt.
fn simulate_with_faults(
    policy: Policy,
    kinds: &[PromptKind],
    slow: (std::ops::Range<usize>, f64),
    lost_share: f64,
) -> Vec<Outcomes> {
    let mut totals = vec![Outcomes::default(); kinds.len()];
    for seed in 1..=4 {
        let mut simulation = Simulation::new(policy, profile(10, 73), seed);
        simulation.slow = slow.clone();
        simulation.lost_share = lost_share;
        let (by_kind, _) = simulation.run(kinds, Duration::from_secs(20), u64::MAX);
        totals.iter_mut().zip(by_kind).for_each(|(total, outcomes)| total.add(outcomes));
    }
    totals
}

/// Simulates the load; returns the results by kind of prompt, and those of prompts over 400,000 tokens.
fn simulate(policy: Policy, kinds: &[PromptKind]) -> (Vec<Outcomes>, Outcomes) {
    let mut totals = vec![Outcomes::default(); kinds.len()];
    let mut largest = Outcomes::default();
    for seed in 1..=4 {
        let (by_kind, of_largest) =
            Simulation::new(policy, profile(10, 73), seed).run(kinds, Duration::from_secs(20), 400_000);
        totals.iter_mut().zip(by_kind).for_each(|(total, outcomes)| total.add(outcomes));
        largest.add(of_largest);
    }
    (totals, largest)
}

#[test]
fn in_a_burst_of_long_prompts_idle_helpers_get_more_of_the_largest_in_time() {
    let kinds = long_burst();
    let (by_kind, largest) = simulate(Policy::default(), &kinds);
    let (by_kind_without, largest_without) =
        simulate(Policy { prefer_idle_helpers: false, colocate_long: false, ..Policy::default() }, &kinds);
    let (with, without) = (largest.in_time_share(), largest_without.in_time_share());
    assert!(with >= without + 0.05, "{with:.3} and {without:.3} of the largest in time");
    for (with, without) in by_kind.iter().zip(&by_kind_without) {
        assert!(with.in_time_share() + 0.02 >= without.in_time_share(), "{with:?} and {without:?}");
    }
}

#[test]
fn in_a_sustained_burst_hopeless_prompts_are_refused_soon_at_no_cost_to_others() {
    let mut kinds = long_burst();
    kinds[2].arrivals_per_s = |_| 16.0;
    let (by_kind, _) = simulate(Policy::default(), &kinds);
    let (by_kind_without, _) = simulate(Policy { refuse_early: false, ..Policy::default() }, &kinds);
    let (mean_hold_ms, mean_hold_ms_without) = (by_kind[2].mean_hold_ms(), by_kind_without[2].mean_hold_ms());
    assert!(by_kind[2].refused > 100, "the load exceeds the capacity: {by_kind:?}");
    assert!(
        mean_hold_ms <= mean_hold_ms_without * 0.6,
        "callers are held for {mean_hold_ms:.0} ms in place of {mean_hold_ms_without:.0}"
    );
    for (with, without) in by_kind.iter().zip(&by_kind_without) {
        assert!(with.in_time_share() + 0.02 >= without.in_time_share(), "{with:?} and {without:?}");
    }
}

#[test]
fn while_some_engines_are_slow_the_others_keep_prefilling_in_teams() {
    let mut kinds = long_burst();
    kinds[2].arrivals_per_s = |_| 3.0;
    // The effect of resending is tested separately.
    let policy = Policy { resend_unresponsive: false, ..Policy::default() };
    let with = simulate_with_faults(policy, &kinds, (10..16, 3.0), 0.0);
    let without =
        simulate_with_faults(Policy { suspect_unresponsive_only: false, ..policy }, &kinds, (10..16, 3.0), 0.0);
    let (long, long_without) = (with[2].in_time_share(), without[2].in_time_share());
    assert!(long >= long_without + 0.02, "{long:.3} and {long_without:.3} of the longest in time");
    for (with, without) in with.iter().zip(&without) {
        assert!(with.in_time_share() + 0.02 >= without.in_time_share(), "{with:?} and {without:?}");
    }
}

#[test]
fn while_engines_hang_unresponsive_prompts_are_in_time_on_other_engines() {
    let mut kinds = long_burst();
    kinds[2].arrivals_per_s = |_| 3.0;
    let hanging = (10..14, 1_000.0);
    let with = simulate_with_faults(Policy::default(), &kinds, hanging.clone(), 0.0);
    let without =
        simulate_with_faults(Policy { resend_unresponsive: false, ..Policy::default() }, &kinds, hanging, 0.0);
    for (with, without) in with.iter().zip(&without) {
        assert!(with.in_time_share() >= without.in_time_share() + 0.03, "{with:?} and {without:?}");
    }
    assert!(with[1].in_time_share() >= 0.96 && with[2].in_time_share() >= 0.94, "{with:?}");
}

#[test]
fn while_answers_are_lost_unresponsive_prompts_are_in_time_on_other_engines() {
    let kinds = long_burst();
    let with = simulate_with_faults(Policy::default(), &kinds, (0..0, 1.0), 0.15);
    let without =
        simulate_with_faults(Policy { resend_unresponsive: false, ..Policy::default() }, &kinds, (0..0, 1.0), 0.15);
    assert!(with[1].in_time_share() >= without[1].in_time_share() + 0.03, "{with:?} and {without:?}");
    for (with, without) in with.iter().zip(&without) {
        assert!(with.in_time_share() + 0.01 >= without.in_time_share(), "{with:?} and {without:?}");
    }
}
