//! The history checker rejects invalid histories and accepts the histories of a fleet.

mod common;

use std::time::{Duration, Instant};

use common::{close_fleet, post_payment, start_fleet};
use rustix::process::Signal;
use serde_json::json;
use standin::fleet::{Fleet, OPERATOR_KEY, Spec};
use standin::history::{AtMostOnce, CompletedCall, Confirm, IdempotentCall, PlannedItem, is_linearizable};

/// Builds a history from (called, returned, operation) tuples, with times in milliseconds.
fn history<O: Clone>(calls: &[(u64, u64, O)]) -> Vec<CompletedCall<O>> {
    let start = Instant::now();
    let instant_at = |millis| start + Duration::from_millis(millis);
    let call = |(called, returned, operation): &(u64, u64, O)| CompletedCall {
        called: instant_at(*called),
        returned: instant_at(*returned),
        operation: operation.clone(),
    };
    calls.iter().map(call).collect()
}

fn answered(text: &str) -> IdempotentCall {
    IdempotentCall::Answer(text.to_owned())
}

#[test]
fn valid_histories_are_accepted() {
    let repeated_answer = history(&[(0, 5, answered("1")), (3, 9, answered("1")), (10, 12, answered("1"))]);
    assert!(is_linearizable(&AtMostOnce, &repeated_answer));
    let refused_first = history(&[(0, 5, IdempotentCall::NotExecuted), (6, 9, answered("1"))]);
    assert!(is_linearizable(&AtMostOnce, &refused_first));
    let overlapping = history(&[(0, 9, answered("1")), (3, 5, IdempotentCall::NotExecuted)]);
    assert!(is_linearizable(&AtMostOnce, &overlapping));
    let unknown = history(&[(0, 5, IdempotentCall::Unknown), (6, 9, answered("1"))]);
    assert!(is_linearizable(&AtMostOnce, &unknown));
}

#[test]
fn invalid_histories_are_rejected() {
    let run_twice = history(&[(0, 5, answered("1")), (6, 9, answered("2"))]);
    assert!(!is_linearizable(&AtMostOnce, &run_twice));
    let run_twice_concurrently = history(&[(0, 5, answered("1")), (1, 4, answered("2"))]);
    assert!(!is_linearizable(&AtMostOnce, &run_twice_concurrently));
    let false_not_run = history(&[(0, 5, answered("1")), (6, 9, IdempotentCall::NotExecuted)]);
    assert!(!is_linearizable(&AtMostOnce, &false_not_run));
}

#[test]
fn racing_plans_are_distinguished_from_lost_updates() {
    let accepted = |base, revision| Confirm::Accepted { base, revision };
    let valid = history(&[(0, 9, accepted(0, 4)), (1, 8, Confirm::Conflict { base: 0, winner: 4 })]);
    assert!(is_linearizable(&PlannedItem, &valid));
    let lost_update = history(&[(0, 9, accepted(0, 4)), (1, 8, accepted(0, 5))]);
    assert!(!is_linearizable(&PlannedItem, &lost_update));
    let reverted = history(&[(0, 2, accepted(0, 9)), (3, 4, accepted(9, 5))]);
    assert!(!is_linearizable(&PlannedItem, &reverted));
    let wrong_winner = history(&[(0, 9, accepted(0, 4)), (1, 8, Confirm::Conflict { base: 0, winner: 3 })]);
    assert!(!is_linearizable(&PlannedItem, &wrong_winner));
}

async fn record_payment(fleet: &Fleet, entry: usize, key: &str) -> CompletedCall<IdempotentCall> {
    let called = Instant::now();
    let outcome = post_payment(fleet, entry, Some(key), Duration::from_secs(4)).await;
    let operation = match outcome.ran() {
        None if outcome.status == 200 => IdempotentCall::Answer(outcome.text.clone()),
        Some("no") => IdempotentCall::NotExecuted,
        _ => IdempotentCall::Unknown,
    };
    CompletedCall { called, returned: Instant::now(), operation }
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_under_one_key_are_at_most_once_while_the_log_and_sidecars_fail() {
    let fleet = start_fleet(Spec { engines: 1, ..Spec::small("history-once") }).await;
    for round in 0..8u64 {
        let key = format!("key-{round}");
        let calls = (0..10u64).map(|number| {
            let (fleet, key) = (&fleet, &key);
            async move {
                tokio::time::sleep(Duration::from_millis(number * 7)).await;
                record_payment(fleet, number as usize % 2, key).await
            }
        });
        let faults = async {
            match round % 4 {
                0 => fleet.inject_fault("log", &json!({ "lose_answers": 2 })).await.expect("taken"),
                1 => fleet.inject_fault("log", &json!({ "outage_ms": 40 })).await.expect("taken"),
                2 => fleet.inject_fault("stall-ledger-0", &json!({ "lose_answers": 1 })).await.expect("taken"),
                _ => {
                    fleet.signal("sidecar-stall-ledger-1", Signal::STOP).expect("stopped");
                    tokio::time::sleep(Duration::from_millis(150)).await;
                    fleet.signal("sidecar-stall-ledger-1", Signal::CONT).expect("resumed");
                }
            }
        };
        let (history, ()) = tokio::join!(futures_util::future::join_all(calls), faults);
        assert!(is_linearizable(&AtMostOnce, &history), "round {round}: {history:#?}");
        let runs = fleet.run_counts().await.get(&key).copied().unwrap_or(0);
        assert!(runs <= 1, "round {round}: {runs} runs");
    }
    close_fleet(fleet).await;
}

async fn record_plan_change(
    fleet: &Fleet,
    entry: usize,
    round: u64,
    deadline_ms: u64,
) -> Option<CompletedCall<Confirm>> {
    let body =
        json!({ "changes": [{ "put_service": { "name": format!("raced-{round}"), "deadline_ms": deadline_ms } }] });
    let address = &fleet.entries[entry];
    let (_, plan) = fleet.client.send_json("POST", address, "/v1/intents", OPERATOR_KEY, Some(&body)).await.ok()?;
    let base = plan["base"].as_u64()?;
    let path = format!("/v1/plans/{}/confirm", plan["plan"].as_str()?);
    let called = Instant::now();
    let (status, verdict) = fleet.client.send_json("POST", address, &path, OPERATOR_KEY, None).await.ok()?;
    let operation = match status {
        200 => Confirm::Accepted { base, revision: verdict["revision"].as_u64()? },
        409 => Confirm::Conflict { base, winner: verdict["winner"]["revision"].as_u64()? },
        _ => Confirm::Unknown,
    };
    Some(CompletedCall { called, returned: Instant::now(), operation })
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_plans_on_one_item_have_one_order_while_append_answers_are_lost() {
    let fleet = start_fleet(Spec { engines: 1, ..Spec::small("history-plans") }).await;
    for round in 0..6u64 {
        fleet.inject_fault("log", &json!({ "lose_answers": round })).await.expect("taken");
        let operators = (0..8u64).map(|number| {
            let fleet = &fleet;
            async move {
                tokio::time::sleep(Duration::from_millis(number * 3)).await;
                record_plan_change(fleet, number as usize % 2, round, number + 1).await
            }
        });
        let history: Vec<CompletedCall<Confirm>> =
            futures_util::future::join_all(operators).await.into_iter().flatten().collect();
        assert!(history.iter().any(|call| matches!(call.operation, Confirm::Accepted { .. })));
        assert!(is_linearizable(&PlannedItem, &history), "round {round}: {history:#?}");
    }
    close_fleet(fleet).await;
}
