//! Orders prompts and assigns them to the engines of a service.
//!
//! The planner keeps a model of each engine: the prompts that it prefills, the answers that it decodes, and the
//! tokens that its memory holds. It grants a prompt an engine, and helpers that prefill parts of it, if the time
//! model of [`crate::engine`] predicts that two limits hold: no gap between the events of a decoding answer exceeds
//! the limit of its caller, and the first event of the prompt is in time. Short prompts are granted at once and
//! packed onto few engines, so that the other engines decode nothing that a long prefill would stall. Long prompts
//! wait in the queue, shortest first, and are prefilled in parts by many engines.
//!
//! The same planner serves a process that decides for all entries and one that decides only for itself. No safety
//! property depends on the model being complete.

mod engine;
mod estimate;
mod fleet;
mod granted;
mod job;
mod overload;
mod pace;
mod path_failures;
mod place;
mod policy;
mod rationed;
mod snapshot;
mod unresponsive;
mod wait_queue;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use self::engine::{Engine, Seat};
use self::fleet::Fleet;
use self::granted::{Granted, Grantee};
pub use self::job::{Grant, Helper, Id, Job, Team};
use self::overload::Pressure;
pub use self::overload::Refusal;
use self::path_failures::Evidence;
use self::place::{Hopeless, Reach};
pub use self::policy::Policy;
use self::policy::SETTLING;
use self::snapshot::Board;
pub use self::snapshot::{Bar, Tally};
use self::wait_queue::{Turn, Waiting};
use crate::engine::Figures;
use crate::limit::Allowance;
use crate::name::Name;
use crate::pick::rendezvous;
use crate::quarantine::Work;
use crate::rest;
use crate::time::Moment;

/// Bounds the number of engines that are listed to explain why prompts wait; 12 give a log line of some 300 bytes.
const MOST_BARS: usize = 12;

/// The planner of one service.
#[derive(Debug, Default)]
pub struct Planner {
    policy: Policy,
    /// Breaks ties between equally good engines, so that planners that do not know of each other choose differently.
    salt: u64,
    fleet: Fleet,
    /// State of the engines at the last pump.
    board: Board,
    evidence: Evidence,
    /// Time before which long prompts must wait, because not all entries have reported their running jobs yet.
    settled_at: Moment,
    waiting: Waiting,
    granted: Granted,
    pressure: Pressure,
    /// Work that is suspected of crashing engines.
    suspects: BTreeSet<Work>,
    /// Backoffs that engines requested, by entry.
    rests: BTreeMap<u64, rest::Register>,
}

impl Planner {
    /// Creates a planner without engines. Planners with different `salt` prefer different engines.
    pub fn new(policy: Policy, salt: u64) -> Self {
        let salt = if policy.salt { salt } else { 0 };
        Self { policy, salt, waiting: Waiting::new(policy.cheapest_first), ..Self::default() }
    }

    /// Sets the engines that accept work. Jobs on an engine that is left out are forgotten.
    pub fn set_engines(&mut self, engines: impl IntoIterator<Item = (Name, Arc<Figures>)>) {
        self.fleet.set(engines);
        self.evidence.keep(|name| self.fleet.position(name).is_some());
        let figures = self.fleet.figures().map(AsRef::as_ref);
        let engines = self.fleet.engines().len();
        self.waiting.renew(|job| estimate::prompt(job, figures, engines, &self.policy));
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
        self.waiting.insert(id, self.prompt(job));
    }

    /// Records a job that another planner granted. `reading` tells whether its prompt is still being prefilled.
    pub fn adopt(&mut self, id: Id, job: &Job, team: Team, reading: bool, now: Moment) {
        self.take_in(id, job, team, reading, now);
    }

    /// Records a granted job; returns the expected time to its first event, in milliseconds.
    fn take_in(&mut self, id: Id, job: &Job, team: Team, reading: bool, now: Moment) -> f64 {
        self.waiting.remove(id);
        let parts = 1 + team.helpers.len();
        let held: u64 = team.helpers.iter().map(|helper| helper.holds).sum();
        let prompt = self.prompt(*job);
        let expected_ms = self.expected_ms(prompt.read_ms, &team, now);
        if reading {
            for name in team.engines() {
                let Some(engine) = self.fleet.get_mut(name) else { continue };
                let ms = engine.figures().part_ms(job.prompt, parts);
                engine.add_part(id, ms, now);
            }
        }
        let suspect = self.suspected_work(job);
        let seat = |tokens, suspect| Seat { tokens, gap_ms: job.gap_ms, short: prompt.short, suspect };
        self.seat(&team.writer, id, seat(job.needs().saturating_sub(held), suspect));
        for helper in team.helpers.iter().filter(|helper| helper.holds > 0) {
            self.seat(&helper.engine, id, seat(helper.holds, None));
        }
        self.granted.insert(id, Grantee::new(team, expected_ms, now), reading);
        expected_ms
    }

