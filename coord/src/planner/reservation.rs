//! Reserves engines for long prompts that must wait.
//!
//! A long prompt needs several engines at the same moment. While other prompts take each engine as soon as it is free,
//! it finds too few of them until its target has passed; the larger the prompt, the likelier that is. This module
//! predicts when the engines will be free, and keeps the smallest sufficient team free for the prompt. Other prompts
//! use the engines of a team only where they are predicted to be done with them by the reserved start.
//!
//! All teams are computed anew in each pump, so that they follow engines that join, leave, slow down or overrun.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Planner;
use super::job::Id;
use super::policy::Policy;
use super::served::{Group, StartRecord};
use super::snapshot::EngineState;
use super::wait_queue::Candidate;
use crate::engine::duration_from_ms;
use crate::name::Name;
use crate::time::Moment;

/// Bounds the number of reservations, and with it the time that a pump spends on them.
const MAX_RESERVATIONS: usize = 4;
/// Bounds the number of prompts for which a pump looks for a team.
const MAX_REQUESTS: usize = 4 * MAX_RESERVATIONS;
/// Bounds the number of engines that teams are chosen from. It is several times what all reservations use, since a
/// prompt that waits longest needs engines with a larger prefill budget than the others.
const MAX_CONSIDERED_ENGINES: usize = 256;
/// Largest share of the engines that is reserved, so that other prompts always find some.
const MAX_RESERVED_SHARE: f64 = 0.5;

/// Prompt that waits for engines to be reserved for it.
#[derive(Clone, Copy, Debug)]
struct Request {
    id: Id,
    priority: u32,
    /// Engine time to prefill the prompt, in milliseconds.
    prefill_ms: f64,
    memory_tokens: u64,
    /// Time within which the prompt must be prefilled, in milliseconds: the share `Policy::in_time_share` of the time
    /// until the first-event target.
    slack_ms: f64,
}

impl Request {
    fn of(candidate: &Candidate, policy: &Policy, now: Moment) -> Self {
        let job = &candidate.prompt.job;
        Self {
            id: candidate.id,
            priority: job.priority,
            prefill_ms: candidate.prompt.prefill_ms,
            memory_tokens: job.memory_tokens(),
            slack_ms: job.first_event_target.since(now).as_secs_f64() * 1e3 * policy.in_time_share,
        }
    }

    /// Returns the latest start of a team of `parts` engines that is in time, in milliseconds from now.
    fn latest_start_ms(&self, parts: usize) -> f64 {
        self.slack_ms - self.prefill_ms / parts as f64
    }
}

/// Prediction of when and for which part one engine is available.
#[derive(Clone, Copy, Debug)]
struct Availability {
    /// Index of the engine in the fleet.
    index: usize,
    /// Time until the engine could prefill a part, in milliseconds.
    free_ms: f64,
    /// Prefill budget at that time, in milliseconds.
    budget_ms: f64,
    free_memory: u64,
    has_slot: bool,
    /// Whether the engine decodes answers to short prompts, which must end before the reserved start.
    serves_short: bool,
}

impl Availability {
    fn of(index: usize, state: &EngineState, policy: &Policy, now: Moment) -> Self {
        let budget_ms = match state.short_sequence_count {
            0 => state.min_gap_target_ms * policy.gap_share - state.pass_ms,
            _ => f64::INFINITY,
        };
        // An answer that has overrun its prediction needs at least another pass.
        let short_ms = match state.short_sequence_count {
            0 => 0.0,
            _ => (state.short_until.since(now).as_secs_f64() * 1e3).max(state.pass_ms),
        };
        let (free_memory, has_slot) = (state.free_memory, state.has_slot);
        Self {
            index,
            free_ms: state.pending_ms.max(short_ms),
            budget_ms,
            free_memory,
            has_slot,
            serves_short: state.short_sequence_count > 0,
        }
    }

    /// Orders engines by the time at which they are free.
    fn cmp_free(&self, other: &Self) -> Ordering {
        self.free_ms.total_cmp(&other.free_ms).then(self.index.cmp(&other.index))
    }
}

/// Team that is kept for one prompt.
#[derive(Clone, Debug)]
struct Reservation {
    id: Id,
    priority: u32,
    /// Time at which the team must be free.
    start: Moment,
    /// Indexes of the engines in the fleet.
    engines: Vec<usize>,
}

