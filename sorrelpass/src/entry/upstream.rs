//! One attempt at one sidecar: quotes, work and voids on the wire.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use coord::answer::{Receiver, Seal, Verdict};
use coord::name::{Incarnation, Ran};
use coord::pick::Offer;
use coord::scheduler::Voided;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Request;
use hyper::body::{Frame as BodyFrame, Incoming};

use super::App;
use super::kernel::{Command, Target};
use crate::http::{self, Sent};
use crate::wire::{self, Ask, Frame, Open, Quoted, Refused, Splitter, Usage};
use crate::{event, timeline, util};

/// An endpoint that gave a quote.
#[derive(Clone, Debug)]
pub struct Asked {
    /// The endpoint.
    pub target: Target,
    /// Its sidecar's run.
    pub incarnation: Incarnation,
    /// What it expects.
    pub offer: Offer,
}

/// Asks all `targets` at once; those that do not answer in time are left out and noted as failed.
pub async fn quotes(app: &App, targets: Vec<Target>, ask: &Ask) -> Vec<Asked> {
    let bytes = wire::encode(ask);
    let asked = targets.into_iter().map(|target| quote(app, target, bytes.clone()));
    let answers = futures_util::future::join_all(asked).await;
    let mut open: Vec<Asked> = answers.into_iter().flatten().collect();
    let ranked = coord::pick::rank_offers(open.iter().map(|asked| asked.offer.clone()).collect());
    open.sort_by_key(|asked| ranked.iter().position(|offer| offer.endpoint == asked.target.endpoint));
    open
}

async fn quote(app: &App, target: Target, ask: Bytes) -> Option<Asked> {
    let call = http::exchange(&app.caller, &target.address, "POST", wire::QUOTE, ask);
    let answer = tokio::time::timeout(app.shared.settings.quote_timeout, call).await;
    let quoted: Quoted = match answer {
        Ok(Ok((200, bytes))) => wire::decode(&bytes).ok()?,
        _ => {
            failed(app, &target);
            return None;
        }
    };
    let Quoted { incarnation, leaving, quote } = quoted;
    app.shared.kernel.send_detached(Command::Heard { endpoint: target.endpoint.clone(), incarnation, leaving });
    let offer = Offer { endpoint: target.endpoint.clone(), quote, distance: target.distance };
    Some(Asked { target, incarnation, offer })
}

/// Notes that a sidecar could not be reached.
pub fn failed(app: &App, target: &Target) {
    event!("unreachable", peer = %target.endpoint);
    app.shared.kernel.send_detached(Command::Failed(target.endpoint.clone()));
}

/// What comes of the answer.
#[derive(Debug)]
pub enum Part {
    /// The endpoint was given the call.
    Started,
    /// A plain service's status and headers.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<(String, String)>,
    },
    /// The next piece.
    Piece {
        /// Its bytes.
        bytes: Bytes,
        /// Output tokens in it.
        tokens: u32,
    },
    /// The answer is whole.
    End {
        /// Token counts.
        usage: Usage,
        /// Why the engine stopped.
        finish: String,
    },
}

/// Why an attempt came to no whole answer.
#[derive(Clone, Debug)]
pub enum Broken {
    /// Proven not to have run and never to run.
    NotRun {
        /// The sidecar's reason, if it was the sidecar that refused.
        refused: Option<Refused>,
        /// When to come back.
        retry_after: Duration,
    },
    /// The endpoint itself refused the call.
    Rejected {
        /// Its status.
        status: u16,
        /// Its words.
        message: String,
    },
    /// It may have run.
    Lost {
        /// Whether it ran, as far as known.
        ran: Ran,
        /// The step at which it was lost.
        step: String,
        /// What happened.
        message: String,
    },
}

impl Broken {
    fn lost(step: &str, message: impl ToString) -> Self {
        Broken::Lost { ran: Ran::Unknown, step: step.to_owned(), message: message.to_string() }
    }
}

/// The frames of one attempt.
pub struct Upstream {
    body: Incoming,
    splitter: Splitter,
    receiver: Receiver,
}

/// A body of several pieces, shared and not copied.
pub fn pieces(pieces: Vec<Bytes>) -> Sent {
    let frames = stream::iter(pieces.into_iter().map(|bytes| Ok::<_, Infallible>(BodyFrame::data(bytes))));
    BodyExt::boxed(StreamBody::new(frames))
}

