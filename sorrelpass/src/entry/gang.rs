//! Prompts that exceed the memory of one engine: a gang of engines in one failure domain holds the prompt
//! in spans.
//!
//! Memory is reserved span by span in the order of the endpoints' names, so that two gangs cannot deadlock.
//! Each span is leased: if this entry dies, the sidecars free its spans. The engine of the last span is the
//! leader, which generates the answer.

use std::time::Duration;

use bytes::Bytes;
use coord::name::Attempt;
use coord::time::micros;
use http_body_util::BodyExt;
use tokio::task::JoinHandle;

use super::HandlerState;
use super::event_loop::Target;
use super::upstream;
use crate::http;
use crate::util;
use crate::wire::{self, HoldRequest, HoldResponse, PrefillRequest, PrefillResponse};

/// Share of an engine's memory that a span may take; the rest is for other prompts and the output.
const MAX_SPAN_SHARE: f64 = 0.85;
/// Alignment of span ends, in bytes.
const SPAN_ALIGN_BYTES: usize = 64 * 1_024;
/// Duration of a span's lease.
const LEASE_DURATION: Duration = Duration::from_secs(2);
/// Interval at which leases are renewed; also the timeout of a reservation request.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum and maximum delay before memory is requested again from a member that is full.
const RETRY_DELAY_RANGE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(500));

/// Header that gives the leader's engine the digest of the spans.
pub const SPAN_DIGEST_HEADER: &str = "x-span-digest";
/// Header that gives the leader's engine the number of tokens in the spans.
pub const SPAN_TOKENS_HEADER: &str = "x-span-tokens";

/// Splits a prompt's text into spans for engines with a memory of `capacity_tokens` tokens.
pub fn split_prompt(text: &Bytes, bytes_per_token: f64, capacity_tokens: u64) -> Vec<Bytes> {
    let max_bytes = (capacity_tokens as f64 * MAX_SPAN_SHARE * bytes_per_token) as usize;
    let max_bytes = (max_bytes / SPAN_ALIGN_BYTES * SPAN_ALIGN_BYTES).max(SPAN_ALIGN_BYTES);
    let count = text.len().div_ceil(max_bytes).max(1);
    // Spans have equal size, since the member with the largest span limits the whole gang.
    let span_bytes = text.len().div_ceil(count).div_ceil(SPAN_ALIGN_BYTES) * SPAN_ALIGN_BYTES;
    let mut spans = Vec::new();
    let mut rest = text.clone();
    while rest.len() > span_bytes {
        spans.push(rest.split_to(span_bytes));
    }
    spans.push(rest);
    spans
}

/// A member of a gang, with its span.
#[derive(Clone)]
pub struct Member {
    /// Endpoint of the member.
    pub target: Target,
    /// Id of the span.
    pub span: Attempt,
    /// Memory that the span takes, in tokens.
    pub tokens: u64,
}

/// Spans reserved at their members. Their leases are renewed until this value is dropped, which frees the
/// spans.
pub struct SpanLeases {
    app: HandlerState,
    members: Vec<Member>,
    renewal_task: JoinHandle<()>,
}

/// The member and the step at which a gang failed.
pub struct GangError {
    /// Endpoint of the member.
    pub target: Target,
    /// Step that failed.
    pub step: &'static str,
}

impl SpanLeases {
    /// Reserves memory at all members, waiting up to `timeout` for members that are full.
    pub async fn reserve(app: &HandlerState, mut members: Vec<Member>, timeout: Duration) -> Result<Self, GangError> {
        members.sort_by(|a, b| a.target.endpoint.cmp(&b.target.endpoint));
        let deadline = util::now() + timeout;
        let renewal_task = tokio::spawn(renew_leases(app.clone(), members.clone()));
        // From here on, each return path drops `leases` and so frees the spans that are held.
        let leases = Self { app: app.clone(), members, renewal_task };
        for member in &leases.members {
            let error = |step| GangError { target: member.target.clone(), step };
            loop {
                match request_reservation(app, member, false).await {
                    Some(HoldResponse::Held) => break,
                    Some(HoldResponse::RetryAfter(_)) if util::now() >= deadline => {
                        return Err(error("wait-for-memory"));
                    }
                    Some(HoldResponse::RetryAfter(wait)) => {
                        let wait = Duration::from_micros(wait).clamp(RETRY_DELAY_RANGE.0, RETRY_DELAY_RANGE.1);
                        tokio::time::sleep(util::jitter(wait)).await;
                    }
                    Some(HoldResponse::Refused) => return Err(error("reserve-span")),
                    None => {
                        upstream::report_unreachable(app, &member.target);
                        return Err(error("reach-member"));
                    }
                }
            }
        }
        Ok(leases)
    }

    /// Prefills the spans in order, and returns the digest and the number of tokens of the whole prompt.
    pub async fn prefill(&self, texts: &[(Attempt, Bytes)]) -> Result<PrefillResponse, GangError> {
        let mut total = PrefillResponse { tokens: 0, digest: 0 };
        for (span, text) in texts {
            let Some(member) = self.members.iter().find(|member| member.span == *span) else { continue };
            let error = || GangError { target: member.target.clone(), step: "prefill-span" };
            let response = request_prefill(&self.app, member, total.digest, text).await.ok_or_else(error)?;
            total = PrefillResponse { tokens: total.tokens + response.tokens, digest: response.digest };
        }
        Ok(total)
    }

    /// Frees all spans, as dropping does.
    pub fn release(self) {
        drop(self);
    }
}

impl Drop for SpanLeases {
    fn drop(&mut self) {
        self.renewal_task.abort();
        for member in self.members.drain(..) {
            let app = self.app.clone();
            tokio::spawn(async move {
                let call = http::exchange(
                    &app.client,
                    &member.target.address,
                    "POST",
                    wire::SPAN_FREE,
                    wire::encode(&member.span),
                );
                // If the request is lost, the span's lease expires.
                let _ = tokio::time::timeout(LEASE_DURATION, call).await;
            });
        }
    }
}

async fn request_reservation(app: &HandlerState, member: &Member, renew: bool) -> Option<HoldResponse> {
    let request = HoldRequest { span: member.span, tokens: member.tokens, lease_micros: micros(LEASE_DURATION), renew };
    let call = http::exchange(&app.client, &member.target.address, "POST", wire::SPAN_HOLD, wire::encode(&request));
    match tokio::time::timeout(RENEW_INTERVAL, call).await {
        Ok(Ok((200, bytes))) => wire::decode(&bytes).ok(),
        _ => None,
    }
}

/// Renews the leases of all members until the task is aborted. A member that does not hold its span yet
/// refuses the renewal, which is harmless.
async fn renew_leases(app: HandlerState, members: Vec<Member>) {
    loop {
        tokio::time::sleep(RENEW_INTERVAL).await;
        futures_util::future::join_all(members.iter().map(|member| request_reservation(&app, member, true))).await;
    }
}

async fn request_prefill(app: &HandlerState, member: &Member, digest: u64, text: &Bytes) -> Option<PrefillResponse> {
    let header = wire::encode_delimited(&PrefillRequest { span: member.span, digest });
    let body = upstream::body_from_pieces(vec![header, text.clone()]);
    let response = http::call(&app.client, &member.target.address, "POST", wire::SPAN_PREFILL, body).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    wire::decode(&response.into_body().collect().await.ok()?.to_bytes()).ok()
}
