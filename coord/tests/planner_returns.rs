//! Tests of refusals by forecast, and of the promises to callers that return.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::profile;
use coord::planner::{Features, Id, Job, Planner, Policy, Promise, Refusal};
use coord::quarantine::Fingerprint;
use coord::time::Moment;
use proptest::prelude::*;

const START: Moment = Moment::from_millis(10_000);
/// Largest number of promises that a planner keeps.
const MAX_PROMISES: usize = 512;
/// Share of the remaining time that callers heed as a retry delay.
const HEEDED_SHARE: f64 = 1.0 / 3.0;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn planner(engines: usize) -> Planner {
    let mut planner = Planner::new(Policy::default(), 7);
    planner.set_features(Features { forecasts: true, ..Features::default() });
    planner.set_engines((0..engines).map(|index| (format!("engine-{index}").into(), profile(4, 46))));
    planner
}

/// Returns a short prompt whose answer takes some 0.8 s.
fn job(work: u8, now: Moment) -> Job {
    Job {
        prompt_tokens: 4_000,
        max_output_tokens: 800,
        first_event_target: now + millis(300),
        gap_target_ms: 250.0,
        deadline: now + millis(10_000),
        priority: 1,
        fingerprint: Some(Fingerprint([work; 16])),
        workspace: None,
    }
}

fn id(number: u64) -> Id {
    Id { entry: number % 3, number }
}

/// Submits prompts with the works 0 to `count` at once; returns the refusals within 100 ms.
fn submit_burst(planner: &mut Planner, count: u64) -> Vec<Refusal> {
    (0..count).for_each(|number| planner.submit(id(number), job(number as u8, START)));
    let mut refusals = Vec::new();
    for tick in 0..5 {
        let now = START + millis(20 * tick);
        planner.grant_ready(now);
        refusals.extend(planner.refuse(now));
    }
    refusals
}

/// Returns a planner after a burst, with the earliest promise.
fn planner_with_promise() -> (Planner, Promise) {
    let mut planner = planner(1);
    submit_burst(&mut planner, 12);
    let promise = planner.promises(START + millis(100)).first().copied().expect("a caller is told to return");
    (planner, promise)
}

/// Submits a cheaper newcomer and then a prompt with the work of the promise to an engine without a free slot; returns
/// which of them (1 or 2) is granted the next slot.
fn next_granted(planner: &mut Planner, work: &Job, now: Moment) -> Vec<u64> {
    (100..104).for_each(|number| planner.submit(id(number), job(99, now)));
    let running = planner.grant_ready(now);
    planner.submit(id(1), Job { prompt_tokens: 1_000, ..job(98, now) });
    planner.submit(id(2), Job { fingerprint: work.fingerprint, ..job(0, now) });
    assert!(planner.grant_ready(now).is_empty(), "all slots are taken");
    running.iter().for_each(|grant| planner.record_first_event(grant.id, now));
    planner.finish(running[0].id, now);
    planner.grant_ready(now).iter().map(|grant| grant.id.number).collect()
}

#[test]
fn in_the_first_moments_of_a_burst_hopeless_prompts_are_refused_and_others_wait() {
    let mut planner = planner(1);
    let refusals = submit_burst(&mut planner, 60);
    assert!(refusals.len() >= 40, "one engine serves 4 prompts at once: {} refused", refusals.len());
    let remaining = millis(10_000).mul_f64(HEEDED_SHARE);
    assert!(refusals.iter().all(|refusal| refusal.rejection.retry_after <= remaining), "{refusals:?}");
    assert!(refusals.iter().all(|refusal| refusal.rejection.forecast.is_some()), "{refusals:?}");
    let times: BTreeSet<Duration> = refusals
        .iter()
        .filter(|refusal| refusal.rejection.promise.is_some())
        .map(|refusal| refusal.rejection.retry_after)
        .collect();
    assert!(times.len() >= 3, "returns are spread over the capacity to come: {times:?}");
}

#[test]
fn while_an_engine_is_idle_no_prompt_is_refused() {
    let mut planner = planner(2);
    assert_eq!(submit_burst(&mut planner, 4), []);
}

#[test]
fn a_caller_that_returns_when_told_ranks_before_a_cheaper_newcomer() {
    let (_, promise) = planner_with_promise();
    let mut next = planner(1);
    next.add_promise(promise, START);
    assert_eq!(next_granted(&mut next, &promise.job, promise.due), [2]);
}

#[test]
fn a_caller_that_returns_too_early_ranks_as_a_newcomer_and_keeps_its_promise() {
    let (_, promise) = planner_with_promise();
    let early = promise.due - millis(200);
    let mut next = planner(1);
    next.add_promise(promise, START);
    assert_eq!(next_granted(&mut next, &promise.job, early), [1]);
    assert_eq!(next.promises(early).len(), 1);
}

#[test]
fn after_the_loss_of_a_planner_the_next_one_drops_expired_promises() {
    let (_, promise) = planner_with_promise();
    let mut next = planner(1);
    let after = promise.expires_at + millis(1);
    next.add_promise(promise, after);
    assert_eq!(next.promises(after), []);
    assert_eq!(next_granted(&mut next, &promise.job, after), [1]);
}

#[test]
fn a_promise_that_is_reported_again_after_its_use_is_not_renewed() {
    let (_, promise) = planner_with_promise();
    let mut next = planner(1);
    next.add_promise(promise, START);
    next.submit(id(50), Job { fingerprint: promise.job.fingerprint, ..job(0, promise.due) });
    assert_eq!(next.grant_ready(promise.due).len(), 1);
    next.add_promise(promise, promise.due);
    assert_eq!(next.promises(promise.due), []);
    assert_eq!(next.take_promise_counts().kept, 1);
}

