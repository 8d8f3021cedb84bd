//! Placement of long prompts: each engine of a team prefills a part, and one of them decodes the answer.

use std::cmp::Reverse;

use super::Choice;
use crate::planner::job::{Helper, Team};
use crate::planner::snapshot::{Open, View};

/// Engines that may serve as helpers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Helpers {
    /// Engines without sequences.
    NotWriting,
    /// All engines with enough prefill budget.
    Any,
}

impl Choice<'_> {
    /// Returns the largest team whose members can each prefill a part without exceeding a gap limit.
    pub(super) fn long(&self) -> Option<Team> {
        let most = ((self.prompt().read_ms / self.policy().least_part_ms) as usize).clamp(1, self.policy().most_parts);
        let open = self.open();
        let sizes = self.fewest(most)..=most.min(open.by_wait.len() + 1);
        let team = |helpers| sizes.clone().rev().find_map(|parts| self.team(&open, parts, helpers));
        let not_writing = if self.policy().spare_writers { team(Helpers::NotWriting) } else { None };
        not_writing.or_else(|| team(Helpers::Any))
    }

    /// Returns the smallest number of engines that may prefill the prompt now.
    fn fewest(&self, most: usize) -> usize {
        if self.turn.late {
            return self.fewest_late(most);
        }
        // A team that is too small to be in time would block its engines for long.
        let slack_ms = self.job().aim.since(self.now).as_secs_f64() * 1e3;
        let in_time = (self.prompt().read_ms / (slack_ms * self.policy().in_time_share).max(1.0)).ceil() as usize;
        in_time.clamp(1, most)
    }

    /// Returns the smallest team for a late prompt: large enough to produce the first event before the caller gives
    /// up, or all fast engines if that is impossible.
    fn fewest_late(&self, most: usize) -> usize {
        let left_ms = self.job().deadline.since(self.now).as_secs_f64() * 1e3 * self.policy().late_share;
        let enough = (self.prompt().read_ms / left_ms.max(1.0)).ceil() as usize;
        let helpful = self.engines().filter(|(_, view)| self.board.is_fast_enough(view, self.policy())).count();
        enough.clamp(1, most.min(helpful).max(1))
    }

    /// Returns a team of `parts` engines that each have the prefill budget for one part.
    fn team(&self, open: &Open, parts: usize, helpers: Helpers) -> Option<Team> {
        let part_ms = self.prompt().read_ms / parts as f64;
        if open.roomy(part_ms) + 1 < parts {
            return None;
        }
        let has_room = |index: &usize| self.view(*index).room_ms >= part_ms;
        let roomy: Vec<usize> = open.by_wait.iter().copied().filter(has_room).collect();
        let alone = self.holding_alone(&roomy, parts, part_ms, helpers);
        match helpers {
            Helpers::NotWriting => alone,
            Helpers::Any if roomy.len() < parts => alone,
            Helpers::Any => alone.or_else(|| self.holding_together(&roomy, parts)),
        }
    }

    /// Returns a team whose writer holds the whole prompt in memory.
    fn holding_alone(&self, roomy: &[usize], parts: usize, part_ms: f64, helpers: Helpers) -> Option<Team> {
        let fits = |index: &usize| self.view(*index).fits(self.job());
        let joined = self.joined(part_ms);
        let fitting = roomy.iter().copied().chain(joined).filter(fits);
        let writer = fitting.min_by_key(|index| self.writer_key(self.view(*index)))?;
        let may = |index: &usize| *index != writer && (helpers == Helpers::Any || self.view(*index).seats == 0);
        let others = roomy.iter().copied().filter(may).take(parts - 1);
        let helpers: Vec<Helper> = others.map(|index| Helper { engine: self.name(index).clone(), holds: 0 }).collect();
        (helpers.len() == parts - 1).then(|| Team { writer: self.name(writer).clone(), helpers })
    }

    /// Returns engines that decode only long answers and have little pending prefill, so that one more long answer
    /// may decode there.
    fn joined(&self, part_ms: f64) -> impl Iterator<Item = usize> {
        let policy = self.policy();
        let may = move |view: &View| {
            policy.gather
                && view.seats > 0
                && view.short_seats == 0
                && view.pending_ms > policy.start_pending_ms
                && view.pending_ms <= policy.join_pending_ms
                && view.room_ms >= part_ms
                && !view.on_trial
        };
        self.engines().filter(move |(_, view)| may(view)).map(|(index, _)| index)
    }

    /// Returns a team whose helpers hold the tokens that exceed the writer's memory.
    fn holding_together(&self, roomy: &[usize], parts: usize) -> Option<Team> {
        if !self.policy().shared_memory {
            return None;
        }
        let free = |index: usize| self.view(index).free_memory;
        let with_slot = roomy.iter().copied().filter(|index| self.view(*index).has_slot);
        let writer = with_slot.max_by_key(|index| free(*index))?;
        let mut left = self.job().needs().saturating_sub(free(writer));
        let mut others: Vec<usize> = roomy.iter().copied().filter(|index| *index != writer).collect();
        others.sort_by_key(|index| Reverse(free(*index)));
        let mut helpers = Vec::new();
        for index in others.into_iter().take(parts - 1) {
            let holds = left.min(free(index));
            left -= holds;
            helpers.push(Helper { engine: self.name(index).clone(), holds });
        }
        (left == 0).then(|| Team { writer: self.name(writer).clone(), helpers })
    }

    /// Ranks writers, smallest first. Long answers decode beside other long answers and away from short ones, so that
    /// most engines only prefill.
    fn writer_key(&self, view: &View) -> (u8, Reverse<usize>) {
        let class = match self.policy().gather {
            true if view.short_seats > 0 => 2,
            true if view.seats == 0 => 1,
            true => 0,
            false => u8::from(view.gap_ms < self.job().gap_ms),
        };
        (class, Reverse(view.seats))
    }

    fn view(&self, index: usize) -> &View {
        &self.board.views()[index]
    }
}
