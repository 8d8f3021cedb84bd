//! Checks that the planner makes the same decisions as the reference implementation for random sequences of events.

mod common;
mod plain;

use std::collections::BTreeSet;
use std::time::Duration;

use common::profile;
use coord::name::Name;
use coord::planner::{Grant, Id, Job, Planner, Policy, Team};
use coord::time::Moment;
use proptest::prelude::*;

/// Both planners, driven by the same events.
struct PlannerPair {
    planner: Planner,
    reference: plain::Planner,
    running: Vec<Id>,
}

impl PlannerPair {
    fn new(policy: Policy) -> Self {
        // The reference implementation does not support these settings.
        let supported =
            Policy { prefer_idle_helpers: false, colocate_long: false, suspect_unresponsive_only: false, ..policy };
        let policy = Policy { resend_unresponsive: false, relax_exclusions: false, ..supported };
        Self { planner: Planner::new(policy, 7), reference: plain::Planner::new(policy, 7), running: Vec::new() }
    }

    fn set_engines(&mut self, engines: &BTreeSet<Name>, slots: u32) {
        self.planner.set_engines(engines.iter().map(|name| (name.clone(), profile(slots, 46))));
        self.reference.set_engines(engines.iter().map(|name| (name.clone(), profile(slots, 46))));
    }

    fn end(&mut self, id: Id, now: Moment) {
        self.running.retain(|running| *running != id);
        self.planner.finish(id, now);
        self.reference.finish(id, now);
    }

    fn pump(&mut self, now: Moment) -> Result<Vec<Grant>, TestCaseError> {
        let planner = self.planner.grant_ready(now);
        let reference = self.reference.grant_ready(now);
        prop_assert_eq!(&planner, &reference);
        prop_assert_eq!(self.planner.has_waiting(), self.reference.has_waiting());
        self.running.extend(planner.iter().map(|grant| grant.id));
        Ok(planner)
    }
}

fn job(prompt_tokens: u64, urgency: u64, now: Moment) -> Job {
    let (first_event_target_ms, gap_target_ms, timeout) = match prompt_tokens {
        0..30_000 => (300, if urgency.is_multiple_of(7) { 0.0 } else { 200.0 }, 2_000),
        30_000..120_000 => (1_500, 500.0, 6_000),
        _ => (3_000, 800.0, 12_000),
    };
    let millis = Duration::from_millis;
    let elapsed = millis(urgency * 40);
    Job {
        prompt_tokens,
        max_output_tokens: 500 + urgency * 100,
        first_event_target: now + millis(first_event_target_ms) - elapsed,
        gap_target_ms,
        deadline: now + millis(timeout) - elapsed,
        priority: 1 + (urgency % 5 / 4) as u32,
        fingerprint: None,
        workspace: None,
    }
}

#[derive(Clone, Debug)]
enum Step {
    Submit { prompt: u64, urgency: u64, entry: u64 },
    Adopt { prompt: u64, writer: usize, helpers: usize, is_prefilling: bool },
    FirstEvent(prop::sample::Index),
    End(prop::sample::Index),
    Fail { entry: u64, engine: usize },
    RemoveEngine(usize),
    ReturnEngine(usize),
    RemoveEntry(u64),
    BeginSettling,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let submit = |prompts: std::ops::Range<u64>| {
        (prompts, 0..12u64, 0..4u64).prop_map(|(prompt, urgency, entry)| Step::Submit { prompt, urgency, entry })
    };
    prop_oneof![
        9 => submit(1_000..25_000),
        4 => submit(25_000..110_000),
        2 => submit(110_000..1_000_000),
        1 => (1_000..400_000u64, 0..24usize, 0..9usize, any::<bool>())
            .prop_map(|(prompt, writer, helpers, is_prefilling)| Step::Adopt { prompt, writer, helpers, is_prefilling }),
        6 => any::<prop::sample::Index>().prop_map(Step::FirstEvent),
        4 => any::<prop::sample::Index>().prop_map(Step::End),
        1 => (0..4u64, 0..24usize).prop_map(|(entry, engine)| Step::Fail { entry, engine }),
        1 => (0..24usize).prop_map(Step::RemoveEngine),
        1 => (0..24usize).prop_map(Step::ReturnEngine),
        1 => (0..4u64).prop_map(Step::RemoveEntry),
        1 => Just(Step::BeginSettling),
        4 => (0..300u64).prop_map(Step::Wait),
    ]
}

