//! Retry budget: retries are a bounded share of first tries.

/// Tokens that one retry costs; a first try earns `share` of it.
const RETRY_COST: f64 = 1.0;

/// A budget that first tries fill and retries drain.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    cap: f64,
    level: f64,
}

impl Budget {
    /// A budget of `share` retries per first try, saving at most `cap` retries.
    pub fn new(share: f64, cap: f64) -> Self {
        Self { share, cap, level: cap }
    }

    /// Notes a first try.
    pub fn earn(&mut self) {
        self.level = (self.level + self.share * RETRY_COST).min(self.cap);
    }

    /// Takes one retry out, or says that the budget is spent.
    pub fn spend(&mut self) -> bool {
        if self.level < RETRY_COST {
            return false;
        }
        self.level -= RETRY_COST;
        let overdrawn = self.level < 0.0;
        crate::invariant!(!overdrawn, "retry budget is never overdrawn");
        true
    }
}
