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

use self::engine::{Engine, Sequence};
use self::granted::GrantedJob;
use self::health::EngineHealth;
use self::order::Candidate;
use self::place::CandidateScope;
use self::policy::SETTLING_PERIOD;
use coord::engine::Profile;
use coord::name::Name;
use coord::planner::{Grant, Id, Job, Policy, Team};
use coord::time::Moment;

/// Reference planner for the engines of one service.
#[derive(Debug, Default)]
pub struct Planner {
    policy: Policy,
    /// Breaks ties between equally good engines, so that planners that do not know of each other choose differently.
    salt: u64,
    engines: BTreeMap<Name, Engine>,
    health: EngineHealth,
    /// Time before which long prompts must wait, because not all entries have reported their running jobs yet.
    settled_at: Moment,
    waiting: BTreeMap<Id, Job>,
    granted: BTreeMap<Id, GrantedJob>,
}

impl Planner {
    /// Creates a planner without engines. Planners with different `salt` prefer different engines.
    pub fn new(policy: Policy, salt: u64) -> Self {
        let salt = if policy.salt { salt } else { 0 };
        Self { policy, salt, ..Self::default() }
    }

    /// Sets the engines that accept work. Jobs on an engine that is left out are forgotten.
    pub fn set_engines(&mut self, engines: impl IntoIterator<Item = (Name, Arc<Profile>)>) {
        let mut previous = std::mem::take(&mut self.engines);
        for (name, profile) in engines {
            let engine = match previous.remove(&name) {
                Some(mut engine) => {
                    engine.profile = profile;
                    engine
                }
                None => Engine::new(profile),
            };
            self.engines.insert(name, engine);
        }
        self.health.retain_engines(|name| self.engines.contains_key(name));
    }

    /// Starts the settling period, in which entries report the jobs that they have at the engines.
    pub fn begin_settling(&mut self, now: Moment) {
        if self.policy.settle_before_long {
            self.settled_at = now + SETTLING_PERIOD;
        }
    }

    /// Returns whether any job waits.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Adds a job to the queue; [`Planner::grant_ready`] grants it.
    pub fn submit(&mut self, id: Id, job: Job) {
        self.waiting.insert(id, job);
    }

    /// Records a job that another planner granted. `is_prefilling` tells whether its prompt is still being prefilled.
    pub fn add_granted(&mut self, id: Id, job: &Job, team: Team, is_prefilling: bool, now: Moment) {
        self.waiting.remove(&id);
        let parts = 1 + team.helpers.len();
        let held_tokens: u64 = team.helpers.iter().map(|helper| helper.held_tokens).sum();
        let expected_ms = self.expected_ms(job, &team, now);
        if is_prefilling {
            for name in team.engines() {
                let Some(engine) = self.engines.get_mut(name) else { continue };
                let ms = engine.profile.prefill_share_ms(job.prompt_tokens, parts);
                engine.add_part(id, ms, now);
            }
        }
        self.add_sequence(&team.decoder, id, memory_tokens(job).saturating_sub(held_tokens), job.gap_target_ms);
        for helper in team.helpers.iter().filter(|helper| helper.held_tokens > 0) {
            self.add_sequence(&helper.engine, id, helper.held_tokens, job.gap_target_ms);
        }
        self.granted.insert(id, GrantedJob { team, granted_at: now, expected_ms, awaits_first_event: is_prefilling });
    }

    /// Returns the expected time from a grant at `now` to the first event, in milliseconds.
    fn expected_ms(&self, job: &Job, team: &Team, now: Moment) -> f64 {
        let engines = team.engines().filter_map(|name| self.engines.get(name));
        let max_wait_ms = engines.clone().map(|engine| engine.wait_ms(now)).fold(0.0, f64::max);
        let max_pass_ms = engines.map(Engine::pass_ms).fold(0.0, f64::max);
        max_wait_ms + self.prefill_ms(job) / (1 + team.helpers.len()) as f64 + max_pass_ms
    }

