//! This entry's copy of the store's topics, and its exchange with other entries.
//!
//! Each call to the store costs money, so most entries do not read it. The leader does, and its followers ask it for
//! changes. Each response states the age of the data at the time of the response. The requester counts that age from
//! the moment of its *request*, so that no delay on the network and no suspended process at either end makes data
//! look newer than they are.

use std::cell::RefCell;
use std::time::Duration;

use coord::delta::{Delta, Version, VersionCache};
use coord::offset::Formatted;
use coord::quota::Bucket;
use coord::time::Moment;
use tokio::sync::Notify;

use super::delegates::Delegates;
use super::ingest::{ApplyOutcome, Source};
use super::packed::Packed;
use super::peer_protocol::{SyncRequest, SyncResponse};
use super::state::Gateway;
use super::topic::TopicState;
use super::{ingest, now, store_reader};
use crate::warn_event;

/// Largest delta with a configuration that is sent to another entry, in bytes: a quarter of the largest message. An
/// entry that needs a larger one reads the configuration from the store.
const MAX_DELTA_BYTES: usize = 128 * 1_024;
/// Share of this entry's link that configurations may take; configurations beyond it are deferred to the next
/// request. On a link of 20 Mbit/s, the slowest in use, 625 KB may be sent at once and delay heartbeats by 250 ms;
/// followers time out after 450 ms.
const CONFIGURATION_LINK_SHARE: f64 = 0.25;
/// Bytes per second in 1 Mbit/s.
const BYTES_PER_S_PER_MBPS: f64 = 125_000.0;

/// Interval at which a delegated read checks whether both topics were read.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// This entry's copy of the store's topics.
pub struct StoreView {
    /// State of the copy of the configuration's topic.
    pub configuration: TopicState,
    /// State of the copy of the topic with the replicas' records.
    pub replicas: TopicState,
    /// The newest configurations in their encoded form, from which deltas are made.
    configurations: RefCell<VersionCache>,
    /// Compressed records of all replicas and the offset that they are valid for. Entries that start at the same time
    /// request the same ones.
    replica_snapshot: RefCell<Option<(u64, Packed)>>,
    /// Budget of bytes for sending configurations over this entry's link, or `None` if the link's bandwidth is not
    /// configured.
    link_budget: Option<RefCell<Bucket>>,
    /// Reads that were delegated to followers.
    pub delegates: Delegates,
    /// Notified when the decision whether this process must read the store may have changed.
    read_decision_changed: Notify,
}

impl StoreView {
    /// Creates an empty copy. `link_mbps` is the bandwidth of this entry's link in Mbit/s, 0 if it is not configured.
    pub fn new(link_mbps: f64) -> Self {
        let budget = || RefCell::new(Bucket::new(link_mbps * BYTES_PER_S_PER_MBPS * CONFIGURATION_LINK_SHARE, now()));
        Self {
            configuration: TopicState::default(),
            replicas: TopicState::default(),
            configurations: RefCell::default(),
            replica_snapshot: RefCell::default(),
            link_budget: (link_mbps > 0.0).then(budget),
            delegates: Delegates::default(),
            read_decision_changed: Notify::new(),
        }
    }

    /// Returns whether both topics were verified at least once.
    pub fn is_complete(&self) -> bool {
        self.configuration.age().is_some() && self.replicas.age().is_some()
    }

    /// Waits until both topics were verified at least once, or until `deadline`.
    pub async fn wait_until_complete(&self, deadline: Moment) {
        if self.is_complete() || deadline <= now() {
            return;
        }
        let both = async {
            tokio::join!(self.configuration.wait_for_first_verification(), self.replicas.wait_for_first_verification())
        };
        // The caller handles an incomplete copy, so a timeout needs no error.
        let _ = tokio::time::timeout(deadline.since(now()), both).await;
    }

    /// Stores an encoded configuration for sending it to other entries.
    pub fn cache_configuration(&self, document: Version) {
        self.configurations.borrow_mut().insert(document);
    }

