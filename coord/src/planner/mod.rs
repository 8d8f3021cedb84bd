//! Orders prompts and assigns them to the engines of a service.
//!
//! The planner keeps a model of each engine: the prompts that it prefills, the answers that it decodes, and the
//! tokens that its memory holds. It grants a prompt an engine, and helpers that prefill parts of it, if the time
//! model of [`crate::engine`] predicts that two conditions hold: no gap between the events of a decoding answer
//! exceeds the target of its caller, and the first event of the prompt is in time. Short prompts are granted at once
//! and packed onto few engines, so that the other engines decode nothing that a long prefill would stall. Long
//! prompts wait in the queue, shortest first, and are prefilled in parts by many engines.
//!
//! The same planner serves a process that decides for all entries and one that decides only for itself. No safety
//! property depends on the model being complete.

mod admission;
mod engine;
mod estimate;
mod features;
mod fleet;
mod forecast;
mod granted;
mod job;
mod locations;
pub mod long_demand;
mod order;
mod overload;
mod owner;
mod path_failures;
mod place;
mod policy;
pub mod prediction;
mod promise;
mod rate_limited;
mod refusal;
mod reservation;
mod served;
mod share;
mod slowdown;
mod snapshot;
mod unresponsive;
mod wait_queue;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use self::engine::{Engine, Sequence};
pub use self::features::Features;
use self::fleet::Fleet;
use self::forecast::Forecaster;
use self::granted::{GrantedJob, GrantedJobs};
pub use self::job::{Grant, Helper, Id, Job, Team, Workspace};
use self::locations::Locations;
use self::long_demand::LongDemand;
use self::order::FairOrder;
pub use self::order::HeldBack;
use self::overload::Overload;
use self::path_failures::PathFailures;
use self::place::{CandidateScope, Unplaceable};
pub use self::policy::Policy;
use self::policy::SETTLING_PERIOD;
use self::prediction::Predictions;
use self::promise::Promises;
pub use self::promise::{Promise, PromiseCounts, PromiseId};
pub use self::refusal::{Forecast, Reason, Refusal, Rejection};
use self::reservation::Reservations;
pub use self::reservation::{ReservationChange, ReservationCounts, ReservationOutcome};
use self::share::Usage;
use self::snapshot::FleetSnapshot;
pub use self::snapshot::{EngineCounts, Exclusion};
use self::wait_queue::{Candidate, WaitQueue};
use crate::backoff;
use crate::engine::{Profile, duration_from_ms};
use crate::limit::TokenBucket;
use crate::name::Name;
use crate::pick::rendezvous;
use crate::quarantine::Fingerprint;
use crate::time::Moment;

/// Bounds the number of engines that are listed to explain why prompts wait; 12 give a log line of some 300 bytes.
const MAX_LISTED_EXCLUSIONS: usize = 12;

/// Planner for the engines of one service.
#[derive(Debug, Default)]
pub struct Planner {
    policy: Policy,
    features: Features,
    /// Breaks ties between equally good engines, so that planners that do not know of each other choose differently.
    salt: u64,
    fleet: Fleet,
    /// State of the engines at the last pump.
    snapshot: FleetSnapshot,
    path_failures: PathFailures,
    /// Time before which long prompts must wait, because not all entries have reported their running jobs yet.
    settled_at: Moment,
    waiting: WaitQueue,
    granted: GrantedJobs,
    overload: Overload,
    usage: Usage,
    fair_order: FairOrder,
    locations: Locations,
    predictions: Predictions,
    long_demand: LongDemand,
    /// Number of engines that short prompts leave to long ones, at the last pump.
    engines_for_long: usize,
    forecaster: Forecaster,
    promises: Promises,
    reservations: Reservations,
    /// Fingerprints of requests that are suspected of crashing engines.
    suspects: BTreeSet<Fingerprint>,
    /// Backoffs that engines requested, by entry.
    backoffs: BTreeMap<u64, backoff::Backoffs>,
}

impl Planner {
    /// Creates a planner without engines. Planners with different `salt` prefer different engines.
    pub fn new(policy: Policy, salt: u64) -> Self {
        let salt = if policy.salt { salt } else { 0 };
        Self { policy, salt, waiting: WaitQueue::new(policy.cheapest_first), ..Self::default() }
    }

    /// Sets the features that the deployment needs.
    pub fn set_features(&mut self, features: Features) {
        self.features = features;
    }

    /// Returns the features that are on.
    pub fn features(&self) -> Features {
        self.features
    }

