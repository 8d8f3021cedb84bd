//! Crowds of clients that keep to no limit: the entry lives within the memory of its machine and its descriptors, and
//! an ordinary caller gets its answer.

mod common;

use std::time::Duration;

use common::crowd::{
    ANSWER_TIMEOUT, CROWD, Client, Crowd, DESCRIPTOR_CROWD, DESCRIPTORS, SETTLE_TIME, Sampler, run_alone,
    with_descriptor_limit,
};
use rustix::process::Signal;
use serde_json::json;
use standin::platform::{Behavior, Connection, HOST, KEY, Outcome, RequestSpec, Site, Spec};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;

/// Memory of the entry's machine, as its settings say.
const MEMORY_MB: u64 = 64;
/// Largest body that the configuration allows.
const MAX_BODY_BYTES: usize = 4 << 20;

async fn start_site(name: &str) -> Site {
    let gateway = format!("memory_mb = {MEMORY_MB}");
    let spec = Spec { entries: 1, gateway, ..Spec::small(name) };
    let site = with_descriptor_limit(DESCRIPTORS, Site::start(spec)).await.expect("the site starts");
    site.configure(&[KEY], |config| {
        config["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
        for route in config["routes"].as_array_mut().expect("routes") {
            route["timeout_ms"] = json!(60_000);
        }
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    site
}

/// Returns the head of a call with these header lines, for a crowd that names a deadline far beyond the route's.
fn head(lines: &str) -> String {
    format!(
        "POST /look/1 HTTP/1.1\r\nhost: site.example\r\nrequest-id: crowd\r\nauthorization: Bearer {KEY}\r\ndeadline-ms: 600000\r\n{lines}\r\n"
    )
}

fn announced(bytes: usize) -> String {
    head(&format!("content-length: {bytes}\r\n"))
}

fn chunked() -> String {
    head("transfer-encoding: chunked\r\n")
}

fn chunk(bytes: usize) -> Vec<u8> {
    [format!("{bytes:x}\r\n").into_bytes(), vec![b'x'; bytes], b"\r\n".to_vec()].concat()
}

fn sample(site: &Site) -> Sampler {
    Sampler::start(site.process_id(0).expect("it runs"), &[&site.addresses[0], &site.ready_addresses[0]])
}

/// Sends an ordinary call, which comes back as it is told, until it is answered.
async fn send_ordinary(site: &Site, body: Vec<u8>) -> Outcome {
    let spec = RequestSpec { body: body.into(), ..RequestSpec::new("POST", "/look/1", "ordinary", KEY) }
        .with_header("deadline-ms", "60000");
    let answered = async {
        loop {
            let outcome = site.send(0, &spec).await;
            if outcome.status == 200 && outcome.is_complete {
                return outcome;
            }
            let retry_after: f64 = outcome.header("retry-after").parse().unwrap_or(0.1);
            tokio::time::sleep(Duration::from_secs_f64(retry_after)).await;
        }
    };
    tokio::time::timeout(ANSWER_TIMEOUT, answered).await.expect("an ordinary caller is answered")
}

/// Lets a crowd loose on an entry, and asks as an ordinary caller while the crowd is there and after it has left.
async fn withstand(name: &str, clients: usize, client: Client) {
    let _alone = run_alone().await;
    let site = start_site(name).await;
    let sampler = sample(&site);
    let crowd = Crowd::start(&site.addresses[0], clients, &client);
    tokio::time::sleep(SETTLE_TIME).await;
    send_ordinary(&site, vec![b'x'; 1_000]).await;
    site.wait_ready(0, true).await.expect("the entry is ready beside the crowd");
    drop(crowd);
    send_ordinary(&site, vec![b'x'; 1_000]).await;
    sampler.close().assert_within(MEMORY_MB);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_of_legal_size() {
    withstand("crowd-whole", CROWD, Client::new(announced(MAX_BODY_BYTES)).then([b'x'; 1_024], 4_096)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_of_their_end() {
    withstand("crowd-short", CROWD, Client::new(announced(MAX_BODY_BYTES)).then([b'x'; 1_023], 4_096)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_drip() {
    let client = Client::new(announced(MAX_BODY_BYTES)).then([b'x'; 1_023], 4_096);
    withstand("crowd-drip", CROWD, client.dripping(b"x", Duration::from_millis(300)).returning()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_that_stop_short_of_the_end() {
    withstand("crowd-chunks", CROWD, Client::new(chunked()).then(chunk(64 << 10), 63).returning()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunks_of_one_byte() {
    withstand("crowd-1", CROWD, Client::new(chunked()).then(chunk(1), 256 << 10)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunks_of_sixteen_bytes() {
    withstand("crowd-16", CROWD, Client::new(chunked()).then(chunk(16), 128 << 10)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_far_over_the_limit_announced() {
    withstand("crowd-over", CROWD, Client::new(announced(1 << 30)).then([b'x'; 1_024], 64 << 10).returning()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_far_over_the_limit_in_chunks() {
    withstand("crowd-over-chunks", CROWD, Client::new(chunked()).then(chunk(1_024), 64 << 10).returning()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn announced_bodies_that_never_come() {
    withstand("crowd-announced", DESCRIPTOR_CROWD, Client::new(announced(MAX_BODY_BYTES))).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_that_stop_short_of_their_end() {
    let text = head("");
    withstand("crowd-heads", DESCRIPTOR_CROWD, Client::new(&text.as_bytes()[..text.len() - 2])).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_that_send_nothing() {
    withstand("crowd-silent", DESCRIPTOR_CROWD, Client::new("").returning()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_behind_each_other_whose_answers_nobody_reads() {
    withstand("crowd-deaf", CROWD, Client::new("").then(head("content-length: 0\r\n"), 8_192).deaf()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_answers_that_nobody_reads() {
    let _alone = run_alone().await;
    let site = start_site("crowd-answers").await;
    let large = std::iter::repeat_n(Behavior::LargeResponse(MAX_BODY_BYTES), CROWD);
    site.plain_replicas.iter().for_each(|replica| replica.queue_behaviors(large.clone()));
    let sampler = sample(&site);
    let call = Client::new(head("content-length: 0\r\n")).deaf();
    let crowd = Crowd::start(&site.addresses[0], CROWD, &call);
    tokio::time::sleep(SETTLE_TIME).await;
    site.plain_replicas.iter().for_each(|replica| replica.clear_behaviors());
    send_ordinary(&site, vec![b'x'; 1_000]).await;
    drop(crowd);
    sampler.close().assert_within(MEMORY_MB);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_that_nobody_reads_free_their_engines_with_the_time_of_their_route() {
    let _alone = run_alone().await;
    let site = start_site("crowd-streams").await;
    site.configure(&[KEY], |_| {});
    tokio::time::sleep(Duration::from_millis(500)).await;
    let large = std::iter::repeat_n(Behavior::LargeStream { events: 200, padding_bytes: 60_000 }, CROWD);
    site.engines.iter().for_each(|engine| engine.queue_behaviors(large.clone()));
    let call = head("content-length: 0\r\ntoken-usage: 500,400\r\n").replace("/look/", "/prompt/");
    let _crowd = Crowd::start(&site.addresses[0], 10, &Client::new(call).deaf());
    let cancelled = || site.engines.iter().map(|engine| engine.cancellation_count()).sum::<usize>();
    let freed = async {
        while cancelled() < 10 {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(ANSWER_TIMEOUT, freed).await.unwrap_or_else(|_| panic!("{} of 10 were freed", cancelled()));
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_at_the_readiness_listener() {
    let _alone = run_alone().await;
    let site = start_site("crowd-ready").await;
    let sampler = sample(&site);
    let _crowd = Crowd::start(&site.ready_addresses[0], DESCRIPTOR_CROWD, &Client::new("GET /ready HTTP/1.1\r\n"));
    tokio::time::sleep(SETTLE_TIME).await;
    send_ordinary(&site, vec![b'x'; 1_000]).await;
    site.wait_ready(0, true).await.expect("the entry is ready beside the crowd");
    sampler.close().assert_within(MEMORY_MB);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_on_a_kept_connection_is_served_on_it_beside_a_crowd() {
    let _alone = run_alone().await;
    let site = start_site("crowd-kept").await;
    let mut kept = Connection::open(&site.addresses[0]).await.expect("connected");
    let spec = RequestSpec::new("POST", "/look/1", "kept", KEY).with_header("deadline-ms", "60000");
    kept.exchange(HOST, &spec, &mut Outcome::default()).await.expect("a request");
    let _crowd = Crowd::start(&site.addresses[0], DESCRIPTOR_CROWD, &Client::new("").returning());
    for _ in 0..16 {
        tokio::time::sleep(SETTLE_TIME / 16).await;
        let mut outcome = Outcome::default();
        kept.exchange(HOST, &spec, &mut outcome).await.expect("a request");
        assert_eq!((outcome.status, outcome.is_complete), (200, true), "{outcome:?}");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_stops_in_peace_beside_a_crowd_and_starts_into_it() {
    let _alone = run_alone().await;
    let mut site = start_site("crowd-restart").await;
    let client = Client::new(announced(MAX_BODY_BYTES)).then([b'x'; 1_023], 4_096).returning();
    let _crowd = Crowd::start(&site.addresses[0], CROWD, &client);
    tokio::time::sleep(SETTLE_TIME / 4).await;
    site.signal(0, Signal::TERM).expect("told to stop");
    assert!(site.wait_exit(0).await.expect("it ends"), "it ends by itself");
    site.restart(0).await.expect("it starts");
    let sampler = sample(&site);
    site.wait_ready(0, true).await.expect("the entry is ready beside the crowd");
    tokio::time::sleep(SETTLE_TIME).await;
    send_ordinary(&site, vec![b'x'; 1_000]).await;
    sampler.close().assert_within(MEMORY_MB);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_on_bodies_that_changes_holds_for_what_comes_next() {
    let _alone = run_alone().await;
    let site = start_site("crowd-limits").await;
    let sampler = sample(&site);
    let _crowd =
        Crowd::start(&site.addresses[0], CROWD, &Client::new(chunked()).then(chunk(16), 128 << 10).returning());
    for max_bytes in [64 << 10, 2 * MAX_BODY_BYTES, MAX_BODY_BYTES] {
        site.configure(&[KEY], |config| config["limits"]["max_body_bytes"] = json!(max_bytes));
        tokio::time::sleep(SETTLE_TIME / 4).await;
        send_ordinary(&site, vec![b'x'; 1_000]).await;
    }
    sampler.close().assert_within(MEMORY_MB);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_largest_body_alone_is_served() {
    let _alone = run_alone().await;
    let site = start_site("crowd-alone").await;
    let sampler = sample(&site);
    send_ordinary(&site, vec![b'x'; MAX_BODY_BYTES]).await;
    sampler.close().assert_within(MEMORY_MB);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_largest_body_alone_in_chunks_of_one_byte_is_served() {
    let _alone = run_alone().await;
    let site = start_site("crowd-alone-1").await;
    let sampler = sample(&site);
    let mut stream = tokio::net::TcpStream::connect(&site.addresses[0]).await.expect("connected");
    stream.write_all(chunked().as_bytes()).await.expect("sent");
    for _ in 0..MAX_BODY_BYTES / 1_024 {
        stream.write_all(&chunk(1).repeat(1_024)).await.expect("sent");
    }
    stream.write_all(b"0\r\n\r\n").await.expect("sent");
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.expect("answered");
    assert_eq!(String::from_utf8_lossy(&status), "HTTP/1.1 200");
    sampler.close().assert_within(MEMORY_MB);
    site.close().expect("no invariant was breached");
}

/// Sends `head` and then `drip` now and then, until that fails.
async fn send_and_drip(mut writer: OwnedWriteHalf, head: &str, drip: &[u8]) -> std::io::Result<()> {
    writer.write_all(head.as_bytes()).await?;
    loop {
        tokio::time::sleep(Duration::from_millis(500)).await;
        writer.write_all(drip).await?;
    }
}

/// Returns whether the entry ends the connection of a client that sends `head` and then a byte now and then.
async fn is_ended(name: &str, head: &str, drip: &[u8]) -> bool {
    let _alone = run_alone().await;
    let site = start_site(name).await;
    site.configure(&[KEY], |_| {});
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (mut reader, writer) =
        tokio::net::TcpStream::connect(&site.addresses[0]).await.expect("connected").into_split();
    let mut answer = Vec::new();
    tokio::select! {
        failed = send_and_drip(writer, head, drip) => failed.is_err(),
        _ = reader.read_to_end(&mut answer) => true,
        () = tokio::time::sleep(ANSWER_TIMEOUT) => false,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_never_ends_ends_with_the_time_of_its_route() {
    assert!(is_ended("crowd-route-time", &announced(60_000), b"x").await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_never_ends_ends_with_its_time() {
    assert!(is_ended("crowd-head-time", "POST /look/1 HTTP/1.1\r\nx-more: ", b"x").await);
}
