//! HTTP handlers of the replica stand-in: calls and streams, memory orders, and load reports.

use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::body::{Body, Bytes};
use axum::extract::{Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use futures_util::stream;
use serde_json::{Value, json};

use super::{Behavior, CRASH_DELAY, CrashTrigger, Replica, Reservation};

/// Number of events in a complete stream.
const STREAM_EVENTS: u64 = 8;
/// Bounds the request bodies that are read; far larger than any body that a test sends.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Delay before a response is broken off. The server discards the bytes that it has not sent by then.
const FLUSH_DELAY: Duration = Duration::from_millis(5);
/// Time from a crash by overload in a cold period to the next start of the process.
const OVERLOAD_DOWNTIME: Duration = Duration::from_millis(500);

/// Builds the routes of a replica.
pub(super) fn router(replica: Arc<Replica>) -> Router {
    Router::new()
        .route("/order", post(handle_order))
        .route("/report", get(handle_report))
        .route("/health", get(handle_health))
        .fallback(handle_call)
        .with_state(replica)
}

/// Guard that records on drop that a request was cancelled, unless the request was completed before.
struct CancellationGuard {
    replica: Arc<Replica>,
    /// Id of the request.
    id: String,
    is_complete: bool,
}

impl CancellationGuard {
    /// Marks the request as completed.
    fn complete(mut self) {
        self.is_complete = true;
    }
}

impl Drop for CancellationGuard {
    fn drop(&mut self) {
        if !self.is_complete {
            self.replica.lock().cancellations.push((std::mem::take(&mut self.id), Instant::now()));
        }
    }
}

/// Returns the value of a header; empty if it is missing or not text.
pub(super) fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Handles an order that reserves or releases memory.
async fn handle_order(State(replica): State<Arc<Replica>>, Json(order): Json<Value>) -> Response {
    let mut inner = replica.lock();
    inner.memory_orders.push(order.clone());
    let id = order["id"].as_str().unwrap_or_default().to_owned();
    match order["op"].as_str() {
        Some("reserve") if inner.refuses_reservations => StatusCode::CONFLICT.into_response(),
        Some("reserve") => {
            let tokens = order["token_count"].as_u64().unwrap_or(0);
            let expires_at = Instant::now() + Duration::from_millis(order["hold_ms"].as_u64().unwrap_or(0));
            inner.reservations.insert(id, Reservation { tokens, expires_at });
            Json(json!({ "free": 0 })).into_response()
        }
        Some("release") => {
            inner.reservations.remove(&id);
            Json(json!({ "free": 0 })).into_response()
        }
        _ => StatusCode::BAD_REQUEST.into_response(),
    }
}

/// Reports the replica's load and slowdown factor.
async fn handle_report(State(replica): State<Arc<Replica>>) -> Response {
    let mut inner = replica.lock();
    inner.report_count += 1;
    let slowdown = inner.slowdown.unwrap_or(1.0);
    Json(json!({ "stage": "dual", "running": 0, "waiting": 0, "kv_used": 0, "pace": slowdown })).into_response()
}

/// Answers that the replica is healthy.
async fn handle_health(State(replica): State<Arc<Replica>>) -> Response {
    (StatusCode::OK, [("replica-id", replica.id.clone())]).into_response()
}

/// Handles a call, with the behavior that is queued for it.
async fn handle_call(State(replica): State<Arc<Replica>>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let Ok(body) = axum::body::to_bytes(body, MAX_BODY_BYTES).await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let id = header(&head.headers, "request-id").to_owned();
    let is_streaming = head.headers.contains_key("token-usage");
    let last_event_id: u64 = header(&head.headers, "last-event-id").parse().unwrap_or(0);
    let crash_trigger = replica.find_crash_trigger(&head.headers, &body);
    let Some(behavior) = replica.record_request(&id, head, body) else {
        let misdirected = (StatusCode::MISDIRECTED_REQUEST, [("replica-id", replica.id.clone())]).into_response();
        return add_replica_headers(misdirected, &replica, Behavior::Refuse, &id);
    };
    if replica.is_overloaded() {
        let overload =
            CrashTrigger { marker: String::new(), downtime: OVERLOAD_DOWNTIME, listener_delay: Duration::ZERO };
        replica.schedule_crash(overload);
        return add_replica_headers(pending_body(), &replica, behavior, &id);
    }
    if let Some(trigger) = crash_trigger {
        let body = if trigger.listener_delay.is_zero() { pending_body() } else { pending_body_until(CRASH_DELAY) };
        replica.schedule_crash(trigger);
        return add_replica_headers(body, &replica, behavior, &id);
    }
    let mut guard = CancellationGuard { replica: replica.clone(), id: id.clone(), is_complete: false };
    if let Behavior::Stall(millis) = behavior {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
    if !is_streaming {
        tokio::time::sleep(replica.service_time).await;
        guard.is_complete = true;
    }
    let response = match behavior {
        Behavior::Refuse | Behavior::SurplusRefusal => {
            (StatusCode::SERVICE_UNAVAILABLE, [("not-executed", "1")]).into_response()
        }
        Behavior::Fail => (StatusCode::INTERNAL_SERVER_ERROR, "failed").into_response(),
        Behavior::UnconfirmedRefusal => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Behavior::DropResponse => aborted_body(),
        Behavior::LargeResponse(bytes) => "x".repeat(bytes).into_response(),
        _ if is_streaming => event_stream(guard, replica.service_time, last_event_id, behavior),
        _ => format!("{} {id}", replica.id).into_response(),
    };
    add_replica_headers(response, &replica, behavior, &id)
}

/// Adds the headers that each response of a replica has: request id, seal, load, and the limits that are in force.
fn add_replica_headers(mut response: Response, replica: &Replica, behavior: Behavior, id: &str) -> Response {
    let is_for_another = matches!(behavior, Behavior::WrongRequestId | Behavior::SurplusRefusal);
    let request_id = if is_for_another { "another" } else { id };
    set_header(&mut response, "request-id", request_id);
    if behavior != Behavior::MissingSeal {
        set_header(&mut response, "response-seal", &format!("seal-of-{}", replica.id));
    }
    set_header(&mut response, "replica-load", "1,0,16");
    let mut inner = replica.lock();
    if let Some(limit) = &inner.rate_limit {
        set_header(&mut response, "server-limit", limit);
    }
    if inner.is_draining {
        set_header(&mut response, "server-leaving", "1");
    }
    if let Some(backoff) = inner.backoff.clone().filter(|_| behavior == Behavior::Refuse) {
        set_header(&mut response, "retry-after", &backoff);
        inner.record_backoff_request(id);
    }
    drop(inner);
    response
}

/// Sets a header; does nothing if the value is not a valid header value.
fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

/// Builds a response whose connection is closed in the middle of the body.
fn aborted_body() -> Response {
    let start = stream::iter([Ok(Bytes::from_static(b"par"))]);
    Body::from_stream(futures_util::StreamExt::chain(start, stream::once(break_off()))).into_response()
}

/// Returns the error that closes the connection of a response, once the bytes before it are sent.
async fn break_off() -> std::io::Result<Bytes> {
    tokio::time::sleep(FLUSH_DELAY).await;
    Err(std::io::Error::other("broken off"))
}

/// Builds a response whose body never sends a byte and never ends.
fn pending_body() -> Response {
    Body::from_stream(stream::pending::<std::io::Result<Bytes>>()).into_response()
}

/// Builds a response whose connection is closed after `delay` without a byte of the body.
fn pending_body_until(delay: Duration) -> Response {
    let error = async move {
        tokio::time::sleep(delay).await;
        Err::<Bytes, _>(std::io::Error::other("ended"))
    };
    Body::from_stream(stream::once(error)).into_response()
}

/// Builds a stream of the events after `last_event_id`, each of which takes `service_time`.
fn event_stream(guard: CancellationGuard, service_time: Duration, last_event_id: u64, behavior: Behavior) -> Response {
    let final_event = match behavior {
        // A resumed stream has no more events than a whole one either.
        Behavior::AbortAfter(events) => (last_event_id + events + 1).min(STREAM_EVENTS),
        Behavior::LargeStream { events, .. } => events,
        _ => STREAM_EVENTS,
    };
    let is_aborted = matches!(behavior, Behavior::AbortAfter(_));
    let is_large = matches!(behavior, Behavior::LargeStream { .. });
    let chunks = stream::unfold((guard, last_event_id + 1), move |(guard, event)| async move {
        if is_aborted && event > final_event {
            return Some((break_off().await, (guard, event)));
        }
        if event > final_event {
            guard.complete();
            return None;
        }
        if !is_large {
            tokio::time::sleep(service_time).await;
        }
        let padding = match behavior {
            Behavior::LargeStream { padding_bytes, .. } => " ".repeat(padding_bytes),
            _ => String::new(),
        };
        let text = format!("id: {event}\ndata: piece {event} of {}{padding}\n\n", guard.id);
        if is_aborted && event == final_event {
            let half = Bytes::from(text[..text.len() / 2].to_owned());
            return Some((Ok(half), (guard, event + 1)));
        }
        Some((Ok(Bytes::from(text)), (guard, event + 1)))
    });
    let mut response = Body::from_stream(chunks).into_response();
    set_header(&mut response, "content-type", "text/event-stream");
    response
}
