//! `sorrelpass entry`: the HTTP API for callers and operators, endpoint selection, deadlines, retries and
//! answers.
//!
//! Each thread has one task: `callers-N` serve HTTP and relay answers, `kernel` runs the event loop that
//! owns the serving state, `log` replays the configuration and appends plans, `claims` binds idempotency
//! keys, `controller` places model loads while it holds its failure domain's lease, `members` polls the VM
//! list and exchanges rate limits, `peer` answers RPCs of other processes, and `parse` parses large bodies.

mod body;
mod caller_api;
mod claims;
mod config_log;
mod controller;
mod event_loop;
mod gang;
mod limit_sharing;
mod operator_api;
pub mod peer;
mod prompt;
mod reply;
mod route;
mod ticket;
mod upstream;
mod vm_list;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use coord::intent::Config;
use coord::membership::Vm;
use coord::name::Name;
use coord::placement::Order;
use eyre::{Result, eyre};
use tokio::sync::{oneshot, watch};

use crate::config::Entry;
use crate::holder::Holders;
use crate::http::{self, Client};
use crate::plugin::{self, LogPlugin, VmListPlugin};
use crate::{channel, connection, event, metric, request_body, timeline, util};

/// Capacity of each thread's command channel, in commands.
const CHANNEL_CAPACITY: usize = 4_096;
/// Time during which `/readyz` reports not ready before the listener closes, so that load balancers stop
/// sending requests first.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(500);

/// State shared by the threads of an entry: settings, command channels and published views. It holds no state
/// that decisions are based on.
pub struct Shared {
    /// Settings of this entry.
    pub settings: Entry,
    /// Command channel of the event loop.
    pub event_loop: channel::Sender<event_loop::Command>,
    /// Command channel of the `log` thread.
    pub log: channel::Sender<config_log::Command>,
    /// Command channel of the `claims` thread.
    pub claims: channel::Sender<claims::Command>,
    /// Channel of large bodies to be parsed on the `parse` thread.
    pub parse: channel::Sender<body::ParseJob>,
    /// Newest configuration that this entry has replayed.
    pub config: watch::Receiver<Arc<Config>>,
    /// VM list of the platform, as of the last successful poll.
    pub vms: watch::Receiver<Arc<Vec<Vm>>>,
    /// Newest placement order for each endpoint.
    pub orders: watch::Receiver<Arc<HashMap<Name, Order>>>,
    /// Demand reported for the rate limits that this entry owns.
    pub demand_reports: Mutex<limit_sharing::DemandReports>,
    /// Memory for request bodies.
    pub bodies: Holders,
    /// Callers' connections.
    pub connections: Holders,
    /// Whether this entry is shutting down.
    pub stopping: watch::Receiver<bool>,
}

impl Shared {
    /// Sends a command to the event loop and waits for its reply. Fails if the event loop has stopped.
    pub async fn call_event_loop<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> event_loop::Command,
    ) -> Result<T> {
        let (reply, answer) = oneshot::channel();
        self.event_loop.send(command(reply)).await.map_err(|_| eyre!("step=ask-kernel: the kernel has stopped"))?;
        answer.await.map_err(|_| eyre!("step=ask-kernel: the kernel has stopped"))
    }

    /// Returns the peer addresses of the other entries: those in the VM list or, while it lists none, those
    /// in the settings.
    pub fn peers(&self) -> Vec<Name> {
        let own = self.settings.peer_listen.to_string();
        let listed = vm_list::entry_addresses(&self.vms.borrow());
        let entries = if listed.is_empty() { self.settings.peers.clone() } else { listed };
        entries.into_iter().filter(|peer| **peer != *own).collect()
    }
}

/// State of the HTTP handlers of one `callers-N` thread.
#[derive(Clone)]
pub struct HandlerState {
    /// State shared by all threads.
    pub shared: Arc<Shared>,
    /// HTTP client of this thread for calls to sidecars.
    pub client: Client,
}

