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

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::offset;
use crate::time::Moment;

/// Replica as described by its record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identity of the replica. It can survive a restart; `started_ms` then distinguishes the runs.
    pub id: Name,
    /// Start time of the run in Unix milliseconds, if the record states it.
    pub started_ms: Option<u64>,
    /// Service that the replica belongs to.
    pub service: Name,
    /// Listen address, `ip:port`.
    pub address: Name,
    /// Failure domain of the replica.
    pub failure_domain: Name,
    /// Number of requests that the replica runs concurrently.
    pub slots: u32,
    /// Whether the replica announced its end.
    pub leaving: bool,
    /// Remaining time, when the record was written, during which the replica is cold and accepts fewer requests.
    pub cold_remaining: Duration,
}

/// State of a replica's record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// The record is present.
    Present(Record),
    /// The record was removed.
    Removed(Name),
    /// The record was not written by the replica itself, so the replica must not be used.
    Unusable(Name),
}

impl RecordState {
    /// Returns the identity of the replica.
    pub fn id(&self) -> &Name {
        match self {
            RecordState::Present(record) => &record.id,
            RecordState::Removed(id) | RecordState::Unusable(id) => id,
        }
    }
}

/// State of a replica's record at a store offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Store offset of the record's latest change.
    pub offset: u64,
    /// State of the record at the offset.
    pub state: RecordState,
}

/// Run of a replica that is draining, as stated by the replica itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainingRun {
    /// Identity of the replica.
    pub id: Name,
    /// Start time of the run in Unix milliseconds, if known.
    pub started_ms: Option<u64>,
}

/// Availability of a replica for work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The replica takes work.
    Ready,
    /// Another writer replaced the record; the replica takes no work until it writes the record again.
    Unusable,
    /// The record expired right after a store outage; the replica takes work until the given time.
    Expired(Moment),
    /// The replica is draining or gone and takes no new work.
    Gone,
}

/// Replica with its availability.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Latest record of the replica.
    pub record: Record,
    /// Availability for work.
    pub availability: Availability,
    /// Offset of the latest record change, including heartbeats.
    offset: u64,
    /// Offset of the latest effective change; heartbeats rewrite unchanged records.
    changed_offset: u64,
    /// Whether the record exists in the store.
    has_record: bool,
    /// End of the period in which the replica accepts fewer requests.
    cold_until: Moment,
}

impl Replica {
    /// Returns whether the replica takes new work, regardless of evacuations.
    pub fn takes_work(&self) -> bool {
        matches!(self.availability, Availability::Ready | Availability::Expired(_))
    }

    /// Returns whether the replica is gone because its record was removed.
    fn is_removed(&self) -> bool {
        self.availability == Availability::Gone && !self.has_record
    }

    /// Returns the latest effective change in the form sent to peers at `now`.
    fn to_update(&self, now: Moment) -> Update {
        let state = match (self.has_record, self.availability) {
            (true, Availability::Unusable) => RecordState::Unusable(self.record.id.clone()),
            (true, _) => {
                RecordState::Present(Record { cold_remaining: self.cold_until.since(now), ..self.record.clone() })
            }
            (false, _) => RecordState::Removed(self.record.id.clone()),
        };
        Update { offset: self.changed_offset, state }
    }
}

/// Replicas that this process has recorded.
#[derive(Debug, Default)]
pub struct Roster {
    replicas: BTreeMap<Name, Replica>,
    /// Time until which a missing record counts as expired.
    grace_until: Moment,
    /// End offset of the latest full snapshot. A record below it that was missing from the snapshot is removed.
    snapshot_end: u64,
    /// Evacuated failure domains.
    evacuated: BTreeSet<Name>,
    /// Failure domains whose evacuation ended, with the time of its end.
    evacuation_ended: BTreeMap<Name, Moment>,
    /// Replicas that stated that they are draining while their records do not, with the start time of that run.
    draining_runs: BTreeMap<Name, Option<u64>>,
}

/// Minimum extension of the cold period that counts as turning cold again.
const MIN_COLD_EXTENSION: Duration = Duration::from_secs(1);

/// Change in the availability of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Identity of the replica.
    pub id: Name,
    /// New availability.
    pub availability: Availability,
    /// Whether the replica has restarted, so that its requests and its memory contents are lost.
    pub has_restarted: bool,
    /// Whether the replica is cold and accepts fewer requests.
    pub is_cold: bool,
}

