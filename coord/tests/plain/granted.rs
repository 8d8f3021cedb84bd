//! Granted jobs, and the time at which their first events are overdue.

use super::policy::{SLOW_FACTOR, SLOW_MARGIN_MS};
use coord::engine::duration_from_ms;
use coord::planner::Team;
use coord::time::Moment;

#[derive(Debug)]
pub struct GrantedJob {
    pub team: Team,
    pub granted_at: Moment,
    /// Predicted time from the grant to the first event, in milliseconds.
    pub expected_ms: f64,
    /// Whether the job awaits its first event and is not yet overdue.
    pub awaits_first_event: bool,
}

impl GrantedJob {
    /// Returns whether the first event is so late that an engine must be at fault.
    pub fn is_overdue(&self, now: Moment) -> bool {
        now.since(self.granted_at) > duration_from_ms(self.expected_ms * SLOW_FACTOR + SLOW_MARGIN_MS)
    }
}
