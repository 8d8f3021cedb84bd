//! Placement of short prompts: one engine each, packed onto few engines.

use std::cmp::Ordering;

use super::{CandidateScope, PlacementContext};
use crate::engine::duration_from_ms;
use crate::pick::rendezvous;
use crate::planner::policy::TOKENS_PER_WAIT_MS;
use crate::planner::snapshot::EngineState;

impl<'a> PlacementContext<'a> {
    /// Returns the index of an engine for a short prompt. Half-open engines come first, because only short prompts
    /// are used as trial requests. Otherwise the prompt is packed onto an engine that already serves short prompts,
    /// as long as all gap targets are met and the first event is in time.
    pub(super) fn select_short(&self) -> Option<usize> {
        match self.scope {
            CandidateScope::All if !self.policy().packing => self.select_half_open().or_else(|| self.select_soonest()),
            CandidateScope::All => self
                .select_half_open()
                .or_else(|| self.select_packed())
                .or_else(|| self.select_additional())
                .or_else(|| self.select_soonest()),
            CandidateScope::SharedOnly => self.select_shared(),
        }
    }

    /// Returns the index of an ejected engine where all rules together leave few engines. With four engines, one
    /// recently failed, one unreachable for the entry and two with exhausted rate limits exclude all, and prompts
    /// were refused although an engine was idle.
    pub(super) fn select_ejected(&self) -> Option<usize> {
        if !self.policy().relax_exclusions || !self.snapshot.leaves_few_usable(self.excluded, self.policy()) {
            return None;
        }
        let eligibility = self.eligibility.allow_failing();
        PlacementContext { tries_unreachable: true, eligibility, ..*self }.select_short()
    }

    /// Returns the engine with the shortest wait among those that serve similar answers and still meet their gap
    /// targets.
    fn select_shared(&self) -> Option<usize> {
        let is_suitable =
            |state: &EngineState| self.fits(state) && self.serves_similar(state) && self.has_prefill_budget(state);
        self.select_shortest_wait(self.eligible_engines().filter(|(_, state)| is_suitable(state)))
    }

    /// Returns a half-open engine. Slow engines need no trial, because the cause of their late answers is known.
    fn select_half_open(&self) -> Option<usize> {
        let mut engines = self.eligible_engines();
        let is_suitable =
            |state: &EngineState| state.is_half_open && !state.is_slow() && self.fits(state) && self.is_in_time(state);
        let found = engines.find(|(_, state)| is_suitable(state));
        found.map(|(index, _)| index)
    }

    /// Returns the engine with the most sequences among those that serve similar answers and prefill the prompt in
    /// time.
    fn select_packed(&self) -> Option<usize> {
        let is_suitable =
            |state: &EngineState| self.fits(state) && self.serves_similar(state) && self.is_in_time(state);
        let engines = self.eligible_engines().filter(|(_, state)| is_suitable(state));
        engines.max_by_key(|(_, state)| state.sequence_count).map(|(index, _)| index)
    }

    /// Returns an engine that serves no similar answers yet, unless the remaining ones are reserved for long prompts.
    fn select_additional(&self) -> Option<usize> {
        let similar = self.eligible_engines().filter(|(_, state)| self.serves_similar(state)).count();
        let all = self.eligible_engines().count();
        if similar as f64 >= all as f64 * (1.0 - self.policy().long_share) {
            return None;
        }
        let is_fast_enough = |state: &EngineState| self.snapshot.is_fast_enough(state, self.policy());
        let is_suitable =
            |state: &EngineState| self.fits(state) && !self.serves_similar(state) && is_fast_enough(state);
        let engines = self.eligible_engines().filter(|(_, state)| is_suitable(state));
        engines.min_by(|a, b| self.cmp_start_cost(*a, *b)).map(|(index, _)| index)
    }

    /// Returns the engine with the shortest wait among those that still meet their gap targets; the first event may
    /// be late.
    fn select_soonest(&self) -> Option<usize> {
        self.select_shortest_wait(
            self.eligible_engines().filter(|(_, state)| self.fits(state) && self.has_prefill_budget(state)),
        )
    }

    fn select_shortest_wait(&self, engines: impl Iterator<Item = (usize, &'a EngineState)>) -> Option<usize> {
        engines.min_by(|(_, a), (_, b)| a.wait_ms.total_cmp(&b.wait_ms)).map(|(index, _)| index)
    }

    fn fits(&self, state: &EngineState) -> bool {
        state.fits(self.job())
    }

    /// Returns whether the engine already decodes an answer whose gap target is at least as strict.
    fn serves_similar(&self, state: &EngineState) -> bool {
        state.min_gap_target_ms <= self.job().gap_target_ms
    }

    /// Returns whether the engine can prefill the prompt without exceeding the gap target of a sequence.
    fn has_prefill_budget(&self, state: &EngineState) -> bool {
        state.prefill_budget_ms >= self.prompt().prefill_ms * state.slowdown
    }

    /// Returns whether the engine meets all gap targets and produces the first event in time.
    fn is_in_time(&self, state: &EngineState) -> bool {
        let first_event_ms = state.wait_ms + self.prompt().prefill_ms * state.slowdown + state.pass_ms;
        self.has_prefill_budget(state) && self.now + duration_from_ms(first_event_ms) <= self.job().first_event_target
    }

    /// Compares two engines by the cost of starting to serve short prompts there.
    fn cmp_start_cost(&self, (a, state_a): (usize, &EngineState), (b, state_b): (usize, &EngineState)) -> Ordering {
        let extra_ms = |state: &EngineState| self.prompt().prefill_ms * (state.slowdown - 1.0);
        let cost =
            |state: &EngineState| state.wait_ms + state.context_tokens as f64 / TOKENS_PER_WAIT_MS + extra_ms(state);
        let tie_break = |index| rendezvous(self.planner.salt, self.name(index));
        cost(state_a).total_cmp(&cost(state_b)).then_with(|| tie_break(a).cmp(&tie_break(b)))
    }
}
