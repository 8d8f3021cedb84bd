//! HTTP server for callers: accepts connections, closes idle ones, and drains them at shutdown.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use coord::time::Moment;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::call::{self, CallerConnection};
use super::now;
use super::state::{Gateway, Phase};
use crate::lingering_close::LingeringStream;

/// Default bound on the size of a request head, in bytes. Smaller configured bounds are raised to this one, because
/// hyper does not accept small buffers.
const MIN_HEADER_BUFFER_BYTES: usize = 16 * 1_024;
/// Idle timeout of connections before the first configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Share of the configured idle timeout that is added before a connection is closed, so that a request that the
/// caller sends just before its own timeout still finds an open connection.
const IDLE_TIMEOUT_MARGIN: f64 = 0.25;
/// Time for which new connections are still served after the start of the shutdown. The load balancer probes
/// readiness once per second and removes an entry after two failed probes.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(2_500);
/// Share of the grace period after which the process ends even if requests are in flight.
const GRACE_SHARE: f64 = 0.93;
/// Time between the close of idle connections and the end of the process, for requests that callers sent before they
/// saw the close.
const CLOSE_RACE_DELAY: Duration = Duration::from_millis(150);
/// Interval at which the number of requests in flight and the idle times are checked; also the delay after a failed
/// accept.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Accepts callers' connections until the process ends.
pub async fn run(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(gateway.clone(), stream));
            }
            Err(error) => {
                // The usual cause is that no file descriptor is free, so the delay lets some connections close.
                crate::warn_event!("accept", error = %error);
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
}

/// Activity of a connection, from which its idle time is computed.
struct Activity {
    /// Number of requests whose responses are not complete.
    active_requests: Cell<u32>,
    /// End of the last request, or the start of the connection.
    idle_since: Cell<Moment>,
    /// Notified when the connection is to be closed although its response is incomplete.
    aborted: Notify,
}

/// Serves one connection until either side closes it.
async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream) {
    // If this fails, the connection has a higher latency but works.
    let _ = stream.set_nodelay(true);
    let activity =
        Rc::new(Activity { active_requests: Cell::new(0), idle_since: Cell::new(now()), aborted: Notify::new() });
    let limits = gateway.table().limits();
    let service = service_fn({
        let (gateway, activity) = (gateway.clone(), activity.clone());
        move |request| {
            let (gateway, activity) = (gateway.clone(), activity.clone());
            async move {
                activity.active_requests.set(activity.active_requests.get() + 1);
                let guard = RequestGuard(activity);
                Ok::<_, Infallible>(call::handle(gateway, request, Box::new(guard)).await)
            }
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(None);
    builder.max_buf_size(
        limits.map_or(MIN_HEADER_BUFFER_BYTES, |limits| limits.header_bytes.max(MIN_HEADER_BUFFER_BYTES)),
    );
    let serving = builder.serve_connection(TokioIo::new(LingeringStream::new(stream)), service);
    let mut serving = std::pin::pin!(serving);
    tokio::select! {
        // An aborted response is incomplete, so nothing more of it is written.
        biased;
        () = activity.aborted.notified() => return,
        // The caller may close its connection during a request, which is not an error of this process.
        _ = serving.as_mut() => return,
        () = gateway.wait_for_phase(Phase::Closing) => {}
        () = wait_until_idle(&gateway, &activity) => {}
    }
    serving.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        () = activity.aborted.notified() => {}
        // An error here means that the caller has closed its connection too.
        _ = serving => {}
    }
}

/// Waits until the connection has been idle for longer than the idle timeout plus its margin.
async fn wait_until_idle(gateway: &Gateway, activity: &Activity) {
    loop {
        let timeout = gateway.table().limits().map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
        let max_idle = timeout.mul_f64(1.0 + IDLE_TIMEOUT_MARGIN);
        let idle_time = now().since(activity.idle_since.get());
        if activity.active_requests.get() == 0 && idle_time >= max_idle {
            return;
        }
        let time_left =
            max_idle.saturating_sub(if activity.active_requests.get() == 0 { idle_time } else { Duration::ZERO });
        tokio::time::sleep(time_left.max(POLL_INTERVAL)).await;
    }
}

/// Counts a request of a connection as active until the guard is dropped, which is when its response is complete.
struct RequestGuard(Rc<Activity>);

impl CallerConnection for RequestGuard {
    fn abort(&self) {
        self.0.aborted.notify_one();
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
        self.0.idle_since.set(now());
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
