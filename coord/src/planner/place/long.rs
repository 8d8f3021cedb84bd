//! Placement of long prompts: each engine of a team prefills a part, and one of them decodes the answer.

use std::cmp::Reverse;

use super::PlacementContext;
use crate::planner::job::{Helper, Team};
use crate::planner::snapshot::{EngineState, PrefillEngines};

/// Engines that may serve as helpers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HelperScope {
    /// Engines without sequences.
    Idle,
    /// All engines with enough prefill budget.
    Any,
}

impl PlacementContext<'_> {
    /// Returns the largest team whose members can each prefill a part without exceeding a gap target.
    pub(super) fn select_team(&self) -> Option<Team> {
        let max_parts =
            ((self.prompt().prefill_ms / self.policy().min_part_ms) as usize).clamp(1, self.policy().max_parts);
        let available = self.prefill_engines();
        let sizes = self.min_parts(max_parts)..=max_parts.min(available.by_wait.len() + 1);
        let largest = |helpers| sizes.clone().rev().find_map(|parts| self.build_team(&available, parts, helpers));
        let with_idle_helpers = if self.policy().prefer_idle_helpers { largest(HelperScope::Idle) } else { None };
        with_idle_helpers.or_else(|| largest(HelperScope::Any))
    }

    /// Returns the smallest number of engines that may prefill the prompt now.
    fn min_parts(&self, max_parts: usize) -> usize {
        if self.candidate.is_late {
            return self.min_parts_late(max_parts);
        }
        // A team that is too small to be in time would block its engines for long.
        let slack_ms = self.job().first_event_target.since(self.now).as_secs_f64() * 1e3;
        let required = (self.prompt().prefill_ms / (slack_ms * self.policy().in_time_share).max(1.0)).ceil() as usize;
        required.clamp(1, max_parts)
    }

    /// Returns the smallest team for a late prompt: large enough to produce the first event before the caller gives
    /// up, or all fast engines if that is impossible.
    fn min_parts_late(&self, max_parts: usize) -> usize {
        let remaining_ms = self.job().deadline.since(self.now).as_secs_f64() * 1e3 * self.policy().late_share;
        let sufficient = (self.prompt().prefill_ms / remaining_ms.max(1.0)).ceil() as usize;
        let fast_engines =
            self.eligible_engines().filter(|(_, state)| self.snapshot.is_fast_enough(state, self.policy())).count();
        sufficient.clamp(1, max_parts.min(fast_engines).max(1))
    }

    /// Returns a team of `parts` engines that each have the prefill budget for one part.
    fn build_team(&self, available: &PrefillEngines, parts: usize, helpers: HelperScope) -> Option<Team> {
        let part_ms = self.prompt().prefill_ms / parts as f64;
        if available.count_with_budget(part_ms) + 1 < parts {
            return None;
        }
        let has_budget = |index: &usize| {
            let state = self.state(*index);
            state.prefill_budget_ms >= part_ms && self.allows_use(*index, state.wait_ms + part_ms)
        };
        let with_budget: Vec<usize> = available.by_wait.iter().copied().filter(has_budget).collect();
        let sole_holder = self.team_with_sole_holder(&with_budget, parts, part_ms, helpers);
        match helpers {
            HelperScope::Idle => sole_holder,
            HelperScope::Any if with_budget.len() < parts => sole_holder,
            HelperScope::Any => sole_holder.or_else(|| self.team_with_shared_memory(&with_budget, parts)),
        }
    }

    /// Returns a team whose decoding engine holds the whole prompt in memory.
    fn team_with_sole_holder(
        &self,
        with_budget: &[usize],
        parts: usize,
        part_ms: f64,
        helpers: HelperScope,
    ) -> Option<Team> {
        let fits = |index: &usize| self.state(*index).fits(self.job());
        let joinable_engines = self.joinable_engines(part_ms);
        let fitting = with_budget.iter().copied().chain(joinable_engines).filter(fits);
        let decoder = fitting.min_by_key(|index| self.decoder_key(self.state(*index)))?;
        let is_suitable = |index: &usize| {
            *index != decoder && (helpers == HelperScope::Any || self.state(*index).sequence_count == 0)
        };
        let others = with_budget.iter().copied().filter(is_suitable).take(parts - 1);
        let helpers: Vec<Helper> =
            others.map(|index| Helper { engine: self.name(index).clone(), held_tokens: 0 }).collect();
        (helpers.len() == parts - 1).then(|| Team { decoder: self.name(decoder).clone(), helpers })
    }

    /// Returns engines that decode only long answers and have little pending prefill, so that one more long answer
    /// may decode there.
    fn joinable_engines(&self, part_ms: f64) -> impl Iterator<Item = usize> {
        let policy = self.policy();
        let is_suitable = move |state: &EngineState| {
            policy.colocate_long
                && state.sequence_count > 0
                && state.short_sequence_count == 0
                && state.pending_ms > policy.max_pending_ms
                && state.pending_ms <= policy.max_join_pending_ms
                && state.prefill_budget_ms >= part_ms
                && !state.is_half_open
        };
        let engines = self.eligible_engines().filter(move |(_, state)| is_suitable(state));
        engines.filter(move |(index, state)| self.allows_use(*index, state.wait_ms + part_ms)).map(|(index, _)| index)
    }

    /// Returns a team whose helpers hold the tokens that exceed the memory of the decoding engine.
    fn team_with_shared_memory(&self, with_budget: &[usize], parts: usize) -> Option<Team> {
        if !self.policy().shared_memory {
            return None;
        }
        let free_memory = |index: usize| self.state(index).free_memory;
        let with_slot = with_budget.iter().copied().filter(|index| self.state(*index).has_slot);
        let decoder = with_slot.max_by_key(|index| free_memory(*index))?;
        let mut remaining_tokens = self.job().memory_tokens().saturating_sub(free_memory(decoder));
        let mut others: Vec<usize> = with_budget.iter().copied().filter(|index| *index != decoder).collect();
        others.sort_by_key(|index| Reverse(free_memory(*index)));
        let mut helpers = Vec::new();
        for index in others.into_iter().take(parts - 1) {
            let held_tokens = remaining_tokens.min(free_memory(index));
            remaining_tokens -= held_tokens;
            helpers.push(Helper { engine: self.name(index).clone(), held_tokens });
        }
        (remaining_tokens == 0).then(|| Team { decoder: self.name(decoder).clone(), helpers })
    }

    /// Ranks engines for decoding, smallest first. Long answers decode beside other long answers and away from short
    /// ones, so that most engines only prefill.
    fn decoder_key(&self, state: &EngineState) -> (u8, Reverse<usize>) {
        let preference = match self.policy().colocate_long {
            true if state.short_sequence_count > 0 => 2,
            true if state.sequence_count == 0 => 1,
            true => 0,
            false => u8::from(state.min_gap_target_ms < self.job().gap_target_ms),
        };
        (preference, Reverse(state.sequence_count))
    }

    fn state(&self, index: usize) -> &EngineState {
        &self.snapshot.states()[index]
    }
}
