//! The history checker rejects wrong histories, and the fleet's histories pass it.

mod common;

use std::time::{Duration, Instant};

use common::{close, pay, start};
use rustix::process::Signal;
use serde_json::json;
use standin::fleet::{Fleet, OPERATOR_KEY, Spec};
use standin::history::{AtMostOnce, CompletedCall, Confirm, PlannedItem, IdempotentCall, is_linearizable};

/// A history from (called, returned, operation), times in milliseconds.
fn history<O: Clone>(calls: &[(u64, u64, O)]) -> Vec<CompletedCall<O>> {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let call = |(called, returned, operation): &(u64, u64, O)| CompletedCall {
        called: at(*called),
        returned: at(*returned),
        operation: operation.clone(),
    };
    calls.iter().map(call).collect()
}

fn answer(text: &str) -> IdempotentCall {
    IdempotentCall::Answer(text.to_owned())
}

#[test]
fn right_histories_pass() {
    let same = history(&[(0, 5, answer("1")), (3, 9, answer("1")), (10, 12, answer("1"))]);
    assert!(is_linearizable(&AtMostOnce, &same));
    let refused_first = history(&[(0, 5, IdempotentCall::NotExecuted), (6, 9, answer("1"))]);
    assert!(is_linearizable(&AtMostOnce, &refused_first));
    let overlapping = history(&[(0, 9, answer("1")), (3, 5, IdempotentCall::NotExecuted)]);
    assert!(is_linearizable(&AtMostOnce, &overlapping));
    let unknown = history(&[(0, 5, IdempotentCall::Unknown), (6, 9, answer("1"))]);
    assert!(is_linearizable(&AtMostOnce, &unknown));
}

#[test]
fn wrong_histories_are_rejected() {
    let doubled = history(&[(0, 5, answer("1")), (6, 9, answer("2"))]);
    assert!(!is_linearizable(&AtMostOnce, &doubled));
    let doubled_at_once = history(&[(0, 5, answer("1")), (1, 4, answer("2"))]);
    assert!(!is_linearizable(&AtMostOnce, &doubled_at_once));
    let false_no = history(&[(0, 5, answer("1")), (6, 9, IdempotentCall::NotExecuted)]);
    assert!(!is_linearizable(&AtMostOnce, &false_no));
}

#[test]
fn racing_plans_are_told_apart_from_lost_updates() {
    let accepted = |base, revision| Confirm::Accepted { base, revision };
    let right = history(&[(0, 9, accepted(0, 4)), (1, 8, Confirm::Conflict { base: 0, winner: 4 })]);
    assert!(is_linearizable(&PlannedItem, &right));
    let lost_update = history(&[(0, 9, accepted(0, 4)), (1, 8, accepted(0, 5))]);
    assert!(!is_linearizable(&PlannedItem, &lost_update));
    let reverted = history(&[(0, 2, accepted(0, 9)), (3, 4, accepted(9, 5))]);
    assert!(!is_linearizable(&PlannedItem, &reverted));
    let wrong_winner = history(&[(0, 9, accepted(0, 4)), (1, 8, Confirm::Conflict { base: 0, winner: 3 })]);
    assert!(!is_linearizable(&PlannedItem, &wrong_winner));
}

async fn once(fleet: &Fleet, entry: usize, key: &str) -> CompletedCall<IdempotentCall> {
    let called = Instant::now();
    let seen = pay(fleet, entry, Some(key), Duration::from_secs(4)).await;
    let operation = match seen.ran() {
        None if seen.status == 200 => IdempotentCall::Answer(seen.text.clone()),
        Some("no") => IdempotentCall::NotExecuted,
        _ => IdempotentCall::Unknown,
    };
    CompletedCall { called, returned: Instant::now(), operation }
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_under_one_key_are_at_most_once_while_the_log_and_sidecars_fail() {
    let fleet = start(Spec { engines: 1, ..Spec::small("history-once") }).await;
    for round in 0..8u64 {
        let key = format!("key-{round}");
        let calls = (0..10u64).map(|number| {
            let (fleet, key) = (&fleet, &key);
            async move {
                tokio::time::sleep(Duration::from_millis(number * 7)).await;
                once(fleet, number as usize % 2, key).await
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
                    fleet.signal("sidecar-stall-ledger-1", Signal::CONT).expect("goes on");
                }
            }
        };
        let (history, ()) = tokio::join!(futures_util::future::join_all(calls), faults);
        assert!(is_linearizable(&AtMostOnce, &history), "round {round}: {history:#?}");
        let runs = fleet.run_counts().await.get(&key).copied().unwrap_or(0);
        assert!(runs <= 1, "round {round}: {runs} runs");
    }
    close(fleet).await;
}

async fn replace(fleet: &Fleet, entry: usize, round: u64, deadline_ms: u64) -> Option<CompletedCall<Confirm>> {
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
    let fleet = start(Spec { engines: 1, ..Spec::small("history-plans") }).await;
    for round in 0..6u64 {
        fleet.inject_fault("log", &json!({ "lose_answers": round })).await.expect("taken");
        let operators = (0..8u64).map(|number| {
            let fleet = &fleet;
            async move {
                tokio::time::sleep(Duration::from_millis(number * 3)).await;
                replace(fleet, number as usize % 2, round, number + 1).await
            }
        });
        let history: Vec<CompletedCall<Confirm>> =
            futures_util::future::join_all(operators).await.into_iter().flatten().collect();
        assert!(history.iter().any(|call| matches!(call.operation, Confirm::Accepted { .. })));
        assert!(is_linearizable(&PlannedItem, &history), "round {round}: {history:#?}");
    }
    close(fleet).await;
}
