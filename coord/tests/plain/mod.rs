//! Reference implementation of the planner. Each pump sorts all waiting prompts and scans all engines for each of
//! them. `planner_plain.rs` checks that the planner in `src` makes the same decisions.

mod engine;
mod granted;
mod health;
mod order;
mod place;
mod policy;

use std::collections::BTreeMap;
use std::sync::Arc;

use self::engine::{Engine, Seat};
use self::granted::Granted;
use self::health::Evidence;
use self::order::Ranked;
use self::place::Reach;
use self::policy::SETTLING;
use coord::engine::Figures;
use coord::name::Name;
use coord::planner::{Grant, Id, Job, Policy, Team};
use coord::time::Moment;

/// The planner of one service.
#[derive(Debug, Default)]
pub struct Planner {
    policy: Policy,
    /// Breaks ties between equally good engines, so that planners that do not know of each other choose differently.
    salt: u64,
    engines: BTreeMap<Name, Engine>,
    evidence: Evidence,
    /// Time before which long prompts must wait, because not all entries have reported their running jobs yet.
    settled_at: Moment,
    waiting: BTreeMap<Id, Job>,
    granted: BTreeMap<Id, Granted>,
}

impl Planner {
    /// Creates a planner without engines. Planners with different `salt` prefer different engines.
    pub fn new(policy: Policy, salt: u64) -> Self {
        let salt = if policy.salt { salt } else { 0 };
        Self { policy, salt, ..Self::default() }
    }

    /// Sets the engines that accept work. Jobs on an engine that is left out are forgotten.
    pub fn set_engines(&mut self, engines: impl IntoIterator<Item = (Name, Arc<Figures>)>) {
        let mut old = std::mem::take(&mut self.engines);
        for (name, figures) in engines {
            let engine = match old.remove(&name) {
                Some(mut engine) => {
                    engine.figures = figures;
                    engine
                }
                None => Engine::new(figures),
            };
            self.engines.insert(name, engine);
        }
        self.evidence.keep(|name| self.engines.contains_key(name));
    }

    /// Starts the settling period, in which entries report the jobs that they have at the engines.
    pub fn unsettle(&mut self, now: Moment) {
        if self.policy.settling {
            self.settled_at = now + SETTLING;
        }
    }

    /// Returns whether any job waits.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Adds a job to the queue; [`Planner::pump`] grants it.
    pub fn submit(&mut self, id: Id, job: Job) {
        self.waiting.insert(id, job);
    }

    /// Records a job that another planner granted. `reading` tells whether its prompt is still being prefilled.
    pub fn adopt(&mut self, id: Id, job: &Job, team: Team, reading: bool, now: Moment) {
        self.waiting.remove(&id);
        let parts = 1 + team.helpers.len();
        let held: u64 = team.helpers.iter().map(|helper| helper.holds).sum();
        let expected_ms = self.expected_ms(job, &team, now);
        if reading {
            for name in team.engines() {
                let Some(engine) = self.engines.get_mut(name) else { continue };
                let ms = engine.figures.part_ms(job.prompt, parts);
                engine.add_part(id, ms, now);
            }
        }
        self.seat(&team.writer, id, needs(job).saturating_sub(held), job.gap_ms);
        for helper in team.helpers.iter().filter(|helper| helper.holds > 0) {
            self.seat(&helper.engine, id, helper.holds, job.gap_ms);
        }
        self.granted.insert(id, Granted { team, at: now, expected_ms, watched: reading });
    }

    /// Returns the expected time from a grant at `now` to the first event, in milliseconds.
    fn expected_ms(&self, job: &Job, team: &Team, now: Moment) -> f64 {
        let engines = team.engines().filter_map(|name| self.engines.get(name));
        let wait = engines.clone().map(|engine| engine.wait_ms(now)).fold(0.0, f64::max);
        let pass = engines.map(Engine::pass_ms).fold(0.0, f64::max);
        wait + self.cost_ms(job) / (1 + team.helpers.len()) as f64 + pass
    }

    fn seat(&mut self, engine: &Name, id: Id, tokens: u64, gap_ms: f64) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.seats.insert(id, Seat { tokens, gap_ms });
        }
    }

    /// Records that a job produced its first event, which means that its prompt is prefilled.
    pub fn first_event(&mut self, id: Id, now: Moment) {
        let Some(granted) = self.granted.get_mut(&id) else { return };
        let overdue = granted.is_overdue(now);
        granted.watched = false;
        let team = granted.team.clone();
        for name in team.engines() {
            if let Some(engine) = self.engines.get_mut(name) {
                engine.drop_part(id, now);
            }
            match overdue && self.policy.suspicion {
                false => self.evidence.succeeded(id.entry, name, now),
                true if team.helpers.is_empty() => self.evidence.failed(id.entry, name, now),
                // Any engine of the team may be the slow one.
                true => self.evidence.suspect(name, now),
            }
        }
    }

    /// Removes a job that has finished or no longer waits.
    pub fn end(&mut self, id: Id, now: Moment) {
        self.waiting.remove(&id);
        let Some(granted) = self.granted.remove(&id) else { return };
        for name in granted.team.engines() {
            if let Some(engine) = self.engines.get_mut(name) {
                engine.drop_part(id, now);
                engine.seats.remove(&id);
            }
        }
    }

    /// Puts the engines of prompts with overdue first events on trial.
    fn look_for_slow(&mut self, now: Moment) {
        if !self.policy.suspicion {
            return;
        }
        for granted in self.granted.values_mut().filter(|granted| granted.watched && granted.is_overdue(now)) {
            granted.watched = false;
            granted.team.engines().for_each(|name| self.evidence.suspect(name, now));
        }
    }

    /// Removes an entry with all its jobs.
    pub fn end_entry(&mut self, entry: u64, now: Moment) {
        let of_entry = |id: &&Id| id.entry == entry;
        let ids: Vec<Id> = self.waiting.keys().chain(self.granted.keys()).filter(of_entry).copied().collect();
        for id in ids {
            self.end(id, now);
        }
    }

    /// Records that an engine failed a job of an entry. The engine is ejected for a period that grows with each
    /// failure.
    pub fn failed(&mut self, entry: u64, engine: &Name, now: Moment) {
        if self.policy.breakers && self.engines.contains_key(engine) {
            self.evidence.failed(entry, engine, now);
        }
    }

    /// Grants the prompts that can start now.
    pub fn pump(&mut self, now: Moment) -> Vec<Grant> {
        self.look_for_slow(now);
        let mut grants = Vec::new();
        let mut held_back = false;
        for Ranked { id, job, late, .. } in self.ranked(now) {
            // A late prompt must not take engines that a prompt still in time waits for.
            let reach = match late && held_back && self.policy.late_last {
                true if self.policy.late_shared => Reach::Shared,
                true => break,
                false => Reach::All,
            };
            let placed = self.place(id, &job, reach, now);
            held_back |= placed.is_none();
            if let Some(grant) = placed {
                self.adopt(id, &job, grant.team.clone(), true, now);
                grant.team.engines().for_each(|engine| self.evidence.begin(engine, now));
                grants.push(grant);
            }
        }
        grants
    }
}

/// Output tokens per job that memory is reserved for at most.
const LIKELY_OUTPUT: u64 = 4_096;

/// Returns the memory that a job takes, in tokens.
fn needs(job: &Job) -> u64 {
    job.prompt + job.output.min(LIKELY_OUTPUT)
}
