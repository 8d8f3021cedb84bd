//! Placement of prompts that are suspected of crashing engines: each suspect gets one engine, where a crash costs the
//! least.

use super::Choice;
use crate::planner::snapshot::View;
use crate::quarantine::Work;

impl<'a> Choice<'a> {
    /// Returns whether an otherwise idle engine could hold the prompt.
    pub(super) fn may_be_alone(&self) -> bool {
        let memory = self.planner.fleet.figures().map_or(0, |figures| figures.memory);
        memory as f64 * self.policy().memory_share >= self.job().needs() as f64
    }

    /// Returns the index of the engine that already runs the same work, otherwise of the engine with the fewest
    /// sequences that runs no other suspect. Helpers are not used, because a crash would hold them up too.
    ///
    /// Two suspects on one engine could not be told apart by a crash, and each sequence beside them is one more to
    /// resend: when the victims of a crash were resent without isolation, a service of 18 engines lost 26 engines in
    /// 22 s. Repeats of one suspect share an engine, so that they crash one engine together instead of one each, and
    /// popular work is still served while it is suspected.
    pub(super) fn apart(&self, work: Work) -> Option<usize> {
        let may = |view: &View| view.suspect.is_none_or(|other| other == work) && view.fits(self.job());
        let key = |view: &View| (view.suspect.is_none(), view.seats);
        let by_cost = |a: &View, b: &View| key(a).cmp(&key(b)).then(a.wait_ms.total_cmp(&b.wait_ms));
        let engines = self.engines().filter(|(_, view)| may(view));
        engines.min_by(|(_, a), (_, b)| by_cost(a, b)).map(|(index, _)| index)
    }
}
