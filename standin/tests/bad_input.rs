//! Invalid input gets a specific error, and all resources that it held are released.

mod common;

use std::time::Duration;

use common::{
    call_headers, close_fleet, prompt, start_fleet, start_small_fleet, status_line_of_an_endless_head, wait_until,
};
use serde_json::{Value, json};
use standin::client::ClientResponse;
use standin::fleet::{Fleet, Spec, workspace_key};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn post_prompt(fleet: &Fleet, body: &str, extra_headers: &[(&str, &str)]) -> ClientResponse {
    let mut headers = call_headers(None);
    headers.extend(extra_headers.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())));
    fleet.client.call("POST", &fleet.entries[0], "/v1/chat/completions", &headers, body.to_owned()).await
}

fn valid_body() -> String {
    json!({ "model": "market-advisor", "max_tokens": 3, "messages": [{ "role": "user", "content": "hi" }] }).to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_bad_body_is_named() {
    let fleet = start_small_fleet("bad-bodies").await;
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
        let outcome = post_prompt(&fleet, body, &[]).await;
        assert_eq!(
            (outcome.status, outcome.code(), outcome.ran()),
            (status, code, Some("no")),
            "{body}: {}",
            outcome.text
        );
    }
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn every_bad_header_is_named() {
    let fleet = start_small_fleet("bad-headers").await;
    for deadline in ["0", "-5", "soon", "99999999999", ""] {
        let outcome = post_prompt(&fleet, &valid_body(), &[("x-deadline-ms", deadline)]).await;
        assert_eq!((outcome.status, outcome.code()), (400, "invalid_deadline"), "{deadline}");
    }
    let long = "k".repeat(600);
    let outcome = post_prompt(&fleet, &valid_body(), &[("idempotency-key", &long)]).await;
    assert_eq!((outcome.status, outcome.code()), (400, "invalid_key"));
    let huge = "h".repeat(600_000);
    let outcome = post_prompt(&fleet, &valid_body(), &[("x-huge", &huge)]).await;
    assert_eq!(outcome.status, 431, "{outcome:?}");
    for (headers, code) in
        [(vec![], "missing_key"), (vec![("authorization".into(), "Bearer wrong".into())], "invalid_key")]
    {
        let path = "/v1/chat/completions";
        let outcome = fleet.client.call("POST", &fleet.entries[0], path, &headers, valid_body()).await;
        assert_eq!((outcome.status, outcome.code()), (401, code));
    }
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_caller_that_still_writes_reads_its_refusal() {
    let fleet = start_small_fleet("endless-head").await;
    let address = fleet.entries[0].clone();
    let line = tokio::task::spawn_blocking(move || status_line_of_an_endless_head(&address))
        .await
        .expect("the thread completes");
    assert!(line.starts_with("HTTP/1.1 431"), "{line}");
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_paths_methods_and_services_are_named() {
    let fleet = start_small_fleet("bad-paths").await;
    let headers = call_headers(None);
    for (method, path, status, code) in [
        ("GET", "/v1/nothing", 404, "not_found"),
        ("GET", "/v1/chat/completions", 405, "method_not_allowed"),
        ("GET", "/services/nobody/x", 404, "service_not_found"),
        ("GET", "/v1/models/nobody", 404, "model_not_found"),
    ] {
        let outcome = fleet.client.call(method, &fleet.entries[0], path, &headers, "").await;
        assert_eq!((outcome.status, outcome.code()), (status, code), "{method} {path}");
    }
    let (status, models) = fleet
        .client
        .send_json("GET", &fleet.entries[0], "/v1/models", &workspace_key(0), None)
        .await
        .expect("a response arrives");
    assert_eq!((status, &models["data"][0]["id"]), (200, &Value::from("market-advisor")));
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_bodies_and_prompts_are_refused() {
    let settings = "max_body_bytes = 200000\nbody_budget_bytes = 400000\n".to_owned();
    let fleet = start_fleet(Spec { entry_settings: settings, ..Spec::small("oversized") }).await;
    let large = prompt(60_000, 3, 1);
    let outcome = fleet.client.send_prompt(&fleet.entries[0], &large).await;
    assert_eq!((outcome.status, outcome.code()), (413, "body_too_large"), "{outcome:?}");
    let body = json!({ "changes": [{ "put_intent": { "model": "market-advisor", "service": "market-advisor",
        "workspaces": ["*"], "context_tokens": 1_000 } }] });
    fleet.publish(&body["changes"]).await.expect("the change is accepted");
    wait_until("the limit is in force", || async {
        let long = prompt(2_000, 3, 1);
        fleet.client.send_prompt(&fleet.entries[0], &long).await.code() == "context_length_exceeded"
    })
    .await;
    close_fleet(fleet).await;
}

/// Guards against a missing `connection: close`: a client that reused the connection would lose its next request.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_of_an_unread_body_says_that_its_connection_ends() {
    let settings = "max_body_bytes = 200000\n".to_owned();
    let fleet = start_fleet(Spec { entry_settings: settings, ..Spec::small("unread") }).await;
    let mut stream = send_partial_body(&fleet, 200_001).await;
    let mut head = vec![0; 1_024];
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut head)).await.expect("in time");
    let head = String::from_utf8_lossy(&head[..read.expect("the stream is readable")]).into_owned();
    assert!(head.starts_with("HTTP/1.1 413"), "{head}");
    assert!(head.to_ascii_lowercase().contains("connection: close"), "{head}");
    drop(stream);
    close_fleet(fleet).await;
}

/// Starts a fleet whose entries buffer at most 200 kB of request bodies.
async fn start_fleet_with_small_budget(name: &str) -> Fleet {
    let settings = "max_body_bytes = 200000\nbody_budget_bytes = 200000\n".to_owned();
    start_fleet(Spec { entry_settings: settings, ..Spec::small(name) }).await
}

/// Opens a connection and sends a request whose body has `bytes` bytes, of which only the first one is sent.
async fn send_partial_body(fleet: &Fleet, bytes: usize) -> TcpStream {
    let mut stream = TcpStream::connect(&fleet.entries[0]).await.expect("connected");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: {bytes}\r\n\r\n{{",
        workspace_key(0)
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream
}

/// Returns the status line of the response, or `None` if no response arrives within `timeout`.
async fn read_status_line(stream: &mut TcpStream, timeout: Duration) -> Option<String> {
    let mut line = vec![0; 64];
    let read = tokio::time::timeout(timeout, stream.read(&mut line)).await.ok()?.expect("the stream is readable");
    Some(String::from_utf8_lossy(&line[..read]).lines().next().unwrap_or_default().to_owned())
}

/// While an unfinished body occupies part of the budget, a body that exceeds the remainder is refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_exceeds_the_remaining_budget_is_refused() {
    let fleet = start_fleet_with_small_budget("budget-held").await;
    let mut first = send_partial_body(&fleet, 190_000).await;
    assert_eq!(read_status_line(&mut first, Duration::from_millis(500)).await, None, "the body is accepted");
    let mut second = send_partial_body(&fleet, 40_000).await;
    let line = read_status_line(&mut second, Duration::from_secs(5)).await.expect("a response arrives");
    assert!(line.starts_with("HTTP/1.1 503"), "{line}");
    assert_eq!(
        read_status_line(&mut first, Duration::from_millis(100)).await,
        None,
        "the first body is still accepted"
    );
    drop(first);
    close_fleet(fleet).await;
}

/// Budget in use by a body that is about to complete: a body that does not fit beside it waits. If it were refused,
/// its client would retry half a second later and send the whole body again, repeatedly under a steady load of short
/// prompts.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_waits_for_budget_that_is_released_shortly() {
    let fleet = start_fleet_with_small_budget("budget-moment").await;
    for _ in 0..5 {
        let mut first = send_partial_body(&fleet, 40_000).await;
        assert_eq!(read_status_line(&mut first, Duration::from_millis(100)).await, None, "the body is accepted");
        let mut second = send_partial_body(&fleet, 190_000).await;
        assert_eq!(read_status_line(&mut second, Duration::from_millis(50)).await, None, "the body waits");
        drop(first);
        assert_eq!(read_status_line(&mut second, Duration::from_millis(600)).await, None, "the body is accepted");
        let outcome = fleet.client.send_prompt(&fleet.entries[0], &prompt(10_000, 3, 1)).await;
        assert_eq!(outcome.code(), "bodies_in_flight", "the second body holds the budget: {outcome:?}");
        drop(second);
        wait_until("the budget is back", || async {
            fleet.client.send_prompt(&fleet.entries[0], &prompt(10_000, 3, 1)).await.is_complete
        })
        .await;
    }
    close_fleet(fleet).await;
}

/// A waiting body does not block bodies that fit into the budget.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_waits_holds_up_no_smaller_one() {
    let fleet = start_fleet_with_small_budget("budget-smaller").await;
    let mut first = send_partial_body(&fleet, 60_000).await;
    assert_eq!(read_status_line(&mut first, Duration::from_millis(100)).await, None, "the body is accepted");
    let mut waiting = Vec::new();
    for _ in 0..20 {
        waiting.push(send_partial_body(&fleet, 190_000).await);
        let outcome = fleet.client.send_prompt(&fleet.entries[0], &prompt(1_000, 3, 1)).await;
        assert!(outcome.is_complete, "{outcome:?}");
    }
    for stream in &mut waiting {
        let line = read_status_line(stream, Duration::from_secs(5)).await.expect("a response arrives");
        assert!(line.starts_with("HTTP/1.1 503"), "{line}");
    }
    drop((first, waiting));
    close_fleet(fleet).await;
}

