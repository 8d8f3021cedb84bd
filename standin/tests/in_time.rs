//! Every admitted request completes or fails within its deadline, and its reported run state is true.

mod common;

use std::time::Duration;

use common::{close_fleet, post_payment, prompt, start_fleet, wait_until};
use rustix::process::Signal;
use serde_json::json;
use standin::engine::model::Capacity;
use standin::fleet::Spec;

/// Tolerance beyond a deadline for an answer on a busy machine.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(1_000);

fn one_engine_spec(name: &str) -> Spec {
    Spec { engines: 1, services: 1, ..Spec::small(name) }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_on_a_suspended_engine_fails_within_its_deadline() {
    let fleet = start_fleet(one_engine_spec("frozen-engine")).await;
    let mut prompt = prompt(1_000, 2_000, 1);
    prompt.deadline = Duration::from_secs(10);
    let (outcome, ()) = tokio::join!(fleet.client.send_prompt(&fleet.entries[0], &prompt), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.inject_fault("market-advisor-0", &json!({ "freeze_ms": 30_000 })).await.expect("the fault is taken");
    });
    assert!(outcome.failure.is_some(), "{outcome:?}");
    assert!(outcome.elapsed < prompt.deadline + DEADLINE_TOLERANCE, "{:?}", outcome.elapsed);
    assert_eq!(outcome.ran(), Some("partial"));
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_to_a_suspended_sidecar_fails_within_its_deadline() {
    let fleet = start_fleet(one_engine_spec("frozen-sidecar")).await;
    fleet.signal("sidecar-market-advisor-0", Signal::STOP).expect("the sidecar is stopped");
    let mut prompt = prompt(1_000, 20, 1);
    prompt.deadline = Duration::from_secs(2);
    let outcome = fleet.client.send_prompt(&fleet.entries[0], &prompt).await;
    assert!(outcome.failure.is_some(), "{outcome:?}");
    assert!(outcome.elapsed < prompt.deadline + DEADLINE_TOLERANCE, "{:?}", outcome.elapsed);
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_sidecar_is_bypassed_while_others_answer() {
    let fleet = start_fleet(Spec { engines: 2, ..one_engine_spec("passed-over") }).await;
    fleet.signal("sidecar-market-advisor-0", Signal::STOP).expect("the sidecar is stopped");
    for seed in 0..10 {
        let prompt = prompt(1_000, 5, seed);
        let outcome = fleet.client.send_prompt(&fleet.entries[0], &prompt).await;
        assert_eq!(outcome.text, prompt.expected(), "{outcome:?}");
    }
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_on_a_suspended_service_fails_within_its_deadline_as_unknown() {
    let fleet = start_fleet(one_engine_spec("frozen-service")).await;
    fleet.inject_fault("stall-ledger-0", &json!({ "freeze_ms": 20_000 })).await.expect("the fault is taken");
    let deadline = Duration::from_millis(800);
    let outcome = post_payment(&fleet, 0, None, deadline).await;
    assert_eq!((outcome.status, outcome.ran()), (504, Some("unknown")), "{outcome:?}");
    assert!(outcome.elapsed < deadline + DEADLINE_TOLERANCE);
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_never_started_is_reported_as_not_run() {
    let engine_capacity = Capacity { slots: 1, ..Spec::small("").engine_capacity };
    // The estimates are far too optimistic, so the sidecar accepts a job that it cannot start before its deadline.
    let spec =
        Spec { engine_capacity, sidecar_settings: "short_share = 0.0\n".into(), ..one_engine_spec("never-started") };
    let fleet = start_fleet(spec).await;
    let mut long_prompt = prompt(1_000, 3_000, 1);
    long_prompt.deadline = Duration::from_secs(60);
    let entry = fleet.entries[0].clone();
    let client = fleet.client.clone();
    let pending = tokio::spawn(async move { client.send_prompt(&entry, &long_prompt).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.inject_fault("market-advisor-0", &json!({ "freeze_ms": 3_000 })).await.expect("the fault is taken");
    let mut short_deadline_prompt = prompt(1_000, 1, 2);
    short_deadline_prompt.deadline = Duration::from_millis(900);
    let outcome = fleet.client.send_prompt(&fleet.entries[1], &short_deadline_prompt).await;
    assert_eq!(outcome.ran(), Some("no"), "{outcome:?}");
    assert!(outcome.elapsed < short_deadline_prompt.deadline + DEADLINE_TOLERANCE);
    pending.abort();
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_that_cannot_meet_its_deadline_is_refused_at_once_with_retry_after() {
    let fleet = start_fleet(one_engine_spec("refused")).await;
    let mut prompt = prompt(390_000, 100, 1);
    prompt.deadline = Duration::from_millis(500);
    let outcome = fleet.client.send_prompt(&fleet.entries[0], &prompt).await;
    assert_eq!((outcome.status, outcome.code(), outcome.ran()), (503, "overloaded", Some("no")), "{outcome:?}");
    assert!(outcome.retry_after().is_some());
    assert!(outcome.elapsed < Duration::from_millis(450), "{:?}", outcome.elapsed);
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_client_disconnect_frees_the_engine() {
    let fleet = start_fleet(one_engine_spec("gone")).await;
    let entry = fleet.entries[0].clone();
    let client = fleet.client.clone();
    let pending = tokio::spawn(async move { client.send_prompt(&entry, &prompt(1_000, 4_000, 1)).await });
    wait_until("the prompt runs", || async { fleet.reserved_tokens().await > 0 }).await;
    pending.abort();
    wait_until("its memory is free", || async { fleet.reserved_tokens().await == 0 }).await;
    close_fleet(fleet).await;
}

/// Guards against a claim that waits for the suspended writer of its partition beyond the call's deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_writer_is_suspended_ends_within_the_deadline() {
    let fleet = start_fleet(Spec { entries: 3, ..one_engine_spec("frozen-writer") }).await;
    fleet.signal("entry-1", Signal::STOP).expect("the entry is stopped");
    let deadline = Duration::from_millis(500);
    let calls = (0..16).map(|number| {
        let fleet = &fleet;
        async move { post_payment(fleet, 0, Some(&format!("frozen-writer-{number}")), deadline).await }
    });
    for outcome in futures_util::future::join_all(calls).await {
        assert!(outcome.status == 200 || outcome.failure.is_some(), "{outcome:?}");
        assert!(outcome.elapsed < deadline + DEADLINE_TOLERANCE, "{outcome:?}");
    }
    close_fleet(fleet).await;
}
