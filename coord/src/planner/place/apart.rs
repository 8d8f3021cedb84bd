//! Prompts that are suspected of ending engines: one engine each, where an end costs the least.

use super::Choice;
use crate::planner::board::View;
use crate::quarantine::Work;

impl<'a> Choice<'a> {
    /// Whether one engine could hold the prompt if nothing else ran there.
    pub(super) fn may_be_alone(&self) -> bool {
        let memory = self.planner.fleet.figures().map_or(0, |figures| figures.memory);
        memory as f64 * self.policy().memory_share >= self.job().needs() as f64
    }

    /// The engine that has the same work already; else that with the fewest answers among those without another suspect. No
    /// helpers, whom its end would hold up too. Returns the engine's place in the fleet.
    ///
    /// Two suspects on one engine would tell nothing of each other, and each answer beside them is one more to be sent
    /// again: with victims resent like any other prompt, a service of 18 engines lost 26 in 22 s. Repeats of one suspect end
    /// one engine together instead of one each, and work that many ask for at once is still served while it is suspected.
    pub(super) fn apart(&self, work: Work) -> Option<usize> {
        let may = |view: &View| view.suspect.is_none_or(|other| other == work) && view.fits(self.job());
        let key = |view: &View| (view.suspect.is_none(), view.seats);
        let by_cost = |a: &View, b: &View| key(a).cmp(&key(b)).then(a.wait_ms.total_cmp(&b.wait_ms));
        let engines = self.engines().filter(|(_, view)| may(view));
        engines.min_by(|(_, a), (_, b)| by_cost(a, b)).map(|(index, _)| index)
    }
}