    /// Decides how an entry that has all records below the offset `next` gets the newest configuration.
    fn delivery(&self, next: Option<u64>) -> Delivery {
        match self.configurations.borrow_mut().encode_newest(next) {
            Ok(None) => Delivery::UpToDate,
            Ok(Some(delta)) if delta.compressed.len() > MAX_DELTA_BYTES => Delivery::TooLarge,
            Ok(Some(delta)) if !self.take_link_budget(delta.compressed.len()) => Delivery::Deferred,
            Ok(Some(delta)) => Delivery::Delta(delta),
            Err(error) => {
                warn_event!("configuration", error = %error);
                Delivery::TooLarge
            }
        }
    }

    /// Takes `bytes` out of the link budget. Returns whether they may be sent now.
    fn take_link_budget(&self, bytes: usize) -> bool {
        self.link_budget.as_ref().is_none_or(|budget| budget.borrow_mut().try_take(bytes as f64, now()).is_ok())
    }

    /// Decodes the configuration in a delta from another entry. Returns `None` and logs the error if that fails.
    fn open_delta(&self, delta: &Delta) -> Option<Version> {
        match self.configurations.borrow().decode(delta) {
            Ok(document) => Some(document),
            Err(error) => {
                warn_event!("configuration", offset = %Formatted(delta.offset), error = %error);
                None
            }
        }
    }

    /// Makes this process read both topics now, on behalf of the leader.
    pub fn request_read(&self) {
        self.configuration.set_read_requested(true);
        self.replicas.set_read_requested(true);
        self.wake_readers();
    }

    /// Waits until both topics were verified by reads that were sent at `since` or later.
    pub async fn wait_for_read_since(&self, since: Moment) {
        while !(self.configuration.is_verified_since(since) && self.replicas.is_verified_since(since)) {
            tokio::time::sleep(READ_POLL_INTERVAL).await;
        }
    }

    /// Makes the tasks that read the store decide again whether this process must read it.
    pub fn wake_readers(&self) {
        self.read_decision_changed.notify_waiters();
    }

    /// Sleeps for `duration`, or until [`StoreView::wake_readers`] is called.
    pub async fn sleep_until_woken(&self, duration: Duration) {
        tokio::select! {
            () = tokio::time::sleep(duration) => {}
            () = self.read_decision_changed.notified() => {}
        }
    }

    /// Waits until this process must read `topic` itself: because no other entry reads it for this one, or because
    /// the copy from the other entry is older than `max_age`. Before the first copy, waits until `first_read_by` at
    /// most.
    pub async fn wait_until_read_due(
        &self,
        topic: &TopicState,
        max_age: Duration,
        first_read_by: Moment,
        has_reader: impl Fn() -> bool,
    ) {
        loop {
            let time_until_due = match topic.age() {
                None if !topic.is_behind() => first_read_by.since(now()),
                _ => topic.time_until_stale(max_age),
            };
            if !has_reader() || time_until_due.is_zero() {
                return;
            }
            self.sleep_until_woken(time_until_due).await;
        }
    }
}

/// How an entry that requests changes gets the newest configuration.
enum Delivery {
    /// The requester already has the newest configuration.
    UpToDate,
    /// The response carries the configuration in this delta.
    Delta(Delta),
    /// The link budget is used up: the requester keeps its configuration and asks again.
    Deferred,
    /// The requester must read the configuration from the store: its delta is too large, or could not be made.
    TooLarge,
}

/// Builds a request for changes. The request states how far this entry's copy reaches.
pub fn sync_request(gateway: &Gateway, number: u64) -> SyncRequest {
    let view = &gateway.store_view;
    SyncRequest {
        number,
        configuration_offset: view.configuration.next_offset(),
        replicas_offset: view.replicas.next_offset(),
        successors_revision: gateway.membership.successors_revision(),
    }
}

