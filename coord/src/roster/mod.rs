//! View of the replicas of all services that one process derives from their records in a store.
//!
//! The view is more than a map of records. A run of a replica that announced its end never takes work again; a later
//! run under the same identity does, and late messages of the earlier run have no effect. A record can disappear
//! because the replica left, or because the replica could not reach the store and the record expired: after a store
//! outage, a missing record counts as *expired* for a grace period before the replica counts as gone. A store
//! response older than the recorded state is ignored. A replica's own statement in a response takes precedence over
//! its record, which can be outdated or fail to arrive: a replica that states that it is draining receives no more
//! work. Evacuations of failure domains are not part of the records; replicas in an evacuated domain stay alive,
//! finish their requests and receive no new ones.

mod record;
mod replica;
mod transfer;

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

use crate::name::Name;
use crate::offset;
use crate::time::Moment;

pub use record::{DrainingRun, Record, RecordState, Update};
pub use replica::{Availability, Change, Replica};
use transfer::Coverage;
pub use transfer::{Extent, Gap, Request, Transfer};

/// Minimum extension of the cold period that counts as turning cold again.
const MIN_COLD_EXTENSION: Duration = Duration::from_secs(1);

/// Bounds the number of doubtful replicas in a request. Each takes some 20 bytes, four times per second.
const MAX_DOUBTFUL_IN_REQUEST: usize = 64;

/// Replicas that this process has recorded.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    replicas: BTreeMap<Name, Replica>,
    /// Time until which a missing record counts as expired.
    grace_until: Moment,
    /// Replicas without a known record whose removal or unusable record was applied. A process that follows this one may
    /// still use such a replica, and must learn of it.
    unrecorded: BTreeMap<Name, Update>,
    /// Replicas that are gone as far as is known, and of which a recovered log has a record. It may be an old record
    /// whose removal the log has lost; the next write shows that the replica is alive.
    doubtful: BTreeSet<Name>,
    /// Part of the log that the records reflect.
    coverage: Coverage,
    /// Number of times that the records changed.
    revision: u64,
    /// Evacuated failure domains.
    evacuated: BTreeSet<Name>,
    /// Failure domains whose evacuation ended, with the time of its end.
    evacuation_ended: BTreeMap<Name, Moment>,
    /// Replicas that stated that they are draining while their records do not, with the start time of that run.
    draining_runs: BTreeMap<Name, Option<u64>>,
}

impl Roster {
    /// Records that the store is available again after an outage; records that disappear within `grace` count as
    /// expired.
    pub fn record_store_recovery(&mut self, now: Moment, grace: Duration) {
        self.grace_until = self.grace_until.max(now + grace);
    }

    /// Returns the time left during which a missing record counts as expired.
    pub fn grace_left(&self, now: Moment) -> Duration {
        self.grace_until.since(now)
    }

    /// Returns the offset after the newest record that the roster reflects, or 0 if it has read none.
    pub fn end(&self) -> u64 {
        self.coverage.end()
    }

    /// Returns a number that grows with each change of what [`Roster::transfer_for`] returns.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the request for the updates that this process lacks. If it names only a part of the doubtful replicas, a
    /// later request names others.
    pub fn request(&self) -> Request {
        let parts = self.doubtful.len().div_ceil(MAX_DOUBTFUL_IN_REQUEST).max(1);
        let skipped = (self.revision as usize % parts) * MAX_DOUBTFUL_IN_REQUEST;
        let doubtful = self.doubtful.iter().skip(skipped).take(MAX_DOUBTFUL_IN_REQUEST).cloned().collect();
        Request { end: self.end(), doubtful }
    }

    /// Returns the extent of the transfer that answers a request: the changes since the requester's end, or a snapshot
    /// if this process has not seen all of them.
    pub fn extent_for(&self, request: &Request) -> Extent {
        self.coverage.extent_for(request.end)
    }

    /// Returns the updates that answer a request.
    pub fn transfer_for(&self, request: &Request, now: Moment) -> Transfer {
        let extent = self.extent_for(request);
        let mut updates =
            if extent.is_snapshot() { self.snapshot(now) } else { self.changes_from(extent.start(), now) };
        let asked = request.doubtful.iter().filter_map(|id| self.replicas.get(id));
        updates.extend(asked.filter(|replica| replica.has_record).map(|replica| replica.to_last_write(now)));
        // A requester that gets changes has a view of its own of the part of the log to which the doubts belong.
        let doubtful = if extent.is_snapshot() { self.doubtful.iter().cloned().collect() } else { Vec::new() };
        Transfer { extent, updates, doubtful }
    }

    /// Returns the update of each replica that has a record.
    fn snapshot(&self, now: Moment) -> Vec<Update> {
        let recorded = self.replicas.values().filter(|replica| replica.has_record);
        recorded.map(|replica| replica.to_update(now)).collect()
    }

