//! View of the replicas of all services that one process derives from their records in a store.
//!
//! The view is more than a map of records. A run of a replica that announced its end never takes work again; a later
//! run under the same identity does, and late messages of the earlier run have no effect. A record can disappear
//! because the replica left, or because the replica could not reach the store and the record expired: after a store
//! outage, a missing record counts as *lapsed* for a grace period before the replica counts as gone. A store response
//! older than the known state is ignored. A replica's own statement in a response takes precedence over its record,
//! which can be outdated or fail to arrive: a replica that states that it is leaving receives no more work.
//! Evacuations of failure domains are not part of the records; replicas in an evacuated domain stay alive, finish
//! their requests and receive no new ones.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::offset;
use crate::time::Moment;

/// Replica as described by its record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identity of the replica. It can survive a restart; `born` then distinguishes the runs.
    pub id: Name,
    /// Start time of the run in Unix milliseconds, if the record states it.
    pub born: Option<u64>,
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
    pub cold: Duration,
}

/// Change of a replica's record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// The record was written.
    Here(Record),
    /// The record was removed.
    Removed(Name),
    /// The record was not written by the replica itself, so the replica must not be used.
    Unusable(Name),
}

impl News {
    /// Returns the identity of the replica.
    pub fn id(&self) -> &Name {
        match self {
            News::Here(record) => &record.id,
            News::Removed(id) | News::Unusable(id) => id,
        }
    }
}

/// Record change with its offset in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// Store offset of the change.
    pub offset: u64,
    /// Change at the offset.
    pub news: News,
}

/// Run of a replica that stated that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaver {
    /// Identity of the replica.
    pub id: Name,
    /// Start time of the run in Unix milliseconds, if known.
    pub born: Option<u64>,
}

/// Availability of a replica for work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The replica takes work.
    Ready,
    /// Another writer replaced the record; the replica takes no work until it writes the record again.
    Unusable,
    /// The record disappeared right after a store outage; the replica takes work until the given time.
    Lapsed(Moment),
    /// The replica is leaving or gone and takes no new work.
    Gone,
}

/// Replica with its availability.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Latest record of the replica.
    pub record: Record,
    /// Availability for work.
    pub standing: Standing,
    /// Offset of the latest record change, including heartbeats.
    offset: u64,
    /// Offset of the latest effective change; heartbeats rewrite unchanged records.
    changed_at: u64,
    /// Whether the record exists in the store.
    listed: bool,
    /// End of the period in which the replica accepts fewer requests.
    cold_until: Moment,
}

impl Replica {
    /// Returns whether the replica takes new work, regardless of evacuations.
    pub fn takes_work(&self) -> bool {
        matches!(self.standing, Standing::Ready | Standing::Lapsed(_))
    }

    /// Returns whether the replica is gone because its record was removed.
    fn is_removed(&self) -> bool {
        self.standing == Standing::Gone && !self.listed
    }

    /// Returns the latest effective change in the form sent to peers at `now`.
    fn sighting(&self, now: Moment) -> Sighting {
        let news = match (self.listed, self.standing) {
            (true, Standing::Unusable) => News::Unusable(self.record.id.clone()),
            (true, _) => News::Here(Record { cold: self.cold_until.since(now), ..self.record.clone() }),
            (false, _) => News::Removed(self.record.id.clone()),
        };
        Sighting { offset: self.changed_at, news }
    }
}

/// Replicas that this process knows of.
#[derive(Debug, Default)]
pub struct Roster {
    replicas: BTreeMap<Name, Replica>,
    /// Until this time a missing record counts as lapsed.
    doubtful_until: Moment,
    /// End offset of the latest full snapshot. A record below it that was missing from the snapshot is removed.
    whole_below: u64,
    /// Evacuated failure domains.
    emptied: BTreeSet<Name>,
    /// Failure domains whose evacuation ended, with the time of its end.
    returned: BTreeMap<Name, Moment>,
    /// Replicas that stated that they are leaving while their records do not, with the start time of that run.
    leavers: BTreeMap<Name, Option<u64>>,
}