/// Builds the response to a request for changes.
pub fn sync_response(gateway: &Gateway, request: SyncRequest) -> SyncResponse {
    let SyncRequest { configuration_offset, replicas_offset, .. } = request;
    let view = &gateway.store_view;
    let (copy_state, delta, is_too_large) = match view.delivery(configuration_offset) {
        Delivery::UpToDate => (view.configuration.copy_state(), None, false),
        Delivery::Delta(delta) => (view.configuration.copy_state(), Some(delta), false),
        Delivery::Deferred => (None, None, false),
        Delivery::TooLarge => (view.configuration.copy_state(), None, true),
    };
    // This entry does not know of removals before its own first snapshot: a requester whose copy is older needs a
    // snapshot.
    let is_snapshot = replicas_offset.is_some_and(|from| !view.replicas.has_seen_changes_from(from));
    let replica_updates = pack_replica_updates(gateway, replicas_offset.filter(|_| !is_snapshot));
    SyncResponse {
        configuration: copy_state,
        delta,
        is_too_large,
        // After a failed compression the response must not claim that there are no changes.
        replicas: view.replicas.copy_state().filter(|_| replica_updates.is_some()),
        evacuations: gateway.evacuations.borrow().snapshot().clone(),
        replica_updates: replica_updates.unwrap_or_default(),
        is_snapshot,
        grace_time_left: gateway.roster.borrow().grace_left(now()),
        entry_count: gateway.entry_count(),
        successors: gateway.membership.successors_if_changed(request.successors_revision),
    }
}

/// Returns the compressed replica records that changed at the offset `from` or later, or those of all replicas if
/// `from` is `None`. Returns `None` if the compression fails.
fn pack_replica_updates(gateway: &Gateway, from: Option<u64>) -> Option<Packed> {
    let roster = gateway.roster.borrow();
    let view = &gateway.store_view;
    let compress = || Packed::new(&roster.updates_since(from.unwrap_or(0), now()));
    let snapshot_offset = view.replicas.next_offset().filter(|_| from.is_none());
    let cached = view
        .replica_snapshot
        .borrow()
        .as_ref()
        .filter(|(offset, _)| Some(*offset) == snapshot_offset)
        .map(|(_, snapshot)| snapshot.clone());
    if let Some(cached) = cached {
        return Some(cached);
    }
    match compress() {
        Ok(compressed) => {
            if let Some(offset) = snapshot_offset {
                *view.replica_snapshot.borrow_mut() = Some((offset, compressed.clone()));
            }
            Some(compressed)
        }
        Err(error) => {
            warn_event!("replicas", error = %format!("{error:#}"));
            None
        }
    }
}

/// Applies the response to a request for changes that was sent at `requested_at`.
pub fn apply_sync_response(gateway: &Gateway, response: SyncResponse, requested_at: Moment) {
    gateway.raise_entry_count(response.entry_count);
    let view = &gateway.store_view;
    let copy_states = [response.configuration, response.replicas];
    copy_states.into_iter().flatten().for_each(|copy_state| gateway.observe_era(copy_state.next_offset));
    ingest::apply_evacuation_snapshot(gateway, response.evacuations);
    let apply = |document| ingest::apply_configuration(gateway, document) != ApplyOutcome::Undecodable;
    let is_applied = response.delta.is_none_or(|delta| view.open_delta(&delta).is_some_and(apply));
    match response.configuration {
        Some(copy_state) if is_applied && !response.is_too_large => {
            view.configuration.advance_to(copy_state.next_offset);
            view.configuration.mark_verified(requested_at - copy_state.age);
        }
        Some(_) => {
            view.configuration.mark_behind();
            view.wake_readers();
        }
        None => {}
    }
    let replica_updates = match response.replica_updates.decompress() {
        Ok(replica_updates) => replica_updates,
        Err(error) => {
            warn_event!("replicas", error = %format!("{error:#}"));
            return;
        }
    };
    if let Some(copy_state) = response.replicas {
        // An entry with a fresh copy sees a missing record as removed, even if the other entry was cut off from the
        // store for long. Only an entry with a stale copy takes over the other one's grace period.
        if !store_reader::are_replicas_fresh(gateway) {
            gateway.roster.borrow_mut().record_store_recovery(now(), response.grace_time_left);
        }
        if response.is_snapshot {
            ingest::apply_snapshot(gateway, copy_state.next_offset, replica_updates, Source::Peer);
        } else {
            ingest::apply_updates(gateway, replica_updates, Source::Peer);
        }
        ingest::expire_records(gateway, Source::Peer);
        view.replicas.advance_to(copy_state.next_offset);
        view.replicas.mark_verified(requested_at - copy_state.age);
    }
}
