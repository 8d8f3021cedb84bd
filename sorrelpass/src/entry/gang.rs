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

use super::App;
use super::kernel::Target;
use super::upstream;
use crate::http;
use crate::util;
use crate::wire::{self, Fill, Filled, Held, Hold};

/// Share of an engine's memory that a span may take; the rest is for other prompts and the output.
const SPAN_SHARE: f64 = 0.85;
/// Alignment of span ends, in bytes.
const SPAN_ALIGN: usize = 64 * 1_024;
/// Duration of a span's lease.
const LEASE: Duration = Duration::from_secs(2);
/// Interval at which leases are renewed; also the timeout of a hold request.
const RENEW: Duration = Duration::from_millis(500);
/// Shortest and longest delay before memory is requested again from a member that is full.
const PAUSE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(500));

/// Header that gives the leader's engine the digest of the spans.
pub const DIGEST_HEADER: &str = "x-span-digest";
/// Header that gives the leader's engine the number of tokens in the spans.
pub const TOKENS_HEADER: &str = "x-span-tokens";

/// Splits a prompt's text into spans for engines with a memory of `capacity` tokens.
pub fn cut(text: &Bytes, bytes_per_token: f64, capacity: u64) -> Vec<Bytes> {
    let most = (capacity as f64 * SPAN_SHARE * bytes_per_token) as usize;
    let most = (most / SPAN_ALIGN * SPAN_ALIGN).max(SPAN_ALIGN);
    let count = text.len().div_ceil(most).max(1);
    // Spans have equal size, since the member with the largest span limits the whole gang.
    let even = text.len().div_ceil(count).div_ceil(SPAN_ALIGN) * SPAN_ALIGN;
    let mut spans = Vec::new();
    let mut rest = text.clone();
    while rest.len() > even {
        spans.push(rest.split_to(even));
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
pub struct Spans {
    app: App,
    members: Vec<Member>,
    renewal: JoinHandle<()>,
}

/// The member and the step at which a gang failed.
pub struct Failed {
    /// Endpoint of the member.
    pub target: Target,
    /// Step that failed.
    pub step: &'static str,
}

impl Spans {
    /// Reserves memory at all members, waiting up to `timeout` for members that are full.
    pub async fn hold(app: &App, mut members: Vec<Member>, limit: Duration) -> Result<Self, Failed> {
        members.sort_by(|a, b| a.target.endpoint.cmp(&b.target.endpoint));
        let deadline = util::now() + limit;
        let renewal = tokio::spawn(renew(app.clone(), members.clone()));
        // From here on, each return path drops `leases` and so frees the spans that are held.
        let spans = Self { app: app.clone(), members, renewal };
        for member in &spans.members {
            let failed = |step| Failed { target: member.target.clone(), step };
            loop {
                match hold(app, member, false).await {
                    Some(Held::Yes) => break,
                    Some(Held::Wait(_)) if util::now() >= deadline => return Err(failed("wait-for-memory")),
                    Some(Held::Wait(wait)) => {
                        let wait = Duration::from_micros(wait).clamp(PAUSE.0, PAUSE.1);
                        tokio::time::sleep(util::jitter(wait)).await;
                    }
                    Some(Held::No) => return Err(failed("hold-span")),
                    None => {
                        upstream::failed(app, &member.target);
                        return Err(failed("reach-member"));
                    }
                }
            }
        }
        Ok(spans)
    }

    /// Prefills the spans in order, and returns the digest and the number of tokens of the whole prompt.
    pub async fn fill(&self, texts: &[(Attempt, Bytes)]) -> Result<Filled, Failed> {
        let mut all = Filled { tokens: 0, digest: 0 };
        for (span, text) in texts {
            let Some(member) = self.members.iter().find(|member| member.span == *span) else { continue };
            let failed = || Failed { target: member.target.clone(), step: "fill-span" };
            let filled = fill(&self.app, member, all.digest, text).await.ok_or_else(failed)?;
            all = Filled { tokens: all.tokens + filled.tokens, digest: filled.digest };
        }
        Ok(all)
    }

    /// Frees all spans, as dropping does.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for Spans {
    fn drop(&mut self) {
        self.renewal.abort();
        for member in self.members.drain(..) {
            let app = self.app.clone();
            tokio::spawn(async move {
                let call = http::exchange(
                    &app.caller,
                    &member.target.address,
                    "POST",
                    wire::SPAN_FREE,
                    wire::encode(&member.span),
                );
                // If the request is lost, the span's lease expires.
                let _ = tokio::time::timeout(LEASE, call).await;
            });
        }
    }
}

async fn hold(app: &App, member: &Member, renew: bool) -> Option<Held> {
    let hold = Hold { span: member.span, tokens: member.tokens, lease_micros: micros(LEASE), renew };
    let call = http::exchange(&app.caller, &member.target.address, "POST", wire::SPAN_HOLD, wire::encode(&hold));
    match tokio::time::timeout(RENEW, call).await {
        Ok(Ok((200, bytes))) => wire::decode(&bytes).ok(),
        _ => None,
    }
}

/// Renews the leases of all members until the task is aborted. A member that does not hold its span yet
/// refuses the renewal, which is harmless.
async fn renew(app: App, members: Vec<Member>) {
    loop {
        tokio::time::sleep(RENEW).await;
        futures_util::future::join_all(members.iter().map(|member| hold(&app, member, true))).await;
    }
}

async fn fill(app: &App, member: &Member, digest: u64, text: &Bytes) -> Option<Filled> {
    let head = wire::encode_delimited(&Fill { span: member.span, digest });
    let sent = upstream::pieces(vec![head, text.clone()]);
    let response = http::call(&app.caller, &member.target.address, "POST", wire::SPAN_FILL, sent).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    wire::decode(&response.into_body().collect().await.ok()?.to_bytes()).ok()
}