    /// Returns the latest update of each replica that changed at offset `from` or later.
    fn changes_from(&self, from: u64, now: Moment) -> Vec<Update> {
        let recorded = self.replicas.values().filter(|replica| replica.changed_offset >= from);
        let unrecorded = self.unrecorded.values().filter(|update| update.offset >= from);
        recorded.map(|replica| replica.to_update(now)).chain(unrecorded.cloned()).collect()
    }

    /// Applies updates that were read from the store or sent by another process. A state older than the recorded one
    /// is ignored. Fails, and applies nothing, if changes are missing between the roster's end and the updates.
    pub fn apply_transfer(&mut self, transfer: Transfer, now: Moment) -> Result<Vec<Change>, Gap> {
        let Transfer { extent, updates, doubtful } = transfer;
        let coverage = self.coverage.after(extent)?;
        if extent.is_snapshot() && extent.end() < self.end() {
            // The roster already reflects all that the snapshot shows.
            return Ok(Vec::new());
        }
        self.revision += 1;
        if extent.is_snapshot() {
            self.doubtful.clear();
        }
        let missing = if extent.is_snapshot() { self.missing_from(extent.end(), &updates) } else { Vec::new() };
        let mut changes: Vec<Change> =
            updates.into_iter().filter_map(|update| self.apply_update(update, extent, now)).collect();
        let last_offset = extent.end().saturating_sub(1);
        changes.extend(missing.iter().filter_map(|id| self.apply_removal(last_offset, id, now)));
        if extent.end() >= self.end() {
            let has_record = |id: &Name| self.replicas.get(id).is_some_and(|replica| replica.has_record);
            self.doubtful.extend(doubtful.into_iter().filter(|id| !has_record(id)));
        }
        self.coverage = coverage;
        // Changes before the start of the coverage are never sent.
        self.unrecorded.retain(|_, update| update.offset >= coverage.start());
        Ok(changes)
    }

    /// Returns the replicas that are not in a snapshot with the end offset `end`, and have no newer record.
    fn missing_from(&self, end: u64, snapshot: &[Update]) -> Vec<Name> {
        let snapshot_ids: HashSet<&Name> = snapshot.iter().map(|update| update.state.id()).collect();
        let is_missing = |replica: &&Replica| replica.offset < end && !snapshot_ids.contains(&replica.record.id);
        self.replicas.values().filter(is_missing).map(|replica| replica.record.id.clone()).collect()
    }

    /// Applies an update that is part of a transfer; a state older than the recorded one is ignored.
    fn apply_update(&mut self, update: Update, extent: Extent, now: Moment) -> Option<Change> {
        match update.state {
            RecordState::Present(record) => self.apply_record(update.offset, record, extent, now),
            RecordState::Removed(id) => self.apply_removal(update.offset, &id, now),
            RecordState::Unusable(id) => self.apply_unusable(update.offset, &id, extent),
        }
    }

