//! Placement of long prompts: each engine of a team prefills a part, and one of them decodes the answer.

use std::cmp::Reverse;

use super::super::engine::Engine;
use super::super::memory_tokens;
use super::PlacementContext;
use coord::name::Name;
use coord::planner::{Helper, Team};

/// Engine that can prefill a part now.
struct PrefillEngine<'a> {
    name: &'a Name,
    engine: &'a Engine,
    wait_ms: f64,
}

impl PlacementContext<'_> {
    /// Returns the largest team whose members can each prefill a part without exceeding a gap target.
    pub fn select_team(&self) -> Option<Team> {
        let max_parts = ((self.prefill_ms / self.policy().min_part_ms) as usize).clamp(1, self.policy().max_parts);
        let available = self.prefill_engines();
        let sizes = self.min_parts(max_parts)..=max_parts.min(available.len());
        sizes.rev().find_map(|parts| self.build_team(&available, parts))
    }

    /// Returns the engines with almost no pending prefill, shortest wait first.
    fn prefill_engines(&self) -> Vec<PrefillEngine<'_>> {
        let allow_half_open = self.needs_half_open();
        let mut available: Vec<PrefillEngine> = self
            .engines
            .iter()
            .map(|(name, engine)| PrefillEngine { name, engine, wait_ms: engine.wait_ms(self.now) })
            .filter(|candidate| candidate.engine.pending_ms(self.now) <= self.policy().max_pending_ms)
            // A failing engine would hold up the whole team, so trial requests are left to short prompts.
            .filter(|candidate| allow_half_open || !self.planner.health.is_half_open(candidate.name, self.now))
            .collect();
        available.sort_by(|a, b| a.wait_ms.total_cmp(&b.wait_ms));
        available
    }

    /// Returns whether long prompts must use half-open engines too, because too few engines remain without them.
    fn needs_half_open(&self) -> bool {
        let half_open = self.planner.health.count_half_open(self.now) as f64;
        half_open >= self.planner.engines.len() as f64 * (1.0 - self.policy().min_usable_share)
    }

    /// Returns the smallest number of engines that may prefill the prompt now.
    fn min_parts(&self, max_parts: usize) -> usize {
        if self.planner.is_late(self.job, self.now) {
            return self.min_parts_late(max_parts);
        }
        // A team that is too small to be in time would block its engines for long.
        let slack_ms = self.job.first_event_target.since(self.now).as_secs_f64() * 1e3;
        let required = (self.prefill_ms / (slack_ms * self.policy().in_time_share).max(1.0)).ceil() as usize;
        required.clamp(1, max_parts)
    }

    /// Returns the smallest team for a late prompt: large enough to produce the first event before the caller gives
    /// up, or all engines if that is impossible.
    fn min_parts_late(&self, max_parts: usize) -> usize {
        let remaining_ms = self.job.deadline.since(self.now).as_secs_f64() * 1e3 * self.policy().late_share;
        ((self.prefill_ms / remaining_ms.max(1.0)).ceil() as usize).clamp(1, max_parts.min(self.engines.len()))
    }

    /// Returns a team of `parts` engines that each have the prefill budget for one part.
    fn build_team(&self, available: &[PrefillEngine], parts: usize) -> Option<Team> {
        let part_ms = self.prefill_ms / parts as f64;
        let has_prefill_budget =
            |candidate: &&PrefillEngine| candidate.engine.prefill_budget_ms(self.now, self.policy()) >= part_ms;
        let with_budget: Vec<&PrefillEngine> = available.iter().filter(has_prefill_budget).collect();
        if with_budget.len() < parts {
            return None;
        }
        self.team_with_sole_holder(&with_budget, parts).or_else(|| self.team_with_shared_memory(&with_budget, parts))
    }

    /// Returns a team whose decoding engine holds the whole prompt in memory.
    fn team_with_sole_holder(&self, with_budget: &[&PrefillEngine], parts: usize) -> Option<Team> {
        let fits = |engine: &Engine| engine.has_slot(self.policy()) && engine.has_memory(self.job, self.policy());
        let fitting = with_budget.iter().filter(|candidate| fits(candidate.engine));
        let decoder = fitting.min_by_key(|candidate| self.decoder_key(candidate.engine))?;
        let others = with_budget.iter().filter(|candidate| candidate.name != decoder.name).take(parts - 1);
        let helpers = others.map(|candidate| Helper { engine: candidate.name.clone(), held_tokens: 0 }).collect();
        Some(Team { decoder: decoder.name.clone(), helpers })
    }

    /// Returns a team whose helpers hold the tokens that exceed the memory of the decoding engine.
    fn team_with_shared_memory(&self, with_budget: &[&PrefillEngine], parts: usize) -> Option<Team> {
        if !self.policy().shared_memory {
            return None;
        }
        let free_memory = |candidate: &PrefillEngine| candidate.engine.free_memory(self.policy());
        let with_slot = with_budget.iter().filter(|candidate| candidate.engine.has_slot(self.policy()));
        let decoder = with_slot.max_by_key(|candidate| free_memory(candidate))?;
        let mut remaining_tokens = memory_tokens(self.job).saturating_sub(free_memory(decoder));
        let mut others: Vec<&&PrefillEngine> =
            with_budget.iter().filter(|candidate| candidate.name != decoder.name).collect();
        others.sort_by_key(|candidate| Reverse(free_memory(candidate)));
        let mut helpers = Vec::new();
        for candidate in others.into_iter().take(parts - 1) {
            let held_tokens = remaining_tokens.min(free_memory(candidate));
            remaining_tokens -= held_tokens;
            helpers.push(Helper { engine: candidate.name.clone(), held_tokens });
        }
        (remaining_tokens == 0).then(|| Team { decoder: decoder.name.clone(), helpers })
    }

    /// Ranks engines for decoding, smallest first. Long answers decode beside other long answers and away from short
    /// ones, so that most engines only prefill.
    fn decoder_key(&self, engine: &Engine) -> (bool, Reverse<usize>) {
        (engine.min_gap_target_ms() < self.job.gap_target_ms, Reverse(engine.sequences.len()))
    }
}
