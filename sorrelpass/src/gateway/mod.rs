//! Entry that forwards requests to replicas directly, without a sidecar and without a disk.
//!
//! The whole process runs on one thread: on a fifth of a core, waking a thread for each activity takes more CPU time
//! than the activity itself (see `docs/design/08-platform.md`). Each activity is a task of its own; the tasks share
//! [`state::Gateway`].

mod admission;
mod backoff;
mod buffered;
mod call;
mod caller_stream;
mod delegates;
mod draining;
mod fingerprint;
mod follower;
mod health;
mod ingest;
mod leader;
mod limits;
mod membership;
mod packed;
mod peer_protocol;
mod peers;
pub mod quarantine;
mod relay;
mod relay_buffers;
mod replica_picker;
mod reservation;
mod response;
mod server;
mod slowdown;
mod sse;
mod state;
mod store_reader;
mod store_view;
mod topic;
mod topic_reader;
mod upstream;

use std::path::PathBuf;
use std::rc::Rc;

use eyre::{Result, WrapErr};
use tokio::signal::unix::{Signal, SignalKind, signal};

use self::state::Gateway;
use crate::config::{self, Settings};
use crate::{event, http, metric, timeline, util, warn_event};

/// Runs the entry until SIGTERM or SIGINT, then until the requests in flight have ended or the grace period is over.
pub fn run(settings: config::Gateway, file: PathBuf) -> Result<()> {
    timeline::init(&settings.process.name, &settings.process.log_level);
    metric::init()?;
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().wrap_err("step=start-runtime")?;
    local.block_on(&runtime, serve(settings, file))
}

async fn serve(settings: config::Gateway, file: PathBuf) -> Result<()> {
    // The handlers are installed before the process accepts connections: from then on SIGTERM shuts it down
    // gracefully, and SIGHUP does not end it.
    let mut terminate = signal(SignalKind::terminate()).wrap_err("step=watch-signals")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("step=watch-signals")?;
    let hangup = signal(SignalKind::hangup()).wrap_err("step=watch-signals")?;
    let listener = http::listen_for_callers(settings.listen)?;
    let ready_listener = http::listen_for_callers(settings.ready_listen)?;
    event!("start", role = "gateway", sources = util::SOURCES, machine = std::env::consts::ARCH, debug = cfg!(debug_assertions), listen = %settings.listen, store = %settings.store, policy = ?settings.policy);
    let gateway = Rc::new(Gateway::new(settings));
    tokio::task::spawn_local(store_reader::configuration::poll(gateway.clone()));
    tokio::task::spawn_local(store_reader::replicas::poll(gateway.clone()));
    tokio::task::spawn_local(health::run(gateway.clone(), ready_listener));
    tokio::task::spawn_local(gateway.admission.clone().run());
    tokio::task::spawn_local(gateway.admission.clone().watch_for_suspension());
    tokio::task::spawn_local(reload(gateway.clone(), file, hangup));
    tokio::task::spawn_local(limits::expire_cold_limits(gateway.clone()));
    tokio::task::spawn_local(slowdown::run(gateway.clone()));
    tokio::task::spawn_local(quarantine::store::run(gateway.clone()));
    tokio::task::spawn_local(quarantine::run_reviews(gateway.clone()));
    if let Some(own_address) = gateway.settings.peer_listen {
        let peer_listener = http::listen(own_address)?;
        tokio::task::spawn_local(leader::run(gateway.clone(), peer_listener));
        tokio::task::spawn_local(follower::run(gateway.clone(), own_address));
        tokio::task::spawn_local(membership::announce_followers(gateway.clone()));
        tokio::task::spawn_local(membership::reannounce(gateway.clone(), own_address));
    }
    tokio::task::spawn_local(server::run(gateway.clone(), listener));

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    event!("stop", reason = "signal", in_flight = gateway.in_flight());
    server::shut_down(&gateway).await;
    event!("stopped", in_flight = gateway.in_flight());
    Ok(())
}

/// Reloads the settings file at each SIGHUP and applies its bounds. Names and addresses change only at the next
/// start; an invalid file changes nothing.
async fn reload(gateway: Rc<Gateway>, file: PathBuf, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match Settings::load(&file) {
            Ok(Settings::Gateway(settings)) => {
                gateway.set_bounds(settings.bounds);
                event!("reload", outcome = "bounds in force", bounds = ?settings.bounds);
            }
            Ok(_) => warn_event!("reload", outcome = "refused: settings of another role"),
            Err(error) => warn_event!("reload", outcome = "refused", error = %format!("{error:#}")),
        }
    }
}

/// Returns the current monotonic time.
fn now() -> coord::time::Moment {
    util::now()
}