    fn apply_record(&mut self, offset: u64, record: Record, extent: Extent, now: Moment) -> Option<Change> {
        let id = record.id.clone();
        let current = self.replicas.get(&id);
        // A replica missing from the full snapshot is gone even if a peer still has it. Accepting and relaying the
        // peer's older record would keep that peer from ever receiving the removal.
        let unrecorded_offset = self.unrecorded.get(&id).map_or(self.coverage.start(), |update| update.offset);
        if offset < current.map_or(unrecorded_offset, |current| current.offset) {
            if extent.is_snapshot() && current.is_none_or(|current| !current.has_record) {
                self.doubtful.insert(id);
            }
            return None;
        }
        self.unrecorded.remove(&id);
        self.doubtful.remove(&id);
        // The newest records of a recovered log include those of replicas that were removed after the copy was made. A
        // replica that is alive writes its record again.
        let is_in_recovered_log =
            |removed: &Replica| extent.is_snapshot() && offset::era(offset) > offset::era(removed.offset);
        if let Some(removed) = self.replicas.get_mut(&id).filter(|current| current.is_removed())
            && (offset == removed.offset || is_in_recovered_log(removed))
        {
            removed.offset = offset;
            self.doubtful.insert(id);
            return None;
        }
        let current = self.replicas.get(&id);
        let (current_started_ms, started_ms) =
            (current.and_then(|current| current.record.started_ms), record.started_ms);
        if current_started_ms.zip(started_ms).is_some_and(|(current, new)| new < current) {
            // The record belongs to an earlier run.
            return None;
        }
        let has_restarted = current_started_ms.zip(started_ms).is_some_and(|(current, new)| new > current);
        let is_stated = self
            .draining_runs
            .get(&id)
            .is_some_and(|run| run.zip(started_ms).is_none_or(|(run, started_ms)| started_ms <= run));
        // An announced end is final for its run, whereas an expired record can reappear together with its replica.
        let leaving =
            record.leaving || is_stated || (!has_restarted && current.is_some_and(|current| current.record.leaving));
        // The record now states that the replica is draining, so peers receive it with the record.
        let is_confirmed = is_stated && record.leaving;
        let availability = if leaving { Availability::Gone } else { Availability::Ready };
        let cold_until = now + record.cold_remaining;
        let is_cold = cold_until > now;
        let cold_changed = current.is_some_and(|current| {
            let was_cold = current.cold_until > now;
            is_cold != was_cold || (is_cold && cold_until > current.cold_until + MIN_COLD_EXTENSION)
        });
        // The end of the cold period is stored as a moment; in repeated records the remaining time shrinks, which is
        // not a change.
        let record =
            Record { leaving, started_ms: started_ms.or(current_started_ms), cold_remaining: Duration::ZERO, ..record };
        let changed =
            has_restarted || cold_changed || current.is_none_or(|current| current.availability != availability);
        // An unchanged record is a heartbeat only in the log itself. Elsewhere, the record may have been removed and
        // written again meanwhile, and a process that saw the removal accepts only the later record.
        let is_heartbeat = |current: &&Replica| {
            extent.is_log() && current.has_record && current.record == record && !changed && !is_confirmed
        };
        let unchanged = current.filter(is_heartbeat);
        let changed_offset = unchanged.map_or(offset, |current| current.changed_offset);
        self.replicas
            .insert(id.clone(), Replica { record, availability, offset, changed_offset, has_record: true, cold_until });
        if is_confirmed || !is_stated {
            self.draining_runs.remove(&id);
        }
        changed.then_some(Change { id, availability, has_restarted, is_cold })
    }

    fn apply_unusable(&mut self, offset: u64, id: &Name, extent: Extent) -> Option<Change> {
        let Some(replica) = self.replicas.get_mut(id) else {
            self.note_unrecorded(offset, RecordState::Unusable(id.clone()));
            return None;
        };
        if offset < replica.offset {
            return None;
        }
        self.doubtful.remove(id);
        replica.offset = offset;
        if extent.is_log() && replica.has_record && replica.availability == Availability::Unusable {
            return None;
        }
        replica.has_record = true;
        replica.changed_offset = offset;
        let changed = replica.availability != Availability::Unusable;
        replica.availability = Availability::Unusable;
        changed.then(|| Change::of(id, Availability::Unusable))
    }

    fn apply_removal(&mut self, offset: u64, id: &Name, now: Moment) -> Option<Change> {
        let grace_until = self.grace_until;
        let Some(replica) = self.replicas.get_mut(id) else {
            self.note_unrecorded(offset, RecordState::Removed(id.clone()));
            return None;
        };
        if offset < replica.offset {
            return None;
        }
        self.doubtful.remove(id);
        replica.offset = offset;
        replica.has_record = false;
        // The pages of a snapshot are read one after the other and may already lack a record that is removed only after
        // the snapshot's end. Processes that have the snapshot's end learn of the removal at its own offset.
        replica.changed_offset = offset;
        let availability = match replica.availability {
            Availability::Ready if now < grace_until => Availability::Expired(grace_until),
            Availability::Expired(until) if now < until => return None,
            _ => Availability::Gone,
        };
        let changed = replica.availability != availability;
        replica.availability = availability;
        changed.then(|| Change::of(id, availability))
    }

    /// Notes the state of a replica without a known record.
    fn note_unrecorded(&mut self, offset: u64, state: RecordState) {
        let known_offset = self.unrecorded.get(state.id()).map_or(self.coverage.start(), |known| known.offset);
        if offset >= known_offset {
            self.doubtful.remove(state.id());
            self.unrecorded.insert(state.id().clone(), Update { offset, state });
        }
    }

    /// Marks replicas with expired records as gone once their grace period is over.
    pub fn expire(&mut self, now: Moment) -> Vec<Change> {
        let mut changes = Vec::new();
        for (id, replica) in &mut self.replicas {
            if matches!(replica.availability, Availability::Expired(until) if until <= now) {
                replica.availability = Availability::Gone;
                changes.push(Change::of(id, Availability::Gone));
            }
        }
        changes
    }

    /// Marks a replica as gone because another replica was found at its address.
    pub fn mark_displaced(&mut self, id: &str) -> Option<Change> {
        let replica = self.replicas.get_mut(id)?;
        let changed = replica.availability != Availability::Gone;
        replica.availability = Availability::Gone;
        changed.then(|| Change::of(&replica.record.id, Availability::Gone))
    }

