//! What entries know of the store through each other: few calls, nothing that looks younger than it is.

mod common;

use std::time::{Duration, Instant};

use common::leader;
use rustix::process::Signal;
use serde_json::{Value, json};
use standin::platform::{RequestSpec, Fault, KEY, Site, Spec};

const OTHER_KEY: &str = "another-key";

fn look(id: &str, key: &str) -> RequestSpec {
    RequestSpec::new("GET", "/look/1", id, key).with_header("deadline-ms", "2000")
}

async fn site(name: &str, bounds: &str) -> Site {
    let spec = Spec { entries: 3, bounds: bounds.to_owned(), ..Spec::small(name) };
    Site::start(spec).await.expect("the site starts")
}

/// The entry that reads the store for the others, once all follow it; then the others.
async fn roles(site: &Site) -> (usize, Vec<usize>) {
    let leader = leader(site, 3).await;
    (leader, (0..3).filter(|entry| *entry != leader).collect())
}

/// Asks an entry until it answers with this status.
async fn answers(site: &Site, entry: usize, key: &str, status: u16, limit: Duration) {
    let started = Instant::now();
    for number in 0.. {
        let seen = site.send(entry, &look(&format!("{entry}-{key}-{status}-{number}"), key)).await;
        if seen.status == status {
            return;
        }
        assert!(started.elapsed() < limit, "entry {entry} answers {} in place of {status}", seen.status);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_entry_reads_the_store_for_all() {
    let site = site("facts-calls", "").await;
    let (leader, others) = roles(&site).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before: Vec<u64> = site.store_listeners.iter().map(|door| door.call_count()).collect();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls: Vec<u64> = site.store_listeners.iter().zip(before).map(|(door, before)| door.call_count() - before).collect();
    assert!(calls[leader] >= 8, "the one that reads, reads on: {calls:?}");
    // Nothing grows too old on the way, on a machine that is not starved of processor time.
    assert!(others.iter().all(|entry| calls[*entry] < calls[leader] / 2), "{calls:?}");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_the_store_does_not_answer_learns_all_from_the_one_that_it_follows() {
    let site = site("facts-cut-off", "").await;
    let (_, others) = roles(&site).await;
    let cut_off = others[0];
    site.store_listeners[cut_off].set_fault(Fault::Unresponsive);
    // Longer than a proof of its own would serve.
    tokio::time::sleep(Duration::from_millis(5_500)).await;
    assert_eq!(site.send(cut_off, &look("a1", KEY)).await.status, 200);
    site.configure(&[OTHER_KEY], |_| {});
    answers(&site, cut_off, KEY, 401, Duration::from_secs(2)).await;
    answers(&site, cut_off, OTHER_KEY, 200, Duration::from_secs(2)).await;
    let (leaving, staying) = (&site.plain_replicas[0], &site.plain_replicas[1]);
    site.store.put("keyed.servers", &leaving.id, leaving.store_record("ledger", "draining"));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let before = leaving.received_requests().len();
    for number in 0..10 {
        assert_eq!(site.send(cut_off, &look(&format!("b{number}"), OTHER_KEY)).await.status, 200);
    }
    assert_eq!(leaving.received_requests().len(), before, "a leaving replica gets nothing");
    assert!(staying.received_requests().len() >= 10);
    site.close().expect("no invariant was breached");
}

/// Adds so many routes, each with a host and a prefix of its own, as operators' tools name them.
fn grow(config: &mut Value, more: usize) {
    let route = config["routes"][2].clone();
    let routes = config["routes"].as_array_mut().expect("routes are a list");
    for number in 0..more {
        let mut route = route.clone();
        let name = format!("{:08x}", (number as u32).wrapping_mul(2_654_435_761));
        route["host"] = json!(format!("{name}.example"));
        route["path_prefix"] = json!(format!("/{name}/"));
        route["name"] = json!(name);
        routes.push(route);
    }
}

/// An entry that the store turns away, and then its leader too, stays sure of the configuration for as long as any that
/// it reaches is, whatever the size, and no longer.
async fn a_follower_stays_sure(name: &str, routes: usize) {
    let revoke = Duration::from_millis(3_000);
    let site = site(name, "revoke_ms = 3000").await;
    let (leader, others) = roles(&site).await;
    let (cut_off, reader) = (others[0], others[1]);
    site.store_listeners[cut_off].set_fault(Fault::Unavailable);
    site.configure(&[KEY, OTHER_KEY], |config| grow(config, routes));
    answers(&site, cut_off, OTHER_KEY, 200, Duration::from_secs(2)).await;
    // Keys are taken away one after the other, for longer than a proof serves.
    for round in 0..4 {
        let (kept, taken) = if round % 2 == 0 { (KEY, OTHER_KEY) } else { (OTHER_KEY, KEY) };
        site.configure(&[kept], |config| grow(config, routes));
        answers(&site, cut_off, taken, 401, Duration::from_secs(2)).await;
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        assert_eq!(site.send(cut_off, &look(&format!("k{round}"), kept)).await.status, 200, "it is sure");
    }
    // Now only the third one reads, and what it reads goes up to the leader and down again.
    site.store_listeners[leader].set_fault(Fault::Unavailable);
    tokio::time::sleep(revoke).await;
    site.configure(&[KEY], |config| grow(config, routes));
    answers(&site, cut_off, OTHER_KEY, 401, Duration::from_secs(3)).await;
    assert_eq!(site.send(cut_off, &look("l1", KEY)).await.status, 200, "the third one reads for all");
    // Nobody does any more.
    site.store_listeners[reader].set_fault(Fault::Unavailable);
    tokio::time::sleep(revoke).await;
    for entry in 0..3 {
        assert_eq!(site.send(entry, &look(&format!("m{entry}"), KEY)).await.status, 503, "nobody is sure");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn with_240_routes_an_entry_that_the_store_turns_away_stays_sure() {
    a_follower_stays_sure("facts-240", 240).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn with_1500_routes_an_entry_that_the_store_turns_away_stays_sure() {
    a_follower_stays_sure("facts-1500", 1_500).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_is_too_large_to_pass_on_is_in_force_all_the_same() {
    let site = site("facts-large", "").await;
    let (_, others) = roles(&site).await;
    site.configure(&[KEY, OTHER_KEY], |config| {
        let route = config["routes"][2].clone();
        let routes = config["routes"].as_array_mut().expect("routes are a list");
        for number in 0..400 {
            let mut more = route.clone();
            more["name"] = json!(format!("more-{number}"));
            more["path_prefix"] = json!(format!("/more-{number}/"));
            routes.push(more);
        }
    });
    for entry in others {
        answers(&site, entry, OTHER_KEY, 200, Duration::from_secs(2)).await;
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_refused_in_time_when_the_entry_that_reads_is_frozen_and_the_store_is_silent() {
    let site = site("facts-frozen", "revoke_ms = 2500").await;
    let (leader, others) = roles(&site).await;
    for door in &site.store_listeners {
        door.set_fault(Fault::Unresponsive);
    }
    site.signal(leader, Signal::STOP).expect("it freezes");
    site.configure(&[OTHER_KEY], |_| {});
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    // Only the reader wakes: what it says is no younger than its last reading.
    site.signal(leader, Signal::CONT).expect("it wakes");
    for entry in others.iter().chain([&leader]) {
        let seen = site.send(*entry, &look(&format!("c{entry}"), KEY)).await;
        assert_eq!(seen.status, 503, "entry {entry}: {seen:?}");
    }
    for door in &site.store_listeners {
        door.set_fault(Fault::None);
    }
    for entry in 0..3 {
        answers(&site, entry, OTHER_KEY, 200, Duration::from_secs(5)).await;
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_follower_trusts_no_key_when_it_wakes() {
    let site = site("facts-woken", "revoke_ms = 2500").await;
    let (_, others) = roles(&site).await;
    let frozen = others[0];
    site.signal(frozen, Signal::STOP).expect("it freezes");
    site.configure(&[OTHER_KEY], |_| {});
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    let late = look("d1", KEY);
    let asked = site.send(frozen, &late);
    let woken = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        site.signal(frozen, Signal::CONT).expect("it wakes");
    };
    let (seen, ()) = tokio::join!(asked, woken);
    assert!(seen.status == 503 || seen.status == 401, "{seen:?}");
    answers(&site, frozen, OTHER_KEY, 200, Duration::from_secs(3)).await;
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn through_an_outage_of_the_store_entries_stay_together_and_serve_at_once_after_it() {
    let site = site("facts-outage", "revoke_ms = 2500").await;
    roles(&site).await;
    for door in &site.store_listeners {
        door.set_fault(Fault::Unavailable);
    }
    for entry in 0..3 {
        site.wait_ready(entry, false).await.expect("nobody is sure of the configuration");
    }
    // Long enough for searches to grow slow, if there were any.
    tokio::time::sleep(Duration::from_secs(4)).await;
    for door in &site.store_listeners {
        door.set_fault(Fault::None);
    }
    let back = Instant::now();
    for entry in 0..3 {
        site.wait_ready(entry, true).await.expect("it is sure again");
        answers(&site, entry, KEY, 200, Duration::from_secs(1)).await;
    }
    assert!(back.elapsed() < Duration::from_millis(2_500), "{:?}", back.elapsed());
    for entry in 0..3 {
        let log = site.log(entry);
        assert_eq!(log.matches("step=leader-lost").count(), 0, "nobody knew better, so nobody left: {log}");
        assert_eq!(log.matches("step=peer-unreached").count(), 0, "nobody had to look for anyone: {log}");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_that_follow_one_cut_off_from_the_store_read_for_themselves_in_time() {
    let site = site("facts-reader-cut", "config_apply_ms = 800").await;
    let (leader, others) = roles(&site).await;
    site.store_listeners[leader].set_fault(Fault::Unresponsive);
    // A read that the store holds already would still tell.
    tokio::time::sleep(Duration::from_millis(800)).await;
    site.configure(&[KEY, OTHER_KEY], |_| {});
    let accepted = Instant::now();
    // Before the bound an older configuration may still be in force; after it nothing may be denied that it lacks.
    tokio::time::sleep(Duration::from_millis(800)).await;
    for number in 0..20 {
        for entry in &others {
            let seen = site.send(*entry, &look(&format!("e{entry}-{number}"), OTHER_KEY)).await;
            assert_eq!(seen.status, 200, "entry {entry}, {:?} later: {seen:?}", accepted.elapsed());
        }
        let seen = site.send(leader, &look(&format!("e{leader}-{number}"), OTHER_KEY)).await;
        assert_ne!(seen.status, 401, "it cannot know that there is no such key: {seen:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_denied_on_an_old_proof() {
    let site = site("facts-deny", "config_apply_ms = 1500").await;
    for door in &site.store_listeners {
        door.set_fault(Fault::Unavailable);
    }
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    for entry in 0..3 {
        let missing = RequestSpec::new("GET", "/nowhere/1", &format!("f{entry}"), KEY).with_header("deadline-ms", "2000");
        for ask in [look(&format!("g{entry}"), OTHER_KEY), missing] {
            let seen = site.send(entry, &ask).await;
            assert_eq!(seen.status, 503, "entry {entry}: {seen:?}");
            assert!(!seen.header("retry-after").is_empty());
        }
        assert_eq!(site.send(entry, &look(&format!("h{entry}"), KEY)).await.status, 200, "known keys are served");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_went_while_only_the_reader_was_cut_off_gets_nothing_late() {
    let spec = Spec { entries: 3, plain_replicas: 4, bounds: "drain_ms = 2000".to_owned(), ..Spec::small("facts-went") };
    let site = Site::start(spec).await.expect("the site starts");
    let (leader, others) = roles(&site).await;
    // Who hears first of a replica that went, the reader or one that reads for itself, differs from round to round.
    for (round, gone) in site.plain_replicas.iter().take(3).enumerate() {
        site.store_listeners[leader].set_fault(Fault::Unavailable);
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        site.store.put("keyed.servers", &gone.id, "");
        let removed = Instant::now();
        site.store_listeners[leader].set_fault(Fault::None);
        tokio::time::sleep(Duration::from_millis(2_000).saturating_sub(removed.elapsed())).await;
        let before = gone.received_requests().len();
        for number in 0..10 {
            for entry in &others {
                assert_eq!(site.send(*entry, &look(&format!("i{entry}-{round}-{number}"), KEY)).await.status, 200);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(gone.received_requests().len(), before, "its record is gone for longer than it may get requests");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_came_later_does_not_hide_what_was_removed_before() {
    let site = &mut site("facts-later", "drain_ms = 2000").await;
    let (leader, others) = roles(site).await;
    let (restarted, cut_off) = (others[0], others[1]);
    // Only the one that is restarted reaches the store, and it has never seen the replica that went.
    site.store_listeners[leader].set_fault(Fault::Unavailable);
    site.store_listeners[cut_off].set_fault(Fault::Unavailable);
    let gone = site.plain_replicas[0].clone();
    site.store.put("keyed.servers", &gone.id, "");
    site.restart(restarted).await.expect("it starts");
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let before = gone.received_requests().len();
    for number in 0..10 {
        for entry in 0..3 {
            assert_eq!(site.send(entry, &look(&format!("j{entry}-{number}"), KEY)).await.status, 200);
        }
    }
    assert_eq!(gone.received_requests().len(), before, "what the first picture leaves out was removed");
    assert!(site.breached_invariants().is_empty());
}
