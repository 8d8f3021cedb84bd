//! Settings: INI files, read with every fault found at once.
//!
//! A [`Reader`] hands out typed values section by section and remembers what was
//! asked for; [`Reader::finish`] reports what was wrong and what nobody asked for.

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
    /// The process's name.
    pub name: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Log level, as `tracing` filters have it.
    pub log_level: String,
}

/// Where the platform's services are.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Name of the log plug-in.
    pub log: &'static str,
    /// The log's address.
    pub log_address: Name,
    /// Name of the VM list plug-in.
    pub vms: &'static str,
    /// The VM list's address.
    pub vms_address: Name,
    /// How often the VM list is read.
    pub vms_poll: Duration,
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What every role has.
    pub process: Process,
    /// Where the platform is.
    pub platform: Platform,
    /// Where callers and operators connect.
    pub listen: SocketAddr,
    /// Where other processes of the system connect.
    pub peer_listen: SocketAddr,
    /// Peer addresses of other entries, for a start without the VM list.
    pub peers: Vec<Name>,
    /// Threads that serve callers.
    pub threads: usize,
    /// Name of the picker.
    pub picker: &'static str,
    /// Endpoints asked for each request.
    pub candidates: usize,
    /// Most endpoints of one service that this entry uses.
    pub sample: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Bytes of bodies held at once.
    pub body_budget_bytes: usize,
    /// An endpoint that has not quoted by then is not waited for.
    pub quote_timeout: Duration,
    /// Time kept before a deadline to settle what ran.
    pub void_reserve: Duration,
    /// A caller that does not read for so long is cut off.
    pub slow_caller: Duration,
    /// Extra time to reach another failure domain.
    pub distance: Duration,
    /// Retries per first try.
    pub retry_share: f64,
    /// How long an idempotency key is remembered.
    pub once_window: Duration,
    /// How often a snapshot of the configuration is due on the log.
    pub snapshot_every: Duration,
    /// Key that authenticates tickets.
    pub ticket_secret: Option<Secret>,
    /// Key that authenticates operators; none lets anyone in.
    pub operator_secret: Option<Secret>,
}

/// What kind of endpoint a sidecar stands beside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// Settings of a sidecar.
#[derive(Clone, Debug)]
pub struct Sidecar {
    /// What every role has.
    pub process: Process,
    /// Where entries connect.
    pub listen: SocketAddr,
    /// The endpoint's name.
    pub endpoint: Name,
    /// The endpoint's address.
    pub endpoint_address: Name,
    /// The service it belongs to.
    pub service: Name,
    /// What kind it is.
    pub kind: Kind,
    /// Peer addresses of entries to learn configuration from.
    pub entries: Vec<Name>,
    /// Name of the queue order.
    pub order: &'static str,
    /// Weights of the deployment's measures.
    pub weights: Weights,
    /// Sizes and limits.
    pub limits: Limits,
    /// Prefill tokens a second to start the estimates from.
    pub prefill_rate: f64,
    /// Gap between tokens to start the estimates from.
    pub gap: Duration,
    /// Blocks of the prefix cache's picture.
    pub cache_blocks: usize,
    /// A caller's entry that does not read for so long is cut off.
    pub slow_entry: Duration,
    /// How often the endpoint's health is checked.
    pub probe: Duration,
}

/// Settings of any role.
#[derive(Clone, Debug)]
pub enum Settings {
    /// Of an entry that serves replicas directly, as on the users' platform.
    Gateway(Box<Gateway>),
    /// Of an entry.
    Entry(Box<Entry>),
    /// Of a sidecar.
    Sidecar(Box<Sidecar>),
}

/// Longest time settings may give, in milliseconds.
const DAY_MS: u64 = 24 * 3_600 * 1_000;

