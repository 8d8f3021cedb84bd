//! Fault injector of a soak: injects faults into a site from outside and reverts them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use eyre::Result;
use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rustix::process::Signal;

use super::caller::{Phase, SharedState, api_key};
use super::{BACKOFF, EVACUATED_DOMAIN, Plan, RECOVERY_TIMEOUT, REVOKE_TIMEOUT};
use crate::platform::proxy::NetworkFault;
use crate::platform::replica::{Behavior, Replica};
use crate::platform::site::Site;
use crate::platform::store::{Fault, Snapshot};

/// Length of the fault-free phase at the end of a round, in which every request must succeed.
const FAULT_FREE_PERIOD: Duration = Duration::from_millis(1_500);
/// Range of the time between two injections, in milliseconds.
const INJECTION_INTERVAL_MS: (u64, u64) = (50, 500);
/// Range of the time until a fault is reverted, in milliseconds.
const FAULT_DURATION_MS: (u64, u64) = (100, 2_000);
/// Number of key rotations that entries miss before they read a part of them.
const MISSED_ROTATIONS: u64 = 6;
/// Range of the number of reads that are answered before an entry is turned away again.
const PARTIAL_READS: (u32, u32) = (1, 4);

/// Kind of an injected fault or maintenance operation.
///
/// The report writes the kinds out under their names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum InjectionKind {
    /// An entry is killed, and restarted later.
    Kill,
    /// An entry is suspended, and resumed later.
    Freeze,
    /// An entry gets SIGTERM, and is restarted after its exit.
    Stop,
    /// An entry gets SIGHUP, on which it reloads its settings.
    Reload,
    /// The store refuses the calls of one or all entries, does not respond, or drops the responses to appends.
    Store,
    /// The network between an entry and the store has a fault.
    StoreWay,
    /// The store's topics are compacted.
    Compact,
    /// A replica mishandles its next few requests.
    Answers,
    /// The network between the entries and a replica has a fault.
    ReplicaWay,
    /// The network between the callers and an entry has a fault.
    CallerWay,
    /// API keys are rotated.
    Keys,
    /// The record of a replica changes to the state `draining`.
    Drain,
    /// The evacuation of a failure domain starts, or is cancelled.
    Evacuate,
    /// A replica announces in its responses that it is draining, while its record stays `ready`.
    Leave,
    /// A replica refuses requests for a while and asks for a backoff.
    Rest,
    /// A snapshot of the store is taken, or the store is restored from it.
    Return,
    /// All entries miss some rotations of keys; one of them reads a part of these before it is turned away again.
    Part,
}

/// Kinds that [`Plan::has_response_signals`] adds.
const RESPONSE_SIGNAL_KINDS: [InjectionKind; 3] = [InjectionKind::Leave, InjectionKind::Rest, InjectionKind::Return];

/// Kinds in rounds with maintenance only.
const MAINTENANCE_KINDS: [InjectionKind; 4] =
    [InjectionKind::Stop, InjectionKind::Reload, InjectionKind::Keys, InjectionKind::Compact];
/// Kinds in rounds with faults.
const FAULT_KINDS: [InjectionKind; 12] = [
    InjectionKind::Kill,
    InjectionKind::Freeze,
    InjectionKind::Stop,
    InjectionKind::Reload,
    InjectionKind::Store,
    InjectionKind::StoreWay,
    InjectionKind::Compact,
    InjectionKind::Answers,
    InjectionKind::ReplicaWay,
    InjectionKind::CallerWay,
    InjectionKind::Keys,
    InjectionKind::Drain,
];

/// Action that reverts a fault. Numbers are indices of entries, except for `ClearNetworkFault`.
enum Revert {
    RestartEntry(usize),
    ResumeEntry(usize),
    AwaitExit(usize),
    ClearStoreFault(usize),
    ServePart(usize),
    /// Clears the fault of the proxy with this index in [`Proxies::all`](crate::platform::site::Proxies::all).
    ClearNetworkFault(usize),
    ClearBackoff(Arc<Replica>),
    RestoreStore(Snapshot),
}

