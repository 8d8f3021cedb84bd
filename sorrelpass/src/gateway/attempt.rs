//! One send of a request to one replica, on a connection of its own.
//!
//! A connection is never used twice: what a replica sends behind an answer, or late, then has no
//! request that it could be taken for. A new connection costs a millisecond and a price that the
//! measurements in `docs/design/08-platform.md` put below 0.002 of what a day earns.

use std::net::SocketAddr;

use bytes::Bytes;
use coord::roster::Record;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{HeaderMap, Method, Request, Response, Uri};
use hyper_util::rt::TokioIo;
use platform::connection::{self, CONNECT_TIMEOUT, Liveness, connect};
use platform::dialect;
use tokio::task::JoinHandle;

/// A request as it goes to replicas.
pub struct Outgoing {
    /// Its method.
    pub method: Method,
    /// Its path and query, unchanged.
    pub uri: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Why a send came to no answer head.
#[derive(Debug)]
pub enum Failed {
    /// No connection came up: the replica never saw the request.
    Unsent(eyre::Report),
    /// The connection ended: the replica may have run the request.
    Lost(eyre::Report),
}

/// An open connection; dropping it ends what the replica does for it.
pub struct Connection(JoinHandle<()>);

impl Connection {
    /// Ends the connection.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a request, with `head` added to the caller's, and waits for the head of the answer.
pub async fn send(
    record: &Record,
    outgoing: &Outgoing,
    head: &dialect::Send,
) -> Result<(Response<Incoming>, Connection), Failed> {
    let request = request(record, outgoing, head).map_err(Failed::Unsent)?;
    let stream = reach(record).await.map_err(Failed::Unsent)?;
    let peer = &record.id;
    let handshake = http1::handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await;
    let (mut sender, driver) =
        handshake.map_err(|error| Failed::Unsent(eyre::eyre!("step=connect peer={peer}: {error}")))?;
    let connection = Connection(tokio::task::spawn_local(async move {
        // The request under way reports what went wrong.
        let _ = driver.await;
    }));
    match sender.send_request(request).await {
        Ok(response) => Ok((response, connection)),
        Err(error) => Err(Failed::Lost(eyre::eyre!("step=send peer={peer}: {error}"))),
    }
}

fn request(record: &Record, outgoing: &Outgoing, head: &dialect::Send) -> eyre::Result<Request<Full<Bytes>>> {
    let headers = dialect::forward(&outgoing.headers, head)
        .map_err(|error| eyre::eyre!("step=build-request peer={:?}: {error}", record.id))?;
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = headers;
    Ok(request)
}

/// Looks whether a replica whose connection ended has ended itself.
pub async fn liveness(record: &Record) -> Liveness {
    match record.address.parse() {
        Ok(address) => connection::liveness(address).await,
        Err(error) => {
            crate::warn_event!("probe", peer = %record.id, address = %record.address, error = %error);
            Liveness::Unknown
        }
    }
}

/// Connects to a replica.
async fn reach(record: &Record) -> eyre::Result<tokio::net::TcpStream> {
    let peer = &record.id;
    let address: SocketAddr = record
        .address
        .parse()
        .map_err(|error| eyre::eyre!("step=connect peer={peer} address={}: {error}", record.address))?;
    match tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => Err(eyre::eyre!("step=connect peer={peer}: {error}")),
        Err(_) => Err(eyre::eyre!("step=connect peer={peer}: not up within {} ms", CONNECT_TIMEOUT.as_millis())),
    }
}
