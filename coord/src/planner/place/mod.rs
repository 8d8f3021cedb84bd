//! Selects engines for one prompt.

mod excluded;
mod isolated;
mod long;
mod short;
mod unplaceable;

use std::borrow::Cow;

pub(super) use self::excluded::ExcludedEngines;
pub(super) use self::unplaceable::Unplaceable;
use super::Planner;
use super::job::{Job, Team};
use super::policy::Policy;
use super::reservation::Reservations;
use super::snapshot::{Eligibility, EngineState, FleetSnapshot, PrefillEngines};
use super::wait_queue::{Candidate, Prompt};
use crate::name::Name;
use crate::time::Moment;

/// Engines that a prompt may be placed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CandidateScope {
    /// All eligible engines.
    All,
    /// Only engines that already decode answers to short prompts. Prompts that wait for a team do not wait for these.
    SharedOnly,
}

/// Prompt to be placed, with the state that the selection of its engines depends on.
#[derive(Clone, Copy)]
struct PlacementContext<'a> {
    planner: &'a Planner,
    snapshot: &'a FleetSnapshot,
    candidate: &'a Candidate,
    scope: CandidateScope,
    /// Engines that are excluded for its entry.
    excluded: &'a ExcludedEngines,
    /// Whether engines that its entry probably cannot reach are tried anyway.
    tries_unreachable: bool,
    /// Rules that exclude engines for all entries.
    eligibility: Eligibility,
    /// Engines that are kept for other prompts.
    reservations: Option<&'a Reservations>,
    now: Moment,
}

impl<'a> PlacementContext<'a> {
    fn policy(&self) -> &'a Policy {
        &self.planner.policy
    }

    fn prompt(&self) -> &'a Prompt {
        &self.candidate.prompt
    }

    fn job(&self) -> &'a Job {
        &self.candidate.prompt.job
    }

    fn name(&self, index: usize) -> &'a Name {
        &self.planner.fleet.engines()[index].name
    }

    /// Returns the eligible engines with their indexes in the fleet.
    fn eligible_engines(&self) -> impl Iterator<Item = (usize, &'a EngineState)> {
        let states = self.snapshot.states().iter().enumerate();
        let is_open = |index, state| self.allows_use(index, self.busy_ms(state));
        states.filter(move |(index, state)| {
            self.eligibility.is_eligible(state) && !self.is_excluded(*index) && is_open(*index, *state)
        })
    }

    /// Returns for how long the prompt would occupy an engine, in milliseconds: a short one until its answer is
    /// complete, a long one, whose part depends on the size of its team, not at all.
    fn busy_ms(&self, state: &EngineState) -> f64 {
        match self.prompt().is_short {
            true => state.wait_ms + self.prompt().prefill_ms + self.candidate.prompt.answer_ms,
            false => 0.0,
        }
    }

    /// Returns whether no reservation for another prompt keeps this one from using an engine for `busy_ms`
    /// milliseconds.
    fn allows_use(&self, index: usize, busy_ms: f64) -> bool {
        self.reservations.is_none_or(|reservations| reservations.allows(self.candidate, index, busy_ms, self.now))
    }

    fn is_excluded(&self, index: usize) -> bool {
        self.excluded.has_backoff(index) || (!self.tries_unreachable && self.excluded.is_unreachable(index))
    }

    /// Returns the engines that can prefill a part of a long prompt now.
    fn prefill_engines(&self) -> Cow<'a, PrefillEngines> {
        if self.excluded.is_empty() {
            return Cow::Borrowed(self.snapshot.prefill_engines(self.policy()));
        }
        Cow::Owned(self.snapshot.prefill_engines_among(self.eligible_engines().map(|(index, _)| index), self.policy()))
    }
}

impl Planner {
    /// Returns the engines for a prompt; `None` if the prompt must wait.
    pub(super) fn place(
        &self,
        candidate: &Candidate,
        scope: CandidateScope,
        excluded: &ExcludedEngines,
        now: Moment,
    ) -> Option<Team> {
        let snapshot = &self.snapshot;
        let eligibility = snapshot.eligibility(&self.policy);
        let mut context = PlacementContext {
            planner: self,
            snapshot,
            candidate,
            scope,
            excluded,
            tries_unreachable: false,
            eligibility,
            reservations: None,
            now,
        };
        if context.eligible_engines().next().is_none() {
            // Trying an engine that the entry may fail to reach is better than using none.
            context.tries_unreachable = true;
        }
        context.reservations = Some(&self.reservations).filter(|reservations| !reservations.is_empty());
        if let Some(fingerprint) =
            self.suspected_fingerprint(&candidate.prompt.job).filter(|_| context.can_be_isolated())
        {
            context.eligibility = eligibility.allow_suspects();
            return context.select_isolated(fingerprint).map(|index| Team::without_helpers(context.name(index)));
        }
        if candidate.prompt.is_short {
            return context
                .select_short()
                .or_else(|| context.select_ejected())
                .map(|index| Team::without_helpers(context.name(index)));
        }
        if now < self.settled_at || scope == CandidateScope::SharedOnly {
            return None;
        }
        context.select_team()
    }

    /// Returns the engines that are unreachable for an entry or asked it to back off.
    pub(super) fn excluded_engines(&self, entry: u64, now: Moment) -> ExcludedEngines {
        let position = |name: &Name| self.fleet.position(name);
        let unreachable = self.path_failures.unreachable_engines(entry, now).filter_map(position).collect();
        let backoffs = self.backoffs.get(&entry);
        let in_backoff = backoffs.into_iter().flat_map(|backoffs| backoffs.active(now));
        ExcludedEngines::new(unreachable, in_backoff.filter_map(|(name, _)| position(name)).collect())
    }
}
