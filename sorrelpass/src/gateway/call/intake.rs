//! Reads a request and admits it: decodes the head, reads the body, and finds the route and the workspace.

use std::rc::Rc;
use std::time::Duration;

use coord::name::Name;
use coord::offset::Formatted;
use coord::route::{Route, Workspace};
use coord::time::Moment;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use platform::headers;

use super::super::fingerprint;
use super::super::now;
use super::super::quarantine::Identity;
use super::super::response::{self, CallerResponse};
use super::super::state::{DEFAULT_MAX_BODY_BYTES, Gateway, Phase};
use super::super::upstream::UpstreamRequest;
use super::{BUSY_RETRY_AFTER, CallerConnection, PendingRequest};
use crate::body_tracker::TrackedBody;
use crate::failure::Failure;
use crate::request_body::{self, ReadError};
use crate::{event, metric};

/// Timeout of a request whose caller sends no deadline. The timeout of the route is a further bound.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Retry delay for callers whose body does not fit into the memory: stalled bodies have given way by then.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay for callers of an entry whose copy of the configuration has not been verified recently.
const UNVERIFIED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay for callers of an entry that is about to stop; they retry at another entry.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Codes of the failures of requests that were not read to their end, whose log lines are bounded.
const UNREAD_CODES: [&str; 4] = ["too_large", "broken_body", "slow_body", "bodies_in_flight"];

/// A request whose head has been received and whose body has not been read.
struct ReceivedRequest {
    request_head: headers::RequestHead,
    request: Request<TrackedBody<Incoming>>,
    /// Time at which the head was received.
    received_at: Moment,
    /// Caller's connection, on which the request counts as active until this is dropped.
    caller_connection: Box<dyn CallerConnection>,
}

/// Handles a request and returns the response. `caller_connection` is dropped when the request is complete.
pub async fn handle(
    gateway: Rc<Gateway>,
    request: Request<TrackedBody<Incoming>>,
    caller_connection: Box<dyn CallerConnection>,
) -> CallerResponse {
    let started = now();
    let (id, outcome) = match headers::decode(request.headers()) {
        Err(error) => (Name::default(), Err(Failure::bad_request("malformed", error.0))),
        Ok(request_head) => (
            request_head.id.clone(),
            serve(&gateway, ReceivedRequest { request_head, request, received_at: started, caller_connection }).await,
        ),
    };
    let mut response = match outcome {
        Ok(response) => response,
        Err(failure) => failure_response(&gateway, failure, &id, started),
    };
    if gateway.phase() != Phase::Serving {
        response::close_after(&mut response);
    }
    response
}

/// Logs and counts a failure, and converts it into the response to the caller.
fn failure_response(gateway: &Gateway, failure: Failure, id: &str, started: Moment) -> CallerResponse {
    let is_unread = UNREAD_CODES.contains(&failure.code);
    let line = if is_unread { gateway.unread_log.borrow_mut().record(now()) } else { Some(0) };
    if let Some(left_out) = line {
        event!("give-up", request = %id, code = failure.code, status = failure.status.as_u16(),
            ran = failure.ran.as_str(), reason = %failure.message, after_ms = now().since(started).as_millis(), left_out);
    }
    metric::record_request(failure.code);
    response::error_response(failure, id)
}

async fn serve(gateway: &Rc<Gateway>, received: ReceivedRequest) -> Result<CallerResponse, Failure> {
    if gateway.phase() == Phase::Closing {
        // The request could not complete before the process stops.
        return Err(Failure::unavailable("stopping", "this entry is about to end", STOPPING_RETRY_AFTER));
    }
    let mut request = admit(gateway, received).await?;
    let response = request.open_before_deadline().await?;
    request.forward_response(response).await
}

