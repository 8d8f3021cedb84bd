//! Load on a site of the platform, and its outcomes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use standin::platform::{Ask, HOST, KEY, Replica, Run, Seen, Site, send};

/// Time that a client waits for an answer.
const PATIENCE: Duration = Duration::from_millis(2_500);

/// Returns the maximum number of requests that reached a replica in a window that begins at `since` or later.
pub fn most(replica: &Replica, since: Instant, window: Duration) -> usize {
    let at: Vec<Instant> = replica.seen().iter().map(|run| run.at).collect();
    let begins = at.iter().filter(|at| **at >= since);
    begins.map(|begin| at.iter().filter(|at| **at >= *begin && **at < *begin + window).count()).max().unwrap_or(0)
}

/// Builds a short prompt.
pub fn prompt(id: &str) -> Ask {
    Ask::new("POST", "/prompt/1", id, KEY).with("token-usage", "500,400").with("deadline-ms", "2500")
}

/// Builds a call that may be repeated.
pub fn look(id: &str) -> Ask {
    Ask::new("GET", "/look/1", id, KEY).with("deadline-ms", "2500")
}

/// Sends requests at a constant rate for `duration`, alternating between the entries, whatever the outcomes; returns
/// the outcomes.
pub async fn load(site: &Site, a_second: u32, lasts: Duration, ask: fn(&str) -> Ask) -> Vec<Seen> {
    let addresses: Arc<[String]> = site.addresses.clone().into();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / a_second);
    let mut sent = Vec::new();
    let until = Instant::now() + lasts;
    let mut number = 0;
    while Instant::now() < until {
        ticks.tick().await;
        let (addresses, mut asked) = (addresses.clone(), ask(&format!("load-{number}")));
        // A suspended entry never answers.
        asked.leave_after = Some(PATIENCE);
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

/// Returns the entry to which `send_load` sent a request that reached a replica.
pub fn entry_of(site: &Site, run: &Run) -> usize {
    let number = run.id.strip_prefix("load-").and_then(|number| number.parse::<usize>().ok());
    number.expect("it was sent by load") % site.addresses.len()
}

/// Returns the number of requests that were served completely.
pub fn served(seen: &[Seen]) -> usize {
    seen.iter().filter(|seen| seen.status == 200 && seen.whole).count()
}