    /// Sets the engines that accept work. Jobs on an engine that is left out are forgotten.
    pub fn set_engines(&mut self, engines: impl IntoIterator<Item = (Name, Arc<Profile>)>) {
        let reserved_teams = self.reserved_teams();
        self.fleet.set(engines);
        self.restore_reserved_teams(&reserved_teams);
        self.path_failures.retain_engines(|name| self.fleet.position(name).is_some());
        let profile = self.fleet.nominal_profile().map(AsRef::as_ref);
        let engines = self.fleet.engines().len();
        self.waiting.recompute_estimates(|job| estimate::estimate_prompt(job, profile, engines, &self.policy));
    }

    /// Starts the settling period, in which entries report the jobs that they have at the engines.
    pub fn begin_settling(&mut self, now: Moment) {
        if self.policy.settle_before_long {
            self.settled_at = now + SETTLING_PERIOD;
        }
        // Without the jobs of the other entries, predictions were too early.
        self.predictions.clear();
    }

    /// Returns whether any job waits.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Adds a job to the queue; [`Planner::grant_ready`] grants it.
    pub fn submit(&mut self, id: Id, job: Job) {
        let prompt = self.estimate_prompt(self.allow_for_distance(id.entry, job));
        self.record_arrival(&prompt);
        self.waiting.insert(id, prompt);
        if self.features.forecasts {
            self.forecaster.record_submission(id);
        }
    }

    /// Records a job that another planner granted. `is_prefilling` tells whether its prompt is still being prefilled.
    pub fn add_granted(&mut self, id: Id, job: &Job, team: Team, is_prefilling: bool, now: Moment) {
        if self.features.forecasts {
            // The caller may have returned to another entry, which does not report its promise.
            self.promises.redeem(job, now);
        }
        self.record_grant(id, job, team, is_prefilling, now);
        if !is_prefilling {
            self.record_answer_start(id, now);
        }
    }

    /// Records a granted job; returns the expected time to its first event, in milliseconds.
    fn record_grant(&mut self, id: Id, job: &Job, team: Team, is_prefilling: bool, now: Moment) -> f64 {
        self.waiting.remove(id);
        self.record_forecast_grant(id, job, now);
        let parts = 1 + team.helpers.len();
        let held_tokens: u64 = team.helpers.iter().map(|helper| helper.held_tokens).sum();
        let prompt = self.estimate_prompt(*job);
        let expected_ms = self.expected_ms(id.entry, prompt.prefill_ms, &team, now);
        if is_prefilling {
            for name in team.engines() {
                let Some(engine) = self.fleet.get_mut(name) else { continue };
                let ms = engine.profile().prefill_share_ms(job.prompt_tokens, parts);
                engine.add_part(id, ms, now);
            }
        }
        let suspect = self.suspected_fingerprint(job);
        let expected_end = now + duration_from_ms(expected_ms + prompt.answer_ms);
        let sequence = |tokens, suspect| Sequence {
            tokens,
            gap_target_ms: job.gap_target_ms,
            is_short: prompt.is_short,
            expected_end,
            suspect,
        };
        self.add_sequence(&team.decoder, id, sequence(job.memory_tokens().saturating_sub(held_tokens), suspect));
        for helper in team.helpers.iter().filter(|helper| helper.held_tokens > 0) {
            self.add_sequence(&helper.engine, id, sequence(helper.held_tokens, None));
        }
        self.record_use(id, job, prompt.prefill_ms, now);
        self.granted.insert(id, GrantedJob::new(team, prompt.is_short, expected_ms, now), is_prefilling);
        expected_ms
    }

    fn add_sequence(&mut self, engine: &Name, id: Id, sequence: Sequence) {
        if let Some(engine) = self.fleet.get_mut(engine) {
            engine.add_sequence(id, sequence);
        }
    }

    /// Records that a job produced its first event, which means that its prompt is prefilled.
    pub fn record_first_event(&mut self, id: Id, now: Moment) {
        self.record_answer_start(id, now);
        let Some(job) = self.granted.first_event(id) else { return };
        if self.features.spreading && job.granted_at >= self.settled_at {
            self.predictions.record_first_event(job, now);
        }
        let is_overdue = job.is_overdue(now) && self.policy.suspect_slow;
        let has_no_helpers = job.team.helpers.is_empty();
        for name in job.team.engines() {
            let Some(engine) = self.fleet.get_mut(name) else { continue };
            engine.remove_part(id, now);
            if !is_overdue {
                engine.answered_at = now;
                self.path_failures.record_success(id.entry, name);
                if let Some(breaker) = &mut engine.breaker {
                    breaker.record_success(now);
                }
            } else if has_no_helpers {
                let share = self.path_failures.record_failure(id.entry, name, now);
                engine.breaker.get_or_insert_default().record_failure(share, now);
            }
        }
        if is_overdue && !has_no_helpers {
            // Any engine of the team may be the slow one.
            let (team, granted_at) = (job.team.clone(), job.granted_at);
            self.suspect_team(&team, granted_at, now);
        }
    }