/// Counts of reservations by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReservationCounts {
    /// Reservations made.
    pub made: u64,
    /// Reservations whose prompts started while they could be in time.
    pub kept: u64,
    /// Changes of a reserved team.
    pub moved: u64,
    /// Reservations that could not be kept any more.
    pub given_up: u64,
}

/// Result of a reservation: made, and later kept or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationOutcome {
    /// The reservation was made.
    Made,
    /// The prompt started.
    Kept,
    /// No team can be free in time any more.
    GivenUp,
}

impl ReservationOutcome {
    /// Returns the name of the outcome in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Made => "made",
            Self::Kept => "kept",
            Self::GivenUp => "given-up",
        }
    }
}

/// Change of a reservation in the last pump.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReservationChange {
    /// Prompt that the engines were reserved for.
    pub id: Id,
    /// Result of the reservation.
    pub outcome: ReservationOutcome,
    /// Number of reserved engines.
    pub engines: usize,
    /// Time from the change to the reserved start.
    pub starts_in: Duration,
}

/// Reserved engines, and the prompts that wait for some.
#[derive(Debug, Default)]
pub struct Reservations {
    /// Long prompts that found no team in an earlier pump.
    unplaced: BTreeSet<Id>,
    /// Prompts among these that became late before the last pump.
    given_up: Vec<Id>,
    /// Record of the prompts that recently started in time.
    starts: StartRecord,
    active: Vec<Reservation>,
    /// Position in `active` of the reservation of each engine, by index of the engine.
    by_engine: Vec<Option<u8>>,
    counts: ReservationCounts,
    changes: Vec<ReservationChange>,
}

impl Reservations {
    /// Returns whether no engine is reserved.
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// Returns whether `candidate` may use the engine at `index` for `busy_ms` milliseconds from now.
    pub fn allows(&self, candidate: &Candidate, index: usize, busy_ms: f64, now: Moment) -> bool {
        let Some(position) = self.by_engine.get(index).copied().flatten() else { return true };
        let reservation = &self.active[usize::from(position)];
        let is_more_urgent = !candidate.is_late && candidate.prompt.job.priority < reservation.priority;
        is_more_urgent || reservation.id == candidate.id || now + duration_from_ms(busy_ms) <= reservation.start
    }

    /// Records that a prompt started.
    fn record_start(&mut self, candidate: &Candidate, now: Moment) {
        let id = candidate.id;
        match candidate.is_late {
            true if candidate.prompt.is_short => self.starts.record_missed(&candidate.prompt, now),
            true => {}
            false => self.starts.record_in_time(&candidate.prompt, now),
        }
        self.unplaced.remove(&id);
        let Some(position) = self.active.iter().position(|reservation| reservation.id == id) else { return };
        let reservation = self.active.remove(position);
        self.counts.kept += 1;
        self.record_change(&reservation, ReservationOutcome::Kept, now);
        self.index_engines(self.by_engine.len());
    }

