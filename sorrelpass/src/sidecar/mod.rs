//! `sorrelpass sidecar`: the only process that sends work to its endpoint.
//!
//! Each thread has one task: `kernel` runs the event loop that owns the scheduler, `work` serves entries
//! and calls the endpoint, and `control` follows the configuration and checks the endpoint's health.

mod control;
mod engine;
mod job;
mod kernel;
mod order;
pub mod plain;
mod span;
mod transcript;
mod work;

use std::sync::Arc;

use eyre::Result;
use tokio::sync::watch;

use crate::config::Sidecar;
use crate::{event, http, metric, ring, timeline, util};

/// Capacity of the event loop's command queue, in commands.
const KERNEL_RING: usize = 4_096;

/// State shared by the threads of a sidecar. It holds no state that decisions are based on.
pub struct Shared {
    /// Settings of this sidecar.
    pub settings: Sidecar,
    /// Command queue of the event loop.
    pub kernel: ring::Sender<kernel::Command>,
}

/// Runs a sidecar until it receives a termination signal and its jobs are finished.
pub fn run(settings: Sidecar) -> Result<()> {
    timeline::init(&settings.process.name, &settings.process.log_level);
    metric::init()?;
    let termination = util::Termination::watch()?;
    let listener_address = settings.listen;
    let (commands, receiver) = ring::pair("kernel", KERNEL_RING);
    let shared = Arc::new(Shared { settings, kernel: commands });
    let (stop, stopped) = watch::channel(false);
    let (lapsed, lapsed_spans) = tokio::sync::mpsc::unbounded_channel();

    let kernel = util::duty("kernel", {
        let settings = shared.settings.clone();
        move || kernel::run(settings, receiver, lapsed)
    })?;
    let std_listener = bind(listener_address)?;
    let work = util::duty("work", {
        let shared = shared.clone();
        let stopped = stopped.clone();
        move || async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(std_listener) else { return };
            let patience = shared.settings.slow_entry;
            http::serve(listener, work::router(shared), patience, stopped).await;
        }
    })?;
    let control = util::duty("control", {
        let shared = shared.clone();
        move || control::run(shared, lapsed_spans, stopped)
    })?;
    event!("start", role = "sidecar", endpoint = %shared.settings.endpoint, listen = %listener_address);

    termination.wait();
    event!("stop", role = "sidecar", reason = "signal");
    close(shared, &stop)?;
    for thread in [work, control, kernel] {
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
        let (done, idle) = tokio::sync::oneshot::channel();
        let _ = shared.kernel.send(kernel::Command::Leave { idle: done }).await;
        let _ = idle.await;
        Ok(())
    })?;
    let _ = stop.send(true);
    Ok(())
}
