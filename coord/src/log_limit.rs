//! Bounds how many log lines of one kind are written, and counts those that are left out.

use std::time::Duration;

use crate::time::Moment;

/// Length of the period in which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Counts the lines of a period.
#[derive(Clone, Debug)]
pub struct LogLimit {
    lines_per_period: u32,
    period_start: Moment,
    written: u32,
    left_out: u64,
}

impl LogLimit {
    /// Creates a limit of `lines_per_period` lines a second.
    pub fn new(lines_per_period: u32) -> Self {
        Self { lines_per_period, period_start: Moment::ZERO, written: 0, left_out: 0 }
    }

    /// Records an occurrence. Returns `None` if no line is to be written about it, and otherwise the number of occurrences
    /// that were left out since the last line.
    pub fn record(&mut self, now: Moment) -> Option<u64> {
        if now.since(self.period_start) >= PERIOD {
            self.period_start = now;
            self.written = 0;
        }
        if self.written >= self.lines_per_period {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
