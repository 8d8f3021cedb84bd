//! Bad input gets a clear error, and everything it held is freed.

mod common;

use std::time::Duration;

use common::{call_headers, close, fleet, prompt, start, status_line_of_an_endless_head, until};
use serde_json::{Value, json};
use standin::client::ClientResponse;
use standin::fleet::{Fleet, Spec, workspace_key};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn post(fleet: &Fleet, body: &str, more: &[(&str, &str)]) -> ClientResponse {
    let mut headers = call_headers(None);
    headers.extend(more.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())));
    fleet.client.call("POST", &fleet.entries[0], "/v1/chat/completions", &headers, body.to_owned()).await
}

fn good_body() -> String {
    json!({ "model": "market-advisor", "max_tokens": 3, "messages": [{ "role": "user", "content": "hi" }] }).to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_bad_body_is_named() {
    let fleet = fleet("bad-bodies").await;
    let cases = [
        ("{", 400, "invalid_json"),
        ("[]", 400, "invalid_json"),
        ("{}", 400, "missing_field"),
        (r#"{"model":"market-advisor"}"#, 400, "missing_field"),
        (r#"{"model":7,"messages":[{}]}"#, 400, "invalid_field"),
        (r#"{"model":"market-advisor","messages":[]}"#, 400, "invalid_field"),
        (r#"{"model":"market-advisor","messages":"x"}"#, 400, "invalid_field"),
        (r#"{"model":"market-advisor","messages":[{}],"max_tokens":0}"#, 400, "invalid_field"),
        (r#"{"model":"market-advisor","messages":[{}],"max_tokens":-4}"#, 400, "invalid_field"),
        (r#"{"model":"market-advisor","messages":[{}],"stream":"yes"}"#, 400, "invalid_field"),
        (r#"{"model":"market-advisor","messages":[{}],"n":2}"#, 400, "unsupported_field"),
        (r#"{"model":"nobody","messages":[{}]}"#, 404, "model_not_found"),
    ];
    for (body, status, code) in cases {
        let seen = post(&fleet, body, &[]).await;
        assert_eq!((seen.status, seen.code(), seen.ran()), (status, code, Some("no")), "{body}: {}", seen.text);
    }
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn every_bad_header_is_named() {
    let fleet = fleet("bad-headers").await;
    for deadline in ["0", "-5", "soon", "99999999999", ""] {
        let seen = post(&fleet, &good_body(), &[("x-deadline-ms", deadline)]).await;
        assert_eq!((seen.status, seen.code()), (400, "invalid_deadline"), "{deadline}");
    }
    let long = "k".repeat(600);
    let seen = post(&fleet, &good_body(), &[("idempotency-key", &long)]).await;
    assert_eq!((seen.status, seen.code()), (400, "invalid_key"));
    let huge = "h".repeat(600_000);
    let seen = post(&fleet, &good_body(), &[("x-huge", &huge)]).await;
    assert_eq!(seen.status, 431, "{seen:?}");
    for (headers, code) in
        [(vec![], "missing_key"), (vec![("authorization".into(), "Bearer wrong".into())], "invalid_key")]
    {
        let path = "/v1/chat/completions";
        let seen = fleet.client.call("POST", &fleet.entries[0], path, &headers, good_body()).await;
        assert_eq!((seen.status, seen.code()), (401, code));
    }
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_caller_that_still_writes_reads_its_refusal() {
    let fleet = fleet("endless-head").await;
    let address = fleet.entries[0].clone();
    let line = tokio::task::spawn_blocking(move || status_line_of_an_endless_head(&address)).await.expect("it ran");
    assert!(line.starts_with("HTTP/1.1 431"), "{line}");
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_paths_methods_and_services_are_named() {
    let fleet = fleet("bad-paths").await;
    let headers = call_headers(None);
    for (method, path, status, code) in [
        ("GET", "/v1/nothing", 404, "not_found"),
        ("GET", "/v1/chat/completions", 405, "method_not_allowed"),
        ("GET", "/services/nobody/x", 404, "service_not_found"),
        ("GET", "/v1/models/nobody", 404, "model_not_found"),
    ] {
        let seen = fleet.client.call(method, &fleet.entries[0], path, &headers, "").await;
        assert_eq!((seen.status, seen.code()), (status, code), "{method} {path}");
    }
    let (status, models) =
        fleet.client.send_json("GET", &fleet.entries[0], "/v1/models", &workspace_key(0), None).await.expect("an answer");
    assert_eq!((status, &models["data"][0]["id"]), (200, &Value::from("market-advisor")));
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_bodies_and_prompts_are_refused() {
    let settings = "max_body_bytes = 200000\nbody_budget_bytes = 400000\n".to_owned();
    let fleet = start(Spec { entry_settings: settings, ..Spec::small("oversized") }).await;
    let large = prompt(60_000, 3, 1);
    let seen = fleet.client.send_prompt(&fleet.entries[0], &large).await;
    assert_eq!((seen.status, seen.code()), (413, "body_too_large"), "{seen:?}");
    let body = json!({ "changes": [{ "put_intent": { "model": "market-advisor", "service": "market-advisor",
        "workspaces": ["*"], "context_tokens": 1_000 } }] });
    fleet.publish(&body["changes"]).await.expect("the change is accepted");
    until("the limit is in force", || async {
        let long = prompt(2_000, 3, 1);
        fleet.client.send_prompt(&fleet.entries[0], &long).await.code() == "context_length_exceeded"
    })
    .await;
    close(fleet).await;
}

/// A caller that sent its next request on the connection would lose it.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_of_an_unread_body_says_that_its_connection_ends() {
    let settings = "max_body_bytes = 200000\n".to_owned();
    let fleet = start(Spec { entry_settings: settings, ..Spec::small("unread") }).await;
    let mut stream = half_sent(&fleet, 200_001).await;
    let mut head = vec![0; 1_024];
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut head)).await.expect("in time");
    let head = String::from_utf8_lossy(&head[..read.expect("it is readable")]).into_owned();
    assert!(head.starts_with("HTTP/1.1 413"), "{head}");
    assert!(head.to_ascii_lowercase().contains("connection: close"), "{head}");
    drop(stream);
    close(fleet).await;
}

/// An entry that holds 200 kB of bodies at most.
async fn with_small_budget(name: &str) -> Fleet {
    let settings = "max_body_bytes = 200000\nbody_budget_bytes = 200000\n".to_owned();
    start(Spec { entry_settings: settings, ..Spec::small(name) }).await
}

/// A connection whose request has a body of so many bytes, of which all but the first are still to come.
async fn half_sent(fleet: &Fleet, bytes: usize) -> TcpStream {
    let mut stream = TcpStream::connect(&fleet.entries[0]).await.expect("connected");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: {bytes}\r\n\r\n{{",
        workspace_key(0)
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream
}

/// The answer's first line, if one comes within `patience`.
async fn status_line(stream: &mut TcpStream, patience: Duration) -> Option<String> {
    let mut line = vec![0; 64];
    let read = tokio::time::timeout(patience, stream.read(&mut line)).await.ok()?.expect("it is readable");
    Some(String::from_utf8_lossy(&line[..read]).lines().next().unwrap_or_default().to_owned())
}

/// In one order: a body that came first holds its part, what does not fit beside it is refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_beside_one_that_holds_the_budget_is_refused() {
    let fleet = with_small_budget("budget-held").await;
    let mut first = half_sent(&fleet, 190_000).await;
    assert_eq!(status_line(&mut first, Duration::from_millis(500)).await, None, "it was taken in");
    let mut second = half_sent(&fleet, 40_000).await;
    let line = status_line(&mut second, Duration::from_secs(5)).await.expect("an answer");
    assert!(line.starts_with("HTTP/1.1 503"), "{line}");
    assert_eq!(status_line(&mut first, Duration::from_millis(100)).await, None, "the first one is still taken in");
    drop(first);
    close(fleet).await;
}

/// In the other order: a body that does not fit beside one that is over in a moment waits for that moment. Its caller would
/// come back half a second later and send all of it again; where short prompts come all the time, again and again.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_beside_one_that_is_over_in_a_moment_is_taken_in() {
    let fleet = with_small_budget("budget-moment").await;
    for _ in 0..5 {
        let mut first = half_sent(&fleet, 40_000).await;
        assert_eq!(status_line(&mut first, Duration::from_millis(100)).await, None, "it was taken in");
        let mut second = half_sent(&fleet, 190_000).await;
        assert_eq!(status_line(&mut second, Duration::from_millis(50)).await, None, "it waits");
        drop(first);
        assert_eq!(status_line(&mut second, Duration::from_millis(600)).await, None, "it was taken in");
        let seen = fleet.client.send_prompt(&fleet.entries[0], &prompt(10_000, 3, 1)).await;
        assert_eq!(seen.code(), "bodies_in_flight", "the second one holds the budget: {seen:?}");
        drop(second);
        until("the budget is back", || async {
            fleet.client.send_prompt(&fleet.entries[0], &prompt(10_000, 3, 1)).await.is_complete
        })
        .await;
    }
    close(fleet).await;
}

/// One that waits keeps nothing from those that fit.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_waits_holds_up_no_smaller_one() {
    let fleet = with_small_budget("budget-smaller").await;
    let mut first = half_sent(&fleet, 60_000).await;
    assert_eq!(status_line(&mut first, Duration::from_millis(100)).await, None, "it was taken in");
    let mut waiting = Vec::new();
    for _ in 0..20 {
        waiting.push(half_sent(&fleet, 190_000).await);
        let seen = fleet.client.send_prompt(&fleet.entries[0], &prompt(1_000, 3, 1)).await;
        assert!(seen.is_complete, "{seen:?}");
    }
    for stream in &mut waiting {
        let line = status_line(stream, Duration::from_secs(5)).await.expect("an answer");
        assert!(line.starts_with("HTTP/1.1 503"), "{line}");
    }
    drop((first, waiting));
    close(fleet).await;
}

/// The story: beside load the budget was never seen used up. The half-sent request, which is to use it up, had been refused
/// as one too many, since a prompt of the loop below was being read at that moment; that one was over some milliseconds
/// later, and nothing used the budget up any more. The order of the two is left to chance here; both orders stand above,
/// and in the second the refusal was wrong for callers. What showed it: the entry's only line with `bodies_in_flight`,
/// before 1,000 prompts were served.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_over_the_budget_are_refused_and_the_budget_comes_back() {
    let settings = "max_body_bytes = 200000\nbody_budget_bytes = 200000\n".to_owned();
    let fleet = start(Spec { entry_settings: settings, ..Spec::small("budget") }).await;
    let mut half_sent = tokio::net::TcpStream::connect(&fleet.entries[0]).await.expect("connected");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: 190000\r\n\r\n{{",
        workspace_key(0)
    );
    half_sent.write_all(head.as_bytes()).await.expect("sent");
    until("the budget is used up", || async {
        fleet.client.send_prompt(&fleet.entries[0], &prompt(10_000, 3, 1)).await.code() == "bodies_in_flight"
    })
    .await;
    drop(half_sent);
    until("the budget is back", || async { fleet.client.send_prompt(&fleet.entries[0], &prompt(10_000, 3, 1)).await.is_complete })
        .await;
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_does_not_read_is_cut_off_and_frees_the_engine() {
    let settings = "slow_caller_ms = 300\n".to_owned();
    let spec = Spec { engines: 1, entry_settings: settings, ..Spec::small("slow-caller") };
    let fleet = start(spec).await;
    let prompt = prompt(500, 9_000, 1);
    let body = prompt.body();
    // A small window, so that the answer does not fit into the kernel's buffers.
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("the window is set");
    let address = fleet.entries[0].parse().expect("an address");
    let mut stream = socket.connect(address).await.expect("connected");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\nx-deadline-ms: 60000\r\ncontent-length: {}\r\n\r\n{body}",
        prompt.key,
        body.len()
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut first = [0; 16];
    stream.read_exact(&mut first).await.expect("the answer begins");
    until("the entry gives the caller up", || async {
        let log = std::fs::read_to_string(fleet.log_file("entry-0")).unwrap_or_default();
        // Either the answer's ring was full for too long, or the connection's write was; the test
        // itself keeps the connection open.
        log.contains("code=caller_too_slow") || log.contains("step=caller-gone")
    })
    .await;
    until("the engine is free", || async { fleet.reserved_tokens().await == 0 }).await;
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_workspace_over_its_limit_is_told_when_to_come_back() {
    let fleet = fleet("limit").await;
    let digest = blake3::hash(workspace_key(3).as_bytes()).to_hex().to_string();
    let changes = json!([{ "put_workspace": { "name": "workspace-3", "key_digest": digest, "requests_per_s": 2.0 } }]);
    fleet.publish(&changes).await.expect("the change is accepted");
    let mut limited = None;
    for seed in 0..40 {
        let mut prompt = prompt(200, 2, seed);
        prompt.key = workspace_key(3);
        let seen = fleet.client.send_prompt(&fleet.entries[0], &prompt).await;
        if seen.status == 429 {
            limited = Some(seen);
            break;
        }
    }
    let seen = limited.expect("the limit shows");
    assert_eq!((seen.code(), seen.ran()), ("workspace_limit", Some("no")));
    let wait = seen.retry_after().expect("when to come back");
    assert!(wait > Duration::ZERO && wait <= Duration::from_secs(2), "{wait:?}");
    close(fleet).await;
}