/// Hands work to a sidecar and returns its stream of frames.
pub async fn open(app: &App, target: &Target, open: &Open, body: &[Bytes]) -> Result<Upstream, Broken> {
    let mut all = vec![wire::encode_delimited(open)];
    all.extend(body.iter().cloned());
    let sent = pieces(all);
    let request = Request::post(format!("http://{}{}", target.address, wire::WORK))
        .header(timeline::HEADER, timeline::stamp())
        .body(sent)
        .map_err(|error| Broken::lost("build-request", error))?;
    let response = match app.caller.request(request).await {
        Ok(response) => response,
        Err(error) => {
            failed(app, target);
            if error.is_connect() {
                return Err(Broken::NotRun { refused: None, retry_after: Duration::ZERO });
            }
            return Err(Broken::lost("hand-over", error));
        }
    };
    if let Some(stamp) = response.headers().get(timeline::HEADER).and_then(|value| value.to_str().ok()) {
        timeline::observe(stamp);
    }
    if !response.status().is_success() {
        return Err(Broken::lost("hand-over", format!("status {}", response.status())));
    }
    Ok(Upstream { body: response.into_body(), splitter: Splitter::new(), receiver: Receiver::new(open.attempt) })
}

impl Upstream {
    /// The next part of the answer.
    pub async fn next(&mut self) -> Result<Part, Broken> {
        loop {
            let decoded: Option<Frame> = self.splitter.next().map_err(|error| Broken::lost("decode", error))?;
            if let Some(frame) = decoded {
                match self.take(frame) {
                    Some(taken) => return taken,
                    None => continue,
                }
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
                Some(Err(error)) => return Err(Broken::lost("read", error)),
                None => return Err(Broken::lost("read", "the sidecar's stream broke off")),
            }
        }
    }

    /// Judges a frame; `None` if it is to be dropped.
    fn take(&mut self, frame: Frame) -> Option<Result<Part, Broken>> {
        match frame {
            Frame::Started => Some(Ok(Part::Started)),
            Frame::Head { status, headers } => Some(Ok(Part::Head { status, headers })),
            Frame::Piece { attempt, number, tokens, bytes } => match self.receiver.accept(attempt, number, &bytes) {
                Verdict::Pass => Some(Ok(Part::Piece { bytes, tokens })),
                Verdict::Drop => None,
                Verdict::Gap => Some(Err(Broken::lost("assemble", "a frame is missing"))),
            },
            Frame::End { attempt, count, digest, usage, finish } => {
                if self.receiver.is_whole(attempt, Seal { count, digest }) {
                    return Some(Ok(Part::End { usage, finish }));
                }
                Some(Err(Broken::lost("assemble", "the answer's count or digest does not match")))
            }
            Frame::Refused { reason, retry_after_micros } => Some(Err(Broken::NotRun {
                refused: Some(reason),
                retry_after: Duration::from_micros(retry_after_micros),
            })),
            Frame::Failed { status: Some(status), message, .. } => Some(Err(Broken::Rejected { status, message })),
            Frame::Failed { ran: Ran::No, .. } => {
                Some(Err(Broken::NotRun { refused: None, retry_after: Duration::ZERO }))
            }
            Frame::Failed { ran, step, message, .. } => Some(Err(Broken::Lost { ran, step, message })),
        }
    }
}

/// Makes sure that an attempt never starts; says whether that is proven.
pub async fn void(app: &App, target: &Target, open: &Open) -> Ran {
    let Open { attempt, incarnation, ref once, .. } = *open;
    let bytes = wire::encode(&wire::Void { attempt, once: once.clone() });
    let call = http::exchange(&app.caller, &target.address, "POST", wire::VOID, bytes);
    let limit = app.shared.settings.void_reserve / 2;
    let answer = match tokio::time::timeout(limit, call).await {
        Ok(Ok((200, bytes))) => wire::decode::<wire::VoidAnswer>(&bytes).ok(),
        _ => None,
    };
    let ran = match answer {
        // Another incarnation knows nothing of what was sent to the one before.
        Some(answer) if incarnation.is_some_and(|sent| sent != answer.incarnation) => Ran::Unknown,
        Some(answer) if answer.voided == Voided::NotRun && incarnation.is_some() => Ran::No,
        _ => Ran::Unknown,
    };
    event!("voided", peer = %target.endpoint, attempt = %attempt, ran = ran.as_str());
    ran
}

/// Time left until `deadline`.
pub fn left(deadline: coord::time::Moment) -> Duration {
    deadline.since(util::now())
}
