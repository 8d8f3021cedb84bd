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
use coord::progress::Verification;
use coord::quota::Bucket;
use coord::roster;
use coord::time::Moment;
use eyre::Result;
use platform::{configuration, replica};
use tokio::sync::Notify;

use super::delegates::Delegates;
use super::ingest::{ApplyOutcome, Source};
use super::packed::PackedTransfer;
use super::peer_protocol::{CopyState, ReplicasCopy, SyncRequest, SyncResponse};
use super::state::Gateway;
use super::topic::{ReadPosition, TopicState};
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
    /// Position in the configuration's topic.
    pub configuration_position: ReadPosition,
    /// State of the copy of the topic with the replicas' records. The part of the topic that the copy covers is known to
    /// [`coord::roster::Roster`].
    pub replicas: TopicState,
    /// The newest configurations in their encoded form, from which deltas are made.
    configurations: RefCell<VersionCache>,
    /// Compressed records of all replicas and the revision of the roster that they are valid for. Entries that start at
    /// the same time request the same ones.
    replica_snapshot: RefCell<Option<(u64, PackedTransfer)>>,
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
            configuration: TopicState::new(configuration::TOPIC),
            configuration_position: ReadPosition::default(),
            replicas: TopicState::new(replica::TOPIC),
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

    /// Returns the state of the copy of the configuration in the form that is sent to other entries, or `None` before
    /// the first verification.
    fn configuration_state(&self) -> Option<CopyState> {
        Some(CopyState { next_offset: self.configuration_position.next_offset()?, age: self.configuration.age()? })
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
    SyncRequest {
        number,
        configuration_offset: gateway.store_view.configuration_position.next_offset(),
        replicas: gateway.roster.borrow().request(),
        successors_revision: gateway.membership.successors_revision(),
    }
}

/// Builds the response to a request for changes.
pub fn sync_response(gateway: &Gateway, request: &SyncRequest) -> SyncResponse {
    let view = &gateway.store_view;
    let (configuration, delta, is_too_large) = match view.delivery(request.configuration_offset) {
        Delivery::UpToDate => (view.configuration_state(), None, false),
        Delivery::Delta(delta) => (view.configuration_state(), Some(delta), false),
        Delivery::Deferred => (None, None, false),
        Delivery::TooLarge => (view.configuration_state(), None, true),
    };
    SyncResponse {
        configuration,
        delta,
        is_too_large,
        evacuations: gateway.evacuations.borrow().snapshot().clone(),
        replicas: replicas_copy(gateway, &request.replicas),
        grace_time_left: gateway.roster.borrow().grace_left(now()),
        entry_count: gateway.entry_count(),
        successors: gateway.membership.successors_if_changed(request.successors_revision),
    }
}

/// Returns the replica records that answer a request, or `None` if this entry's copy was never verified or the
/// compression fails.
fn replicas_copy(gateway: &Gateway, request: &roster::Request) -> Option<ReplicasCopy> {
    let age = gateway.store_view.replicas.age()?;
    match pack_transfer(gateway, request) {
        Ok(transfer) => Some(ReplicasCopy { transfer, age }),
        Err(error) => {
            warn_event!("replicas", error = %format!("{error:#}"));
            None
        }
    }
}

/// Returns the compressed transfer that answers a request.
fn pack_transfer(gateway: &Gateway, request: &roster::Request) -> Result<PackedTransfer> {
    let roster = gateway.roster.borrow();
    let is_cacheable = request.doubtful.is_empty() && roster.extent_for(request).is_snapshot();
    if !is_cacheable {
        return PackedTransfer::new(roster.transfer_for(request, now()));
    }
    let mut cached = gateway.store_view.replica_snapshot.borrow_mut();
    if let Some((_, snapshot)) = cached.as_ref().filter(|(revision, _)| *revision == roster.revision()) {
        return Ok(snapshot.clone());
    }
    let snapshot = PackedTransfer::new(roster.transfer_for(request, now()))?;
    *cached = Some((roster.revision(), snapshot.clone()));
    Ok(snapshot)
}

/// Applies the response to a request for changes that was sent at `requested_at`.
pub fn apply_sync_response(gateway: &Gateway, response: SyncResponse, requested_at: Moment) {
    gateway.raise_entry_count(response.entry_count);
    if let Some(copy_state) = response.configuration {
        gateway.observe_era(copy_state.next_offset);
    }
    if let Some(copy) = &response.replicas {
        gateway.observe_era(copy.transfer.extent.end());
    }
    ingest::apply_evacuation_snapshot(gateway, response.evacuations);
    let view = &gateway.store_view;
    let apply = |document| ingest::apply_configuration(gateway, document) != ApplyOutcome::Undecodable;
    let is_applied = response.delta.is_none_or(|delta| view.open_delta(&delta).is_some_and(apply));
    match response.configuration {
        Some(copy_state) if is_applied && !response.is_too_large => {
            view.configuration_position.advance_to(copy_state.next_offset);
            let verification = Verification::reported(requested_at, copy_state.age, copy_state.next_offset);
            view.configuration.mark_verified(verification, Source::Peer);
        }
        Some(_) => {
            view.configuration.mark_behind();
            view.wake_readers();
        }
        None => {}
    }
    if let Some(copy) = response.replicas
        && let Err(error) = apply_replicas_copy(gateway, copy, response.grace_time_left, requested_at)
    {
        warn_event!("replicas", error = %format!("{error:#}"));
    }
}

/// Applies the replica records in the response to a request for changes that was sent at `requested_at`.
fn apply_replicas_copy(
    gateway: &Gateway,
    copy: ReplicasCopy,
    grace_time_left: Duration,
    requested_at: Moment,
) -> Result<()> {
    let transfer = copy.transfer.unpack()?;
    let verification = Verification::reported(requested_at, copy.age, transfer.extent.end());
    // An entry with a fresh copy sees a missing record as removed, even if the other entry was cut off from the store
    // for long. Only an entry with a stale copy takes over the other one's grace period.
    if !store_reader::are_replicas_fresh(gateway) {
        gateway.roster.borrow_mut().record_store_recovery(now(), grace_time_left);
    }
    ingest::apply_transfer(gateway, transfer, Source::Peer)?;
    ingest::expire_records(gateway, Source::Peer);
    gateway.store_view.replicas.mark_verified(verification, Source::Peer);
    Ok(())
}
