//! Placement of long prompts: each engine of a team prefills a part, and one of them decodes the answer.

use std::cmp::Reverse;

use super::super::engine::Engine;
use super::super::needs;
use super::Choice;
use coord::name::Name;
use coord::planner::{Helper, Team};

/// Engine that can prefill a part now.
struct Open<'a> {
    name: &'a Name,
    engine: &'a Engine,
    wait_ms: f64,
}

impl Choice<'_> {
    /// Returns the largest team whose members can each prefill a part without exceeding a gap limit.
    pub fn long(&self) -> Option<Team> {
        let most = ((self.read_ms / self.policy().least_part_ms) as usize).clamp(1, self.policy().most_parts);
        let open = self.open();
        let sizes = self.fewest(most)..=most.min(open.len());
        sizes.rev().find_map(|parts| self.team(&open, parts))
    }

    /// Returns the engines with almost no pending prefill, shortest wait first.
    fn open(&self) -> Vec<Open<'_>> {
        let tries = self.must_try();
        let mut open: Vec<Open> = self
            .engines
            .iter()
            .map(|(name, engine)| Open { name, engine, wait_ms: engine.wait_ms(self.now) })
            .filter(|open| open.engine.pending_ms(self.now) <= self.policy().start_pending_ms)
            // A failing engine would hold up the whole team, so trial requests are left to short prompts.
            .filter(|open| tries || !self.planner.evidence.is_on_trial(open.name, self.now))
            .collect();
        open.sort_by(|a, b| a.wait_ms.total_cmp(&b.wait_ms));
        open
    }

    /// Returns whether so many engines are on trial that long prompts must use them too.
    fn must_try(&self) -> bool {
        let on_trial = self.planner.evidence.on_trial(self.now) as f64;
        on_trial >= self.planner.engines.len() as f64 * (1.0 - self.policy().least_usable)
    }

    /// Returns the smallest number of engines that may prefill the prompt now.
    fn fewest(&self, most: usize) -> usize {
        if self.planner.is_late(self.job, self.now) {
            return self.fewest_late(most);
        }
        // A team that is too small to be in time would block its engines for long.
        let slack_ms = self.job.aim.since(self.now).as_secs_f64() * 1e3;
        let in_time = (self.read_ms / (slack_ms * self.policy().in_time_share).max(1.0)).ceil() as usize;
        in_time.clamp(1, most)
    }

    /// Returns the smallest team for a late prompt: large enough to produce the first event before the caller gives
    /// up, or all engines if that is impossible.
    fn fewest_late(&self, most: usize) -> usize {
        let left_ms = self.job.deadline.since(self.now).as_secs_f64() * 1e3 * self.policy().late_share;
        ((self.read_ms / left_ms.max(1.0)).ceil() as usize).clamp(1, most.min(self.engines.len()))
    }

    /// Returns a team of `parts` engines that each have the prefill budget for one part.
    fn team(&self, open: &[Open], parts: usize) -> Option<Team> {
        let part_ms = self.read_ms / parts as f64;
        let has_room = |open: &&Open| open.engine.room_ms(self.now, self.policy()) >= part_ms;
        let roomy: Vec<&Open> = open.iter().filter(has_room).collect();
        if roomy.len() < parts {
            return None;
        }
        self.holding_alone(&roomy, parts).or_else(|| self.holding_together(&roomy, parts))
    }

    /// Returns a team whose writer holds the whole prompt in memory.
    fn holding_alone(&self, roomy: &[&Open], parts: usize) -> Option<Team> {
        let fits = |engine: &Engine| engine.has_slot(self.policy()) && engine.has_memory(self.job, self.policy());
        let fitting = roomy.iter().filter(|open| fits(open.engine));
        let writer = fitting.min_by_key(|open| self.writer_key(open.engine))?;
        let others = roomy.iter().filter(|open| open.name != writer.name).take(parts - 1);
        let helpers = others.map(|open| Helper { engine: open.name.clone(), holds: 0 }).collect();
        Some(Team { writer: writer.name.clone(), helpers })
    }

    /// Returns a team whose helpers hold the tokens that exceed the writer's memory.
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

    /// Ranks writers, smallest first. Long answers decode beside other long answers and away from short ones, so that
    /// most engines only prefill.
    fn writer_key(&self, engine: &Engine) -> (bool, Reverse<usize>) {
        (engine.gap_ms() < self.job.gap_ms, Reverse(engine.seats.len()))
    }
}
