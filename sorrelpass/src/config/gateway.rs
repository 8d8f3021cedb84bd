//! Settings of an entry that serves replicas directly, without sidecars.

use std::net::SocketAddr;
use std::time::Duration;

use coord::planner;
use coord::standing::Power;

use super::reader::Reader;
use super::{DAY_MS, Process, address, process};

/// Part of the time to free memory for which it is held at once: it ends by itself in time, with room for the way.
const HOLD_SHARE: f64 = 0.75;
/// Longest grace and windows that settings may give, in seconds.
const HOUR_S: f64 = 3_600.0;
/// Most cores that settings may give a process.
const MOST_CORES: f64 = 1_024.0;
/// Fastest link that settings may give, in Mbit/s.
const MOST_MBPS: f64 = 1e7;

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
    /// Where other entries connect; without it, this entry plans for itself alone.
    pub peer_listen: Option<SocketAddr>,
    /// Where some other entries listen for that, maybe stale: whom to ask while the store does not answer.
    pub seeds: Vec<SocketAddr>,
    /// How much the process can take on.
    pub power: Power,
    /// What the machine's link carries, in Mbit/s; 0 if it is not told.
    pub link_mbps: f64,
    /// Bounds that the deployment sets.
    pub bounds: Bounds,
    /// How requests are placed.
    pub policy: Policy,
}

/// How requests are placed: every mechanism can be switched off, every weight be set. The defaults were found by
/// measured rounds; see `docs/design/10-deciding.md`.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// How prompts get engines.
    pub planner: planner::Policy,
    /// Part of its caller's patience for which a prompt waits for an engine; then it is refused while its caller has
    /// time left to come back in.
    pub patience_share: f64,
    /// Whether an entry that has just begun lets requests wait for what it will know.
    pub learning: bool,
    /// Whether one entry reads the store for all.
    pub passing_on: bool,
    /// Whether plain replicas that fail are left alone for a while.
    pub plain_breakers: bool,
    /// Whether plain replicas in the entry's own failure domain are preferred among equals.
    pub near: bool,
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
    /// Nothing goes to the replicas of a failure domain this long after the store has taken that it is to be emptied.
    pub evacuate: Duration,
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
    /// Within this time what operators say must be in force everywhere.
    pub fn apply(&self) -> Duration {
        self.config_apply.min(self.evacuate)
    }

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
    let peer_address = reader.sockets("gateway", "peer_listen").first().copied();
    let seeds = reader.sockets("gateway", "seeds");
    let cores = reader.number("gateway", "cores", 0.0..=MOST_CORES, 0.0);
    let link_mbps = reader.number("gateway", "link_mbps", 0.0..=MOST_MBPS, 0.0);
    let power = Power::of(cores, link_mbps);
    let bounds = bounds(reader);
    let policy = policy(reader);
    let listen = listen?;
    Some(Gateway {
        process: process?,
        listen,
        ready_listen: ready_listen?,
        store: store?,
        peer_listen: peer_address.or(peer_port.map(|port| SocketAddr::new(listen.ip(), port))),
        seeds,
        power,
        link_mbps,
        bounds,
        policy,
    })
}

/// Most milliseconds that a weight of the policy may be.
const MOST_MS: f64 = 60_000.0;

fn policy(reader: &mut Reader) -> Policy {
    Policy {
        planner: planner_policy(reader),
        patience_share: reader.number("policy", "patience_share", 0.0..=1.0, 0.45),
        learning: reader.flag("policy", "learning", true),
        passing_on: reader.flag("policy", "passing_on", true),
        plain_breakers: reader.flag("policy", "plain_breakers", true),
        near: reader.flag("policy", "near", true),
    }
}

fn planner_policy(reader: &mut Reader) -> planner::Policy {
    let base = planner::Policy::default();
    let share = |reader: &mut Reader, key, default| reader.number("policy", key, 0.0..=1.0, default);
    let millis = |reader: &mut Reader, key, default| reader.number("policy", key, 0.0..=MOST_MS, default);
    let flag = |reader: &mut Reader, key, default| reader.flag("policy", key, default);
    planner::Policy {
        pause_share: share(reader, "pause_share", base.pause_share),
        least_part_ms: millis(reader, "least_part_ms", base.least_part_ms),
        most_parts: reader.number("policy", "most_parts", 1..=base.most_parts, base.most_parts),
        start_pending_ms: millis(reader, "start_pending_ms", base.start_pending_ms),
        slot_share: share(reader, "slot_share", base.slot_share),
        memory_share: share(reader, "memory_share", base.memory_share),
        long_share: share(reader, "long_share", base.long_share),
        late_share: share(reader, "late_share", base.late_share),
        least_usable: share(reader, "least_usable", base.least_usable),
        in_time_share: share(reader, "in_time_share", base.in_time_share),
        spare_writers: flag(reader, "spare_writers", base.spare_writers),
        join_pending_ms: millis(reader, "join_pending_ms", base.join_pending_ms),
        gather: flag(reader, "gather", base.gather),
        cheapest_first: flag(reader, "cheapest_first", base.cheapest_first),
        late_last: flag(reader, "late_last", base.late_last),
        late_shared: flag(reader, "late_shared", base.late_shared),
        refuse_early: flag(reader, "refuse_early", base.refuse_early),
        packing: flag(reader, "packing", base.packing),
        shared_memory: flag(reader, "shared_memory", base.shared_memory),
        breakers: flag(reader, "breakers", base.breakers),
        suspicion: flag(reader, "suspicion", base.suspicion),
        few_left: flag(reader, "few_left", base.few_left),
        mute_only: flag(reader, "mute_only", base.mute_only),
        ask_pace: flag(reader, "ask_pace", base.ask_pace),
        second_sends: flag(reader, "second_sends", base.second_sends),
        settling: flag(reader, "settling", base.settling),
        salt: flag(reader, "salt", base.salt),
    }
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
        evacuate: reader.millis("bounds", "evacuate_ms", 1..=DAY_MS, 5_000),
        retry_share: reader.number("bounds", "retry_share", 0.0..=1.0, 0.2),
        retry_window: seconds(reader, "retry_window_s", 10.0),
        retry_allowance: reader.number("bounds", "retry_allowance", 0.0..=1e9, 0.0),
        free: reader.millis("bounds", "free_ms", 1..=DAY_MS, 4_000),
        idle: reader.millis("bounds", "idle_max_ms", 1..=DAY_MS, 9_000),
        hold_max: reader.millis("bounds", "hold_max_ms", 1..=DAY_MS, 20_000),
    }
}
