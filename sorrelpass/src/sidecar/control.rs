//! The `control` thread of a sidecar: follows the configuration of its endpoint, and checks the endpoint's
//! health.

use std::sync::Arc;
use std::time::Duration;

use coord::name::{Attempt, Name};
use tokio::sync::{mpsc, watch};

use super::event_loop::Command;
use super::order::OrderSender;
use super::{Shared, span};
use crate::config::EndpointKind;
use crate::entry::peer::{self, EndpointConfig, KnownConfig};
use crate::{event, http, util, warn_event};

/// Number of consecutive failed health checks after which the endpoint counts as unhealthy.
const MAX_FAILED_PROBES: u32 = 3;
/// Maximum time that an entry may hold a request until the configuration changes.
const CONFIG_WAIT: Duration = Duration::from_secs(5);
/// Delay after a failed request to an entry, and maximum wait for a change while the endpoint does not have
/// its ordered load.
const CONFIG_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Number of entries that a sidecar follows, selected by rendezvous hashing.
const ASSIGNED_ENTRIES: usize = 2;

/// Runs the `control` thread until `stopped` is true.
pub async fn run(
    shared: Arc<Shared>,
    mut expired_spans: mpsc::UnboundedReceiver<Attempt>,
    mut stopped: watch::Receiver<bool>,
) {
    let reconcile = async {
        if shared.settings.kind == EndpointKind::Engine {
            span::reconcile(&shared).await;
        }
        while let Some(span) = expired_spans.recv().await {
            // Spans are freed concurrently, so that one that the engine does not free does not delay the
            // others.
            let shared = shared.clone();
            tokio::task::spawn_local(async move { span::free_on_engine(&shared, span).await });
        }
    };
    tokio::select! {
        () = reconcile => {}
        () = follow_config(&shared) => {}
        () = check_health(&shared) => {}
        _ = stopped.wait_for(|stop| *stop) => {}
    }
}

/// Follows the endpoint's configuration through the assigned entries, one at a time.
async fn follow_config(shared: &Shared) {
    let hash = xxhash_rust::xxh3::xxh3_64(shared.settings.endpoint.as_bytes());
    let mut entries = shared.settings.entries.clone();
    let mut orders = OrderSender::new();
    let endpoint = shared.settings.endpoint.clone();
    let mut known_config = KnownConfig { endpoint, revision: 0, drained: false, order: None, entries: 0 };
    let mut failures = 0;
    loop {
        let assigned = coord::pick::highest_ranked(hash, entries.iter(), ASSIGNED_ENTRIES);
        let Some(entry) = assigned.get(failures % assigned.len().max(1)) else {
            tokio::time::sleep(util::jitter(CONFIG_RETRY_DELAY)).await;
            continue;
        };
        let has_ordered_load = shared.settings.kind == EndpointKind::Plain || orders.reconcile(shared).await;
        let wait = if has_ordered_load { CONFIG_WAIT } else { CONFIG_RETRY_DELAY };
        match peer::fetch_endpoint_config(entry, known_config.clone(), wait).await {
            Ok(endpoint_config) => {
                apply(shared, entry, &endpoint_config, &mut known_config).await;
                if let Some(order) = endpoint_config.order {
                    orders.store(order);
                }
                if let Some(addresses) = endpoint_config.entries.filter(|addresses| !addresses.is_empty()) {
                    known_config.entries = peer::entries_digest(&addresses);
                    entries = addresses;
                }
            }
            Err(error) => {
                warn_event!("endpoint-config-failed", peer = %entry, reason = %error);
                failures += 1;
                // The assigned entries may be gone for good, so those in the settings are used again.
                if failures.is_multiple_of(2 * ASSIGNED_ENTRIES) {
                    entries = shared.settings.entries.clone();
                    known_config.entries = 0;
                }
                tokio::time::sleep(util::jitter(CONFIG_RETRY_DELAY)).await;
            }
        }
    }
}

async fn apply(shared: &Shared, entry: &Name, endpoint_config: &EndpointConfig, known_config: &mut KnownConfig) {
    known_config.order = endpoint_config.order.as_ref().map(|order| order.offset);
    if endpoint_config.revision <= known_config.revision {
        return;
    }
    known_config.revision = endpoint_config.revision;
    known_config.drained = endpoint_config.drained;
    crate::metric::set_config_revision(endpoint_config.revision);
    event!("config", peer = %entry, revision = endpoint_config.revision, drained = endpoint_config.drained);
    let _ = shared.event_loop.send(Command::SetDrained(endpoint_config.drained)).await;
}

/// Checks the endpoint's health periodically.
async fn check_health(shared: &Shared) {
    let client = http::client_h1();
    let mut failed_probes = 0;
    let mut is_healthy = true;
    loop {
        tokio::time::sleep(util::jitter(shared.settings.probe_interval)).await;
        let probe = http::exchange(&client, &shared.settings.endpoint_address, "GET", "/health", bytes::Bytes::new());
        let is_alive = matches!(tokio::time::timeout(shared.settings.probe_interval, probe).await, Ok(Ok((200, _))));
        failed_probes = if is_alive { 0 } else { failed_probes + 1 };
        let is_healthy_now = failed_probes < MAX_FAILED_PROBES;
        if is_healthy_now != is_healthy {
            is_healthy = is_healthy_now;
            let _ = shared.event_loop.send(Command::SetHealthy(is_healthy)).await;
        }
    }
}
