//! What entries believe: the configuration, keys and replicas, through outages of the store.

use std::time::Duration;

use serde_json::json;
use standin::platform::{RequestSpec, Fault, KEY, Site, Spec};

fn look(id: &str, key: &str) -> RequestSpec {
    RequestSpec::new("GET", "/look/1", id, key).with_header("deadline-ms", "800")
}

async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

async fn site(name: &str, bounds: &str) -> Site {
    Site::start(Spec { bounds: bounds.to_owned(), ..Spec::small(name) }).await.expect("the site starts")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_configuration_is_in_force_at_once_and_an_older_one_never_again() {
    let site = site("beliefs-new", "").await;
    site.configure(&["another"], |_| {});
    pause(300).await;
    let statuses = [site.send(0, &look("a1", KEY)).await, site.send(1, &look("a2", "another")).await];
    assert_eq!(statuses.map(|seen| seen.status), [401, 200]);
    site.configure(&[KEY], |config| config["version"] = json!(1));
    site.store.put("keyed.op", "config", "not a configuration");
    pause(300).await;
    let statuses = [site.send(0, &look("a3", KEY)).await, site.send(1, &look("a4", "another")).await];
    assert_eq!(statuses.map(|seen| seen.status), [401, 200]);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_recent_proof_no_key_is_trusted_and_the_entry_is_not_ready() {
    for fault in [Fault::Unresponsive, Fault::Unavailable, Fault::TooManyRequests] {
        let site = site("beliefs-proof", "revoke_ms = 3000").await;
        // Both doors: an entry that the store turns away hears from the other one.
        site.store_listeners.iter().for_each(|door| door.set_fault(fault));
        // The key is taken away while the entries hear nothing.
        site.configure(&["another"], |_| {});
        pause(3_200).await;
        for entry in 0..2 {
            let seen = site.send(entry, &look(&format!("b1{entry}"), KEY)).await;
            assert_eq!(seen.status, 503, "{fault:?}: {seen:?}");
            assert!(!seen.header("retry-after").is_empty());
            assert!(!site.is_ready(entry).await, "{fault:?}");
        }
        site.store_listeners.iter().for_each(|door| door.set_fault(Fault::None));
        for entry in 0..2 {
            site.wait_ready(entry, true).await.expect("it comes back");
            assert_eq!(site.send(entry, &look(&format!("b2{entry}"), "another")).await.status, 200, "{fault:?}");
            assert_eq!(site.send(entry, &look(&format!("b3{entry}"), KEY)).await.status, 401, "{fault:?}");
        }
        site.close().expect("no invariant was breached");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_announces_its_end_or_vanishes_gets_nothing_more() {
    let site = site("beliefs-leave", "drain_ms = 600").await;
    site.store.put("keyed.servers", "plain-0", site.plain_replicas[0].store_record("ledger", "draining"));
    pause(600).await;
    for number in 0..6 {
        assert_eq!(site.send(number % 2, &look(&format!("c{number}"), KEY)).await.status, 200);
    }
    assert_eq!(site.plain_replicas[0].received_requests().len(), 0);
    // Its end is final, whatever its record says later.
    site.store.put("keyed.servers", "plain-0", site.plain_replicas[0].store_record("ledger", "ready"));
    site.store.put("keyed.servers", "plain-1", "");
    pause(600).await;
    assert_eq!(site.send(0, &look("c9", KEY)).await.status, 503);
    assert_eq!(site.plain_replicas[0].received_requests().len(), 0);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn records_that_lapsed_in_an_outage_are_waited_for_and_then_taken_as_gone() {
    let site = site("beliefs-lapse", "drain_ms = 400").await;
    site.store_listeners.iter().for_each(|door| door.set_fault(Fault::Unavailable));
    pause(700).await;
    site.store.put("keyed.servers", "plain-0", "");
    site.store.put("keyed.servers", "plain-1", "");
    site.store_listeners.iter().for_each(|door| door.set_fault(Fault::None));
    pause(900).await;
    assert_eq!(site.send(0, &look("d1", KEY)).await.status, 200, "lapsed is not gone");
    site.store.put("keyed.servers", "plain-0", site.plain_replicas[0].store_record("ledger", "ready"));
    pause(2_600).await;
    let before = site.plain_replicas[1].received_requests().len();
    for number in 0..6 {
        assert_eq!(site.send(0, &look(&format!("e{number}"), KEY)).await.status, 200);
    }
    assert_eq!(site.plain_replicas[1].received_requests().len(), before, "one that is still missing is gone");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_forgets_its_history_changes_no_belief() {
    let site = site("beliefs-compact", "drain_ms = 400").await;
    site.store.put("keyed.servers", "plain-1", "");
    site.store.compact("keyed.servers");
    site.store.compact("keyed.op");
    pause(1_000).await;
    for number in 0..4 {
        assert_eq!(site.send(0, &look(&format!("f{number}"), KEY)).await.status, 200);
    }
    assert_eq!(site.plain_replicas[1].received_requests().len(), 0, "what was removed in between is gone");
    site.configure(&["another"], |_| {});
    pause(500).await;
    assert_eq!(site.send(0, &look("f9", "another")).await.status, 200);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_cannot_be_decoded_proves_nothing_however_often_it_is_read() {
    let site = site("beliefs-unsound", "revoke_ms = 1000").await;
    site.store.put("keyed.op", "config", "not a configuration");
    pause(1_600).await;
    for entry in 0..2 {
        assert!(!site.is_ready(entry).await, "entry {entry} cannot know which keys were taken away");
        assert_eq!(site.send(entry, &look(&format!("u{entry}"), KEY)).await.status, 503);
    }
    site.configure(&[KEY], |_| {});
    for entry in 0..2 {
        site.wait_ready(entry, true).await.expect("a sound one is in force");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn where_keys_may_outlast_an_outage_known_ones_are_served_and_nothing_is_denied() {
    for fault in [Fault::Unresponsive, Fault::Unavailable] {
        let bounds = "revoke_ms = 1000\nconfig_apply_ms = 1000\nrevoke_strict = false";
        let mut site = site("beliefs-lax", bounds).await;
        site.store_listeners.iter().for_each(|door| door.set_fault(fault));
        pause(2_000).await;
        // Taken away while the entries hear nothing, as is one more key given.
        site.configure(&["another"], |_| {});
        for entry in 0..2 {
            assert!(site.is_ready(entry).await, "{fault:?}");
            let known = site.send(entry, &look(&format!("v1{entry}"), KEY)).await;
            assert_eq!(known.status, 200, "{fault:?}: {known:?}");
            let unknown = site.send(entry, &look(&format!("v2{entry}"), "another")).await;
            assert_eq!(unknown.status, 503, "{fault:?}: {unknown:?}");
        }
        site.store_listeners.iter().for_each(|door| door.set_fault(Fault::None));
        pause(2_500).await;
        for entry in 0..2 {
            assert_eq!(site.send(entry, &look(&format!("v3{entry}"), "another")).await.status, 200, "{fault:?}");
            assert_eq!(site.send(entry, &look(&format!("v4{entry}"), KEY)).await.status, 401, "{fault:?}");
        }
        // One that knows no configuration at all trusts nobody, however lax the bound.
        site.store_listeners.iter().for_each(|door| door.set_fault(fault));
        site.restart(0).await.expect("it starts");
        site.restart(1).await.expect("it starts");
        pause(500).await;
        for entry in 0..2 {
            assert!(!site.is_ready(entry).await, "{fault:?}");
            assert_ne!(site.send(entry, &look(&format!("v5{entry}"), "another")).await.status, 200, "{fault:?}");
        }
        site.close().expect("no invariant was breached");
    }
}