    fn seat(&mut self, engine: &Name, id: Id, seat: Seat) {
        if let Some(engine) = self.fleet.get_mut(engine) {
            engine.seat(id, seat);
        }
    }

    /// Records that a job produced its first event, which means that its prompt is prefilled.
    pub fn first_event(&mut self, id: Id, now: Moment) {
        let Some(job) = self.granted.first_event(id) else { return };
        let overdue = job.is_overdue(now) && self.policy.suspicion;
        let alone = job.team.helpers.is_empty();
        for name in job.team.engines() {
            let Some(engine) = self.fleet.get_mut(name) else { continue };
            engine.drop_part(id, now);
            if !overdue {
                engine.answered_at = now;
                self.evidence.succeeded(id.entry, name);
                if let Some(breaker) = &mut engine.breaker {
                    breaker.succeeded(now);
                }
            } else if alone {
                let share = self.evidence.failed(id.entry, name, now);
                engine.breaker.get_or_insert_default().failed(share, now);
            }
        }
        if overdue && !alone {
            // Any engine of the team may be the slow one.
            let (team, granted_at) = (job.team.clone(), job.granted_at);
            self.suspect(&team, granted_at, now);
        }
    }

    /// Postpones the expected first events of an entry that was frozen, or of all entries if this process was. Events
    /// that occurred during the freeze are handled late, which is no fault of the engines: without this, each first
    /// event that was in time but handled after a freeze would count as a failure, and a few of those eject an engine
    /// for the longest period.
    pub fn absent(&mut self, entry: Option<u64>, by: Duration) {
        self.granted.postpone(|id| entry.is_none_or(|entry| entry == id.entry), by);
    }

    /// Sets the work that is suspected of crashing engines; its prompts are isolated from others.
    pub fn set_suspects(&mut self, suspects: impl IntoIterator<Item = Work>) {
        self.suspects = suspects.into_iter().collect();
    }

    /// Returns the work of a job if that work is suspected.
    fn suspected_work(&self, job: &Job) -> Option<Work> {
        job.work.filter(|work| self.suspects.contains(work))
    }

    /// Removes a job that has finished or no longer waits.
    pub fn end(&mut self, id: Id, now: Moment) {
        self.waiting.remove(id);
        let Some(job) = self.granted.remove(id) else { return };
        for name in job.team.engines() {
            if let Some(engine) = self.fleet.get_mut(name) {
                engine.drop_part(id, now);
                engine.unseat(id);
            }
        }
    }

    /// Puts the engines of prompts with overdue first events on trial.
    fn look_for_slow(&mut self, now: Moment) {
        if !self.policy.suspicion {
            return;
        }
        while let Some(job) = self.granted.next_overdue(now) {
            let (team, granted_at) = (job.team.clone(), job.granted_at);
            self.suspect(&team, granted_at, now);
        }
    }

    /// Removes an entry with all its jobs.
    pub fn end_entry(&mut self, entry: u64, now: Moment) {
        let of_entry = |id: &&Id| id.entry == entry;
        let ids: Vec<Id> = self.waiting.ids().chain(self.granted.ids()).filter(of_entry).copied().collect();
        for id in ids {
            self.end(id, now);
        }
        self.rests.remove(&entry);
    }

    /// Records that an engine failed a job of an entry. The engine is ejected for a period that grows with each
    /// failure.
    pub fn failed(&mut self, entry: u64, engine: &Name, now: Moment) {
        let Some(known) = self.fleet.get_mut(engine).filter(|_| self.policy.breakers) else { return };
        let share = self.evidence.failed(entry, engine, now);
        known.breaker.get_or_insert_default().failed(share, now);
    }

    /// Records that an engine asked an entry to send it nothing for the period `rest`. Other entries are not
    /// affected.
    pub fn rests(&mut self, entry: u64, engine: &Name, rest: Duration, now: Moment) {
        self.rests.entry(entry).or_default().hear(engine, rest, now);
    }

    /// Resets an engine that restarted under the same name. Its memory and prefill queue are empty, and earlier
    /// failures and slowdowns belong to the previous run.
    pub fn restarted(&mut self, engine: &Name) {
        self.evidence.keep(|name| name != engine);
        self.rests.values_mut().for_each(|rests| rests.forget(engine));
        if let Some(known) = self.fleet.get_mut(engine) {
            *known = Engine::new(engine.clone(), known.sound().clone());
        }
    }