    /// Returns whether this run is already recorded as draining, or a later run is recorded.
    pub fn has_draining_run(&self, draining_run: &DrainingRun) -> bool {
        let is_same_or_later = |started_ms: Option<u64>| {
            draining_run.started_ms.zip(started_ms).is_none_or(|(stated, current)| stated <= current)
        };
        let is_later = |started_ms: Option<u64>| {
            draining_run.started_ms.zip(started_ms).is_some_and(|(stated, current)| stated < current)
        };
        let current = self.replicas.get(&draining_run.id).map(|current| &current.record);
        let is_recorded = current.is_some_and(|current| {
            is_later(current.started_ms) || (current.leaving && is_same_or_later(current.started_ms))
        });
        is_recorded || self.draining_runs.get(&draining_run.id).is_some_and(|run| is_same_or_later(*run))
    }

    /// Records that a run stated that it is draining; a run of an unknown replica is stored for later.
    pub fn mark_draining(&mut self, draining_run: DrainingRun) -> Option<Change> {
        if self.has_draining_run(&draining_run) {
            return None;
        }
        self.revision += 1;
        let DrainingRun { id, started_ms } = draining_run;
        self.draining_runs.insert(id.clone(), started_ms);
        let replica = self.replicas.get_mut(&id)?;
        replica.record.leaving = true;
        let changed = replica.availability != Availability::Gone;
        replica.availability = Availability::Gone;
        changed.then(|| Change::of(&id, Availability::Gone))
    }

    /// Returns the draining runs that the store's records do not show.
    pub fn draining_runs(&self) -> impl Iterator<Item = DrainingRun> {
        let is_unreported = |id: &Name| self.replicas.get(id).is_none_or(|replica| replica.has_record);
        let unreported = self.draining_runs.iter().filter(move |(id, _)| is_unreported(id));
        unreported.map(|(id, started_ms)| DrainingRun { id: id.clone(), started_ms: *started_ms })
    }

    /// Returns whether no later run than the one in `record` is recorded.
    pub fn is_newest_run(&self, record: &Record) -> bool {
        let current = self.replicas.get(&record.id).and_then(|current| current.record.started_ms);
        current.zip(record.started_ms).is_none_or(|(current, started_ms)| current <= started_ms)
    }

    /// Returns a replica by identity.
    pub fn get(&self, id: &str) -> Option<&Replica> {
        self.replicas.get(id)
    }

    /// Sets the evacuated failure domains.
    pub fn set_evacuated(&mut self, domains: BTreeSet<Name>, now: Moment) {
        let ended = self.evacuated.difference(&domains);
        self.evacuation_ended.extend(ended.map(|domain| (domain.clone(), now)));
        self.evacuated = domains;
    }

    /// Returns whether the replica may receive new work, considering evacuations.
    pub fn accepts_work(&self, replica: &Replica) -> bool {
        replica.takes_work() && !self.evacuated.contains(&replica.record.failure_domain)
    }

    /// Returns the record of the replica `id` if it may receive new work.
    pub fn usable_replica(&self, id: &str) -> Option<&Record> {
        self.replicas.get(id).filter(|replica| self.accepts_work(replica)).map(|replica| &replica.record)
    }

    /// Returns the replicas of `service` that are alive, including those in evacuated failure domains.
    pub fn alive<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Replica> {
        let is_match = move |replica: &&Replica| replica.takes_work() && *replica.record.service == *service;
        self.replicas.values().filter(is_match)
    }

    /// Returns the records of the replicas of `service` that may receive new work.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Record> {
        self.alive(service).filter(|replica| self.accepts_work(replica)).map(|replica| &replica.record)
    }

    /// Returns whether `service` has replicas and all of them are in evacuated failure domains.
    pub fn is_evacuated(&self, service: &str) -> bool {
        self.alive(service).next().is_some() && self.usable(service).next().is_none()
    }

    /// Returns the cold replicas of `service`, which accept fewer requests, with the end of their cold period. A
    /// replica whose failure domain was evacuated may have turned cold without having reported it yet, so it counts
    /// as cold for `cold_duration` after the evacuation ended.
    pub fn cold<'a>(
        &'a self,
        service: &'a str,
        cold_duration: Duration,
        now: Moment,
    ) -> impl Iterator<Item = (&'a Name, Moment)> {
        let cold_until = move |replica: &Replica| {
            let ended = self.evacuation_ended.get(&replica.record.failure_domain);
            replica.cold_until.max(ended.map_or(Moment::ZERO, |ended| *ended + cold_duration))
        };
        let cold = self.alive(service).map(move |replica| (&replica.record.id, cold_until(replica)));
        cold.filter(move |(_, cold_until)| *cold_until > now)
    }
}
