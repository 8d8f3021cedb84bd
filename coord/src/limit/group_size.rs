//! Share of a rate limit that the entries of one leader may use.

use std::time::Duration;

use crate::time::Moment;

/// Time for which the largest group size counts: longer than temporary partitions last, and short enough that the
/// remaining entries soon use the full limit when others are removed for good.
const SIZE_RETENTION: Duration = Duration::from_secs(30);

/// Number of entries that recently formed one group.
///
/// A leader of `k` out of `n` entries uses `k / n` of a common limit. During a partition, the shares of several
/// leaders add up to one without communication between them. When a leader is lost, each of its entries uses its own
/// share until it has found the next leader.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupSize {
    /// Maximum group size since `period_start`.
    max_size: usize,
    period_start: Moment,
    /// Maximum group size in the previous period.
    previous_max_size: usize,
}

impl GroupSize {
    /// Records the current number of entries in the group.
    pub fn record_size(&mut self, entries: usize, now: Moment) {
        let age = now.since(self.period_start);
        if age >= SIZE_RETENTION {
            self.previous_max_size = if age < SIZE_RETENTION * 2 { self.max_size } else { 0 };
            self.max_size = 0;
            self.period_start = now;
        }
        self.max_size = self.max_size.max(entries);
    }

    /// Returns the share of a leader of `entries` entries, including itself, when at least `known_entries` entries
    /// exist.
    pub fn share(&self, entries: usize, known_entries: usize, now: Moment) -> f64 {
        let age = now.since(self.period_start);
        let recent_max_size = match age {
            age if age >= SIZE_RETENTION * 2 => 0,
            age if age >= SIZE_RETENTION => self.max_size,
            _ => self.max_size.max(self.previous_max_size),
        };
        let total = recent_max_size.max(known_entries).max(entries).max(1);
        entries as f64 / total as f64
    }
}
