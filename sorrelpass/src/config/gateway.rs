//! Settings of an entry that serves replicas directly, without sidecars (role `gateway`).

use std::net::SocketAddr;
use std::time::Duration;

use coord::planner;
use coord::succession::Capacity;

use super::reader::Reader;
use super::{MAX_DURATION_MS, Process, read_address, read_process};

/// Share of the memory bounds for which engine memory is reserved at once. A reservation that is not renewed then
/// expires within the bounds; the remainder covers the latency of the reservation call.
const RESERVATION_SHARE: f64 = 0.75;
/// Largest grace period or window that a bound may set, in seconds.
const MAX_BOUND_S: f64 = 3_600.0;
/// Largest number of cores that a setting may give.
const MAX_CORES: f64 = 1_024.0;
/// Largest link bandwidth that a setting may give, in Mbit/s.
const MAX_LINK_MBPS: f64 = 1e7;
/// Largest memory limit that a setting may give, in MB.
const MAX_MEMORY_MB: f64 = 1e6;
/// Memory limit of the process if no setting gives it, in MB: that of the smallest VM that is in use.
const DEFAULT_MEMORY_MB: f64 = 160.0;
/// Largest number of file descriptors that a setting may give.
const MAX_DESCRIPTORS: u64 = 1 << 30;
/// Number of bytes in a MB of a memory limit.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// Settings of an entry that serves replicas directly.
#[derive(Clone, Debug)]
pub struct Gateway {
    /// Settings that every role has.
    pub process: Process,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for the load balancer's readiness probe and for operators' metrics requests.
    pub ready_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Listen address for other entries; `None` makes this entry plan for itself only.
    pub peer_listen: Option<SocketAddr>,
    /// Peer addresses of some other entries, possibly outdated, which are contacted while the store does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Capacity of the process, by which the leader of the entries is chosen.
    pub capacity: Capacity,
    /// Bandwidth of the VM's network link, in Mbit/s; 0 if it is unknown.
    pub link_mbps: f64,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// File descriptors of the process; `None` if only its own limit is known.
    pub descriptors: Option<u64>,
    /// Time and retry bounds that the deployment sets.
    pub bounds: Bounds,
    /// Whether the operator declares that callers compete for capacity and may be slow to read.
    pub has_contention: bool,
    /// Whether the platform declares that no process of the system ran before this one.
    pub is_first_start: bool,
    /// Placement policy.
    pub policy: Policy,
}

/// Placement policy. Every mechanism can be switched off and every weight can be set. For the reasons behind the
/// defaults, see `docs/design/10-deciding.md`.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Policy of the planner, which assigns engines to prompts.
    pub planner: planner::Policy,
    /// Features of the planner that are used where the deployment needs them.
    pub features: planner::Features,
    /// Share of the caller's timeout for which a prompt waits for an engine. The prompt is then refused, so that its
    /// caller still has time for a retry.
    pub timeout_share: f64,
    /// Whether an entry that has just started holds requests until it has received configuration and replicas.
    pub startup_wait: bool,
    /// Whether one entry reads the store on behalf of all entries.
    pub delegated_reads: bool,
    /// Whether circuit breakers eject plain replicas, which run no engine, for a time after failures.
    pub plain_breakers: bool,
    /// Whether, among equally good plain replicas, those in the entry's own failure domain are preferred.
    pub prefer_own_domain: bool,
}

/// Time and retry bounds that the deployment sets.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time from a replica's announcement that it is draining until it must not receive new requests.
    pub drain: Duration,
    /// Grace period of a shutdown, from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Time from the revocation of a key until requests with the key must be refused.
    pub revoke: Duration,
    /// Whether `revoke` also binds entries that cannot reach the store; if so, these refuse all keys once they can no
    /// longer rule out a revocation.
    pub revoke_strict: bool,
    /// Time from the store's acceptance of a configuration until it must be in force on all entries.
    pub config_apply: Duration,
    /// Time from the store's acceptance of the evacuation of a failure domain until its replicas must not receive
    /// requests.
    pub evacuate: Duration,
    /// Retries per first attempt that all entries together may make.
    pub retry_share: f64,
    /// Length of the window in which retries are counted.
    pub retry_window: Duration,
    /// Retries that all entries together may make in a window in addition to `retry_share`.
    pub retry_allowance: f64,
    /// Time from the end of the last request that used engine memory until the memory must be released.
    pub memory_release: Duration,
    /// Longest time for which engine memory may be reserved without being used.
    pub max_idle: Duration,
    /// Longest reservation that engines grant.
    pub max_reservation: Duration,
}

