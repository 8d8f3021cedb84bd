//! Reads what entries send, in memory that is bounded for all of them together.

use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{FromRequest, Request};
use axum::http::StatusCode;
use coord::pool::Stage;
use coord::scheduler::{Refusal, RefusalReason};
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;

use super::Shared;
use crate::config::Sidecar;
use crate::holder::{Holder, Holders};
use crate::request_body::{self, Buffered, Limits, ReadError};
use crate::wire::FrameDecoder;

/// Maximum body size of a call that may run at most once; its body is buffered before the job is offered.
const MAX_ONCE_BODY_BYTES: usize = 16 * 1_024 * 1_024;
/// Maximum size of a message without a body behind it, in bytes.
const MAX_MESSAGE_BYTES: usize = 2 * 1_024 * 1_024;
/// Memory of a body that waits in its connection until its job starts, in bytes.
const WAITING_BODY_BYTES: usize = crate::http::STREAM_WINDOW_BYTES as usize;
/// Share of the process's memory for messages and bodies.
const MEMORY_SHARE: f64 = 0.25;
/// Maximum time for a message, and for a body that is buffered before its job is offered.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after which an entry may offer a job again for which there is no memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Creates the pool of a sidecar.
pub fn new_pool(settings: &Sidecar) -> Holders {
    request_body::new_pool((settings.memory_bytes as f64 * MEMORY_SHARE) as usize, MAX_ONCE_BODY_BYTES)
}

/// Returns the refusal of a job for which there is no memory.
pub fn no_memory() -> Refusal {
    Refusal { reason: RefusalReason::QueueFull, retry_after: NO_MEMORY_RETRY_AFTER }
}

/// Message without a body behind it.
pub struct Message(Buffered);

impl Message {
    /// Returns the bytes of the message.
    pub fn bytes(&self) -> &[u8] {
        &self.0.bytes
    }
}

impl FromRequest<Arc<Shared>> for Message {
    type Rejection = StatusCode;

    async fn from_request(request: Request, shared: &Arc<Shared>) -> Result<Self, StatusCode> {
        let limits = Limits { max_bytes: MAX_MESSAGE_BYTES, timeout: READ_TIMEOUT, gap_timeout: READ_TIMEOUT };
        request_body::read(&shared.bodies, request.into_body(), &limits).await.map(Message).map_err(status)
    }
}

/// Reads the body of a call that may run at most once.
pub async fn read_once_body(shared: &Shared, body: Body) -> Result<Buffered, ReadError> {
    let limits = Limits { max_bytes: MAX_ONCE_BODY_BYTES, timeout: READ_TIMEOUT, gap_timeout: READ_TIMEOUT };
    request_body::read(&shared.bodies, body, &limits).await
}

/// Message at the start of a body, and what was read beyond it.
pub struct Delimited<T> {
    /// The message.
    pub message: T,
    /// Bytes of the body that were read beyond the message.
    pub read: Bytes,
    /// Memory of the request.
    pub memory: Holder,
}

/// Reads the message at the start of a body.
pub async fn read_delimited<T: DeserializeOwned>(shared: &Shared, body: &mut Body) -> Result<Delimited<T>, ReadError> {
    let memory = shared.bodies.open(Stage::Caller);
    memory.grow(WAITING_BODY_BYTES, true).await.map_err(ReadError::Shortage)?;
    let read = read_message(&memory, body);
    let (message, read) = tokio::select! {
        biased;
        () = memory.eviction() => return Err(ReadError::Shortage(crate::holder::Shortage::GaveWay)),
        read = tokio::time::timeout(READ_TIMEOUT, read) => read.map_err(|_| ReadError::Slow)??,
    };
    memory.set_stage(Stage::Process);
    Ok(Delimited { message, read, memory })
}

async fn read_message<T: DeserializeOwned>(memory: &Holder, body: &mut Body) -> Result<(T, Bytes), ReadError> {
    let mut decoder = FrameDecoder::new();
    let mut reserved = WAITING_BODY_BYTES;
    loop {
        if let Some(message) = decoder.next().map_err(|error| ReadError::Broken(format!("{error:#}")))? {
            return Ok((message, decoder.into_remaining()));
        }
        let frame = body.frame().await.ok_or_else(|| ReadError::Broken("the body ended early".to_owned()))?;
        let frame = frame.map_err(|error| ReadError::Broken(error.to_string()))?;
        let data = frame.into_data().unwrap_or_default();
        let needed = WAITING_BODY_BYTES + decoder.len() + data.len();
        if needed > reserved {
            reserved = needed.max(2 * reserved);
            memory.grow(reserved, false).await.map_err(ReadError::Shortage)?;
        }
        decoder.push(&data);
        memory.record_progress(data.len());
    }
}

/// Returns the status for a request that was not read.
pub fn status(error: ReadError) -> StatusCode {
    match error {
        ReadError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ReadError::Broken(_) => StatusCode::BAD_REQUEST,
        ReadError::Slow => StatusCode::REQUEST_TIMEOUT,
        ReadError::Shortage(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}
