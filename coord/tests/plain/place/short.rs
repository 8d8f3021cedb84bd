//! Short prompts: one engine each, packed onto few.

use std::cmp::Ordering;

use super::super::engine::Engine;
use super::super::policy::TOKENS_A_MS;
use super::{Choice, Reach};
use coord::engine::millis;
use coord::name::Name;
use coord::pick::rendezvous;
use coord::planner::Team;

impl Choice<'_> {
    /// Packs a short prompt onto an engine that has others like it, as long as all stay in time. Who waits to be
    /// tried goes first: only short prompts try engines.
    pub fn short(&self) -> Option<Team> {
        let engine = match self.reach {
            Reach::All if !self.policy().packing => self.tried().or_else(|| self.soonest()),
            Reach::All => self.tried().or_else(|| self.packed()).or_else(|| self.opened()).or_else(|| self.soonest()),
            Reach::Shared => self.shared(),
        };
        engine.map(|writer| Team { writer: writer.clone(), helpers: Vec::new() })
    }

    /// The engine that can begin soonest among those that hold answers like this one's and keep their pauses.
    fn shared(&self) -> Option<&Name> {
        let may = |engine: &Engine| self.fits(engine) && self.is_like(engine) && self.has_room(engine);
        self.first_free(self.engines.iter().filter(|(_, engine)| may(engine)))
    }

    /// An engine that waits for a trial.
    fn tried(&self) -> Option<&Name> {
        let is_on_trial = |name| self.planner.evidence.is_on_trial(name, self.now);
        let mut engines = self.engines.iter();
        let found = engines.find(|(name, engine)| is_on_trial(name) && self.fits(engine) && self.in_time(engine));
        found.map(|(name, _)| *name)
    }

    /// The engine with the most answers among those that hold short ones and read the prompt in time.
    fn packed(&self) -> Option<&Name> {
        let may = |engine: &Engine| self.fits(engine) && self.is_like(engine) && self.in_time(engine);
        let engines = self.engines.iter().filter(|(_, engine)| may(engine));
        engines.max_by_key(|(_, engine)| engine.seats.len()).map(|(name, _)| *name)
    }

    /// One more engine to hold short answers, unless long prompts need those that are left.
    fn opened(&self) -> Option<&Name> {
        let like = self.engines.iter().filter(|(_, engine)| self.is_like(engine)).count();
        if like as f64 >= self.engines.len() as f64 * (1.0 - self.policy().long_share) {
            return None;
        }
        let engines = self.engines.iter().filter(|(_, engine)| self.fits(engine) && !self.is_like(engine));
        engines.min_by(|a, b| self.by_opening_cost(a, b)).map(|(name, _)| *name)
    }

    /// The engine that can begin soonest among those that keep their pauses; the prompt may be late.
    fn soonest(&self) -> Option<&Name> {
        self.first_free(self.engines.iter().filter(|(_, engine)| self.fits(engine) && self.has_room(engine)))
    }

    /// The engine among these that can begin soonest.
    fn first_free<'b>(&self, engines: impl Iterator<Item = &'b (&'b Name, &'b Engine)>) -> Option<&'b Name> {
        let wait_ms = |engine: &Engine| engine.wait_ms(self.now);
        engines.min_by(|(_, a), (_, b)| wait_ms(a).total_cmp(&wait_ms(b))).map(|(name, _)| *name)
    }

    /// Whether the engine has a slot and memory for the answer.
    fn fits(&self, engine: &Engine) -> bool {
        engine.has_slot(self.policy()) && engine.has_memory(self.job, self.policy())
    }

    /// Whether the engine writes for callers who want pauses as short as this one does.
    fn is_like(&self, engine: &Engine) -> bool {
        engine.gap_ms() <= self.job.gap_ms
    }

    /// Whether the prompt can be read without a pause that someone who writes at the engine would mind.
    fn has_room(&self, engine: &Engine) -> bool {
        engine.room_ms(self.now, self.policy()) >= self.read_ms
    }

    /// Whether that is so and the prompt's own first event is in time.
    fn in_time(&self, engine: &Engine) -> bool {
        let first_event_ms = engine.wait_ms(self.now) + self.read_ms + engine.pass_ms();
        self.has_room(engine) && self.now + millis(first_event_ms) <= self.job.aim
    }

    /// Orders engines by what it costs to make them hold short answers.
    fn by_opening_cost(&self, (a, of_a): &(&Name, &Engine), (b, of_b): &(&Name, &Engine)) -> Ordering {
        let cost = |engine: &Engine| engine.wait_ms(self.now) + engine.context() as f64 / TOKENS_A_MS;
        let salt = self.planner.salt;
        cost(of_a).total_cmp(&cost(of_b)).then_with(|| rendezvous(salt, a).cmp(&rendezvous(salt, b)))
    }
}
