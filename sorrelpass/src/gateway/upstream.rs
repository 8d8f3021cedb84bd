//! Sends a request once to one replica, on a new connection.
//!
//! Connections are not reused: bytes that a replica sends after its response, or too late, then cannot be mistaken
//! for the response to another request. A new connection costs about 1 ms, and all connections of a day together less
//! than 0.002 of the day's revenue (see `docs/design/08-platform.md`).

use std::net::SocketAddr;

use bytes::Bytes;
use coord::probe::ProbeResult;
use coord::roster::Record;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, Response, Uri};
use hyper_util::rt::TokioIo;
use platform::connection::{self, CONNECT_TIMEOUT, Question, connect};
use platform::headers;
use tokio::task::JoinHandle;

/// Size of the small read buffer of a connection to a replica, and so of the longest response head, in bytes. The data of a
/// stream that is not read on stays in this buffer, so that hundreds of such streams must fit into the memory.
const SMALL_READ_BUFFER_BYTES: usize = 32 << 10;

/// Caller's request in the form that is sent to replicas.
pub struct UpstreamRequest {
    /// HTTP method of the caller's request.
    pub method: Method,
    /// Path and query of the caller's request, unchanged.
    pub uri: Uri,
    /// Headers of the caller's request; each send removes the hop-by-hop headers and adds its own.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
}

/// Reason why a send returned no response head.
#[derive(Debug)]
pub enum SendError {
    /// The request cannot be built, and not for another replica either.
    NotBuilt(eyre::Report),
    /// The connection was not established: the replica cannot have received the request.
    NotConnected(eyre::Report),
    /// The connection ended after the request may have been sent: the replica may have executed the request.
    ConnectionLost(eyre::Report),
}

/// What marks the end of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The header `content-length`.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection, which does not prove that the body is complete.
    Close,
}

impl Framing {
    /// Returns the framing of a response with these headers.
    pub fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            Framing::Chunks
        } else if headers.contains_key(CONTENT_LENGTH) {
            Framing::Length
        } else {
            Framing::Close
        }
    }

    /// Returns the name that log lines use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Close => "close",
        }
    }
}

/// Open connection to a replica. Dropping it closes the connection, upon which the replica cancels the request.
pub struct Connection(JoinHandle<()>);

impl Connection {
    /// Closes the connection.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a request with `added_headers` beside the caller's headers, and waits for the head of the response.
/// `has_slow_callers` tells that many streams may stay unread, so that the connection gets a small read buffer.
pub async fn send(
    record: &Record,
    upstream_request: &UpstreamRequest,
    added_headers: &headers::UpstreamHead,
    has_slow_callers: bool,
) -> Result<(Response<Incoming>, Connection), SendError> {
    let request = build_request(record, upstream_request, added_headers).map_err(SendError::NotBuilt)?;
    let stream = connect_to_replica(record).await.map_err(SendError::NotConnected)?;
    let peer = &record.id;
    let mut builder = http1::Builder::new();
    if has_slow_callers {
        builder.max_buf_size(SMALL_READ_BUFFER_BYTES);
    }
    let handshake = builder.handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await;
    let (mut sender, driver) =
        handshake.map_err(|error| SendError::NotConnected(eyre::eyre!("step=connect peer={peer}: {error}")))?;
    let connection = Connection(tokio::task::spawn_local(async move {
        // `send_request` and the response body return the same error.
        let _ = driver.await;
    }));
    match sender.send_request(request).await {
        Ok(response) => Ok((response, connection)),
        Err(error) => Err(SendError::ConnectionLost(eyre::eyre!("step=send peer={peer}: {error}"))),
    }
}

fn build_request(
    record: &Record,
    upstream_request: &UpstreamRequest,
    added_headers: &headers::UpstreamHead,
) -> eyre::Result<Request<Full<Bytes>>> {
    let headers = headers::upstream_headers(&upstream_request.headers, added_headers)
        .map_err(|error| eyre::eyre!("step=build-request peer={:?}: {error}", record.id))?;
    let mut request = Request::new(Full::new(upstream_request.body.clone()));
    *request.method_mut() = upstream_request.method.clone();
    *request.uri_mut() = upstream_request.uri.clone();
    *request.headers_mut() = headers;
    Ok(request)
}

/// Probes whether the process of a replica still runs.
pub async fn probe_process(record: &Record, question: Question<'_>) -> ProbeResult {
    match record.address.parse() {
        Ok(address) => connection::probe(address, question).await,
        Err(error) => {
            crate::warn_event!("probe", peer = %record.id, address = %record.address, error = %error);
            ProbeResult::Unknown
        }
    }
}

/// Opens a TCP connection to a replica within [`CONNECT_TIMEOUT`].
async fn connect_to_replica(record: &Record) -> eyre::Result<tokio::net::TcpStream> {
    let peer = &record.id;
    let address: SocketAddr = record
        .address
        .parse()
        .map_err(|error| eyre::eyre!("step=connect peer={peer} address={}: {error}", record.address))?;
    match tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => Err(eyre::eyre!("step=connect peer={peer}: {error}")),
        Err(_) => Err(eyre::eyre!("step=connect peer={peer}: timeout after {} ms", CONNECT_TIMEOUT.as_millis())),
    }
}
