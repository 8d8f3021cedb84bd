//! Long prompts: a team of engines that each read a part, of which one writes the answer.

use std::cmp::Reverse;

use super::Choice;
use crate::planner::board::{Open, View};
use crate::planner::job::{Helper, Team};

impl Choice<'_> {
    /// Splits a long prompt over as many engines as can read a part without making anyone wait.
    pub(super) fn long(&self) -> Option<Team> {
        let most = ((self.prompt().read_ms / self.policy().least_part_ms) as usize).clamp(1, self.policy().most_parts);
        let open = self.open();
        let sizes = self.fewest(most)..=most.min(open.by_wait.len());
        sizes.rev().find_map(|parts| self.team(&open, parts))
    }

    /// Fewest engines that may read the prompt now.
    fn fewest(&self, most: usize) -> usize {
        if self.turn.late {
            return self.fewest_late(most);
        }
        // A team that is too small to be in time would be in the way of others for long.
        let slack_ms = self.job().aim.since(self.now).as_secs_f64() * 1e3;
        let in_time = (self.prompt().read_ms / (slack_ms * self.policy().in_time_share).max(1.0)).ceil() as usize;
        in_time.clamp(1, most)
    }

    /// A late prompt takes what there is, if that is enough for its caller to see the first event at all, or is all.
    fn fewest_late(&self, most: usize) -> usize {
        let left_ms = self.job().deadline.since(self.now).as_secs_f64() * 1e3 * self.policy().late_share;
        let enough = (self.prompt().read_ms / left_ms.max(1.0)).ceil() as usize;
        enough.clamp(1, most.min(self.engines().count()))
    }

    /// A team of `parts` engines that have room for a part each.
    fn team(&self, open: &Open, parts: usize) -> Option<Team> {
        let part_ms = self.prompt().read_ms / parts as f64;
        if open.roomy(part_ms) < parts {
            return None;
        }
        let has_room = |index: &usize| self.view(*index).room_ms >= part_ms;
        let roomy: Vec<usize> = open.by_wait.iter().copied().filter(has_room).collect();
        self.holding_alone(&roomy, parts).or_else(|| self.holding_together(&roomy, parts))
    }

    /// A team whose writer holds the whole prompt.
    fn holding_alone(&self, roomy: &[usize], parts: usize) -> Option<Team> {
        let fitting = roomy.iter().copied().filter(|index| self.view(*index).fits(self.job()));
        let writer = fitting.min_by_key(|index| self.writer_key(self.view(*index)))?;
        let others = roomy.iter().copied().filter(|index| *index != writer).take(parts - 1);
        let helpers = others.map(|index| Helper { engine: self.name(index).clone(), holds: 0 }).collect();
        Some(Team { writer: self.name(writer).clone(), helpers })
    }

    /// A team whose helpers hold what exceeds the writer's memory.
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

    /// Long answers are written where others are, away from short ones, so that most engines only read.
    fn writer_key(&self, view: &View) -> (bool, Reverse<usize>) {
        (view.gap_ms < self.job().gap_ms, Reverse(view.seats))
    }

    fn view(&self, index: usize) -> &View {
        &self.board.views()[index]
    }
}
