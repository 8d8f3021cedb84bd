//! Long prompts: a team of engines that each read a part, of which one writes the answer.

use std::cmp::Reverse;

use super::super::engine::Engine;
use super::super::needs;
use super::Choice;
use coord::name::Name;
use coord::planner::{Helper, Team};

/// An engine that may read a part now.
struct Open<'a> {
    name: &'a Name,
    engine: &'a Engine,
    wait_ms: f64,
}

impl Choice<'_> {
    /// Splits a long prompt over as many engines as can read a part without making anyone wait.
    pub fn long(&self) -> Option<Team> {
        let most = ((self.read_ms / self.policy().least_part_ms) as usize).clamp(1, self.policy().most_parts);
        let open = self.open();
        let sizes = self.fewest(most)..=most.min(open.len());
        sizes.rev().find_map(|parts| self.team(&open, parts))
    }

    /// Engines that have next to nothing left to read, those first that can begin soonest.
    fn open(&self) -> Vec<Open<'_>> {
        let tries = self.must_try();
        let mut open: Vec<Open> = self
            .engines
            .iter()
            .map(|(name, engine)| Open { name, engine, wait_ms: engine.wait_ms(self.now) })
            .filter(|open| open.engine.pending_ms(self.now) <= self.policy().start_pending_ms)
            // One that fails holds up the whole team; short prompts try it.
            .filter(|open| tries || !self.planner.evidence.is_on_trial(open.name, self.now))
            .collect();
        open.sort_by(|a, b| a.wait_ms.total_cmp(&b.wait_ms));
        open
    }

    /// Whether so many engines wait for a trial that too few are left without them.
    fn must_try(&self) -> bool {
        let on_trial = self.planner.evidence.on_trial(self.now) as f64;
        on_trial >= self.planner.engines.len() as f64 * (1.0 - self.policy().least_usable)
    }

    /// Fewest engines that may read the prompt now.
    fn fewest(&self, most: usize) -> usize {
        if self.planner.is_late(self.job, self.now) {
            return self.fewest_late(most);
        }
        // A team that is too small to be in time would be in the way of others for long.
        let slack_ms = self.job.aim.since(self.now).as_secs_f64() * 1e3;
        let in_time = (self.read_ms / (slack_ms * self.policy().in_time_share).max(1.0)).ceil() as usize;
        in_time.clamp(1, most)
    }

    /// A late prompt takes what there is, if that is enough for its caller to see the first event at all, or is all.
    fn fewest_late(&self, most: usize) -> usize {
        let left_ms = self.job.deadline.since(self.now).as_secs_f64() * 1e3 * self.policy().late_share;
        ((self.read_ms / left_ms.max(1.0)).ceil() as usize).clamp(1, most.min(self.engines.len()))
    }

    /// A team of `parts` engines that have room for a part each.
    fn team(&self, open: &[Open], parts: usize) -> Option<Team> {
        let part_ms = self.read_ms / parts as f64;
        let has_room = |open: &&Open| open.engine.room_ms(self.now, self.policy()) >= part_ms;
        let roomy: Vec<&Open> = open.iter().filter(has_room).collect();
        if roomy.len() < parts {
            return None;
        }
        self.holding_alone(&roomy, parts).or_else(|| self.holding_together(&roomy, parts))
    }

    /// A team whose writer holds the whole prompt.
    fn holding_alone(&self, roomy: &[&Open], parts: usize) -> Option<Team> {
        let fits = |engine: &Engine| engine.has_slot(self.policy()) && engine.has_memory(self.job, self.policy());
        let fitting = roomy.iter().filter(|open| fits(open.engine));
        let writer = fitting.min_by_key(|open| self.writer_key(open.engine))?;
        let others = roomy.iter().filter(|open| open.name != writer.name).take(parts - 1);
        let helpers = others.map(|open| Helper { engine: open.name.clone(), holds: 0 }).collect();
        Some(Team { writer: writer.name.clone(), helpers })
    }

    /// A team whose helpers hold what exceeds the writer's memory.
    fn holding_together(&self, roomy: &[&Open], parts: usize) -> Option<Team> {
        if !self.policy().shared_memory {
            return None;
        }
        let free = |open: &Open| open.engine.free_memory(self.policy());
        let with_slot = roomy.iter().filter(|open| open.engine.has_slot(self.policy()));
        let writer = with_slot.max_by_key(|open| free(open))?;
        let mut left = needs(self.job).saturating_sub(free(writer));
        let mut others: Vec<&&Open> = roomy.iter().filter(|open| open.name != writer.name).collect();
        others.sort_by_key(|open| Reverse(free(open)));
        let mut helpers = Vec::new();
        for open in others.into_iter().take(parts - 1) {
            let holds = left.min(free(open));
            left -= holds;
            helpers.push(Helper { engine: open.name.clone(), holds });
        }
        (left == 0).then(|| Team { writer: writer.name.clone(), helpers })
    }

    /// Long answers are written where others are, away from short ones, so that most engines only read.
    fn writer_key(&self, engine: &Engine) -> (bool, Reverse<usize>) {
        (engine.gap_ms() < self.job.gap_ms, Reverse(engine.seats.len()))
    }
}
