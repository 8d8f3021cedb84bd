//! A replica that says in its answers that it leaves gets nothing more, whatever its record says.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::load::{entry_of, load, look, prompt, served};
use standin::platform::{Behavior, RequestSpec, Fault, Replica, ReceivedRequest, Site, Spec};

/// What is sent later than this after an entry was told is a breach.
const DRAIN: Duration = Duration::from_millis(600);
/// Time for what one entry was told to reach the others.
const TOLD: Duration = Duration::from_millis(400);

async fn site(name: &str) -> Site {
    let spec = Spec { entries: 3, engines: 8, plain_replicas: 4, bounds: "drain_ms = 600".to_owned(), ..Spec::small(name) };
    Site::start(spec).await.expect("the site starts")
}

fn turn_store_away(site: &Site) {
    site.store_listeners.iter().for_each(|door| door.set_fault(Fault::Unavailable));
}

fn busiest(replicas: &[Arc<Replica>]) -> &Arc<Replica> {
    replicas.iter().max_by_key(|replica| replica.received_requests().len()).expect("there are replicas")
}

/// Each entry may send to the replica until its first answer from there has told it, and for as long as that takes to count.
fn assert_left_alone(site: &Site, replica: &Replica, since: Instant) {
    for entry in 0..site.addresses.len() {
        let is_of = |run: &ReceivedRequest| run.received_at >= since && entry_of(site, run) == entry;
        let runs: Vec<ReceivedRequest> = replica.received_requests().into_iter().filter(is_of).collect();
        let Some(first) = runs.first() else { continue };
        let late = runs.iter().filter(|run| run.received_at > first.received_at + DRAIN).count();
        assert_eq!(late, 0, "{} got {late} late from entry {entry}: {}", replica.id, site.log(entry));
    }
}

/// Load before and after the busiest of `replicas` begins to say that it leaves.
async fn play(site: &Site, replicas: &[Arc<Replica>], ask: fn(&str) -> RequestSpec, with_store: bool) {
    load(site, 30, Duration::from_secs(1), ask).await;
    let leaving = busiest(replicas);
    if !with_store {
        turn_store_away(site);
    }
    leaving.set_draining();
    let since = Instant::now();
    let seen = load(site, 30, Duration::from_secs(3), ask).await;
    assert_left_alone(site, leaving, since);
    assert_eq!(served(&seen), seen.len(), "others have room for all");
    let slowest = seen.iter().map(|seen| seen.elapsed).max().unwrap_or_default();
    assert!(slowest < Duration::from_millis(700), "nobody waits for the one that leaves: {slowest:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_replica_that_says_it_leaves_gets_nothing_more_though_the_store_is_away() {
    let site = site("leaving-plain").await;
    play(&site, &site.plain_replicas, look, false).await;
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_says_it_leaves_gets_nothing_more_though_the_store_is_away() {
    let site = site("leaving-engine").await;
    play(&site, &site.engines, prompt, false).await;
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_record_that_still_calls_a_leaving_replica_ready_brings_it_no_work() {
    let site = site("leaving-heartbeats").await;
    load(&site, 30, Duration::from_secs(1), look).await;
    let leaving = busiest(&site.plain_replicas);
    leaving.set_draining();
    let since = Instant::now();
    for _ in 0..4 {
        load(&site, 30, Duration::from_millis(500), look).await;
        site.write_replica_records();
    }
    let runs = leaving.received_requests().into_iter().filter(|run| run.received_at > since + DRAIN + TOLD).count();
    assert_eq!(runs, 0, "a heartbeat takes nothing back");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn what_one_entry_was_told_of_a_leaving_replica_all_entries_keep_to() {
    let mut site = site("leaving-news").await;
    turn_store_away(&site);
    site.plain_replicas[0].set_draining();
    // Until it has answered, at one entry only.
    for number in 0..40 {
        site.send(1, &look(&format!("first-{number}"))).await;
        if !site.plain_replicas[0].received_requests().is_empty() {
            break;
        }
    }
    assert!(!site.plain_replicas[0].received_requests().is_empty(), "it was chosen");
    tokio::time::sleep(TOLD).await;
    let before = site.plain_replicas[0].received_requests().len();
    let seen = load(&site, 30, Duration::from_secs(2), look).await;
    assert_eq!(served(&seen), seen.len());
    assert_eq!(site.plain_replicas[0].received_requests().len(), before, "the others knew it");
    // One that starts reads that the replica is ready, and is told by the others that it is not.
    site.store_listeners.iter().for_each(|door| door.set_fault(Fault::None));
    site.restart(2).await.expect("it starts again");
    site.wait_ready(2, true).await.expect("it is ready");
    tokio::time::sleep(TOLD).await;
    for number in 0..20 {
        site.send(2, &look(&format!("second-{number}"))).await;
    }
    assert_eq!(site.plain_replicas[0].received_requests().len(), before, "one that starts is told");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_too_says_that_its_replica_leaves() {
    let site = site("leaving-refusal").await;
    turn_store_away(&site);
    load(&site, 30, Duration::from_secs(1), look).await;
    let leaving = busiest(&site.plain_replicas);
    leaving.set_draining();
    leaving.queue_behaviors([Behavior::Refuse; 100]);
    let since = Instant::now();
    load(&site, 30, Duration::from_secs(2), look).await;
    assert_left_alone(&site, leaving, since);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn where_all_replicas_say_they_leave_callers_are_refused_at_once_and_told_when_to_come_back() {
    let site = site("leaving-all").await;
    site.plain_replicas.iter().for_each(|replica| replica.set_draining());
    load(&site, 30, Duration::from_secs(2), look).await;
    let ran = || site.plain_replicas.iter().map(|replica| replica.received_requests().len()).sum::<usize>();
    let before = ran();
    let refused = load(&site, 30, Duration::from_secs(1), look).await;
    for seen in &refused {
        assert_eq!(seen.status, 503, "{seen:?}");
        assert!(!seen.header("retry-after").is_empty() && seen.elapsed < Duration::from_millis(150), "{seen:?}");
    }
    assert_eq!(ran(), before, "what is said not to have run has not run");
    site.close().expect("no invariant was breached");
}
