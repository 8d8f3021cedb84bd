//! Client side of the protocol between entries and sidecars: quotes, work and cancellation.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use coord::answer::{Receiver, Seal, Verdict};
use coord::name::{ExecutionStatus, Incarnation};
use coord::pick::Offer;
use coord::scheduler::CancelOutcome;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Request;
use hyper::body::{Frame as BodyFrame, Incoming};

use super::HandlerState;
use super::event_loop::{Command, Target};
use crate::http::{self, OutgoingBody};
use crate::wire::{self, Frame, FrameDecoder, QuoteRequest, QuoteResponse, Usage, WorkRefusal, WorkRequest};
use crate::{event, timeline, util};

/// An endpoint that answered a quote request.
#[derive(Clone, Debug)]
pub struct QuotedTarget {
    /// The endpoint and its address.
    pub target: Target,
    /// Incarnation of the sidecar that gave the quote.
    pub incarnation: Incarnation,
    /// The quote, with the latency to reach the endpoint.
    pub offer: Offer,
}

/// Requests quotes from all `targets` concurrently and returns them best first. Targets that do not answer
/// in time are left out and reported as unreachable.
pub async fn request_quotes(app: &HandlerState, targets: Vec<Target>, request: &QuoteRequest) -> Vec<QuotedTarget> {
    let bytes = wire::encode(request);
    let requests = targets.into_iter().map(|target| request_quote(app, target, bytes.clone()));
    let answers = futures_util::future::join_all(requests).await;
    let mut quoted: Vec<QuotedTarget> = answers.into_iter().flatten().collect();
    let ranked = coord::pick::rank_offers(quoted.iter().map(|quoted| quoted.offer.clone()).collect());
    quoted.sort_by_key(|quoted| ranked.iter().position(|offer| offer.endpoint == quoted.target.endpoint));
    quoted
}

async fn request_quote(app: &HandlerState, target: Target, request: Bytes) -> Option<QuotedTarget> {
    let call = http::exchange(&app.client, &target.address, "POST", wire::QUOTE, request);
    let answer = tokio::time::timeout(app.shared.settings.quote_timeout, call).await;
    let response: QuoteResponse = match answer {
        Ok(Ok((200, bytes))) => wire::decode(&bytes).ok()?,
        _ => {
            report_unreachable(app, &target);
            return None;
        }
    };
    let QuoteResponse { incarnation, is_draining, quote } = response;
    app.shared.event_loop.send_detached(Command::SidecarReachable {
        endpoint: target.endpoint.clone(),
        incarnation,
        is_draining,
    });
    let offer = Offer { endpoint: target.endpoint.clone(), quote, distance: target.distance };
    Some(QuotedTarget { target, incarnation, offer })
}

/// Reports to the event loop that a sidecar could not be reached.
pub fn report_unreachable(app: &HandlerState, target: &Target) {
    event!("unreachable", peer = %target.endpoint);
    app.shared.event_loop.send_detached(Command::SidecarUnreachable(target.endpoint.clone()));
}

/// A part of an answer.
#[derive(Debug)]
pub enum AnswerPart {
    /// The sidecar has passed the call to the endpoint.
    Started,
    /// Response head of a plain service.
    Head {
        /// HTTP status code.
        status: u16,
        /// HTTP headers as name and value.
        headers: Vec<(String, String)>,
    },
    /// The next chunk of the answer.
    Chunk {
        /// Content of the chunk: JSON choices of an engine or body bytes of a plain service.
        bytes: Bytes,
        /// Number of output tokens in the chunk.
        tokens: u32,
    },
    /// The end of a complete answer.
    End {
        /// Token counts of the answer.
        usage: Usage,
        /// Reason why the engine stopped.
        finish_reason: String,
    },
}

/// Reason why an attempt gave no complete answer.
#[derive(Clone, Debug)]
pub enum AttemptError {
    /// The attempt is proven not to have run, and never will.
    NotRun {
        /// Reason given by the sidecar; `None` if the sidecar did not refuse the attempt.
        refused: Option<WorkRefusal>,
        /// Delay after which the sidecar may accept the request; zero if unknown.
        retry_after: Duration,
    },
    /// The endpoint refused the call.
    Rejected {
        /// HTTP status code of the endpoint.
        status: u16,
        /// Response body of the endpoint.
        message: String,
    },
    /// The attempt was lost and may have run.
    Lost {
        /// Whether the attempt ran, as far as known.
        ran: ExecutionStatus,
        /// Step at which the attempt was lost.
        step: String,
        /// Description of the error.
        message: String,
    },
}

impl AttemptError {
    fn lost(step: &str, message: impl ToString) -> Self {
        AttemptError::Lost { ran: ExecutionStatus::Unknown, step: step.to_owned(), message: message.to_string() }
    }
}

/// Stream of the frames of one attempt.
pub struct FrameStream {
    body: Incoming,
    decoder: FrameDecoder,
    receiver: Receiver,
}

/// Builds a request body from several pieces without copying them.
pub fn body_from_pieces(pieces: Vec<Bytes>) -> OutgoingBody {
    let frames = stream::iter(pieces.into_iter().map(|bytes| Ok::<_, Infallible>(BodyFrame::data(bytes))));
    BodyExt::boxed(StreamBody::new(frames))
}

