//! HTTP server for callers: accepts connections, closes idle ones, and drains them at shutdown.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coord::connection::Timeouts;
use futures_util::FutureExt;
use hyper::Request;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use super::call::{self, CallerConnection};
use super::now;
use super::response::{self, CallerResponse};
use super::state::{Gateway, Phase};
use crate::body_tracker::TrackedBody;
use crate::connection::{self, Connection, MeteredStream, RequestGuard};
use crate::lingering_close::LingeringStream;

/// Default bound on the size of a request head, in bytes. Smaller configured bounds are raised to this one, because
/// hyper does not accept small buffers.
const MIN_HEADER_BUFFER_BYTES: usize = 16 * 1_024;
/// Idle timeout of connections before the first configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for a request head before the first configuration is known.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Share of a configured time that is added before a connection is closed.
const TIMEOUT_MARGIN: f64 = 0.25;
/// Time for which new connections are still served after the start of the shutdown. The load balancer probes
/// readiness once per second and removes an entry after two failed probes.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(2_500);
/// Share of the grace period after which the process ends even if requests are in flight.
const GRACE_SHARE: f64 = 0.93;
/// Time between the close of idle connections and the end of the process, for requests that callers sent before they
/// saw the close.
const CLOSE_RACE_DELAY: Duration = Duration::from_millis(150);
/// Interval at which the number of requests in flight is checked; also the delay after a failed accept.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Accepts callers' connections until the process ends.
pub async fn run(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // The usual cause is that no file descriptor is free, so the delay lets some connections close.
                crate::warn_event!("accept", error = %error);
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
        };
        // While there is no room, further connections wait in the listener's queue.
        if let Ok(connection) = Connection::admit(&gateway.connections).await {
            tokio::task::spawn_local(serve_connection(gateway.clone(), stream, connection));
        }
    }
}

/// Serves one connection until either side closes it.
async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream, connection: Arc<Connection>) {
    // If this fails, the connection has a higher latency but works.
    let _ = stream.set_nodelay(true);
    let limits = gateway.table().limits();
    let service = service_fn({
        let (gateway, connection) = (gateway.clone(), connection.clone());
        move |request: Request<Incoming>| {
            let guard = connection.begin_request(!request.body().is_end_stream());
            respond(gateway.clone(), request, guard).map(Ok::<_, Infallible>)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(None);
    builder.max_buf_size(
        limits.map_or(MIN_HEADER_BUFFER_BYTES, |limits| limits.header_bytes.max(MIN_HEADER_BUFFER_BYTES)),
    );
    let stream = MeteredStream::new(stream, connection.clone());
    let has_unread_body = stream.unread_body();
    let serving = builder.serve_connection(TokioIo::new(LingeringStream::new(stream, has_unread_body)), service);
    let mut serving = std::pin::pin!(serving);
    let mut eviction = std::pin::pin!(connection.eviction());
    let mut overdue = std::pin::pin!(connection.wait_until_overdue(|| timeouts(&gateway)));
    tokio::select! {
        // An aborted response is incomplete, so nothing more of it is written. A request that has not arrived when its
        // connection gives way does not arrive any more.
        biased;
        () = connection.aborted() => return,
        () = eviction.as_mut() => return,
        // The caller may close its connection during a request, which is not an error of this process.
        _ = serving.as_mut() => return,
        // A connection that waits for this process is never overdue.
        () = overdue.as_mut() => return,
        () = gateway.wait_for_phase(Phase::Closing) => {}
    }
    serving.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        () = connection.aborted() => {}
        () = eviction => {}
        // An error here means that the caller has closed its connection too.
        _ = serving => {}
        () = overdue => {}
    }
}

/// Responds to one request. If its body was not read to its end, the connection is closed after the response.
async fn respond(gateway: Rc<Gateway>, request: Request<Incoming>, guard: RequestGuard) -> CallerResponse {
    let request = request.map(|body| TrackedBody::new(body, guard.body().clone()));
    let read_state = request.body().read_state();
    let connection = guard.connection().clone();
    let mut response = call::handle(gateway, request, Box::new(guard)).await;
    if read_state.has_unread_data() {
        connection.set_unread_body();
        response::close_after(&mut response);
    }
    response
}

/// Returns the times of callers' connections, with a margin so that what a caller sends just before its own timeout
/// still finds an open connection.
fn timeouts(gateway: &Gateway) -> Timeouts {
    let limits = gateway.table().limits();
    let head = limits.map_or(DEFAULT_HEAD_TIMEOUT, |limits| limits.header_timeout);
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let (head, idle) = (head.mul_f64(1.0 + TIMEOUT_MARGIN), idle.mul_f64(1.0 + TIMEOUT_MARGIN));
    Timeouts { first: idle, head, idle, unread: connection::UNREAD_TIMEOUT }
}

impl CallerConnection for RequestGuard {
    fn abort(&self) {
        self.connection().abort();
    }
}

/// Shuts the server down: serves new requests until the load balancer has removed this entry, then closes idle
/// connections, refuses new requests, and waits for the requests in flight.
pub async fn shut_down(gateway: &Gateway) {
    let grace = gateway.bounds().grace;
    let deadline = now() + grace.mul_f64(GRACE_SHARE);
    gateway.enter_phase(Phase::Stopping);
    tokio::time::sleep(SHUTDOWN_DELAY.min(grace / 2)).await;
    gateway.enter_phase(Phase::Closing);
    tokio::time::sleep(CLOSE_RACE_DELAY).await;
    while gateway.in_flight() > 0 && now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