/// Reads the body of a request and admits it.
async fn admit(gateway: &Rc<Gateway>, received: ReceivedRequest) -> Result<PendingRequest, Failure> {
    let ReceivedRequest { request_head, request, received_at: started, caller_connection } = received;
    let in_flight = gateway.begin_request();
    let (head, body) = request.into_parts();
    let timeout = request_head.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let limits = body_limits(gateway, &request_head.host, head.uri.path(), timeout);
    let body = request_body::read(&gateway.bodies, body, &limits).await;
    let body = body.map_err(|error| body_failure(error, &limits))?;
    gateway.wait_until_synced().await;
    let (route, workspace) = find_route(gateway, &request_head, head.uri.path())?;
    if workspace.is_some() && !gateway.is_recently_verified() {
        metric::record_stale_verification();
    }
    let service = route.choose_service(rand::random()).cloned().ok_or_else(no_service)?;
    let deadline = started + timeout.min(route.timeout);
    let upstream_request =
        UpstreamRequest { method: head.method, uri: head.uri, headers: head.headers, body: body.bytes };
    let fingerprint = fingerprint::compute(
        &request_head.host,
        &upstream_request,
        workspace.as_ref().map(|workspace| &workspace.name),
    );
    let parts = fingerprint::compute_parts(&service, &request_head.shared_parts);
    let part_names: Vec<String> = parts.iter().map(|part| part.fingerprint.to_string()).collect();
    let proof_end = Formatted(gateway.store_view.configuration.verified_end());
    event!("request", request = %request_head.id, work = %fingerprint, route = %route.name, service = %service, parts = part_names.join(","), prompt_tokens = request_head.prompt_tokens.unwrap_or(0),
        version = gateway.table().version(), proof_age_ms = gateway.verification_age_ms().unwrap_or(0), proof_end = %proof_end, allowed_ms = timeout.as_millis());
    gateway.record_request(&service);
    Ok(PendingRequest {
        gateway: gateway.clone(),
        request_head,
        route,
        workspace,
        service,
        upstream_request,
        identity: Identity { work: fingerprint, parts },
        started,
        timeout,
        deadline,
        tried_replicas: Vec::new(),
        attempts: 0,
        possible_executions: 0,
        failed_connections: 0,
        _body_memory: body.holder,
        _in_flight: in_flight,
        caller_connection,
    })
}

/// Returns the limits on the body of a request. The time for it is that of the request's route, since a caller may name
/// any deadline. The body is read completely, so that the request can be sent again and a truncated body never reaches a
/// replica.
fn body_limits(gateway: &Gateway, host: &str, path: &str, timeout: Duration) -> request_body::Limits {
    let table = gateway.table();
    let route_timeout = table.route(host, path).map_or(DEFAULT_TIMEOUT, |route| route.timeout);
    let timeout = timeout.min(route_timeout);
    let max_bytes = table.limits().map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.body_bytes);
    request_body::Limits { max_bytes, timeout, gap_timeout: timeout }
}

/// Returns the failure of a request whose body was not read.
fn body_failure(error: ReadError, limits: &request_body::Limits) -> Failure {
    match error {
        ReadError::TooLarge => {
            let message = format!("a body may have {} bytes", limits.max_bytes);
            Failure::new(StatusCode::PAYLOAD_TOO_LARGE, "too_large", message)
        }
        ReadError::Broken(error) => Failure::bad_request("broken_body", error),
        ReadError::Slow => Failure::new(StatusCode::REQUEST_TIMEOUT, "slow_body", "the body did not come in time"),
        ReadError::Shortage(shortage) => {
            Failure::unavailable("bodies_in_flight", shortage.to_string(), NO_MEMORY_RETRY_AFTER)
        }
    }
}

/// Finds the route and the workspace of a request. While the configuration has not been verified recently, API keys
/// are not trusted, and a missing route or an unknown key is not reported.
fn find_route(
    gateway: &Gateway,
    request_head: &headers::RequestHead,
    path: &str,
) -> Result<(Route, Option<Workspace>), Failure> {
    let table = gateway.table();
    if table.version() == 0 {
        return Err(Failure::unavailable("no_configuration", "no configuration is known yet", UNVERIFIED_RETRY_AFTER));
    }
    let Ok(route) = table.route(&request_head.host, path) else {
        return Err(rejection(gateway, StatusCode::NOT_FOUND, "no_route", "no route begins this path"));
    };
    if !table.needs_key(route) {
        return Ok((route.clone(), None));
    }
    if !gateway.is_verification_valid() {
        return Err(unverified());
    }
    match table.workspace(request_head.api_key.as_deref()) {
        Ok(workspace) => Ok((route.clone(), Some(workspace.clone()))),
        Err(_) => Err(rejection(gateway, StatusCode::UNAUTHORIZED, "unknown_key", "the key stands for nobody")),
    }
}

/// Returns the failure for a missing route or an unknown key, or [`unverified`] if the routing table may lack changes
/// that are already in force.
fn rejection(gateway: &Gateway, status: StatusCode, code: &'static str, message: &str) -> Failure {
    if gateway.can_reject_unknown() { Failure::new(status, code, message) } else { unverified() }
}

/// Returns the failure of a request that the routing table is too old to decide.
fn unverified() -> Failure {
    Failure::unavailable("unproven", "the configuration may have changed", UNVERIFIED_RETRY_AFTER)
}

fn no_service() -> Failure {
    Failure::unavailable("no_replica", "the route has no service", BUSY_RETRY_AFTER)
}