/// Sends work to a sidecar and returns its stream of frames.
pub async fn send_work(
    app: &HandlerState,
    target: &Target,
    work: &WorkRequest,
    body: &[Bytes],
) -> Result<FrameStream, AttemptError> {
    let mut pieces = vec![wire::encode_delimited(work)];
    pieces.extend(body.iter().cloned());
    let body = body_from_pieces(pieces);
    let request = Request::post(format!("http://{}{}", target.address, wire::WORK))
        .header(timeline::HEADER, timeline::stamp())
        .body(body)
        .map_err(|error| AttemptError::lost("build-request", error))?;
    let response = match app.client.request(request).await {
        Ok(response) => response,
        Err(error) => {
            report_unreachable(app, target);
            if error.is_connect() {
                return Err(AttemptError::NotRun { refused: None, retry_after: Duration::ZERO });
            }
            return Err(AttemptError::lost("hand-over", error));
        }
    };
    if let Some(stamp) = response.headers().get(timeline::HEADER).and_then(|value| value.to_str().ok()) {
        timeline::observe(stamp);
    }
    if !response.status().is_success() {
        return Err(AttemptError::lost("hand-over", format!("status {}", response.status())));
    }
    Ok(FrameStream { body: response.into_body(), decoder: FrameDecoder::new(), receiver: Receiver::new(work.attempt) })
}

impl FrameStream {
    /// Returns the next part of the answer.
    pub async fn next(&mut self) -> Result<AnswerPart, AttemptError> {
        loop {
            let decoded: Option<Frame> = self.decoder.next().map_err(|error| AttemptError::lost("decode", error))?;
            if let Some(frame) = decoded {
                match self.handle_frame(frame) {
                    Some(result) => return result,
                    None => continue,
                }
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.decoder.push(&data);
                    }
                }
                Some(Err(error)) => return Err(AttemptError::lost("read", error)),
                None => return Err(AttemptError::lost("read", "the sidecar's stream broke off")),
            }
        }
    }

    /// Converts a frame to an answer part; `None` if the frame is a duplicate or belongs to another
    /// attempt.
    fn handle_frame(&mut self, frame: Frame) -> Option<Result<AnswerPart, AttemptError>> {
        match frame {
            Frame::Started => Some(Ok(AnswerPart::Started)),
            Frame::Head { status, headers } => Some(Ok(AnswerPart::Head { status, headers })),
            Frame::Chunk { attempt, number, tokens, bytes } => match self.receiver.accept(attempt, number, &bytes) {
                Verdict::Pass => Some(Ok(AnswerPart::Chunk { bytes, tokens })),
                Verdict::Drop => None,
                Verdict::Gap => Some(Err(AttemptError::lost("assemble", "a frame is missing"))),
            },
            Frame::End { attempt, count, digest, usage, finish_reason } => {
                if self.receiver.is_complete(attempt, Seal { count, digest }) {
                    return Some(Ok(AnswerPart::End { usage, finish_reason }));
                }
                Some(Err(AttemptError::lost("assemble", "the answer's count or digest does not match")))
            }
            Frame::Refused { reason, retry_after_micros } => Some(Err(AttemptError::NotRun {
                refused: Some(reason),
                retry_after: Duration::from_micros(retry_after_micros),
            })),
            Frame::Failed { status: Some(status), message, .. } => {
                Some(Err(AttemptError::Rejected { status, message }))
            }
            Frame::Failed { ran: ExecutionStatus::No, .. } => {
                Some(Err(AttemptError::NotRun { refused: None, retry_after: Duration::ZERO }))
            }
            Frame::Failed { ran, step, message, .. } => Some(Err(AttemptError::Lost { ran, step, message })),
        }
    }
}

/// Cancels an attempt. Returns `ExecutionStatus::No` only if the sidecar proves that it did not
/// and will not run.
pub async fn cancel_attempt(app: &HandlerState, target: &Target, work: &WorkRequest) -> ExecutionStatus {
    let WorkRequest { attempt, incarnation, ref idempotency_key, .. } = *work;
    let bytes = wire::encode(&wire::CancelRequest { attempt, idempotency_key: idempotency_key.clone() });
    let call = http::exchange(&app.client, &target.address, "POST", wire::CANCEL, bytes);
    let timeout = app.shared.settings.cancel_reserve / 2;
    let answer = match tokio::time::timeout(timeout, call).await {
        Ok(Ok((200, bytes))) => wire::decode::<wire::CancelResponse>(&bytes).ok(),
        _ => None,
    };
    let ran = match answer {
        // A different incarnation has no record of work sent to the previous one.
        Some(answer) if incarnation.is_some_and(|sent| sent != answer.incarnation) => ExecutionStatus::Unknown,
        Some(answer) if answer.outcome == CancelOutcome::NotRun && incarnation.is_some() => ExecutionStatus::No,
        _ => ExecutionStatus::Unknown,
    };
    event!("voided", peer = %target.endpoint, attempt = %attempt, ran = ran.as_str());
    ran
}

/// Returns the time left until `deadline`.
pub fn time_left(deadline: coord::time::Moment) -> Duration {
    deadline.since(util::now())
}
