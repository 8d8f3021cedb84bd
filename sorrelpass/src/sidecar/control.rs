//! The `control` thread of a sidecar: follows the configuration of its endpoint, and checks the endpoint's
//! health.

use std::sync::Arc;
use std::time::Duration;

use coord::name::{Attempt, Name};
use tokio::sync::{mpsc, watch};

use super::kernel::Command;
use super::order::Orders;
use super::{Shared, span};
use crate::config::Kind;
use crate::entry::peer::{self, Brief, Known};
use crate::{event, http, util, warn_event};

/// Number of consecutive failed health checks after which the endpoint counts as unhealthy.
const MOST_MISSES: u32 = 3;
/// Longest time that an entry may hold a request until the configuration changes.
const BRIEF_WAIT: Duration = Duration::from_secs(5);
/// Delay after a failed request to an entry, and longest wait for a change while the endpoint does not have
/// its ordered load.
const BRIEF_RETRY: Duration = Duration::from_millis(300);
/// Number of entries that a sidecar follows, selected by rendezvous hashing.
const ASSIGNED: usize = 2;

/// Runs the `control` thread until `stopped` is true.
pub async fn run(
    shared: Arc<Shared>,
    mut lapsed: mpsc::UnboundedReceiver<Attempt>,
    mut stopped: watch::Receiver<bool>,
) {
    let reconcile = async {
        if shared.settings.kind == Kind::Engine {
            span::reconcile(&shared).await;
        }
        while let Some(span) = lapsed.recv().await {
            // Spans are freed concurrently, so that one that the engine does not free does not delay the
            // others.
            let shared = shared.clone();
            tokio::task::spawn_local(async move { span::free_on_engine(&shared, span).await });
        }
    };
    tokio::select! {
        () = reconcile => {}
        () = follow(&shared) => {}
        () = check(&shared) => {}
        _ = stopped.wait_for(|stop| *stop) => {}
    }
}

/// Follows the endpoint's configuration through the assigned entries, one at a time.
async fn follow(shared: &Shared) {
    let hash = xxhash_rust::xxh3::xxh3_64(shared.settings.endpoint.as_bytes());
    let mut entries = shared.settings.entries.clone();
    let mut orders = Orders::new();
    let endpoint = shared.settings.endpoint.clone();
    let mut known = Known { endpoint, revision: 0, drained: false, order: None, entries: 0 };
    let mut turn = 0;
    loop {
        let assigned = coord::pick::chosen(hash, entries.iter(), ASSIGNED);
        let Some(entry) = assigned.get(turn % assigned.len().max(1)) else {
            tokio::time::sleep(util::jitter(BRIEF_RETRY)).await;
            continue;
        };
        let settled = shared.settings.kind == Kind::Plain || orders.converge(shared).await;
        let wait = if settled { BRIEF_WAIT } else { BRIEF_RETRY };
        match peer::brief(entry, known.clone(), wait).await {
            Ok(brief) => {
                apply(shared, entry, &brief, &mut known).await;
                if let Some(order) = brief.order {
                    orders.take(order);
                }
                if let Some(told) = brief.entries.filter(|told| !told.is_empty()) {
                    known.entries = peer::digest(&told);
                    entries = told;
                }
            }
            Err(error) => {
                warn_event!("brief-failed", peer = %entry, reason = %error);
                turn += 1;
                // The assigned entries may be gone for good, so those in the settings are used again.
                if turn.is_multiple_of(2 * ASSIGNED) {
                    entries = shared.settings.entries.clone();
                    known.entries = 0;
                }
                tokio::time::sleep(util::jitter(BRIEF_RETRY)).await;
            }
        }
    }
}

async fn apply(shared: &Shared, entry: &Name, brief: &Brief, known: &mut Known) {
    known.order = brief.order.as_ref().map(|order| order.offset);
    if brief.revision <= known.revision {
        return;
    }
    known.revision = brief.revision;
    known.drained = brief.drained;
    crate::metric::revision(brief.revision);
    event!("config", peer = %entry, revision = brief.revision, drained = brief.drained);
    let _ = shared.kernel.send(Command::Drain(brief.drained)).await;
}

/// Checks the endpoint's health periodically.
async fn check(shared: &Shared) {
    let caller = http::caller_h1();
    let mut misses = 0;
    let mut healthy = true;
    loop {
        tokio::time::sleep(util::jitter(shared.settings.probe)).await;
        let probe = http::exchange(&caller, &shared.settings.endpoint_address, "GET", "/health", bytes::Bytes::new());
        let alive = matches!(tokio::time::timeout(shared.settings.probe, probe).await, Ok(Ok((200, _))));
        misses = if alive { 0 } else { misses + 1 };
        let now_healthy = misses < MOST_MISSES;
        if now_healthy != healthy {
            healthy = now_healthy;
            let _ = shared.kernel.send(Command::Health(healthy)).await;
        }
    }
}
