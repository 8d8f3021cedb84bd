//! HTTP server of a sidecar: quotes, work and voiding for entries, health and metrics for operators.

use std::convert::Infallible;
use std::sync::Arc;

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use futures_util::stream;
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};

use super::Shared;
use super::kernel::{Answer, Command};
use super::transcript::Transcript;
use super::{job, order, span};
use crate::wire::{self, Frame, Open, Splitter};
use crate::{http, metric, timeline, util};

/// Number of frames that are buffered for an entry that reads slowly.
const FRAME_RING: usize = 256;
/// Maximum body size of a call that may run at most once; its body is buffered before the job is offered.
const MAX_ONCE_BODY: usize = 16 * 1_024 * 1_024;

/// Builds the router of a sidecar.
pub fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route(wire::QUOTE, post(quote))
        .route(wire::WORK, post(work))
        .route(wire::VOID, post(void))
        .route(wire::SPAN_HOLD, post(span::hold))
        .route(wire::SPAN_FILL, post(span::fill))
        .route(wire::SPAN_FREE, post(span::free))
        .route(wire::HOLDS, get(holds))
        .route("/status", get(status))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(|| async { "ok\n" }))
        .route("/metrics", get(|| async { metric::text() }))
        .with_state(shared)
}

fn observe(headers: &HeaderMap) {
    if let Some(stamp) = headers.get(timeline::HEADER).and_then(|value| value.to_str().ok()) {
        timeline::observe(stamp);
    }
}

/// Adds the clock stamp of this process to a response.
pub fn stamped(body: impl IntoResponse) -> Response {
    ([(timeline::HEADER, timeline::stamp())], body).into_response()
}

/// Sends a command to the event loop and waits for its reply. Fails with 503 if the event loop has stopped.
pub async fn ask<T>(shared: &Shared, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Result<T, StatusCode> {
    let (reply, answer) = oneshot::channel();
    shared.kernel.send(command(reply)).await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    answer.await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)
}

async fn quote(State(shared): State<Arc<Shared>>, headers: HeaderMap, body: Bytes) -> Result<Response, StatusCode> {
    observe(&headers);
    let wanted: wire::Ask = wire::decode(&body).map_err(|_| StatusCode::BAD_REQUEST)?;
    let quoted = ask(&shared, |reply| Command::Quote(wanted, reply)).await?;
    Ok(stamped(wire::encode(&quoted)))
}

async fn void(State(shared): State<Arc<Shared>>, headers: HeaderMap, body: Bytes) -> Result<Response, StatusCode> {
    observe(&headers);
    let void: wire::Void = wire::decode(&body).map_err(|_| StatusCode::BAD_REQUEST)?;
    let voided =
        ask(&shared, |reply| Command::Void { attempt: void.attempt, once: void.once, reply: Some(reply) }).await?;
    Ok(stamped(wire::encode(&wire::VoidAnswer { incarnation: util::incarnation(), voided })))
}

async fn holds(State(shared): State<Arc<Shared>>) -> Result<Response, StatusCode> {
    let held = order::holds(&http::caller_h1(), &shared).await.ok_or(StatusCode::BAD_GATEWAY)?;
    Ok(axum::Json(held).into_response())
}

async fn status(State(shared): State<Arc<Shared>>) -> Result<Response, StatusCode> {
    let status = ask(&shared, Command::Status).await?;
    Ok(axum::Json(status).into_response())
}

/// Reads the message at the start of a body. Also returns the bytes of the body that were read beyond it.
pub async fn read_delimited<T: DeserializeOwned>(body: &mut Body) -> Result<(T, Bytes), StatusCode> {
    let mut splitter = Splitter::new();
    loop {
        if let Some(message) = splitter.next().map_err(|_| StatusCode::BAD_REQUEST)? {
            return Ok((message, splitter.rest()));
        }
        let frame = body.frame().await.ok_or(StatusCode::BAD_REQUEST)?.map_err(|_| StatusCode::BAD_REQUEST)?;
        if let Ok(data) = frame.into_data() {
            splitter.push(&data);
        }
    }
}

async fn work(State(shared): State<Arc<Shared>>, headers: HeaderMap, mut body: Body) -> Result<Response, StatusCode> {
    observe(&headers);
    let (open, start) = read_delimited::<Open>(&mut body).await?;
    if open.incarnation.is_some_and(|wanted| wanted != util::incarnation()) {
        let reason = wire::Refused::OtherIncarnation;
        return Ok(one_frame(&Frame::Refused { reason, retry_after_micros: 0 }));
    }
    if open.once.is_some() {
        return once(shared, open, start, body).await;
    }
    let offered =
        ask(&shared, |reply| Command::Offer { open: Box::new(open.clone()), transcript: None, reply }).await?;
    let signals = match offered {
        Answer::Accepted(signals) => signals,
        Answer::Refused(refused) => return Ok(one_frame(&refusal(refused))),
        Answer::Seen(_) => return Err(StatusCode::CONFLICT),
    };
    let (frames, ring) = mpsc::channel(FRAME_RING);
    let output = job::Output::Ring { frames, patience: shared.settings.slow_entry };
    tokio::spawn(job::run(shared, open, job::Upload::new(start, body), signals, output));
    Ok(stamped(Body::from_stream(stream::unfold(ring, |mut ring| async move {
        ring.recv().await.map(|frame| (Ok::<Bytes, Infallible>(frame), ring))
    }))))
}

/// Runs a call that may run at most once: buffers its body first, and records its answer.
async fn once(shared: Arc<Shared>, open: Open, start: Bytes, body: Body) -> Result<Response, StatusCode> {
    let rest = http_body_util::Limited::new(body, MAX_ONCE_BODY);
    let rest = rest.collect().await.map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?.to_bytes();
    let whole = Bytes::from([start, rest].concat());
    let transcript = Transcript::new();
    let own = transcript.clone();
    let attempt = open.attempt;
    let offered =
        ask(&shared, |reply| Command::Offer { open: Box::new(open.clone()), transcript: Some(own), reply }).await?;
    let heard = match offered {
        Answer::Refused(refused) => return Ok(one_frame(&refusal(refused))),
        Answer::Seen(earlier) => earlier,
        Answer::Accepted(signals) => {
            let output = job::Output::Transcript(transcript.clone());
            tokio::spawn(job::run(shared, open, job::Upload::new(whole, Body::empty()), signals, output));
            transcript
        }
    };
    Ok(stamped(Body::from_stream(stream::unfold((heard, 0), move |(heard, index)| async move {
        let frame = heard.frame(index, attempt).await?;
        Some((Ok::<Bytes, Infallible>(wire::encode_delimited(&frame)), (heard, index + 1)))
    }))))
}

fn refusal(refused: coord::scheduler::Refused) -> Frame {
    Frame::Refused {
        reason: wire::Refused::Scheduler(refused.reason),
        retry_after_micros: coord::time::micros(refused.retry_after),
    }
}

fn one_frame(frame: &Frame) -> Response {
    stamped(wire::encode_delimited(frame))
}