    /// Forgets the prompts that no longer wait or are late; returns those that can still be in time.
    fn retain_waiting<'a>(&mut self, candidates: &'a [Candidate], now: Moment) -> Vec<&'a Candidate> {
        let unplaced = std::mem::take(&mut self.unplaced);
        let is_unplaced = |candidate: &&Candidate| !candidate.prompt.is_short && unplaced.contains(&candidate.id);
        let (late, timely): (Vec<&Candidate>, Vec<&Candidate>) =
            candidates.iter().filter(is_unplaced).partition(|candidate| candidate.is_late);
        late.iter().for_each(|candidate| self.starts.record_missed(&candidate.prompt, now));
        self.given_up = late.iter().map(|candidate| candidate.id).collect();
        self.unplaced = timely.iter().map(|candidate| candidate.id).collect();
        timely
    }

    /// Returns requests for those prompts whose groups are served less than others, the least served group first and
    /// within a group the one that must start the soonest.
    fn select_underserved(&self, timely: &[&Candidate], policy: &Policy, now: Moment) -> Vec<Request> {
        let group = |candidate: &Candidate| self.starts.group(&candidate.prompt);
        let mut waiting: BTreeMap<Group, usize> = BTreeMap::new();
        timely.iter().for_each(|candidate| *waiting.entry(group(candidate)).or_default() += 1);
        let shares = self.starts.shares(&waiting);
        let underserved = timely.iter().filter(|candidate| shares.is_underserved(group(candidate)));
        let mut ranked: Vec<(f64, Request)> = underserved
            .map(|candidate| (shares.of_group(group(candidate)), Request::of(candidate, policy, now)))
            .collect();
        // A prompt that no team could serve in time must not take the place of another.
        ranked.retain(|(_, request)| request.latest_start_ms(policy.max_parts) > 0.0);
        ranked.sort_by(|(share_a, a), (share_b, b)| {
            let by_start = a.latest_start_ms(policy.max_parts).total_cmp(&b.latest_start_ms(policy.max_parts));
            a.priority.cmp(&b.priority).then(share_a.total_cmp(share_b)).then(by_start)
        });
        ranked.into_iter().take(MAX_REQUESTS).map(|(_, request)| request).collect()
    }

    /// Replaces all reservations by those for `requests`, the most important first. `available` is sorted by the time
    /// at which engines are free; `engines` is the number of engines of the service.
    fn replan(
        &mut self,
        requests: &[Request],
        available: &[Availability],
        engines: usize,
        policy: &Policy,
        now: Moment,
    ) {
        let previous = std::mem::take(&mut self.active);
        let mut remaining = (engines as f64 * MAX_RESERVED_SHARE) as usize;
        let mut available = available.to_vec();
        for request in requests {
            if self.active.len() == MAX_RESERVATIONS {
                break;
            }
            let Some(reservation) = reserve(request, &available, remaining, policy, now) else { continue };
            available.retain(|engine| !reservation.engines.contains(&engine.index));
            remaining -= reservation.engines.len();
            self.active.push(reservation);
        }
        self.record_changes(&previous, now);
        self.index_engines(engines);
    }

    /// Compares the reservations with those of the previous pump.
    fn record_changes(&mut self, previous: &[Reservation], now: Moment) {
        let active = std::mem::take(&mut self.active);
        for reservation in &active {
            match previous.iter().find(|previous| previous.id == reservation.id) {
                None => {
                    self.counts.made += 1;
                    self.record_change(reservation, ReservationOutcome::Made, now);
                }
                Some(previous) => self.counts.moved += u64::from(previous.engines != reservation.engines),
            }
        }
        for reservation in previous {
            let is_waiting = self.unplaced.contains(&reservation.id) || self.given_up.contains(&reservation.id);
            if is_waiting && !active.iter().any(|active| active.id == reservation.id) {
                self.counts.given_up += 1;
                self.record_change(reservation, ReservationOutcome::GivenUp, now);
            }
        }
        self.active = active;
    }

    fn record_change(&mut self, reservation: &Reservation, outcome: ReservationOutcome, now: Moment) {
        self.changes.push(ReservationChange {
            id: reservation.id,
            outcome,
            engines: reservation.engines.len(),
            starts_in: reservation.start.since(now),
        });
    }

    fn index_engines(&mut self, engines: usize) {
        self.by_engine.clear();
        self.by_engine.resize(engines, None);
        for (position, reservation) in self.active.iter().enumerate() {
            reservation.engines.iter().for_each(|index| self.by_engine[*index] = Some(position as u8));
        }
    }
}

/// Returns the smallest team that is in time for a request, of at most `max_engines` engines; `available` is sorted by
/// the time at which engines are free.
fn reserve(
    request: &Request,
    available: &[Availability],
    max_engines: usize,
    policy: &Policy,
    now: Moment,
) -> Option<Reservation> {
    let max_parts = ((request.prefill_ms / policy.min_part_ms) as usize).clamp(1, policy.max_parts);
    (1..=max_parts.min(max_engines)).find_map(|parts| {
        let start_ms = request.latest_start_ms(parts);
        let part_ms = request.prefill_ms / parts as f64;
        let usable = available.iter().take_while(|engine| engine.free_ms <= start_ms);
        let (shared, others): (Vec<&Availability>, Vec<&Availability>) =
            usable.filter(|engine| engine.budget_ms >= part_ms).partition(|engine| engine.serves_short);
        let team: Vec<&Availability> = others.into_iter().chain(shared).take(parts).collect();
        let memory: u64 = team.iter().map(|engine| engine.free_memory).sum();
        let fits = memory >= request.memory_tokens && team.iter().any(|engine| engine.has_slot);
        (team.len() == parts && fits).then(|| Reservation {
            id: request.id,
            priority: request.priority,
            start: now + duration_from_ms(start_ms),
            engines: team.iter().map(|engine| engine.index).collect(),
        })
    })
}

