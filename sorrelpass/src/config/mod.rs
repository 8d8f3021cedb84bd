//! Settings of all roles, from INI files. All faults of a file are reported together.
//!
//! A [`Reader`] returns typed values by section and key and records the requested keys; [`Reader::finish`] reports
//! invalid values and keys of the file that were not requested.

mod gateway;
mod reader;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use coord::name::Name;
use coord::scheduler::Limits;
use eyre::{Result, eyre};

pub use self::gateway::{Bounds, Gateway, Policy};
use self::reader::Reader;
use crate::plugin::{self, LogPlugin, OrderPlugin, PickerPlugin, VmListPlugin, Weights};
use crate::secret::Secret;

/// Settings that every role has.
#[derive(Clone, Debug)]
pub struct Process {
    /// Name of the process, which every log line carries.
    pub name: Name,
    /// Failure domain in which the process runs.
    pub failure_domain: Name,
    /// Log level, in the syntax of a `tracing` filter.
    pub log_level: String,
}

/// Clients and addresses of the platform's services.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Name of the log plug-in.
    pub log: &'static str,
    /// Address of the log service, `ip:port`.
    pub log_address: Name,
    /// Name of the VM list plug-in.
    pub vms: &'static str,
    /// Address of the VM list service, `ip:port`.
    pub vms_address: Name,
    /// Interval at which the VM list is read.
    pub vms_poll_interval: Duration,
}

/// Settings of an entry that reaches endpoints through their sidecars.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Settings that every role has.
    pub process: Process,
    /// Clients and addresses of the platform's services.
    pub platform: Platform,
    /// Listen address for callers and operators.
    pub listen: SocketAddr,
    /// Listen address for other processes of the system.
    pub peer_listen: SocketAddr,
    /// Peer addresses of other entries, for a start while the VM list is unavailable.
    pub peers: Vec<Name>,
    /// Number of threads that serve callers.
    pub threads: usize,
    /// Name of the picker plug-in.
    pub picker: &'static str,
    /// Number of candidate endpoints per request from which a quote is requested.
    pub candidates: usize,
    /// Limit on the endpoints of a service that this entry uses; of more, the entry uses a sample.
    pub max_endpoints_per_service: usize,
    /// Limit on the size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Limit on the total size of the request bodies in memory, in bytes.
    pub body_budget_bytes: usize,
    /// Memory limit of the process, in bytes, from which the number of callers' connections follows.
    pub memory_bytes: u64,
    /// Timeout of a quote request to an endpoint.
    pub quote_timeout: Duration,
    /// Time reserved before a request's deadline for cancelling an attempt and finding out whether it ran.
    pub cancel_reserve: Duration,
    /// Time without reading after which a caller's connection is closed.
    pub caller_timeout: Duration,
    /// Additional latency to an endpoint in another failure domain.
    pub cross_domain_delay: Duration,
    /// Retries per first attempt.
    pub retry_share: f64,
    /// Time for which an idempotency key is retained.
    pub idempotency_window: Duration,
    /// Interval at which a snapshot of the configuration is appended to the log.
    pub snapshot_interval: Duration,
    /// Key that authenticates tickets; `None` disables tickets.
    pub ticket_secret: Option<Secret>,
    /// Key that authenticates operators; `None` admits everyone.
    pub operator_secret: Option<Secret>,
}

/// Kind of the endpoint that a sidecar serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    /// Inference engine of a model.
    Engine,
    /// HTTP service without an engine.
    Plain,
}

/// Settings of a sidecar.
#[derive(Clone, Debug)]
pub struct Sidecar {
    /// Settings that every role has.
    pub process: Process,
    /// Listen address for entries.
    pub listen: SocketAddr,
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Address of the endpoint, `ip:port`, to which the sidecar forwards requests.
    pub endpoint_address: Name,
    /// Service that the endpoint belongs to.
    pub service: Name,
    /// Whether the endpoint is an engine or a plain service.
    pub kind: EndpointKind,
    /// Peer addresses of the entries that provide the configuration.
    pub entries: Vec<Name>,
    /// Name of the queue order plug-in.
    pub queue_order: &'static str,
    /// Weights for the queue order.
    pub weights: Weights,
    /// Limits of the scheduler.
    pub limits: Limits,
    /// Initial estimate of the prefill rate, in tokens per second.
    pub initial_prefill_rate: f64,
    /// Initial estimate of the gap between two output tokens.
    pub initial_gap: Duration,
    /// Number of blocks in the sidecar's model of the engine's prefix cache.
    pub cache_blocks: usize,
    /// Memory limit of the process, in bytes, from which the memory for request bodies and the number of connections
    /// follow.
    pub memory_bytes: u64,
    /// Time without reading after which an entry's connection is closed.
    pub entry_timeout: Duration,
    /// Interval of the endpoint's health checks.
    pub probe_interval: Duration,
}

