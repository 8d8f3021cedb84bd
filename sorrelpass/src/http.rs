//! HTTP clients, request bodies and listeners that all roles use.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::response::IntoResponse;
use bytes::Bytes;
use coord::connection::Timeouts;
use eyre::{Result, WrapErr, eyre};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, StatusCode, Version};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_io_timeout::TimeoutStream;
use tower::ServiceExt;

use crate::body_tracker::{GuardedBody, ReadySince, TrackedBody};
use crate::connection::{self, Connection, MeteredStream, RequestGuard};
use crate::failure::Failure;
use crate::holder::Holders;
use crate::lingering_close::LingeringStream;
use crate::timeline;

/// Body of a request that this process sends.
pub type OutgoingBody = BoxBody<Bytes, Infallible>;
/// HTTP client with a connection pool; each thread has its own.
pub type Client = HyperClient<HttpConnector, OutgoingBody>;

/// HTTP/2 flow-control window of a stream: bounds the bytes that a body may occupy at a sidecar while it waits.
pub const STREAM_WINDOW_BYTES: u32 = 128 * 1_024;
/// HTTP/2 flow-control window of a connection between processes of the system. It is large so that waiting bodies do not
/// block other streams.
const CONNECTION_WINDOW_BYTES: u32 = 64 * 1_024 * 1_024;
/// Limit on concurrent HTTP/2 streams of a connection between processes of the system.
const MAX_STREAMS_PER_CONNECTION: u32 = 4_096;
/// HTTP/2 flow-control window of a caller's connection, which bounds what the caller can make this process hold.
const CALLER_WINDOW_BYTES: u32 = 1 << 20;
/// Limit on concurrent HTTP/2 streams of a caller's connection.
const MAX_STREAMS_PER_CALLER: u32 = 100;
/// Limit on the head of an HTTP/2 request, in bytes.
const MAX_STREAM_HEAD_BYTES: u32 = 16 * 1_024;
/// Connections as which a caller's HTTP/2 connection counts, by the memory that its windows and heads may take.
const UNITS_PER_SHARED_CONNECTION: usize = (CALLER_WINDOW_BYTES as usize
    + MAX_STREAMS_PER_CALLER as usize * MAX_STREAM_HEAD_BYTES as usize)
    .div_ceil(connection::CONNECTION_BYTES);
/// Delay after which a caller may ask again whose HTTP/2 connection does not fit.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time without a request after which a caller's connection is closed: longer than clients keep a connection that rests.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time without a request after which the connection of a process of the system is closed. A request that meets the close
/// is lost, so that it is far beyond the pauses of a process that is alive.
const PROCESS_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Size of the kernel's receive buffer of a caller's connection. Without it, the kernel's automatic sizing would let
/// megabytes wait for a process that does not read on.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1_024;
/// Interval of HTTP/2 keep-alive pings to a peer from which nothing is received.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an answer to a keep-alive ping after which the connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time in which a caller must send all request headers before its connection is closed.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Size of the kernel's send buffer of a connection. Without it, the kernel's automatic sizing would buffer megabytes
/// for each peer that does not read, and the write timeout would notice such a peer only seconds later.
const SEND_BUFFER_BYTES: u32 = 128 * 1_024;
/// Size of the read buffer of an HTTP/1 connection, which also bounds the size of the request headers.
const CONNECTION_BUFFER_BYTES: usize = 64 * 1_024;
/// Length of the queue of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

fn new_connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(500)));
    connector
}

/// Creates a client for calls between processes of the system: HTTP/2 without TLS.
pub fn client_h2() -> Client {
    HyperClient::builder(TokioExecutor::new())
        .timer(TokioTimer::new())
        .http2_only(true)
        .http2_initial_stream_window_size(STREAM_WINDOW_BYTES)
        .http2_initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .http2_keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .http2_keep_alive_while_idle(false)
        .build(new_connector())
}

/// Creates a client for other systems and for operators' calls to an entry: HTTP/1.1.
pub fn client_h1() -> Client {
    HyperClient::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_secs(10))
        .build(new_connector())
}

/// Creates a body from bytes in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> OutgoingBody {
    Full::new(bytes.into()).boxed()
}

/// Returns whether an answer can have this status. HTTP has no classes beyond 5, and class 1 stands for no final answer:
/// the requests that this system sends ask for no other protocol.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Sends a request to `address` with a timestamp of the hybrid logical clock, and advances the clock by the response's
/// timestamp.
pub async fn call(
    client: &Client,
    address: &str,
    method: &str,
    path: &str,
    body: OutgoingBody,
) -> Result<Response<Incoming>> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(timeline::HEADER, timeline::stamp())
        .body(body)
        .wrap_err_with(|| format!("step=build-request peer={address}"))?;
    send(client, address, request).await
}

