//! Engines that are excluded for one entry but not for others.

/// Indexes in the fleet of the excluded engines.
#[derive(Clone, Debug, Default)]
pub(in crate::planner) struct ExcludedEngines {
    /// Engines that the entry probably cannot reach; they are tried if no other engine remains.
    unreachable: Vec<usize>,
    /// Engines that asked the entry to back off.
    in_backoff: Vec<usize>,
}

impl ExcludedEngines {
    pub(super) fn new(unreachable: Vec<usize>, in_backoff: Vec<usize>) -> Self {
        Self { unreachable, in_backoff }
    }

    pub(in crate::planner) fn is_empty(&self) -> bool {
        self.unreachable.is_empty() && self.in_backoff.is_empty()
    }

    /// Returns whether any engine asked the entry to back off.
    pub(in crate::planner) fn has_backoffs(&self) -> bool {
        !self.in_backoff.is_empty()
    }

    /// Returns whether the engine at `index` asked the entry to back off.
    pub(super) fn has_backoff(&self, index: usize) -> bool {
        self.in_backoff.contains(&index)
    }

    /// Returns whether the entry probably cannot reach the engine at `index`.
    pub(super) fn is_unreachable(&self, index: usize) -> bool {
        self.unreachable.contains(&index)
    }

    /// Returns whether the engine at `index` is excluded for either reason.
    pub(in crate::planner) fn contains(&self, index: usize) -> bool {
        self.has_backoff(index) || self.is_unreachable(index)
    }
}
