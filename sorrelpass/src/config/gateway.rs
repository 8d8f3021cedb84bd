//! Settings of an entry that serves replicas directly, without sidecars.

use std::net::SocketAddr;
use std::time::Duration;

use super::reader::Reader;
use super::{DAY_MS, Process, address, process};

/// Part of the time to free memory for which it is held at once: it ends by itself in time, with room for the way.
const HOLD_SHARE: f64 = 0.75;
/// Longest grace and windows that settings may give, in seconds.
const HOUR_S: f64 = 3_600.0;

/// Settings of such an entry.
#[derive(Clone, Debug)]
pub struct Gateway {
    /// What every role has.
    pub process: Process,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks for readiness and operators for metrics.
    pub ready_listen: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Port for what entries say to each other, the first of those that the settings list; without one, this
    /// entry plans for itself alone.
    pub peer_port: Option<u16>,
    /// Bounds that the deployment sets.
    pub bounds: Bounds,
}

/// Bounds that the deployment sets.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// A replica that announced its end gets no request later than this.
    pub drain: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// A key that was taken away is refused after this.
    pub revoke: Duration,
    /// Whether that holds also for entries that the store does not reach: then they refuse all keys in time.
    pub revoke_strict: bool,
    /// A configuration is in force everywhere this long after the store has taken it.
    pub config_apply: Duration,
    /// Retries per first try that all entries may make together.
    pub retry_share: f64,
    /// Window over which retries are counted.
    pub retry_window: Duration,
    /// Retries that all entries may make in a window beyond that share.
    pub retry_allowance: f64,
    /// Engine memory must be free this long after the last request that used it.
    pub free: Duration,
    /// Engine memory must not be held unused for this long.
    pub idle: Duration,
    /// Longest hold that engines grant.
    pub hold_max: Duration,
}

impl Bounds {
    /// For how long engine memory is held at once.
    pub fn hold(&self) -> Duration {
        self.free.min(self.idle).mul_f64(HOLD_SHARE).min(self.hold_max)
    }
}

/// Reads the sections `[gateway]` and `[bounds]`.
pub(super) fn gateway(reader: &mut Reader) -> Option<Gateway> {
    let process = process(reader);
    let listen = address(reader, "gateway", "listen");
    let ready_listen = address(reader, "gateway", "ready_listen");
    let store = address(reader, "gateway", "store");
    let peer_port = reader.ports("gateway", "peer_ports").first().copied();
    let bounds = bounds(reader);
    Some(Gateway { process: process?, listen: listen?, ready_listen: ready_listen?, store: store?, peer_port, bounds })
}

/// The defaults are those of the users' first deployments; the platform always gives its own.
fn bounds(reader: &mut Reader) -> Bounds {
    let seconds = |reader: &mut Reader, key, default| {
        Duration::from_secs_f64(reader.number("bounds", key, 0.0..=HOUR_S, default))
    };
    Bounds {
        drain: reader.millis("bounds", "drain_ms", 1..=DAY_MS, 2_000),
        grace: seconds(reader, "grace_s", 8.0),
        revoke: reader.millis("bounds", "revoke_ms", 1..=DAY_MS, 5_000),
        revoke_strict: reader.flag("bounds", "revoke_strict", true),
        config_apply: reader.millis("bounds", "config_apply_ms", 1..=DAY_MS, 2_000),
        retry_share: reader.number("bounds", "retry_share", 0.0..=1.0, 0.2),
        retry_window: seconds(reader, "retry_window_s", 10.0),
        retry_allowance: reader.number("bounds", "retry_allowance", 0.0..=1e9, 0.0),
        free: reader.millis("bounds", "free_ms", 1..=DAY_MS, 4_000),
        idle: reader.millis("bounds", "idle_max_ms", 1..=DAY_MS, 9_000),
        hold_max: reader.millis("bounds", "hold_max_ms", 1..=DAY_MS, 20_000),
    }
}