/// Minimum extension of the cold period that counts as turning cold again.
const COLD_AGAIN: Duration = Duration::from_secs(1);

/// Change in availability of a replica, for logging.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Identity of the replica.
    pub id: Name,
    /// New availability.
    pub standing: Standing,
    /// Whether the replica has restarted, so that its requests and its memory contents are lost.
    pub restarted: bool,
    /// Whether the replica is cold and accepts fewer requests.
    pub cold: bool,
}

impl Change {
    fn of(id: &Name, standing: Standing) -> Self {
        Self { id: id.clone(), standing, restarted: false, cold: false }
    }
}

impl Roster {
    /// Records that the store is available again after an outage; records that disappear within `grace` count as
    /// lapsed.
    pub fn store_returned(&mut self, now: Moment, grace: Duration) {
        self.doubtful_until = self.doubtful_until.max(now + grace);
    }

    /// Returns the remaining time during which a missing record counts as lapsed.
    pub fn doubt_left(&self, now: Moment) -> Duration {
        self.doubtful_until.since(now)
    }

    /// Returns the latest change of each replica that changed at offset `from` or later. A peer that knows nothing
    /// yet (`from` 0) does not receive removed replicas, whose number grows without bound.
    pub fn since(&self, from: u64, now: Moment) -> Vec<Sighting> {
        let matters = |known: &&Replica| known.changed_at >= from && (from > 0 || known.listed);
        let changed = self.replicas.values().filter(matters);
        changed.map(|known| known.sighting(now)).collect()
    }

    /// Applies a record change at its offset; changes older than the known state are ignored.
    pub fn hear(&mut self, offset: u64, news: News, now: Moment) -> Option<Change> {
        match news {
            News::Here(record) => self.here(offset, record, now),
            News::Removed(id) => self.removed(offset, &id, now),
            News::Unusable(id) => self.unusable(offset, &id),
        }
    }

    fn here(&mut self, offset: u64, record: Record, now: Moment) -> Option<Change> {
        let id = record.id.clone();
        let known = self.replicas.get(&id);
        // A replica missing from the full snapshot is gone even if a peer still believes in it. Accepting and
        // relaying the peer's older record would keep that peer from ever learning of the removal.
        if offset < known.map_or(self.whole_below, |known| known.offset) {
            return None;
        }
        // A restored log contains records of replicas that were removed after the copy was made. A replica that is
        // alive writes its record again.
        if let Some(gone) = self.replicas.get_mut(&id).filter(|known| known.is_removed())
            && (offset == gone.offset || offset::era(offset) > offset::era(gone.offset))
        {
            gone.offset = offset;
            return None;
        }
        let known = self.replicas.get(&id);
        let (known_born, born) = (known.and_then(|known| known.record.born), record.born);
        if known_born.zip(born).is_some_and(|(known, new)| new < known) {
            // The record belongs to an earlier run.
            return None;
        }
        let restarted = known_born.zip(born).is_some_and(|(known, new)| new > known);
        let told = self.leavers.get(&id).is_some_and(|run| run.zip(born).is_none_or(|(run, born)| born <= run));
        // An announced end is final for its run, whereas a lapsed record can reappear together with its replica.
        let leaving = record.leaving || told || (!restarted && known.is_some_and(|known| known.record.leaving));
        // The record now states that the replica is leaving, so peers learn it from the record.
        let confirmed = told && record.leaving;
        let standing = if leaving { Standing::Gone } else { Standing::Ready };
        let cold_until = now + record.cold;
        let cold = cold_until > now;
        let turned = known.is_some_and(|known| {
            let was_cold = known.cold_until > now;
            cold != was_cold || (cold && cold_until > known.cold_until + COLD_AGAIN)
        });
        // The end of the cold period is stored as a moment; in repeated records the remaining time shrinks, which is
        // not a change.
        let record = Record { leaving, born: born.or(known_born), cold: Duration::ZERO, ..record };
        let changed = restarted || turned || known.is_none_or(|known| known.standing != standing);
        let same = known.filter(|known| known.listed && known.record == record && !changed && !confirmed);
        let changed_at = same.map_or(offset, |known| known.changed_at);
        self.replicas.insert(id.clone(), Replica { record, standing, offset, changed_at, listed: true, cold_until });
        if confirmed || !told {
            self.leavers.remove(&id);
        }
        changed.then_some(Change { id, standing, restarted, cold })
    }

