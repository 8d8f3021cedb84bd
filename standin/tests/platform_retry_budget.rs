//! All entries together keep the deployment's retry budget, whatever becomes of their processes.

mod common;

use std::collections::HashSet;
use std::sync::Arc;

use common::load::{lookup, prompt};
use futures_util::future::join_all;
use standin::platform::{Behavior, HOST, Replica, RequestSpec, Site, Spec, send};

/// Retries that the entries may make within a window in addition to their share of the requests.
const ALLOWANCE: u32 = 320;
/// Share of the requests that may be retried.
const SHARE: f64 = 0.2;
/// Times that all entries are killed and started again.
const RESTARTS: usize = 14;
/// Requests to each entry before it is killed.
const REQUESTS: usize = 12;

/// Starts a site whose replicas behave like this for all requests. Its budget's window is longer than the tests run.
async fn start_failing_site(name: &str, behavior: Behavior) -> Site {
    let bounds = "retry_window_s = 120".to_owned();
    let spec =
        Spec { entries: 3, engines: 4, plain_replicas: 4, retry_allowance: ALLOWANCE, bounds, ..Spec::small(name) };
    let site = Site::start(spec).await.expect("the site starts");
    let replicas = site.engines.iter().chain(&site.plain_replicas);
    replicas.for_each(|replica| replica.queue_behaviors([behavior; 5_000]));
    site
}

/// Sends requests to all entries at once, and returns their number.
async fn send_round(site: &Site, round: usize, build_request: fn(&str) -> RequestSpec) -> usize {
    let requests = (0..site.addresses.len() * REQUESTS).map(|index| {
        let request = build_request(&format!("round-{round}-{index}"));
        let address = &site.addresses[index % site.addresses.len()];
        async move { send(address, HOST, &request).await }
    });
    join_all(requests).await.len()
}

/// Returns the number of arrivals at the replicas beyond the first of each request.
fn count_retries(replicas: &[Arc<Replica>]) -> usize {
    let received = replicas.iter().flat_map(|replica| replica.received_requests());
    let ids: Vec<String> = received.map(|received| received.id).collect();
    ids.len() - ids.iter().collect::<HashSet<_>>().len()
}

/// Kills and starts all entries again and again while they send requests to failing replicas, and asserts that the
/// replicas of the service get no more retries than the deployment allows.
async fn assert_budget_kept(mut site: Site, replicas: Vec<Arc<Replica>>, build_request: fn(&str) -> RequestSpec) {
    let mut requests = 0;
    for round in 0..RESTARTS {
        requests += send_round(&site, round, build_request).await;
        for entry in 0..site.addresses.len() {
            site.restart(entry).await.expect("the entry restarts");
        }
        for entry in 0..site.addresses.len() {
            site.wait_ready(entry, true).await.expect("the entry is ready");
        }
    }
    let (retries, allowed) = (count_retries(&replicas), f64::from(ALLOWANCE) + SHARE * requests as f64);
    assert!(retries > 0, "no request was retried");
    assert!(retries as f64 <= allowed, "{retries} retries of {requests} requests, {allowed} allowed");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_that_are_killed_again_and_again_keep_the_common_retry_budget() {
    let site = start_failing_site("budget-refusals", Behavior::Refuse).await;
    let replicas = site.plain_replicas.clone();
    assert_budget_kept(site, replicas, lookup).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_that_are_killed_beside_broken_streams_keep_the_common_retry_budget() {
    let site = start_failing_site("budget-streams", Behavior::AbortAfter(1)).await;
    let replicas = site.engines.clone();
    assert_budget_kept(site, replicas, prompt).await;
}
