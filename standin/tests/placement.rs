//! Placement follows the intents under a fenced lease; a suspended controller changes nothing when it resumes.

mod common;

use std::time::Duration;

use common::{close_fleet, prompt, start_fleet, wait_until};
use rustix::process::Signal;
use serde_json::{Value, json};
use standin::fleet::{Fleet, Spec};

/// Returns the spec of a fleet with four entries and seven engines, of which failure domain 0 has two and three.
fn four_entry_spec(name: &str, checks_fence: bool) -> Spec {
    Spec { entries: 4, engines: 7, services: 1, checks_fence, ..Spec::small(name) }
}

async fn loaded_model(fleet: &Fleet, number: usize) -> Value {
    let address = &fleet.addresses[&format!("market-advisor-{number}")];
    fleet.client.send_json("GET", address, "/loaded", "", None).await.expect("the engine answers").1
}

async fn set_version(fleet: &Fleet, version: &str) {
    let changes = json!([{ "put_intent": { "model": "market-advisor", "service": "market-advisor",
        "workspaces": ["*"], "version": version, "adapters": ["kinyarwanda"] } }]);
    fleet.publish(&changes).await.expect("the change is accepted");
}

async fn wait_until_all_loaded(fleet: &Fleet, version: &str) {
    wait_until(&format!("every engine holds {version}"), || async {
        let mut all_loaded = true;
        for number in 0..fleet.spec.engines {
            let loaded = loaded_model(fleet, number).await;
            all_loaded &=
                loaded["loaded"]["version"] == version && loaded["loaded"]["adapters"] == json!(["kinyarwanda"]);
        }
        all_loaded
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_load_the_versions_of_the_intents_while_prompts_are_answered() {
    let fleet = start_fleet(four_entry_spec("placement", true)).await;
    set_version(&fleet, "v2").await;
    let prompt = prompt(500, 5, 1);
    assert_eq!(fleet.client.send_prompt(&fleet.entries[0], &prompt).await.text, prompt.expected());
    wait_until_all_loaded(&fleet, "v2").await;
    close_fleet(fleet).await;
}

/// Returns the name of the entry that acquired the lease of failure domain 0 last.
fn lease_holder(fleet: &Fleet) -> Option<&'static str> {
    let mut latest: Option<(String, &'static str)> = None;
    for name in ["entry-0", "entry-3"] {
        let log = std::fs::read_to_string(fleet.log_file(name)).unwrap_or_default();
        let line = log.lines().rfind(|line| line.contains("step=lease "));
        let timestamp = line.and_then(|line| line.split("hlc=").nth(1)).map(str::to_owned);
        if let Some(timestamp) = timestamp
            && latest.as_ref().is_none_or(|(newest, _)| *newest < timestamp)
        {
            latest = Some((timestamp, name));
        }
    }
    latest.map(|(_, name)| name)
}

async fn suspend_lease_holder(name: &str, checks_fence: bool) {
    let fleet = start_fleet(four_entry_spec(name, checks_fence)).await;
    set_version(&fleet, "v2").await;
    wait_until_all_loaded(&fleet, "v2").await;
    let suspended_entry = lease_holder(&fleet).expect("an entry holds the lease");
    let fence_before = loaded_model(&fleet, 0).await["fence"].as_u64().unwrap_or(0);
    fleet.signal(suspended_entry, Signal::STOP).expect("the holder is suspended");
    // The suspended entry accepts no change, so an entry of another failure domain publishes it.
    let changes = json!([{ "put_intent": { "model": "market-advisor", "service": "market-advisor",
        "workspaces": ["*"], "version": "v3", "adapters": ["kinyarwanda"] } }]);
    fleet.publish_at(1, &changes).await.expect("the change is accepted");
    wait_until_all_loaded(&fleet, "v3").await;
    assert_ne!(lease_holder(&fleet), Some(suspended_entry), "another entry acquired the lease");
    fleet.signal(suspended_entry, Signal::CONT).expect("the holder resumes");
    tokio::time::sleep(Duration::from_secs(2)).await;
    for number in 0..fleet.spec.engines {
        let loaded = loaded_model(&fleet, number).await;
        assert_eq!(loaded["loaded"]["version"], "v3", "the suspended holder changed nothing when it resumed");
        assert!(
            !checks_fence || number % 3 != 0 || loaded["fence"].as_u64().unwrap_or(0) > fence_before,
            "{loaded} {fence_before}"
        );
    }
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_controller_changes_nothing_when_it_resumes() {
    suspend_lease_holder("placement-paused", true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_controller_changes_nothing_at_engines_that_do_not_check_fences() {
    suspend_lease_holder("placement-unfenced", false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn placement_pauses_during_a_log_outage_and_resumes_afterwards() {
    let fleet = start_fleet(four_entry_spec("placement-outage", true)).await;
    set_version(&fleet, "v2").await;
    fleet.inject_fault("log", &json!({ "outage_ms": 2_000 })).await.expect("the fault is taken");
    let prompt = prompt(500, 5, 1);
    assert_eq!(fleet.client.send_prompt(&fleet.entries[0], &prompt).await.text, prompt.expected());
    wait_until_all_loaded(&fleet, "v2").await;
    close_fleet(fleet).await;
}
