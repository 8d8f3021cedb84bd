//! Buffering of request bodies. Each body and their total are bounded, and a body is not copied once it is
//! buffered.

use std::time::Duration;

use axum::body::Body;
use axum::http::StatusCode;
use bytes::Bytes;
use tokio::sync::oneshot;

use super::Shared;
use super::prompt::{self, ApiFormat, Prompt};
use crate::channel;
use crate::failure::Failure;
use crate::request_body::{self, Buffered, Limits, ReadError};

/// Larger bodies are parsed on the `parse` thread, so that they do not delay short ones.
const MAX_INLINE_PARSE_BYTES: usize = 64 * 1_024;
/// Maximum wait for the next part of a body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for a whole body: the longest deadline that an intent sets by default.
const MAX_READ_TIME: Duration = Duration::from_secs(600);
/// `Retry-After` for bodies that do not fit into the memory.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Buffers a request body. Fails if the body exceeds the size limit or the memory for all bodies, stalls, or breaks
/// off.
pub async fn read(shared: &Shared, body: Body) -> Result<Buffered, Failure> {
    read_up_to(shared, body, shared.settings.max_body_bytes).await
}

/// Buffers a request body of at most `max_bytes`.
pub async fn read_up_to(shared: &Shared, body: Body, max_bytes: usize) -> Result<Buffered, Failure> {
    let limits = Limits { max_bytes, timeout: MAX_READ_TIME, gap_timeout: READ_TIMEOUT };
    request_body::read(&shared.bodies, body, &limits).await.map_err(|error| match error {
        ReadError::TooLarge => {
            let message = format!("the body exceeds {} bytes", limits.max_bytes);
            Failure::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
        }
        ReadError::Broken(error) => Failure::bad_request("body_broken", error),
        ReadError::Slow => Failure::new(StatusCode::REQUEST_TIMEOUT, "body_stalled", "the body stopped coming"),
        ReadError::Shortage(shortage) => Failure::unavailable("bodies_in_flight", shortage.to_string(), RETRY_AFTER),
    })
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
    let entry_stopping = || Failure::unavailable("stopping", "the entry is stopping", RETRY_AFTER);
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
