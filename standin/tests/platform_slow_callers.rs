//! Callers that do not read their responses: the memory of their entry is bounded, and other callers are served.

mod common;

use std::time::{Duration, Instant};

use common::wait_until;
use serde_json::json;
use standin::platform::{Behavior, HOST, KEY, RequestSpec, Site, Spec};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Memory limit of the entry, in MB: that of the smallest VM.
const MEMORY_LIMIT_MB: u64 = 160;
/// Callers that send a request and read nothing.
const SLOW_CALLERS: usize = 300;
/// Events of each response. Together they are larger than what the kernel buffers for one connection.
const EVENTS: u64 = 100;
const EVENT_PADDING_BYTES: usize = 60_000;
/// Time for which the slow callers read nothing.
const SLOW_PERIOD: Duration = Duration::from_secs(8);
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

/// Starts a site with one entry and a route that streams from plain replicas, which accept any number of requests.
async fn start_site(name: &str, requirements: &str) -> Site {
    let gateway = format!("requirements = {requirements}\nmemory_mb = {MEMORY_LIMIT_MB}");
    let spec = Spec { entries: 1, gateway, ..Spec::small(name) };
    let site = Site::start(spec).await.expect("the site starts");
    site.configure(&[KEY], |config| {
        let mut route = config["routes"][0].clone();
        route["name"] = json!("read");
        route["path_prefix"] = json!("/read/");
        route["service"] = json!("ledger");
        route["timeout_ms"] = json!(60_000);
        config["routes"].as_array_mut().expect("routes").push(route);
    });
    let large_stream = Behavior::LargeStream { events: EVENTS, padding_bytes: EVENT_PADDING_BYTES };
    site.plain_replicas.iter().for_each(|replica| replica.queue_behaviors(std::iter::repeat_n(large_stream, 1_000)));
    tokio::time::sleep(Duration::from_millis(500)).await;
    site
}

/// Sends a request for a stream on a new connection and returns the connection without reading from it.
async fn send_without_reading(site: &Site, id: usize) -> TcpStream {
    let mut stream = TcpStream::connect(&site.addresses[0]).await.expect("connected");
    let head = format!(
        "POST /read/1 HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: slow-{id}\r\nauthorization: Bearer {KEY}\r\n\
         token-usage: 500,400\r\ndeadline-ms: 60000\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream
}

/// Sends requests and reads each response at once, for the time of `period`. Returns the largest memory of the entry.
async fn read_at_once(site: &Site, period: Duration) -> u64 {
    let started = Instant::now();
    let mut max_bytes = 0;
    let mut number = 0;
    while started.elapsed() < period {
        let request = RequestSpec::new("POST", "/read/1", &format!("reads-{number}"), KEY)
            .with_header("token-usage", "500,400")
            .with_header("deadline-ms", "20000");
        let outcome = site.send(0, &request).await;
        assert!(outcome.status == 200 && outcome.is_complete, "{} {}", outcome.status, outcome.body.len());
        assert_eq!(outcome.body.matches("\n\n").count() as u64, EVENTS);
        max_bytes = max_bytes.max(site.resource_usage(0).expect("the entry runs").resident_bytes);
        number += 1;
    }
    max_bytes
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_do_not_read_take_bounded_memory_beside_one_that_reads() {
    let site = start_site("slow-callers", "pressure").await;
    let before = site.resource_usage(0).expect("the entry runs").resident_bytes;
    let mut slow_callers = Vec::new();
    for id in 0..SLOW_CALLERS {
        slow_callers.push(send_without_reading(&site, id).await);
    }
    let max_bytes = read_at_once(&site, SLOW_PERIOD).await;
    println!("memory of the entry: {before} bytes before, {max_bytes} bytes at most");
    assert!(max_bytes < MEMORY_LIMIT_MB << 20, "{max_bytes} bytes, {before} before");
    let evicted = site.log(0).matches("code=slow_caller").count();
    println!("{evicted} of {SLOW_CALLERS} callers were given up");
    assert!(evicted > 0, "stalled callers were given up");
    for (id, mut caller) in slow_callers.into_iter().enumerate() {
        let mut response = Vec::new();
        // A connection that was aborted may end with an error.
        let read = tokio::time::timeout(Duration::from_secs(20), caller.read_to_end(&mut response)).await;
        assert!(read.is_ok(), "the response to slow-{id} ends");
        let is_complete = response.ends_with(LAST_CHUNK);
        assert_eq!(is_complete, !is_given_up(&site, id), "slow-{id}: {} bytes", response.len());
    }
    wait_until("the buffers are empty", || async { unread_bytes(&site).await == 0.0 }).await;
    site.close().expect("no invariant was breached");
}

/// Returns whether the entry has logged that it gave up a slow caller.
fn is_given_up(site: &Site, id: usize) -> bool {
    let request = format!("request=slow-{id} ");
    site.log(0).lines().any(|line| line.contains("code=slow_caller") && line.contains(&request))
}

/// Returns the metric of buffered bytes.
async fn unread_bytes(site: &Site) -> f64 {
    let request = RequestSpec { headers: Vec::new(), ..RequestSpec::new("GET", "/metrics", "", "") };
    let outcome = standin::platform::send(&site.ready_addresses[0], HOST, &request).await.expect("the metrics");
    let line = outcome.body.lines().find(|line| line.starts_with("sorrelpass_unread_bytes"));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
}
