//! Engines leak no memory: after a process dies or is suspended, all reservations are released.

mod common;

use std::time::Duration;

use common::{close_fleet, prompt, start_fleet, wait_until};
use rustix::process::Signal;
use serde_json::json;
use standin::fleet::{Fleet, Spec};

/// Starts a fleet whose sidecars disconnect an entry that does not read for one second.
async fn start_fleet_with_slow_entry_limit(name: &str) -> Fleet {
    start_fleet(Spec { sidecar_settings: "slow_entry_ms = 1000\n".into(), ..Spec::small(name) }).await
}

/// Runs six prompts, executes `act` while they run, cancels them, and waits until no memory is reserved.
async fn assert_memory_released(fleet: &Fleet, act: impl AsyncFnOnce(&Fleet)) {
    let pending: Vec<_> = (0..6)
        .map(|seed| {
            let (client, entry) = (fleet.client.clone(), fleet.entries[0].clone());
            tokio::spawn(async move { client.send_prompt(&entry, &prompt(5_000, 3_000, seed)).await })
        })
        .collect();
    wait_until("the prompts run", || async { fleet.reserved_tokens().await > 30_000 }).await;
    act(fleet).await;
    pending.iter().for_each(tokio::task::JoinHandle::abort);
    wait_until("no memory is reserved", || async { fleet.reserved_tokens().await == 0 }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_released_after_clients_disconnect() {
    let fleet = start_fleet_with_slow_entry_limit("memory-callers").await;
    assert_memory_released(&fleet, async |_| {}).await;
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_released_after_an_entry_is_killed() {
    let fleet = start_fleet_with_slow_entry_limit("memory-entry-killed").await;
    assert_memory_released(&fleet, async |fleet| fleet.signal("entry-0", Signal::KILL).expect("killed")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_released_after_an_entry_is_suspended() {
    let fleet = start_fleet_with_slow_entry_limit("memory-entry-frozen").await;
    assert_memory_released(&fleet, async |fleet| fleet.signal("entry-0", Signal::STOP).expect("stopped")).await;
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_released_after_all_sidecars_are_killed() {
    let fleet = start_fleet_with_slow_entry_limit("memory-sidecars-killed").await;
    let kill = async |fleet: &Fleet| {
        for number in 0..3 {
            fleet.signal(&format!("sidecar-market-advisor-{number}"), Signal::KILL).expect("killed");
        }
    };
    assert_memory_released(&fleet, kill).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_released_after_an_engine_is_suspended_and_resumes() {
    let fleet = start_fleet_with_slow_entry_limit("memory-engine-frozen").await;
    let suspend = async |fleet: &Fleet| {
        fleet.inject_fault("market-advisor-0", &json!({ "freeze_ms": 2_000 })).await.expect("frozen");
        tokio::time::sleep(Duration::from_millis(2_100)).await;
    };
    assert_memory_released(&fleet, suspend).await;
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_released_after_an_engine_is_killed_and_restarted() {
    let mut fleet = start_fleet_with_slow_entry_limit("memory-engine-killed").await;
    let kill = async |fleet: &Fleet| fleet.signal("market-advisor-0", Signal::KILL).expect("killed");
    assert_memory_released(&fleet, kill).await;
    fleet.kill("market-advisor-0").expect("reaped");
    fleet.restart("market-advisor-0").expect("the process restarts");
    let prompt = prompt(500, 5, 1);
    assert_eq!(fleet.client.send_prompt(&fleet.entries[0], &prompt).await.text, prompt.expected());
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_released_although_an_engine_lists_items_that_are_no_ids() {
    let mut fleet = start_fleet_with_slow_entry_limit("memory-odd-items").await;
    let (engine, sidecar) = ("market-advisor-0", "sidecar-market-advisor-0");
    let odd_items =
        json!([null, 7, [], {}, "", "../health", "a&b+c#d%e f", "g".repeat(40), "+abc", "beef", "0".repeat(33)]);
    fleet.inject_fault(engine, &json!({ "odd_items": odd_items })).await.expect("the engine takes the items");
    // The span of a sidecar that is gone.
    let span = format!("/spans/{:032x}?digest=0", 0xabc);
    let prefilled = fleet.client.send("POST", &fleet.addresses[engine], &span, &[], "x".repeat(40)).await;
    assert!(prefilled.is_ok_and(|response| response.status() == 200));
    wait_until("memory is reserved", || async { fleet.reserved_tokens().await > 0 }).await;
    fleet.kill(sidecar).expect("the sidecar runs");
    fleet.restart(sidecar).expect("the sidecar starts");
    wait_until("no memory is reserved", || async { fleet.reserved_tokens().await == 0 }).await;
    let prompt = prompt(500, 5, 1);
    assert_eq!(fleet.client.send_prompt(&fleet.entries[0], &prompt).await.text, prompt.expected());
    close_fleet(fleet).await;
}
