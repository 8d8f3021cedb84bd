//! Simulates a mix of prompts that alternates between short and long ones every few seconds.

use std::sync::Arc;
use std::time::Duration;

use coord::engine::Profile;
use coord::planner::Policy;

use crate::mix::{Distribution, PromptKind};
use crate::play::{Outcomes, Simulation};

/// Returns the profile of engines with a large model, where attention dominates the prefill time of long prompts.
pub fn large_model_profile() -> Arc<Profile> {
    Arc::new(Profile {
        slots: 12,
        memory: 344_250,
        stride: 38,
        step_ms: 1.31,
        per_sequence_ms: 0.000917,
        per_context_ms: 0.00213,
        prefill_tokens_per_ms: 154.0,
        attention_ms_per_million_pairs: 0.162,
        chunk: 2_048,
        remote_prefill_step_ms: 0.1,
    })
}

/// Time for which the mix stays the same, in seconds.
const PHASE_S: f64 = 9.5;

pub fn is_short_phase(second: f64) -> bool {
    ((second / PHASE_S) as u64).is_multiple_of(2)
}

/// Returns a mix that alternates between two phases: 2.4 times the rate of short prompts with hardly any of the
/// longest, and few short prompts with 2.7 times the rate of the longest.
pub fn alternating_mix() -> [PromptKind; 3] {
    [
        PromptKind {
            arrivals_per_s: |second| if is_short_phase(second) { 171.0 } else { 21.0 },
            prompts: Distribution::LogNormal(4_960.0, 0.9, 23_800.0),
            first_event_target_ms: 300,
            gap_target_ms: 250.0,
            events: Distribution::LogNormal(35.7, 0.7, 89.0),
        },
        PromptKind {
            arrivals_per_s: |second| if is_short_phase(second) { 4.3 } else { 11.3 },
            prompts: Distribution::LogNormal(45_000.0, 0.5, 110_000.0),
            first_event_target_ms: 1_500,
            gap_target_ms: 600.0,
            events: Distribution::LogNormal(21.4, 0.6, 53.0),
        },
        PromptKind {
            arrivals_per_s: |second| if is_short_phase(second) { 0.08 } else { 4.4 },
            prompts: Distribution::LogNormal(260_000.0, 0.55, 900_000.0),
            first_event_target_ms: 4_000,
            gap_target_ms: 1_000.0,
            events: Distribution::LogNormal(17.8, 0.5, 44.0),
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
    SlowAndReported(usize, f64),
    /// All entries fail at the given time, in seconds.
    EntryOutage(f64),
}

/// Returns the results by kind of prompt, summed over several seeds.
fn simulate(policy: Policy, fault: Fault) -> Vec<Outcomes> {
    let kinds = alternating_mix();
    let mut totals = vec![Outcomes::default(); kinds.len()];
    for seed in 1..=3 {
        let mut simulation = Simulation::new(policy, large_model_profile(), seed);
        match fault {
            Fault::None => {}
            Fault::Slow(engines, slowdown) => simulation.slow = (0..engines, slowdown),
            Fault::SlowAndReported(engines, slowdown) => {
                simulation.slow = (0..engines, slowdown);
                simulation.report_slowdown();
            }
            Fault::EntryOutage(second) => simulation.schedule_outage(second, Duration::from_secs(2)),
        }
        let (by_kind, _) = simulation.run(&kinds, Duration::from_secs(35), u64::MAX);
        totals.iter_mut().zip(by_kind).for_each(|(total, outcomes)| total.add(outcomes));
    }
    totals
}

/// Returns the earned share of the value for the short, the middle and the longest prompts.
fn earned_shares(policy: Policy, fault: Fault) -> [f64; 3] {
    let by_kind = simulate(policy, fault);
    [by_kind[0].earned_share(), by_kind[1].earned_share(), by_kind[2].earned_share()]
}

#[test]
fn while_the_mix_alternates_packing_short_prompts_keeps_all_kinds_in_time() {
    let with = earned_shares(Policy::default(), Fault::None);
    let without = earned_shares(Policy { packing: false, ..Policy::default() }, Fault::None);
    assert!(with.iter().all(|share| *share >= 0.92), "{with:?}");
    assert!(with[2] >= without[2] + 0.05, "{with:?} and {without:?}");
}

#[test]
fn engines_that_report_a_slowdown_delay_no_other_prompts() {
    for (engines, slowdown) in [(7, 3.4), (15, 2.0)] {
        let reported = earned_shares(Policy::default(), Fault::SlowAndReported(engines, slowdown));
        let unreported = earned_shares(Policy::default(), Fault::Slow(engines, slowdown));
        assert!(reported[0] >= unreported[0] + 0.02, "short prompts: {reported:?} and {unreported:?}");
        assert!(reported[1] >= unreported[1], "middle ones: {reported:?} and {unreported:?}");
        // Only some 100 of the longest prompts are simulated, and each accounts for 0.01 to 0.04 of the value.
        assert!(reported[2] + 0.05 >= unreported[2], "the longest: {reported:?} and {unreported:?}");
    }
}

#[test]
fn after_an_outage_of_all_entries_retrying_callers_are_served() {
    // The outage begins in a burst of short prompts: some 700 callers retry within 0.4 s at engines that still decode
    // for the lost entries. Interrupted prompts, and short prompts that found no entry, are late in any case.
    let [short, middle, longest] = earned_shares(Policy::default(), Fault::EntryOutage(27.0));
    assert!(short >= 0.8 && middle >= 0.9 && longest >= 0.8, "{short:.3} {middle:.3} {longest:.3}");
}