    /// Postpones the expected first events of an entry that was suspended, or of all entries if this process was.
    /// Events that occurred meanwhile are handled late, which is no fault of the engines: without this, each first
    /// event that was in time but handled after the suspension would count as a failure, and a few of those eject an
    /// engine for the longest period.
    pub fn postpone_first_events(&mut self, entry: Option<u64>, delay: Duration) {
        self.granted.postpone(|id| entry.is_none_or(|entry| entry == id.entry), delay);
    }

    /// Sets the fingerprints that are suspected of crashing engines; their prompts are isolated from others.
    pub fn set_suspects(&mut self, suspects: impl IntoIterator<Item = Fingerprint>) {
        self.suspects = suspects.into_iter().collect();
    }

    /// Returns the fingerprint of a job if it is suspected.
    fn suspected_fingerprint(&self, job: &Job) -> Option<Fingerprint> {
        job.fingerprint.filter(|fingerprint| self.suspects.contains(fingerprint))
    }

    /// Removes a job that has finished or no longer waits.
    pub fn finish(&mut self, id: Id, now: Moment) {
        self.waiting.remove(id);
        self.usage.end(id, now);
        self.forget_forecast(id, now);
        let Some(job) = self.granted.remove(id) else { return };
        for name in job.team.engines() {
            if let Some(engine) = self.fleet.get_mut(name) {
                engine.remove_part(id, now);
                engine.remove_sequence(id);
            }
        }
    }

    /// Requires trial requests of the engines of prompts with overdue first events.
    fn suspect_overdue(&mut self, now: Moment) {
        if !self.policy.suspect_slow {
            return;
        }
        while let Some(job) = self.granted.next_overdue(now) {
            let (team, granted_at) = (job.team.clone(), job.granted_at);
            self.suspect_team(&team, granted_at, now);
        }
    }

    /// Removes an entry with all its jobs.
    pub fn remove_entry(&mut self, entry: u64, now: Moment) {
        let of_entry = |id: &&Id| id.entry == entry;
        let ids: Vec<Id> = self.waiting.ids().chain(self.granted.ids()).filter(of_entry).copied().collect();
        for id in ids {
            self.finish(id, now);
        }
        self.backoffs.remove(&entry);
        self.remove_entry_location(entry);
    }

    /// Records that an engine failed a job of an entry. The engine is ejected for a period that grows with each
    /// failure.
    pub fn record_failure(&mut self, entry: u64, engine: &Name, now: Moment) {
        let Some(state) = self.fleet.get_mut(engine).filter(|_| self.policy.breakers) else { return };
        let share = self.path_failures.record_failure(entry, engine, now);
        state.breaker.get_or_insert_default().record_failure(share, now);
    }

    /// Records that an engine asked an entry to send it nothing for `period`. Other entries are not affected.
    pub fn set_backoff(&mut self, entry: u64, engine: &Name, period: Duration, now: Moment) {
        self.backoffs.entry(entry).or_default().record(engine, period, now);
    }

    /// Resets an engine that restarted under the same name. Its memory and prefill queue are empty, and earlier
    /// failures and slowdowns belong to the previous run.
    pub fn reset_engine(&mut self, engine: &Name) {
        self.path_failures.retain_engines(|name| name != engine);
        self.backoffs.values_mut().for_each(|backoffs| backoffs.remove(engine));
        if let Some(state) = self.fleet.get_mut(engine) {
            *state = Engine::new(engine.clone(), state.nominal_profile().clone());
        }
    }

    /// Sets the rate limit that an engine announces, in requests per second, and the `share` of it that this planner
    /// may grant; `None` removes the limit. A request to a helper counts as much as one to the decoding engine.
    pub fn set_limit(&mut self, engine: &Name, rate: Option<f64>, share: f64, now: Moment) {
        let salt = self.salt;
        let Some(engine) = self.fleet.get_mut(engine) else { return };
        match (rate, &mut engine.limit) {
            (None, limit) => *limit = None,
            (Some(rate), Some(limit)) => limit.set(rate, share, now),
            (Some(rate), limit) => *limit = Some(TokenBucket::new(rate, share, initial_share(salt, &engine.name), now)),
        }
    }

    /// Resets the credit of the token buckets of all rate limits. Needed when this planner takes over from another one
    /// whose recent grants it does not know.
    pub fn reset_limits(&mut self, now: Moment) {
        let salt = self.salt;
        for engine in self.fleet.engines_mut() {
            if let Some(limit) = &mut engine.limit {
                limit.reset(initial_share(salt, &engine.name), now);
            }
        }
    }