impl Settings {
    /// Reads and checks a settings file of any role.
    pub fn load(file: &Path) -> Result<Self> {
        let mut reader = Reader::open(file)?;
        let roles = ["entry", "gateway", "sidecar"].map(|section| reader.has(section));
        let settings = match roles {
            [true, false, false] => entry(&mut reader).map(|entry| Settings::Entry(Box::new(entry))),
            [false, true, false] => gateway::gateway(&mut reader).map(|gateway| Settings::Gateway(Box::new(gateway))),
            [false, false, true] => sidecar(&mut reader).map(|sidecar| Settings::Sidecar(Box::new(sidecar))),
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

fn process(reader: &mut Reader) -> Option<Process> {
    let name = reader.name("process", "name");
    let failure_domain = reader.name("process", "failure_domain");
    let levels = ["error", "warn", "info", "debug", "trace"];
    let log_level = reader.choice("process", "log_level", &levels, "info").to_owned();
    Some(Process { name: name?, failure_domain: failure_domain?, log_level })
}

fn address(reader: &mut Reader, section: &str, key: &str) -> Option<SocketAddr> {
    reader.required(section, key, "an address ip:port")
}

fn platform(reader: &mut Reader) -> Option<Platform> {
    let log = reader.choice("platform", "log", &plugin::names::<LogPlugin>(|plugin| plugin.name), "http");
    let vms = reader.choice("platform", "vms", &plugin::names::<VmListPlugin>(|plugin| plugin.name), "http");
    let log_address = address(reader, "platform", "log_address");
    let vms_address = address(reader, "platform", "vms_address");
    let vms_poll = reader.millis("platform", "vms_poll_ms", 50..=DAY_MS, 1_000);
    let name = |address: SocketAddr| Name::from(address.to_string());
    Some(Platform { log, log_address: name(log_address?), vms, vms_address: name(vms_address?), vms_poll })
}

fn entry(reader: &mut Reader) -> Option<Entry> {
    let process = process(reader);
    let platform = platform(reader);
    let listen = address(reader, "entry", "listen");
    let peer_listen = address(reader, "entry", "peer_listen");
    let peers = reader.addresses("entry", "peers");
    let threads = reader.number("entry", "threads", 1..=64, 2);
    let pickers = plugin::names::<PickerPlugin>(|plugin| plugin.name);
    let picker = reader.choice("entry", "picker", &pickers, "quoted");
    let candidates = reader.number("entry", "candidates", 1..=16, 3);
    let sample = reader.number("entry", "sample", 1..=1 << 20, 256);
    let max_body_bytes = reader.number("entry", "max_body_bytes", 1_024..=1 << 30, 16 << 20);
    let body_budget_bytes = reader.number("entry", "body_budget_bytes", 1_024..=1 << 36, 256 << 20);
    let quote_timeout = reader.millis("entry", "quote_timeout_ms", 1..=60_000, 100);
    let void_reserve = reader.millis("entry", "void_reserve_ms", 1..=60_000, 200);
    let slow_caller = reader.millis("entry", "slow_caller_ms", 10..=DAY_MS, 10_000);
    let distance = reader.millis("entry", "distance_ms", 0..=10_000, 2);
    let retry_share = reader.number("entry", "retry_share", 0.0..=1.0, 0.1);
    let once_window = reader.millis("entry", "once_window_ms", 1_000..=DAY_MS, 3_600_000);
    let snapshot_every = reader.millis("entry", "snapshot_every_ms", 100..=DAY_MS, 600_000);
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
        sample,
        max_body_bytes,
        body_budget_bytes,
        quote_timeout,
        void_reserve,
        slow_caller,
        distance,
        retry_share,
        once_window,
        snapshot_every,
        ticket_secret,
        operator_secret,
    })
}

fn limits(reader: &mut Reader) -> Limits {
    Limits {
        slots: reader.number("sidecar", "slots", 1..=65_536, 64),
        memory_tokens: reader.number("sidecar", "memory_tokens", 1..=1 << 40, 400_000),
        queue: reader.number("sidecar", "queue", 1..=65_536, 256),
        short_tokens: reader.number("sidecar", "short_tokens", 1..=1 << 40, 4_000),
        short_share: reader.number("sidecar", "short_share", 0.0..=0.9, 0.2),
        grade_long: reader.choice("sidecar", "grade_long", &["yes", "no"], "yes") == "yes",
        window: reader.millis("sidecar", "once_window_ms", 1_000..=DAY_MS, 3_600_000),
    }
}

fn sidecar(reader: &mut Reader) -> Option<Sidecar> {
    let process = process(reader);
    let listen = address(reader, "sidecar", "listen");
    let endpoint = reader.name("sidecar", "endpoint");
    let endpoint_address = address(reader, "sidecar", "endpoint_address");
    let service = reader.name("sidecar", "service");
    let kind = match reader.choice("sidecar", "kind", &["engine", "plain"], "engine") {
        "plain" => Kind::Plain,
        _ => Kind::Engine,
    };
    let entries = reader.addresses("sidecar", "entries");
    let orders = plugin::names::<OrderPlugin>(|plugin| plugin.name);
    let order = reader.choice("sidecar", "order", &orders, "slack");
    let slowdown = reader.number("sidecar", "slowdown_weight", 0.0..=1_000.0, 1.0);
    let ttft = reader.number("sidecar", "ttft_weight", 0.0..=1_000.0, 1.0);
    let limits = limits(reader);
    let prefill_rate = reader.number("sidecar", "prefill_tokens_per_s", 1.0..=1e12, 60_000.0);
    let gap = reader.millis("sidecar", "gap_ms", 1..=60_000, 20);
    let cache_blocks = reader.number("sidecar", "cache_blocks", 1..=1 << 24, 65_536);
    let slow_entry = reader.millis("sidecar", "slow_entry_ms", 10..=DAY_MS, 10_000);
    let probe = reader.millis("sidecar", "probe_ms", 20..=DAY_MS, 1_000);
    Some(Sidecar {
        process: process?,
        listen: listen?,
        endpoint: endpoint?,
        endpoint_address: Name::from(endpoint_address?.to_string()),
        service: service?,
        kind,
        entries,
        order,
        weights: Weights { slowdown, ttft },
        limits,
        prefill_rate,
        gap,
        cache_blocks,
        slow_entry,
        probe,
    })
}