#[test]
fn two_callers_with_the_same_work_have_a_promise_each() {
    let (_, promise) = planner_with_promise();
    let mut other = planner(1);
    // Another planner refused a second caller with the same work.
    other.set_engines([("engine-9".into(), profile(4, 46))]);
    let refusals = submit_burst(&mut other, 30);
    let second = refusals.iter().find_map(|refusal| refusal.rejection.promise).expect("a promise");
    let second = Promise { id: second, ..promise };
    let mut next = planner(1);
    next.add_promise(promise, START);
    next.add_promise(second, START);
    let expected = if second.id == promise.id { 1 } else { 2 };
    assert_eq!(next.promises(START).len(), expected);
    for number in 0..3 {
        next.submit(id(number), Job { fingerprint: promise.job.fingerprint, ..job(0, promise.due) });
    }
    next.grant_ready(promise.due);
    assert_eq!(next.take_promise_counts().kept, expected as u64);
    assert_eq!(next.promises(promise.due), []);
}

#[test]
fn a_grant_that_arrives_after_the_refusal_frees_its_engine_when_the_prompt_ends() {
    let (mut planner, promise) = planner_with_promise();
    let now = START + millis(120);
    let refused = id(u64::from(promise.job.fingerprint.expect("a fingerprint").0[0]));
    let team = coord::planner::Team { decoder: "engine-0".into(), helpers: Vec::new() };
    planner.add_granted(refused, &promise.job, team, true, now);
    planner.finish(refused, now);
    assert!(planner.promises(now).contains(&promise), "the caller still returns");
    assert!(planner.grant_ready(now).iter().all(|grant| grant.id != refused));
}

#[test]
fn a_returned_caller_that_rate_limits_refuse_counts_as_a_broken_promise() {
    let (_, promise) = planner_with_promise();
    let now = promise.due;
    let mut next = planner(1);
    next.add_promise(promise, START);
    next.set_limit(&"engine-0".into(), Some(0.1), 1.0, now);
    next.submit(id(1), Job { priority: 0, ..job(98, now) });
    next.submit(id(2), Job { fingerprint: promise.job.fingerprint, ..job(0, now) });
    assert_eq!(next.grant_ready(now), [], "the rate limit admits nothing now");
    let refusals = next.refuse(now);
    let refusal = refusals.iter().find(|refusal| refusal.id == id(2)).expect("there is no send for the second prompt");
    assert!(refusal.rejection.is_return, "{refusal:?}");
    assert_eq!(next.take_promise_counts().broken, 1);
    assert_eq!(next.promises(now), []);
}

#[derive(Clone, Debug)]
enum Step {
    Submit(u8),
    FirstEvent(prop::sample::Index),
    End(prop::sample::Index),
    Withdraw(prop::sample::Index),
    RemoveEntry(u64),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..24u8).prop_map(Step::Submit),
        2 => any::<prop::sample::Index>().prop_map(Step::FirstEvent),
        1 => any::<prop::sample::Index>().prop_map(Step::End),
        1 => any::<prop::sample::Index>().prop_map(Step::Withdraw),
        1 => (0..3u64).prop_map(Step::RemoveEntry),
        3 => (0..400u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn promises_are_bounded_and_no_prompt_is_both_granted_and_refused(steps in prop::collection::vec(step(), 1..300)) {
        let mut planner = planner(2);
        let (mut granted, mut refused) = (Vec::<Id>::new(), BTreeSet::new());
        let mut now = START;
        let mut settled = 0;
        let mut made = 0;
        for (number, step) in steps.into_iter().enumerate() {
            let pick = |index: &prop::sample::Index, ids: &[Id]| (!ids.is_empty()).then(|| *index.get(ids));
            match step {
                Step::Submit(work) => planner.submit(id(number as u64), job(work, now)),
                Step::FirstEvent(index) => pick(&index, &granted).into_iter().for_each(|id| planner.record_first_event(id, now)),
                Step::End(index) => pick(&index, &granted).into_iter().for_each(|id| planner.finish(id, now)),
                Step::Withdraw(index) => planner.finish(id(index.index(number + 1) as u64), now),
                Step::RemoveEntry(entry) => planner.remove_entry(entry, now),
                Step::Wait(ms) => now = now + millis(ms),
            }
            for grant in planner.grant_ready(now) {
                prop_assert!(!refused.contains(&grant.id), "{:?} was refused before", grant.id);
                granted.push(grant.id);
            }
            for Refusal { id, rejection } in planner.refuse(now) {
                prop_assert!(!granted.contains(&id) && refused.insert(id), "{id:?}");
                let heeded = millis(10_000).mul_f64(HEEDED_SHARE);
                prop_assert!(rejection.retry_after <= heeded, "{rejection:?}");
                prop_assert!(rejection.promise.is_none() || !rejection.retry_after.is_zero(), "{rejection:?}");
            }
            let standing = planner.promises(now);
            prop_assert!(standing.len() <= MAX_PROMISES);
            prop_assert!(standing.iter().all(|promise| promise.expires_at > now));
            let counts = planner.take_promise_counts();
            made += counts.made;
            settled += counts.kept + counts.broken + counts.expired;
            prop_assert!(settled <= made, "{settled} promises were settled, {made} made");
        }
    }
}
