//! State that the tasks of an entry share: the routing table and its verification, the replicas, and the retry budgets.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coord::budget::{self, WindowedBudget};
use coord::demand;
use coord::evacuation;
use coord::log_limit::LogLimit;
use coord::name::Name;
use coord::offset;
use coord::pool;
use coord::roster::{Record, Roster};
use coord::route::Table;
use coord::time::Moment;
use tokio::sync::watch;

use super::admission::Queue;
use super::backoff::Backoffs;
use super::ingest::STORE_RECOVERY_GRACE;
use super::limits::{self, Limits};
use super::membership::Membership;
use super::now;
use super::quarantine::Quarantine;
use super::relay_buffers::RelayBuffers;
use super::replica_picker::ReplicaPicker;
use super::store_view::StoreView;
use crate::config::{self, Bounds};
use crate::holder::{Holders, MEMORY_STALL_TIMEOUT};
use crate::{connection, request_body};

/// Share of the `revoke` bound for which a verification of the configuration is valid. The remainder covers the drift
/// between two monotonic clocks.
const VERIFICATION_VALID_SHARE: f64 = 0.9;
/// Share of the `config_apply` bound for which a verification allows the entry to answer that a route or key does not
/// exist. Such a verification covers every configuration that had to be in force when the request was sent; the
/// remainder covers the network delay from the caller and the clock drift.
const NEGATIVE_ANSWER_SHARE: f64 = 0.8;
/// Time after the start for which requests wait for the first configuration and replica records. Most entries have
/// them within tens of milliseconds; an entry without them after this time is cut off, and its callers retry at
/// another entry.
const INITIAL_SYNC_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the start for which an entry waits for a leader's data before it reads the store, if the entry is a
/// seed itself or has no seeds. An existing leader is found within some 20 ms; if there is none, a longer wait would
/// delay all entries.
const SEED_FIRST_READ_DELAY: Duration = Duration::from_millis(60);
/// Time after the start for which an entry that joins via its seeds waits for a leader's data before it reads the
/// store. Within this time, entries that start together accept connections and one of them has read the store for
/// all. If all of them read it, the snapshots of 3,000 replicas for 300 entries take longer than the timeout of a
/// store call.
const JOINING_FIRST_READ_DELAY: Duration = Duration::from_millis(1_500);
/// Fraction of the deployment's retry share that the entries use. The rest covers retries that reach a replica in a
/// later window than the one in which they were charged.
const RETRY_SHARE_USED: f64 = 0.9;
/// Maximum body size if the configuration sets none, in bytes.
pub const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
/// Share of the process's memory for request bodies.
const BODY_MEMORY_SHARE: f64 = 0.2;
/// Share of the process's memory for responses that are not streamed. They have memory of their own, since requests that
/// hold all memory would otherwise wait for that of their responses.
const RESPONSE_MEMORY_SHARE: f64 = 0.125;
/// Log lines a second about requests that were not read to their end. A crowd that is refused again and again must not
/// fill the log.
const MAX_UNREAD_LINES_PER_S: u32 = 20;
/// Minimum number of entries among which the common retry allowance is divided, even if fewer are known.
const MIN_ENTRY_COUNT: usize = 32;

/// Phase of the process between its start and its end, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The entry serves requests.
    Serving,
    /// The process was told to shut down; requests are still served.
    Stopping,
    /// Idle connections are closed, and new requests are refused.
    Closing,
}

impl Phase {
    /// Returns the name of the phase in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Phase::Serving => "serving",
            Phase::Stopping => "stopping",
            Phase::Closing => "closing",
        }
    }
}