    fn unusable(&mut self, offset: u64, id: &Name) -> Option<Change> {
        let known = self.replicas.get_mut(id)?;
        if offset < known.offset {
            return None;
        }
        known.offset = offset;
        if known.listed && known.standing == Standing::Unusable {
            return None;
        }
        known.listed = true;
        known.changed_at = offset;
        let changed = known.standing != Standing::Unusable;
        known.standing = Standing::Unusable;
        changed.then(|| Change::of(id, Standing::Unusable))
    }

    fn removed(&mut self, offset: u64, id: &Name, now: Moment) -> Option<Change> {
        let doubtful_until = self.doubtful_until;
        let known = self.replicas.get_mut(id)?;
        if offset < known.offset {
            return None;
        }
        known.offset = offset;
        if known.listed {
            known.listed = false;
            known.changed_at = offset;
        }
        let standing = match known.standing {
            Standing::Ready if now < doubtful_until => Standing::Lapsed(doubtful_until),
            Standing::Lapsed(until) if now < until => return None,
            _ => Standing::Gone,
        };
        let changed = known.standing != standing;
        known.standing = standing;
        changed.then(|| Change::of(id, standing))
    }

    /// Applies a full snapshot with all offsets below `end`; records missing from it were removed.
    pub fn replace(&mut self, end: u64, newest: Vec<Sighting>, now: Moment) -> Vec<Change> {
        let listed: HashSet<&Name> = newest.iter().map(|sighting| sighting.news.id()).collect();
        let is_missing = |known: &&Replica| known.offset < end && !listed.contains(&known.record.id);
        let missing: Vec<Name> =
            self.replicas.values().filter(is_missing).map(|known| known.record.id.clone()).collect();
        let mut changes: Vec<Change> =
            newest.into_iter().filter_map(|sighting| self.hear(sighting.offset, sighting.news, now)).collect();
        self.whole_below = self.whole_below.max(end);
        let last = end.saturating_sub(1);
        changes.extend(missing.iter().filter_map(|id| self.removed(last, id, now)));
        changes
    }

    /// Marks lapsed replicas as gone once their grace period is over.
    pub fn expire(&mut self, now: Moment) -> Vec<Change> {
        let mut changes = Vec::new();
        for (id, replica) in &mut self.replicas {
            if matches!(replica.standing, Standing::Lapsed(until) if until <= now) {
                replica.standing = Standing::Gone;
                changes.push(Change::of(id, Standing::Gone));
            }
        }
        changes
    }

    /// Marks a replica as gone because another replica was found at its address.
    pub fn displaced(&mut self, id: &str) -> Option<Change> {
        let known = self.replicas.get_mut(id)?;
        let changed = known.standing != Standing::Gone;
        known.standing = Standing::Gone;
        changed.then(|| Change::of(&known.record.id, Standing::Gone))
    }

    /// Returns whether this run is already known to be leaving, or a later run is known.
    pub fn knows_leaver(&self, leaver: &Leaver) -> bool {
        let is_up_to = |born: Option<u64>| leaver.born.zip(born).is_none_or(|(told, known)| told <= known);
        let is_later = |born: Option<u64>| leaver.born.zip(born).is_some_and(|(told, known)| told < known);
        let known = self.replicas.get(&leaver.id).map(|known| &known.record);
        let recorded = known.is_some_and(|known| is_later(known.born) || (known.leaving && is_up_to(known.born)));
        recorded || self.leavers.get(&leaver.id).is_some_and(|run| is_up_to(*run))
    }

