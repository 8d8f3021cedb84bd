//! Engines that have turned slow, as they say themselves.
//!
//! An engine that overheats, or shares its machine, works on with everything taking twice to four times as long. First
//! events that are late show that something is wrong, but neither for how long nor with which engine of a team. Engines
//! tell their pace when asked, and those that are late are asked: what that costs does not grow with the fleet. The slow
//! are left out of teams, which all wait for their slowest, and get short prompts only where these are still in time.
//! With 7 of 60 engines 3.4 times as slow, 0.97 in place of 0.94 of what short prompts are worth is earned and 0.87 in
//! place of 0.86 of the longest; with 15 of 60 at half of their speed 0.97 in place of 0.83, and 0.81 in place of 0.78
//! (`tests/planner_load/turnover.rs`, 16 to 40 seeds).

use std::time::Duration;

use super::Planner;
use crate::name::Name;
use crate::time::Moment;

/// A part that takes so many times as long as it should …
pub(super) const LATE: f64 = 1.3;
/// … and so much longer, in milliseconds, is late: the ways through the network take some 5 ms, and a pass that was under
/// way up to 60 ms.
pub(super) const LATE_BY_MS: f64 = 50.0;
/// Time between two questions to the same engine: what it says is some 200 ms old, and engines were seen to be slow for 5
/// to 7 s.
const PERIOD: Duration = Duration::from_millis(500);
/// Largest pace that is believed: an engine beyond it is as good as gone.
const MOST_PACE: f64 = 100.0;
/// A pace below this is that of a sound engine, in times as long as it should take.
const SOUND: f64 = 1.05;

impl Planner {
    /// Engines that should be asked for their pace now: those that are late, and those that were slow.
    pub fn to_ask(&mut self, now: Moment) -> Vec<Name> {
        if !self.policy.ask_pace {
            return Vec::new();
        }
        let mut due = Vec::new();
        for engine in self.fleet.engines_mut() {
            let in_doubt = engine.pace() > 1.0 || engine.is_late(now);
            if in_doubt && now.since(engine.asked_at) >= PERIOD {
                engine.asked_at = now;
                due.push(engine.name.clone());
            }
        }
        due
    }

    /// Notes how many times as long as it should everything takes on an engine; returns whether that has changed.
    pub fn set_pace(&mut self, engine: &Name, pace: f64) -> bool {
        let Some(engine) = self.fleet.get_mut(engine) else { return false };
        let pace = if pace < SOUND || pace.is_nan() { 1.0 } else { pace.min(MOST_PACE) };
        let changed = engine.pace() != pace;
        if changed {
            engine.set_pace(pace);
        }
        changed
    }
}