impl Change {
    fn of(id: &Name, availability: Availability) -> Self {
        Self { id: id.clone(), availability, has_restarted: false, is_cold: false }
    }
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

    /// Returns the latest update of each replica that changed at offset `from` or later. A peer without any data
    /// (`from` 0) does not receive removed replicas, whose number grows without bound.
    pub fn updates_since(&self, from: u64, now: Moment) -> Vec<Update> {
        let is_relevant = |replica: &&Replica| replica.changed_offset >= from && (from > 0 || replica.has_record);
        let changed = self.replicas.values().filter(is_relevant);
        changed.map(|replica| replica.to_update(now)).collect()
    }

    /// Applies the state of a record at its offset; a state older than the recorded one is ignored.
    pub fn apply(&mut self, offset: u64, state: RecordState, now: Moment) -> Option<Change> {
        match state {
            RecordState::Present(record) => self.apply_record(offset, record, now),
            RecordState::Removed(id) => self.apply_removal(offset, &id, now),
            RecordState::Unusable(id) => self.apply_unusable(offset, &id),
        }
    }

    fn apply_record(&mut self, offset: u64, record: Record, now: Moment) -> Option<Change> {
        let id = record.id.clone();
        let current = self.replicas.get(&id);
        // A replica missing from the full snapshot is gone even if a peer still has it. Accepting and relaying the
        // peer's older record would keep that peer from ever receiving the removal.
        if offset < current.map_or(self.snapshot_end, |current| current.offset) {
            return None;
        }
        // A recovered log contains records of replicas that were removed after the copy was made. A replica that is
        // alive writes its record again.
        if let Some(removed) = self.replicas.get_mut(&id).filter(|current| current.is_removed())
            && (offset == removed.offset || offset::era(offset) > offset::era(removed.offset))
        {
            removed.offset = offset;
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
        let unchanged =
            current.filter(|current| current.has_record && current.record == record && !changed && !is_confirmed);
        let changed_offset = unchanged.map_or(offset, |current| current.changed_offset);
        self.replicas
            .insert(id.clone(), Replica { record, availability, offset, changed_offset, has_record: true, cold_until });
        if is_confirmed || !is_stated {
            self.draining_runs.remove(&id);
        }
        changed.then_some(Change { id, availability, has_restarted, is_cold })
    }

    fn apply_unusable(&mut self, offset: u64, id: &Name) -> Option<Change> {
        let replica = self.replicas.get_mut(id)?;
        if offset < replica.offset {
            return None;
        }
        replica.offset = offset;
        if replica.has_record && replica.availability == Availability::Unusable {
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
        let replica = self.replicas.get_mut(id)?;
        if offset < replica.offset {
            return None;
        }
        replica.offset = offset;
        if replica.has_record {
            replica.has_record = false;
            replica.changed_offset = offset;
        }
        let availability = match replica.availability {
            Availability::Ready if now < grace_until => Availability::Expired(grace_until),
            Availability::Expired(until) if now < until => return None,
            _ => Availability::Gone,
        };
        let changed = replica.availability != availability;
        replica.availability = availability;
        changed.then(|| Change::of(id, availability))
    }

    /// Applies a full snapshot with all offsets below `end_offset`; records missing from it were removed.
    pub fn apply_snapshot(&mut self, end_offset: u64, records: Vec<Update>, now: Moment) -> Vec<Change> {
        let snapshot_ids: HashSet<&Name> = records.iter().map(|update| update.state.id()).collect();
        let is_missing = |replica: &&Replica| replica.offset < end_offset && !snapshot_ids.contains(&replica.record.id);
        let missing: Vec<Name> =
            self.replicas.values().filter(is_missing).map(|replica| replica.record.id.clone()).collect();
        let mut changes: Vec<Change> =
            records.into_iter().filter_map(|update| self.apply(update.offset, update.state, now)).collect();
        self.snapshot_end = self.snapshot_end.max(end_offset);
        let last_offset = end_offset.saturating_sub(1);
        changes.extend(missing.iter().filter_map(|id| self.apply_removal(last_offset, id, now)));
        changes
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
