//! A store that comes back from an older copy: what it lost is not taken back, and what is written then is in force.

mod common;

use std::time::Duration;

use common::load::{load, look as look_with_key, served};
use rustix::process::Signal;
use standin::platform::{RequestSpec, Snapshot, Fault, KEY, Site, Spec};

/// Time in which what is new in the store is in force at all entries.
const IN_FORCE: Duration = Duration::from_millis(900);
/// Time in which the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Records that lapsed are back within this time of the store's return, and count as lapsed for no longer.
const GRACE: Duration = Duration::from_millis(2_000);
/// Time between two heartbeats of a replica.
const HEARTBEAT: Duration = Duration::from_millis(300);

fn look(id: &str, key: &str) -> RequestSpec {
    RequestSpec::new("GET", "/look/1", id, key).with_header("deadline-ms", "800")
}

async fn site(name: &str) -> Site {
    let spec = Spec { entries: 3, plain_replicas: 3, bounds: "drain_ms = 600".to_owned(), ..Spec::small(name) };
    Site::start(spec).await.expect("the site starts")
}

fn set_all(site: &Site, fault: Fault) {
    site.store_listeners.iter().for_each(|door| door.set_fault(fault));
}

/// The store goes away and comes back from a copy; `written_again` is there before anybody can read it.
async fn come_back(site: &Site, copy: Snapshot, written_again: impl FnOnce(&Site)) {
    set_all(site, Fault::Unavailable);
    tokio::time::sleep(AWAY).await;
    site.store.restore(copy);
    written_again(site);
    set_all(site, Fault::None);
}

fn heartbeat(site: &Site, replica: usize) {
    let replica = &site.plain_replicas[replica];
    site.store.put("keyed.servers", &replica.id, replica.store_record("ledger", "ready"));
}

/// How many requests reached a plain replica.
fn reached(site: &Site, replica: usize) -> usize {
    site.plain_replicas[replica].received_requests().len()
}