/// Runs an entry until it receives a shutdown signal and the requests in flight are finished.
pub fn run(settings: Entry) -> Result<()> {
    timeline::init(&settings.process.name, &settings.process.log_level);
    metric::init()?;
    let shutdown_signals = util::ShutdownSignals::register()?;
    let (event_loop_sender, event_loop_commands) = channel::bounded("kernel", CHANNEL_CAPACITY);
    let (log_sender, log_commands) = channel::bounded("log", CHANNEL_CAPACITY);
    let (claims_sender, claims_commands) = channel::bounded("claims", CHANNEL_CAPACITY);
    let (parse_sender, parse_commands) = channel::bounded("parse", CHANNEL_CAPACITY);
    let (config_sender, config) = watch::channel(Arc::new(Config::default()));
    let (vms_sender, vms) = watch::channel(Arc::new(Vec::new()));
    let (orders_sender, orders) = watch::channel(Arc::default());
    let (stop, stopping) = watch::channel(false);
    let (close, closed) = watch::channel(false);
    let bodies = request_body::new_pool(settings.body_budget_bytes, settings.max_body_bytes);
    let max_connections = connection::max_connections(settings.memory_bytes, None);
    let connections = connection::new_pool("connections", max_connections);
    let shared = Arc::new(Shared {
        settings,
        event_loop: event_loop_sender,
        log: log_sender,
        claims: claims_sender,
        parse: parse_sender,
        config,
        vms,
        orders,
        demand_reports: Mutex::default(),
        bodies,
        connections,
        stopping,
    });

    let settings = &shared.settings;
    let log_plugin = plugin::find::<LogPlugin>(settings.platform.log, |plugin| plugin.name);
    let vms_plugin = plugin::find::<VmListPlugin>(settings.platform.vms, |plugin| plugin.name);
    let (Some(log_plugin), Some(vms_plugin)) = (log_plugin, vms_plugin) else {
        return Err(eyre!("step=start: a platform plug-in is missing"));
    };
    let address = settings.platform.log_address.clone();
    let build_log = log_plugin.build;
    let build_vms = vms_plugin.build;

    util::spawn_thread("kernel", {
        let settings = settings.clone();
        move || event_loop::run(settings, event_loop_commands)
    })?;
    util::spawn_thread("log", {
        let (shared, address) = (shared.clone(), address.clone());
        move || async move { config_log::run(shared, build_log(&address), config_sender, log_commands).await }
    })?;
    util::spawn_thread("claims", {
        let shared = shared.clone();
        move || async move { claims::run(shared, || build_log(&address), claims_commands).await }
    })?;
    util::spawn_thread("controller", {
        let (shared, address) = (shared.clone(), shared.settings.platform.log_address.clone());
        move || async move { controller::run(shared, build_log(&address), orders_sender).await }
    })?;
    util::spawn_thread("members", {
        let shared = shared.clone();
        move || async move {
            let vms = build_vms(&shared.settings.platform.vms_address);
            tokio::join!(vm_list::run(&shared, vms, vms_sender), limit_sharing::run(&shared));
        }
    })?;
    util::spawn_thread("parse", move || body::run(parse_commands))?;
    let mut server_threads = vec![util::spawn_thread("peer", {
        let (shared, closed) = (shared.clone(), closed.clone());
        move || peer::serve(shared, closed)
    })?];
    for number in 0..settings.threads {
        let listener = util::with_runtime(async { Ok(http::listen_for_callers(settings.listen)?.into_std()?) })?;
        let (shared, closed) = (shared.clone(), closed.clone());
        server_threads.push(util::spawn_thread(&format!("callers-{number}"), move || async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
            let app = HandlerState { shared, client: http::client_h2() };
            let server = http::Server {
                clients: http::Clients::Callers,
                connections: app.shared.connections.clone(),
                write_timeout: app.shared.settings.caller_timeout,
                router: caller_api::router(app),
            };
            http::serve(listener, server, closed).await;
        })?);
    }
    event!("start", role = "entry", listen = %settings.listen);

    shutdown_signals.wait();
    event!("stop", role = "entry", reason = "signal");
    let _ = stop.send(true);
    std::thread::sleep(SHUTDOWN_DELAY);
    let _ = close.send(true);
    for thread in server_threads {
        let _ = thread.join();
    }
    event!("stopped", role = "entry");
    Ok(())
}
