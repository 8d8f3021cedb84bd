//! Reads a request and admits it: decodes the head, reads the body, and finds the route and the workspace.

use std::any::Any;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coord::name::Name;
use coord::route::{Route, Workspace};
use coord::time::Moment;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use platform::dialect;

use super::super::answer::{self, Answer};
use super::super::attempt::Outgoing;
use super::super::now;
use super::super::state::{Gateway, Phase};
use super::super::work;
use super::{BUSY_RETRY_AFTER, Job};
use crate::failure::Failure;
use crate::unread::Watched;
use crate::{event, metric};

/// Timeout of a request whose caller sends no deadline. The timeout of the route is a further bound.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum body size if the configuration sets none, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
/// Retry delay for callers of an entry whose copy of the configuration has not been verified recently.
const UNVERIFIED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay for callers of an entry that is about to stop; they retry at another entry.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// A request whose head has been received and whose body has not been read.
struct ReceivedRequest {
    call: dialect::Call,
    request: Request<Watched<Incoming>>,
    /// Time at which the head was received.
    received_at: Moment,
    /// Guard that counts the request on the caller's connection until the request is complete.
    caller_guard: Box<dyn Any>,
}

/// Handles a request and returns the response. `caller_guard` is dropped when the request is complete.
pub async fn handle(gateway: Rc<Gateway>, request: Request<Incoming>, caller_guard: Box<dyn Any>) -> Answer {
    let started = now();
    let request = request.map(Watched::new);
    let has_unread_body = request.body().unread();
    let (id, outcome) = match dialect::decode(request.headers()) {
        Err(malformed) => (Name::default(), Err(Failure::bad_request("malformed", malformed.0))),
        Ok(call) => (
            call.id.clone(),
            serve(&gateway, ReceivedRequest { call, request, received_at: started, caller_guard }).await,
        ),
    };
    let mut answer = match outcome {
        Ok(answer) => answer,
        Err(failure) => failure_response(failure, &id, started),
    };
    if gateway.phase() != Phase::Serving || has_unread_body.get() {
        answer::close_after(&mut answer);
    }
    answer
}

/// Logs and counts a failure, and converts it into the response to the caller.
fn failure_response(failure: Failure, id: &str, started: Moment) -> Answer {
    event!("give-up", request = %id, code = failure.code, status = failure.status.as_u16(),
        ran = failure.ran.as_str(), reason = %failure.message, after_ms = now().since(started).as_millis());
    metric::request(failure.code);
    answer::failure(failure, id)
}

async fn serve(gateway: &Rc<Gateway>, received: ReceivedRequest) -> Result<Answer, Failure> {
    if gateway.phase() == Phase::Closing {
        // The request could not complete before the process stops.
        return Err(Failure::busy("stopping", "this entry is about to end", STOPPING_RETRY_AFTER));
    }
    let mut job = admit(gateway, received).await?;
    let response = job.open_before_deadline().await?;
    job.forward_response(response).await
}

/// Reads the body of a request and admits it.
async fn admit(gateway: &Rc<Gateway>, received: ReceivedRequest) -> Result<Job, Failure> {
    let ReceivedRequest { call, request, received_at: started, caller_guard } = received;
    let in_flight = gateway.begin_request();
    let (head, body) = request.into_parts();
    let timeout = call.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let body = read_body(gateway, body, timeout).await?;
    gateway.learn().await;
    let (route, workspace) = find_route(gateway, &call, head.uri.path())?;
    if workspace.is_some() && !gateway.has_recent_proof() {
        metric::old_proof();
    }
    let service = route.choose_service(rand::random()).cloned().ok_or_else(no_service)?;
    let deadline = started + timeout.min(route.timeout);
    let outgoing = Outgoing { method: head.method, uri: head.uri, headers: head.headers, body };
    let work = work::fingerprint(&call.host, &outgoing, workspace.as_ref().map(|workspace| &workspace.name));
    event!("request", request = %call.id, work = %work, route = %route.name, service = %service, prompt_tokens = call.prompt_tokens.unwrap_or(0),
        version = gateway.table().version(), proof_age_ms = gateway.proof_age_ms().unwrap_or(0), allowed_ms = timeout.as_millis());
    Ok(Job {
        gateway: gateway.clone(),
        call,
        route,
        workspace,
        service,
        outgoing,
        work,
        started,
        timeout,
        deadline,
        tried_replicas: Vec::new(),
        attempts: 0,
        possible_executions: 0,
        failed_connections: 0,
        _in_flight: in_flight,
        _caller_guard: caller_guard,
    })
}

/// Reads the complete body, so that the request can be sent again and a truncated body never reaches a replica.
async fn read_body(gateway: &Gateway, body: Watched<Incoming>, timeout: Duration) -> Result<Bytes, Failure> {
    let max_bytes = gateway.table().limits().map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.body_bytes);
    match tokio::time::timeout(timeout, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Failure::new(StatusCode::PAYLOAD_TOO_LARGE, "too_large", format!("a body may have {max_bytes} bytes")))
        }
        Ok(Err(error)) => Err(Failure::bad_request("broken_body", error.to_string())),
        Err(_) => Err(Failure::new(StatusCode::REQUEST_TIMEOUT, "slow_body", "the body did not come in time")),
    }
}

/// Finds the route and the workspace of a request. While the configuration has not been verified recently, API keys
/// are not trusted, and a missing route or an unknown key is not reported.
fn find_route(gateway: &Gateway, call: &dialect::Call, path: &str) -> Result<(Route, Option<Workspace>), Failure> {
    let table = gateway.table();
    if table.version() == 0 {
        return Err(Failure::busy("no_configuration", "no configuration is known yet", UNVERIFIED_RETRY_AFTER));
    }
    let Ok(route) = table.route(&call.host, path) else {
        return Err(rejection(gateway, StatusCode::NOT_FOUND, "no_route", "no route begins this path"));
    };
    if !table.needs_key(route) {
        return Ok((route.clone(), None));
    }
    if !gateway.proof_holds() {
        return Err(unverified());
    }
    match table.workspace(call.api_key.as_deref()) {
        Ok(workspace) => Ok((route.clone(), Some(workspace.clone()))),
        Err(_) => Err(rejection(gateway, StatusCode::UNAUTHORIZED, "unknown_key", "the key stands for nobody")),
    }
}

/// Returns the failure for a missing route or an unknown key, or [`unverified`] if the routing table may lack changes
/// that are already in force.
fn rejection(gateway: &Gateway, status: StatusCode, code: &'static str, message: &str) -> Failure {
    if gateway.may_deny() { Failure::new(status, code, message) } else { unverified() }
}

/// Returns the failure of a request that the routing table is too old to decide.
fn unverified() -> Failure {
    Failure::busy("unproven", "the configuration may have changed", UNVERIFIED_RETRY_AFTER)
}

fn no_service() -> Failure {
    Failure::busy("no_replica", "the route has no service", BUSY_RETRY_AFTER)
}
