//! Placement of short prompts: one engine each, packed onto few engines.

use std::cmp::Ordering;

use super::super::engine::Engine;
use super::super::policy::TOKENS_PER_WAIT_MS;
use super::{CandidateScope, PlacementContext};
use coord::engine::duration_from_ms;
use coord::name::Name;
use coord::pick::rendezvous;
use coord::planner::Team;

impl PlacementContext<'_> {
    /// Returns an engine for a short prompt. Half-open engines come first, because only short prompts are used as
    /// trial requests. Otherwise the prompt is packed onto an engine that already serves short prompts, as long as
    /// all gap targets are met and the first event is in time.
    pub fn select_short(&self) -> Option<Team> {
        let engine = match self.scope {
            CandidateScope::All if !self.policy().packing => self.select_half_open().or_else(|| self.select_soonest()),
            CandidateScope::All => self
                .select_half_open()
                .or_else(|| self.select_packed())
                .or_else(|| self.select_additional())
                .or_else(|| self.select_soonest()),
            CandidateScope::SharedOnly => self.select_shared(),
        };
        engine.map(|decoder| Team { decoder: decoder.clone(), helpers: Vec::new() })
    }

    /// Returns the engine with the shortest wait among those that serve similar answers and still meet their gap
    /// targets.
    fn select_shared(&self) -> Option<&Name> {
        let is_suitable =
            |engine: &Engine| self.fits(engine) && self.serves_similar(engine) && self.has_prefill_budget(engine);
        self.select_shortest_wait(self.engines.iter().filter(|(_, engine)| is_suitable(engine)))
    }

    fn select_half_open(&self) -> Option<&Name> {
        let is_half_open = |name| self.planner.health.is_half_open(name, self.now);
        let mut engines = self.engines.iter();
        let found = engines.find(|(name, engine)| is_half_open(name) && self.fits(engine) && self.is_in_time(engine));
        found.map(|(name, _)| *name)
    }

    /// Returns the engine with the most sequences among those that serve similar answers and prefill the prompt in
    /// time.
    fn select_packed(&self) -> Option<&Name> {
        let is_suitable = |engine: &Engine| self.fits(engine) && self.serves_similar(engine) && self.is_in_time(engine);
        let engines = self.engines.iter().filter(|(_, engine)| is_suitable(engine));
        engines.max_by_key(|(_, engine)| engine.sequences.len()).map(|(name, _)| *name)
    }

    /// Returns an engine that serves no similar answers yet, unless the remaining ones are reserved for long prompts.
    fn select_additional(&self) -> Option<&Name> {
        let similar = self.engines.iter().filter(|(_, engine)| self.serves_similar(engine)).count();
        if similar as f64 >= self.engines.len() as f64 * (1.0 - self.policy().long_share) {
            return None;
        }
        let engines = self.engines.iter().filter(|(_, engine)| self.fits(engine) && !self.serves_similar(engine));
        engines.min_by(|a, b| self.cmp_start_cost(a, b)).map(|(name, _)| *name)
    }

    /// Returns the engine with the shortest wait among those that still meet their gap targets; the first event may
    /// be late.
    fn select_soonest(&self) -> Option<&Name> {
        self.select_shortest_wait(
            self.engines.iter().filter(|(_, engine)| self.fits(engine) && self.has_prefill_budget(engine)),
        )
    }

    fn select_shortest_wait<'b>(&self, engines: impl Iterator<Item = &'b (&'b Name, &'b Engine)>) -> Option<&'b Name> {
        let wait_ms = |engine: &Engine| engine.wait_ms(self.now);
        engines.min_by(|(_, a), (_, b)| wait_ms(a).total_cmp(&wait_ms(b))).map(|(name, _)| *name)
    }

    fn fits(&self, engine: &Engine) -> bool {
        engine.has_slot(self.policy()) && engine.has_memory(self.job, self.policy())
    }

    /// Returns whether the engine already decodes an answer whose gap target is at least as strict.
    fn serves_similar(&self, engine: &Engine) -> bool {
        engine.min_gap_target_ms() <= self.job.gap_target_ms
    }

    /// Returns whether the engine can prefill the prompt without exceeding the gap target of a sequence.
    fn has_prefill_budget(&self, engine: &Engine) -> bool {
        engine.prefill_budget_ms(self.now, self.policy()) >= self.prefill_ms
    }

    /// Returns whether the engine meets all gap targets and produces the first event in time.
    fn is_in_time(&self, engine: &Engine) -> bool {
        let first_event_ms = engine.wait_ms(self.now) + self.prefill_ms + engine.pass_ms();
        self.has_prefill_budget(engine) && self.now + duration_from_ms(first_event_ms) <= self.job.first_event_target
    }

    /// Compares two engines by the cost of starting to serve short prompts there.
    fn cmp_start_cost(&self, (a, engine_a): &(&Name, &Engine), (b, engine_b): &(&Name, &Engine)) -> Ordering {
        let cost = |engine: &Engine| engine.wait_ms(self.now) + engine.context_tokens() as f64 / TOKENS_PER_WAIT_MS;
        let salt = self.planner.salt;
        cost(engine_a).total_cmp(&cost(engine_b)).then_with(|| rendezvous(salt, a).cmp(&rendezvous(salt, b)))
    }
}
