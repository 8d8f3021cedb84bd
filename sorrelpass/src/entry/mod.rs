//! `sorrelpass entry`: the HTTP API for callers and operators, endpoint selection, deadlines, retries and
//! answers.
//!
//! Each thread has one task: `callers-N` serve HTTP and relay answers, `kernel` runs the event loop that
//! owns the serving state, `log` replays the configuration and appends plans, `claims` binds idempotency
//! keys, `controller` places model loads while it holds its failure domain's lease, `members` polls the VM
//! list and exchanges rate limits, `peer` answers RPCs of other processes, and `parse` parses large bodies.

mod body;
mod budget;
mod callers;
mod claims;
mod controller;
mod gang;
mod kernel;
mod limits;
mod log;
mod members;
mod operators;
pub mod peer;
mod prompt;
mod reply;
mod route;
mod ticket;
mod upstream;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use coord::intent::Config;
use coord::membership::Vm;
use coord::name::Name;
use coord::placement::Order;
use eyre::{Result, eyre};
use tokio::sync::{oneshot, watch};

use self::budget::Budget;
use crate::config::Entry;
use crate::http::{self, Caller};
use crate::plugin::{self, LogPlugin, VmListPlugin};
use crate::{event, metric, ring, timeline, util};

/// Capacity of each thread's command queue, in commands.
const RING: usize = 4_096;
/// Time during which `/readyz` reports not ready before the listener closes, so that load balancers stop
/// sending requests first.
const LAME_DUCK: Duration = Duration::from_millis(500);

/// State shared by the threads of an entry: settings, command queues and published views. It holds no state
/// that decisions are based on.
pub struct Shared {
    /// Settings of this entry.
    pub settings: Entry,
    /// Command queue of the event loop.
    pub kernel: ring::Sender<kernel::Command>,
    /// Command queue of the `log` thread.
    pub log: ring::Sender<log::Command>,
    /// Command queue of the `claims` thread.
    pub claims: ring::Sender<claims::Question>,
    /// Queue of large bodies to be parsed on the `parse` thread.
    pub parse: ring::Sender<body::Parse>,
    /// Newest configuration that this entry has replayed.
    pub config: watch::Receiver<Arc<Config>>,
    /// VM list of the platform, as of the last successful poll.
    pub vms: watch::Receiver<Arc<Vec<Vm>>>,
    /// Newest placement order for each endpoint.
    pub orders: watch::Receiver<Arc<HashMap<Name, Order>>>,
    /// Demand reported for the rate limits that this entry owns.
    pub exchange: Mutex<limits::Exchange>,
    /// Memory budget for buffered request bodies.
    pub body_budget: Budget,
    /// Whether this entry is shutting down.
    pub stopping: watch::Receiver<bool>,
}

impl Shared {
    /// Sends a command to the event loop and waits for its reply. Fails if the event loop has stopped.
    pub async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> kernel::Command) -> Result<T> {
        let (reply, answer) = oneshot::channel();
        self.kernel.send(command(reply)).await.map_err(|_| eyre!("step=ask-kernel: the kernel has stopped"))?;
        answer.await.map_err(|_| eyre!("step=ask-kernel: the kernel has stopped"))
    }

    /// Returns the peer addresses of the other entries: those in the VM list or, while it lists none, those
    /// in the settings.
    pub fn peers(&self) -> Vec<Name> {
        let own = self.settings.peer_listen.to_string();
        let listed = members::entries(&self.vms.borrow());
        let all = if listed.is_empty() { self.settings.peers.clone() } else { listed };
        all.into_iter().filter(|peer| **peer != *own).collect()
    }
}

/// State of the HTTP handlers of one `callers-N` thread.
#[derive(Clone)]
pub struct App {
    /// State shared by all threads.
    pub shared: Arc<Shared>,
    /// HTTP client of this thread for calls to sidecars.
    pub caller: Caller,
}

/// Runs an entry until it receives a termination signal and the requests in flight are finished.
pub fn run(settings: Entry) -> Result<()> {
    timeline::init(&settings.process.name, &settings.process.log_level);
    metric::init()?;
    let termination = util::Termination::watch()?;
    let (kernel_ring, kernel_commands) = ring::pair("kernel", RING);
    let (log_ring, log_commands) = ring::pair("log", RING);
    let (claims_ring, claims_commands) = ring::pair("claims", RING);
    let (parse_ring, parse_commands) = ring::pair("parse", RING);
    let (config_out, config) = watch::channel(Arc::new(Config::default()));
    let (vms_out, vms) = watch::channel(Arc::new(Vec::new()));
    let (orders_out, orders) = watch::channel(Arc::default());
    let (stop, stopping) = watch::channel(false);
    let (close, closed) = watch::channel(false);
    let body_budget = Budget::new(settings.body_budget_bytes);
    let shared = Arc::new(Shared {
        settings,
        kernel: kernel_ring,
        log: log_ring,
        claims: claims_ring,
        parse: parse_ring,
        config,
        vms,
        orders,
        exchange: Mutex::default(),
        body_budget,
        stopping,
    });

    let settings = &shared.settings;
    let log_client = plugin::find::<LogPlugin>(settings.platform.log, |plugin| plugin.name);
    let vms_client = plugin::find::<VmListPlugin>(settings.platform.vms, |plugin| plugin.name);
    let (Some(log_client), Some(vms_client)) = (log_client, vms_client) else {
        return Err(eyre!("step=start: a platform plug-in is missing"));
    };
    let address = settings.platform.log_address.clone();
    let make_log = log_client.make;
    let make_vms = vms_client.make;

    util::duty("kernel", {
        let settings = settings.clone();
        move || kernel::run(settings, kernel_commands)
    })?;
    util::duty("log", {
        let (shared, address) = (shared.clone(), address.clone());
        move || async move { log::run(shared, make_log(&address), config_out, log_commands).await }
    })?;
    util::duty("claims", {
        let shared = shared.clone();
        move || async move { claims::run(shared, || make_log(&address), claims_commands).await }
    })?;
    util::duty("controller", {
        let (shared, address) = (shared.clone(), shared.settings.platform.log_address.clone());
        move || async move { controller::run(shared, make_log(&address), orders_out).await }
    })?;
    util::duty("members", {
        let shared = shared.clone();
        move || async move {
            let vms = make_vms(&shared.settings.platform.vms_address);
            tokio::join!(members::run(&shared, vms, vms_out), limits::run(&shared));
        }
    })?;
    util::duty("parse", move || body::run(parse_commands))?;
    let mut serving = vec![util::duty("peer", {
        let (shared, closed) = (shared.clone(), closed.clone());
        move || peer::serve(shared, closed)
    })?];
    for number in 0..settings.threads {
        let listener = util::with_runtime(async { Ok(http::listen(settings.listen)?.into_std()?) })?;
        let (shared, closed) = (shared.clone(), closed.clone());
        serving.push(util::duty(&format!("callers-{number}"), move || async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
            let app = App { shared, caller: http::caller_h2() };
            let patience = app.shared.settings.slow_caller;
            http::serve(listener, callers::router(app), patience, closed).await;
        })?);
    }
    event!("start", role = "entry", listen = %settings.listen);

    termination.wait();
    event!("stop", role = "entry", reason = "signal");
    let _ = stop.send(true);
    std::thread::sleep(LAME_DUCK);
    let _ = close.send(true);
    for thread in serving {
        let _ = thread.join();
    }
    event!("stopped", role = "entry");
    Ok(())
}