fn name(engine: usize) -> Name {
    format!("engine-{engine:02}").into()
}

fn check_same_grants(policy: Policy, count: usize, slots: u32, steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut pair = PlannerPair::new(policy);
    let mut engines: BTreeSet<Name> = (0..count).map(name).collect();
    pair.set_engines(&engines, slots);
    let mut now = Moment::from_millis(10_000);
    for (number, step) in steps.into_iter().enumerate() {
        let number = number as u64;
        match step {
            Step::Submit { prompt, urgency, entry } => {
                let id = Id { entry, number };
                let job = job(prompt, urgency, now);
                pair.planner.submit(id, job);
                pair.reference.submit(id, job);
            }
            Step::Adopt { prompt, writer, helpers, is_prefilling } => {
                let helper = |index| coord::planner::Helper { engine: name((writer + index) % 24), held_tokens: 0 };
                let team = Team { decoder: name(writer), helpers: (1..=helpers).map(helper).collect() };
                // The reference implementation also counts removed engines among the half-open ones.
                if !team.engines().all(|engine| engines.contains(engine)) {
                    continue;
                }
                let id = Id { entry: 9, number };
                let job = job(prompt, 0, now);
                pair.planner.add_granted(id, &job, team.clone(), is_prefilling, now);
                pair.reference.add_granted(id, &job, team, is_prefilling, now);
                pair.running.push(id);
            }
            Step::FirstEvent(index) if !pair.running.is_empty() => {
                let id = *index.get(&pair.running);
                pair.planner.record_first_event(id, now);
                pair.reference.record_first_event(id, now);
            }
            Step::End(index) if !pair.running.is_empty() => {
                let id = *index.get(&pair.running);
                pair.end(id, now);
            }
            Step::Fail { entry, engine } => {
                pair.planner.record_failure(entry, &name(engine), now);
                pair.reference.record_failure(entry, &name(engine), now);
            }
            Step::RemoveEngine(engine) if engines.len() > 1 => {
                engines.remove(&name(engine));
                pair.set_engines(&engines, slots);
                // Jobs on a removed engine end, as they do for their entries.
                for id in std::mem::take(&mut pair.running) {
                    pair.end(id, now);
                }
            }
            Step::ReturnEngine(engine) if engine < count => {
                engines.insert(name(engine));
                pair.set_engines(&engines, slots);
            }
            Step::RemoveEntry(entry) => {
                pair.running.retain(|id| id.entry != entry);
                pair.planner.remove_entry(entry, now);
                pair.reference.remove_entry(entry, now);
            }
            Step::BeginSettling => {
                pair.planner.begin_settling(now);
                pair.reference.begin_settling(now);
            }
            Step::Wait(millis) => now = now + Duration::from_millis(millis),
            _ => {}
        }
        // Pumping only every third step makes the planners handle several events at once.
        if number.is_multiple_of(3) {
            pair.pump(now)?;
        }
    }
    pair.pump(now)?;
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_grant_is_that_of_the_plain_planner(
        count in 1..24usize,
        slots in 4..17u32,
        steps in prop::collection::vec(step(), 1..250),
    ) {
        check_same_grants(Policy::default(), count, slots, steps)?;
    }

    #[test]
    fn every_grant_matches_under_other_policies(
        flags in prop::collection::vec(any::<bool>(), 6),
        count in 1..24usize,
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let policy = Policy {
            cheapest_first: flags[0],
            late_last: flags[1],
            late_shared: flags[2],
            packing: flags[3],
            shared_memory: flags[4],
            suspect_slow: flags[5],
            ..Policy::default()
        };
        check_same_grants(policy, count, 10, steps)?;
    }
}
