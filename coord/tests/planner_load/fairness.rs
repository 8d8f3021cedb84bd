//! Simulates one workspace that sends far more than there is room for, beside five that send as usual.

use std::time::Duration;

use coord::planner::{Features, Policy};

use crate::common::profile;
use crate::mix::{Distribution, PromptKind};
use crate::play::{Outcomes, Simulation};

/// Workspaces by kind of prompt; the first one is the one that may be busy.
const WORKSPACES: [&str; 6] = ["busy", "a", "b", "c", "d", "e"];
/// Largest loss of in-time service of the other workspaces beside the busy one.
const MAX_LOSS: f64 = 0.02;

/// Returns the arrivals of the busy workspace, which after some seconds grow to ten times the usual.
fn surge(second: f64) -> f64 {
    if second < 5.0 { 22.0 } else { 220.0 }
}

/// Returns one kind of short prompts for each workspace. There is room for about twice what all of them usually send.
fn prompts(busy_arrivals_per_s: fn(f64) -> f64) -> Vec<PromptKind> {
    let of_workspace = |arrivals_per_s| PromptKind {
        arrivals_per_s,
        prompts: Distribution::Uniform(1_000..9_000),
        first_event_target_ms: 500,
        gap_target_ms: 400.0,
        events: Distribution::Constant(24),
    };
    let others = (1..WORKSPACES.len()).map(|_| of_workspace(|_| 22.0));
    std::iter::once(of_workspace(busy_arrivals_per_s)).chain(others).collect()
}

/// Simulates the load; returns the results by workspace.
fn simulate(kinds: &[PromptKind], has_fair_shares: bool, change: fn(&mut Simulation)) -> Vec<Outcomes> {
    let mut totals = vec![Outcomes::default(); kinds.len()];
    for seed in 1..=2 {
        let mut simulation = Simulation::new(Policy::default(), profile(10, 73), seed);
        simulation.set_features(Features { fair_shares: has_fair_shares, ..Features::default() });
        simulation.workspaces = WORKSPACES.to_vec();
        change(&mut simulation);
        let (by_kind, _) = simulation.run(kinds, Duration::from_secs(20), u64::MAX);
        totals.iter_mut().zip(by_kind).for_each(|(total, outcomes)| total.add(outcomes));
    }
    totals
}

fn calm() -> Vec<Outcomes> {
    simulate(&prompts(|_| 22.0), true, |_| {})
}

/// Asserts that the others are served as in the calm.
fn assert_others_unharmed(outcomes: &[Outcomes]) {
    for (outcomes, calm) in outcomes.iter().zip(calm()).skip(1) {
        let (share, calm_share) = (outcomes.in_time_share(), calm.in_time_share());
        assert!(share >= calm_share - MAX_LOSS, "{share:.3} in time, {calm_share:.3} in the calm");
    }
}

/// Returns the value of all answers. Without shares the cheapest prompts of all go first, so that answers are smaller.
fn earned(outcomes: &[Outcomes]) -> f64 {
    outcomes.iter().map(|outcomes| outcomes.earned).sum()
}

#[test]
fn beside_a_workspace_at_ten_times_its_usual_the_others_stay_in_time_and_all_room_is_used() {
    let kinds = prompts(surge);
    let fair = simulate(&kinds, true, |_| {});
    let unfair = simulate(&kinds, false, |_| {});
    assert_others_unharmed(&fair);
    let (earned, earned_without) = (earned(&fair), earned(&unfair));
    assert!(earned >= earned_without, "{earned:.0} earned in place of {earned_without:.0}");
}

#[test]
fn beside_a_workspace_that_repeats_each_refusal_three_times_the_others_stay_in_time() {
    assert_others_unharmed(&simulate(&prompts(surge), true, |simulation| simulation.repeating = Some((0, 3))));
}

#[test]
fn after_a_handover_to_a_new_planner_the_others_stay_in_time() {
    assert_others_unharmed(&simulate(&prompts(surge), true, |simulation| simulation.schedule_handover(8.0)));
}

#[test]
fn with_room_for_all_shares_change_nothing() {
    let kinds = prompts(|_| 44.0);
    let [with, without] = [true, false].map(|is_fair| simulate(&kinds, is_fair, |_| {}));
    assert_eq!(format!("{with:?}"), format!("{without:?}"));
}
