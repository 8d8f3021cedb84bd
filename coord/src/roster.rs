//! What a process believes of the replicas of all services, from the records that they keep in a store.
//!
//! Three things make this more than a map. A replica that announced its end never takes work
//! again. A record may vanish because its replica left, or because the store could not be reached
//! for so long that records lapsed: after an outage a vanished record counts as *lapsed* for a
//! while before it counts as gone. And a store that answers with an older state than was already
//! seen does not take anything back.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::time::Moment;

/// A replica as its record tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identity of this run of the replica; never used twice.
    pub id: Name,
    /// The service it belongs to.
    pub service: Name,
    /// Where it listens, `ip:port`.
    pub address: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Requests at once.
    pub slots: u32,
    /// Whether it announced its end.
    pub leaving: bool,
}

/// What the store says of a replica at one offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// The replica's record.
    Here(Record),
    /// The record was removed.
    Removed(Name),
}

impl News {
    /// The replica that it is about.
    pub fn id(&self) -> &Name {
        match self {
            News::Here(record) => &record.id,
            News::Removed(id) => id,
        }
    }
}

/// News with the offset at which the store has them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// The offset.
    pub offset: u64,
    /// What stands there.
    pub news: News,
}

/// How far a replica may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It takes work.
    Ready,
    /// Its record vanished right after an outage of the store; it takes work until `Moment`.
    Lapsed(Moment),
    /// It is leaving or gone, and takes no new work.
    Gone,
}

/// One replica with its standing.
#[derive(Clone, Debug)]
pub struct Replica {
    /// As last recorded.
    pub record: Record,
    /// How far it may be used.
    pub standing: Standing,
    /// Offset of the newest news of it.
    offset: u64,
    /// Offset of the newest news that changed anything; heartbeats rewrite records as they are.
    changed_at: u64,
    /// Whether its record stands in the store.
    listed: bool,
}

impl Replica {
    /// Whether new work may go there.
    pub fn takes_work(&self) -> bool {
        self.standing != Standing::Gone
    }

    /// The newest news of it that changed anything.
    fn sighting(&self) -> Sighting {
        let news = if self.listed { News::Here(self.record.clone()) } else { News::Removed(self.record.id.clone()) };
        Sighting { offset: self.changed_at, news }
    }
}

/// All replicas that this process knows of.
#[derive(Debug, Default)]
pub struct Roster {
    replicas: BTreeMap<Name, Replica>,
    /// A vanished record counts as lapsed until then.
    doubtful_until: Moment,
    /// A whole picture showed all records below this offset that still stood; what it left out was removed.
    whole_below: u64,
}

/// A change of belief, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The replica.
    pub id: Name,
    /// Its standing from now on.
    pub standing: Standing,
}

impl Roster {
    /// Notes that the store answers again after an outage: what vanishes within `grace` may only have lapsed.
    pub fn store_returned(&mut self, now: Moment, grace: Duration) {
        self.doubtful_until = self.doubtful_until.max(now + grace);
    }

    /// For how long a vanished record still counts as lapsed.
    pub fn doubt_left(&self, now: Moment) -> Duration {
        self.doubtful_until.since(now)
    }

    /// What changed at offset `from` or later, one piece of news a replica.
    pub fn since(&self, from: u64) -> Vec<Sighting> {
        self.replicas.values().filter(|known| known.changed_at >= from).map(Replica::sighting).collect()
    }

    /// Takes one piece of news at its offset; older news than known is left out.
    pub fn hear(&mut self, offset: u64, news: News, now: Moment) -> Option<Change> {
        match news {
            News::Here(record) => self.here(offset, record),
            News::Removed(id) => self.removed(offset, &id, now),
        }
    }

    fn here(&mut self, offset: u64, record: Record) -> Option<Change> {
        let id = record.id.clone();
        let known = self.replicas.get(&id);
        // One that the whole picture left out is gone, whatever another process still believes: told again by us, it would
        // keep that process from ever hearing of its end.
        if offset < known.map_or(self.whole_below, |known| known.offset) {
            return None;
        }
        // An announced end is final; a vanished record may come back with its replica.
        let leaving = record.leaving || known.is_some_and(|known| known.record.leaving);
        let standing = if leaving { Standing::Gone } else { Standing::Ready };
        let record = Record { leaving, ..record };
        let changed = known.is_none_or(|known| known.standing != standing);
        let same = known.filter(|known| known.listed && known.record == record && !changed);
        let changed_at = same.map_or(offset, |known| known.changed_at);
        self.replicas.insert(id.clone(), Replica { record, standing, offset, changed_at, listed: true });
        changed.then_some(Change { id, standing })
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
        changed.then(|| Change { id: id.clone(), standing })
    }

    /// Takes a whole picture whose newest offset is below `end`: what it leaves out was removed.
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

    /// Turns lapsed replicas whose time is over into gone ones.
    pub fn expire(&mut self, now: Moment) -> Vec<Change> {
        let mut changes = Vec::new();
        for (id, replica) in &mut self.replicas {
            if matches!(replica.standing, Standing::Lapsed(until) if until <= now) {
                replica.standing = Standing::Gone;
                changes.push(Change { id: id.clone(), standing: Standing::Gone });
            }
        }
        changes
    }

    /// Notes proof that another replica has this one's address: it is gone.
    pub fn displaced(&mut self, id: &str) -> Option<Change> {
        let known = self.replicas.get_mut(id)?;
        let changed = known.standing != Standing::Gone;
        known.standing = Standing::Gone;
        changed.then(|| Change { id: known.record.id.clone(), standing: Standing::Gone })
    }

    /// A replica by identity.
    pub fn get(&self, id: &str) -> Option<&Replica> {
        self.replicas.get(id)
    }

    /// Replicas of `service` that take new work.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Record> {
        let fits = move |replica: &&Replica| replica.takes_work() && *replica.record.service == *service;
        self.replicas.values().filter(fits).map(|replica| &replica.record)
    }
}
