//! HTTP plumbing shared by all roles: clients, bodies, listening.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use bytes::Bytes;
use eyre::{Result, WrapErr, eyre};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, Version};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_io_timeout::TimeoutStream;
use tower::ServiceExt;

use crate::linger::Linger;
use crate::timeline;
use crate::unread::Watched;

/// A body that we send.
pub type Sent = BoxBody<Bytes, Infallible>;
/// A client; each thread has its own.
pub type Caller = Client<HttpConnector, Sent>;

/// HTTP/2 window of one stream: what a waiting body may occupy at a sidecar, in bytes.
const STREAM_WINDOW: u32 = 128 * 1_024;
/// HTTP/2 window of a connection: wide, so that waiting bodies do not hold up other streams.
const CONNECTION_WINDOW: u32 = 64 * 1_024 * 1_024;
/// Most streams of one connection.
const MOST_STREAMS: u32 = 4_096;
/// A silent HTTP/2 peer is asked for a sign of life this often …
const KEEP_ALIVE: Duration = Duration::from_millis(500);
/// … and given up after this long.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A caller that has not sent its headers by then is cut off.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes that the kernel may hold for a peer that does not read; unbounded tuning would keep
/// megabytes for each, and hide for seconds that nobody reads.
const SEND_BUFFER: u32 = 128 * 1_024;
/// Bytes that an HTTP/1 connection buffers; also the most that headers may take.
const CONNECTION_BUFFER: usize = 64 * 1_024;
/// Connections waiting to be accepted.
const BACKLOG: u32 = 1_024;

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(500)));
    connector
}

/// A client for our own wires: HTTP/2 without TLS.
pub fn caller_h2() -> Caller {
    Client::builder(TokioExecutor::new())
        .timer(TokioTimer::new())
        .http2_only(true)
        .http2_initial_stream_window_size(STREAM_WINDOW)
        .http2_initial_connection_window_size(CONNECTION_WINDOW)
        .http2_keep_alive_interval(KEEP_ALIVE)
        .http2_keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .http2_keep_alive_while_idle(false)
        .build(connector())
}

/// A client for outside systems: HTTP/1.1.
pub fn caller_h1() -> Caller {
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_secs(10))
        .build(connector())
}

/// A body of known bytes.
pub fn full(bytes: impl Into<Bytes>) -> Sent {
    Full::new(bytes.into()).boxed()
}

/// Sends a request to `address`, with our clock's stamp, and takes notice of the stamp that comes back.
pub async fn call(caller: &Caller, address: &str, method: &str, path: &str, body: Sent) -> Result<Response<Incoming>> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(timeline::HEADER, timeline::stamp())
        .body(body)
        .wrap_err_with(|| format!("step=build-request peer={address}"))?;
    send(caller, address, request).await
}

/// Sends a ready request.
pub async fn send(caller: &Caller, address: &str, request: Request<Sent>) -> Result<Response<Incoming>> {
    let response =
        caller.request(request).await.map_err(|error| eyre!("step=call peer={address}: {}", chain(&error)))?;
    if let Some(stamp) = response.headers().get(timeline::HEADER).and_then(|value| value.to_str().ok()) {
        timeline::observe(stamp);
    }
    Ok(response)
}

/// Sends a small request and reads its whole small answer.
pub async fn exchange(caller: &Caller, address: &str, method: &str, path: &str, body: Bytes) -> Result<(u16, Bytes)> {
    let response = call(caller, address, method, path, full(body)).await?;
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await.wrap_err_with(|| format!("step=read peer={address}"))?.to_bytes();
    Ok((status, bytes))
}

/// Sends JSON to be acted upon; returns the status.
pub async fn post_json(caller: &Caller, address: &str, path: &str, body: &serde_json::Value) -> Result<u16> {
    let request = Request::post(format!("http://{address}{path}")).header("content-type", "application/json");
    let request =
        request.body(full(body.to_string())).wrap_err_with(|| format!("step=build-request peer={address}"))?;
    let response = send(caller, address, request).await?;
    let status = response.status().as_u16();
    response.into_body().collect().await.wrap_err_with(|| format!("step=read peer={address}"))?;
    Ok(status)
}

/// Sends JSON and reads JSON; a status that is not a success is an error.
pub async fn exchange_json<T: serde::de::DeserializeOwned>(
    caller: &Caller,
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
    let request = request.body(full(body)).wrap_err_with(|| format!("step=build-request peer={address}"))?;
    let response = send(caller, address, request).await?;
    let status = response.status();
    let bytes = response.into_body().collect().await.wrap_err_with(|| format!("step=read peer={address}"))?.to_bytes();
    if !status.is_success() {
        return Err(eyre!("step=call peer={address} status={status}: {}", String::from_utf8_lossy(&bytes)));
    }
    serde_json::from_slice(&bytes).wrap_err_with(|| format!("step=decode peer={address}"))
}

fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        source = inner.source();
    }
    text
}

/// Listens on `address`; several threads may listen on one.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    let bind = || -> std::io::Result<TcpListener> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.set_reuseport(true)?;
        // Accepted connections inherit it.
        socket.set_send_buffer_size(SEND_BUFFER)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bind().wrap_err_with(|| format!("step=listen address={address}"))
}

/// Serves `router` on `listener` until `stop` says so, then lets open calls finish.
///
/// A connection whose peer does not read for `patience` is cut off.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    patience: Duration,
    mut stop: tokio::sync::watch::Receiver<bool>,
) {
    let graceful = hyper_util::server::graceful::GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                // Out of descriptors, most likely: let some close.
                Err(_) => { tokio::time::sleep(Duration::from_millis(20)).await; continue; }
            },
            _ = stop.wait_for(|stop| *stop) => break,
        };
        tokio::spawn(connection(stream, router.clone(), patience, graceful.watcher()));
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Answers one request. Where its body was not read to the end, the connection ends with the answer, and the answer says
/// so: a caller that sent its next request on it would lose that one.
async fn answer(router: Router, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
    let closes = request.version() <= Version::HTTP_11;
    let request = request.map(Watched::new);
    let unread = request.body().unread();
    let mut response = router.oneshot(request.map(Body::new)).await?;
    if closes && unread.get() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn connection(
    stream: TcpStream,
    router: Router,
    patience: Duration,
    watcher: hyper_util::server::graceful::Watcher,
) {
    let _ = stream.set_nodelay(true);
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(patience));
    let service = hyper::service::service_fn(move |request: Request<Incoming>| answer(router.clone(), request));
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT).max_buf_size(CONNECTION_BUFFER);
    builder
        .http2()
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(MOST_STREAMS)
        .keep_alive_interval(KEEP_ALIVE)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT);
    let connection = builder.serve_connection(TokioIo::new(Linger::new(Box::pin(stream))), service).into_owned();
    // A caller that goes away mid-request is no fault of ours.
    let _ = watcher.watch(connection).await;
}
