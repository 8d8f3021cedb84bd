//! What a sidecar learns: the configuration's word on its endpoint, and the endpoint's health.

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

/// Failed health checks in a row after which the endpoint counts as dead.
const MOST_MISSES: u32 = 3;
/// How long an entry may hold a question for news.
const BRIEF_WAIT: Duration = Duration::from_secs(5);
/// Pause after an entry that could not be asked.
const BRIEF_RETRY: Duration = Duration::from_millis(300);
/// Entries asked for news: these are assigned by rendezvous.
const ASSIGNED: usize = 2;

/// Runs until told to stop.
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
            // One that the engine does not answer for must not hold up the others.
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

/// Follows the configuration through the assigned entries, one at a time.
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
                // An assigned entry may be gone for good: the settings' ones are asked too.
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

/// Checks the endpoint's health.
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
