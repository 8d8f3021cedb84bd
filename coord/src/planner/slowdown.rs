//! Tracks engines that are slowed down.
//!
//! An engine that overheats or shares its machine keeps working at a half to a quarter of its speed. Late first
//! events show that something is wrong, but neither for how long nor which engine of a team is affected. Engines
//! report their slowdown factor when probed, and only late engines are probed, so that the cost of probing does not
//! grow with the fleet. Slow engines are left out of teams, because a team waits for its slowest member, and get
//! short prompts only if these are still in time. In the simulation (`tests/planner_load/turnover.rs`, 16 to 40
//! seeds) with 7 of 60 engines 3.4 times as slow, the earned share of the value rises from 0.94 to 0.97 for short
//! prompts and from 0.86 to 0.87 for the longest; with 15 of 60 at half speed, from 0.83 to 0.97 and from 0.78 to
//! 0.81.

use std::time::Duration;

use super::Planner;
use crate::name::Name;
use crate::time::Moment;

/// Factor by which a part must exceed its expected time to be late.
pub(super) const LATE_FACTOR: f64 = 1.3;
/// Time by which a late part must additionally exceed its expected time, in milliseconds. Network hops take some 5
/// ms, and waiting for the current pass takes up to 60 ms.
pub(super) const LATE_MARGIN_MS: f64 = 50.0;
/// Interval between two probes of the same engine. A report is some 200 ms old when it arrives, and slowdowns last 5
/// to 7 s.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Largest slowdown factor that is accepted; a slower engine is practically unavailable.
const MAX_SLOWDOWN: f64 = 100.0;
/// Slowdown factor below which an engine counts as running at nominal speed.
const NOMINAL_SLOWDOWN_LIMIT: f64 = 1.05;

impl Planner {
    /// Returns the engines that should be probed for their slowdown now: those that are late and those that were
    /// slow.
    pub fn engines_to_probe(&mut self, now: Moment) -> Vec<Name> {
        if !self.policy.probe_slowdown {
            return Vec::new();
        }
        let mut engines = Vec::new();
        for engine in self.fleet.engines_mut() {
            let needs_probe = engine.slowdown() > 1.0 || engine.is_late(now);
            if needs_probe && now.since(engine.probed_at) >= PROBE_INTERVAL {
                engine.probed_at = now;
                engines.push(engine.name.clone());
            }
        }
        engines
    }

    /// Sets the slowdown factor of an engine; returns whether it changed.
    pub fn set_slowdown(&mut self, engine: &Name, slowdown: f64) -> bool {
        let Some(engine) = self.fleet.get_mut(engine) else { return false };
        let slowdown =
            if slowdown < NOMINAL_SLOWDOWN_LIMIT || slowdown.is_nan() { 1.0 } else { slowdown.min(MAX_SLOWDOWN) };
        let is_changed = engine.slowdown() != slowdown;
        if is_changed {
            engine.set_slowdown(slowdown);
        }
        is_changed
    }
}
