//! Entries of the platform's VM list and log that another writer left: the others hold, also for entries that start.

mod common;

use std::time::Duration;

use common::{call_headers, close_fleet, post_payment, prompt, start_small_fleet, wait_until};
use serde_json::{Value, json};
use standin::fleet::Fleet;

/// Calls with and without a key that each test sends to each entry.
const CALLS: usize = 10;

/// Items that are no VM: without fields, with other types, or with a role that is not known.
fn odd_vms() -> Vec<Value> {
    let vm = json!({ "name": "odd", "address": "127.0.0.1:9", "role": "endpoint", "service": "stall-ledger",
        "failure_domain": "a", "leaving": false });
    let with = |field: &str, value: Value| {
        let mut vm = vm.clone();
        vm["name"] = json!(format!("odd {field} {value}"));
        vm[field] = value;
        vm
    };
    vec![
        json!(null),
        json!(7),
        json!([]),
        json!({}),
        with("role", json!("ghost")),
        with("address", json!(9)),
        with("leaving", json!("soon")),
        with("role", json!("entry")),
        with("address", json!("")),
        with("address", json!("odd &+#% address")),
        with("address", json!("127.0.0.1:9\r\nx: y")),
    ]
}

async fn restart_entries(fleet: &mut Fleet) {
    let names: Vec<String> = (0..fleet.entries.len()).map(|number| format!("entry-{number}")).collect();
    for name in &names {
        fleet.kill(name).expect("the entry runs");
        fleet.restart(name).expect("the entry starts");
    }
    for address in &fleet.entries {
        fleet.wait_ready(address).await.expect("the entry knows all endpoints");
    }
}

/// Checks that all entries serve prompts, calls and calls with a key.
async fn assert_all_served(fleet: &Fleet) {
    for (entry, address) in fleet.entries.iter().enumerate() {
        let prompt = prompt(1_000, 5, 1);
        assert_eq!(fleet.client.send_prompt(address, &prompt).await.text, prompt.expected(), "{address}");
        for number in 0..CALLS {
            let call = fleet.client.call("POST", address, "/services/stall-ledger/x", &call_headers(None), "x").await;
            assert_eq!(call.status, 200, "{address}: {}", call.text);
            let key = format!("key-{entry}-{number}");
            let keyed = post_payment(fleet, entry, Some(&key), Duration::from_secs(5)).await;
            assert_eq!(keyed.status, 200, "{address}: {}", keyed.text);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_odd_item_of_the_vm_list_does_not_stop_entries_that_start() {
    let mut fleet = start_small_fleet("odd-vms").await;
    for (number, vm) in odd_vms().iter().enumerate() {
        fleet.register_vm(&format!("a-{number}"), vm).await.expect("the list takes the item");
    }
    wait_until("the list shows the items", async || {
        let list = fleet.client.send_json("GET", &fleet.addresses["vms"], "/vms", "", None).await;
        list.is_ok_and(|(_, list)| odd_vms().iter().all(|vm| list.as_array().is_some_and(|list| list.contains(vm))))
    })
    .await;
    restart_entries(&mut fleet).await;
    assert_all_served(&fleet).await;
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_records_of_the_log_do_not_stop_entries_that_start() {
    let mut fleet = start_small_fleet("odd-log").await;
    let claims = (0..8).map(|partition| format!("claims-{partition}"));
    for stream in claims.chain(["config", "config-snapshots", "control"].map(str::to_owned)) {
        for payload in ["null", "7", r#"{"claims":[{}]}"#, r#"{"a":"\ud800"}"#, r#""a&b+c#d%e f""#] {
            let body = format!("{{\"payload\":{payload}}}");
            let path = format!("/streams/{stream}");
            let headers = [("content-type".to_owned(), "application/json".to_owned())];
            let appended = fleet.client.send("POST", &fleet.addresses["log"], &path, &headers, body).await;
            assert!(appended.is_ok_and(|response| response.status() == 200), "{stream} {payload}");
        }
    }
    restart_entries(&mut fleet).await;
    assert_all_served(&fleet).await;
    close_fleet(fleet).await;
}