/// Guards against a refusal of the half-sent request that is meant to exhaust the budget. Under load, a prompt of the
/// loop can hold a part of the budget for some milliseconds when the half-sent request arrives. That request was then
/// refused with `bodies_in_flight`, and nothing exhausted the budget while 1,000 prompts were served. The order of the
/// two is random here; the tests above cover both orders. A refusal in the second order is also wrong for clients.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_over_the_budget_are_refused_and_the_budget_comes_back() {
    let settings = "max_body_bytes = 200000\nbody_budget_bytes = 200000\n".to_owned();
    let fleet = start_fleet(Spec { entry_settings: settings, ..Spec::small("budget") }).await;
    let mut blocking_body = tokio::net::TcpStream::connect(&fleet.entries[0]).await.expect("connected");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: 190000\r\n\r\n{{",
        workspace_key(0)
    );
    blocking_body.write_all(head.as_bytes()).await.expect("sent");
    wait_until("the budget is used up", || async {
        fleet.client.send_prompt(&fleet.entries[0], &prompt(10_000, 3, 1)).await.code() == "bodies_in_flight"
    })
    .await;
    drop(blocking_body);
    wait_until("the budget is back", || async {
        fleet.client.send_prompt(&fleet.entries[0], &prompt(10_000, 3, 1)).await.is_complete
    })
    .await;
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_does_not_read_is_cut_off_and_frees_the_engine() {
    let settings = "slow_caller_ms = 300\n".to_owned();
    let spec = Spec { engines: 1, entry_settings: settings, ..Spec::small("slow-caller") };
    let fleet = start_fleet(spec).await;
    let prompt = prompt(500, 9_000, 1);
    let body = prompt.body();
    // With a small receive window the answer does not fit into the kernel's socket buffers.
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
    wait_until("the entry disconnects the caller", || async {
        let log = std::fs::read_to_string(fleet.log_file("entry-0")).unwrap_or_default();
        // The caller is cut off because the channel of its answer was full for too long or because the write to its
        // connection timed out; the test itself keeps the connection open.
        log.contains("code=caller_too_slow") || log.contains("step=caller-gone")
    })
    .await;
    wait_until("the engine is free", || async { fleet.reserved_tokens().await == 0 }).await;
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_workspace_over_its_limit_is_told_when_to_come_back() {
    let fleet = start_small_fleet("limit").await;
    let digest = blake3::hash(workspace_key(3).as_bytes()).to_hex().to_string();
    let changes = json!([{ "put_workspace": { "name": "workspace-3", "key_digest": digest, "requests_per_s": 2.0 } }]);
    fleet.publish(&changes).await.expect("the change is accepted");
    let mut refusal = None;
    for seed in 0..40 {
        let mut prompt = prompt(200, 2, seed);
        prompt.key = workspace_key(3);
        let outcome = fleet.client.send_prompt(&fleet.entries[0], &prompt).await;
        if outcome.status == 429 {
            refusal = Some(outcome);
            break;
        }
    }
    let outcome = refusal.expect("the limit shows");
    assert_eq!((outcome.code(), outcome.ran()), ("workspace_limit", Some("no")));
    let retry_after = outcome.retry_after().expect("a time to retry after");
    assert!(retry_after > Duration::ZERO && retry_after <= Duration::from_secs(2), "{retry_after:?}");
    close_fleet(fleet).await;
}
