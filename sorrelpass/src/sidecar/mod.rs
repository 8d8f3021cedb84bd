//! `sorrelpass sidecar`: the only process that sends work to its endpoint.
//!
//! Each thread has one task: `kernel` runs the event loop that owns the scheduler, `work` serves entries
//! and calls the endpoint, and `control` follows the configuration and checks the endpoint's health.

mod control;
mod engine;
mod event_loop;
mod intake;
mod job;
mod order;
pub mod plain;
mod server;
mod span;
mod transcript;

use std::sync::Arc;

use eyre::Result;
use tokio::sync::watch;

use crate::config::Sidecar;
use crate::holder::Holders;
use crate::{channel, connection, event, http, metric, timeline, util};

/// Capacity of the event loop's command channel, in commands.
const EVENT_LOOP_CHANNEL_CAPACITY: usize = 4_096;

/// State shared by the threads of a sidecar. It holds no state that decisions are based on.
pub struct Shared {
    /// Settings of this sidecar.
    pub settings: Sidecar,
    /// Command channel of the event loop.
    pub event_loop: channel::Sender<event_loop::Command>,
    /// Memory for messages and request bodies.
    pub bodies: Holders,
}

/// Runs a sidecar until it receives a shutdown signal and its jobs are finished.
pub fn run(settings: Sidecar) -> Result<()> {
    timeline::init(&settings.process.name, &settings.process.log_level);
    metric::init()?;
    let shutdown_signals = util::ShutdownSignals::register()?;
    let listener_address = settings.listen;
    let (command_sender, command_receiver) = channel::bounded("kernel", EVENT_LOOP_CHANNEL_CAPACITY);
    let bodies = intake::new_pool(&settings);
    let shared = Arc::new(Shared { settings, event_loop: command_sender, bodies });
    let (stop, stopped) = watch::channel(false);
    let (expired_spans, expired_span_receiver) = tokio::sync::mpsc::unbounded_channel();

    let event_loop = util::spawn_thread("kernel", {
        let settings = shared.settings.clone();
        move || event_loop::run(settings, command_receiver, expired_spans)
    })?;
    let std_listener = bind(listener_address)?;
    let server = util::spawn_thread("work", {
        let shared = shared.clone();
        let stopped = stopped.clone();
        move || async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(std_listener) else { return };
            let max_connections = connection::max_connections(shared.settings.memory_bytes, None);
            let server = http::Server {
                clients: http::Clients::Processes,
                connections: connection::new_pool("connections", max_connections),
                write_timeout: shared.settings.entry_timeout,
                router: server::router(shared),
            };
            http::serve(listener, server, stopped).await;
        }
    })?;
    let control = util::spawn_thread("control", {
        let shared = shared.clone();
        move || control::run(shared, expired_span_receiver, stopped)
    })?;
    event!("start", role = "sidecar", endpoint = %shared.settings.endpoint, listen = %listener_address);

    shutdown_signals.wait();
    event!("stop", role = "sidecar", reason = "signal");
    close(shared, &stop)?;
    for thread in [server, control, event_loop] {
        let _ = thread.join();
    }
    event!("stopped", role = "sidecar");
    Ok(())
}

fn bind(address: std::net::SocketAddr) -> Result<std::net::TcpListener> {
    util::with_runtime(async { Ok(http::listen(address)?.into_std()?) })
}

/// Refuses new work, waits until no job waits or runs and no span is held, then stops the threads.
fn close(shared: Arc<Shared>, stop: &watch::Sender<bool>) -> Result<()> {
    util::with_runtime(async {
        let (sender, idle) = tokio::sync::oneshot::channel();
        let _ = shared.event_loop.send(event_loop::Command::Shutdown { idle: sender }).await;
        let _ = idle.await;
        Ok(())
    })?;
    let _ = stop.send(true);
    Ok(())
}
