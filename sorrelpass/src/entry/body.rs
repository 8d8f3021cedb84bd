//! Buffering of request bodies. Each body and their total are bounded, and a body is not copied once it is
//! buffered.

use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, StatusCode, header};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use tokio::sync::oneshot;

use super::memory_budget::{self, MemoryBudget, Reservation};
use super::prompt::{self, ApiFormat, Prompt};
use crate::channel;
use crate::config::Entry;
use crate::failure::Failure;

/// Initial buffer capacity for a body without `Content-Length`.
const INITIAL_CAPACITY_BYTES: usize = 4 * 1_024;
/// Larger bodies are parsed on the `parse` thread, so that they do not delay short ones.
const MAX_INLINE_PARSE_BYTES: usize = 64 * 1_024;
/// Maximum wait for the next part of a body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A buffered body and its reservation in the memory budget.
pub struct BufferedBody {
    /// Content of the body.
    pub bytes: Bytes,
    /// Memory reservation, to be dropped together with the body.
    pub reservation: Reservation,
}

/// Buffers a request body. Fails if the body exceeds the size limit or the memory budget, stalls, or breaks
/// off.
pub async fn read(
    settings: &Entry,
    budget: &MemoryBudget,
    headers: &HeaderMap,
    mut body: Body,
) -> Result<BufferedBody, Failure> {
    let too_large = || {
        let message = format!("the body exceeds {} bytes", settings.max_body_bytes);
        Failure::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
    };
    let content_length: Option<usize> =
        headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    if content_length.is_some_and(|length| length > settings.max_body_bytes) {
        return Err(too_large());
    }
    let mut reservation = budget.reserve(content_length.unwrap_or(INITIAL_CAPACITY_BYTES)).await?;
    let mut bytes = BytesMut::with_capacity(content_length.unwrap_or(INITIAL_CAPACITY_BYTES));
    loop {
        let frame = match tokio::time::timeout(READ_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => break,
            Ok(Some(Err(error))) => return Err(Failure::bad_request("body_broken", error.to_string())),
            Err(_) => return Err(Failure::new(StatusCode::REQUEST_TIMEOUT, "body_stalled", "the body stopped coming")),
        };
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > settings.max_body_bytes {
            return Err(too_large());
        }
        let reserved = reservation.bytes();
        if bytes.len() + data.len() > reserved {
            reservation.try_grow(data.len().max(reserved))?;
        }
        bytes.extend_from_slice(&data);
    }
    Ok(BufferedBody { bytes: bytes.freeze(), reservation })
}

/// A large body to be parsed on the `parse` thread.
pub struct ParseJob {
    format: ApiFormat,
    body: Bytes,
    reply: oneshot::Sender<Result<Prompt, Failure>>,
}

/// Parses a prompt body; a large one is parsed on the `parse` thread.
pub async fn parse(
    parse_sender: &channel::Sender<ParseJob>,
    format: ApiFormat,
    body: &Bytes,
) -> Result<Prompt, Failure> {
    if body.len() <= MAX_INLINE_PARSE_BYTES {
        return prompt::parse(format, body);
    }
    let entry_stopping = || Failure::unavailable("stopping", "the entry is stopping", memory_budget::RETRY_AFTER);
    let (reply, answer) = oneshot::channel();
    parse_sender.send(ParseJob { format, body: body.clone(), reply }).await.map_err(|_| entry_stopping())?;
    answer.await.map_err(|_| entry_stopping())?
}

/// Runs the `parse` thread until all senders are dropped.
pub async fn run(mut jobs: channel::Receiver<ParseJob>) {
    while let Some(ParseJob { format, body, reply }) = jobs.recv().await {
        let _ = reply.send(prompt::parse(format, &body));
    }
}
