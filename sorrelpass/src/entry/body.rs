//! Callers' bodies: bounded one by one and together, read once, never copied again.

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

/// First piece of memory for a body of unknown length.
const FIRST_BYTES: usize = 4 * 1_024;
/// Bodies above this size are read on the `parse` thread, so that short ones do not wait.
const LARGE_BYTES: usize = 64 * 1_024;
/// A body that makes no progress for so long is given up.
const STALL: Duration = Duration::from_secs(10);

/// A body held in memory, with its part of the budget.
pub struct Held {
    /// The bytes.
    pub bytes: Bytes,
    /// Freed with the body.
    pub share: Share,
}

/// Reads a caller's body.
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

/// A large body to be read on the `parse` thread.
pub struct Parse {
    form: Form,
    body: Bytes,
    reply: oneshot::Sender<Result<Prompt, Failure>>,
}

/// Reads a prompt; a large one on the `parse` thread.
pub async fn parse(ring: &ring::Sender<Parse>, form: Form, body: &Bytes) -> Result<Prompt, Failure> {
    if body.len() <= LARGE_BYTES {
        return prompt::parse(form, body);
    }
    let stopped = || Failure::busy("stopping", "the entry is stopping", budget::RETRY);
    let (reply, answer) = oneshot::channel();
    ring.send(Parse { form, body: body.clone(), reply }).await.map_err(|_| stopped())?;
    answer.await.map_err(|_| stopped())?
}

/// The `parse` thread.
pub async fn run(mut commands: ring::Receiver<Parse>) {
    while let Some(Parse { form, body, reply }) = commands.recv().await {
        let _ = reply.send(prompt::parse(form, &body));
    }
}
