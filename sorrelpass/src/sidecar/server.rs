//! HTTP server of a sidecar: quotes, work and cancellation for entries, health and metrics for operators.

use std::convert::Infallible;
use std::sync::Arc;

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use futures_util::stream;
use tokio::sync::{mpsc, oneshot};

use super::Shared;
use super::event_loop::{Command, OfferOutcome};
use super::intake::{self, Delimited, Message};
use super::transcript::Transcript;
use super::{job, order, span};
use crate::request_body::ReadError;
use crate::wire::{self, Frame, WorkRequest};
use crate::{http, metric, timeline, util};

/// Number of frames that are buffered for an entry that reads slowly.
const FRAME_CHANNEL_CAPACITY: usize = 256;

/// Builds the router of a sidecar.
pub fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route(wire::QUOTE, post(get_quote))
        .route(wire::WORK, post(run_work))
        .route(wire::CANCEL, post(cancel_attempt))
        .route(wire::SPAN_HOLD, post(span::reserve_span))
        .route(wire::SPAN_PREFILL, post(span::prefill_span))
        .route(wire::SPAN_FREE, post(span::release_span))
        .route(wire::RESERVATIONS, get(get_load))
        .route("/status", get(get_status))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(|| async { "ok\n" }))
        .route("/metrics", get(|| async { metric::render() }))
        .with_state(shared)
}

fn observe_clock(headers: &HeaderMap) {
    if let Some(stamp) = headers.get(timeline::HEADER).and_then(|value| value.to_str().ok()) {
        timeline::observe(stamp);
    }
}

/// Adds the clock stamp of this process to a response.
pub fn with_clock_stamp(body: impl IntoResponse) -> Response {
    ([(timeline::HEADER, timeline::stamp())], body).into_response()
}

/// Sends a command to the event loop and waits for its reply. Fails with 503 if the event loop has stopped.
pub async fn call_event_loop<T>(
    shared: &Shared,
    command: impl FnOnce(oneshot::Sender<T>) -> Command,
) -> Result<T, StatusCode> {
    let (reply, answer) = oneshot::channel();
    shared.event_loop.send(command(reply)).await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    answer.await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)
}

async fn get_quote(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    message: Message,
) -> Result<Response, StatusCode> {
    observe_clock(&headers);
    let request: wire::QuoteRequest = wire::decode(message.bytes()).map_err(|_| StatusCode::BAD_REQUEST)?;
    let response = call_event_loop(&shared, |reply| Command::Quote(request, reply)).await?;
    Ok(with_clock_stamp(wire::encode(&response)))
}

async fn cancel_attempt(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    message: Message,
) -> Result<Response, StatusCode> {
    observe_clock(&headers);
    let request: wire::CancelRequest = wire::decode(message.bytes()).map_err(|_| StatusCode::BAD_REQUEST)?;
    let cancel_outcome = call_event_loop(&shared, |reply| Command::CancelAttempt {
        attempt: request.attempt,
        idempotency_key: request.idempotency_key,
        reply: Some(reply),
    })
    .await?;
    Ok(with_clock_stamp(wire::encode(&wire::CancelResponse {
        incarnation: util::incarnation(),
        outcome: cancel_outcome,
    })))
}

async fn get_load(State(shared): State<Arc<Shared>>) -> Result<Response, StatusCode> {
    let load = order::query_load(&http::client_h1(), &shared).await.ok_or(StatusCode::BAD_GATEWAY)?;
    Ok(axum::Json(load).into_response())
}

async fn get_status(State(shared): State<Arc<Shared>>) -> Result<Response, StatusCode> {
    let status = call_event_loop(&shared, Command::Status).await?;
    Ok(axum::Json(status).into_response())
}

async fn run_work(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    mut body: Body,
) -> Result<Response, StatusCode> {
    observe_clock(&headers);
    let received = match intake::read_delimited::<WorkRequest>(&shared, &mut body).await {
        Ok(received) => received,
        // Nothing was offered, so the entry may try another sidecar.
        Err(ReadError::Shortage(_)) => return Ok(single_frame_response(&refusal_frame(intake::no_memory()))),
        Err(error) => return Err(intake::status(error)),
    };
    let work = received.message.clone();
    if work.incarnation.is_some_and(|wanted| wanted != util::incarnation()) {
        let reason = wire::WorkRefusal::OtherIncarnation;
        return Ok(single_frame_response(&Frame::Refused { reason, retry_after_micros: 0 }));
    }
    if work.idempotency_key.is_some() {
        return run_work_once(shared, received, body).await;
    }
    let outcome =
        call_event_loop(&shared, |reply| Command::Offer { work: Box::new(work.clone()), transcript: None, reply })
            .await?;
    let signals = match outcome {
        OfferOutcome::Accepted(signals) => signals,
        OfferOutcome::Refused(refused) => return Ok(single_frame_response(&refusal_frame(refused))),
        OfferOutcome::Duplicate(_) => return Err(StatusCode::CONFLICT),
    };
    let request_body = job::RequestBody::new(received.read, body, vec![received.memory]);
    let (sender, receiver) = mpsc::channel(FRAME_CHANNEL_CAPACITY);
    let output = job::Output::Channel { sender, full_timeout: shared.settings.entry_timeout };
    tokio::spawn(job::run(shared, work, request_body, signals, output));
    Ok(with_clock_stamp(Body::from_stream(stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|frame| (Ok::<Bytes, Infallible>(frame), receiver))
    }))))
}

/// Runs a call that may run at most once: buffers its body first, and records its answer.
async fn run_work_once(
    shared: Arc<Shared>,
    received: Delimited<WorkRequest>,
    body: Body,
) -> Result<Response, StatusCode> {
    let Delimited { message: work, read, memory } = received;
    let rest = match intake::read_once_body(&shared, body).await {
        Ok(rest) => rest,
        Err(ReadError::Shortage(_)) => return Ok(single_frame_response(&refusal_frame(intake::no_memory()))),
        Err(error) => return Err(intake::status(error)),
    };
    let request_body = job::RequestBody::new(read, Body::from(rest.bytes), vec![memory, rest.holder]);
    let transcript = Transcript::new();
    let recording = transcript.clone();
    let attempt = work.attempt;
    let outcome = call_event_loop(&shared, |reply| Command::Offer {
        work: Box::new(work.clone()),
        transcript: Some(recording),
        reply,
    })
    .await?;
    let source = match outcome {
        OfferOutcome::Refused(refused) => return Ok(single_frame_response(&refusal_frame(refused))),
        OfferOutcome::Duplicate(earlier) => earlier,
        OfferOutcome::Accepted(signals) => {
            let output = job::Output::Transcript(transcript.clone());
            tokio::spawn(job::run(shared, work, request_body, signals, output));
            transcript
        }
    };
    Ok(with_clock_stamp(Body::from_stream(stream::unfold((source, 0), move |(source, index)| async move {
        let frame = source.wait_for_frame(index, attempt).await?;
        Some((Ok::<Bytes, Infallible>(wire::encode_delimited(&frame)), (source, index + 1)))
    }))))
}

fn refusal_frame(refused: coord::scheduler::Refusal) -> Frame {
    Frame::Refused {
        reason: wire::WorkRefusal::Scheduler(refused.reason),
        retry_after_micros: coord::time::micros(refused.retry_after),
    }
}

fn single_frame_response(frame: &Frame) -> Response {
    with_clock_stamp(wire::encode_delimited(frame))
}
