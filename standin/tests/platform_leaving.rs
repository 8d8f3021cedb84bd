//! A replica that announces in its responses that it is draining gets no new requests, whatever its record says.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::load::{count_served, lookup, prompt, receiving_entry, send_load};
use standin::platform::{Behavior, Fault, ReceivedRequest, Replica, RequestSpec, Site, Spec};

/// Time after the announcement reached an entry within which it may still send requests; a later request is a breach.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(600);
/// Time within which an announcement that one entry received reaches the others.
const PROPAGATION_TIMEOUT: Duration = Duration::from_millis(400);

async fn start_site(name: &str) -> Site {
    let spec =
        Spec { entries: 3, engines: 8, plain_replicas: 4, bounds: "drain_ms = 600".to_owned(), ..Spec::small(name) };
    Site::start(spec).await.expect("the site starts")
}

fn make_store_unavailable(site: &Site) {
    site.store_listeners.iter().for_each(|listener| listener.set_fault(Fault::Unavailable));
}

fn busiest(replicas: &[Arc<Replica>]) -> &Arc<Replica> {
    replicas.iter().max_by_key(|replica| replica.received_requests().len()).expect("there are replicas")
}

/// Asserts that no entry sends a request to the replica later than `DRAIN_TIMEOUT` after the first one, whose response
/// announces the draining.
fn assert_no_late_requests(site: &Site, replica: &Replica, since: Instant) {
    for entry in 0..site.addresses.len() {
        let is_from_entry =
            |received: &ReceivedRequest| received.received_at >= since && receiving_entry(site, received) == entry;
        let received_requests: Vec<ReceivedRequest> =
            replica.received_requests().into_iter().filter(is_from_entry).collect();
        let Some(first) = received_requests.first() else { continue };
        let late_count = received_requests
            .iter()
            .filter(|received| received.received_at > first.received_at + DRAIN_TIMEOUT)
            .count();
        assert_eq!(
            late_count,
            0,
            "{} received {late_count} late requests from entry {entry}: {}",
            replica.id,
            site.log(entry)
        );
    }
}

/// Sends load before and after the busiest of `replicas` begins to announce that it is draining.
async fn drain_busiest_under_load(
    site: &Site,
    replicas: &[Arc<Replica>],
    build_request: fn(&str) -> RequestSpec,
    with_store: bool,
) {
    send_load(site, 30, Duration::from_secs(1), build_request).await;
    let draining = busiest(replicas);
    if !with_store {
        make_store_unavailable(site);
    }
    draining.set_draining();
    let since = Instant::now();
    let outcomes = send_load(site, 30, Duration::from_secs(3), build_request).await;
    assert_no_late_requests(site, draining, since);
    assert_eq!(count_served(&outcomes), outcomes.len(), "the other replicas have capacity for all requests");
    let slowest = outcomes.iter().map(|outcome| outcome.elapsed).max().unwrap_or_default();
    assert!(slowest < Duration::from_millis(700), "a request waited for the draining replica: {slowest:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_plain_replica_gets_no_new_requests_during_a_store_outage() {
    let site = start_site("leaving-plain").await;
    drain_busiest_under_load(&site, &site.plain_replicas, lookup, false).await;
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_engine_gets_no_new_prompts_during_a_store_outage() {
    let site = start_site("leaving-engine").await;
    drain_busiest_under_load(&site, &site.engines, prompt, false).await;
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ready_record_does_not_undo_an_announced_draining() {
    let site = start_site("leaving-heartbeats").await;
    send_load(&site, 30, Duration::from_secs(1), lookup).await;
    let draining = busiest(&site.plain_replicas);
    draining.set_draining();
    let since = Instant::now();
    for _ in 0..4 {
        send_load(&site, 30, Duration::from_millis(500), lookup).await;
        site.write_replica_records();
    }
    let received_requests = draining
        .received_requests()
        .into_iter()
        .filter(|received| received.received_at > since + DRAIN_TIMEOUT + PROPAGATION_TIMEOUT)
        .count();
    assert_eq!(received_requests, 0, "a heartbeat does not undo the draining");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_announced_to_one_entry_is_observed_by_all() {
    let mut site = start_site("leaving-news").await;
    make_store_unavailable(&site);
    site.plain_replicas[0].set_draining();
    // Sends through one entry only, until the replica has answered.
    for number in 0..40 {
        site.send(1, &lookup(&format!("first-{number}"))).await;
        if !site.plain_replicas[0].received_requests().is_empty() {
            break;
        }
    }
    assert!(!site.plain_replicas[0].received_requests().is_empty(), "the replica got a request");
    tokio::time::sleep(PROPAGATION_TIMEOUT).await;
    let before = site.plain_replicas[0].received_requests().len();
    let outcomes = send_load(&site, 30, Duration::from_secs(2), lookup).await;
    assert_eq!(count_served(&outcomes), outcomes.len());
    assert_eq!(
        site.plain_replicas[0].received_requests().len(),
        before,
        "the other entries know that the replica is draining"
    );
    // A starting entry reads that the replica is ready and receives from its peers that it is draining.
    site.store_listeners.iter().for_each(|listener| listener.set_fault(Fault::None));
    site.restart(2).await.expect("the entry restarts");
    site.wait_ready(2, true).await.expect("the entry is ready");
    tokio::time::sleep(PROPAGATION_TIMEOUT).await;
    for number in 0..20 {
        site.send(2, &lookup(&format!("second-{number}"))).await;
    }
    assert_eq!(
        site.plain_replicas[0].received_requests().len(),
        before,
        "a starting entry learns that the replica is draining"
    );
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_also_announces_draining() {
    let site = start_site("leaving-refusal").await;
    make_store_unavailable(&site);
    send_load(&site, 30, Duration::from_secs(1), lookup).await;
    let draining = busiest(&site.plain_replicas);
    draining.set_draining();
    draining.queue_behaviors([Behavior::Refuse; 100]);
    let since = Instant::now();
    send_load(&site, 30, Duration::from_secs(2), lookup).await;
    assert_no_late_requests(&site, draining, since);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_with_retry_after_when_all_replicas_are_draining() {
    let site = start_site("leaving-all").await;
    site.plain_replicas.iter().for_each(|replica| replica.set_draining());
    send_load(&site, 30, Duration::from_secs(2), lookup).await;
    let received_count = || site.plain_replicas.iter().map(|replica| replica.received_requests().len()).sum::<usize>();
    let before = received_count();
    let refused = send_load(&site, 30, Duration::from_secs(1), lookup).await;
    for outcome in &refused {
        assert_eq!(outcome.status, 503, "{outcome:?}");
        assert!(
            !outcome.header("retry-after").is_empty() && outcome.elapsed < Duration::from_millis(150),
            "{outcome:?}"
        );
    }
    assert_eq!(received_count(), before, "requests reported as not run reach no replica");
    site.close().expect("no invariant was breached");
}
