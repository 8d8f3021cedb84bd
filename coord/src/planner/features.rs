//! Features of the planner that only some deployments need.

/// Features that a deployment's settings and configuration switch on. All are off by default; without them, the planner
/// decides as if they did not exist.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    /// Whether prompts are refused as soon as their predicted start is too late, with the time at which there will
    /// be capacity for them.
    pub forecasts: bool,
    /// Whether engines are reserved for long prompts whose latest start approaches.
    pub reservations: bool,
    /// Whether workspaces get equal shares of the engine time while prompts wait.
    pub fair_shares: bool,
    /// Whether short prompts spread over the engines that long prompts do not need, and predictions of first events
    /// allow for their distance and their error.
    pub spreading: bool,
    /// Whether entries rank the replicas of plain services by an estimate from recent load reports.
    pub plain_balancing: bool,
}

impl Features {
    /// Returns the features that are on in both `self` and `other`.
    pub fn and(self, other: Self) -> Self {
        Self {
            forecasts: self.forecasts && other.forecasts,
            reservations: self.reservations && other.reservations,
            fair_shares: self.fair_shares && other.fair_shares,
            spreading: self.spreading && other.spreading,
            plain_balancing: self.plain_balancing && other.plain_balancing,
        }
    }
}