async fn statuses(site: &Site, id: &str, key: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for entry in 0..site.addresses.len() {
        statuses.push(site.send(entry, &look(&format!("{id}-{entry}"), key)).await.status);
    }
    statuses
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_at_an_offset_that_was_given_out_before_is_in_force_at_all_entries() {
    let site = site("eras-change").await;
    let copy = site.store.snapshot();
    for _ in 0..4 {
        site.configure(&[KEY], |_| {});
    }
    tokio::time::sleep(IN_FORCE).await;
    come_back(&site, copy, |site| {
        site.rewrite_configuration(&[KEY]);
        site.write_replica_records();
    })
    .await;
    tokio::time::sleep(IN_FORCE).await;
    // The first is at an offset below those that all entries know.
    for (round, (taken, given)) in [(KEY, "second"), ("second", "third"), ("third", "fourth")].into_iter().enumerate() {
        site.configure(&[given], |_| {});
        tokio::time::sleep(IN_FORCE).await;
        assert_eq!(statuses(&site, &format!("given-{round}"), given).await, [200; 3], "{given}");
        assert_eq!(statuses(&site, &format!("taken-{round}"), taken).await, [401; 3], "{taken}");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_below_the_known_end_of_a_log_that_has_grown_past_it_again_is_not_missed() {
    let site = site("eras-grown").await;
    let copy = site.store.snapshot();
    site.write_replica_records();
    site.write_replica_records();
    tokio::time::sleep(IN_FORCE).await;
    come_back(&site, copy, |site| {
        site.rewrite_configuration(&[KEY]);
        site.store.put("keyed.servers", "plain-0", site.plain_replicas[0].store_record("ledger", "draining"));
        (0..8).for_each(|_| [1, 2].into_iter().for_each(|replica| heartbeat(site, replica)));
    })
    .await;
    tokio::time::sleep(IN_FORCE).await;
    let before = reached(&site, 0);
    let seen = load(&site, 30, Duration::from_secs(1), look_with_key).await;
    assert_eq!(served(&seen), seen.len());
    assert_eq!(reached(&site, 0), before, "its record says that it leaves");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_whose_removal_the_store_has_lost_gets_nothing_until_it_writes_again() {
    let site = site("eras-removed").await;
    let copy = site.store.snapshot();
    site.store.put("keyed.servers", "plain-0", "");
    tokio::time::sleep(IN_FORCE).await;
    come_back(&site, copy, |site| site.rewrite_configuration(&[KEY])).await;
    let before = reached(&site, 0);
    for _ in 0..4 {
        [1, 2].into_iter().for_each(|replica| heartbeat(&site, replica));
        load(&site, 30, HEARTBEAT, look_with_key).await;
    }
    assert_eq!(reached(&site, 0), before, "all entries know that it is gone");
    heartbeat(&site, 0);
    tokio::time::sleep(IN_FORCE).await;
    load(&site, 30, Duration::from_secs(1), look_with_key).await;
    assert!(reached(&site, 0) > before, "it lives");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn replicas_whose_records_the_store_has_lost_are_used_until_they_should_have_written_again() {
    let site = site("eras-lapsed").await;
    for replica in &site.plain_replicas {
        site.store.put("keyed.servers", &replica.id, "");
    }
    let copy = site.store.snapshot();
    site.write_replica_records();
    tokio::time::sleep(IN_FORCE).await;
    assert_eq!(statuses(&site, "before", KEY).await, [200; 3]);
    come_back(&site, copy, |site| site.rewrite_configuration(&[KEY])).await;
    let seen = load(&site, 20, GRACE / 2, look_with_key).await;
    assert_eq!(served(&seen), seen.len(), "not written again yet is not gone");
    heartbeat(&site, 0);
    tokio::time::sleep(GRACE + IN_FORCE).await;
    let before = [reached(&site, 1), reached(&site, 2)];
    let seen = load(&site, 20, Duration::from_secs(1), look_with_key).await;
    assert_eq!(served(&seen), seen.len());
    assert_eq!([reached(&site, 1), reached(&site, 2)], before, "what is still missing is gone");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_emptied_domain_stays_empty_while_the_store_has_lost_the_word_of_it() {
    let site = site("eras-evacuation").await;
    site.plain_replicas[0].set_failure_domain("there");
    site.write_replica_records();
    tokio::time::sleep(IN_FORCE).await;
    let copy = site.store.snapshot();
    site.evacuate("there");
    tokio::time::sleep(IN_FORCE).await;
    let before = reached(&site, 0);
    come_back(&site, copy, |site| site.write_replica_records()).await;
    load(&site, 30, GRACE / 2, look_with_key).await;
    site.rewrite_configuration(&[KEY]);
    site.evacuate("there");
    load(&site, 30, GRACE, look_with_key).await;
    assert_eq!(reached(&site, 0), before, "operators have not taken it back");
    site.cancel_evacuation("there");
    tokio::time::sleep(IN_FORCE).await;
    load(&site, 30, Duration::from_secs(1), look_with_key).await;
    assert!(reached(&site, 0) > before, "now they have");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_older_than_the_one_in_force_proves_nothing() {
    let spec = Spec { bounds: "revoke_ms = 2000".to_owned(), ..Spec::small("eras-older") };
    let site = Site::start(spec).await.expect("the site starts");
    let copy = site.store.snapshot();
    site.configure(&["another"], |_| {});
    tokio::time::sleep(IN_FORCE).await;
    come_back(&site, copy, |site| site.write_replica_records()).await;
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    for entry in 0..2 {
        assert_eq!(
            site.send(entry, &look(&format!("lost-{entry}"), "another")).await.status,
            503,
            "it may be taken away"
        );
        assert_eq!(site.send(entry, &look(&format!("old-{entry}"), KEY)).await.status, 503);
    }
    site.rewrite_configuration(&["another"]);
    for entry in 0..2 {
        site.wait_ready(entry, true).await.expect("the newest is back");
        assert_eq!(site.send(entry, &look(&format!("back-{entry}"), "another")).await.status, 200);
        assert_eq!(site.send(entry, &look(&format!("gone-{entry}"), KEY)).await.status, 401);
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_has_lost_every_configuration_proves_nothing() {
    let spec = Spec { bounds: "revoke_ms = 2000".to_owned(), ..Spec::small("eras-none") };
    let site = Site::start(spec).await.expect("the site starts");
    let copy = site.store.snapshot().without_topic("keyed.op");
    come_back(&site, copy, |site| site.write_replica_records()).await;
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    for entry in 0..2 {
        assert_eq!(site.send(entry, &look(&format!("lost-{entry}"), KEY)).await.status, 503, "it may be taken away");
    }
    site.rewrite_configuration(&[KEY]);
    for entry in 0..2 {
        site.wait_ready(entry, true).await.expect("it is back");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn announcements_that_the_store_has_lost_are_written_again_in_a_few_calls() {
    let mut site = site("eras-announced").await;
    tokio::time::sleep(IN_FORCE).await;
    let copy = site.store.snapshot();
    site.restart(2).await.expect("it starts again");
    site.wait_ready(2, true).await.expect("it is ready");
    tokio::time::sleep(IN_FORCE).await;
    let announced = |site: &Site| site.store.value("keyed.peers", site.peer_address(2));
    let newest = announced(&site);
    come_back(&site, copy, |site| {
        site.rewrite_configuration(&[KEY]);
        site.write_replica_records();
    })
    .await;
    assert_ne!(announced(&site), newest, "the copy is older");
    tokio::time::sleep(GRACE).await;
    assert_eq!(announced(&site), newest, "{}", site.log(2));
    // Whoever is left when the others end finds the way by what is announced.
    site.signal(0, Signal::TERM).expect("it is told");
    site.signal(1, Signal::TERM).expect("it is told");
    tokio::time::sleep(GRACE).await;
    assert_eq!(site.send(2, &look("left", KEY)).await.status, 200);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_verdict_that_the_store_has_lost_is_written_again() {
    let site = site("eras-verdict").await;
    site.plain_replicas.iter().for_each(|replica| replica.crash_on("fatal", HEARTBEAT));
    let copy = site.store.snapshot();
    for number in 0..10 {
        let ask = RequestSpec { body: "fatal".into(), ..look(&format!("fatal-{number}"), KEY) };
        site.send(number % 3, &ask).await;
        tokio::time::sleep(HEARTBEAT).await;
    }
    let verdicts = site.store.keys("keyed.quarantine");
    assert_eq!(verdicts.len(), 1, "{}", site.log(0));
    come_back(&site, copy, |site| {
        site.rewrite_configuration(&[KEY]);
        site.write_replica_records();
    })
    .await;
    assert!(site.store.keys("keyed.quarantine").is_empty(), "the copy is older");
    tokio::time::sleep(GRACE + IN_FORCE).await;
    assert_eq!(site.store.keys("keyed.quarantine"), verdicts);
    site.close().expect("no invariant was breached");
}
