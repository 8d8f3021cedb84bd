//! Helpers of the fleet tests: small fleets, prompts and calls.
#![allow(dead_code)]

pub mod crowd;
pub mod load;
pub mod raw_replica;

use std::io::{Read, Write};
use std::process::Command;
use std::time::{Duration, Instant};

use standin::client::{ClientResponse, Prompt};
use standin::fleet::{Fleet, Spec, workspace_key};
use standin::platform::Site;
use standin::text;

/// Starts a small fleet with the test's own name.
pub async fn start_small_fleet(name: &str) -> Fleet {
    start_fleet(Spec::small(name)).await
}

/// Starts a fleet with the given spec.
pub async fn start_fleet(spec: Spec) -> Fleet {
    Fleet::start(spec).await.expect("the fleet starts")
}

/// Builds a streamed prompt of `tokens` tokens that asks for `output` tokens.
pub fn prompt(tokens: usize, output: u64, seed: u64) -> Prompt {
    Prompt {
        model: "market-advisor".into(),
        key: workspace_key(0),
        text: text::generate_prompt(tokens, seed),
        output,
        stream: true,
        deadline: Duration::from_secs(20),
        headers: Vec::new(),
    }
}

/// Returns the headers of a call by workspace 0, with the idempotency key if one is given.
pub fn call_headers(idempotency_key: Option<&str>) -> Vec<(String, String)> {
    let mut headers = vec![("authorization".to_owned(), format!("Bearer {}", workspace_key(0)))];
    if let Some(idempotency_key) = idempotency_key {
        headers.push(("idempotency-key".to_owned(), idempotency_key.to_owned()));
    }
    headers
}

/// Posts a call that may run at most once.
pub async fn post_payment(fleet: &Fleet, entry: usize, key: Option<&str>, deadline: Duration) -> ClientResponse {
    let mut headers = call_headers(key);
    headers.push(("x-deadline-ms".to_owned(), deadline.as_millis().to_string()));
    fleet.client.call("POST", &fleet.entries[entry], "/services/stall-ledger/payments", &headers, "levy 500").await
}

/// Runs `sorrelpass` with arguments; returns its output and whether it exited successfully.
pub fn sorrelpass(args: &[&str]) -> (String, bool) {
    let path = std::path::Path::new(env!("CARGO_BIN_EXE_standin")).with_file_name("sorrelpass");
    let output = Command::new(path).args(args).output().expect("sorrelpass runs");
    let text = [output.stdout, output.stderr].concat();
    (String::from_utf8_lossy(&text).into_owned(), output.status.success())
}

/// Stops a fleet; fails if a process does not exit by itself or if an invariant was breached.
pub async fn close_fleet(fleet: Fleet) {
    let breaches = fleet.read_breaches().expect("logs can be read");
    assert!(breaches.is_empty(), "{breaches:?}");
    let dir = fleet.spec.dir.clone();
    let unfinished = fleet.shut_down().await.expect("the fleet closes");
    assert_eq!(unfinished, "", "processes that did not exit by themselves");
    let _ = std::fs::remove_dir_all(dir);
}

/// Polls until `condition` is true; fails after ten seconds.
pub async fn wait_until<F: Future<Output = bool>>(description: &str, mut condition: impl FnMut() -> F) {
    for _ in 0..1_000 {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("never came about: {description}");
}

/// Sends a request head that exceeds any limit, keeps writing after the refusal, and returns the status line of the
/// response.
pub fn status_line_of_an_endless_head(address: &str) -> String {
    let mut stream = std::net::TcpStream::connect(address).expect("connected");
    let header_line = format!("x-more: {}\r\n", "h".repeat(10_000));
    stream.write_all(b"GET /v1/models HTTP/1.1\r\nhost: x\r\n").expect("sent");
    for _ in 0..2 {
        // In the second round the server has already responded and closed its side.
        for _ in 0..10 {
            // Many clients stop at the first failed write and never read a response that came before it.
            stream.write_all(header_line.as_bytes()).expect("the connection is not reset while the client writes");
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    let mut line = [0; 64];
    let read = stream.read(&mut line).expect("the refusal is there");
    let text = String::from_utf8_lossy(&line[..read]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

/// Returns the leader of a site, which is the only entry that follows no other one.
pub async fn leader(site: &Site, entries: usize) -> usize {
    let follows = |entry: &usize| site.log(*entry).contains("step=following");
    let started = Instant::now();
    loop {
        let leaders: Vec<usize> = (0..entries).filter(|entry| !follows(entry)).collect();
        if let [leader] = leaders[..] {
            return leader;
        }
        assert!(started.elapsed() < Duration::from_secs(12), "leaders: {leaders:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