    /// Grants the prompts that can start now.
    pub fn grant_ready(&mut self, now: Moment) -> Vec<Grant> {
        self.suspect_overdue(now);
        if self.features.forecasts {
            self.admit_arrivals(now);
        }
        let mut grants = Vec::new();
        if self.waiting.is_empty() || self.fleet.engines().is_empty() {
            self.overload.record(false, now);
            self.plan_reservations(&[], now);
            return grants;
        }
        self.snapshot.refresh(self.fleet.engines(), &self.policy, now);
        let mut unplaceable = Unplaceable::default();
        let mut has_unplaced = false;
        let mut has_timely_unplaced = false;
        let candidates = self.waiting.list_ordered(now);
        self.prepare_spreading(&candidates, now);
        self.plan_reservations(&candidates, now);
        for candidate in self.order_candidates(&candidates, now) {
            // A late prompt must not take engines that a prompt still in time waits for. Prompts in time may follow it:
            // those beyond the share of their workspace.
            let scope = match candidate.is_late && has_unplaced && self.policy.late_last {
                true if self.policy.late_shared => CandidateScope::SharedOnly,
                true => continue,
                false => CandidateScope::All,
            };
            let excluded = self.excluded_engines(candidate.id.entry, now);
            // A failed placement of a suspect, or of an entry that engines asked to back off, does not predict the
            // result for other prompts.
            let is_exceptional = self.suspected_fingerprint(&candidate.prompt.job).is_some() || excluded.has_backoffs();
            let is_unplaceable = !is_exceptional && excluded.is_empty() && unplaceable.covers(&candidate.prompt, scope);
            let placed = if is_unplaceable { None } else { self.place(candidate, scope, &excluded, now) };
            let Some(team) = placed else {
                if is_exceptional {
                    continue;
                }
                has_unplaced = true;
                has_timely_unplaced |= !candidate.is_late;
                self.record_unplaced(candidate);
                if excluded.is_empty() && !is_unplaceable {
                    unplaceable.record(&candidate.prompt, scope);
                }
                continue;
            };
            unplaceable.clear();
            if candidate.is_late {
                self.overload.record_late_grant(&candidate.prompt, now);
            }
            grants.push(self.grant(candidate, team, now));
        }
        self.overload.record(has_timely_unplaced, now);
        grants
    }

    /// Returns for how long prompts that could be in time have found no engine, the number of waiting prompts, and
    /// the engine counts of the last pump.
    pub fn starvation(&self, now: Moment) -> (Duration, usize, EngineCounts) {
        (self.overload.duration(now), self.waiting.ids().count(), self.snapshot.count_engines(&self.policy))
    }

    /// Returns the first rule that excluded each engine from short prompts at the last pump, for up to
    /// `MAX_LISTED_EXCLUSIONS` engines.
    pub fn exclusions(&self) -> Vec<(&Name, Exclusion)> {
        let engines = self.fleet.engines();
        let exclusions = self
            .snapshot
            .exclusions(&self.policy)
            .filter_map(|(index, exclusion)| Some((&engines.get(index)?.name, exclusion)));
        exclusions.take(MAX_LISTED_EXCLUSIONS).collect()
    }

    /// Records the grant and updates breakers, rate limits and the snapshot.
    fn grant(&mut self, candidate: &Candidate, team: Team, now: Moment) -> Grant {
        self.record_reserved_start(candidate, now);
        let expected_ms = self.record_grant(candidate.id, &candidate.prompt.job, team.clone(), true, now);
        for name in team.engines() {
            let Some(index) = self.fleet.position(name) else { continue };
            if let Some(breaker) = self.fleet.get_mut(name).and_then(|engine| engine.breaker.as_mut()) {
                breaker.record_request(now);
            }
            if let Some(limit) = self.fleet.get_mut(name).and_then(|engine| engine.limit.as_mut()) {
                limit.take(now);
            }
            self.snapshot.update(index, &self.fleet.engines()[index], &self.policy, now);
        }
        // The expected time is unreliable until all entries have reported their running jobs.
        let can_predict = self.policy.resend_unresponsive && now >= self.settled_at;
        let unresponsive_after = can_predict.then(|| unresponsive::first_event_timeout(expected_ms));
        Grant { id: candidate.id, team, unresponsive_after }
    }
}

/// Returns the part of the first request, from 0 to 1, that an engine's token bucket starts with. It differs between
/// planners, so that together they do not exceed the limit at the start.
fn initial_share(salt: u64, engine: &Name) -> f64 {
    rendezvous(salt, engine) as f64 / u64::MAX as f64
}