/// Settings of any role.
#[derive(Clone, Debug)]
pub enum Settings {
    /// Settings of an entry that serves replicas directly, as on the users' platform.
    Gateway(Box<Gateway>),
    /// Settings of an entry that reaches endpoints through their sidecars.
    Entry(Box<Entry>),
    /// Settings of the sidecar of an endpoint.
    Sidecar(Box<Sidecar>),
}

/// Memory limit of an entry if no setting gives it, in MB.
const DEFAULT_ENTRY_MEMORY_MB: u64 = 1_024;
/// Memory limit of a sidecar if no setting gives it, in MB.
const DEFAULT_SIDECAR_MEMORY_MB: u64 = 192;
/// Smallest memory limit of an entry or a sidecar, in MB: a quarter of it holds the largest call that may run at most
/// once.
const MIN_MEMORY_MB: u64 = 128;
/// Largest memory limit of an entry or a sidecar, in MB.
const MAX_MEMORY_MB: u64 = 1 << 20;
/// Largest value of most settings in milliseconds.
const MAX_DURATION_MS: u64 = 24 * 3_600 * 1_000;

impl Settings {
    /// Reads and validates a settings file. The role follows from the section that the file contains.
    pub fn load(file: &Path) -> Result<Self> {
        let mut reader = Reader::open(file)?;
        let present_sections = ["entry", "gateway", "sidecar"].map(|section| reader.has_section(section));
        let settings = match present_sections {
            [true, false, false] => read_entry(&mut reader).map(|entry| Settings::Entry(Box::new(entry))),
            [false, true, false] => gateway::read(&mut reader).map(|gateway| Settings::Gateway(Box::new(gateway))),
            [false, false, true] => read_sidecar(&mut reader).map(|sidecar| Settings::Sidecar(Box::new(sidecar))),
            _ => {
                let reason = "the file must have exactly one of the sections [entry], [gateway] and [sidecar]";
                reader.fault("entry", "-", reason);
                None
            }
        };
        reader.finish()?;
        settings.ok_or_else(|| eyre!("step=read-settings file={}: incomplete", file.display()))
    }
}

fn read_process(reader: &mut Reader) -> Option<Process> {
    let name = reader.name("process", "name");
    let failure_domain = reader.name("process", "failure_domain");
    let levels = ["error", "warn", "info", "debug", "trace"];
    let log_level = reader.choice("process", "log_level", &levels, "info").to_owned();
    Some(Process { name: name?, failure_domain: failure_domain?, log_level })
}

fn read_address(reader: &mut Reader, section: &str, key: &str) -> Option<SocketAddr> {
    reader.required(section, key, "an address ip:port")
}

fn read_platform(reader: &mut Reader) -> Option<Platform> {
    let log = reader.choice("platform", "log", &plugin::names::<LogPlugin>(|plugin| plugin.name), "http");
    let vms = reader.choice("platform", "vms", &plugin::names::<VmListPlugin>(|plugin| plugin.name), "http");
    let log_address = read_address(reader, "platform", "log_address");
    let vms_address = read_address(reader, "platform", "vms_address");
    let vms_poll_interval = reader.millis("platform", "vms_poll_ms", 50..=MAX_DURATION_MS, 1_000);
    let to_name = |address: SocketAddr| Name::from(address.to_string());
    Some(Platform {
        log,
        log_address: to_name(log_address?),
        vms,
        vms_address: to_name(vms_address?),
        vms_poll_interval,
    })
}

