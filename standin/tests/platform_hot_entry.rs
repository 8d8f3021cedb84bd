//! Nearly all new connections go to one entry for some seconds, as when a load balancer turns them to it.

use std::time::{Duration, Instant};

use bytes::Bytes;
use standin::platform::{HOST, KEY, RequestSpec, Site, Spec, send};

/// Prompts a second while the connections are spread, and while they go to one entry.
const SPREAD_RATE: u32 = 40;
const HOT_RATE: u32 = 120;

/// Sends prompts for `length`, each on a new connection, and returns the share that was served whole. One in 20 goes to
/// another entry than `hot`; without `hot`, they go to all in turn.
async fn served_share(site: &Site, name: &str, rate: u32, length: Duration, hot: Option<usize>) -> f64 {
    let started = Instant::now();
    let mut requests = Vec::new();
    while started.elapsed() < length {
        let number = requests.len();
        let entry = hot.filter(|_| number % 20 != 0).unwrap_or(number % site.addresses.len());
        let (address, id) = (site.addresses[entry].clone(), format!("{name}-{number}"));
        let spec = RequestSpec::new("POST", "/prompt/1", &id, KEY)
            .with_header("token-usage", "500,400")
            .with_header("deadline-ms", "2500");
        let spec = RequestSpec { body: Bytes::from(id), ..spec };
        requests.push(tokio::spawn(async move { send(&address, HOST, &spec).await.unwrap_or_default() }));
        tokio::time::sleep(Duration::from_secs(1) / rate).await;
    }
    let total = requests.len();
    let mut served = 0;
    for request in requests {
        let outcome = request.await.expect("the request ends");
        served += usize::from(outcome.status == 200 && outcome.is_complete);
    }
    served as f64 / total as f64
}

#[tokio::test(flavor = "multi_thread")]
async fn prompts_are_served_at_the_first_attempt_while_one_entry_gets_nearly_all_connections() {
    let spec = Spec { entries: 4, engines: 4, ..Spec::small("hot-entry") };
    let site = Site::start(spec).await.expect("the site starts");
    let before = served_share(&site, "spread", SPREAD_RATE, Duration::from_secs(2), None).await;
    for entry in 0..site.addresses.len() {
        let share = served_share(&site, &format!("hot{entry}"), HOT_RATE, Duration::from_secs(2), Some(entry)).await;
        assert!(share >= 0.75 * before, "entry {entry}: {share} of the prompts are served, {before} before");
        assert!(site.is_ready(entry).await, "entry {entry} takes connections");
    }
    site.close().expect("no invariant was breached");
}