    /// Records that a run stated that it is leaving; a run of an unknown replica is remembered.
    pub fn leaves(&mut self, leaver: Leaver) -> Option<Change> {
        if self.knows_leaver(&leaver) {
            return None;
        }
        let Leaver { id, born } = leaver;
        self.leavers.insert(id.clone(), born);
        let known = self.replicas.get_mut(&id)?;
        known.record.leaving = true;
        let changed = known.standing != Standing::Gone;
        known.standing = Standing::Gone;
        changed.then(|| Change::of(&id, Standing::Gone))
    }

    /// Returns the leaving runs that peers cannot learn of from the store.
    pub fn leavers(&self) -> impl Iterator<Item = Leaver> {
        let is_unheard = |id: &Name| self.replicas.get(id).is_none_or(|known| known.listed);
        let unheard = self.leavers.iter().filter(move |(id, _)| is_unheard(id));
        unheard.map(|(id, born)| Leaver { id: id.clone(), born: *born })
    }

    /// Returns whether no later run than the one in `record` is known.
    pub fn is_newest_run(&self, record: &Record) -> bool {
        let known = self.replicas.get(&record.id).and_then(|known| known.record.born);
        known.zip(record.born).is_none_or(|(known, born)| known <= born)
    }

    /// Returns a replica by identity.
    pub fn get(&self, id: &str) -> Option<&Replica> {
        self.replicas.get(id)
    }

    /// Sets the evacuated failure domains.
    pub fn set_emptied(&mut self, domains: BTreeSet<Name>, now: Moment) {
        let returned = self.emptied.difference(&domains);
        self.returned.extend(returned.map(|domain| (domain.clone(), now)));
        self.emptied = domains;
    }

    /// Returns whether the replica may receive new work, considering evacuations.
    pub fn takes(&self, replica: &Replica) -> bool {
        replica.takes_work() && !self.emptied.contains(&replica.record.failure_domain)
    }

    /// Returns the record of the replica `id` if it may receive new work.
    pub fn usable_one(&self, id: &str) -> Option<&Record> {
        self.replicas.get(id).filter(|replica| self.takes(replica)).map(|replica| &replica.record)
    }

    /// Returns the replicas of `service` that are alive, including those in evacuated failure domains.
    pub fn living<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Replica> {
        let fits = move |replica: &&Replica| replica.takes_work() && *replica.record.service == *service;
        self.replicas.values().filter(fits)
    }

    /// Returns the records of the replicas of `service` that may receive new work.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Record> {
        self.living(service).filter(|replica| self.takes(replica)).map(|replica| &replica.record)
    }

    /// Returns whether `service` has replicas and all of them are in evacuated failure domains.
    pub fn is_emptied(&self, service: &str) -> bool {
        self.living(service).next().is_some() && self.usable(service).next().is_none()
    }

    /// Returns the cold replicas of `service`, which accept fewer requests, with the end of their cold period. A
    /// replica whose failure domain was evacuated may have turned cold without having reported it yet, so it counts
    /// as cold for `lasts` after the evacuation ended.
    pub fn cold<'a>(
        &'a self,
        service: &'a str,
        lasts: Duration,
        now: Moment,
    ) -> impl Iterator<Item = (&'a Name, Moment)> {
        let until = move |replica: &Replica| {
            let returned = self.returned.get(&replica.record.failure_domain);
            replica.cold_until.max(returned.map_or(Moment::ZERO, |returned| *returned + lasts))
        };
        let cold = self.living(service).map(move |replica| (&replica.record.id, until(replica)));
        cold.filter(move |(_, until)| *until > now)
    }
}