/// Injects faults, reverts them when they are due, and records what the checks need to know about them.
pub struct Injector {
    /// Site under test.
    pub site: Site,
    shared: Arc<SharedState>,
    rng: SmallRng,
    /// Reverts of the faults in force, each with the time at which it is due.
    pending_reverts: Vec<(Instant, Revert)>,
    /// Number of injections so far, by kind; includes those that did nothing for lack of a suitable target.
    pub fault_counts: BTreeMap<InjectionKind, usize>,
    /// Time at which each API key was removed, by the key's number.
    pub revoked_keys: BTreeMap<u64, Instant>,
    /// Replicas whose records changed to `draining`, and when.
    pub drained_replicas: Vec<(Arc<Replica>, Instant)>,
    /// Start of each evacuation of [`EVACUATED_DOMAIN`], and its cancellation if there was one.
    pub evacuations: Vec<(Instant, Option<Instant>)>,
    /// Replicas that announce in their responses that they are draining, and since when.
    pub draining_by_response: Vec<(Arc<Replica>, Instant)>,
    /// Times at which a fault affected an entry, given by its index, or the network, given as `None`.
    pub disturbances: Vec<(Option<usize>, Instant)>,
    /// Snapshot of the store, to be restored later.
    snapshot: Option<Snapshot>,
    /// Descriptions of the guarantees that were breached during the rounds.
    pub breaches: Vec<String>,
}

impl Injector {
    /// Creates an injector for a running site. `rng` chooses all faults, their targets and their times.
    pub fn new(site: Site, shared: Arc<SharedState>, rng: SmallRng) -> Self {
        Self {
            site,
            shared,
            rng,
            pending_reverts: Vec::new(),
            fault_counts: BTreeMap::new(),
            revoked_keys: BTreeMap::new(),
            drained_replicas: Vec::new(),
            evacuations: Vec::new(),
            draining_by_response: Vec::new(),
            disturbances: Vec::new(),
            snapshot: None,
            breaches: Vec::new(),
        }
    }

