//! Spans of prompts that exceed one engine: reserved, prefilled and freed on this sidecar's engine.

use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::Response;
use coord::name::Attempt;
use http_body_util::BodyExt;
use hyper::Request;
use serde::Deserialize;
use serde_json::value::RawValue;

use super::Shared;
use super::engine::thread_client;
use super::event_loop::Command;
use super::intake::{self, Message};
use super::job::RequestBody;
use super::server::{call_event_loop, with_clock_stamp};
use crate::http::{self, Client};
use crate::wire::{self, HoldRequest, PrefillRequest, PrefillResponse};
use crate::{event, util, warn_event};

/// Delay before a failed request to the engine is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeout for the engine to free a span or cancel a request.
const FREE_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles `POST /span/hold`: reserves memory for a span, or renews its lease.
pub async fn reserve_span(State(shared): State<Arc<Shared>>, message: Message) -> Result<Response, StatusCode> {
    let request: HoldRequest = wire::decode(message.bytes()).map_err(|_| StatusCode::BAD_REQUEST)?;
    let response = call_event_loop(&shared, |reply| Command::ReserveSpan(request, reply)).await?;
    Ok(with_clock_stamp(wire::encode(&response)))
}

/// Handles `POST /span/fill`: prefills a reserved span, and answers once the prefill is complete.
pub async fn prefill_span(State(shared): State<Arc<Shared>>, mut body: Body) -> Result<Response, StatusCode> {
    let received = intake::read_delimited::<PrefillRequest>(&shared, &mut body).await.map_err(intake::status)?;
    let request = received.message;
    if !call_event_loop(&shared, |reply| Command::Prefill(request.span, true, reply)).await? {
        return Err(StatusCode::GONE);
    }
    let body = RequestBody::new(received.read, body, vec![received.memory]);
    let response = prefill_on_engine(&shared, request, body).await;
    call_event_loop(&shared, |reply| Command::Prefill(request.span, false, reply)).await?;
    let response = response.map_err(|error| {
        warn_event!("prefill-failed", span = %request.span, reason = %error);
        StatusCode::BAD_GATEWAY
    })?;
    event!("prefill-span", span = %request.span, tokens = response.tokens);
    Ok(with_clock_stamp(wire::encode(&response)))
}

#[derive(Deserialize)]
struct EnginePrefill {
    tokens: u64,
    digest: u64,
}

async fn prefill_on_engine(
    shared: &Shared,
    request: PrefillRequest,
    body: RequestBody,
) -> eyre::Result<PrefillResponse> {
    let uri = format!("http://{}/spans/{}?digest={}", shared.settings.endpoint_address, request.span, request.digest);
    let response = thread_client().request(Request::post(uri).body(body.into_body())?).await?;
    let status = response.status();
    let bytes = response.into_body().collect().await?.to_bytes();
    eyre::ensure!(status.is_success(), "step=prefill-span status={status}");
    let prefill: EnginePrefill = serde_json::from_slice(&bytes)?;
    Ok(PrefillResponse { tokens: prefill.tokens, digest: prefill.digest })
}

/// Handles `POST /span/free`: releases a span.
pub async fn release_span(State(shared): State<Arc<Shared>>, message: Message) -> Result<Response, StatusCode> {
    let span: Attempt = wire::decode(message.bytes()).map_err(|_| StatusCode::BAD_REQUEST)?;
    shared.event_loop.send(Command::ReleaseSpan(span)).await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    Ok(with_clock_stamp(Bytes::new()))
}

/// Frees a span on the engine, retrying until the engine confirms it.
pub async fn free_on_engine(shared: &Shared, span: Attempt) {
    loop {
        if delete_on_engine(shared, &span.to_string()).await {
            let _ = shared.event_loop.send(Command::SpanFreed(span)).await;
            return;
        }
        tokio::time::sleep(util::jitter(RETRY_DELAY)).await;
    }
}

async fn delete_on_engine(shared: &Shared, span: &str) -> bool {
    let uri = format!("http://{}/spans/{span}", shared.settings.endpoint_address);
    let Ok(request) = Request::delete(uri).body(Body::empty()) else { return true };
    let answer = tokio::time::timeout(FREE_TIMEOUT, thread_client().request(request)).await;
    matches!(answer, Ok(Ok(response)) if response.status().is_success())
}

#[derive(Deserialize)]
struct EngineMemory {
    requests: Vec<Box<RawValue>>,
    spans: Vec<Box<RawValue>>,
}

/// Returns the ids among the items of an engine's list. Other items are left out, since this system is not their source.
fn decode_ids(items: &[Box<RawValue>]) -> Vec<String> {
    items.iter().filter_map(|item| serde_json::from_str(item.get()).ok()).collect()
}

/// Lists the memory that the engine holds. Retries until the engine answers, and logs the first failure.
async fn list_engine_memory(client: &Client, engine: &str) -> EngineMemory {
    let mut is_readable = true;
    loop {
        match http::exchange_json(client, engine, "GET", "/kv", None).await {
            Ok(memory) => return memory,
            Err(error) if is_readable => {
                is_readable = false;
                warn_event!("engine-memory-unreadable", reason = %error);
            }
            Err(_) => {}
        }
        tokio::time::sleep(util::jitter(RETRY_DELAY)).await;
    }
}

/// Frees the spans and cancels the requests that a previous incarnation of this sidecar left on the engine.
pub async fn reconcile(shared: &Shared) {
    let client = http::client_h1();
    let found = list_engine_memory(&client, &shared.settings.endpoint_address).await;
    for span in decode_ids(&found.spans) {
        if !is_owned(shared, &span).await {
            event!("reconcile-span", span = %span);
            while !delete_on_engine(shared, &span).await {
                tokio::time::sleep(util::jitter(RETRY_DELAY)).await;
            }
        }
    }
    for request in decode_ids(&found.requests) {
        if !is_owned(shared, &request).await {
            event!("reconcile-request", attempt = %request);
            let path = format!("/cancel/{request}");
            let call = http::exchange(&client, &shared.settings.endpoint_address, "POST", &path, Bytes::new());
            let _ = tokio::time::timeout(FREE_TIMEOUT, call).await;
        }
    }
}

/// Returns whether this incarnation owns the job or span with the id `name`. Ids that this system did not
/// generate count as owned, so that they are left alone.
async fn is_owned(shared: &Shared, name: &str) -> bool {
    let Some(attempt) = parse_attempt(name) else { return true };
    call_event_loop(shared, |reply| Command::IsOwned(attempt, reply)).await.unwrap_or(true)
}

/// Parses an id in the one form in which this system writes it; other texts may be numbers too.
fn parse_attempt(name: &str) -> Option<Attempt> {
    let attempt = Attempt(u128::from_str_radix(name, 16).ok()?);
    (attempt.to_string() == name).then_some(attempt)
}
