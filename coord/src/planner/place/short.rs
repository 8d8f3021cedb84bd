//! Placement of short prompts: one engine each, packed onto few engines.

use std::cmp::Ordering;

use super::{Choice, Reach};
use crate::engine::millis;
use crate::pick::rendezvous;
use crate::planner::policy::TOKENS_A_MS;
use crate::planner::snapshot::View;

impl<'a> Choice<'a> {
    /// Returns the index of an engine for a short prompt. Engines on trial come first, because only short prompts try
    /// engines. Otherwise the prompt is packed onto an engine that already serves short prompts, as long as all gap
    /// limits and first events are kept.
    pub(super) fn short(&self) -> Option<usize> {
        match self.reach {
            Reach::All if !self.policy().packing => self.tried().or_else(|| self.soonest()),
            Reach::All => self.tried().or_else(|| self.packed()).or_else(|| self.opened()).or_else(|| self.soonest()),
            Reach::Shared => self.shared(),
        }
    }

    /// Returns the index of an ejected engine where all rules together leave few engines. With four engines, one
    /// recently failed, one unreachable for the entry and two with exhausted rate limits exclude all, and prompts
    /// were refused although an engine was idle.
    pub(super) fn left_out(&self) -> Option<usize> {
        if !self.policy().few_left || !self.board.leaves_few(self.barred, self.policy()) {
            return None;
        }
        let choosable = self.choosable.with_failing();
        Choice { tries_unreached: true, choosable, ..*self }.short()
    }

    /// Returns the engine with the shortest wait among those that serve similar answers and keep their gap limits.
    fn shared(&self) -> Option<usize> {
        let may = |view: &View| self.fits(view) && self.is_like(view) && self.has_room(view);
        self.first_free(self.engines().filter(|(_, view)| may(view)))
    }

    /// Returns an engine that is on trial. Slow engines are not tried, because the cause of their late answers is
    /// known.
    fn tried(&self) -> Option<usize> {
        let mut engines = self.engines();
        let may = |view: &View| view.on_trial && !view.is_slow() && self.fits(view) && self.in_time(view);
        let found = engines.find(|(_, view)| may(view));
        found.map(|(index, _)| index)
    }

    /// Returns the engine with the most sequences among those that serve similar answers and prefill the prompt in
    /// time.
    fn packed(&self) -> Option<usize> {
        let may = |view: &View| self.fits(view) && self.is_like(view) && self.in_time(view);
        let engines = self.engines().filter(|(_, view)| may(view));
        engines.max_by_key(|(_, view)| view.seats).map(|(index, _)| index)
    }

    /// Returns an engine that serves no similar answers yet, unless the remaining ones are reserved for long prompts.
    fn opened(&self) -> Option<usize> {
        let like = self.engines().filter(|(_, view)| self.is_like(view)).count();
        let all = self.engines().count();
        if like as f64 >= all as f64 * (1.0 - self.policy().long_share) {
            return None;
        }
        let is_fast_enough = |view: &View| self.board.is_fast_enough(view, self.policy());
        let may = |view: &View| self.fits(view) && !self.is_like(view) && is_fast_enough(view);
        let engines = self.engines().filter(|(_, view)| may(view));
        engines.min_by(|a, b| self.by_opening_cost(*a, *b)).map(|(index, _)| index)
    }

    /// Returns the engine with the shortest wait among those that keep their gap limits; the first event may be late.
    fn soonest(&self) -> Option<usize> {
        self.first_free(self.engines().filter(|(_, view)| self.fits(view) && self.has_room(view)))
    }

    /// Returns the engine with the shortest wait.
    fn first_free(&self, engines: impl Iterator<Item = (usize, &'a View)>) -> Option<usize> {
        engines.min_by(|(_, a), (_, b)| a.wait_ms.total_cmp(&b.wait_ms)).map(|(index, _)| index)
    }

    fn fits(&self, view: &View) -> bool {
        view.fits(self.job())
    }

    /// Returns whether the engine already decodes an answer whose gap limit is at least as strict.
    fn is_like(&self, view: &View) -> bool {
        view.gap_ms <= self.job().gap_ms
    }

    /// Returns whether the engine can prefill the prompt without exceeding the gap limit of a sequence.
    fn has_room(&self, view: &View) -> bool {
        view.room_ms >= self.prompt().read_ms * view.pace
    }

    /// Returns whether the engine also produces the first event in time.
    fn in_time(&self, view: &View) -> bool {
        let first_event_ms = view.wait_ms + self.prompt().read_ms * view.pace + view.pass_ms;
        self.has_room(view) && self.now + millis(first_event_ms) <= self.job().aim
    }

    /// Compares two engines by the cost of starting to serve short prompts there.
    fn by_opening_cost(&self, (a, of_a): (usize, &View), (b, of_b): (usize, &View)) -> Ordering {
        let extra_ms = |view: &View| self.prompt().read_ms * (view.pace - 1.0);
        let cost = |view: &View| view.wait_ms + view.context as f64 / TOKENS_A_MS + extra_ms(view);
        let salted = |index| rendezvous(self.planner.salt, self.name(index));
        cost(of_a).total_cmp(&cost(of_b)).then_with(|| salted(a).cmp(&salted(b)))
    }
}
