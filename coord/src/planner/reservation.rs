//! Reserves engines for long prompts that must wait.
//!
//! A long prompt needs several engines at the same moment. While other prompts take each engine as soon as it is free,
//! it finds too few of them until its target has passed, the largest prompt first. This module answers that load: it
//! predicts when the engines will be free, and keeps the smallest sufficient team free for the prompt. Other prompts
//! use the engines of a team only where they are predicted to be done with them by the reserved start.
//!
//! All teams are computed anew in each pump, so that they follow engines that join, leave, slow down or overrun.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Planner;
use super::job::Id;
use super::policy::Policy;
use super::snapshot::EngineState;
use super::wait_queue::Candidate;
use crate::engine::duration_from_ms;
use crate::time::Moment;

/// Bounds the number of reservations, and with it the time that a pump spends on them.
const MAX_RESERVATIONS: usize = 4;
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
    /// Time until the target of the first event of which `Policy::in_time_share` is left, in milliseconds.
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

/// Predicted availability of one engine.
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
        Self { index, free_ms: state.pending_ms.max(short_ms), budget_ms, free_memory, has_slot }
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

/// Number of reservations by what became of them.
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

/// What became of a reservation.
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
    /// What became of the reservation.
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
    active: Vec<Reservation>,
    /// Position in `active` by engine.
    by_engine: BTreeMap<usize, usize>,
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
        let Some(reservation) = self.by_engine.get(&index).map(|position| &self.active[*position]) else { return true };
        let is_more_urgent = !candidate.is_late && candidate.prompt.job.priority < reservation.priority;
        is_more_urgent || reservation.id == candidate.id || now + duration_from_ms(busy_ms) <= reservation.start
    }

    /// Records that a prompt started.
    fn record_start(&mut self, id: Id, now: Moment) {
        self.unplaced.remove(&id);
        let Some(position) = self.active.iter().position(|reservation| reservation.id == id) else { return };
        let reservation = self.active.remove(position);
        self.counts.kept += 1;
        self.record_change(&reservation, ReservationOutcome::Kept, now);
        self.index_engines();
    }

    /// Replaces all reservations by those for `requests`, the most important first.
    fn replan(
        &mut self,
        requests: &[Request],
        mut available: Vec<Availability>,
        max_engines: usize,
        policy: &Policy,
        now: Moment,
    ) {
        available.sort_unstable_by(|a, b| a.free_ms.total_cmp(&b.free_ms).then(a.index.cmp(&b.index)));
        let previous = std::mem::take(&mut self.active);
        let mut remaining = max_engines;
        for request in requests {
            let Some(reservation) = reserve(request, &available, remaining, policy, now) else { continue };
            available.retain(|engine| !reservation.engines.contains(&engine.index));
            remaining -= reservation.engines.len();
            self.active.push(reservation);
            if self.active.len() == MAX_RESERVATIONS {
                break;
            }
        }
        self.record_changes(&previous, now);
        self.index_engines();
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
            let is_waiting = self.unplaced.contains(&reservation.id);
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

    fn index_engines(&mut self) {
        self.by_engine.clear();
        for (position, reservation) in self.active.iter().enumerate() {
            self.by_engine.extend(reservation.engines.iter().map(|index| (*index, position)));
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
        let team: Vec<&Availability> = usable.filter(|engine| engine.budget_ms >= part_ms).take(parts).collect();
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
    /// Returns the number of reservations by what became of them.
    pub fn reservation_counts(&self) -> ReservationCounts {
        self.reservations.counts
    }

    /// Returns the changes of reservations in the last pump.
    pub fn reservation_changes(&self) -> &[ReservationChange] {
        &self.reservations.changes
    }

    /// Recomputes the reservations from the last snapshot.
    pub(super) fn plan_reservations(&mut self, candidates: &[Candidate], now: Moment) {
        self.reservations.changes.clear();
        if !self.features.reservations {
            self.reservations = Reservations::default();
            return;
        }
        let unplaced = &self.reservations.unplaced;
        let waiting = candidates.iter().filter(|candidate| unplaced.contains(&candidate.id));
        let waiting: Vec<&Candidate> = waiting.collect();
        let still_unplaced: BTreeSet<Id> = waiting.iter().map(|candidate| candidate.id).collect();
        let timely = waiting.iter().filter(|candidate| !candidate.is_late);
        let mut requests: Vec<Request> = timely.map(|candidate| Request::of(candidate, &self.policy, now)).collect();
        self.reservations.unplaced = still_unplaced;
        if requests.is_empty() && self.reservations.is_empty() {
            return;
        }
        let max_parts = self.policy.max_parts;
        let urgency = |request: &Request| request.latest_start_ms(max_parts);
        requests.sort_by(|a, b| a.priority.cmp(&b.priority).then(urgency(a).total_cmp(&urgency(b))));
        let available = self.available_engines(now);
        let max_engines = (available.len() as f64 * MAX_RESERVED_SHARE) as usize;
        self.reservations.replan(&requests, available, max_engines, &self.policy, now);
    }

    /// Returns the engines that teams may use, with the times at which they are predicted to be free.
    fn available_engines(&self, now: Moment) -> Vec<Availability> {
        let eligibility = self.snapshot.eligibility(&self.policy);
        let allow_half_open = self.snapshot.needs_half_open(&self.policy);
        let is_suitable = |state: &EngineState| {
            eligibility.is_eligible(state)
                && (allow_half_open || !state.is_half_open)
                && self.snapshot.is_fast_enough(state, &self.policy)
        };
        let states = self.snapshot.states().iter().enumerate().filter(|(_, state)| is_suitable(state));
        states.map(|(index, state)| Availability::of(index, state, &self.policy, now)).collect()
    }

    /// Records that a long prompt found no team, so that engines are reserved for it.
    pub(super) fn record_unplaced(&mut self, candidate: &Candidate) {
        if self.features.reservations && !candidate.prompt.is_short && !candidate.is_late {
            self.reservations.unplaced.insert(candidate.id);
        }
    }

    /// Records that a prompt started.
    pub(super) fn record_reserved_start(&mut self, id: Id, now: Moment) {
        self.reservations.record_start(id, now);
    }
}
