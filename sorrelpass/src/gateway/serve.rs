//! Callers' connections: accepting them, resting ones, and the way to the end of the process.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use coord::time::Moment;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use super::state::{Gateway, Phase};
use super::{call, now};
use crate::linger::Linger;

/// Largest request head where the configuration names none, in bytes; also the least that hyper takes.
const HEAD_BYTES: usize = 16 * 1_024;
/// Longest rest of a kept connection before a configuration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
/// Part of the configured rest that is added before a connection is closed, so that a request under way meets an open one.
const IDLE_MARGIN: f64 = 0.25;
/// The balancer asks once a second and leaves out an entry after two refusals; connections that it hands over
/// until then are served.
const LAME_DUCK: Duration = Duration::from_millis(2_500);
/// Part of the grace after which the process ends with whatever still runs.
const GRACE_SHARE: f64 = 0.93;
/// Time between the close of resting connections and the end of the process, for requests that cross it.
const CROSSING: Duration = Duration::from_millis(150);
/// How often the end of the last request is looked for.
const POLL: Duration = Duration::from_millis(50);

/// Takes connections until the process ends.
pub async fn run(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(gateway.clone(), stream));
            }
            Err(error) => {
                // Out of descriptors, most likely: let some close.
                crate::warn_event!("accept", error = %error);
                tokio::time::sleep(POLL).await;
            }
        }
    }
}

/// What tells for how long a connection has rested.
struct Rest {
    /// Requests whose answers are not over.
    requests: Cell<u32>,
    /// When the last one was over, or the connection came up.
    since: Cell<Moment>,
}

/// Serves one connection until either side closes it.
async fn connection(gateway: Rc<Gateway>, stream: TcpStream) {
    // Without it the connection is slower and no less right.
    let _ = stream.set_nodelay(true);
    let rest = Rc::new(Rest { requests: Cell::new(0), since: Cell::new(now()) });
    let limits = gateway.table().limits();
    let service = service_fn({
        let (gateway, rest) = (gateway.clone(), rest.clone());
        move |request| {
            let (gateway, rest) = (gateway.clone(), rest.clone());
            async move {
                rest.requests.set(rest.requests.get() + 1);
                let busy = Busy(rest);
                Ok::<_, Infallible>(call::handle(gateway, request, Box::new(busy)).await)
            }
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(None);
    builder.max_buf_size(limits.map_or(HEAD_BYTES, |limits| limits.header_bytes.max(HEAD_BYTES)));
    let serving = builder.serve_connection(TokioIo::new(Linger::new(stream)), service);
    let mut serving = std::pin::pin!(serving);
    tokio::select! {
        // A caller that goes away mid-request is no fault of ours.
        _ = serving.as_mut() => return,
        () = gateway.reached(Phase::Closing) => {}
        () = rested(&gateway, &rest) => {}
    }
    serving.as_mut().graceful_shutdown();
    // As above: nobody is left to hear of an error.
    let _ = serving.await;
}

/// Ends once the connection has rested for longer than callers may let it.
async fn rested(gateway: &Gateway, rest: &Rest) {
    loop {
        let idle = gateway.table().limits().map_or(DEFAULT_IDLE, |limits| limits.idle_timeout);
        let bound = idle.mul_f64(1.0 + IDLE_MARGIN);
        let so_far = now().since(rest.since.get());
        if rest.requests.get() == 0 && so_far >= bound {
            return;
        }
        let left = bound.saturating_sub(if rest.requests.get() == 0 { so_far } else { Duration::ZERO });
        tokio::time::sleep(left.max(POLL)).await;
    }
}

/// Counts one request of a connection until its answer is over.
struct Busy(Rc<Rest>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
        self.0.since.set(now());
    }
}

/// Serves what still comes until the balancer has taken notice, then closes what rests, refuses what is
/// new, and lets the requests in flight finish.
pub async fn wind_down(gateway: &Gateway) {
    let grace = gateway.bounds().grace;
    let last = now() + grace.mul_f64(GRACE_SHARE);
    gateway.enter(Phase::Stopping);
    tokio::time::sleep(LAME_DUCK.min(grace / 2)).await;
    gateway.enter(Phase::Closing);
    tokio::time::sleep(CROSSING).await;
    while gateway.in_flight() > 0 && now() < last {
        tokio::time::sleep(POLL).await;
    }
}
