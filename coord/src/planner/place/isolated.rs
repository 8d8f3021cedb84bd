//! Placement of prompts that are suspected of crashing engines: each one is isolated on the engine where a crash costs
//! the least.

use super::PlacementContext;
use crate::planner::snapshot::EngineState;
use crate::quarantine::Fingerprint;

impl<'a> PlacementContext<'a> {
    /// Returns whether an otherwise idle engine could hold the prompt.
    pub(super) fn can_be_isolated(&self) -> bool {
        let memory = self.planner.fleet.nominal_profile().map_or(0, |profile| profile.memory);
        memory as f64 * self.policy().memory_share >= self.job().memory_tokens() as f64
    }

    /// Returns the index of the engine that already runs the same fingerprint, otherwise of the engine with the
    /// fewest sequences that runs no other suspected request. Helpers are not used, because a crash would hold them
    /// up too.
    ///
    /// Two suspects on one engine could not be told apart by a crash, and each sequence beside them is one more to
    /// resend: when the victims of a crash were resent without isolation, a service of 18 engines lost 26 engines in
    /// 22 s. Repeats of one suspect share an engine, so that they crash one engine together instead of one each, and
    /// a request that many callers send is still served while it is suspected.
    pub(super) fn select_isolated(&self, fingerprint: Fingerprint) -> Option<usize> {
        let is_suitable =
            |state: &EngineState| state.suspect.is_none_or(|suspect| suspect == fingerprint) && state.fits(self.job());
        let cost = |state: &EngineState| (state.suspect.is_none(), state.sequence_count);
        let by_cost = |a: &EngineState, b: &EngineState| cost(a).cmp(&cost(b)).then(a.wait_ms.total_cmp(&b.wait_ms));
        let engines = self.eligible_engines().filter(|(_, state)| is_suitable(state));
        engines.min_by(|(_, a), (_, b)| by_cost(a, b)).map(|(index, _)| index)
    }
}