/// Sends a complete request, and advances the hybrid logical clock by the timestamp of the response if it has one.
pub async fn send(client: &Client, address: &str, request: Request<OutgoingBody>) -> Result<Response<Incoming>> {
    let response =
        client.request(request).await.map_err(|error| eyre!("step=call peer={address}: {}", error_chain(&error)))?;
    if let Some(stamp) = response.headers().get(timeline::HEADER).and_then(|value| value.to_str().ok()) {
        timeline::observe(stamp);
    }
    Ok(response)
}

/// Sends a request and reads the response to its end; returns status and body. For small bodies only.
pub async fn exchange(client: &Client, address: &str, method: &str, path: &str, body: Bytes) -> Result<(u16, Bytes)> {
    let response = call(client, address, method, path, full_body(body)).await?;
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await.wrap_err_with(|| format!("step=read peer={address}"))?.to_bytes();
    Ok((status, bytes))
}

/// Sends JSON in a POST request, discards the response body and returns the status.
pub async fn post_json(client: &Client, address: &str, path: &str, body: &serde_json::Value) -> Result<u16> {
    let request = Request::post(format!("http://{address}{path}")).header("content-type", "application/json");
    let request =
        request.body(full_body(body.to_string())).wrap_err_with(|| format!("step=build-request peer={address}"))?;
    let response = send(client, address, request).await?;
    let status = response.status().as_u16();
    response.into_body().collect().await.wrap_err_with(|| format!("step=read peer={address}"))?;
    Ok(status)
}

/// Sends a request with an optional JSON body and decodes the JSON response; a status outside 2xx is an error.
pub async fn exchange_json<T: serde::de::DeserializeOwned>(
    client: &Client,
    address: &str,
    method: &str,
    path: &str,
    body: Option<&serde_json::Value>,
) -> Result<T> {
    let body = body.map_or_else(Bytes::new, |body| Bytes::from(body.to_string()));
    let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
    if !body.is_empty() {
        request = request.header("content-type", "application/json");
    }
    let request = request.body(full_body(body)).wrap_err_with(|| format!("step=build-request peer={address}"))?;
    let response = send(client, address, request).await?;
    let status = response.status();
    let bytes = response.into_body().collect().await.wrap_err_with(|| format!("step=read peer={address}"))?.to_bytes();
    if !status.is_success() {
        return Err(eyre!("step=call peer={address} status={status}: {}", String::from_utf8_lossy(&bytes)));
    }
    serde_json::from_slice(&bytes).wrap_err_with(|| format!("step=decode peer={address}"))
}

/// Formats an error and all its sources, separated by colons.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clients {
    /// Callers, which may hold whatever they can.
    Callers,
    /// Processes of the system.
    Processes,
}

/// Listens on `address`. Several threads may listen on the same address, and the kernel distributes the connections.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    bind(address, None)
}

/// Listens on `address` for callers, whose unread bytes are bounded.
pub fn listen_for_callers(address: SocketAddr) -> Result<TcpListener> {
    bind(address, Some(RECEIVE_BUFFER_BYTES))
}

fn bind(address: SocketAddr, receive_buffer_bytes: Option<u32>) -> Result<TcpListener> {
    let bind = || -> std::io::Result<TcpListener> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.set_reuseport(true)?;
        // Accepted connections inherit the buffer sizes.
        socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
        if let Some(bytes) = receive_buffer_bytes {
            socket.set_recv_buffer_size(bytes)?;
        }
        socket.bind(address)?;
        socket.listen(ACCEPT_BACKLOG)
    };
    bind().wrap_err_with(|| format!("step=listen address={address}"))
}

/// What the connections of a listener have in common.
#[derive(Clone)]
pub struct Server {
    /// Routes of the requests.
    pub router: Router,
    /// Who connects.
    pub clients: Clients,
    /// Connections that are open.
    pub connections: Holders,
    /// Time without reading after which a connection is closed.
    pub write_timeout: Duration,
}

impl Server {
    /// Returns the number of connections as which one counts whose requests share it.
    fn units_per_shared_connection(&self) -> usize {
        match self.clients {
            Clients::Callers => UNITS_PER_SHARED_CONNECTION,
            Clients::Processes => 1,
        }
    }

