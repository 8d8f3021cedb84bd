//! Share of a common limit for the entries of one leader.

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
pub struct Group {
    /// Maximum group size since `period_start`.
    largest: usize,
    period_start: Moment,
    /// Maximum group size in the previous period.
    previous_largest: usize,
}

impl Group {
    /// Records the current number of entries in the group.
    pub fn note(&mut self, entries: usize, now: Moment) {
        let age = now.since(self.period_start);
        if age >= SIZE_RETENTION {
            self.previous_largest = if age < SIZE_RETENTION * 2 { self.largest } else { 0 };
            self.largest = 0;
            self.period_start = now;
        }
        self.largest = self.largest.max(entries);
    }

    /// Returns the share of a leader of `entries` entries, including itself, when at least `known_entries` entries
    /// exist.
    pub fn share(&self, entries: usize, known_entries: usize, now: Moment) -> f64 {
        let age = now.since(self.period_start);
        let recent_largest = match age {
            age if age >= SIZE_RETENTION * 2 => 0,
            age if age >= SIZE_RETENTION => self.largest,
            _ => self.largest.max(self.previous_largest),
        };
        let total = recent_largest.max(known_entries).max(entries).max(1);
        entries as f64 / total as f64
    }
}