/// State of an entry that all of its tasks share.
pub struct Gateway {
    /// Start time of the process.
    started_at: Moment,
    /// Settings at the start. A reload changes only the bounds in force.
    pub settings: config::Gateway,
    bounds: Cell<Bounds>,
    table: RefCell<Arc<Table>>,
    /// Copy of the store's topics.
    pub store_view: StoreView,
    /// Successors and announcements of entries.
    pub membership: Membership,
    /// Known replicas of all services.
    pub roster: RefCell<Roster>,
    /// Failure domains that operators have evacuated.
    pub evacuations: RefCell<evacuation::Evacuations>,
    /// Selects replicas of plain services.
    pub replica_picker: RefCell<ReplicaPicker>,
    /// Queue of prompts that wait for engines.
    pub admission: Rc<Queue>,
    /// Fingerprints of requests that are suspected or known to terminate replicas.
    pub quarantine: Quarantine,
    /// Rate limits that replicas announced.
    pub limits: Limits,
    /// Replicas that asked this entry to back off.
    pub backoffs: Backoffs,
    /// Memory for request bodies.
    pub bodies: Holders,
    /// Memory for responses that are not streamed.
    pub responses: Holders,
    /// Callers' connections.
    pub connections: Holders,
    /// Log lines about requests that were not read to their end.
    pub unread_log: RefCell<LogLimit>,
    /// Response data that callers have not read yet.
    pub relay_buffers: Arc<RelayBuffers>,
    /// Retry budgets by service.
    retry_budgets: RefCell<HashMap<Name, WindowedBudget>>,
    /// Largest number of entries that was observed, at least [`MIN_ENTRY_COUNT`].
    entry_count: Cell<usize>,
    /// Latest known era of the store, or `None` before the first response.
    era: Cell<Option<u64>>,
    /// Whether this entry is searching for another entry that reads the store for it.
    is_searching_reader: Cell<bool>,
    phase: watch::Sender<Phase>,
    in_flight: Cell<usize>,
}

impl Gateway {
    /// Creates the state of an entry that has no configuration and no replicas yet.
    pub fn new(settings: config::Gateway) -> Self {
        let replica_picker = ReplicaPicker::new(settings.process.failure_domain.clone(), &settings.policy);
        let admission = Queue::new(settings.policy.planner, settings.process.failure_domain.clone());
        let bounds = Cell::new(settings.bounds);
        let is_searching_reader = settings.peer_listen.is_some();
        let store_view = StoreView::new(settings.link_mbps);
        let relay_buffers = Arc::new(RelayBuffers::new(settings.memory_bytes));
        let bodies = request_body::new_pool(body_memory(&settings), DEFAULT_MAX_BODY_BYTES);
        let response_memory = (settings.memory_bytes as f64 * RESPONSE_MEMORY_SHARE) as u64;
        let max_connections = connection::max_connections(settings.memory_bytes, settings.descriptors);
        let connections = connection::new_pool("connections", max_connections);
        Self {
            started_at: now(),
            settings,
            bounds,
            table: RefCell::default(),
            store_view,
            membership: Membership::default(),
            roster: RefCell::default(),
            evacuations: RefCell::default(),
            replica_picker: RefCell::new(replica_picker),
            admission,
            quarantine: Quarantine::new(),
            limits: Limits::default(),
            backoffs: Backoffs::default(),
            bodies,
            responses: Holders::new("responses", pool::Bounds::new(response_memory, MEMORY_STALL_TIMEOUT)),
            connections,
            unread_log: RefCell::new(LogLimit::new(MAX_UNREAD_LINES_PER_S)),
            relay_buffers,
            retry_budgets: RefCell::default(),
            entry_count: Cell::new(MIN_ENTRY_COUNT),
            era: Cell::default(),
            is_searching_reader: Cell::new(is_searching_reader),
            phase: watch::Sender::new(Phase::Serving),
            in_flight: Cell::new(0),
        }
    }

    /// Waits for the first configuration and replica records, until [`INITIAL_SYNC_TIMEOUT`] after the start.
    pub async fn wait_until_synced(&self) {
        if self.settings.policy.startup_wait {
            self.store_view.wait_until_complete(self.started_at + INITIAL_SYNC_TIMEOUT).await;
        }
    }

