//! HTTP server for the load balancer's readiness probes and for the metrics that operators collect.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coord::connection::Timeouts;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::state::Gateway;
use crate::connection::{self, Connection, MeteredStream};
use crate::metric;

/// Delay after a failed accept. The usual cause is that the process has no free file descriptors, so an immediate retry
/// would fail too.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Largest number of connections: some balancers and collectors, each with a connection or two.
const MAX_CONNECTIONS: u64 = 32;
/// Size of the buffers of a connection, in bytes.
const BUFFER_BYTES: usize = 16 << 10;
/// Times of a connection: a probe comes every second, and a collector every minute.
const TIMEOUTS: Timeouts = Timeouts {
    first: Duration::from_secs(10),
    head: Duration::from_secs(10),
    idle: Duration::from_secs(120),
    unread: connection::UNREAD_TIMEOUT,
};

/// Serves `/ready` and `/metrics` until the process ends.
pub async fn run(gateway: Rc<Gateway>, listener: TcpListener) {
    let pool = connection::new_pool("probes", MAX_CONNECTIONS);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                crate::warn_event!("accept-health", error = %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Ok(connection) = Connection::admit(&pool).await {
            tokio::task::spawn_local(serve_connection(gateway.clone(), stream, connection));
        }
    }
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream, connection: Arc<Connection>) {
    let service = service_fn(|request: Request<Incoming>| {
        let _guard = connection.begin_request(false);
        std::future::ready(Ok::<_, Infallible>(handle_request(&gateway, &request)))
    });
    let stream = MeteredStream::new(stream, connection.clone());
    let serving = http1::Builder::new().max_buf_size(BUFFER_BYTES).serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = connection.eviction() => {}
        () = connection.wait_until_overdue(|| TIMEOUTS) => {}
        // The balancer may close its connection at any time, which is not worth a log line.
        _ = serving => {}
    }
}

fn handle_request<B>(gateway: &Gateway, request: &Request<B>) -> Response<Full<Bytes>> {
    let (status, body) = match request.uri().path() {
        "/metrics" => (StatusCode::OK, Bytes::from(metric::render())),
        "/ready" if gateway.is_ready() => (StatusCode::OK, Bytes::from_static(b"ready\n")),
        "/ready" => (StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"not ready\n")),
        _ => (StatusCode::NOT_FOUND, Bytes::new()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
