//! Handling of one request from its head to its response.
//!
//! [`intake`] reads and admits the request, [`target`] chooses a replica, and [`send`] makes one attempt and classifies
//! the response. This module repeats the last two steps until a response can be forwarded to the caller or no further
//! attempt is allowed.

mod intake;
mod send;
mod target;

use std::rc::Rc;
use std::time::Duration;

use coord::name::{ExecutionStatus, Name};
use coord::pool::Stage;
use coord::quarantine::Cause;
use coord::roster::Record;
use coord::route::{Route, Workspace};
use coord::time::Moment;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use platform::headers;

pub use self::intake::handle;
use self::send::Outcome;
pub use self::target::ReplicaSlot;
use self::target::Target;
use super::buffered::Buffered;
use super::quarantine::{self, Attempt, Identity};
use super::replica_picker::NO_RESPONSE_WEIGHT;
use super::response::CallerResponse;
use super::state::{Gateway, InFlight};
use super::upstream::{Connection, Framing, UpstreamRequest};
use super::{now, relay};
use crate::failure::Failure;
use crate::holder::Holder;
use crate::{event, metric};

/// Maximum size of a response that is buffered completely, in bytes: one sixteenth of the memory of the smallest VM.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Number of failed connections to replicas after which a request fails.
const MAX_FAILED_CONNECTIONS: u32 = 4;
/// Retry delay for callers whose request no replica accepts.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Connection of a caller. A request counts as active on it until this is dropped.
pub trait CallerConnection {
    /// Closes the connection at once, without the data that the caller has not read.
    fn abort(&self);
}

/// A request that is being handled.
pub struct PendingRequest {
    /// Shared state of the process.
    pub gateway: Rc<Gateway>,
    /// Decoded head of the request.
    pub request_head: headers::RequestHead,
    /// Route that the host and the path select.
    pub route: Route,
    /// Workspace of the request's API key, or `None` if the route needs no key.
    pub workspace: Option<Workspace>,
    /// Service that the route selects.
    pub service: Name,
    /// Request that is sent to replicas.
    pub upstream_request: UpstreamRequest,
    /// What the quarantine recognizes the request by.
    pub identity: Identity,
    /// Time at which the head of the request was received.
    pub started: Moment,
    /// Timeout that the caller allows.
    pub timeout: Duration,
    /// Deadline of the final response.
    pub deadline: Moment,
    /// Replicas to which the request was sent or is being sent.
    tried_replicas: Vec<Name>,
    /// Number of attempts so far.
    attempts: u32,
    /// Number of attempts that may have executed the request.
    possible_executions: u32,
    /// Number of connections that could not be established.
    failed_connections: u32,
    /// Memory of the request's body.
    _body_memory: Holder,
    /// Guard that counts the request in the process until the request is complete.
    _in_flight: InFlight,
    /// Caller's connection, on which the request counts as active until this is dropped.
    caller_connection: Box<dyn CallerConnection>,
}

/// A response whose head has been received and whose body has not.
pub struct OpenResponse {
    /// Replica that sent the response.
    pub record: Record,
    /// Response head, and the body as a stream.
    pub response: Response<Incoming>,
    /// Connection that carries the body.
    pub connection: Connection,
    /// Guard of the request's slot at the replica.
    pub slot: ReplicaSlot,
    /// Watch over the replica until the response is complete.
    pub attempt: Attempt,
}