impl Planner {
    /// Returns the counts of reservations by outcome since the planner was created. The counts never
    /// decrease, also when the feature is switched off.
    pub fn reservation_counts(&self) -> ReservationCounts {
        self.reservations.counts
    }

    /// Returns the changes of reservations in the last pump.
    pub fn reservation_changes(&self) -> &[ReservationChange] {
        &self.reservations.changes
    }

    /// Returns the names of the engines of each reserved team.
    pub(super) fn reserved_teams(&self) -> Vec<Vec<Name>> {
        let name = |index: &usize| Some(self.fleet.engines().get(*index)?.name.clone());
        let teams = self.reservations.active.iter().map(|reservation| &reservation.engines);
        teams.map(|team| team.iter().filter_map(name).collect()).collect()
    }

    /// Looks up the indexes of reserved engines after a change of the fleet. Engines that left are removed, so that the
    /// next pump moves the reservation.
    pub(super) fn restore_reserved_teams(&mut self, teams: &[Vec<Name>]) {
        for (reservation, team) in self.reservations.active.iter_mut().zip(teams) {
            reservation.engines = team.iter().filter_map(|name| self.fleet.position(name)).collect();
        }
        self.reservations.index_engines(self.fleet.engines().len());
    }

    /// Returns the reserved engines, each with the prompt that it is reserved for.
    pub fn reserved_engines(&self) -> impl Iterator<Item = (&Name, Id)> {
        let engines = self
            .reservations
            .active
            .iter()
            .flat_map(|reservation| reservation.engines.iter().map(|index| (*index, reservation.id)));
        engines.filter_map(|(index, id)| Some((&self.fleet.engines().get(index)?.name, id)))
    }

    /// Recomputes the reservations from the last snapshot, for the waiting prompts `candidates`.
    pub(super) fn plan_reservations(&mut self, candidates: &[Candidate], now: Moment) {
        self.reservations.changes.clear();
        if !self.features.reservations {
            self.reservations = Reservations { counts: self.reservations.counts, ..Reservations::default() };
            return;
        }
        let timely = self.reservations.retain_waiting(candidates, now);
        if timely.is_empty() && self.reservations.is_empty() {
            return;
        }
        let requests = self.reservations.select_underserved(&timely, &self.policy, now);
        let available = if requests.is_empty() { Vec::new() } else { self.available_engines(&requests, now) };
        self.reservations.replan(&requests, &available, self.snapshot.states().len(), &self.policy, now);
    }

    /// Returns the engines that teams may use in time for any of `requests`, with the times at which they are
    /// predicted to be free, soonest first.
    fn available_engines(&self, requests: &[Request], now: Moment) -> Vec<Availability> {
        let eligibility = self.snapshot.eligibility(&self.policy);
        let allow_half_open = self.snapshot.needs_half_open(&self.policy);
        let is_suitable = |state: &EngineState| {
            eligibility.is_eligible(state)
                && (allow_half_open || !state.is_half_open)
                && self.snapshot.is_fast_enough(state, &self.policy)
        };
        let max_free_ms = requests.iter().map(|request| request.slack_ms).fold(0.0, f64::max);
        let states = self.snapshot.states().iter().enumerate().filter(|(_, state)| is_suitable(state));
        let engines = states.map(|(index, state)| Availability::of(index, state, &self.policy, now));
        let mut available: Vec<Availability> = engines.filter(|engine| engine.free_ms < max_free_ms).collect();
        if available.len() > MAX_CONSIDERED_ENGINES {
            available.select_nth_unstable_by(MAX_CONSIDERED_ENGINES, Availability::cmp_free);
            available.truncate(MAX_CONSIDERED_ENGINES);
        }
        available.sort_unstable_by(Availability::cmp_free);
        available
    }

    /// Records that a prompt found no engines. If it is a long one, engines are reserved for it.
    pub(super) fn record_unplaced(&mut self, candidate: &Candidate) {
        if self.features.reservations && !candidate.prompt.is_short && !candidate.is_late {
            self.reservations.unplaced.insert(candidate.id);
        }
    }

    /// Records that a prompt started.
    pub(super) fn record_reserved_start(&mut self, candidate: &Candidate, now: Moment) {
        if self.features.reservations {
            self.reservations.record_start(candidate, now);
        }
    }
}
