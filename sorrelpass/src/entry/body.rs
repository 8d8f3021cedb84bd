//! Buffering of request bodies. Each body and their total are bounded, and a body is not copied once it is
//! buffered.

use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, StatusCode, header};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use tokio::sync::oneshot;

use super::budget::{self, Budget, Share};
use super::prompt::{self, Form, Prompt};
use crate::config::Entry;
use crate::failure::Failure;
use crate::ring;

/// Initial buffer capacity for a body without `Content-Length`.
const FIRST_BYTES: usize = 4 * 1_024;
/// Larger bodies are parsed on the `parse` thread, so that they do not delay short ones.
const LARGE_BYTES: usize = 64 * 1_024;
/// Longest wait for the next part of a body.
const STALL: Duration = Duration::from_secs(10);

/// A buffered body and its reservation in the memory budget.
pub struct Held {
    /// Content of the body.
    pub bytes: Bytes,
    /// Memory reservation, to be dropped together with the body.
    pub share: Share,
}

/// Buffers a request body. Fails if the body exceeds the size limit or the memory budget, stalls, or breaks
/// off.
pub async fn read(settings: &Entry, budget: &Budget, headers: &HeaderMap, mut body: Body) -> Result<Held, Failure> {
    let too_large = || {
        let message = format!("the body exceeds {} bytes", settings.max_body_bytes);
        Failure::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
    };
    let said: Option<usize> =
        headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    if said.is_some_and(|length| length > settings.max_body_bytes) {
        return Err(too_large());
    }
    let mut share = budget.take_soon(said.unwrap_or(FIRST_BYTES)).await?;
    let mut bytes = BytesMut::with_capacity(said.unwrap_or(FIRST_BYTES));
    loop {
        let frame = match tokio::time::timeout(STALL, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => break,
            Ok(Some(Err(error))) => return Err(Failure::bad_request("body_broken", error.to_string())),
            Err(_) => return Err(Failure::new(StatusCode::REQUEST_TIMEOUT, "body_stalled", "the body stopped coming")),
        };
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > settings.max_body_bytes {
            return Err(too_large());
        }
        let held = share.bytes();
        if bytes.len() + data.len() > held {
            share.grow(data.len().max(held))?;
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Held { bytes: bytes.freeze(), share })
}

/// A large body to be parsed on the `parse` thread.
pub struct Parse {
    form: Form,
    body: Bytes,
    reply: oneshot::Sender<Result<Prompt, Failure>>,
}

/// Parses a prompt body; a large one is parsed on the `parse` thread.
pub async fn parse(ring: &ring::Sender<Parse>, form: Form, body: &Bytes) -> Result<Prompt, Failure> {
    if body.len() <= LARGE_BYTES {
        return prompt::parse(form, body);
    }
    let stopped = || Failure::busy("stopping", "the entry is stopping", budget::RETRY);
    let (reply, answer) = oneshot::channel();
    ring.send(Parse { form, body: body.clone(), reply }).await.map_err(|_| stopped())?;
    answer.await.map_err(|_| stopped())?
}

/// Runs the `parse` thread until all senders are dropped.
pub async fn run(mut commands: ring::Receiver<Parse>) {
    while let Some(Parse { form, body, reply }) = commands.recv().await {
        let _ = reply.send(prompt::parse(form, &body));
    }
}
