//! Jobs that have their engines, and when their first events are overdue.

use super::policy::{SLOW, SLOW_BY_MS};
use coord::engine::millis;
use coord::planner::Team;
use coord::time::Moment;

/// A job that has its engines.
#[derive(Debug)]
pub struct Granted {
    /// Its engines.
    pub team: Team,
    /// When it got them.
    pub at: Moment,
    /// Time from the grant to the first event as the model has it, in milliseconds.
    pub expected_ms: f64,
    /// Whether its prompt is still being read, as far as is known, and not yet overdue.
    pub watched: bool,
}

impl Granted {
    /// Whether the first event is so late that an engine must be to blame.
    pub fn is_overdue(&self, now: Moment) -> bool {
        now.since(self.at) > millis(self.expected_ms * SLOW + SLOW_BY_MS)
    }
}
