//! An accepted configuration is in force at all entries within seconds and is never reverted.

mod common;

use std::time::Duration;

use common::{close_fleet, prompt, start_fleet, start_small_fleet, wait_until};
use rustix::process::Signal;
use serde_json::{Value, json};
use standin::fleet::{Fleet, OPERATOR_KEY, Spec};

async fn send_operator_request(
    fleet: &Fleet,
    entry: usize,
    method: &str,
    path: &str,
    body: Option<Value>,
) -> (u16, Value) {
    let call = fleet.client.send_json(method, &fleet.entries[entry], path, OPERATOR_KEY, body.as_ref());
    call.await.expect("a response arrives")
}

/// Submits changes to an entry as a plan and returns the plan's ID.
async fn create_plan(fleet: &Fleet, entry: usize, changes: Value) -> String {
    let (status, plan) =
        send_operator_request(fleet, entry, "POST", "/v1/intents", Some(json!({ "changes": changes }))).await;
    assert_eq!(status, 201, "{plan}");
    plan["plan"].as_str().expect("a plan has an id").to_owned()
}

async fn confirm_plan(fleet: &Fleet, entry: usize, plan: &str) -> (u16, Value) {
    send_operator_request(fleet, entry, "POST", &format!("/v1/plans/{plan}/confirm"), None).await
}

async fn revision(fleet: &Fleet, entry: usize) -> u64 {
    send_operator_request(fleet, entry, "GET", "/v1/status", None).await.1["revision"].as_u64().unwrap_or(0)
}

