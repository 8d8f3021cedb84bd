//! Crowds of clients that keep to no limit at entries and sidecars: each process lives within its memory and its
//! descriptors, and an ordinary caller gets its answer.

mod common;

use std::convert::Infallible;
use std::time::Duration;

use common::crowd::{
    ANSWER_TIMEOUT, CROWD, Client, Crowd, DESCRIPTOR_CROWD, DESCRIPTORS, SETTLE_TIME, Sampler, run_alone,
    with_descriptor_limit,
};
use common::{call_headers, close_fleet, prompt, start_fleet};
use futures_util::{StreamExt, stream};
use http_body_util::{Full, StreamBody};
use hyper::Request;
use hyper::body::{Bytes, Frame};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use standin::fleet::{Fleet, Spec, workspace_key};
use tokio::net::TcpStream;

/// Memory of a process.
const MEMORY_MB: u64 = 128;
/// Largest body and the memory for all bodies, as the settings of the entries say.
const MAX_BODY_BYTES: usize = 1 << 20;
const BODY_BUDGET_BYTES: usize = 8 << 20;
/// Calls that run at most once, each with an answer of the largest body.
const KEYED_CALLS: usize = 200;
/// HTTP/2 connections of a crowd, and the streams that each one tries to have.
const SHARED_CROWD: usize = 8;
const STREAMS: usize = 400;

async fn start(name: &str) -> Fleet {
    let settings = format!("max_body_bytes = {MAX_BODY_BYTES}\nbody_budget_bytes = {BODY_BUDGET_BYTES}\n");
    let spec = Spec { entries: 1, engines: 1, services: 1, entry_settings: settings, ..Spec::small(name) };
    with_descriptor_limit(DESCRIPTORS, start_fleet(spec)).await
}

fn head(path: &str, lines: &str) -> String {
    let key = workspace_key(0);
    format!("POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\nx-deadline-ms: 600000\r\n{lines}\r\n")
}

fn prompt_head(lines: &str) -> String {
    head("/v1/chat/completions", lines)
}

const CHUNKED: &str = "transfer-encoding: chunked\r\n";

