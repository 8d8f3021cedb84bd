//! Placement of short prompts: one engine each, packed onto few engines.

use std::cmp::Ordering;

use super::super::engine::Engine;
use super::super::policy::TOKENS_A_MS;
use super::{Choice, Reach};
use coord::engine::millis;
use coord::name::Name;
use coord::pick::rendezvous;
use coord::planner::Team;

impl Choice<'_> {
    /// Returns an engine for a short prompt. Engines on trial come first, because only short prompts try engines.
    /// Otherwise the prompt is packed onto an engine that already serves short prompts, as long as all gap limits and
    /// first events are kept.
    pub fn short(&self) -> Option<Team> {
        let engine = match self.reach {
            Reach::All if !self.policy().packing => self.tried().or_else(|| self.soonest()),
            Reach::All => self.tried().or_else(|| self.packed()).or_else(|| self.opened()).or_else(|| self.soonest()),
            Reach::Shared => self.shared(),
        };
        engine.map(|writer| Team { writer: writer.clone(), helpers: Vec::new() })
    }

    /// Returns the engine with the shortest wait among those that serve similar answers and keep their gap limits.
    fn shared(&self) -> Option<&Name> {
        let may = |engine: &Engine| self.fits(engine) && self.is_like(engine) && self.has_room(engine);
        self.first_free(self.engines.iter().filter(|(_, engine)| may(engine)))
    }

    /// Returns an engine that is on trial.
    fn tried(&self) -> Option<&Name> {
        let is_on_trial = |name| self.planner.evidence.is_on_trial(name, self.now);
        let mut engines = self.engines.iter();
        let found = engines.find(|(name, engine)| is_on_trial(name) && self.fits(engine) && self.in_time(engine));
        found.map(|(name, _)| *name)
    }

    /// Returns the engine with the most sequences among those that serve similar answers and prefill the prompt in
    /// time.
    fn packed(&self) -> Option<&Name> {
        let may = |engine: &Engine| self.fits(engine) && self.is_like(engine) && self.in_time(engine);
        let engines = self.engines.iter().filter(|(_, engine)| may(engine));
        engines.max_by_key(|(_, engine)| engine.seats.len()).map(|(name, _)| *name)
    }

    /// Returns an engine that serves no similar answers yet, unless the remaining ones are reserved for long prompts.
    fn opened(&self) -> Option<&Name> {
        let like = self.engines.iter().filter(|(_, engine)| self.is_like(engine)).count();
        if like as f64 >= self.engines.len() as f64 * (1.0 - self.policy().long_share) {
            return None;
        }
        let engines = self.engines.iter().filter(|(_, engine)| self.fits(engine) && !self.is_like(engine));
        engines.min_by(|a, b| self.by_opening_cost(a, b)).map(|(name, _)| *name)
    }

    /// Returns the engine with the shortest wait among those that keep their gap limits; the first event may be late.
    fn soonest(&self) -> Option<&Name> {
        self.first_free(self.engines.iter().filter(|(_, engine)| self.fits(engine) && self.has_room(engine)))
    }

    /// Returns the engine with the shortest wait.
    fn first_free<'b>(&self, engines: impl Iterator<Item = &'b (&'b Name, &'b Engine)>) -> Option<&'b Name> {
        let wait_ms = |engine: &Engine| engine.wait_ms(self.now);
        engines.min_by(|(_, a), (_, b)| wait_ms(a).total_cmp(&wait_ms(b))).map(|(name, _)| *name)
    }

    fn fits(&self, engine: &Engine) -> bool {
        engine.has_slot(self.policy()) && engine.has_memory(self.job, self.policy())
    }

    /// Returns whether the engine already decodes an answer whose gap limit is at least as strict.
    fn is_like(&self, engine: &Engine) -> bool {
        engine.gap_ms() <= self.job.gap_ms
    }

    /// Returns whether the engine can prefill the prompt without exceeding the gap limit of a sequence.
    fn has_room(&self, engine: &Engine) -> bool {
        engine.room_ms(self.now, self.policy()) >= self.read_ms
    }

    /// Returns whether the engine also produces the first event in time.
    fn in_time(&self, engine: &Engine) -> bool {
        let first_event_ms = engine.wait_ms(self.now) + self.read_ms + engine.pass_ms();
        self.has_room(engine) && self.now + millis(first_event_ms) <= self.job.aim
    }

    /// Compares two engines by the cost of starting to serve short prompts there.
    fn by_opening_cost(&self, (a, of_a): &(&Name, &Engine), (b, of_b): &(&Name, &Engine)) -> Ordering {
        let cost = |engine: &Engine| engine.wait_ms(self.now) + engine.context() as f64 / TOKENS_A_MS;
        let salt = self.planner.salt;
        cost(of_a).total_cmp(&cost(of_b)).then_with(|| rendezvous(salt, a).cmp(&rendezvous(salt, b)))
    }
}
