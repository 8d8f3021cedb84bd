//! `sorrelpass entry`: callers' API, operators' API, choice of endpoint, deadline, retry, answer.
//!
//! Threads by duty: `callers-N` serve HTTP and carry the answers, `kernel` owns
//! the decisions, `log` replays configuration and appends plans, `claims` binds
//! keys that may run once, `controller` places loads while it holds its domain's lease, `members` reads the VM list, `peer` answers other
//! processes of the system, `parse` reads large bodies.

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

/// Commands that may wait for a thread.
const RING: usize = 4_096;
/// How long `/readyz` says no before the listener closes, so that the balancer takes notice.
const LAME_DUCK: Duration = Duration::from_millis(500);

/// What the threads of an entry share: settings, rings and published views; no decision state.
pub struct Shared {
    /// The settings.
    pub settings: Entry,
    /// Commands to the kernel.
    pub kernel: ring::Sender<kernel::Command>,
    /// Commands to the log thread.
    pub log: ring::Sender<log::Command>,
    /// Commands to the claims thread.
    pub claims: ring::Sender<claims::Question>,
    /// Large bodies to be read.
    pub parse: ring::Sender<body::Parse>,
    /// The configuration in force here.
    pub config: watch::Receiver<Arc<Config>>,
    /// The VM list as last read.
    pub vms: watch::Receiver<Arc<Vec<Vm>>>,
    /// Orders that count, by endpoint.
    pub orders: watch::Receiver<Arc<HashMap<Name, Order>>>,
    /// Demand on the limits that this entry owns.
    pub exchange: Mutex<limits::Exchange>,
    /// Bytes of bodies that may still be held.
    pub body_budget: Budget,
    /// Whether this entry has been told to stop.
    pub stopping: watch::Receiver<bool>,
}

impl Shared {
    /// Asks the kernel and waits for its answer.
    pub async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> kernel::Command) -> Result<T> {
        let (reply, answer) = oneshot::channel();
        self.kernel.send(command(reply)).await.map_err(|_| eyre!("step=ask-kernel: the kernel has stopped"))?;
        answer.await.map_err(|_| eyre!("step=ask-kernel: the kernel has stopped"))
    }

    /// Peer addresses of the other entries: from the VM list, else from the settings.
    pub fn peers(&self) -> Vec<Name> {
        let own = self.settings.peer_listen.to_string();
        let listed = members::entries(&self.vms.borrow());
        let all = if listed.is_empty() { self.settings.peers.clone() } else { listed };
        all.into_iter().filter(|peer| **peer != *own).collect()
    }
}

/// One caller thread's view: what is shared, and its own client.
#[derive(Clone)]
pub struct App {
    /// What all threads share.
    pub shared: Arc<Shared>,
    /// This thread's client to sidecars.
    pub caller: Caller,
}

/// Runs an entry until it is told to stop and no request is in flight.
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
