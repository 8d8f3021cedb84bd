//! Detects granted prompts that produce no first event, and the engines at fault.
//!
//! An engine may process a prompt and lose its answer, or accept it and never start, while its health checks succeed.
//! The predicted time to the first event is precise enough to tell such prompts from slow ones: of 2,305 prompts
//! without faults, two took longer than [`first_event_timeout`]. Without this check, callers waited from 2 s up to
//! their deadlines for events that never came. Sending the prompt to other engines after the timeout is still in time
//! for callers that wait 1.5 s or longer for the first event. In the simulation (`tests/planner_load/burst.rs`) with
//! 4 of 60 engines hanging, the share of the longest prompts in time rises from 0.82 to 0.96; with 15 of 100 answers
//! lost, that of middle prompts from 0.79 to 0.83.

use std::time::Duration;

use super::Planner;
use super::job::{Id, Team};
use crate::engine::duration_from_ms;
use crate::name::Name;
use crate::time::Moment;

/// Factor by which the time to a first event must exceed the prediction before the prompt counts as unresponsive.
const TIMEOUT_FACTOR: f64 = 3.0;
/// Time added to the scaled prediction before the prompt counts as unresponsive, in milliseconds. A factor of two and
/// 300 ms resent long prompts needlessly on slow engines, and the share in time fell from 0.896 to 0.877.
const TIMEOUT_MARGIN_MS: f64 = 800.0;

/// Returns the time after the grant from which on a prompt counts as unresponsive.
pub(super) fn first_event_timeout(expected_ms: f64) -> Duration {
    duration_from_ms(expected_ms * TIMEOUT_FACTOR + TIMEOUT_MARGIN_MS)
}

impl Planner {
    /// Records that a granted prompt is unresponsive. The caller submits it again.
    pub fn mark_unresponsive(&mut self, id: Id, now: Moment) {
        let Some(job) = self.granted.get(id) else { return };
        let (team, granted_at) = (job.team.clone(), job.granted_at);
        self.suspect_team(&team, granted_at, now);
    }

    /// Requires trial requests of those engines of an overdue team that have produced no first event since
    /// `granted_at`. The other members have answered prompts meanwhile and do not hold up the team. The blame is
    /// shared equally, so that an engine which belongs to several overdue teams is ejected.
    pub(super) fn suspect_team(&mut self, team: &Team, granted_at: Moment, now: Moment) {
        let suspects_all = !self.policy.suspect_unresponsive_only;
        let is_unresponsive =
            |name: &&Name| self.fleet.get(name).is_some_and(|engine| suspects_all || engine.answered_at < granted_at);
        let unresponsive: Vec<Name> = team.engines().filter(is_unresponsive).cloned().collect();
        let share = 1.0 / unresponsive.len().max(1) as f64;
        for name in &unresponsive {
            let Some(engine) = self.fleet.get_mut(name) else { continue };
            let breaker = engine.breaker.get_or_insert_default();
            if self.policy.breakers && self.policy.suspect_unresponsive_only {
                breaker.record_failure(share, now);
            }
            breaker.require_trial(now);
        }
    }
}
