//! Placement follows the intents under a fenced lease; a paused controller changes nothing.

mod common;

use std::time::Duration;

use common::{close, prompt, start, until};
use rustix::process::Signal;
use serde_json::{Value, json};
use standin::fleet::{Fleet, Spec};

/// Four entries, so that failure domain 0 has two, and seven engines, of which it has three.
fn spec(name: &str, checks_fence: bool) -> Spec {
    Spec { entries: 4, engines: 7, services: 1, checks_fence, ..Spec::small(name) }
}

async fn loaded(fleet: &Fleet, number: usize) -> Value {
    let address = &fleet.addresses[&format!("market-advisor-{number}")];
    fleet.client.send_json("GET", address, "/loaded", "", None).await.expect("the engine answers").1
}

async fn set_version(fleet: &Fleet, version: &str) {
    let changes = json!([{ "put_intent": { "model": "market-advisor", "service": "market-advisor",
        "workspaces": ["*"], "version": version, "adapters": ["kinyarwanda"] } }]);
    fleet.publish(&changes).await.expect("the change is accepted");
}

async fn all_hold(fleet: &Fleet, version: &str) {
    until(&format!("every engine holds {version}"), || async {
        let mut all = true;
        for number in 0..fleet.spec.engines {
            let loaded = loaded(fleet, number).await;
            all &= loaded["loaded"]["version"] == version && loaded["loaded"]["adapters"] == json!(["kinyarwanda"]);
        }
        all
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_come_to_hold_what_the_intents_say_while_prompts_are_answered() {
    let fleet = start(spec("placement", true)).await;
    set_version(&fleet, "v2").await;
    let prompt = prompt(500, 5, 1);
    assert_eq!(fleet.client.send_prompt(&fleet.entries[0], &prompt).await.text, prompt.expected());
    all_hold(&fleet, "v2").await;
    close(fleet).await;
}

/// The name of the entry that last took the lease of failure domain 0.
fn holder(fleet: &Fleet) -> Option<&'static str> {
    let mut last: Option<(String, &'static str)> = None;
    for name in ["entry-0", "entry-3"] {
        let log = std::fs::read_to_string(fleet.log_file(name)).unwrap_or_default();
        let line = log.lines().rfind(|line| line.contains("step=lease "));
        let stamp = line.and_then(|line| line.split("hlc=").nth(1)).map(str::to_owned);
        if let Some(stamp) = stamp
            && last.as_ref().is_none_or(|(newest, _)| *newest < stamp)
        {
            last = Some((stamp, name));
        }
    }
    last.map(|(_, name)| name)
}

async fn paused_holder(name: &str, checks_fence: bool) {
    let fleet = start(spec(name, checks_fence)).await;
    set_version(&fleet, "v2").await;
    all_hold(&fleet, "v2").await;
    let paused = holder(&fleet).expect("somebody holds the lease");
    let before = loaded(&fleet, 0).await["fence"].as_u64().unwrap_or(0);
    fleet.signal(paused, Signal::STOP).expect("the holder is paused");
    // Change the intents through an entry of another failure domain.
    let changes = json!([{ "put_intent": { "model": "market-advisor", "service": "market-advisor",
        "workspaces": ["*"], "version": "v3", "adapters": ["kinyarwanda"] } }]);
    fleet.publish_at(1, &changes).await.expect("the change is accepted");
    all_hold(&fleet, "v3").await;
    assert_ne!(holder(&fleet), Some(paused), "another took the lease over");
    fleet.signal(paused, Signal::CONT).expect("the holder wakes");
    tokio::time::sleep(Duration::from_secs(2)).await;
    for number in 0..fleet.spec.engines {
        let loaded = loaded(&fleet, number).await;
        assert_eq!(loaded["loaded"]["version"], "v3", "the paused holder changed nothing when it woke");
        assert!(
            !checks_fence || number % 3 != 0 || loaded["fence"].as_u64().unwrap_or(0) > before,
            "{loaded} {before}"
        );
    }
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_controller_changes_nothing_when_it_wakes() {
    paused_holder("placement-paused", true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_controller_changes_nothing_at_engines_that_do_not_check_fences() {
    paused_holder("placement-unfenced", false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn in_a_log_outage_placement_stands_still_and_goes_on_afterwards() {
    let fleet = start(spec("placement-outage", true)).await;
    set_version(&fleet, "v2").await;
    fleet.inject_fault("log", &json!({ "outage_ms": 2_000 })).await.expect("the fault is taken");
    let prompt = prompt(500, 5, 1);
    assert_eq!(fleet.client.send_prompt(&fleet.entries[0], &prompt).await.text, prompt.expected());
    all_hold(&fleet, "v2").await;
    close(fleet).await;
}
