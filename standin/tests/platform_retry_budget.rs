//! All entries together keep the deployment's retry budget, whatever becomes of their processes.

mod common;

use std::collections::HashSet;
use std::sync::Arc;

use common::load::lookup;
use futures_util::future::join_all;
use standin::platform::{Behavior, HOST, Replica, Site, Spec, send};

/// Retries that the entries may make within a window in addition to their share of the requests.
const ALLOWANCE: u32 = 320;
/// Share of the requests that may be retried.
const SHARE: f64 = 0.2;
/// Times that all entries are killed and started again.
const RESTARTS: usize = 14;
/// Requests to each entry before it is killed.
const REQUESTS: usize = 12;

/// Starts a site whose plain replicas refuse all requests. Its budget's window is longer than the tests run.
async fn start_refusing_site(name: &str) -> Site {
    let bounds = "retry_window_s = 120".to_owned();
    let spec = Spec { entries: 3, plain_replicas: 4, retry_allowance: ALLOWANCE, bounds, ..Spec::small(name) };
    let site = Site::start(spec).await.expect("the site starts");
    site.plain_replicas.iter().for_each(|replica| replica.queue_behaviors([Behavior::Refuse; 5_000]));
    site
}

/// Sends requests to all entries at once, and returns their number.
async fn send_round(site: &Site, round: usize) -> usize {
    let requests = (0..site.addresses.len() * REQUESTS).map(|index| {
        let address = &site.addresses[index % site.addresses.len()];
        async move { send(address, HOST, &lookup(&format!("round-{round}-{index}"))).await }
    });
    join_all(requests).await.len()
}

/// Returns the number of arrivals at the replicas beyond the first of each request.
fn count_retries(replicas: &[Arc<Replica>]) -> usize {
    let ids: Vec<String> =
        replicas.iter().flat_map(|replica| replica.received_requests()).map(|received| received.id).collect();
    ids.len() - ids.iter().collect::<HashSet<_>>().len()
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_that_are_killed_again_and_again_keep_the_common_retry_budget() {
    let mut site = start_refusing_site("budget-kills").await;
    let mut requests = 0;
    for round in 0..RESTARTS {
        requests += send_round(&site, round).await;
        for entry in 0..site.addresses.len() {
            site.restart(entry).await.expect("the entry restarts");
        }
        for entry in 0..site.addresses.len() {
            site.wait_ready(entry, true).await.expect("the entry is ready");
        }
    }
    let (retries, allowed) = (count_retries(&site.plain_replicas), f64::from(ALLOWANCE) + SHARE * requests as f64);
    assert!(retries as f64 <= allowed, "{retries} retries of {requests} requests, {allowed} allowed");
    site.close().expect("no invariant was breached");
}
