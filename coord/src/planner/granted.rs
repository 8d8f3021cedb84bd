//! Jobs that have their engines, and when their first events are overdue.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::job::{Id, Team};
use super::policy::{SLOW, SLOW_BY_MS};
use crate::engine::millis;
use crate::time::Moment;

/// A job that has its engines.
#[derive(Debug)]
pub struct Grantee {
    /// Its engines.
    pub team: Team,
    /// When it got them.
    pub granted_at: Moment,
    /// A first event that comes after this shows that an engine must be to blame.
    overdue_after: Moment,
}

impl Grantee {
    /// A job that got its engines at `now`, and whose first event is expected that many milliseconds later.
    pub fn new(team: Team, expected_ms: f64, now: Moment) -> Self {
        Self { team, granted_at: now, overdue_after: now + millis(expected_ms * SLOW + SLOW_BY_MS) }
    }

    /// Whether its first event is so late that an engine must be to blame.
    pub fn is_overdue(&self, now: Moment) -> bool {
        now > self.overdue_after
    }
}

/// All jobs that have their engines.
#[derive(Debug, Default)]
pub struct Granted {
    jobs: BTreeMap<Id, Grantee>,
    /// Those that are still being read, as far as is known, and not yet overdue, by when they will be.
    watched: BTreeSet<(Moment, Id)>,
}

impl Granted {
    /// Adds a job; `reading` tells whether its first event has yet to come.
    pub fn insert(&mut self, id: Id, job: Grantee, reading: bool) {
        self.remove(id);
        if reading {
            self.watched.insert((job.overdue_after, id));
        }
        self.jobs.insert(id, job);
    }

    /// Notes that a job's first event came, and returns the job.
    pub fn first_event(&mut self, id: Id) -> Option<&Grantee> {
        let job = self.jobs.get(&id)?;
        self.watched.remove(&(job.overdue_after, id));
        Some(job)
    }

    /// A job.
    pub fn get(&self, id: Id) -> Option<&Grantee> {
        self.jobs.get(&id)
    }

    /// Expects the first events of the jobs of some entries so much later.
    pub fn postpone(&mut self, is_late: impl Fn(&Id) -> bool, by: Duration) {
        for (id, job) in self.jobs.iter_mut().filter(|(id, _)| is_late(id)) {
            let was_watched = self.watched.remove(&(job.overdue_after, *id));
            job.overdue_after = job.overdue_after + by;
            if was_watched {
                self.watched.insert((job.overdue_after, *id));
            }
        }
    }

    /// Takes a job out.
    pub fn remove(&mut self, id: Id) -> Option<Grantee> {
        let job = self.jobs.remove(&id)?;
        self.watched.remove(&(job.overdue_after, id));
        Some(job)
    }

    /// Identities of all.
    pub fn ids(&self) -> impl Iterator<Item = &Id> {
        self.jobs.keys()
    }

    /// The next job whose first event has become overdue, each once.
    pub fn next_overdue(&mut self, now: Moment) -> Option<&Grantee> {
        let (overdue_after, id) = *self.watched.first()?;
        if now <= overdue_after {
            return None;
        }
        self.watched.pop_first();
        self.jobs.get(&id)
    }
}
