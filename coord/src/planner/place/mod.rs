//! Selects engines for one prompt.

mod apart;
mod excluded;
mod long;
mod short;
mod unplaceable;

use std::borrow::Cow;

pub(super) use self::excluded::Barred;
pub(super) use self::unplaceable::Hopeless;
use super::Planner;
use super::job::{Job, Team};
use super::policy::Policy;
use super::snapshot::{Board, Choosable, Open, View};
use super::wait_queue::{Prompt, Turn};
use crate::name::Name;
use crate::time::Moment;

/// Engines that a prompt may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reach {
    /// Any of them.
    All,
    /// Only engines that already decode answers to short prompts. Prompts that wait for a team do not wait for these.
    Shared,
}

/// Prompt to be placed, with all that the selection of its engines depends on.
#[derive(Clone, Copy)]
struct Choice<'a> {
    planner: &'a Planner,
    board: &'a Board,
    turn: &'a Turn,
    reach: Reach,
    /// Engines that are excluded for its entry.
    barred: &'a Barred,
    /// Whether engines that its entry probably cannot reach are tried anyway.
    tries_unreached: bool,
    /// Rules that exclude engines for all entries.
    choosable: Choosable,
    now: Moment,
}

impl<'a> Choice<'a> {
    fn policy(&self) -> &'a Policy {
        &self.planner.policy
    }

    fn prompt(&self) -> &'a Prompt {
        &self.turn.prompt
    }

    fn job(&self) -> &'a Job {
        &self.turn.prompt.job
    }

    fn name(&self, index: usize) -> &'a Name {
        &self.planner.fleet.engines()[index].name
    }

    /// Returns the eligible engines with their indexes in the fleet.
    fn engines(&self) -> impl Iterator<Item = (usize, &'a View)> {
        let views = self.board.views().iter().enumerate();
        views.filter(move |(index, view)| self.choosable.admits(view) && !self.is_barred(*index))
    }

    fn is_barred(&self, index: usize) -> bool {
        self.barred.rests(index) || (!self.tries_unreached && self.barred.is_unreached(index))
    }

    /// Returns the engines that can prefill a part of a long prompt now.
    fn open(&self) -> Cow<'a, Open> {
        if self.barred.is_empty() {
            return Cow::Borrowed(self.board.open(self.policy()));
        }
        Cow::Owned(self.board.open_among(self.engines().map(|(index, _)| index), self.policy()))
    }
}

impl Planner {
    /// Returns the engines for a prompt; `None` if the prompt must wait.
    pub(super) fn place(&self, turn: &Turn, reach: Reach, barred: &Barred, now: Moment) -> Option<Team> {
        let board = &self.board;
        let choosable = board.choosable(&self.policy);
        let mut choice = Choice { planner: self, board, turn, reach, barred, tries_unreached: false, choosable, now };
        if choice.engines().next().is_none() {
            // Trying an engine that the entry may fail to reach is better than using none.
            choice.tries_unreached = true;
        }
        if let Some(work) = self.suspected_work(&turn.prompt.job).filter(|_| choice.may_be_alone()) {
            choice.choosable = choosable.for_suspect();
            return choice.apart(work).map(|index| Team::alone(choice.name(index)));
        }
        if turn.prompt.short {
            return choice.short().or_else(|| choice.left_out()).map(|index| Team::alone(choice.name(index)));
        }
        if now < self.settled_at || reach == Reach::Shared {
            return None;
        }
        choice.long()
    }

    /// Returns the engines that are excluded for an entry now.
    pub(super) fn barred(&self, entry: u64, now: Moment) -> Barred {
        let position = |name: &Name| self.fleet.position(name);
        let unreached = self.evidence.unreached(entry, now).filter_map(position).collect();
        let rests = self.rests.get(&entry);
        let resting = rests.into_iter().flat_map(|rests| rests.resting(now));
        Barred::new(unreached, resting.filter_map(|(name, _)| position(name)).collect())
    }
}
