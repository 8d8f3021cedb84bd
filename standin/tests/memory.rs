//! No engine loses memory for good: whatever dies or freezes, nothing stays held.

mod common;

use std::time::Duration;

use common::{close, prompt, start, until};
use rustix::process::Signal;
use serde_json::json;
use standin::fleet::{Fleet, Spec};

/// A fleet whose sidecars soon give up entries that do not read.
async fn small(name: &str) -> Fleet {
    start(Spec { sidecar_settings: "slow_entry_ms = 1000\n".into(), ..Spec::small(name) }).await
}

/// Runs several prompts, does something in the middle, and waits until no memory is held.
async fn nothing_stays_held(fleet: &Fleet, act: impl AsyncFnOnce(&Fleet)) {
    let asked: Vec<_> = (0..6)
        .map(|seed| {
            let (client, entry) = (fleet.client.clone(), fleet.entries[0].clone());
            tokio::spawn(async move { client.send_prompt(&entry, &prompt(5_000, 3_000, seed)).await })
        })
        .collect();
    until("the prompts run", || async { fleet.reserved_tokens().await > 30_000 }).await;
    act(fleet).await;
    asked.iter().for_each(tokio::task::JoinHandle::abort);
    until("no memory is held", || async { fleet.reserved_tokens().await == 0 }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn after_callers_went_away() {
    let fleet = small("memory-callers").await;
    nothing_stays_held(&fleet, async |_| {}).await;
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn after_an_entry_was_killed() {
    let fleet = small("memory-entry-killed").await;
    nothing_stays_held(&fleet, async |fleet| fleet.signal("entry-0", Signal::KILL).expect("killed")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn after_an_entry_was_frozen() {
    let fleet = small("memory-entry-frozen").await;
    nothing_stays_held(&fleet, async |fleet| fleet.signal("entry-0", Signal::STOP).expect("stopped")).await;
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn after_every_sidecar_was_killed() {
    let fleet = small("memory-sidecars-killed").await;
    let kill = async |fleet: &Fleet| {
        for number in 0..3 {
            fleet.signal(&format!("sidecar-market-advisor-{number}"), Signal::KILL).expect("killed");
        }
    };
    nothing_stays_held(&fleet, kill).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn after_an_engine_froze_and_came_back() {
    let fleet = small("memory-engine-frozen").await;
    let freeze = async |fleet: &Fleet| {
        fleet.inject_fault("market-advisor-0", &json!({ "freeze_ms": 2_000 })).await.expect("frozen");
        tokio::time::sleep(Duration::from_millis(2_100)).await;
    };
    nothing_stays_held(&fleet, freeze).await;
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn after_an_engine_was_killed_and_started_again() {
    let mut fleet = small("memory-engine-killed").await;
    let kill = async |fleet: &Fleet| fleet.signal("market-advisor-0", Signal::KILL).expect("killed");
    nothing_stays_held(&fleet, kill).await;
    fleet.kill("market-advisor-0").expect("reaped");
    fleet.restart("market-advisor-0").expect("started again");
    let prompt = prompt(500, 5, 1);
    assert_eq!(fleet.client.send_prompt(&fleet.entries[0], &prompt).await.text, prompt.expected());
    close(fleet).await;
}