    fn add_sequence(&mut self, engine: &Name, id: Id, tokens: u64, gap_target_ms: f64) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.sequences.insert(id, Sequence { tokens, gap_target_ms });
        }
    }

    /// Records that a job produced its first event, which means that its prompt is prefilled.
    pub fn record_first_event(&mut self, id: Id, now: Moment) {
        let Some(granted) = self.granted.get_mut(&id) else { return };
        let is_overdue = granted.is_overdue(now);
        granted.awaits_first_event = false;
        let team = granted.team.clone();
        for name in team.engines() {
            if let Some(engine) = self.engines.get_mut(name) {
                engine.remove_part(id, now);
            }
            match is_overdue && self.policy.suspect_slow {
                false => self.health.record_success(id.entry, name, now),
                true if team.helpers.is_empty() => self.health.record_failure(id.entry, name, now),
                // Any engine of the team may be the slow one.
                true => self.health.require_trial(name, now),
            }
        }
    }

    /// Removes a job that has finished or no longer waits.
    pub fn finish(&mut self, id: Id, now: Moment) {
        self.waiting.remove(&id);
        let Some(granted) = self.granted.remove(&id) else { return };
        for name in granted.team.engines() {
            if let Some(engine) = self.engines.get_mut(name) {
                engine.remove_part(id, now);
                engine.sequences.remove(&id);
            }
        }
    }

    /// Requires trial requests of the engines of prompts with overdue first events.
    fn suspect_overdue(&mut self, now: Moment) {
        if !self.policy.suspect_slow {
            return;
        }
        for granted in self.granted.values_mut().filter(|granted| granted.awaits_first_event && granted.is_overdue(now))
        {
            granted.awaits_first_event = false;
            granted.team.engines().for_each(|name| self.health.require_trial(name, now));
        }
    }

    /// Removes an entry with all its jobs.
    pub fn remove_entry(&mut self, entry: u64, now: Moment) {
        let of_entry = |id: &&Id| id.entry == entry;
        let ids: Vec<Id> = self.waiting.keys().chain(self.granted.keys()).filter(of_entry).copied().collect();
        for id in ids {
            self.finish(id, now);
        }
    }

    /// Records that an engine failed a job of an entry. The engine is ejected for a period that grows with each
    /// failure.
    pub fn record_failure(&mut self, entry: u64, engine: &Name, now: Moment) {
        if self.policy.breakers && self.engines.contains_key(engine) {
            self.health.record_failure(entry, engine, now);
        }
    }

    /// Grants the prompts that can start now.
    pub fn grant_ready(&mut self, now: Moment) -> Vec<Grant> {
        self.suspect_overdue(now);
        let mut grants = Vec::new();
        let mut has_unplaced = false;
        for Candidate { id, job, is_late, .. } in self.list_ordered(now) {
            // A late prompt must not take engines that a prompt still in time waits for.
            let scope = match is_late && has_unplaced && self.policy.late_last {
                true if self.policy.late_shared => CandidateScope::SharedOnly,
                true => break,
                false => CandidateScope::All,
            };
            let placed = self.place(id, &job, scope, now);
            has_unplaced |= placed.is_none();
            if let Some(grant) = placed {
                self.add_granted(id, &job, grant.team.clone(), true, now);
                grant.team.engines().for_each(|engine| self.health.record_request(engine, now));
                grants.push(grant);
            }
        }
        grants
    }
}

/// Largest number of output tokens that a job is expected to generate; no more memory is reserved for its answer.
const MAX_RESERVED_OUTPUT_TOKENS: u64 = 4_096;

/// Returns the memory that a job takes, in tokens.
fn memory_tokens(job: &Job) -> u64 {
    job.prompt_tokens + job.max_output_tokens.min(MAX_RESERVED_OUTPUT_TOKENS)
}
