//! HTTP/1 client of the soak and the tests: sends requests as the platform's callers do, and records their outcomes.

use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Describes a request that a caller sends.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// HTTP method.
    pub method: &'static str,
    /// Path, with the query if there is one.
    pub path: String,
    /// Headers except `host`, which [`Connection::exchange`] adds.
    pub headers: Vec<(&'static str, String)>,
    /// Body; empty by default.
    pub body: Bytes,
    /// Time after which [`send`] closes the connection even if the response is incomplete; `None` to wait for its end.
    pub disconnect_after: Option<Duration>,
}

impl RequestSpec {
    /// Creates a request with this request id and API key, and an empty body.
    pub fn new(method: &'static str, path: &str, id: &str, key: &str) -> Self {
        let headers = vec![("request-id", id.to_owned()), ("authorization", format!("Bearer {key}"))];
        Self { method, path: path.to_owned(), headers, body: Bytes::new(), disconnect_after: None }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }
}

/// Outcome of a request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Status code; 0 if no response arrived.
    pub status: u16,
    /// Headers of the response; empty if no response arrived.
    pub headers: HeaderMap,
    /// Part of the body that arrived, as lossy UTF-8.
    pub body: String,
    /// Whether the response was complete, by its length or its last chunk.
    pub is_complete: bool,
    /// Time from the start of the request to the end of the response, or to its failure.
    pub elapsed: Duration,
}

impl Outcome {
    /// Returns the value of a header; empty if the response does not have it or if it is not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// Sends a request to `address` on a new connection and waits for the end of the response.
///
/// Fails if the connection cannot be opened or the request is malformed, unless `disconnect_after` is set. A connection
/// that is lost later shows in the outcome.
pub async fn send(address: &str, host: &str, spec: &RequestSpec) -> Result<Outcome> {
    let started = Instant::now();
    let mut outcome = Outcome::default();
    let exchange = async {
        let mut connection = Connection::open(address).await?;
        connection.exchange(host, spec, &mut outcome).await
    };
    match spec.disconnect_after {
        Some(disconnect_after) => drop(tokio::time::timeout(disconnect_after, exchange).await),
        None => exchange.await?,
    }
    outcome.elapsed = started.elapsed();
    Ok(outcome)
}

/// Persistent connection of a caller, for consecutive requests.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: AbortOnDrop<hyper::Result<()>>,
}

impl Connection {
    /// Connects to `address` (`ip:port`).
    pub async fn open(address: &str) -> Result<Self> {
        let stream = TcpStream::connect(address).await.wrap_err_with(|| format!("step=connect peer={address}"))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        Ok(Self { sender, _driver: AbortOnDrop(tokio::spawn(connection)) })
    }

    /// Returns whether the connection accepts another request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and records its outcome in `outcome` as it arrives, so that a caller that cancels this future
    /// keeps the part that arrived. A lost connection leaves the outcome incomplete and is not an error.
    pub async fn exchange(&mut self, host: &str, spec: &RequestSpec, outcome: &mut Outcome) -> Result<()> {
        let mut request = Request::builder().method(spec.method).uri(&spec.path).header("host", host);
        for (name, value) in &spec.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(spec.body.clone()))?;
        if self.sender.ready().await.is_err() {
            return Ok(());
        }
        let Ok(response) = self.sender.send_request(request).await else { return Ok(()) };
        outcome.status = response.status().as_u16();
        outcome.headers = response.headers().clone();
        let mut body = response.into_body();
        loop {
            match body.frame().await {
                None => {
                    outcome.is_complete = true;
                    return Ok(());
                }
                Some(Err(_)) => return Ok(()),
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    outcome.body.push_str(&String::from_utf8_lossy(&data));
                }
            }
        }
    }
}

/// Aborts the task that drives a connection when the connection is dropped.
struct AbortOnDrop<T>(tokio::task::JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}
