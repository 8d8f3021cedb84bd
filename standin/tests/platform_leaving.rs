//! A replica that announces in its responses that it is draining gets no new requests, whatever its record says.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::load::{entry_of, load, look, prompt, served};
use standin::platform::{Act, Ask, Fault, Replica, Run, Site, Spec};

/// Time after the announcement reached an entry, after which a request from that entry is a breach.
const DRAIN: Duration = Duration::from_millis(600);
/// Time within which an announcement that one entry received reaches the others.
const TOLD: Duration = Duration::from_millis(400);

async fn site(name: &str) -> Site {
    let spec = Spec { entries: 3, engines: 8, plain: 4, bounds: "drain_ms = 600".to_owned(), ..Spec::small(name) };
    Site::start(spec).await.expect("the site starts")
}

fn turn_store_away(site: &Site) {
    site.doors.iter().for_each(|door| door.set(Fault::Unavailable));
}

fn busiest(replicas: &[Arc<Replica>]) -> &Arc<Replica> {
    replicas.iter().max_by_key(|replica| replica.seen().len()).expect("there are replicas")
}

/// Asserts that no entry sends a request to the replica later than `DRAIN` after the first one, whose response
/// announces the draining.
fn assert_left_alone(site: &Site, replica: &Replica, since: Instant) {
    for entry in 0..site.addresses.len() {
        let is_of = |run: &Run| run.at >= since && entry_of(site, run) == entry;
        let runs: Vec<Run> = replica.seen().into_iter().filter(is_of).collect();
        let Some(first) = runs.first() else { continue };
        let late = runs.iter().filter(|run| run.at > first.at + DRAIN).count();
        assert_eq!(late, 0, "{} got {late} late from entry {entry}: {}", replica.id, site.log(entry));
    }
}

/// Sends load before and after the busiest of `replicas` begins to announce that it is draining.
async fn play(site: &Site, replicas: &[Arc<Replica>], ask: fn(&str) -> Ask, with_store: bool) {
    load(site, 30, Duration::from_secs(1), ask).await;
    let leaving = busiest(replicas);
    if !with_store {
        turn_store_away(site);
    }
    leaving.say_leaving();
    let since = Instant::now();
    let seen = load(site, 30, Duration::from_secs(3), ask).await;
    assert_left_alone(site, leaving, since);
    assert_eq!(served(&seen), seen.len(), "others have room for all");
    let slowest = seen.iter().map(|seen| seen.took).max().unwrap_or_default();
    assert!(slowest < Duration::from_millis(700), "nobody waits for the one that leaves: {slowest:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_replica_that_says_it_leaves_gets_nothing_more_though_the_store_is_away() {
    let site = site("leaving-plain").await;
    play(&site, &site.plain, look, false).await;
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
    let leaving = busiest(&site.plain);
    leaving.say_leaving();
    let since = Instant::now();
    for _ in 0..4 {
        load(&site, 30, Duration::from_millis(500), look).await;
        site.announce_all();
    }
    let runs = leaving.seen().into_iter().filter(|run| run.at > since + DRAIN + TOLD).count();
    assert_eq!(runs, 0, "a heartbeat takes nothing back");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn what_one_entry_was_told_of_a_leaving_replica_all_entries_keep_to() {
    let mut site = site("leaving-news").await;
    turn_store_away(&site);
    site.plain[0].say_leaving();
    // Sends through one entry only, until the replica has answered.
    for number in 0..40 {
        site.send(1, &look(&format!("first-{number}"))).await;
        if !site.plain[0].seen().is_empty() {
            break;
        }
    }
    assert!(!site.plain[0].seen().is_empty(), "it was chosen");
    tokio::time::sleep(TOLD).await;
    let before = site.plain[0].seen().len();
    let seen = load(&site, 30, Duration::from_secs(2), look).await;
    assert_eq!(served(&seen), seen.len());
    assert_eq!(site.plain[0].seen().len(), before, "the others knew it");
    // A starting entry reads that the replica is ready and receives from its peers that it is draining.
    site.doors.iter().for_each(|door| door.set(Fault::None));
    site.restart(2).await.expect("it starts again");
    site.wait_ready(2, true).await.expect("it is ready");
    tokio::time::sleep(TOLD).await;
    for number in 0..20 {
        site.send(2, &look(&format!("second-{number}"))).await;
    }
    assert_eq!(site.plain[0].seen().len(), before, "one that starts is told");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_too_says_that_its_replica_leaves() {
    let site = site("leaving-refusal").await;
    turn_store_away(&site);
    load(&site, 30, Duration::from_secs(1), look).await;
    let leaving = busiest(&site.plain);
    leaving.say_leaving();
    leaving.next([Act::Refuse; 100]);
    let since = Instant::now();
    load(&site, 30, Duration::from_secs(2), look).await;
    assert_left_alone(&site, leaving, since);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn where_all_replicas_say_they_leave_callers_are_refused_at_once_and_told_when_to_come_back() {
    let site = site("leaving-all").await;
    site.plain.iter().for_each(|replica| replica.say_leaving());
    load(&site, 30, Duration::from_secs(2), look).await;
    let ran = || site.plain.iter().map(|replica| replica.seen().len()).sum::<usize>();
    let before = ran();
    let refused = load(&site, 30, Duration::from_secs(1), look).await;
    for seen in &refused {
        assert_eq!(seen.status, 503, "{seen:?}");
        assert!(!seen.header("retry-after").is_empty() && seen.took < Duration::from_millis(150), "{seen:?}");
    }
    assert_eq!(ran(), before, "what is said not to have run has not run");
    site.close().expect("no invariant was breached");
}