fn put_service_change(name: &str, deadline_ms: u64) -> Value {
    json!([{ "put_service": { "name": name, "deadline_ms": deadline_ms } }])
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plan_takes_no_effect_until_confirmed_and_then_everywhere() {
    let fleet = start_small_fleet("plan").await;
    let before = revision(&fleet, 1).await;
    let id = create_plan(&fleet, 0, put_service_change("permits", 1_000)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(revision(&fleet, 1).await, before);
    let (status, verdict) = confirm_plan(&fleet, 1, &id).await;
    assert_eq!(status, 200, "{verdict}");
    let accepted = verdict["revision"].as_u64().expect("a revision");
    assert!(accepted > before);
    for entry in 0..2 {
        wait_until("the revision is in force", || async { revision(&fleet, entry).await >= accepted }).await;
    }
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_confirm_repeated_anywhere_gives_the_same_answer() {
    let fleet = start_small_fleet("reconfirm").await;
    let id = create_plan(&fleet, 0, put_service_change("permits", 1_000)).await;
    let first = confirm_plan(&fleet, 0, &id).await;
    assert_eq!(first.0, 200);
    assert_eq!(confirm_plan(&fleet, 1, &id).await, first);
    assert_eq!(confirm_plan(&fleet, 0, &id).await, first);
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_get_one_winner_who_is_named_to_the_other() {
    let fleet = start_small_fleet("race").await;
    for round in 0..10 {
        let name = format!("raced-{round}");
        let (first_plan, second_plan) = tokio::join!(
            create_plan(&fleet, 0, put_service_change(&name, 1_000)),
            create_plan(&fleet, 1, put_service_change(&name, 2_000))
        );
        let (first, second) = tokio::join!(confirm_plan(&fleet, 0, &first_plan), confirm_plan(&fleet, 1, &second_plan));
        let mut statuses = [first.0, second.0];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "{first:?} {second:?}");
        let (winner, loser) = if first.0 == 200 { (&first_plan, &second.1) } else { (&second_plan, &first.1) };
        assert_eq!(loser["winner"]["plan"], **winner);
        assert_eq!(loser["ran"], "no");
    }
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn append_answers_lost_after_the_effect_change_nothing() {
    let fleet = start_small_fleet("lost-appends").await;
    for round in 0..5 {
        fleet.inject_fault("log", &json!({ "lose_answers": 2 })).await.expect("the fault is taken");
        let id = create_plan(&fleet, round % 2, put_service_change(&format!("lost-{round}"), 1_000)).await;
        let (status, verdict) = confirm_plan(&fleet, round % 2, &id).await;
        assert_eq!(status, 200, "{verdict}");
    }
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn in_a_log_outage_nothing_is_accepted_and_serving_goes_on() {
    let fleet = start_small_fleet("outage").await;
    let id = create_plan(&fleet, 0, put_service_change("permits", 1_000)).await;
    let before = revision(&fleet, 0).await;
    fleet.inject_fault("log", &json!({ "outage_ms": 7_000 })).await.expect("the fault is taken");
    let (status, answer) = confirm_plan(&fleet, 0, &id).await;
    assert_eq!((status, &answer["ran"]), (503, &json!("unknown")), "{answer}");
    let prompt = prompt(500, 5, 1);
    assert_eq!(fleet.client.send_prompt(&fleet.entries[0], &prompt).await.text, prompt.expected());
    wait_until("the log is back and the confirm is accepted", || async { confirm_plan(&fleet, 0, &id).await.0 == 200 })
        .await;
    assert!(revision(&fleet, 0).await > before);
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_replaced_in_a_log_outage_learns_from_its_peer_and_serves() {
    let mut fleet = start_small_fleet("replaced").await;
    fleet.publish(&put_service_change("permits", 1_000)).await.expect("the change is accepted");
    wait_until("both entries have the revision", || async { revision(&fleet, 0).await == revision(&fleet, 1).await })
        .await;
    let before = revision(&fleet, 0).await;
    fleet.inject_fault("log", &json!({ "outage_ms": 60_000 })).await.expect("the fault is taken");
    fleet.kill("entry-1").expect("the entry is killed");
    fleet.restart("entry-1").expect("the entry restarts");
    fleet.wait_ready(&fleet.entries[1]).await.expect("the new entry is ready");
    assert_eq!(revision(&fleet, 1).await, before);
    let prompt = prompt(500, 5, 1);
    assert_eq!(fleet.client.send_prompt(&fleet.entries[1], &prompt).await.text, prompt.expected());
    fleet.inject_fault("log", &json!({})).await.expect("the fault is taken back");
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_behind_a_trimmed_log_takes_a_snapshot_and_never_reverts() {
    let mut fleet = start_small_fleet("trimmed").await;
    let accepted = fleet.publish(&put_service_change("permits", 1_000)).await.expect("the change is accepted");
    wait_until("both entries have the revision", || async { revision(&fleet, 1).await >= accepted }).await;
    fleet.kill("entry-1").expect("the entry is killed");
    fleet.inject_fault("log", &json!({ "trim_before": 100 })).await.expect("the fault is taken");
    fleet.restart("entry-1").expect("the entry restarts");
    fleet.wait_ready(&fleet.entries[1]).await.expect("the new entry is ready");
    assert!(revision(&fleet, 1).await >= accepted);
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn when_all_entries_are_replaced_a_published_snapshot_bridges_the_trimmed_log() {
    let settings = "snapshot_every_ms = 300\n".to_owned();
    let mut fleet = start_fleet(Spec { entry_settings: settings, ..Spec::small("snapshot") }).await;
    let accepted = fleet.publish(&put_service_change("permits", 1_000)).await.expect("the change is accepted");
    wait_until("a snapshot is on the log", || async {
        let counts = fleet.client.send_json("GET", &fleet.addresses["log"], "/counts", "", None).await;
        counts.is_ok_and(|(_, counts)| counts["ends"]["config-snapshots"].as_u64().unwrap_or(0) >= 2)
    })
    .await;
    for name in ["entry-0", "entry-1"] {
        fleet.kill(name).expect("the entry is killed");
    }
    fleet.inject_fault("log", &json!({ "trim_stream": "config" })).await.expect("the fault is taken");
    for name in ["entry-0", "entry-1"] {
        fleet.restart(name).expect("the entry restarts");
    }
    for entry in 0..2 {
        fleet.wait_ready(&fleet.entries[entry]).await.expect("the new entry is ready");
        assert!(revision(&fleet, entry).await >= accepted);
    }
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_suspended_during_changes_catches_up_and_never_shows_an_older_revision() {
    let fleet = start_small_fleet("frozen-entry").await;
    fleet.signal("entry-1", Signal::STOP).expect("the entry is stopped");
    let mut accepted = 0;
    for round in 0..5 {
        let id = create_plan(&fleet, 0, put_service_change("permits", 1_000 + round)).await;
        accepted = confirm_plan(&fleet, 0, &id).await.1["revision"].as_u64().expect("a revision");
    }
    fleet.signal("entry-1", Signal::CONT).expect("the entry resumes");
    let mut newest = 0;
    wait_until("the entry has caught up", || {
        let fleet = &fleet;
        async move { revision(fleet, 1).await >= accepted }
    })
    .await;
    for _ in 0..20 {
        let current = revision(&fleet, 1).await;
        assert!(current >= newest, "{current} after {newest}");
        newest = current;
    }
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_plan_is_refused_with_every_fault_named() {
    let fleet = start_small_fleet("bad-plan").await;
    let changes = json!([
        { "put_intent": { "model": "", "service": "", "workspaces": [] } },
        { "put_workspace": { "name": "x", "key_digest": "short", "weight": 0 } },
    ]);
    let (status, answer) =
        send_operator_request(&fleet, 0, "POST", "/v1/intents", Some(json!({ "changes": changes }))).await;
    let message = answer["error"]["message"].as_str().expect("a message");
    assert_eq!(status, 400);
    for fault in
        ["change 0: model", "change 0: service", "change 0: workspaces", "change 1: key_digest", "change 1: weight"]
    {
        assert!(message.contains(fault), "{message}");
    }
    let wrong = fleet
        .client
        .send_json("GET", &fleet.entries[0], "/v1/intents", "wrong", None)
        .await
        .expect("a response arrives");
    assert_eq!(wrong.0, 401);
    close_fleet(fleet).await;
}

/// Guards against an entry that starts and counts as ready with a part of the log, or with a peer's part: it served by a
/// configuration that later records replace.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_start_are_ready_only_with_the_newest_configuration() {
    let mut fleet = start_small_fleet("parts").await;
    for number in 0..8 {
        fleet.publish(&put_service_change(&format!("permits-{number}"), 1_000)).await.expect("the plan is confirmed");
    }
    let newest = revision(&fleet, 0).await;
    fleet.inject_fault("log", &json!({ "max_read_records": 1, "slow_ms": 40 })).await.expect("the log answers");
    let entries = ["entry-0", "entry-1"];
    for entry in entries {
        fleet.kill(entry).expect("the entry is killed");
    }
    for entry in entries {
        fleet.restart(entry).expect("the entry starts");
    }
    for (number, entry) in entries.into_iter().enumerate() {
        fleet.wait_ready(&fleet.entries[number]).await.expect("the entry is ready");
        assert_eq!(revision(&fleet, number).await, newest, "{entry}");
    }
    fleet.inject_fault("log", &json!({})).await.expect("the log answers");
    close_fleet(fleet).await;
}

/// Guards against a read of the log that is given up after the same time again and again: entries that start while answers
/// take longer than that were never ready.
#[tokio::test(flavor = "multi_thread")]
async fn entries_start_while_answers_of_the_log_take_longer_than_a_call() {
    let mut fleet = start_small_fleet("slow").await;
    fleet.publish(&put_service_change("permits", 1_000)).await.expect("the plan is confirmed");
    let newest = revision(&fleet, 0).await;
    fleet.inject_fault("log", &json!({ "slow_ms": 2_200 })).await.expect("the log answers");
    let entries = ["entry-0", "entry-1"];
    for entry in entries {
        fleet.kill(entry).expect("the entry is killed");
    }
    for entry in entries {
        fleet.restart(entry).expect("the entry starts");
    }
    for (number, entry) in entries.into_iter().enumerate() {
        fleet.wait_ready(&fleet.entries[number]).await.expect("the entry is ready");
        assert_eq!(revision(&fleet, number).await, newest, "{entry}");
    }
    fleet.inject_fault("log", &json!({})).await.expect("the log answers");
    close_fleet(fleet).await;
}
