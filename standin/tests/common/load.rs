//! Load on a site of the platform, and its outcomes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use standin::platform::{HOST, KEY, Outcome, ReceivedRequest, Replica, RequestSpec, Site, send};

/// Time that a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Returns the maximum number of requests that reached a replica in a window that begins at `since` or later.
pub fn max_requests(replica: &Replica, since: Instant, window: Duration) -> usize {
    let received_at: Vec<Instant> = replica.received_requests().iter().map(|received| received.received_at).collect();
    let starts = received_at.iter().filter(|received_at| **received_at >= since);
    starts
        .map(|start| {
            received_at.iter().filter(|received_at| **received_at >= *start && **received_at < *start + window).count()
        })
        .max()
        .unwrap_or(0)
}

/// Builds a short prompt.
pub fn prompt(id: &str) -> RequestSpec {
    RequestSpec::new("POST", "/prompt/1", id, KEY)
        .with_header("token-usage", "500,400")
        .with_header("deadline-ms", "2500")
}

/// Builds a call that may be repeated.
pub fn lookup(id: &str) -> RequestSpec {
    RequestSpec::new("GET", "/look/1", id, KEY).with_header("deadline-ms", "2500")
}

/// Sends requests at a constant rate for `duration`, alternating between the entries, whatever the outcomes; returns
/// the outcomes.
pub async fn send_load(
    site: &Site,
    rate: u32,
    duration: Duration,
    build_request: impl Fn(&str) -> RequestSpec,
) -> Vec<Outcome> {
    let addresses: Arc<[String]> = site.addresses.clone().into();
    let mut interval = tokio::time::interval(Duration::from_secs(1) / rate);
    let mut pending = Vec::new();
    let end = Instant::now() + duration;
    let mut index = 0;
    while Instant::now() < end {
        interval.tick().await;
        let (addresses, mut request) = (addresses.clone(), build_request(&format!("load-{index}")));
        // A suspended entry never answers.
        request.disconnect_after = Some(CLIENT_TIMEOUT);
        let entry = index % addresses.len();
        pending.push(tokio::spawn(async move { send(&addresses[entry], HOST, &request).await.unwrap_or_default() }));
        index += 1;
    }
    let mut outcomes = Vec::new();
    for pending in pending {
        outcomes.push(pending.await.expect("the request was sent"));
    }
    outcomes
}

/// Returns the entry to which `send_load` sent a request that reached a replica.
pub fn receiving_entry(site: &Site, received: &ReceivedRequest) -> usize {
    let index = received.id.strip_prefix("load-").and_then(|index| index.parse::<usize>().ok());
    index.expect("the request was sent by send_load") % site.addresses.len()
}

/// Returns the number of requests that were served completely.
pub fn count_served(outcomes: &[Outcome]) -> usize {
    outcomes.iter().filter(|outcome| outcome.status == 200 && outcome.is_complete).count()
}
