//! The planner in its plainest form: each pump ranks all that waits and lists all engines for each prompt. The planner
//! proper must decide alike; see `planner_plain.rs`.

mod engine;
mod evidence;
mod granted;
mod order;
mod place;
mod policy;

use std::collections::BTreeMap;
use std::sync::Arc;

use self::engine::{Engine, Seat};
use self::evidence::Evidence;
use self::granted::Granted;
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
    /// Orders engines that are equally good; planners that know nothing of each other should not choose alike.
    salt: u64,
    engines: BTreeMap<Name, Engine>,
    evidence: Evidence,
    /// Long prompts wait until then: not all who have prompts at the engines have told yet.
    settled_at: Moment,
    waiting: BTreeMap<Id, Job>,
    /// What was granted.
    granted: BTreeMap<Id, Granted>,
}

impl Planner {
    /// A planner with a policy and no engines. Planners of different `salt` prefer different engines.
    pub fn new(policy: Policy, salt: u64) -> Self {
        let salt = if policy.salt { salt } else { 0 };
        Self { policy, salt, ..Self::default() }
    }

    /// Sets which engines take work. What runs on an engine that is left out is forgotten.
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

    /// Notes that others are about to tell what they have at the engines.
    pub fn unsettle(&mut self, now: Moment) {
        if self.policy.settling {
            self.settled_at = now + SETTLING;
        }
    }

    /// Whether jobs wait.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Takes a job in; [`Planner::pump`] grants it.
    pub fn submit(&mut self, id: Id, job: Job) {
        self.waiting.insert(id, job);
    }

    /// Takes in a job that was granted elsewhere.
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

    /// Milliseconds until a team that is granted now has read a prompt and writes its first event.
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

    /// Notes that a job's first event came: its prompt is read.
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
                // One of them is slow, who knows which.
                true => self.evidence.suspect(name, now),
            }
        }
    }

    /// Notes that a job is over, or no longer waits.
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

    /// Suspects the engines of prompts whose first events are overdue.
    fn look_for_slow(&mut self, now: Moment) {
        if !self.policy.suspicion {
            return;
        }
        for granted in self.granted.values_mut().filter(|granted| granted.watched && granted.is_overdue(now)) {
            granted.watched = false;
            granted.team.engines().for_each(|name| self.evidence.suspect(name, now));
        }
    }

    /// Forgets all jobs of an entry.
    pub fn end_entry(&mut self, entry: u64, now: Moment) {
        let of_entry = |id: &&Id| id.entry == entry;
        let ids: Vec<Id> = self.waiting.keys().chain(self.granted.keys()).filter(of_entry).copied().collect();
        for id in ids {
            self.end(id, now);
        }
    }

    /// Notes that an engine failed a job of an entry: it is left out for a growing while.
    pub fn failed(&mut self, entry: u64, engine: &Name, now: Moment) {
        if self.policy.breakers && self.engines.contains_key(engine) {
            self.evidence.failed(entry, engine, now);
        }
    }

    /// Grants what may start now.
    pub fn pump(&mut self, now: Moment) -> Vec<Grant> {
        self.look_for_slow(now);
        let mut grants = Vec::new();
        let mut held_back = false;
        for Ranked { id, job, late, .. } in self.ranked(now) {
            // What is late anyway must not take the engines that one in time waits for.
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

/// Output tokens that a job is expected to write at most, for memory.
const LIKELY_OUTPUT: u64 = 4_096;

/// Memory that a job takes, in tokens.
fn needs(job: &Job) -> u64 {
    job.prompt + job.output.min(LIKELY_OUTPUT)
}