impl Bounds {
    /// Returns the time within which every change by an operator must be in force on all entries.
    pub fn propagation(&self) -> Duration {
        self.config_apply.min(self.evacuate)
    }

    /// Returns the duration for which engine memory is reserved at once.
    pub fn reservation_duration(&self) -> Duration {
        self.memory_release.min(self.max_idle).mul_f64(RESERVATION_SHARE).min(self.max_reservation)
    }
}

/// Reads the settings of the role `gateway`. Returns `None` if a required value is missing or invalid.
pub(super) fn read(reader: &mut Reader) -> Option<Gateway> {
    let process = read_process(reader);
    let listen = read_address(reader, "gateway", "listen");
    let ready_listen = read_address(reader, "gateway", "ready_listen");
    let store = read_address(reader, "gateway", "store");
    let peer_port = reader.ports("gateway", "peer_ports").first().copied();
    let peer_address = reader.sockets("gateway", "peer_listen").first().copied();
    let seeds = reader.sockets("gateway", "seeds");
    let cores = reader.number("gateway", "cores", 0.0..=MAX_CORES, 0.0);
    let link_mbps = reader.number("gateway", "link_mbps", 0.0..=MAX_LINK_MBPS, 0.0);
    let memory_mb = reader.number("gateway", "memory_mb", 1.0..=MAX_MEMORY_MB, DEFAULT_MEMORY_MB);
    let descriptors = reader.number("gateway", "descriptors", 0..=MAX_DESCRIPTORS, 0);
    let capacity = Capacity::of(cores, link_mbps);
    let is_first_start = reader.flag("gateway", "first_start", false);
    let has_contention = platform::requirement::declares_contention(&reader.names("gateway", "requirements"));
    let bounds = read_bounds(reader);
    let policy = read_policy(reader);
    let listen = listen?;
    Some(Gateway {
        process: process?,
        listen,
        ready_listen: ready_listen?,
        store: store?,
        peer_listen: peer_address.or(peer_port.map(|port| SocketAddr::new(listen.ip(), port))),
        seeds,
        capacity,
        link_mbps,
        memory_bytes: (memory_mb * BYTES_PER_MB) as u64,
        descriptors: (descriptors > 0).then_some(descriptors),
        has_contention,
        is_first_start,
        bounds,
        policy,
    })
}

/// Largest value of a policy setting in milliseconds.
const MAX_POLICY_MS: f64 = 60_000.0;

fn read_policy(reader: &mut Reader) -> Policy {
    Policy {
        planner: read_planner_policy(reader),
        features: read_features(reader),
        timeout_share: reader.number("policy", "patience_share", 0.0..=1.0, 0.45),
        startup_wait: reader.flag("policy", "learning", true),
        delegated_reads: reader.flag("policy", "passing_on", true),
        plain_breakers: reader.flag("policy", "plain_breakers", true),
        prefer_own_domain: reader.flag("policy", "near", true),
    }
}

fn read_features(reader: &mut Reader) -> planner::Features {
    planner::Features {
        forecasts: reader.flag("policy", "forecasts", false),
        reservations: reader.flag("policy", "reservations", false),
        fair_shares: reader.flag("policy", "fair_shares", true),
        spreading: reader.flag("policy", "spreading", true),
        plain_balancing: reader.flag("policy", "plain_balancing", true),
    }
}

