//! Non-repeatable calls run at most once, and a reported "not run" is always true.

mod common;

use std::time::Duration;

use common::{call_headers, close_fleet, post_payment, start_fleet, start_small_fleet};
use rustix::process::Signal;
use serde_json::{Value, json};
use standin::fleet::{Fleet, Spec, workspace_key};

const DEADLINE: Duration = Duration::from_secs(5);

/// Returns the spec of a fleet with one service replica, so that the test knows which replica runs a call.
fn one_service_spec(name: &str) -> Spec {
    Spec { services: 1, engines: 1, ..Spec::small(name) }
}

async fn create_ticket(fleet: &Fleet) -> String {
    let body = json!({ "service": "stall-ledger" });
    let (status, ticket) = fleet
        .client
        .send_json("POST", &fleet.entries[0], "/v1/tickets", &workspace_key(0), Some(&body))
        .await
        .expect("a response arrives");
    assert_eq!(status, 201, "{ticket}");
    ticket["key"].as_str().expect("a ticket has a key").to_owned()
}

fn run_number(text: &str) -> Value {
    serde_json::from_str::<Value>(text).unwrap_or_default()["run"].clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_repeated_through_another_entry_gets_the_same_answer() {
    let fleet = start_small_fleet("once-repeat").await;
    let first = post_payment(&fleet, 0, Some("levy-1"), DEADLINE).await;
    let second = post_payment(&fleet, 1, Some("levy-1"), DEADLINE).await;
    assert_eq!((first.status, second.status), (200, 200), "{} {}", first.text, second.text);
    assert_eq!(first.text, second.text);
    assert_eq!(fleet.run_counts().await["levy-1"], 1);
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_raced_through_both_entries_runs_once() {
    let fleet = start_small_fleet("once-race").await;
    for round in 0..20 {
        let key = format!("race-{round}");
        let (first, second) =
            tokio::join!(post_payment(&fleet, 0, Some(&key), DEADLINE), post_payment(&fleet, 1, Some(&key), DEADLINE));
        assert_eq!((first.status, second.status), (200, 200), "{} {}", first.text, second.text);
        assert_eq!(first.text, second.text);
        assert_eq!(fleet.run_counts().await[&key], 1);
    }
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_of_another_workspace_is_another_key() {
    let fleet = start_small_fleet("once-workspaces").await;
    let path = "/services/stall-ledger/payments";
    for workspace in 0..2 {
        let headers = vec![
            ("authorization".to_owned(), format!("Bearer {}", workspace_key(workspace))),
            ("idempotency-key".to_owned(), "shared".to_owned()),
        ];
        let outcome = fleet.client.call("POST", &fleet.entries[0], path, &headers, "levy").await;
        let answer: Value = serde_json::from_str(&outcome.text).expect("the answer is JSON");
        assert_eq!(answer["workspace"], format!("workspace-{workspace}"));
    }
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_lost_after_the_effect_is_reported_as_unknown_and_never_run_again() {
    let fleet = start_fleet(one_service_spec("once-lost")).await;
    fleet.inject_fault("stall-ledger-0", &json!({ "lose_answers": 1 })).await.expect("the fault is taken");
    for _ in 0..3 {
        let outcome = post_payment(&fleet, 0, Some("lost-1"), DEADLINE).await;
        assert_ne!(outcome.ran(), Some("no"), "{outcome:?}");
        assert!(outcome.status >= 500 || outcome.error.is_some(), "{outcome:?}");
    }
    assert_eq!(fleet.run_counts().await["lost-1"], 1);
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_killed_while_a_call_runs_leaves_it_unknown_and_it_never_runs_again() {
    let mut fleet = start_fleet(one_service_spec("once-killed")).await;
    fleet.inject_fault("stall-ledger-0", &json!({ "freeze_ms": 1_500 })).await.expect("the fault is taken");
    let (outcome, ()) = tokio::join!(post_payment(&fleet, 0, Some("killed-1"), DEADLINE), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.signal("sidecar-stall-ledger-0", Signal::KILL).expect("the sidecar is killed");
    });
    assert_eq!(outcome.ran(), Some("unknown"), "{outcome:?}");
    fleet.kill("sidecar-stall-ledger-0").expect("the sidecar is reaped");
    fleet.restart("sidecar-stall-ledger-0").expect("the sidecar starts again");
    tokio::time::sleep(Duration::from_millis(1_800)).await;
    let repeated = post_payment(&fleet, 1, Some("killed-1"), DEADLINE).await;
    assert_eq!(repeated.ran(), Some("unknown"), "{repeated:?}");
    let other_key = post_payment(&fleet, 1, Some("fresh-1"), DEADLINE).await;
    assert_eq!(other_key.status, 200, "{other_key:?}");
    assert!(fleet.run_counts().await.get("killed-1").is_none_or(|runs| *runs <= 1));
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_while_a_call_runs_leaves_the_answer_for_the_next() {
    let mut fleet = start_fleet(one_service_spec("once-entry")).await;
    fleet.inject_fault("stall-ledger-0", &json!({ "freeze_ms": 700 })).await.expect("the fault is taken");
    let (_, ()) = tokio::join!(post_payment(&fleet, 0, Some("entry-1"), DEADLINE), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.signal("entry-0", Signal::KILL).expect("the entry is killed");
    });
    let repeated = post_payment(&fleet, 1, Some("entry-1"), DEADLINE).await;
    assert_eq!(repeated.status, 200, "{repeated:?}");
    assert_eq!(run_number(&repeated.text), 1);
    assert_eq!(fleet.run_counts().await["entry-1"], 1);
    fleet.kill("entry-0").expect("the entry is reaped");
    fleet.restart("entry-0").expect("the entry restarts");
    fleet.wait_ready(&fleet.entries[0]).await.expect("the entry is ready");
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_a_key_runs_at_most_once_while_sidecars_die() {
    let mut fleet = start_fleet(Spec { engines: 1, ..Spec::small("once-own") }).await;
    for round in 0..4 {
        let name = format!("sidecar-stall-ledger-{}", round % 2);
        let headers = {
            let mut headers = call_headers(None);
            headers.push(("x-request-id".to_owned(), format!("own-{round}")));
            headers
        };
        let path = "/services/stall-ledger/payments";
        let (outcome, ()) = tokio::join!(fleet.client.call("POST", &fleet.entries[0], path, &headers, "levy"), async {
            tokio::time::sleep(Duration::from_millis(3)).await;
            fleet.signal(&name, Signal::KILL).expect("the sidecar is killed");
        });
        let runs = fleet.run_counts().await.get(&format!("own-{round}")).copied().unwrap_or(0);
        assert!(runs <= 1, "{outcome:?}");
        assert!(outcome.ran() != Some("no") || runs == 0, "reported as not run, but it ran: {outcome:?}");
        fleet.kill(&name).expect("the sidecar is reaped");
        fleet.restart(&name).expect("the sidecar starts again");
        fleet.wait_listening(&fleet.addresses[&name]).await.expect("the sidecar listens");
    }
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn in_a_log_outage_a_new_key_is_not_run_at_once_and_a_ticket_runs_once() {
    // With three entries, each partition has one writer, one standby and one entry that does not follow it.
    let fleet = start_fleet(Spec { entries: 3, ..Spec::small("once-outage") }).await;
    let first_outcome = post_payment(&fleet, 0, Some("before-1"), DEADLINE).await;
    assert_eq!(first_outcome.status, 200);
    let ticket = create_ticket(&fleet).await;
    fleet.inject_fault("log", &json!({ "outage_ms": 60_000 })).await.expect("the fault is taken");

    let refused = post_payment(&fleet, 0, Some("during-1"), DEADLINE).await;
    assert_eq!((refused.status, refused.ran()), (503, Some("no")), "{refused:?}");
    assert!(refused.retry_after().is_some() && refused.elapsed < Duration::from_secs(2), "{refused:?}");
    assert!(!fleet.run_counts().await.contains_key("during-1"));

    let repeated = post_payment(&fleet, 1, Some("before-1"), DEADLINE).await;
    assert_eq!(repeated.text, first_outcome.text, "a key claimed before the outage keeps its answer");
    let (first, second) = (
        post_payment(&fleet, 0, Some(&ticket), DEADLINE).await,
        post_payment(&fleet, 1, Some(&ticket), DEADLINE).await,
    );
    assert_eq!((first.status, second.status), (200, 200), "{first:?} {second:?}");
    assert_eq!(first.text, second.text);
    assert_eq!(fleet.run_counts().await[&ticket], 1);
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_append_answer_is_lost_still_runs_at_most_once() {
    let fleet = start_small_fleet("once-append").await;
    for round in 0..5 {
        fleet.inject_fault("log", &json!({ "lose_answers": 1 })).await.expect("the fault is taken");
        let key = format!("append-{round}");
        let mut answered = false;
        for entry in [0, 1, 0, 1] {
            let outcome = post_payment(&fleet, entry, Some(&key), DEADLINE).await;
            let runs = fleet.run_counts().await.get(&key).copied().unwrap_or(0);
            assert!(runs <= 1, "{outcome:?}");
            assert!(outcome.ran() != Some("no") || runs == 0, "reported as not run, but it ran: {outcome:?}");
            answered |= outcome.status == 200;
        }
        assert!(answered, "the key is usable again once the log answers");
    }
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_forged_or_foreign_ticket_is_refused() {
    let fleet = start_small_fleet("once-forged").await;
    let ticket = create_ticket(&fleet).await;
    let forged = format!("{}0", &ticket[..ticket.len() - 1]);
    let outcome = post_payment(&fleet, 0, Some(&forged), DEADLINE).await;
    assert_eq!((outcome.status, outcome.code(), outcome.ran()), (400, "invalid_ticket", Some("no")));
    let headers = vec![
        ("authorization".to_owned(), format!("Bearer {}", workspace_key(1))),
        ("idempotency-key".to_owned(), ticket),
    ];
    let path = "/services/stall-ledger/payments";
    let outcome = fleet.client.call("POST", &fleet.entries[0], path, &headers, "levy").await;
    assert_eq!((outcome.status, outcome.code(), outcome.ran()), (400, "invalid_ticket", Some("no")));
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_calls_that_share_a_request_id_are_two_calls() {
    let fleet = start_fleet(one_service_spec("once-same-id")).await;
    let mut headers = call_headers(None);
    headers.push(("x-request-id".to_owned(), "trace-7".to_owned()));
    for body in ["levy 500", "levy 900"] {
        let path = "/services/stall-ledger/payments";
        let outcome = fleet.client.call("POST", &fleet.entries[0], path, &headers, body).await;
        let answer: Value = serde_json::from_str(&outcome.text).expect("the answer is JSON");
        assert_eq!(answer["body"], body, "the answer is of the call itself");
    }
    assert_eq!(fleet.run_counts().await["trace-7"], 2);
    close_fleet(fleet).await;
}
