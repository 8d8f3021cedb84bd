//! Granted jobs, and the time at which their first events are overdue.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::job::{Id, Team};
use super::policy::{SLOW_FACTOR, SLOW_MARGIN_MS};
use crate::engine::duration_from_ms;
use crate::time::Moment;

#[derive(Debug)]
pub struct GrantedJob {
    pub team: Team,
    pub granted_at: Moment,
    pub is_short: bool,
    /// Expected time from the grant to the first event, in milliseconds.
    pub expected_ms: f64,
    /// Whether the first event was postponed, so that it says nothing about the prediction.
    pub is_postponed: bool,
    /// Time after which a missing first event is blamed on an engine.
    overdue_after: Moment,
}

impl GrantedJob {
    /// Creates a job that is granted at `now` and whose first event is expected `expected_ms` milliseconds later.
    pub fn new(team: Team, is_short: bool, expected_ms: f64, now: Moment) -> Self {
        Self {
            team,
            granted_at: now,
            is_short,
            expected_ms,
            is_postponed: false,
            overdue_after: now + duration_from_ms(expected_ms * SLOW_FACTOR + SLOW_MARGIN_MS),
        }
    }

    /// Returns whether the first event is so late that an engine must be at fault.
    pub fn is_overdue(&self, now: Moment) -> bool {
        now > self.overdue_after
    }
}

#[derive(Debug, Default)]
pub struct GrantedJobs {
    jobs: BTreeMap<Id, GrantedJob>,
    /// Jobs that await their first events and are not yet overdue, by the time at which they become overdue.
    awaiting_first_event: BTreeSet<(Moment, Id)>,
}

impl GrantedJobs {
    /// Adds a job; `is_prefilling` tells whether its first event is still to come.
    pub fn insert(&mut self, id: Id, job: GrantedJob, is_prefilling: bool) {
        self.remove(id);
        if is_prefilling {
            self.awaiting_first_event.insert((job.overdue_after, id));
        }
        self.jobs.insert(id, job);
    }

    /// Records that a job produced its first event, and returns the job.
    pub fn first_event(&mut self, id: Id) -> Option<&GrantedJob> {
        let job = self.jobs.get(&id)?;
        self.awaiting_first_event.remove(&(job.overdue_after, id));
        Some(job)
    }

    pub fn get(&self, id: Id) -> Option<&GrantedJob> {
        self.jobs.get(&id)
    }

    /// Postpones the expected first events of the jobs for which `is_affected` returns true.
    pub fn postpone(&mut self, is_affected: impl Fn(&Id) -> bool, delay: Duration) {
        for (id, job) in self.jobs.iter_mut().filter(|(id, _)| is_affected(id)) {
            let was_awaiting_first_event = self.awaiting_first_event.remove(&(job.overdue_after, *id));
            job.overdue_after = job.overdue_after + delay;
            job.is_postponed = true;
            if was_awaiting_first_event {
                self.awaiting_first_event.insert((job.overdue_after, *id));
            }
        }
    }

    pub fn remove(&mut self, id: Id) -> Option<GrantedJob> {
        let job = self.jobs.remove(&id)?;
        self.awaiting_first_event.remove(&(job.overdue_after, id));
        Some(job)
    }

    pub fn ids(&self) -> impl Iterator<Item = &Id> {
        self.jobs.keys()
    }

    /// Returns the next job whose first event has become overdue; each job is returned once.
    pub fn next_overdue(&mut self, now: Moment) -> Option<&GrantedJob> {
        let (overdue_after, id) = *self.awaiting_first_event.first()?;
        if now <= overdue_after {
            return None;
        }
        self.awaiting_first_event.pop_first();
        self.jobs.get(&id)
    }
}