impl PendingRequest {
    /// Returns the time left until the final response is due.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(now())
    }

    /// Closes the caller's connection at once, without the data that the caller has not read.
    pub fn abort_connection(&self) {
        self.caller_connection.abort();
    }

    /// Returns whether a broken stream may resume at another replica.
    pub fn may_resume(&self) -> bool {
        self.route.resumable && self.has_attempts_left()
    }

    /// Returns whether the request may be sent again although a replica may have executed it.
    fn can_retry(&self) -> bool {
        self.route.is_retryable() && self.has_attempts_left()
    }

    fn has_attempts_left(&self) -> bool {
        self.possible_executions < self.route.max_attempts
    }

    /// Sends the request until a replica opens a response that can be forwarded. With `last_event_id`, the stream
    /// resumes after that event.
    pub async fn open_response(&mut self, last_event_id: Option<u64>) -> Result<OpenResponse, Failure> {
        let mut retry_after = None;
        let mut next = None;
        // Whether the retry budget has been charged for an attempt that was not made.
        let mut is_retry_charged = false;
        loop {
            if self.is_condemned() {
                return Err(self.condemned_failure());
            }
            let target = match next.take() {
                Some(target) => target,
                None => self.next_target(retry_after, is_retry_charged).await?,
            };
            is_retry_charged = false;
            match self.send(target, last_event_id).await {
                Outcome::Opened(opened) => return Ok(*opened),
                Outcome::Condemned => return Err(self.condemned_failure()),
                Outcome::DeadlinePassed => return Err(self.deadline_failure()),
                Outcome::ReplicaClosed => is_retry_charged = true,
                Outcome::Unresponsive(target) => next = Some(*target),
                Outcome::NotExecuted(delay) => retry_after = retry_after.max(delay),
                Outcome::ResponseLost if self.can_retry() => {}
                Outcome::ResponseLost => return Err(self.exhausted_failure(retry_after)),
                Outcome::NotSent if self.failed_connections < MAX_FAILED_CONNECTIONS => {}
                Outcome::NotSent => return Err(self.exhausted_failure(retry_after)),
                Outcome::Unsendable => return Err(self.unsendable_failure()),
            }
        }
    }

    /// Returns whether the request is condemned because it crashes replicas.
    fn is_condemned(&self) -> bool {
        self.gateway.quarantine.condemned_cause(&self.identity).is_some()
    }

    /// Returns the failure of a condemned request. The status does not promise that the request was not executed, since
    /// it may have been sent before. It does not ask the caller to retry either, since a later retry would fail as
    /// well.
    fn condemned_failure(&self) -> Failure {
        metric::record_refused_condemned();
        let ran = if self.possible_executions == 0 { ExecutionStatus::No } else { ExecutionStatus::Unknown };
        let message = match self.gateway.quarantine.condemned_cause(&self.identity) {
            Some(Cause::Part(part)) => format!("replicas end under part {part} of this prompt"),
            _ => "replicas end under this request".to_owned(),
        };
        Failure::new(StatusCode::BAD_GATEWAY, "condemned", message).with_ran(ran)
    }

    /// Returns the target of the next attempt, or the failure if no attempt is possible. `is_retry_charged` tells that
    /// the retry budget has been charged already.
    async fn next_target(&self, retry_after: Option<Duration>, is_retry_charged: bool) -> Result<Target, Failure> {
        let target = match self.choose_target().await {
            Ok(target) => target,
            // The delay from placement is more accurate than the delay that a single replica asked for.
            Err(error) => return Err(self.exhausted_failure(error.retry_after().or(retry_after))),
        };
        if self.attempts > 0 && !is_retry_charged && !self.try_retry() {
            // A replica is available, but the retry budget is used up: the caller gets the default delay.
            return Err(self.exhausted_failure(None));
        }
        Ok(target)
    }

    /// Charges one retry to the budget of the service. Returns whether the budget allows it.
    fn try_retry(&self) -> bool {
        let is_allowed = self.gateway.charge_retry(&self.service);
        let available = self.gateway.available_retries(&self.service);
        metric::record_available_retries(&self.service, available);
        let (request, service, entries) = (&self.request_head.id, &self.service, self.gateway.entry_count());
        if is_allowed {
            metric::record_retry();
            event!("retry", request = %request, service = %service, available = format_args!("{available:.2}"), entries);
        } else {
            metric::record_refused_retry();
            event!("retry-refused", request = %request, service = %service, reason = "budget", available = format_args!("{available:.2}"), entries);
        }
        is_allowed
    }

    /// Calls [`PendingRequest::open_response`] from the start of the stream, with the deadline of the request as its
    /// timeout.
    async fn open_before_deadline(&mut self) -> Result<OpenResponse, Failure> {
        match tokio::time::timeout(self.time_left(), self.open_response(None)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(self.deadline_failure()),
        }
    }

    /// Forwards a response to the caller: a stream event by event, any other response once it is complete.
    async fn forward_response(mut self, mut opened: OpenResponse) -> Result<CallerResponse, Failure> {
        loop {
            if self.route.streaming && opened.response.status().is_success() {
                return Ok(relay::stream_response(self, opened));
            }
            let OpenResponse { record, response, connection, slot, attempt } = opened;
            let memory = self.gateway.responses.open(Stage::Process);
            let read = read_response(&record, response, connection, &attempt, memory);
            let read = tokio::time::timeout(self.time_left(), read).await;
            drop(slot);
            match read {
                Err(_) => return Err(self.deadline_failure()),
                Ok(Ok(response)) => {
                    attempt.close();
                    let (status, after_ms) = (response.status().as_u16(), now().since(self.started).as_millis());
                    event!("done", request = %self.request_head.id, peer = %record.id, status, after_ms);
                    metric::record_request("ok");
                    if response.status().is_success() {
                        quarantine::record_completion(&self.gateway, &self.identity);
                    }
                    return Ok(response.map(|buffered| buffered.into_body(self.caller_connection)));
                }
                Ok(Err(error)) => {
                    event!("lost", request = %self.request_head.id, work = %self.identity.work, peer = %record.id, error = %format!("{error:#}"));
                    attempt.report_lost().await;
                }
            }
            if !self.can_retry() {
                return Err(self.exhausted_failure(None));
            }
            opened = self.open_before_deadline().await?;
        }
    }

    /// Returns the failure of a request for which no further attempt is allowed.
    fn exhausted_failure(&self, retry_after: Option<Duration>) -> Failure {
        if self.is_condemned() {
            return self.condemned_failure();
        }
        if self.possible_executions == 0 {
            let delay = retry_after.unwrap_or(BUSY_RETRY_AFTER);
            return Failure::unavailable("overloaded", "no replica takes this now", delay);
        }
        Failure::new(StatusCode::BAD_GATEWAY, "answer_lost", "the replica's answer was lost")
            .with_ran(ExecutionStatus::Unknown)
    }

    /// Returns the failure of a request that no replica can get. It does not ask the caller to retry, since a retry would
    /// fail as well.
    fn unsendable_failure(&self) -> Failure {
        let ran = if self.possible_executions == 0 { ExecutionStatus::No } else { ExecutionStatus::Unknown };
        let message = "the name of the workspace cannot be sent to replicas";
        Failure::new(StatusCode::INTERNAL_SERVER_ERROR, "unsendable", message).with_ran(ran)
    }

    /// Returns the failure of a request whose deadline has passed.
    fn deadline_failure(&self) -> Failure {
        if self.attempts == 0 {
            return Failure::unavailable("waited_out", "no replica became free in time", BUSY_RETRY_AFTER);
        }
        if let (Some(replica), false) = (self.tried_replicas.last(), self.has_engines()) {
            // An engine may be busy with other prompts for a long time. A plain replica that does not respond before
            // the deadline has failed.
            self.record_failure(replica, NO_RESPONSE_WEIGHT);
        }
        Failure::new(StatusCode::GATEWAY_TIMEOUT, "deadline", "the time allowed has run out")
            .with_ran(ExecutionStatus::Unknown)
    }
}

