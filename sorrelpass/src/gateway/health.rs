//! HTTP server for the load balancer's readiness probes and for the metrics that operators collect.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::state::Gateway;
use crate::metric;

/// Delay after a failed accept. The usual cause is that the process has no free file descriptors, so an immediate retry
/// would fail too.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves `/ready` and `/metrics` until the process ends.
pub async fn run(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                crate::warn_event!("accept-health", error = %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            let service =
                service_fn(|request| std::future::ready(Ok::<_, Infallible>(handle_request(&gateway, &request))));
            // The balancer may close its connection at any time, which is not worth a log line.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
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