    /// Sets the rate limit that an engine announces, in requests per second, and the `share` of it that this planner
    /// may grant; `None` removes the limit. A request to a helper counts as much as one to the writer.
    pub fn set_limit(&mut self, engine: &Name, rate: Option<f64>, share: f64, now: Moment) {
        let salt = self.salt;
        let Some(engine) = self.fleet.get_mut(engine) else { return };
        match (rate, &mut engine.limit) {
            (None, limit) => *limit = None,
            (Some(rate), Some(limit)) => limit.set(rate, share, now),
            (Some(rate), limit) => *limit = Some(Allowance::new(rate, share, start(salt, &engine.name), now)),
        }
    }

    /// Resets the saved-up allowance of all rate limits. Needed when this planner takes over from another one whose
    /// recent grants it does not know.
    pub fn restart_limits(&mut self, now: Moment) {
        let salt = self.salt;
        for engine in self.fleet.engines_mut() {
            if let Some(limit) = &mut engine.limit {
                limit.restart(start(salt, &engine.name), now);
            }
        }
    }

    /// Grants the prompts that can start now.
    pub fn pump(&mut self, now: Moment) -> Vec<Grant> {
        self.look_for_slow(now);
        let mut grants = Vec::new();
        if self.waiting.is_empty() || self.fleet.engines().is_empty() {
            self.pressure.note(false, now);
            return grants;
        }
        self.board.refresh(self.fleet.engines(), &self.policy, now);
        let mut hopeless = Hopeless::default();
        let mut held_back = false;
        let mut timely_wait = false;
        for turn in &self.waiting.turns(now) {
            // A late prompt must not take engines that a prompt still in time waits for.
            let reach = match turn.late && held_back && self.policy.late_last {
                true if self.policy.late_shared => Reach::Shared,
                true => break,
                false => Reach::All,
            };
            let barred = self.barred(turn.id.entry, now);
            // A failed placement of a suspect, or of an entry that engines asked to back off, does not predict the
            // result for other prompts.
            let is_apart = self.suspected_work(&turn.prompt.job).is_some() || barred.has_resting();
            let is_hopeless = !is_apart && barred.is_empty() && hopeless.covers(&turn.prompt, reach);
            let placed = if is_hopeless { None } else { self.place(turn, reach, &barred, now) };
            let Some(team) = placed else {
                if is_apart {
                    continue;
                }
                held_back = true;
                timely_wait |= !turn.late;
                if barred.is_empty() && !is_hopeless {
                    hopeless.note(&turn.prompt, reach);
                }
                continue;
            };
            hopeless.clear();
            if turn.late {
                self.pressure.granted_late(&turn.prompt, now);
            }
            grants.push(self.grant(turn, team, now));
        }
        self.pressure.note(timely_wait, now);
        grants
    }

    /// Returns for how long prompts that could be in time have found no engine, the number of waiting prompts, and
    /// the engine counts of the last pump.
    pub fn held(&self, now: Moment) -> (Duration, usize, Tally) {
        (self.pressure.held_for(now), self.waiting.ids().count(), self.board.tally(&self.policy))
    }

    /// Returns the first rule that excluded each engine from short prompts at the last pump, for up to `MOST_BARS`
    /// engines.
    pub fn bars(&self) -> Vec<(&Name, Bar)> {
        let engines = self.fleet.engines();
        let named = self.board.bars(&self.policy).filter_map(|(index, bar)| Some((&engines.get(index)?.name, bar)));
        named.take(MOST_BARS).collect()
    }

    /// Records the grant and updates breakers, rate limits and the board.
    fn grant(&mut self, turn: &Turn, team: Team, now: Moment) -> Grant {
        let expected_ms = self.take_in(turn.id, &turn.prompt.job, team.clone(), true, now);
        for name in team.engines() {
            let Some(index) = self.fleet.position(name) else { continue };
            if let Some(breaker) = self.fleet.get_mut(name).and_then(|engine| engine.breaker.as_mut()) {
                breaker.begin(now);
            }
            if let Some(limit) = self.fleet.get_mut(name).and_then(|engine| engine.limit.as_mut()) {
                limit.take(now);
            }
            self.board.update(index, &self.fleet.engines()[index], &self.policy, now);
        }
        // The expected time is unreliable until all entries have reported their running jobs.
        let is_sure = self.policy.second_sends && now >= self.settled_at;
        let silent_after = is_sure.then(|| unresponsive::after(expected_ms));
        Grant { id: turn.id, team, silent_after }
    }
}

/// Returns the part of the first request, from 0 to 1, that an engine's allowance starts with. It differs between
/// planners, so that together they do not exceed the limit at the start.
fn start(salt: u64, engine: &Name) -> f64 {
    rendezvous(salt, engine) as f64 / u64::MAX as f64
}
