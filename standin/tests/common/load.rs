//! Load on a site of the platform's form, and what came of it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use standin::platform::{RequestSpec, HOST, KEY, Replica, ReceivedRequest, Outcome, Site, send};

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(2_500);

/// The most requests that reached a replica in a `window` that begins at `since` or later.
pub fn most(replica: &Replica, since: Instant, window: Duration) -> usize {
    let at: Vec<Instant> = replica.received_requests().iter().map(|run| run.received_at).collect();
    let begins = at.iter().filter(|at| **at >= since);
    begins.map(|begin| at.iter().filter(|at| **at >= *begin && **at < *begin + window).count()).max().unwrap_or(0)
}

/// A short prompt.
pub fn prompt(id: &str) -> RequestSpec {
    RequestSpec::new("POST", "/prompt/1", id, KEY).with_header("token-usage", "500,400").with_header("deadline-ms", "2500")
}

/// A call that may be repeated.
pub fn look(id: &str) -> RequestSpec {
    RequestSpec::new("GET", "/look/1", id, KEY).with_header("deadline-ms", "2500")
}

/// Sends `ask` so often a second, to one entry after the other, whatever comes back; returns what came.
pub async fn load(site: &Site, a_second: u32, lasts: Duration, ask: fn(&str) -> RequestSpec) -> Vec<Outcome> {
    let addresses: Arc<[String]> = site.addresses.clone().into();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / a_second);
    let mut sent = Vec::new();
    let until = Instant::now() + lasts;
    let mut number = 0;
    while Instant::now() < until {
        ticks.tick().await;
        let (addresses, mut asked) = (addresses.clone(), ask(&format!("load-{number}")));
        // A frozen entry never answers.
        asked.disconnect_after = Some(PATIENCE);
        let entry = number % addresses.len();
        sent.push(tokio::spawn(async move { send(&addresses[entry], HOST, &asked).await.unwrap_or_default() }));
        number += 1;
    }
    let mut seen = Vec::new();
    for sent in sent {
        seen.push(sent.await.expect("it was sent"));
    }
    seen
}

/// The entry to which `load` sent the request that reached a replica.
pub fn entry_of(site: &Site, run: &ReceivedRequest) -> usize {
    let number = run.id.strip_prefix("load-").and_then(|number| number.parse::<usize>().ok());
    number.expect("it was sent by load") % site.addresses.len()
}

/// How many were served whole.
pub fn served(seen: &[Outcome]) -> usize {
    seen.iter().filter(|seen| seen.status == 200 && seen.is_complete).count()
}
