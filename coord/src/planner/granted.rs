//! Granted jobs, and the time at which their first events are overdue.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::job::{Id, Team};
use super::policy::{SLOW, SLOW_BY_MS};
use crate::engine::millis;
use crate::time::Moment;

#[derive(Debug)]
pub struct Grantee {
    pub team: Team,
    pub granted_at: Moment,
    /// Time after which a missing first event is blamed on an engine.
    overdue_after: Moment,
}

impl Grantee {
    /// Creates a job that is granted at `now` and whose first event is expected `expected_ms` milliseconds later.
    pub fn new(team: Team, expected_ms: f64, now: Moment) -> Self {
        Self { team, granted_at: now, overdue_after: now + millis(expected_ms * SLOW + SLOW_BY_MS) }
    }

    /// Returns whether the first event is so late that an engine must be at fault.
    pub fn is_overdue(&self, now: Moment) -> bool {
        now > self.overdue_after
    }
}

#[derive(Debug, Default)]
pub struct Granted {
    jobs: BTreeMap<Id, Grantee>,
    /// Jobs that await their first events and are not yet overdue, by the time at which they become overdue.
    watched: BTreeSet<(Moment, Id)>,
}

impl Granted {
    /// Adds a job; `reading` tells whether its first event is still to come.
    pub fn insert(&mut self, id: Id, job: Grantee, reading: bool) {
        self.remove(id);
        if reading {
            self.watched.insert((job.overdue_after, id));
        }
        self.jobs.insert(id, job);
    }

    /// Records that a job produced its first event; returns the job.
    pub fn first_event(&mut self, id: Id) -> Option<&Grantee> {
        let job = self.jobs.get(&id)?;
        self.watched.remove(&(job.overdue_after, id));
        Some(job)
    }

    pub fn get(&self, id: Id) -> Option<&Grantee> {
        self.jobs.get(&id)
    }

    /// Postpones the expected first events of the jobs for which `is_late` returns true.
    pub fn postpone(&mut self, is_late: impl Fn(&Id) -> bool, by: Duration) {
        for (id, job) in self.jobs.iter_mut().filter(|(id, _)| is_late(id)) {
            let was_watched = self.watched.remove(&(job.overdue_after, *id));
            job.overdue_after = job.overdue_after + by;
            if was_watched {
                self.watched.insert((job.overdue_after, *id));
            }
        }
    }

    pub fn remove(&mut self, id: Id) -> Option<Grantee> {
        let job = self.jobs.remove(&id)?;
        self.watched.remove(&(job.overdue_after, id));
        Some(job)
    }

    /// Returns the identities of all granted jobs.
    pub fn ids(&self) -> impl Iterator<Item = &Id> {
        self.jobs.keys()
    }

    /// Returns the next job whose first event has become overdue; each job is returned once.
    pub fn next_overdue(&mut self, now: Moment) -> Option<&Grantee> {
        let (overdue_after, id) = *self.watched.first()?;
        if now <= overdue_after {
            return None;
        }
        self.watched.pop_first();
        self.jobs.get(&id)
    }
}
