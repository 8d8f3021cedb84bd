//! Answers of endpoints whose head is no HTTP: callers get an error in their place.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::raw_replica::{BODY, ODD_LINES, ODD_STATUSES, PROTOCOL_CHANGE, RawReplica};
use common::{call_headers, close_fleet, post_payment, prompt, start_fleet};
use standin::client::ClientResponse;
use standin::fleet::{Fleet, Spec};

/// Starts a fleet with one engine and one service, both replaced by a replica in trouble.
async fn start_troubled(name: &str) -> (Fleet, [Arc<RawReplica>; 2]) {
    let mut fleet = start_fleet(Spec { entries: 1, engines: 1, services: 1, ..Spec::small(name) }).await;
    let troubled = replace_first(&mut fleet).await;
    (fleet, troubled)
}

/// Replaces the first engine and the first service by a replica in trouble.
async fn replace_first(fleet: &mut Fleet) -> [Arc<RawReplica>; 2] {
    let names = ["market-advisor-0", "stall-ledger-0"];
    names.iter().for_each(|name| fleet.kill(name).expect("the endpoint runs"));
    let [engine, service] = names.map(|name| fleet.addresses[name].clone());
    [RawReplica::start(&engine).await, RawReplica::start(&service).await]
}

/// Sends a call that may be repeated, one that may not, one with a key, and a prompt, each until an endpoint has answered
/// it; entries may pause before they send to it again.
async fn send_all(fleet: &Fleet, troubled: &[Arc<RawReplica>; 2], id: &str) -> Vec<ClientResponse> {
    let address = &fleet.entries[0];
    let mut outcomes = Vec::new();
    for (kind, path) in ["/x", "/x", "/payments", "/v1/chat/completions"].iter().enumerate() {
        let mut number = 0;
        loop {
            let before = answered(troubled, path);
            let outcome = match kind {
                0 => fleet.client.call("GET", address, "/services/stall-ledger/x", &call_headers(None), "").await,
                1 => fleet.client.call("POST", address, "/services/stall-ledger/x", &call_headers(None), "x").await,
                2 => post_payment(fleet, 0, Some(&format!("{id}-{number}")), Duration::from_secs(2)).await,
                _ => fleet.client.send_prompt(address, &prompt(100, 5, 1)).await,
            };
            if answered(troubled, path) > before {
                outcomes.push(outcome);
                break;
            }
            assert!(number < 100, "{path} reaches no endpoint: {outcome:?}");
            number += 1;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    outcomes
}

fn answered(troubled: &[Arc<RawReplica>; 2], path: &str) -> usize {
    troubled.iter().map(|replica| replica.answered(path)).sum()
}

/// Checks that callers get an error of the system.
async fn assert_not_passed_on(fleet: &Fleet, troubled: &[Arc<RawReplica>; 2], id: &str) {
    for outcome in send_all(fleet, troubled, id).await {
        assert!(outcome.failure.is_some() && outcome.status >= 500 && outcome.status < 600, "{id:?}: {outcome:?}");
        assert!(!outcome.text.contains(BODY), "{id:?}: {outcome:?}");
    }
}

/// Shows that the other tests see an answer if there is one to pass on. An engine's answer has another form.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_fault_is_passed_on() {
    let (fleet, troubled) = start_troubled("odd-none").await;
    troubled.iter().for_each(|replica| replica.set_answer("200 OK", None, false));
    let outcomes = send_all(&fleet, &troubled, "n").await;
    let calls: Vec<_> = outcomes[..3].iter().map(|outcome| (outcome.status, &*outcome.text)).collect();
    assert_eq!(calls, [(200, BODY); 3]);
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_a_status_that_none_has_is_not_passed_on() {
    let (fleet, troubled) = start_troubled("odd-status").await;
    for status in ODD_STATUSES.iter().chain([&PROTOCOL_CHANGE]) {
        troubled.iter().for_each(|replica| replica.set_answer(status, None, false));
        assert_not_passed_on(&fleet, &troubled, &status.replace(' ', "-")).await;
    }
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_an_invalid_field_name_is_not_passed_on() {
    let (fleet, troubled) = start_troubled("odd-field").await;
    for (number, line) in ODD_LINES.iter().enumerate() {
        for is_first in [true, false] {
            troubled.iter().for_each(|replica| replica.set_answer("200 OK", Some(line), is_first));
            assert_not_passed_on(&fleet, &troubled, &format!("{number}-{is_first}")).await;
        }
    }
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn what_may_be_repeated_is_served_by_another_endpoint() {
    let mut fleet = start_fleet(Spec { entries: 1, engines: 2, services: 2, ..Spec::small("odd-beside") }).await;
    let troubled = replace_first(&mut fleet).await;
    let address = &fleet.entries[0];
    for number in 0..20 {
        match number % 3 {
            0 => troubled.iter().for_each(|replica| replica.set_answer("000 OK", None, false)),
            1 => troubled.iter().for_each(|replica| replica.set_answer("600 OK", None, false)),
            _ => troubled.iter().for_each(|replica| replica.set_answer("200 OK", Some("odd name: v"), true)),
        }
        let call = fleet.client.call("GET", address, "/services/stall-ledger/x", &call_headers(None), "").await;
        assert!(call.status == 200 && !call.text.contains(BODY), "{call:?}");
        let prompt = prompt(100, 5, number);
        assert_eq!(fleet.client.send_prompt(address, &prompt).await.text, prompt.expected());
    }
    assert!(answered(&troubled, "/x") > 0 && answered(&troubled, "/v1/chat/completions") > 0, "nothing was sent there");
    close_fleet(fleet).await;
}
