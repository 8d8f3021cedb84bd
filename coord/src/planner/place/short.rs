//! Placement of short prompts: one engine each, packed onto few engines.

use std::cmp::{Ordering, Reverse};
use std::time::Duration;

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
            CandidateScope::All if self.planner.features.spreading => self.select_spread(),
            CandidateScope::All => self
                .select_half_open()
                .or_else(|| self.select_packed(0.0))
                .or_else(|| self.select_additional())
                .or_else(|| self.select_soonest()),
            CandidateScope::SharedOnly => self.select_shared(),
        }
    }

    /// Returns the index of an engine for a short prompt that uses the engines that long prompts do not need. Prompts
    /// are packed up to the target itself only where a further engine would be taken from long prompts.
    fn select_spread(&self) -> Option<usize> {
        let remaining_ms = self.job().first_event_target.since(self.now).as_secs_f64() * 1e3;
        let margin_ms = self.planner.predictions.margin_ms(remaining_ms);
        self.select_half_open()
            .or_else(|| self.select_packed(margin_ms))
            .or_else(|| self.select_unneeded())
            .or_else(|| self.select_packed(0.0))
            .or_else(|| self.select_additional())
            .or_else(|| self.select_soonest())
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
        let is_suitable = |state: &EngineState| state.is_half_open && !state.is_slow() && self.fits(state);
        let found = engines.find(|(index, state)| is_suitable(state) && self.is_in_time(*index, state, 0.0));
        found.map(|(index, _)| index)
    }

    /// Returns the nearest engine, and among equally near ones that with the most sequences, of those that serve similar
    /// answers and prefill the prompt `margin_ms` milliseconds before its target.
    fn select_packed(&self, margin_ms: f64) -> Option<usize> {
        let is_suitable = |(index, state): &(usize, &EngineState)| {
            self.fits(state) && self.serves_similar(state) && self.is_in_time(*index, state, margin_ms)
        };
        let engines = self.eligible_engines().filter(is_suitable);
        engines
            .max_by_key(|(index, state)| (Reverse(self.network_delay(*index)), state.sequence_count))
            .map(|(index, _)| index)
    }

    /// Returns an engine that serves no similar answers yet, if enough engines without short answers remain for long
    /// prompts.
    fn select_unneeded(&self) -> Option<usize> {
        let is_free = |state: &EngineState| {
            let can_join_team = !state.is_half_open && self.snapshot.is_fast_enough(state, self.policy());
            state.short_sequence_count == 0 && can_join_team
        };
        let free = self.eligible_engines().filter(|(_, state)| is_free(state)).count();
        if free <= self.planner.engines_for_long { None } else { self.select_start() }
    }

    /// Returns an engine that serves no similar answers yet, unless the remaining ones are reserved for long prompts.
    fn select_additional(&self) -> Option<usize> {
        let similar = self.eligible_engines().filter(|(_, state)| self.serves_similar(state)).count();
        let all = self.eligible_engines().count();
        if similar as f64 >= all as f64 * (1.0 - self.policy().long_share) {
            return None;
        }
        self.select_start()
    }

    /// Returns the engine at which starting to serve short prompts costs least.
    fn select_start(&self) -> Option<usize> {
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
        let wait_ms = |(index, state): &(usize, &EngineState)| state.wait_ms + self.network_ms(*index);
        engines.min_by(|a, b| wait_ms(a).total_cmp(&wait_ms(b))).map(|(index, _)| index)
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

    /// Returns whether the engine meets all gap targets and produces the first event `margin_ms` milliseconds before
    /// its target.
    fn is_in_time(&self, index: usize, state: &EngineState, margin_ms: f64) -> bool {
        let prefill_ms = self.prompt().prefill_ms * state.slowdown;
        let first_event_ms = state.wait_ms + prefill_ms + state.pass_ms + self.network_ms(index) + margin_ms;
        self.has_prefill_budget(state) && self.now + duration_from_ms(first_event_ms) <= self.job().first_event_target
    }

    /// Returns the time that messages between the entry and an engine take until the first event.
    fn network_delay(&self, index: usize) -> Duration {
        self.planner.delay_to_engine(self.candidate.id.entry, self.name(index))
    }

    fn network_ms(&self, index: usize) -> f64 {
        self.network_delay(index).as_secs_f64() * 1e3
    }

    /// Compares two engines by the cost of starting to serve short prompts there.
    fn cmp_start_cost(&self, (a, state_a): (usize, &EngineState), (b, state_b): (usize, &EngineState)) -> Ordering {
        let extra_ms = |state: &EngineState| self.prompt().prefill_ms * (state.slowdown - 1.0);
        let cost = |index: usize, state: &EngineState| {
            let context_ms = state.context_tokens as f64 / TOKENS_PER_WAIT_MS;
            state.wait_ms + context_ms + extra_ms(state) + self.network_ms(index)
        };
        let tie_break = |index| rendezvous(self.planner.salt, self.name(index));
        cost(a, state_a).total_cmp(&cost(b, state_b)).then_with(|| tie_break(a).cmp(&tie_break(b)))
    }
}