    /// Returns the time at which a fault that starts now is to be reverted.
    fn random_revert_time(&mut self) -> Instant {
        Instant::now() + Duration::from_millis(self.rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1))
    }

    /// Chooses an entry whose process runs and has no pending revert; `None` if there is no such entry.
    fn choose_running_entry(&mut self) -> Option<usize> {
        let has_pending_revert = |entry: &usize| {
            self.pending_reverts.iter().any(|(_, revert)| {
                matches!(revert, Revert::RestartEntry(other) | Revert::ResumeEntry(other) | Revert::AwaitExit(other) if other == entry)
            })
        };
        let candidates: Vec<usize> = (0..self.site.store_listeners.len())
            .filter(|entry| self.site.is_running(*entry) && !has_pending_revert(entry))
            .collect();
        candidates.choose(&mut self.rng).copied()
    }

    /// Injects a fault of this kind, and schedules its revert. Does nothing if the kind has no suitable target now.
    async fn inject(&mut self, kind: InjectionKind) -> Result<()> {
        *self.fault_counts.entry(kind).or_default() += 1;
        let revert_at = self.random_revert_time();
        match kind {
            InjectionKind::Kill => {
                let Some(entry) = self.choose_running_entry() else { return Ok(()) };
                self.record_disturbance(Some(entry));
                self.site.signal(entry, Signal::KILL)?;
                self.pending_reverts.push((revert_at, Revert::RestartEntry(entry)));
            }
            InjectionKind::Freeze => {
                let Some(entry) = self.choose_running_entry() else { return Ok(()) };
                self.record_disturbance(Some(entry));
                self.site.signal(entry, Signal::STOP)?;
                self.pending_reverts.push((revert_at, Revert::ResumeEntry(entry)));
            }
            InjectionKind::Stop => {
                let Some(entry) = self.choose_running_entry() else { return Ok(()) };
                self.record_disturbance(Some(entry));
                self.site.signal(entry, Signal::TERM)?;
                self.pending_reverts.push((revert_at, Revert::AwaitExit(entry)));
            }
            InjectionKind::Reload => {
                let Some(entry) = self.choose_running_entry().filter(|entry| self.site.has_started(*entry)) else {
                    return Ok(());
                };
                self.site.signal(entry, Signal::HUP)?;
            }
            InjectionKind::Store => self.inject_store_fault(revert_at),
            InjectionKind::StoreWay => self.inject_network_fault(0, revert_at),
            InjectionKind::ReplicaWay => self.inject_network_fault(1, revert_at),
            InjectionKind::CallerWay => self.inject_network_fault(2, revert_at),
            InjectionKind::Compact => {
                ["keyed.op", "keyed.servers", "keyed.peers"].iter().for_each(|topic| self.site.store.compact(topic))
            }
            InjectionKind::Answers => self.queue_bad_responses(),
            InjectionKind::Keys => self.rotate_keys(),
            InjectionKind::Drain => self.drain_replica(),
            InjectionKind::Evacuate => self.toggle_evacuation(),
            InjectionKind::Leave => self.announce_draining(),
            InjectionKind::Rest => self.start_backoff(revert_at),
            InjectionKind::Return => self.snapshot_or_restore_store(revert_at),
            InjectionKind::Part => self.serve_part(revert_at),
        }
        Ok(())
    }

    /// Records that a fault affects an entry from now on, or the network if `entry` is `None`.
    fn record_disturbance(&mut self, entry: Option<usize>) {
        self.disturbances.push((entry, Instant::now()));
    }

    /// Sets the same random fault of the store for one entry or for all.
    fn inject_store_fault(&mut self, revert_at: Instant) {
        let faults = [Fault::Unavailable, Fault::TooManyRequests, Fault::Unresponsive, Fault::DropResponses];
        let fault = *faults.choose(&mut self.rng).unwrap_or(&Fault::Unavailable);
        let affects_all = self.rng.random_bool(0.4);
        let chosen_entry = self.rng.random_range(0..self.site.store_listeners.len());
        for entry in (0..self.site.store_listeners.len()).filter(|entry| affects_all || *entry == chosen_entry) {
            self.site.store_listeners[entry].set_fault(fault);
            self.pending_reverts.push((revert_at, Revert::ClearStoreFault(entry)));
        }
    }

    /// Sets a random network fault for one proxy of a group: 0 for the store, 1 for replicas, 2 for callers.
    fn inject_network_fault(&mut self, group: usize, revert_at: Instant) {
        let proxies = &self.site.proxies;
        let group_sizes = [proxies.store.len(), proxies.replicas.len(), proxies.callers.len()];
        // `Proxies::all` has the order callers, store, replicas.
        let first_index = [group_sizes[2], group_sizes[2] + group_sizes[0], 0][group];
        let index = first_index + self.rng.random_range(0..group_sizes[group]);
        let delay = Duration::from_millis(self.rng.random_range(5..300));
        let faults = [
            NetworkFault::Delay(delay),
            NetworkFault::Reset,
            NetworkFault::DropForward,
            NetworkFault::DropBackward,
            NetworkFault::Blackhole,
        ];
        let fault = *faults.choose(&mut self.rng).unwrap_or(&NetworkFault::Reset);
        if let Some(proxy) = proxies.all().nth(index) {
            proxy.set_fault(fault);
        }
        self.record_disturbance(None);
        self.pending_reverts.push((revert_at, Revert::ClearNetworkFault(index)));
    }

    /// Queues one to five random faulty behaviors at a random replica.
    fn queue_bad_responses(&mut self) {
        let behaviors = [
            Behavior::Refuse,
            Behavior::Fail,
            Behavior::DropResponse,
            Behavior::WrongRequestId,
            Behavior::MissingSeal,
            Behavior::UnconfirmedRefusal,
            Behavior::AbortAfter(3),
            Behavior::Stall(700),
        ];
        let replicas: Vec<&Arc<Replica>> = self.site.engines.iter().chain(&self.site.plain_replicas).collect();
        let Some(replica) = replicas.choose(&mut self.rng) else { return };
        let count = self.rng.random_range(1..6);
        replica.queue_behaviors((0..count).filter_map(|_| behaviors.choose(&mut self.rng).copied()));
    }

    /// Adds an API key and removes the oldest one, so that the two newest keys are valid.
    fn rotate_keys(&mut self) {
        let newest_key = self.shared.newest_key.load(Ordering::Relaxed) + 1;
        let (newest, previous) = (api_key(newest_key), api_key(newest_key - 1));
        self.site.configure(&[newest.as_str(), previous.as_str()], |_| {});
        if let Some(revoked_key) = newest_key.checked_sub(2) {
            self.revoked_keys.entry(revoked_key).or_insert_with(Instant::now);
        }
        self.shared.newest_key.store(newest_key, Ordering::Relaxed);
    }

    /// Sets the record of the first engine to `draining` on the first call, and that of the first plain replica on the
    /// second. Later calls do nothing, so that enough replicas remain.
    fn drain_replica(&mut self) {
        let index = self.drained_replicas.len();
        let (service, replica) = match index {
            0 => ("advisor", self.site.engines[0].clone()),
            1 => ("ledger", self.site.plain_replicas[0].clone()),
            _ => return,
        };
        self.site.store.put("keyed.servers", &replica.id, replica.store_record(service, "draining"));
        self.drained_replicas.push((replica, Instant::now()));
    }

    /// Makes an engine announce in its responses that it is draining on the first call, and a plain replica on the
    /// second. Later calls do nothing, so that enough replicas remain.
    fn announce_draining(&mut self) {
        let replica = match self.draining_by_response.len() {
            0 => self.site.engines[1].clone(),
            1 => self.site.plain_replicas[1].clone(),
            _ => return,
        };
        replica.set_draining();
        self.draining_by_response.push((replica, Instant::now()));
    }

    /// Makes the last engine or the last plain replica refuse requests and ask for a backoff.
    fn start_backoff(&mut self, revert_at: Instant) {
        let replicas = if self.rng.random_bool(0.5) { &self.site.engines } else { &self.site.plain_replicas };
        let Some(replica) = replicas.last().cloned() else { return };
        replica.set_backoff(Some(&BACKOFF.as_secs().to_string()));
        self.pending_reverts.push((revert_at, Revert::ClearBackoff(replica)));
    }

    /// Takes a snapshot of the store if there is none. Otherwise makes the store unavailable, and schedules its restore
    /// from the snapshot.
    fn snapshot_or_restore_store(&mut self, revert_at: Instant) {
        let Some(snapshot) = self.snapshot.take() else {
            self.snapshot = Some(self.site.store.snapshot());
            return;
        };
        for entry in 0..self.site.store_listeners.len() {
            self.site.store_listeners[entry].set_fault(Fault::Unavailable);
            self.pending_reverts.push((revert_at, Revert::ClearStoreFault(entry)));
        }
        self.pending_reverts.push((revert_at, Revert::RestoreStore(snapshot)));
    }

    /// Turns all entries away and rotates keys meanwhile; serves one entry a few reads, and turns it away again.
    fn serve_part(&mut self, served_at: Instant) {
        let entries = self.site.store_listeners.len();
        self.site.store_listeners.iter().for_each(|listener| listener.set_fault(Fault::Unavailable));
        (0..MISSED_ROTATIONS).for_each(|_| self.rotate_keys());
        let entry = self.rng.random_range(0..entries);
        // Long enough for a verification to outlast the bound within which a removed key must be refused.
        let served_again_at = served_at + REVOKE_TIMEOUT;
        self.pending_reverts.push((served_at, Revert::ServePart(entry)));
        self.pending_reverts.extend((0..entries).map(|entry| (served_again_at, Revert::ClearStoreFault(entry))));
    }

    /// Restores the store from a snapshot, and writes the present records of operators and replicas again.
    fn restore_store(&self, snapshot: Snapshot) {
        self.site.store.restore(snapshot);
        let newest_key = self.shared.newest_key.load(Ordering::Relaxed);
        let previous_key = newest_key.saturating_sub(1);
        self.site.rewrite_configuration(&[api_key(newest_key).as_str(), api_key(previous_key).as_str()]);
        if self.evacuations.last().is_some_and(|(_, cancelled_at)| cancelled_at.is_none()) {
            self.site.evacuate(EVACUATED_DOMAIN);
        }
        self.site.write_replica_records();
        for (index, (replica, _)) in self.drained_replicas.iter().enumerate() {
            let service = if index == 0 { "advisor" } else { "ledger" };
            self.site.store.put("keyed.servers", &replica.id, replica.store_record(service, "draining"));
        }
    }

    /// Starts the evacuation of [`EVACUATED_DOMAIN`], or cancels the one in force.
    fn toggle_evacuation(&mut self) {
        let now = Instant::now();
        if let Some((_, cancelled_at @ None)) = self.evacuations.last_mut() {
            *cancelled_at = Some(now);
            self.site.cancel_evacuation(EVACUATED_DOMAIN);
        } else {
            self.evacuations.push((now, None));
            self.site.evacuate(EVACUATED_DOMAIN);
        }
    }

    /// Reverts the faults that are due, or all faults if `all` is set.
    async fn revert_faults(&mut self, all: bool) -> Result<()> {
        let now = Instant::now();
        let (due, remaining) = self.pending_reverts.drain(..).partition(|(revert_at, _)| all || *revert_at <= now);
        self.pending_reverts = remaining;
        let due: Vec<(Instant, Revert)> = due;
        for (_, revert) in due {
            match revert {
                Revert::RestartEntry(entry) => self.site.restart(entry).await?,
                Revert::ResumeEntry(entry) => {
                    self.record_disturbance(Some(entry));
                    self.site.signal(entry, Signal::CONT)?;
                }
                Revert::AwaitExit(entry) => {
                    if !self.site.wait_exit(entry).await? {
                        self.breaches.push(format!("entry {entry} did not exit with status 0 after SIGTERM"));
                    }
                    self.site.restart(entry).await?;
                }
                Revert::ClearBackoff(replica) => replica.set_backoff(None),
                Revert::RestoreStore(snapshot) => self.restore_store(snapshot),
                Revert::ServePart(entry) => {
                    let reads = self.rng.random_range(PARTIAL_READS.0..PARTIAL_READS.1);
                    self.site.store_listeners[entry].set_fault_after_reads("keyed.op", reads, Fault::Unavailable);
                }
                Revert::ClearStoreFault(entry) => self.site.store_listeners[entry].set_fault(Fault::None),
                Revert::ClearNetworkFault(index) => {
                    if let Some(proxy) = self.site.proxies.all().nth(index) {
                        proxy.set_fault(NetworkFault::None);
                    }
                }
            }
        }
        Ok(())
    }

    /// Runs one round: injects faults, or only maintenance if `is_maintenance` is set, then reverts them and waits
    /// through the recovery and the fault-free phase.
    pub async fn run_round(&mut self, plan: &Plan, is_maintenance: bool) -> Result<()> {
        let mut kinds = if is_maintenance { MAINTENANCE_KINDS.to_vec() } else { FAULT_KINDS.to_vec() };
        if plan.has_evacuations {
            kinds.push(InjectionKind::Evacuate);
        }
        if plan.has_partial_reads && !is_maintenance {
            kinds.push(InjectionKind::Part);
        }
        if plan.has_response_signals {
            kinds.extend(RESPONSE_SIGNAL_KINDS);
        }
        self.shared.set_phase(if is_maintenance { Phase::Maintenance } else { Phase::Faults });
        self.shared.uses_stale_keys.store(true, Ordering::Relaxed);
        let injection_end = Instant::now() + plan.faults;
        while Instant::now() < injection_end {
            let kind = *kinds.choose(&mut self.rng).unwrap_or(&InjectionKind::Reload);
            self.inject(kind).await?;
            let interval =
                Duration::from_millis(self.rng.random_range(INJECTION_INTERVAL_MS.0..INJECTION_INTERVAL_MS.1));
            tokio::time::sleep(interval).await;
            self.revert_faults(false).await?;
        }
        self.revert_faults(true).await?;
        self.site.engines.iter().chain(&self.site.plain_replicas).for_each(|replica| replica.clear_behaviors());
        // Requests that were sent during the faults end before the fault-free phase starts.
        tokio::time::sleep(RECOVERY_TIMEOUT).await;
        for entry in 0..self.site.store_listeners.len() {
            if !self.site.is_ready(entry).await {
                self.breaches
                    .push(format!("entry {entry} is not ready {} s after the last fault", RECOVERY_TIMEOUT.as_secs()));
            }
        }
        self.shared.uses_stale_keys.store(false, Ordering::Relaxed);
        self.shared.set_phase(Phase::FaultFree);
        tokio::time::sleep(FAULT_FREE_PERIOD).await;
        self.shared.set_phase(Phase::Faults);
        Ok(())
    }
}