fn read_planner_policy(reader: &mut Reader) -> planner::Policy {
    let defaults = planner::Policy::default();
    let share = |reader: &mut Reader, key, default| reader.number("policy", key, 0.0..=1.0, default);
    let millis = |reader: &mut Reader, key, default| reader.number("policy", key, 0.0..=MAX_POLICY_MS, default);
    let flag = |reader: &mut Reader, key, default| reader.flag("policy", key, default);
    planner::Policy {
        gap_share: share(reader, "pause_share", defaults.gap_share),
        min_part_ms: millis(reader, "least_part_ms", defaults.min_part_ms),
        max_parts: reader.number("policy", "most_parts", 1..=defaults.max_parts, defaults.max_parts),
        max_pending_ms: millis(reader, "start_pending_ms", defaults.max_pending_ms),
        slot_share: share(reader, "slot_share", defaults.slot_share),
        memory_share: share(reader, "memory_share", defaults.memory_share),
        long_share: share(reader, "long_share", defaults.long_share),
        late_share: share(reader, "late_share", defaults.late_share),
        min_usable_share: share(reader, "least_usable", defaults.min_usable_share),
        in_time_share: share(reader, "in_time_share", defaults.in_time_share),
        prefer_idle_helpers: flag(reader, "spare_writers", defaults.prefer_idle_helpers),
        max_join_pending_ms: millis(reader, "join_pending_ms", defaults.max_join_pending_ms),
        colocate_long: flag(reader, "gather", defaults.colocate_long),
        cheapest_first: flag(reader, "cheapest_first", defaults.cheapest_first),
        late_last: flag(reader, "late_last", defaults.late_last),
        late_shared: flag(reader, "late_shared", defaults.late_shared),
        refuse_early: flag(reader, "refuse_early", defaults.refuse_early),
        packing: flag(reader, "packing", defaults.packing),
        shared_memory: flag(reader, "shared_memory", defaults.shared_memory),
        breakers: flag(reader, "breakers", defaults.breakers),
        suspect_slow: flag(reader, "suspicion", defaults.suspect_slow),
        relax_exclusions: flag(reader, "few_left", defaults.relax_exclusions),
        suspect_unresponsive_only: flag(reader, "mute_only", defaults.suspect_unresponsive_only),
        probe_slowdown: flag(reader, "ask_pace", defaults.probe_slowdown),
        resend_unresponsive: flag(reader, "second_sends", defaults.resend_unresponsive),
        settle_before_long: flag(reader, "settling", defaults.settle_before_long),
        salt: flag(reader, "salt", defaults.salt),
    }
}

/// Reads the section `[bounds]`. The defaults are those of the users' first deployments; the platform always sets the
/// values explicitly.
fn read_bounds(reader: &mut Reader) -> Bounds {
    let seconds = |reader: &mut Reader, key, default| {
        Duration::from_secs_f64(reader.number("bounds", key, 0.0..=MAX_BOUND_S, default))
    };
    Bounds {
        drain: reader.millis("bounds", "drain_ms", 1..=MAX_DURATION_MS, 2_000),
        grace: seconds(reader, "grace_s", 8.0),
        revoke: reader.millis("bounds", "revoke_ms", 1..=MAX_DURATION_MS, 5_000),
        revoke_strict: reader.flag("bounds", "revoke_strict", true),
        config_apply: reader.millis("bounds", "config_apply_ms", 1..=MAX_DURATION_MS, 2_000),
        evacuate: reader.millis("bounds", "evacuate_ms", 1..=MAX_DURATION_MS, 5_000),
        retry_share: reader.number("bounds", "retry_share", 0.0..=1.0, 0.2),
        retry_window: seconds(reader, "retry_window_s", 10.0),
        retry_allowance: reader.number("bounds", "retry_allowance", 0.0..=1e9, 0.0),
        memory_release: reader.millis("bounds", "free_ms", 1..=MAX_DURATION_MS, 4_000),
        max_idle: reader.millis("bounds", "idle_max_ms", 1..=MAX_DURATION_MS, 9_000),
        max_reservation: reader.millis("bounds", "hold_max_ms", 1..=MAX_DURATION_MS, 20_000),
    }
}
