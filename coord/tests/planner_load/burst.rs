//! Simulates a burst of long prompts, without faults and with engines that are slow, hang or lose answers.

use std::time::Duration;

use coord::planner::Policy;

use crate::common::figures;
use crate::mix::{Count, Kind};
use crate::play::{Play, Served};

/// Returns a load with many long prompts and few short ones.
fn long_burst() -> [Kind; 3] {
    [
        Kind {
            per_s: |_| 32.0,
            prompts: Count::Even(1_000..9_000),
            aim_ms: 300,
            gap_ms: 250.0,
            events: Count::Just(24),
        },
        Kind {
            per_s: |_| 10.0,
            prompts: Count::Even(20_000..70_000),
            aim_ms: 1_500,
            gap_ms: 600.0,
            events: Count::Just(15),
        },
        Kind {
            per_s: |_| 6.5,
            prompts: Count::Even(100_000..650_000),
            aim_ms: 4_000,
            gap_ms: 1_000.0,
            events: Count::Just(12),
        },
    ]
}

/// Simulates the load with the engines `slow.0` slowed down by the factor `slow.1`, or with a share `lost` of the
/// answers lost. Returns the results by kind of prompt.
fn played_with_faults(policy: Policy, kinds: &[Kind], slow: (std::ops::Range<usize>, f64), lost: f64) -> Vec<Served> {
    let mut sums = vec![Served::default(); kinds.len()];
    for seed in 1..=4 {
        let mut play = Play::new(policy, figures(10, 73), seed);
        play.slow = slow.clone();
        play.lost = lost;
        let (served, _) = play.run(kinds, Duration::from_secs(20), u64::MAX);
        sums.iter_mut().zip(served).for_each(|(sum, one)| sum.add(one));
    }
    sums
}

/// Simulates the load; returns the results by kind of prompt, and those of prompts over 400,000 tokens.
fn played(policy: Policy, kinds: &[Kind]) -> (Vec<Served>, Served) {
    let mut sums = vec![Served::default(); kinds.len()];
    let mut large = Served::default();
    for seed in 1..=4 {
        let (served, largest) = Play::new(policy, figures(10, 73), seed).run(kinds, Duration::from_secs(20), 400_000);
        sums.iter_mut().zip(served).for_each(|(sum, one)| sum.add(one));
        large.add(largest);
    }
    (sums, large)
}

#[test]
fn in_a_burst_of_long_prompts_the_largest_are_served_where_helpers_write_nothing() {
    let kinds = long_burst();
    let (all, large) = played(Policy::default(), &kinds);
    let (all_without, large_without) =
        played(Policy { spare_writers: false, gather: false, ..Policy::default() }, &kinds);
    let (with, without) = (large.share(), large_without.share());
    assert!(with >= without + 0.05, "{with:.3} and {without:.3} of the largest in time");
    for (with, without) in all.iter().zip(&all_without) {
        assert!(with.share() + 0.02 >= without.share(), "{with:?} and {without:?}");
    }
}

#[test]
fn in_a_burst_that_lasts_callers_who_cannot_be_served_are_told_soon_and_the_others_lose_nothing() {
    let mut kinds = long_burst();
    kinds[2].per_s = |_| 16.0;
    let (all, _) = played(Policy::default(), &kinds);
    let (all_without, _) = played(Policy { refuse_early: false, ..Policy::default() }, &kinds);
    let (told, kept) = (all[2].mean_held_ms(), all_without[2].mean_held_ms());
    assert!(all[2].turned_away > 100, "there is too much to do: {all:?}");
    assert!(told <= kept * 0.6, "they wait {told:.0} ms in place of {kept:.0}");
    for (with, without) in all.iter().zip(&all_without) {
        assert!(with.share() + 0.02 >= without.share(), "{with:?} and {without:?}");
    }
}

#[test]
fn while_some_engines_are_slow_the_others_go_on_reading_in_teams() {
    let mut kinds = long_burst();
    kinds[2].per_s = |_| 3.0;
    // Resending is tested separately.
    let policy = Policy { second_sends: false, ..Policy::default() };
    let with = played_with_faults(policy, &kinds, (10..16, 3.0), 0.0);
    let without = played_with_faults(Policy { mute_only: false, ..policy }, &kinds, (10..16, 3.0), 0.0);
    let (long, long_without) = (with[2].share(), without[2].share());
    assert!(long >= long_without + 0.02, "{long:.3} and {long_without:.3} of the longest in time");
    for (with, without) in with.iter().zip(&without) {
        assert!(with.share() + 0.02 >= without.share(), "{with:?} and {without:?}");
    }
}

#[test]
fn while_engines_hang_prompts_that_are_silent_are_in_time_elsewhere() {
    let mut kinds = long_burst();
    kinds[2].per_s = |_| 3.0;
    let hanging = (10..14, 1_000.0);
    let with = played_with_faults(Policy::default(), &kinds, hanging.clone(), 0.0);
    let without = played_with_faults(Policy { second_sends: false, ..Policy::default() }, &kinds, hanging, 0.0);
    for (with, without) in with.iter().zip(&without) {
        assert!(with.share() >= without.share() + 0.03, "{with:?} and {without:?}");
    }
    assert!(with[1].share() >= 0.96 && with[2].share() >= 0.94, "{with:?}");
}

#[test]
fn while_answers_are_lost_prompts_that_are_silent_are_in_time_elsewhere() {
    let kinds = long_burst();
    let with = played_with_faults(Policy::default(), &kinds, (0..0, 1.0), 0.15);
    let without = played_with_faults(Policy { second_sends: false, ..Policy::default() }, &kinds, (0..0, 1.0), 0.15);
    assert!(with[1].share() >= without[1].share() + 0.03, "{with:?} and {without:?}");
    for (with, without) in with.iter().zip(&without) {
        assert!(with.share() + 0.01 >= without.share(), "{with:?} and {without:?}");
    }
}