    /// Returns the times of a connection.
    fn timeouts(&self) -> Timeouts {
        let idle = match self.clients {
            Clients::Callers => CALLER_IDLE_TIMEOUT,
            Clients::Processes => PROCESS_IDLE_TIMEOUT,
        };
        Timeouts { first: HEADER_TIMEOUT, head: HEADER_TIMEOUT, idle, unread: connection::UNREAD_TIMEOUT }
    }
}

/// Serves `listener` until `shutdown` becomes true, then waits for the requests in flight to finish.
pub async fn serve(listener: TcpListener, server: Server, mut shutdown: tokio::sync::watch::Receiver<bool>) {
    let graceful = hyper_util::server::graceful::GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                // The process has most likely run out of file descriptors; during the delay some connections close.
                Err(_) => { tokio::time::sleep(Duration::from_millis(20)).await; continue; }
            },
            _ = shutdown.wait_for(|is_set| *is_set) => break,
        };
        // While there is no room, further connections wait in the listener's queue.
        let admitted = tokio::select! {
            admitted = Connection::admit(&server.connections) => admitted,
            _ = shutdown.wait_for(|is_set| *is_set) => break,
        };
        if let Ok(connection) = admitted {
            tokio::spawn(serve_connection(stream, server.clone(), connection, graceful.watcher()));
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Responds to one request. If the body of an HTTP/1 request was not read to its end, hyper closes the connection after
/// the response. The response then has `connection: close`, so that the caller does not send another request on the
/// connection and lose it.
async fn respond(
    server: Server,
    request: Request<Incoming>,
    guard: RequestGuard,
) -> Result<Response<Body>, Infallible> {
    let is_http1 = request.version() <= Version::HTTP_11;
    if !is_http1 && !guard.connection().set_multiplexed(server.units_per_shared_connection()) {
        let failure = Failure::unavailable("connections", "too many connections are open", NO_ROOM_RETRY_AFTER);
        return Ok(failure.into_response());
    }
    let request = request.map(|body| TrackedBody::new(body, guard.body().clone()));
    let read_state = request.body().read_state();
    let connection = guard.connection().clone();
    let response = server.router.clone().oneshot(request.map(Body::new)).await?;
    let response = response.map(|body| GuardedBody::new(body, guard));
    if !is_http1 && server.clients == Clients::Callers {
        tokio::spawn(watch_reader(response.body().ready_since(), connection.clone(), server.write_timeout));
    }
    let mut response = response.map(Body::new);
    if is_http1 && read_state.has_unread_data() {
        connection.set_unread_body();
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Aborts a shared connection whose caller takes nothing of a response for `timeout`. Nothing is written to such a
/// connection, so that its write timeout does not notice.
async fn watch_reader(ready_since: Weak<ReadySince>, connection: Arc<Connection>, timeout: Duration) {
    while let Some(ready_since) = ready_since.upgrade() {
        if ready_since.is_overdue(timeout) {
            connection.abort();
            return;
        }
        drop(ready_since);
        tokio::time::sleep(timeout / 2).await;
    }
}

/// Serves the requests of one accepted connection, over HTTP/1 or HTTP/2.
async fn serve_connection(
    stream: TcpStream,
    server: Server,
    connection: Arc<Connection>,
    watcher: hyper_util::server::graceful::Watcher,
) {
    let _ = stream.set_nodelay(true);
    let timeouts = server.timeouts();
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(server.write_timeout));
    let (window_bytes, max_streams) = match server.clients {
        Clients::Callers => (CALLER_WINDOW_BYTES, MAX_STREAMS_PER_CALLER),
        Clients::Processes => (CONNECTION_WINDOW_BYTES, MAX_STREAMS_PER_CONNECTION),
    };
    let service = hyper::service::service_fn({
        let connection = connection.clone();
        move |request: Request<Incoming>| {
            let guard = connection.begin_request(!request.body().is_end_stream());
            respond(server.clone(), request, guard)
        }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT).max_buf_size(CONNECTION_BUFFER_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(window_bytes)
        .max_concurrent_streams(max_streams)
        .max_header_list_size(MAX_STREAM_HEAD_BYTES)
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT);
    let stream = MeteredStream::new(Box::pin(stream), connection.clone());
    let has_unread_body = stream.unread_body();
    let serving = builder.serve_connection(TokioIo::new(LingeringStream::new(stream, has_unread_body)), service);
    tokio::select! {
        // A request that has not arrived when its connection gives way does not arrive any more.
        biased;
        () = connection.eviction() => {}
        () = connection.aborted() => {}
        // An error here means that the caller closed the connection during a request, which is not a fault of this
        // process.
        _ = watcher.watch(serving.into_owned()) => {}
        () = connection.wait_until_overdue(|| timeouts) => {}
    }
}