async fn send_ordinary(fleet: &Fleet) {
    let answered = async {
        while fleet.client.send_prompt(&fleet.entries[0], &prompt(100, 3, 1)).await.status != 200 {
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    };
    tokio::time::timeout(ANSWER_TIMEOUT, answered).await.expect("an ordinary caller is answered");
}

/// Lets a crowd loose on the process `name`, and asks as an ordinary caller while the crowd is there and afterwards.
async fn withstand(fleet: Fleet, name: &str, address: &str, clients: usize, client: Client) {
    let sampler = Sampler::start(fleet.pid(name).expect("it runs"), &[address]);
    let crowd = Crowd::start(address, clients, &client);
    tokio::time::sleep(SETTLE_TIME).await;
    send_ordinary(&fleet).await;
    drop(crowd);
    send_ordinary(&fleet).await;
    sampler.close().assert_within(MEMORY_MB);
    close_fleet(fleet).await;
}

async fn withstand_at_entry(name: &str, clients: usize, client: Client) {
    let _alone = run_alone().await;
    let fleet = start(name).await;
    let address = fleet.entries[0].clone();
    withstand(fleet, "entry-0", &address, clients, client).await;
}

async fn withstand_at_sidecar(name: &str, clients: usize, client: Client) {
    let _alone = run_alone().await;
    let fleet = start(name).await;
    let address = fleet.addresses["sidecar-market-advisor-0"].clone();
    withstand(fleet, "sidecar-market-advisor-0", &address, clients, client).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn prompts_that_drip_at_an_entry() {
    let client = Client::new(prompt_head(&format!("content-length: {MAX_BODY_BYTES}\r\n")));
    let client = client.then([b' '; 1_023], 1_024).dripping(b" ", Duration::from_secs(2)).returning();
    withstand_at_entry("crowd-entry-drip", CROWD, client).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn prompts_in_chunks_of_one_byte_at_an_entry() {
    let client = Client::new(prompt_head(CHUNKED)).then(b"1\r\n \r\n", 512 << 10);
    let client = client.dripping(b"1\r\n \r\n", Duration::from_secs(2)).returning();
    withstand_at_entry("crowd-entry-1", CROWD, client).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn announced_prompts_that_never_come_at_an_entry() {
    let client = Client::new(prompt_head(&format!("content-length: {MAX_BODY_BYTES}\r\n"))).returning();
    withstand_at_entry("crowd-entry-announced", CROWD, client).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_for_tickets_without_end_at_an_entry() {
    let chunk = [b"400\r\n".to_vec(), vec![b' '; 1_024], b"\r\n".to_vec()].concat();
    withstand_at_entry("crowd-entry-tickets", CROWD, Client::new(head("/v1/tickets", CHUNKED)).then(chunk, 8_192))
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_that_send_nothing_at_an_entry() {
    withstand_at_entry("crowd-entry-silent", DESCRIPTOR_CROWD, Client::new("").returning()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn prefaces_that_stop_short_of_their_end_at_an_entry() {
    withstand_at_entry("crowd-entry-preface", DESCRIPTOR_CROWD, Client::new("PRI * HTTP/2.0\r\n").returning()).await;
}

/// Sends prompts that stop short of their end on one HTTP/2 connection, as many as it allows, again and again.
async fn send_shared(address: String) {
    let stream = TcpStream::connect(&address).await.expect("connected");
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await;
    let (sender, connection) = handshake.expect("an HTTP/2 connection");
    tokio::spawn(connection);
    let streams = (0..STREAMS).map(|_| {
        let mut sender = sender.clone();
        async move {
            loop {
                let start = stream::iter([Ok::<_, Infallible>(Frame::data(Bytes::from(vec![b' '; 120 << 10])))]);
                let request = Request::post("http://x/v1/chat/completions")
                    .header("authorization", format!("Bearer {}", workspace_key(0)))
                    .header("content-length", MAX_BODY_BYTES)
                    .body(StreamBody::new(start.chain(stream::pending())))
                    .expect("a request");
                // Refusals and lost streams are the crowd's business.
                let _ = sender.send_request(request).await;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    });
    futures_util::future::join_all(streams).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn prompts_on_shared_connections_that_stop_short_of_their_end_at_an_entry() {
    let _alone = run_alone().await;
    let fleet = start("crowd-entry-shared").await;
    let address = fleet.entries[0].clone();
    let sampler = Sampler::start(fleet.pid("entry-0").expect("it runs"), &[&address]);
    let crowd: Vec<_> = (0..SHARED_CROWD).map(|_| tokio::spawn(send_shared(address.clone()))).collect();
    tokio::time::sleep(SETTLE_TIME).await;
    send_ordinary(&fleet).await;
    crowd.iter().for_each(tokio::task::JoinHandle::abort);
    sampler.close().assert_within(MEMORY_MB);
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shared_connection_whose_caller_takes_nothing_of_its_answers_ends() {
    let _alone = run_alone().await;
    let fleet = start("crowd-entry-unread").await;
    let stream = TcpStream::connect(&fleet.entries[0]).await.expect("connected");
    let mut client = http2::Builder::new(TokioExecutor::new());
    client.initial_stream_window_size(0);
    let (mut sender, connection) = client.handshake(TokioIo::new(stream)).await.expect("an HTTP/2 connection");
    let connection = tokio::spawn(connection);
    let body =
        br#"{"model":"market-advisor","max_tokens":3,"stream":true,"messages":[{"role":"user","content":"hi"}]}"#;
    let request = Request::post("http://x/v1/chat/completions")
        .header("authorization", format!("Bearer {}", workspace_key(0)))
        .body(Full::new(Bytes::from_static(body)))
        .expect("a request");
    let response = sender.send_request(request).await.expect("the head of an answer");
    assert_eq!(response.status(), 200);
    // Whether it ends with an error is the entry's business.
    let _ = tokio::time::timeout(ANSWER_TIMEOUT, connection).await.expect("the entry ends the connection");
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_a_sidecar_keeps_for_keys_that_come_again() {
    let _alone = run_alone().await;
    let fleet = start("crowd-sidecar-keys").await;
    let sidecar = "sidecar-stall-ledger-0";
    let sampler = Sampler::start(fleet.pid(sidecar).expect("it runs"), &[&fleet.addresses[sidecar]]);
    let call = async |key: &str| {
        let headers = call_headers(Some(key));
        let body = "x".repeat(MAX_BODY_BYTES);
        fleet.client.call("POST", &fleet.entries[0], "/services/stall-ledger/payments", &headers, body).await
    };
    for number in 0..KEYED_CALLS {
        let outcome = call(&format!("key-{number}")).await;
        assert_eq!(outcome.status, 200, "{}", outcome.code());
    }
    assert_eq!(call(&format!("key-{}", KEYED_CALLS - 1)).await.status, 200, "a recent answer is kept");
    // Whether the answer to an old key is kept is up to the sidecar; that it does not run again is not.
    let again = call("key-0").await;
    assert!(again.status == 200 || again.ran() == Some("unknown"), "{again:?}");
    assert!(fleet.run_counts().await.values().all(|count| *count == 1), "no call ran twice");
    sampler.close().assert_within(MEMORY_MB);
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_that_send_nothing_at_a_sidecar() {
    withstand_at_sidecar("crowd-sidecar-silent", DESCRIPTOR_CROWD, Client::new("").returning()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn messages_that_stop_short_of_their_end_at_a_sidecar() {
    let length = (12_u32 << 20).to_be_bytes();
    let start = [head("/work", "content-length: 16777216\r\n").into_bytes(), length.to_vec()].concat();
    withstand_at_sidecar("crowd-sidecar-work", CROWD, Client::new(start).then([b'x'; 1_024], 8_192)).await;
}