/// Reads the response body and closes the connection.
async fn read_response(
    record: &Record,
    response: Response<Incoming>,
    connection: Connection,
    attempt: &Attempt,
    memory: Holder,
) -> eyre::Result<Response<Buffered>> {
    let (head, body) = response.into_parts();
    let body = body.map_frame(|frame| {
        attempt.record_data();
        frame
    });
    let body = Buffered::read(Limited::new(body, MAX_RESPONSE_BYTES), memory).await;
    connection.close();
    let body = body.map_err(|error| error.wrap_err(format!("peer={}", record.id)))?;
    check_length(&head.headers, body.len()).map_err(|error| error.wrap_err(format!("peer={}", record.id)))?;
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers::end_to_end(&head.headers);
    Ok(response)
}

/// Checks the length that the headers state beside chunks, which HTTP/1.1 gives precedence (RFC 9112, 6.3). If the two
/// differ, it is not known what the replica's whole body is. Under the wrong length, the caller would take what is left
/// for its next answer, or wait for more.
fn check_length(headers: &HeaderMap, body_len: usize) -> eyre::Result<()> {
    if Framing::of(headers) != Framing::Chunks {
        return Ok(());
    }
    let is_body_len = |length: &HeaderValue| length.to_str().is_ok_and(|length| length.parse() == Ok(body_len));
    match headers.get_all(CONTENT_LENGTH).iter().find(|length| !is_body_len(length)) {
        Some(length) => Err(eyre::eyre!("step=check-length: stated {length:?}, {body_len} bytes in chunks")),
        None => Ok(()),
    }
}
