//! Simulates a mix of prompts that alternates between short and long ones every few seconds.

use std::sync::Arc;
use std::time::Duration;

use coord::engine::Figures;
use coord::planner::Policy;

use crate::mix::{Count, Kind};
use crate::play::{Play, Served};

/// Returns engines with a large model, where attention dominates the cost of long prompts.
fn figures() -> Arc<Figures> {
    Arc::new(Figures {
        slots: 12,
        memory: 344_250,
        stride: 38,
        step_ms: 1.31,
        per_writer_ms: 0.000917,
        per_context_ms: 0.00213,
        read_per_ms: 154.0,
        pairs_ms: 0.162,
        chunk: 2_048,
        hop_ms: 0.1,
    })
}

/// Time for which the mix stays the same, in seconds.
const TURN_S: f64 = 9.5;

fn is_short_turn(second: f64) -> bool {
    ((second / TURN_S) as u64).is_multiple_of(2)
}

/// Alternates between 2.4 times the rate of short prompts with hardly any of the longest, and few short ones with 2.7
/// times the rate of the longest.
fn mix() -> [Kind; 3] {
    [
        Kind {
            per_s: |second| if is_short_turn(second) { 171.0 } else { 21.0 },
            prompts: Count::Skewed(4_960.0, 0.9, 23_800.0),
            aim_ms: 300,
            gap_ms: 250.0,
            events: Count::Skewed(35.7, 0.7, 89.0),
        },
        Kind {
            per_s: |second| if is_short_turn(second) { 4.3 } else { 11.3 },
            prompts: Count::Skewed(45_000.0, 0.5, 110_000.0),
            aim_ms: 1_500,
            gap_ms: 600.0,
            events: Count::Skewed(21.4, 0.6, 53.0),
        },
        Kind {
            per_s: |second| if is_short_turn(second) { 0.08 } else { 4.4 },
            prompts: Count::Skewed(260_000.0, 0.55, 900_000.0),
            aim_ms: 4_000,
            gap_ms: 1_000.0,
            events: Count::Skewed(17.8, 0.5, 44.0),
        },
    ]
}

/// Fault of some of the 60 engines, or of the entries.
#[derive(Clone, Copy)]
enum Fault {
    None,
    /// The given number of engines is slow by the given factor.
    Slow(usize, f64),
    /// Like `Slow`, with the slowdown reported to the planner.
    SlowAndTold(usize, f64),
    /// All entries lose power at the given time, in seconds.
    Loss(f64),
}

/// Returns the results by kind of prompt, summed over several seeds.
fn played(policy: Policy, fault: Fault) -> Vec<Served> {
    let kinds = mix();
    let mut sums = vec![Served::default(); kinds.len()];
    for seed in 1..=3 {
        let mut play = Play::new(policy, figures(), seed);
        match fault {
            Fault::None => {}
            Fault::Slow(engines, pace) => play.slow = (0..engines, pace),
            Fault::SlowAndTold(engines, pace) => {
                play.slow = (0..engines, pace);
                play.tell_pace();
            }
            Fault::Loss(second) => play.lose_power_at(second, Duration::from_secs(2)),
        }
        let (served, _) = play.run(&kinds, Duration::from_secs(35), u64::MAX);
        sums.iter_mut().zip(served).for_each(|(sum, one)| sum.add(one));
    }
    sums
}

/// Returns the earned share of the value for short, middle and longest prompts.
fn worth(policy: Policy, fault: Fault) -> [f64; 3] {
    let served = played(policy, fault);
    [served[0].worth(), served[1].worth(), served[2].worth()]
}

#[test]
fn while_the_mix_turns_over_all_kinds_are_in_time_since_short_prompts_share_few_engines() {
    let with = worth(Policy::default(), Fault::None);
    let without = worth(Policy { packing: false, ..Policy::default() }, Fault::None);
    assert!(with.iter().all(|worth| *worth >= 0.92), "{with:?}");
    assert!(with[2] >= without[2] + 0.05, "{with:?} and {without:?}");
}

#[test]
fn engines_that_tell_that_they_are_slow_hold_nobody_up() {
    for (engines, pace) in [(7, 3.4), (15, 2.0)] {
        let told = worth(Policy::default(), Fault::SlowAndTold(engines, pace));
        let untold = worth(Policy::default(), Fault::Slow(engines, pace));
        assert!(told[0] >= untold[0] + 0.02, "short prompts: {told:?} and {untold:?}");
        assert!(told[1] >= untold[1], "middle ones: {told:?} and {untold:?}");
        // Some 100 prompts of this kind are simulated, and each accounts for 0.01 to 0.04 of the value.
        assert!(told[2] + 0.05 >= untold[2], "the longest: {told:?} and {untold:?}");
    }
}

#[test]
fn after_a_loss_of_all_entries_those_who_come_back_are_served() {
    // The loss occurs in a burst of short prompts: some 700 callers retry within 0.4 s at engines that still decode
    // for lost callers. Interrupted prompts, and short prompts that found no entry, are late in any case.
    let [short, middle, longest] = worth(Policy::default(), Fault::Loss(27.0));
    assert!(short >= 0.8 && middle >= 0.9 && longest >= 0.8, "{short:.3} {middle:.3} {longest:.3}");
}
