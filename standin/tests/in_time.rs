//! Every admitted request finishes or fails within its time, and what it says of having run is true.

mod common;

use std::time::Duration;

use common::{close, pay, prompt, start, until};
use rustix::process::Signal;
use serde_json::json;
use standin::engine::model::Capacity;
use standin::fleet::Spec;

/// Time beyond a deadline that an answer may take on a busy machine.
const GRACE: Duration = Duration::from_millis(1_000);

fn one_engine(name: &str) -> Spec {
    Spec { engines: 1, services: 1, ..Spec::small(name) }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_on_a_frozen_engine_fails_within_its_time() {
    let fleet = start(one_engine("frozen-engine")).await;
    let mut prompt = prompt(1_000, 2_000, 1);
    prompt.deadline = Duration::from_secs(10);
    let (seen, ()) = tokio::join!(fleet.client.send_prompt(&fleet.entries[0], &prompt), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.inject_fault("market-advisor-0", &json!({ "freeze_ms": 30_000 })).await.expect("the fault is taken");
    });
    assert!(seen.failure.is_some(), "{seen:?}");
    assert!(seen.elapsed < prompt.deadline + GRACE, "{:?}", seen.elapsed);
    assert_eq!(seen.ran(), Some("partial"));
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_before_a_frozen_sidecar_fails_within_its_time() {
    let fleet = start(one_engine("frozen-sidecar")).await;
    fleet.signal("sidecar-market-advisor-0", Signal::STOP).expect("the sidecar is stopped");
    let mut prompt = prompt(1_000, 20, 1);
    prompt.deadline = Duration::from_secs(2);
    let seen = fleet.client.send_prompt(&fleet.entries[0], &prompt).await;
    assert!(seen.failure.is_some(), "{seen:?}");
    assert!(seen.elapsed < prompt.deadline + GRACE, "{:?}", seen.elapsed);
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_sidecar_is_passed_over_while_others_answer() {
    let fleet = start(Spec { engines: 2, ..one_engine("passed-over") }).await;
    fleet.signal("sidecar-market-advisor-0", Signal::STOP).expect("the sidecar is stopped");
    for seed in 0..10 {
        let prompt = prompt(1_000, 5, seed);
        let seen = fleet.client.send_prompt(&fleet.entries[0], &prompt).await;
        assert_eq!(seen.text, prompt.expected(), "{seen:?}");
    }
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_on_a_frozen_service_fails_within_its_time_as_unknown() {
    let fleet = start(one_engine("frozen-service")).await;
    fleet.inject_fault("stall-ledger-0", &json!({ "freeze_ms": 20_000 })).await.expect("the fault is taken");
    let deadline = Duration::from_millis(800);
    let seen = pay(&fleet, 0, None, deadline).await;
    assert_eq!((seen.status, seen.ran()), (504, Some("unknown")), "{seen:?}");
    assert!(seen.elapsed < deadline + GRACE);
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_never_started_is_told_as_not_run() {
    let engine_capacity = Capacity { slots: 1, ..Spec::small("").engine_capacity };
    // Estimates far too good: the sidecar accepts what it then cannot start in time.
    let spec = Spec { engine_capacity, sidecar_settings: "short_share = 0.0\n".into(), ..one_engine("never-started") };
    let fleet = start(spec).await;
    let mut hog = prompt(1_000, 3_000, 1);
    hog.deadline = Duration::from_secs(60);
    let entry = fleet.entries[0].clone();
    let client = fleet.client.clone();
    let running = tokio::spawn(async move { client.send_prompt(&entry, &hog).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.inject_fault("market-advisor-0", &json!({ "freeze_ms": 3_000 })).await.expect("the fault is taken");
    let mut late = prompt(1_000, 1, 2);
    late.deadline = Duration::from_millis(900);
    let seen = fleet.client.send_prompt(&fleet.entries[1], &late).await;
    assert_eq!(seen.ran(), Some("no"), "{seen:?}");
    assert!(seen.elapsed < late.deadline + GRACE);
    running.abort();
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn what_cannot_finish_in_its_time_is_refused_at_once_with_when_to_come_back() {
    let fleet = start(one_engine("refused")).await;
    let mut prompt = prompt(390_000, 100, 1);
    prompt.deadline = Duration::from_millis(500);
    let seen = fleet.client.send_prompt(&fleet.entries[0], &prompt).await;
    assert_eq!((seen.status, seen.code(), seen.ran()), (503, "overloaded", Some("no")), "{seen:?}");
    assert!(seen.retry_after().is_some());
    assert!(seen.elapsed < Duration::from_millis(450), "{:?}", seen.elapsed);
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_frees_the_engine() {
    let fleet = start(one_engine("gone")).await;
    let entry = fleet.entries[0].clone();
    let client = fleet.client.clone();
    let asked = tokio::spawn(async move { client.send_prompt(&entry, &prompt(1_000, 4_000, 1)).await });
    until("the prompt runs", || async { fleet.reserved_tokens().await > 0 }).await;
    asked.abort();
    until("its memory is free", || async { fleet.reserved_tokens().await == 0 }).await;
    close(fleet).await;
}

/// Found by a soak: a claim waited for its partition's frozen writer beyond the call's time.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_writer_is_frozen_does_not_outlast_the_calls_time() {
    let fleet = start(Spec { entries: 3, ..one_engine("frozen-writer") }).await;
    fleet.signal("entry-1", Signal::STOP).expect("the entry is stopped");
    let deadline = Duration::from_millis(500);
    let calls = (0..16).map(|number| {
        let fleet = &fleet;
        async move { pay(fleet, 0, Some(&format!("frozen-writer-{number}")), deadline).await }
    });
    for seen in futures_util::future::join_all(calls).await {
        assert!(seen.status == 200 || seen.failure.is_some(), "{seen:?}");
        assert!(seen.elapsed < deadline + GRACE, "{seen:?}");
    }
    close(fleet).await;
}
