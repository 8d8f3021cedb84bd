//! Engines that are excluded for one entry but not for others.

/// Indexes in the fleet of the excluded engines.
#[derive(Clone, Debug, Default)]
pub(in crate::planner) struct Barred {
    /// Engines that the entry probably cannot reach; they are tried if no other engine remains.
    unreached: Vec<usize>,
    /// Engines that asked the entry to back off.
    resting: Vec<usize>,
}

impl Barred {
    pub(super) fn new(unreached: Vec<usize>, resting: Vec<usize>) -> Self {
        Self { unreached, resting }
    }

    /// Returns whether no engine is excluded.
    pub(in crate::planner) fn is_empty(&self) -> bool {
        self.unreached.is_empty() && self.resting.is_empty()
    }

    /// Returns whether any engine asked the entry to back off.
    pub(in crate::planner) fn has_resting(&self) -> bool {
        !self.resting.is_empty()
    }

    /// Returns whether the engine at `index` asked the entry to back off.
    pub(super) fn rests(&self, index: usize) -> bool {
        self.resting.contains(&index)
    }

    /// Returns whether the entry probably cannot reach the engine at `index`.
    pub(super) fn is_unreached(&self, index: usize) -> bool {
        self.unreached.contains(&index)
    }

    /// Returns whether the engine at `index` is excluded for either reason.
    pub(in crate::planner) fn contains(&self, index: usize) -> bool {
        self.rests(index) || self.is_unreached(index)
    }
}
