//! Prompts that were granted and from which nothing comes, and which of their engines is to blame.
//!
//! An engine may run a prompt and lose its answer, or take it and never begin; its health and its report are good all the
//! while. What the planner expects of a first event is exact enough to tell silence from slowness: of 2,305 prompts on a
//! calm day two took longer than [`after`]. Those of which nothing ever came were waited for until their callers left, for
//! 2 s and up to their deadlines. A second send when the time is over, on other engines, is still in time for a prompt
//! whose caller waits 1.5 s or longer for its first event: with 4 of 60 engines hanging 0.96 of the longest are in time in
//! place of 0.82, and with 15 answers of 100 lost 0.83 of the middle ones in place of 0.79 (`tests/planner_load/burst.rs`).

use std::time::Duration;

use super::Planner;
use super::job::{Id, Team};
use crate::engine::millis;
use crate::name::Name;
use crate::time::Moment;

/// A first event that takes so many times as long as expected …
const FACTOR: f64 = 3.0;
/// … and so much longer, in milliseconds, will probably never come. Twice as long and 300 ms was tried: on days with
/// slow engines long prompts were then sent a second time in vain, and fewer were in time (0.877 in place of 0.896).
const MARGIN_MS: f64 = 800.0;

/// Time from its grant after which a prompt is silent whose first event is expected `expected_ms` after it.
pub(super) fn after(expected_ms: f64) -> Duration {
    millis(expected_ms * FACTOR + MARGIN_MS)
}

impl Planner {
    /// Notes that a granted prompt is silent; it will be submitted anew.
    pub fn silent(&mut self, id: Id, now: Moment) {
        let Some(job) = self.granted.get(id) else { return };
        let (team, granted_at) = (job.team.clone(), job.granted_at);
        self.suspect(&team, granted_at, now);
    }

    /// Notes that a team took too long that was granted at `granted_at`: a trial shall tell of each of its engines from
    /// which nothing has come since. Those that answered others meanwhile are not what holds it up. Each of the rest is
    /// to blame in part; one that is in several such teams is left out.
    pub(super) fn suspect(&mut self, team: &Team, granted_at: Moment, now: Moment) {
        let all = !self.policy.mute_only;
        let is_mute = |name: &&Name| self.fleet.get(name).is_some_and(|engine| all || engine.answered_at < granted_at);
        let mute: Vec<Name> = team.engines().filter(is_mute).cloned().collect();
        let share = 1.0 / mute.len().max(1) as f64;
        for name in &mute {
            let Some(engine) = self.fleet.get_mut(name) else { continue };
            let breaker = engine.breaker.get_or_insert_default();
            if self.policy.breakers && self.policy.mute_only {
                breaker.failed(share, now);
            }
            breaker.suspect(now);
        }
    }
}
