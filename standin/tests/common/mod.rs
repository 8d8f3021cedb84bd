//! What the fleet tests share: a small fleet, prompts and calls against it.
#![allow(dead_code)]

pub mod load;

use std::io::{Read, Write};
use std::process::Command;
use std::time::{Duration, Instant};

use standin::client::{Prompt, ClientResponse};
use standin::fleet::{Fleet, Spec, workspace_key};
use standin::platform::Site;
use standin::text;

/// A small fleet under the test's own name.
pub async fn fleet(name: &str) -> Fleet {
    start(Spec::small(name)).await
}

/// A fleet as specified.
pub async fn start(spec: Spec) -> Fleet {
    Fleet::start(spec).await.expect("the fleet starts")
}

/// A streamed prompt of `tokens` tokens that wants `output` tokens.
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

/// Headers of a call by workspace 0, with a key if it may run once.
pub fn call_headers(once: Option<&str>) -> Vec<(String, String)> {
    let mut headers = vec![("authorization".to_owned(), format!("Bearer {}", workspace_key(0)))];
    if let Some(once) = once {
        headers.push(("idempotency-key".to_owned(), once.to_owned()));
    }
    headers
}

/// Posts a call that may run once.
pub async fn pay(fleet: &Fleet, entry: usize, key: Option<&str>, deadline: Duration) -> ClientResponse {
    let mut headers = call_headers(key);
    headers.push(("x-deadline-ms".to_owned(), deadline.as_millis().to_string()));
    fleet.client.call("POST", &fleet.entries[entry], "/services/stall-ledger/payments", &headers, "levy 500").await
}

/// Runs `sorrelpass` with arguments and returns what it printed and whether it ended well.
pub fn sorrelpass(args: &[&str]) -> (String, bool) {
    let path = std::path::Path::new(env!("CARGO_BIN_EXE_standin")).with_file_name("sorrelpass");
    let output = Command::new(path).args(args).output().expect("sorrelpass runs");
    let text = [output.stdout, output.stderr].concat();
    (String::from_utf8_lossy(&text).into_owned(), output.status.success())
}

/// Ends a fleet; every process must end by itself and none may have breached an invariant.
pub async fn close(fleet: Fleet) {
    let breaches = fleet.read_breaches().expect("logs can be read");
    assert!(breaches.is_empty(), "{breaches:?}");
    let dir = fleet.spec.dir.clone();
    let stuck = fleet.shut_down().await.expect("the fleet closes");
    assert_eq!(stuck, "", "these processes did not end by themselves");
    let _ = std::fs::remove_dir_all(dir);
}

/// Polls until `done` says so; fails after ten seconds.
pub async fn until<F: Future<Output = bool>>(what: &str, mut done: impl FnMut() -> F) {
    for _ in 0..1_000 {
        if done().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("never came about: {what}");
}

/// Sends a request head that grows beyond any limit, goes on writing after it was refused, and returns the
/// first line that comes back.
pub fn status_line_of_an_endless_head(address: &str) -> String {
    let mut stream = std::net::TcpStream::connect(address).expect("connected");
    let piece = format!("x-more: {}\r\n", "h".repeat(10_000));
    stream.write_all(b"GET /v1/models HTTP/1.1\r\nhost: x\r\n").expect("sent");
    for _ in 0..2 {
        // The second round meets a server that has long answered and closed its side.
        for _ in 0..10 {
            // Many clients give up at the first write that fails, and never read what came before it.
            stream.write_all(piece.as_bytes()).expect("the connection is not reset under the caller");
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    let mut line = [0; 64];
    let read = stream.read(&mut line).expect("the refusal is there");
    let text = String::from_utf8_lossy(&line[..read]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

/// The entry of a site that plans for the others: the only one that follows nobody.
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
