//! Store data that entries get from each other: few calls to the store, and no data passes for newer than it is.

mod common;

use std::time::{Duration, Instant};

use common::leader;
use rustix::process::Signal;
use serde_json::{Value, json};
use standin::platform::{Fault, KEY, RequestSpec, Site, Spec};

const OTHER_KEY: &str = "another-key";

fn lookup(id: &str, key: &str) -> RequestSpec {
    RequestSpec::new("GET", "/look/1", id, key).with_header("deadline-ms", "2000")
}

async fn start_site(name: &str, bounds: &str) -> Site {
    let spec = Spec { entries: 3, bounds: bounds.to_owned(), ..Spec::small(name) };
    Site::start(spec).await.expect("the site starts")
}

/// Returns the entry that reads the store for the others, once all of them follow it, and then its followers.
async fn leader_and_followers(site: &Site) -> (usize, Vec<usize>) {
    let leader = leader(site, 3).await;
    (leader, (0..3).filter(|entry| *entry != leader).collect())
}

/// Sends requests to an entry until it answers with `status`; fails after `limit`.
async fn wait_for_status(site: &Site, entry: usize, key: &str, status: u16, limit: Duration) {
    let started = Instant::now();
    for number in 0.. {
        let outcome = site.send(entry, &lookup(&format!("{entry}-{key}-{status}-{number}"), key)).await;
        if outcome.status == status {
            return;
        }
        assert!(started.elapsed() < limit, "entry {entry} answers {} in place of {status}", outcome.status);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_entry_reads_the_store_for_all() {
    let site = start_site("facts-calls", "").await;
    let (leader, others) = leader_and_followers(&site).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before: Vec<u64> = site.store_listeners.iter().map(|listener| listener.call_count()).collect();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls: Vec<u64> =
        site.store_listeners.iter().zip(before).map(|(listener, before)| listener.call_count() - before).collect();
    assert!(calls[leader] >= 8, "the leader keeps reading: {calls:?}");
    // The data that followers receive stays recent enough on a machine that is not short of processor time.
    assert!(others.iter().all(|entry| calls[*entry] < calls[leader] / 2), "{calls:?}");
    site.close().expect("no invariant was breached");
}

/// Guards against reads without a pause while no replica has a record, as when a deployment starts.
#[tokio::test(flavor = "multi_thread")]
async fn without_any_replica_the_store_is_read_no_more_often() {
    let spec = Spec {
        entries: 1,
        engines: 0,
        plain_replicas: 0,
        bounds: "drain_ms = 2000".to_owned(),
        ..Spec::small("facts-empty")
    };
    let site = Site::start(spec).await.expect("the site starts");
    let before = site.store_listeners[0].call_count();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let calls = site.store_listeners[0].call_count() - before;
    // Four reads of the replicas' records within the bound, and a few of the other topics.
    assert!(calls <= 4 + 8, "{calls} calls in 2 s");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_the_store_does_not_answer_learns_all_from_the_one_that_it_follows() {
    let site = start_site("facts-cut-off", "").await;
    let (_, others) = leader_and_followers(&site).await;
    let cut_off = others[0];
    site.store_listeners[cut_off].set_fault(Fault::Unresponsive);
    // Longer than a verification by the entry itself stays valid.
    tokio::time::sleep(Duration::from_millis(5_500)).await;
    assert_eq!(site.send(cut_off, &lookup("a1", KEY)).await.status, 200);
    site.configure(&[OTHER_KEY], |_| {});
    wait_for_status(&site, cut_off, KEY, 401, Duration::from_secs(2)).await;
    wait_for_status(&site, cut_off, OTHER_KEY, 200, Duration::from_secs(2)).await;
    let (draining, ready) = (&site.plain_replicas[0], &site.plain_replicas[1]);
    site.store.put("keyed.servers", &draining.id, draining.store_record("ledger", "draining"));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let before = draining.received_requests().len();
    for number in 0..10 {
        assert_eq!(site.send(cut_off, &lookup(&format!("b{number}"), OTHER_KEY)).await.status, 200);
    }
    assert_eq!(draining.received_requests().len(), before, "a draining replica gets no requests");
    assert!(ready.received_requests().len() >= 10);
    site.close().expect("no invariant was breached");
}

/// Adds `count` routes, each with its own host and prefix, named as by the operators' tools.
fn add_routes(config: &mut Value, count: usize) {
    let route = config["routes"][2].clone();
    let routes = config["routes"].as_array_mut().expect("routes are a list");
    for number in 0..count {
        let mut route = route.clone();
        let name = format!("{:08x}", (number as u32).wrapping_mul(2_654_435_761));
        route["host"] = json!(format!("{name}.example"));
        route["path_prefix"] = json!(format!("/{name}/"));
        route["name"] = json!(name);
        routes.push(route);
    }
}

/// Checks that an entry that the store refuses, and then its leader too, keeps a verified configuration of any size
/// for as long as an entry that it reaches has one, and no longer.
async fn assert_follower_stays_verified(name: &str, routes: usize) {
    let revoke = Duration::from_millis(3_000);
    let site = start_site(name, "revoke_ms = 3000").await;
    let (leader, others) = leader_and_followers(&site).await;
    let (cut_off, reader) = (others[0], others[1]);
    site.store_listeners[cut_off].set_fault(Fault::Unavailable);
    site.configure(&[KEY, OTHER_KEY], |config| add_routes(config, routes));
    wait_for_status(&site, cut_off, OTHER_KEY, 200, Duration::from_secs(2)).await;
    // Keys are revoked one after the other, for longer than a verification stays valid.
    for round in 0..4 {
        let (valid, revoked) = if round % 2 == 0 { (KEY, OTHER_KEY) } else { (OTHER_KEY, KEY) };
        site.configure(&[valid], |config| add_routes(config, routes));
        wait_for_status(&site, cut_off, revoked, 401, Duration::from_secs(2)).await;
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        assert_eq!(
            site.send(cut_off, &lookup(&format!("k{round}"), valid)).await.status,
            200,
            "the configuration is verified"
        );
    }
    // Only the third entry still reads the store; its data goes up to the leader and down to the other follower.
    site.store_listeners[leader].set_fault(Fault::Unavailable);
    tokio::time::sleep(revoke).await;
    site.configure(&[KEY], |config| add_routes(config, routes));
    wait_for_status(&site, cut_off, OTHER_KEY, 401, Duration::from_secs(3)).await;
    assert_eq!(site.send(cut_off, &lookup("l1", KEY)).await.status, 200, "the third entry reads for all");
    // No entry reads the store any more.
    site.store_listeners[reader].set_fault(Fault::Unavailable);
    tokio::time::sleep(revoke).await;
    for entry in 0..3 {
        assert_eq!(
            site.send(entry, &lookup(&format!("m{entry}"), KEY)).await.status,
            503,
            "no entry has a verified configuration"
        );
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn with_240_routes_an_entry_refused_by_the_store_keeps_a_verified_configuration() {
    assert_follower_stays_verified("facts-240", 240).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn with_1500_routes_an_entry_refused_by_the_store_keeps_a_verified_configuration() {
    assert_follower_stays_verified("facts-1500", 1_500).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_is_too_large_to_pass_on_is_in_force_all_the_same() {
    let site = start_site("facts-large", "").await;
    let (_, others) = leader_and_followers(&site).await;
    site.configure(&[KEY, OTHER_KEY], |config| {
        let route = config["routes"][2].clone();
        let routes = config["routes"].as_array_mut().expect("routes are a list");
        for number in 0..400 {
            let mut added_route = route.clone();
            added_route["name"] = json!(format!("more-{number}"));
            added_route["path_prefix"] = json!(format!("/more-{number}/"));
            routes.push(added_route);
        }
    });
    for entry in others {
        wait_for_status(&site, entry, OTHER_KEY, 200, Duration::from_secs(2)).await;
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_refused_in_time_when_the_entry_that_reads_is_frozen_and_the_store_is_silent() {
    let site = start_site("facts-frozen", "revoke_ms = 2500").await;
    let (leader, others) = leader_and_followers(&site).await;
    for listener in &site.store_listeners {
        listener.set_fault(Fault::Unresponsive);
    }
    site.signal(leader, Signal::STOP).expect("the entry is suspended");
    site.configure(&[OTHER_KEY], |_| {});
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    // Only the entry that reads the store resumes; its data must not pass for newer than its last read.
    site.signal(leader, Signal::CONT).expect("the entry resumes");
    for entry in others.iter().chain([&leader]) {
        let outcome = site.send(*entry, &lookup(&format!("c{entry}"), KEY)).await;
        assert_eq!(outcome.status, 503, "entry {entry}: {outcome:?}");
    }
    for listener in &site.store_listeners {
        listener.set_fault(Fault::None);
    }
    for entry in 0..3 {
        wait_for_status(&site, entry, OTHER_KEY, 200, Duration::from_secs(5)).await;
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_follower_trusts_no_key_when_it_wakes() {
    let site = start_site("facts-woken", "revoke_ms = 2500").await;
    let (_, others) = leader_and_followers(&site).await;
    let suspended = others[0];
    site.signal(suspended, Signal::STOP).expect("the entry is suspended");
    site.configure(&[OTHER_KEY], |_| {});
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    let late_lookup = lookup("d1", KEY);
    let pending = site.send(suspended, &late_lookup);
    let resume = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        site.signal(suspended, Signal::CONT).expect("the entry resumes");
    };
    let (outcome, ()) = tokio::join!(pending, resume);
    assert!(outcome.status == 503 || outcome.status == 401, "{outcome:?}");
    wait_for_status(&site, suspended, OTHER_KEY, 200, Duration::from_secs(3)).await;
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn through_an_outage_of_the_store_entries_stay_together_and_serve_at_once_after_it() {
    let site = start_site("facts-outage", "revoke_ms = 2500").await;
    leader_and_followers(&site).await;
    for listener in &site.store_listeners {
        listener.set_fault(Fault::Unavailable);
    }
    for entry in 0..3 {
        site.wait_ready(entry, false).await.expect("no entry has a verified configuration");
    }
    // Long enough for the interval between searches for a leader to grow, if there were any searches.
    tokio::time::sleep(Duration::from_secs(4)).await;
    for listener in &site.store_listeners {
        listener.set_fault(Fault::None);
    }
    let restored_at = Instant::now();
    for entry in 0..3 {
        site.wait_ready(entry, true).await.expect("the configuration is verified again");
        wait_for_status(&site, entry, KEY, 200, Duration::from_secs(1)).await;
    }
    assert!(restored_at.elapsed() < Duration::from_millis(2_500), "{:?}", restored_at.elapsed());
    for entry in 0..3 {
        let log = site.log(entry);
        assert_eq!(log.matches("step=leader-lost").count(), 0, "an entry left its leader during the outage: {log}");
        assert_eq!(
            log.matches("step=peer-unreached").count(),
            0,
            "an entry searched for peers during the outage: {log}"
        );
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_that_follow_one_cut_off_from_the_store_read_for_themselves_in_time() {
    let site = start_site("facts-reader-cut", "config_apply_ms = 800").await;
    let (leader, others) = leader_and_followers(&site).await;
    site.store_listeners[leader].set_fault(Fault::Unresponsive);
    // A read that the store already holds could still return the change.
    tokio::time::sleep(Duration::from_millis(800)).await;
    site.configure(&[KEY, OTHER_KEY], |_| {});
    let accepted = Instant::now();
    // Before the bound an older configuration may still be in force; after it, a key that this configuration lacks may
    // not be refused.
    tokio::time::sleep(Duration::from_millis(800)).await;
    for number in 0..20 {
        for entry in &others {
            let outcome = site.send(*entry, &lookup(&format!("e{entry}-{number}"), OTHER_KEY)).await;
            assert_eq!(outcome.status, 200, "entry {entry}, {:?} later: {outcome:?}", accepted.elapsed());
        }
        let outcome = site.send(leader, &lookup(&format!("e{leader}-{number}"), OTHER_KEY)).await;
        assert_ne!(outcome.status, 401, "the leader cannot know that the key does not exist: {outcome:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_denied_on_an_old_verification() {
    let site = start_site("facts-deny", "config_apply_ms = 1500").await;
    for listener in &site.store_listeners {
        listener.set_fault(Fault::Unavailable);
    }
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    for entry in 0..3 {
        let unknown_route =
            RequestSpec::new("GET", "/nowhere/1", &format!("f{entry}"), KEY).with_header("deadline-ms", "2000");
        for request in [lookup(&format!("g{entry}"), OTHER_KEY), unknown_route] {
            let outcome = site.send(entry, &request).await;
            assert_eq!(outcome.status, 503, "entry {entry}: {outcome:?}");
            assert!(!outcome.header("retry-after").is_empty());
        }
        assert_eq!(site.send(entry, &lookup(&format!("h{entry}"), KEY)).await.status, 200, "known keys are served");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_removed_while_only_the_leader_was_cut_off_gets_no_late_requests() {
    let spec =
        Spec { entries: 3, plain_replicas: 4, bounds: "drain_ms = 2000".to_owned(), ..Spec::small("facts-went") };
    let site = Site::start(spec).await.expect("the site starts");
    let (leader, others) = leader_and_followers(&site).await;
    // Whether the leader or an entry that reads for itself sees the removal first differs from round to round.
    for (round, removed_replica) in site.plain_replicas.iter().take(3).enumerate() {
        site.store_listeners[leader].set_fault(Fault::Unavailable);
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        site.store.put("keyed.servers", &removed_replica.id, "");
        let removed_at = Instant::now();
        site.store_listeners[leader].set_fault(Fault::None);
        tokio::time::sleep(Duration::from_millis(2_000).saturating_sub(removed_at.elapsed())).await;
        let before = removed_replica.received_requests().len();
        for number in 0..10 {
            for entry in &others {
                assert_eq!(site.send(*entry, &lookup(&format!("i{entry}-{round}-{number}"), KEY)).await.status, 200);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(
            removed_replica.received_requests().len(),
            before,
            "a replica got requests too long after its removal"
        );
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_came_later_does_not_hide_what_was_removed_before() {
    let site = &mut start_site("facts-later", "drain_ms = 2000").await;
    let (leader, others) = leader_and_followers(site).await;
    let (restarted, cut_off) = (others[0], others[1]);
    // Only the restarted entry reaches the store, and it has never seen the removed replica.
    site.store_listeners[leader].set_fault(Fault::Unavailable);
    site.store_listeners[cut_off].set_fault(Fault::Unavailable);
    let removed_replica = site.plain_replicas[0].clone();
    site.store.put("keyed.servers", &removed_replica.id, "");
    site.restart(restarted).await.expect("the entry starts");
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let before = removed_replica.received_requests().len();
    for number in 0..10 {
        for entry in 0..3 {
            assert_eq!(site.send(entry, &lookup(&format!("j{entry}-{number}"), KEY)).await.status, 200);
        }
    }
    assert_eq!(
        removed_replica.received_requests().len(),
        before,
        "a replica missing from the first snapshot is removed"
    );
    assert!(site.breached_invariants().is_empty());
}