fn read_entry(reader: &mut Reader) -> Option<Entry> {
    let process = read_process(reader);
    let platform = read_platform(reader);
    let listen = read_address(reader, "entry", "listen");
    let peer_listen = read_address(reader, "entry", "peer_listen");
    let peers = reader.addresses("entry", "peers");
    let threads = reader.number("entry", "threads", 1..=64, 2);
    let pickers = plugin::names::<PickerPlugin>(|plugin| plugin.name);
    let picker = reader.choice("entry", "picker", &pickers, "quoted");
    let candidates = reader.number("entry", "candidates", 1..=16, 3);
    let max_endpoints_per_service = reader.number("entry", "sample", 1..=1 << 20, 256);
    let max_body_bytes = reader.number("entry", "max_body_bytes", 1_024..=1 << 30, 16 << 20);
    let body_budget_bytes = reader.number("entry", "body_budget_bytes", 1_024..=1 << 36, 256 << 20);
    let memory_mb = reader.number("entry", "memory_mb", MIN_MEMORY_MB..=MAX_MEMORY_MB, DEFAULT_ENTRY_MEMORY_MB);
    let quote_timeout = reader.millis("entry", "quote_timeout_ms", 1..=60_000, 100);
    let cancel_reserve = reader.millis("entry", "void_reserve_ms", 1..=60_000, 200);
    let caller_timeout = reader.millis("entry", "slow_caller_ms", 10..=MAX_DURATION_MS, 10_000);
    let cross_domain_delay = reader.millis("entry", "distance_ms", 0..=10_000, 2);
    let retry_share = reader.number("entry", "retry_share", 0.0..=1.0, 0.1);
    let idempotency_window = reader.millis("entry", "once_window_ms", 1_000..=MAX_DURATION_MS, 3_600_000);
    let snapshot_interval = reader.millis("entry", "snapshot_every_ms", 100..=MAX_DURATION_MS, 600_000);
    let ticket_secret = reader.secret("entry", "ticket_secret");
    let operator_secret = reader.secret("entry", "operator_secret");
    if body_budget_bytes < max_body_bytes {
        reader.fault("entry", "body_budget_bytes", "must not be below max_body_bytes");
    }
    Some(Entry {
        process: process?,
        platform: platform?,
        listen: listen?,
        peer_listen: peer_listen?,
        peers,
        threads,
        picker,
        candidates,
        max_endpoints_per_service,
        max_body_bytes,
        body_budget_bytes,
        memory_bytes: memory_mb << 20,
        quote_timeout,
        cancel_reserve,
        caller_timeout,
        cross_domain_delay,
        retry_share,
        idempotency_window,
        snapshot_interval,
        ticket_secret,
        operator_secret,
    })
}

fn read_limits(reader: &mut Reader) -> Limits {
    Limits {
        slots: reader.number("sidecar", "slots", 1..=65_536, 64),
        memory_tokens: reader.number("sidecar", "memory_tokens", 1..=1 << 40, 400_000),
        max_queued: reader.number("sidecar", "queue", 1..=65_536, 256),
        short_tokens: reader.number("sidecar", "short_tokens", 1..=1 << 40, 4_000),
        short_share: reader.number("sidecar", "short_share", 0.0..=0.9, 0.2),
        split_long_by_length: reader.choice("sidecar", "grade_long", &["yes", "no"], "yes") == "yes",
        retention: reader.millis("sidecar", "once_window_ms", 1_000..=MAX_DURATION_MS, 3_600_000),
    }
}

fn read_sidecar(reader: &mut Reader) -> Option<Sidecar> {
    let process = read_process(reader);
    let listen = read_address(reader, "sidecar", "listen");
    let endpoint = reader.name("sidecar", "endpoint");
    let endpoint_address = read_address(reader, "sidecar", "endpoint_address");
    let service = reader.name("sidecar", "service");
    let kind = match reader.choice("sidecar", "kind", &["engine", "plain"], "engine") {
        "plain" => EndpointKind::Plain,
        _ => EndpointKind::Engine,
    };
    let entries = reader.addresses("sidecar", "entries");
    let queue_orders = plugin::names::<OrderPlugin>(|plugin| plugin.name);
    let queue_order = reader.choice("sidecar", "order", &queue_orders, "slack");
    let slowdown = reader.number("sidecar", "slowdown_weight", 0.0..=1_000.0, 1.0);
    let ttft = reader.number("sidecar", "ttft_weight", 0.0..=1_000.0, 1.0);
    let limits = read_limits(reader);
    let initial_prefill_rate = reader.number("sidecar", "prefill_tokens_per_s", 1.0..=1e12, 60_000.0);
    let initial_gap = reader.millis("sidecar", "gap_ms", 1..=60_000, 20);
    let cache_blocks = reader.number("sidecar", "cache_blocks", 1..=1 << 24, 65_536);
    let memory_mb = reader.number("sidecar", "memory_mb", MIN_MEMORY_MB..=MAX_MEMORY_MB, DEFAULT_SIDECAR_MEMORY_MB);
    let entry_timeout = reader.millis("sidecar", "slow_entry_ms", 10..=MAX_DURATION_MS, 10_000);
    let probe_interval = reader.millis("sidecar", "probe_ms", 20..=MAX_DURATION_MS, 1_000);
    Some(Sidecar {
        process: process?,
        listen: listen?,
        endpoint: endpoint?,
        endpoint_address: Name::from(endpoint_address?.to_string()),
        service: service?,
        kind,
        entries,
        queue_order,
        weights: Weights { slowdown, ttft },
        limits,
        initial_prefill_rate,
        initial_gap,
        cache_blocks,
        memory_bytes: memory_mb << 20,
        entry_timeout,
        probe_interval,
    })
}