    /// Returns the deployment's bounds that are in force.
    pub fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// Puts new bounds in force. Existing retry budgets keep their counts and their retry share.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.bounds.set(bounds);
        self.store_view.wake_readers();
    }

    /// Returns the routing table that is in force.
    pub fn table(&self) -> Arc<Table> {
        self.table.borrow().clone()
    }

    /// Puts a routing table in force if it is newer than the current one. Returns whether it was.
    pub fn replace_table(&self, table: Table) -> bool {
        let is_newer = table.version() > self.table.borrow().version();
        if is_newer {
            self.set_body_limit(table.limits().map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.body_bytes));
            *self.table.borrow_mut() = Arc::new(table);
        }
        is_newer
    }

    /// Divides the memory for bodies such that the largest one fits, and logs if it does not.
    fn set_body_limit(&self, max_bytes: usize) {
        let capacity = body_memory(&self.settings);
        self.bodies.set_bounds(request_body::bounds(capacity, max_bytes));
        if max_bytes > capacity {
            crate::warn_event!(
                "body-limit",
                max_bytes,
                capacity,
                reason = "larger bodies than fit into the memory are refused"
            );
        }
    }

    /// Removes the replica `id` after a response showed that another replica now has its address.
    pub fn remove_displaced(&self, id: &str) {
        if self.roster.borrow_mut().mark_displaced(id).is_some() {
            crate::event!("replica", peer = id, standing = "displaced");
            self.refresh_engines();
        }
    }

    /// Discards the load, failures, limit and backoff of a replica that was restarted under the same id: they belong
    /// to its previous run.
    pub fn reset_replica(&self, id: &Name) {
        self.replica_picker.borrow_mut().forget(id);
        self.limits.reset_replica(id);
        self.backoffs.forget(id);
        let service = self.roster.borrow().get(id).map(|replica| replica.record.service.clone());
        if let Some(service) = service {
            self.admission.reset_engine(&service, id);
        }
    }

    /// Returns the record of a replica if this entry may send it new requests now: the replica accepts work, its
    /// failure domain is not evacuated, and it has not asked this entry to back off.
    pub fn available_replica(&self, id: &str) -> Option<Record> {
        let roster = self.roster.borrow();
        roster.usable_replica(id).filter(|_| !self.backoffs.is_backing_off(id)).cloned()
    }

    /// Updates the engines of each service in the admission queue, and the rate limits.
    pub fn refresh_engines(&self) {
        let roster = self.roster.borrow();
        let table = self.table();
        let required = demand::required_features(&table, self.settings.has_contention);
        let features = required.and(self.settings.policy.features);
        self.replica_picker.borrow_mut().set_balancing(features.plain_balancing);
        for service in table.services() {
            let Some(profile) = &service.engine else { continue };
            let engines = roster.usable(&service.name).map(|record| record.id.clone());
            self.admission.set_engines(&service.name, profile, engines, features);
            let located = roster.usable(&service.name).map(|record| (record.id.clone(), record.failure_domain.clone()));
            self.admission.set_locations(&service.name, &service.distances, located);
        }
        limits::apply(self);
    }

    /// Returns the age of the read that verified the configuration, in milliseconds, or `None` if it was never
    /// verified.
    pub fn verification_age_ms(&self) -> Option<u128> {
        self.store_view.configuration.age().map(|age| age.as_millis())
    }

    /// Returns whether API keys may be accepted. That requires a recent verification of the configuration, or any
    /// verification if the deployment lets revoked keys stay valid during an outage of the store.
    pub fn is_verification_valid(&self) -> bool {
        if self.bounds().revoke_strict {
            self.is_recently_verified()
        } else {
            self.store_view.configuration.age().is_some()
        }
    }

    /// Returns whether the configuration was verified so recently that no accepted key can have been revoked for
    /// longer than the `revoke` bound.
    pub fn is_recently_verified(&self) -> bool {
        let max_age = self.bounds().revoke.mul_f64(VERIFICATION_VALID_SHARE);
        self.store_view.configuration.is_verified_within(max_age)
    }

    /// Returns whether another entry reads the store for this one, or one that might do so is being searched for.
    pub fn has_reader(&self) -> bool {
        self.settings.policy.delegated_reads && (self.admission.has_leader() || self.is_searching_reader.get())
    }

    /// Returns the time until which an entry without any data waits for another entry's data before it reads the store.
    pub fn first_read_due_at(&self) -> Moment {
        self.started_at + if self.joins_via_seeds() { JOINING_FIRST_READ_DELAY } else { SEED_FIRST_READ_DELAY }
    }

    /// Returns whether this entry searches for a leader via its seeds before it reads the store. A seed itself does
    /// not.
    pub fn joins_via_seeds(&self) -> bool {
        let Some(own_address) = self.settings.peer_listen else { return false };
        let seeds = &self.settings.seeds;
        self.settings.policy.delegated_reads && !seeds.is_empty() && !seeds.contains(&own_address)
    }

    /// Returns the time until which this entry searches for a leader via its seeds before it reads the store.
    pub fn seed_search_deadline(&self) -> Moment {
        self.started_at + JOINING_FIRST_READ_DELAY / 2
    }

    /// Returns the largest number of entries that was observed.
    pub fn entry_count(&self) -> usize {
        self.entry_count.get()
    }

    /// Records an observed number of entries. The stored number only grows, because ended entries stay counted.
    pub fn raise_entry_count(&self, entry_count: usize) {
        self.entry_count.set(self.entry_count.get().max(entry_count));
    }

    /// Records the era of an offset of the store. A later era than the current one means that the store recovered
    /// from an older copy and lost its newest records: missing replica records are then kept for a grace period, and
    /// this entry's announcement may be missing.
    pub fn observe_era(&self, offset: u64) {
        let era = offset::era(offset);
        let current = self.era.get();
        if current.is_some_and(|current| era <= current) {
            return;
        }
        self.era.set(Some(era));
        let Some(before) = current else { return };
        crate::event!("era", era, before);
        self.roster.borrow_mut().record_store_recovery(now(), STORE_RECOVERY_GRACE);
        self.membership.invalidate_announcements();
    }

    /// Sets whether this entry is searching for another entry that reads the store for it.
    pub fn set_searching_reader(&self, is_searching: bool) {
        self.is_searching_reader.set(is_searching);
        if !is_searching {
            // This entry may have to read the store itself now.
            self.store_view.wake_readers();
        }
    }

    /// Returns whether the entry may answer that a route or key does not exist: the routing table is recent enough to
    /// contain everything that must be in force by now.
    pub fn can_reject_unknown(&self) -> bool {
        let max_age = self.bounds().config_apply.mul_f64(NEGATIVE_ANSWER_SHARE);
        self.store_view.configuration.is_verified_within(max_age)
    }

    /// Returns whether the load balancer should send callers to this entry.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving && self.is_verification_valid()
    }

    /// Enters a phase, and wakes the tasks that wait for it.
    pub fn enter_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
        crate::event!("phase", phase = phase.as_str(), in_flight = self.in_flight());
    }

    /// Waits until the process is in `phase` or a later one.
    pub async fn wait_for_phase(&self, phase: Phase) {
        // Fails only if the sender was dropped, and `self` owns the sender.
        let _ = self.phase.subscribe().wait_for(|current| *current >= phase).await;
    }

    /// Returns the current phase of the process.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(self.clone())
    }

    /// Records a request to a service, which adds to the service's retry budget.
    pub fn record_request(&self, service: &Name) {
        self.with_retry_budget(service, |budget| budget.record_request(now()));
    }

    /// Takes a retry out of the service's retry budget. Returns whether the budget allows it.
    pub fn charge_retry(&self, service: &Name) -> bool {
        self.with_retry_budget(service, |budget| budget.try_retry(now()))
    }

    /// Returns the number of retries that the service's retry budget allows now.
    pub fn available_retries(&self, service: &Name) -> f64 {
        self.with_retry_budget(service, |budget| budget.available(now()))
    }

    /// Returns what is known of the retries that earlier processes of this entry made.
    fn retry_budget_start(&self) -> budget::Start {
        match self.settings.is_first_start {
            true => budget::Start::First,
            false => budget::Start::Again { at: self.started_at, earned: rand::random_range(0.0..1.0) },
        }
    }

    fn with_retry_budget<T>(&self, service: &Name, action: impl FnOnce(&mut WindowedBudget) -> T) -> T {
        let bounds = self.bounds();
        let allowance = budget::allowance_per_process(bounds.retry_allowance, self.entry_count.get());
        let share = bounds.retry_share * RETRY_SHARE_USED;
        let new_budget = || WindowedBudget::new(share, allowance, bounds.retry_window, self.retry_budget_start());
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(new_budget);
        budget.set_allowance(allowance);
        action(budget)
    }
}

/// Guard that counts one request as in flight until it is dropped.
pub struct InFlight(Rc<Gateway>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Returns the memory for request bodies, in bytes.
fn body_memory(settings: &config::Gateway) -> usize {
    (settings.memory_bytes as f64 * BODY_MEMORY_SHARE) as usize
}
