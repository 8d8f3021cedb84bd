//! Recovery of the store from an older copy: entries keep what the store lost, and apply what is written afterwards.

mod common;

use std::time::Duration;

use common::leader;
use common::load::{count_served, lookup as lookup_with_key, send_load};
use rustix::process::Signal;
use standin::platform::{Fault, KEY, RequestSpec, Site, Snapshot, Spec};

/// Time within which a change in the store is in force at all entries.
const APPLY_TIMEOUT: Duration = Duration::from_millis(900);
/// Length of the outage of the store.
const OUTAGE: Duration = Duration::from_millis(500);
/// Grace period after the store's return, during which records that it lost still count as present.
const RECOVERY_GRACE: Duration = Duration::from_millis(2_000);
/// Time within which an entry finds the leader again: twice the longest interval between two searches.
const LEADER_SEARCH_TIME: Duration = Duration::from_secs(6);
/// Interval between two heartbeats of a replica.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

fn lookup(id: &str, key: &str) -> RequestSpec {
    RequestSpec::new("GET", "/look/1", id, key).with_header("deadline-ms", "800")
}

async fn start_site(name: &str) -> Site {
    let spec = Spec { entries: 3, plain_replicas: 3, bounds: "drain_ms = 600".to_owned(), ..Spec::small(name) };
    Site::start(spec).await.expect("the site starts")
}

fn set_store_fault(site: &Site, fault: Fault) {
    site.store_listeners.iter().for_each(|listener| listener.set_fault(fault));
}

/// Makes the store unavailable and restores it from `copy`; `write` runs before an entry can read the store again.
async fn restore_store(site: &Site, copy: Snapshot, write: impl FnOnce(&Site)) {
    set_store_fault(site, Fault::Unavailable);
    tokio::time::sleep(OUTAGE).await;
    site.store.restore(copy);
    write(site);
    set_store_fault(site, Fault::None);
}

fn write_heartbeat(site: &Site, replica: usize) {
    let replica = &site.plain_replicas[replica];
    site.store.put("keyed.servers", &replica.id, replica.store_record("ledger", "ready"));
}

/// Returns the number of requests that reached a plain replica.
fn request_count(site: &Site, replica: usize) -> usize {
    site.plain_replicas[replica].received_requests().len()
}

