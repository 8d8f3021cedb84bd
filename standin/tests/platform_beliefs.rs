//! The configuration, API keys and replica records that entries use through outages of the store.

mod common;

use std::time::Duration;

use serde_json::json;
use standin::platform::{Fault, KEY, RequestSpec, Site, Spec};

fn lookup(id: &str, key: &str) -> RequestSpec {
    RequestSpec::new("GET", "/look/1", id, key).with_header("deadline-ms", "800")
}

async fn sleep_ms(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

async fn start_site(name: &str, bounds: &str) -> Site {
    Site::start(Spec { bounds: bounds.to_owned(), ..Spec::small(name) }).await.expect("the site starts")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_configuration_is_in_force_at_once_and_an_older_one_never_again() {
    let site = start_site("beliefs-new", "").await;
    site.configure(&["another"], |_| {});
    sleep_ms(300).await;
    let statuses = [site.send(0, &lookup("a1", KEY)).await, site.send(1, &lookup("a2", "another")).await];
    assert_eq!(statuses.map(|outcome| outcome.status), [401, 200]);
    site.configure(&[KEY], |config| config["version"] = json!(1));
    site.store.put("keyed.op", "config", "not a configuration");
    sleep_ms(300).await;
    let statuses = [site.send(0, &lookup("a3", KEY)).await, site.send(1, &lookup("a4", "another")).await];
    assert_eq!(statuses.map(|outcome| outcome.status), [401, 200]);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_recent_verification_no_key_is_trusted_and_the_entry_is_not_ready() {
    for fault in [Fault::Unresponsive, Fault::Unavailable, Fault::TooManyRequests] {
        let site = start_site("beliefs-proof", "revoke_ms = 3000").await;
        // All entries lose the store, because an entry that alone loses it gets its data from the other one.
        site.store_listeners.iter().for_each(|listener| listener.set_fault(fault));
        // The key is revoked while the entries receive nothing.
        site.configure(&["another"], |_| {});
        sleep_ms(3_200).await;
        for entry in 0..2 {
            let outcome = site.send(entry, &lookup(&format!("b1{entry}"), KEY)).await;
            assert_eq!(outcome.status, 503, "{fault:?}: {outcome:?}");
            assert!(!outcome.header("retry-after").is_empty());
            assert!(!site.is_ready(entry).await, "{fault:?}");
        }
        site.store_listeners.iter().for_each(|listener| listener.set_fault(Fault::None));
        for entry in 0..2 {
            site.wait_ready(entry, true).await.expect("the entry is ready again");
            assert_eq!(site.send(entry, &lookup(&format!("b2{entry}"), "another")).await.status, 200, "{fault:?}");
            assert_eq!(site.send(entry, &lookup(&format!("b3{entry}"), KEY)).await.status, 401, "{fault:?}");
        }
        site.close().expect("no invariant was breached");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_announces_its_end_or_vanishes_gets_nothing_more() {
    let site = start_site("beliefs-leave", "drain_ms = 600").await;
    site.store.put("keyed.servers", "plain-0", site.plain_replicas[0].store_record("ledger", "draining"));
    sleep_ms(600).await;
    for number in 0..6 {
        assert_eq!(site.send(number % 2, &lookup(&format!("c{number}"), KEY)).await.status, 200);
    }
    assert_eq!(site.plain_replicas[0].received_requests().len(), 0);
    // The announced termination of a run is final, whatever its record says later.
    site.store.put("keyed.servers", "plain-0", site.plain_replicas[0].store_record("ledger", "ready"));
    site.store.put("keyed.servers", "plain-1", "");
    sleep_ms(600).await;
    assert_eq!(site.send(0, &lookup("c9", KEY)).await.status, 503);
    assert_eq!(site.plain_replicas[0].received_requests().len(), 0);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn records_that_lapsed_in_an_outage_are_waited_for_and_then_taken_as_gone() {
    let site = start_site("beliefs-lapse", "drain_ms = 400").await;
    site.store_listeners.iter().for_each(|listener| listener.set_fault(Fault::Unavailable));
    sleep_ms(700).await;
    site.store.put("keyed.servers", "plain-0", "");
    site.store.put("keyed.servers", "plain-1", "");
    site.store_listeners.iter().for_each(|listener| listener.set_fault(Fault::None));
    sleep_ms(900).await;
    assert_eq!(site.send(0, &lookup("d1", KEY)).await.status, 200, "a replica with an expired record is still used");
    site.store.put("keyed.servers", "plain-0", site.plain_replicas[0].store_record("ledger", "ready"));
    sleep_ms(2_600).await;
    let before = site.plain_replicas[1].received_requests().len();
    for number in 0..6 {
        assert_eq!(site.send(0, &lookup(&format!("e{number}"), KEY)).await.status, 200);
    }
    assert_eq!(
        site.plain_replicas[1].received_requests().len(),
        before,
        "a replica whose record is still missing is removed"
    );
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_forgets_its_history_changes_no_belief() {
    let site = start_site("beliefs-compact", "drain_ms = 400").await;
    site.store.put("keyed.servers", "plain-1", "");
    site.store.compact("keyed.servers");
    site.store.compact("keyed.op");
    sleep_ms(1_000).await;
    for number in 0..4 {
        assert_eq!(site.send(0, &lookup(&format!("f{number}"), KEY)).await.status, 200);
    }
    assert_eq!(site.plain_replicas[1].received_requests().len(), 0, "a replica removed before the compaction is gone");
    site.configure(&["another"], |_| {});
    sleep_ms(500).await;
    assert_eq!(site.send(0, &lookup("f9", "another")).await.status, 200);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_cannot_be_decoded_proves_nothing_however_often_it_is_read() {
    let site = start_site("beliefs-unsound", "revoke_ms = 1000").await;
    site.store.put("keyed.op", "config", "not a configuration");
    sleep_ms(1_600).await;
    for entry in 0..2 {
        assert!(!site.is_ready(entry).await, "entry {entry} cannot know which keys were revoked");
        assert_eq!(site.send(entry, &lookup(&format!("u{entry}"), KEY)).await.status, 503);
    }
    site.configure(&[KEY], |_| {});
    for entry in 0..2 {
        site.wait_ready(entry, true).await.expect("a valid configuration is in force");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn where_keys_may_outlast_an_outage_known_ones_are_served_and_nothing_is_denied() {
    for fault in [Fault::Unresponsive, Fault::Unavailable] {
        let bounds = "revoke_ms = 1000\nconfig_apply_ms = 1000\nrevoke_strict = false";
        let mut site = start_site("beliefs-lax", bounds).await;
        // An entry is ready once it has the configuration; it may not have the replicas' records yet.
        for entry in 0..2 {
            let is_served = || async { site.send(entry, &lookup("v0", KEY)).await.status == 200 };
            common::wait_until("the entry knows a replica", is_served).await;
        }
        site.store_listeners.iter().for_each(|listener| listener.set_fault(fault));
        sleep_ms(2_000).await;
        // One key is revoked and another one is added while the entries receive nothing.
        site.configure(&["another"], |_| {});
        for entry in 0..2 {
            assert!(site.is_ready(entry).await, "{fault:?}");
            let known_key = site.send(entry, &lookup(&format!("v1{entry}"), KEY)).await;
            assert_eq!(known_key.status, 200, "{fault:?}: {known_key:?}");
            let unknown_key = site.send(entry, &lookup(&format!("v2{entry}"), "another")).await;
            assert_eq!(unknown_key.status, 503, "{fault:?}: {unknown_key:?}");
        }
        site.store_listeners.iter().for_each(|listener| listener.set_fault(Fault::None));
        sleep_ms(2_500).await;
        for entry in 0..2 {
            assert_eq!(site.send(entry, &lookup(&format!("v3{entry}"), "another")).await.status, 200, "{fault:?}");
            assert_eq!(site.send(entry, &lookup(&format!("v4{entry}"), KEY)).await.status, 401, "{fault:?}");
        }
        // An entry without any configuration trusts no key, however lax the bound is.
        site.store_listeners.iter().for_each(|listener| listener.set_fault(fault));
        site.restart(0).await.expect("the entry starts");
        site.restart(1).await.expect("the entry starts");
        sleep_ms(500).await;
        for entry in 0..2 {
            assert!(!site.is_ready(entry).await, "{fault:?}");
            assert_ne!(site.send(entry, &lookup(&format!("v5{entry}"), "another")).await.status, 200, "{fault:?}");
        }
        site.close().expect("no invariant was breached");
    }
}