async fn send_to_all(site: &Site, id: &str, key: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for entry in 0..site.addresses.len() {
        statuses.push(site.send(entry, &lookup(&format!("{id}-{entry}"), key)).await.status);
    }
    statuses
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_at_an_offset_that_was_given_out_before_is_in_force_at_all_entries() {
    let site = start_site("eras-change").await;
    let copy = site.store.snapshot();
    for _ in 0..4 {
        site.configure(&[KEY], |_| {});
    }
    tokio::time::sleep(APPLY_TIMEOUT).await;
    restore_store(&site, copy, |site| {
        site.rewrite_configuration(&[KEY]);
        site.write_replica_records();
    })
    .await;
    tokio::time::sleep(APPLY_TIMEOUT).await;
    // The first change gets an offset below the latest offset that the entries know.
    for (round, (revoked, added)) in [(KEY, "second"), ("second", "third"), ("third", "fourth")].into_iter().enumerate()
    {
        site.configure(&[added], |_| {});
        tokio::time::sleep(APPLY_TIMEOUT).await;
        assert_eq!(send_to_all(&site, &format!("given-{round}"), added).await, [200; 3], "{added}");
        assert_eq!(send_to_all(&site, &format!("taken-{round}"), revoked).await, [401; 3], "{revoked}");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_below_the_known_end_of_a_log_that_has_grown_past_it_again_is_not_missed() {
    let site = start_site("eras-grown").await;
    let copy = site.store.snapshot();
    site.write_replica_records();
    site.write_replica_records();
    tokio::time::sleep(APPLY_TIMEOUT).await;
    restore_store(&site, copy, |site| {
        site.rewrite_configuration(&[KEY]);
        site.store.put("keyed.servers", "plain-0", site.plain_replicas[0].store_record("ledger", "draining"));
        (0..8).for_each(|_| [1, 2].into_iter().for_each(|replica| write_heartbeat(site, replica)));
    })
    .await;
    tokio::time::sleep(APPLY_TIMEOUT).await;
    let before = request_count(&site, 0);
    let outcomes = send_load(&site, 30, Duration::from_secs(1), lookup_with_key).await;
    assert_eq!(count_served(&outcomes), outcomes.len());
    assert_eq!(request_count(&site, 0), before, "the record says that the replica is draining");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_whose_removal_the_store_has_lost_gets_nothing_until_it_writes_again() {
    let site = start_site("eras-removed").await;
    let copy = site.store.snapshot();
    site.store.put("keyed.servers", "plain-0", "");
    tokio::time::sleep(APPLY_TIMEOUT).await;
    restore_store(&site, copy, |site| site.rewrite_configuration(&[KEY])).await;
    let before = request_count(&site, 0);
    for _ in 0..4 {
        [1, 2].into_iter().for_each(|replica| write_heartbeat(&site, replica));
        send_load(&site, 30, HEARTBEAT_INTERVAL, lookup_with_key).await;
    }
    assert_eq!(request_count(&site, 0), before, "all entries know that the replica was removed");
    write_heartbeat(&site, 0);
    tokio::time::sleep(APPLY_TIMEOUT).await;
    send_load(&site, 30, Duration::from_secs(1), lookup_with_key).await;
    assert!(request_count(&site, 0) > before, "the replica is used again");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn replicas_whose_records_the_store_has_lost_are_used_until_they_should_have_written_again() {
    let site = start_site("eras-lapsed").await;
    for replica in &site.plain_replicas {
        site.store.put("keyed.servers", &replica.id, "");
    }
    let copy = site.store.snapshot();
    site.write_replica_records();
    tokio::time::sleep(APPLY_TIMEOUT).await;
    assert_eq!(send_to_all(&site, "before", KEY).await, [200; 3]);
    restore_store(&site, copy, |site| site.rewrite_configuration(&[KEY])).await;
    let outcomes = send_load(&site, 20, RECOVERY_GRACE / 2, lookup_with_key).await;
    assert_eq!(count_served(&outcomes), outcomes.len(), "replicas are used until their records are due");
    write_heartbeat(&site, 0);
    tokio::time::sleep(RECOVERY_GRACE + APPLY_TIMEOUT).await;
    let before = [request_count(&site, 1), request_count(&site, 2)];
    let outcomes = send_load(&site, 20, Duration::from_secs(1), lookup_with_key).await;
    assert_eq!(count_served(&outcomes), outcomes.len());
    assert_eq!(
        [request_count(&site, 1), request_count(&site, 2)],
        before,
        "replicas whose records are still missing are removed"
    );
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_domain_stays_evacuated_while_the_store_has_lost_the_record() {
    let site = start_site("eras-evacuation").await;
    site.plain_replicas[0].set_failure_domain("there");
    site.write_replica_records();
    tokio::time::sleep(APPLY_TIMEOUT).await;
    let copy = site.store.snapshot();
    site.evacuate("there");
    tokio::time::sleep(APPLY_TIMEOUT).await;
    let before = request_count(&site, 0);
    restore_store(&site, copy, |site| site.write_replica_records()).await;
    send_load(&site, 30, RECOVERY_GRACE / 2, lookup_with_key).await;
    site.rewrite_configuration(&[KEY]);
    site.evacuate("there");
    send_load(&site, 30, RECOVERY_GRACE, lookup_with_key).await;
    assert_eq!(request_count(&site, 0), before, "the evacuation has not ended");
    site.cancel_evacuation("there");
    tokio::time::sleep(APPLY_TIMEOUT).await;
    send_load(&site, 30, Duration::from_secs(1), lookup_with_key).await;
    assert!(request_count(&site, 0) > before, "the evacuation has ended");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_older_than_the_one_in_force_verifies_nothing() {
    let spec = Spec { bounds: "revoke_ms = 2000".to_owned(), ..Spec::small("eras-older") };
    let site = Site::start(spec).await.expect("the site starts");
    let copy = site.store.snapshot();
    site.configure(&["another"], |_| {});
    tokio::time::sleep(APPLY_TIMEOUT).await;
    restore_store(&site, copy, |site| site.write_replica_records()).await;
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    for entry in 0..2 {
        assert_eq!(
            site.send(entry, &lookup(&format!("lost-{entry}"), "another")).await.status,
            503,
            "the key may have been revoked"
        );
        assert_eq!(site.send(entry, &lookup(&format!("old-{entry}"), KEY)).await.status, 503);
    }
    site.rewrite_configuration(&["another"]);
    for entry in 0..2 {
        site.wait_ready(entry, true).await.expect("the newest configuration is back");
        assert_eq!(site.send(entry, &lookup(&format!("back-{entry}"), "another")).await.status, 200);
        assert_eq!(site.send(entry, &lookup(&format!("gone-{entry}"), KEY)).await.status, 401);
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_has_lost_every_configuration_verifies_nothing() {
    let spec = Spec { bounds: "revoke_ms = 2000".to_owned(), ..Spec::small("eras-none") };
    let site = Site::start(spec).await.expect("the site starts");
    let copy = site.store.snapshot().without_topic("keyed.op");
    restore_store(&site, copy, |site| site.write_replica_records()).await;
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    for entry in 0..2 {
        assert_eq!(
            site.send(entry, &lookup(&format!("lost-{entry}"), KEY)).await.status,
            503,
            "the key may have been revoked"
        );
    }
    site.rewrite_configuration(&[KEY]);
    for entry in 0..2 {
        site.wait_ready(entry, true).await.expect("the configuration is back");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn announcements_that_the_store_has_lost_are_written_again_in_a_few_calls() {
    let mut site = start_site("eras-announced").await;
    tokio::time::sleep(APPLY_TIMEOUT).await;
    let copy = site.store.snapshot();
    site.restart(2).await.expect("the entry restarts");
    site.wait_ready(2, true).await.expect("the entry is ready");
    tokio::time::sleep(APPLY_TIMEOUT).await;
    let announced = |site: &Site| site.store.value("keyed.peers", site.peer_address(2));
    let newest = announced(&site);
    restore_store(&site, copy, |site| {
        site.rewrite_configuration(&[KEY]);
        site.write_replica_records();
    })
    .await;
    assert_ne!(announced(&site), newest, "the copy is older");
    tokio::time::sleep(RECOVERY_GRACE).await;
    assert_eq!(announced(&site), newest, "{}", site.log(2));
    // The entry that remains after the others stop relies on the announced addresses.
    site.signal(0, Signal::TERM).expect("the signal is sent");
    site.signal(1, Signal::TERM).expect("the signal is sent");
    tokio::time::sleep(RECOVERY_GRACE).await;
    assert_eq!(site.send(2, &lookup("left", KEY)).await.status, 200);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_verdict_that_the_store_has_lost_is_written_again() {
    let site = start_site("eras-verdict").await;
    site.plain_replicas.iter().for_each(|replica| replica.crash_on("fatal", HEARTBEAT_INTERVAL));
    let copy = site.store.snapshot();
    for number in 0..10 {
        let request = RequestSpec { body: "fatal".into(), ..lookup(&format!("fatal-{number}"), KEY) };
        site.send(number % 3, &request).await;
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
    let verdicts = site.store.keys("keyed.quarantine");
    assert_eq!(verdicts.len(), 1, "{}", site.log(0));
    restore_store(&site, copy, |site| {
        site.rewrite_configuration(&[KEY]);
        site.write_replica_records();
    })
    .await;
    assert!(site.store.keys("keyed.quarantine").is_empty(), "the copy is older");
    tokio::time::sleep(RECOVERY_GRACE + APPLY_TIMEOUT).await;
    assert_eq!(site.store.keys("keyed.quarantine"), verdicts);
    site.close().expect("no invariant was breached");
}

/// Guards against a configuration that counts as the newest because it was read later: an entry that started on the
/// restored store was told that it had the newest, though another had a newer one in force.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_started_on_a_restored_store_gets_the_configuration_that_is_written_again() {
    let mut site = Site::start(Spec::small("eras-started")).await.expect("the site starts");
    let leader = leader(&site, 2).await;
    let follower = 1 - leader;
    let copy = site.store.snapshot();
    site.configure(&["another"], |_| {});
    tokio::time::sleep(APPLY_TIMEOUT).await;
    site.signal(leader, Signal::STOP).expect("the leader is suspended");
    restore_store(&site, copy, |site| site.write_replica_records()).await;
    site.restart(follower).await.expect("the follower restarts");
    site.wait_ready(follower, true).await.expect("the follower is ready");
    assert_eq!(site.send(follower, &lookup("restored", KEY)).await.status, 200, "{}", site.log(follower));
    site.signal(leader, Signal::CONT).expect("the leader resumes");
    tokio::time::sleep(LEADER_SEARCH_TIME).await;
    site.rewrite_configuration(&["another"]);
    tokio::time::sleep(APPLY_TIMEOUT).await;
    for entry in [leader, follower] {
        let log = site.log(entry);
        assert_eq!(site.send(entry, &lookup(&format!("new-{entry}"), "another")).await.status, 200, "{log}");
        assert_eq!(site.send(entry, &lookup(&format!("old-{entry}"), KEY)).await.status, 401, "{log}");
    }
    site.close().expect("no invariant was breached");
}
