//! Wire form of quarantine events between entries.

use coord::quarantine::Event;
use coord::termination::{Interval, IntervalAge, Terminations};
use serde::{Deserialize, Serialize};

use super::super::now;

/// A quarantine event, with the age of the termination that it reports. Ages are sent since clocks differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedEvent {
    event: Event,
    /// Age of the termination, or `None` if the event reports no termination or its time is unknown.
    termination_age: Option<IntervalAge>,
}

impl RelayedEvent {
    /// Returns the wire form of an event that is sent now.
    pub(super) fn from_event(event: Event, terminations: &Terminations) -> Self {
        let interval = match &event {
            Event::Terminated { run, .. } => terminations.interval(run),
            Event::Cleared(_) | Event::Condemned(_) | Event::Lifted(_) => None,
        };
        Self { event, termination_age: interval.map(|interval| IntervalAge::of(&interval, now())) }
    }

    /// Returns the event as received now, with the name that the run has in this process.
    pub(super) fn into_event(self, terminations: &mut Terminations) -> Event {
        let now = now();
        let interval = self.termination_age.map_or(Interval::before(now), |age| age.interval(now));
        match self.event {
            Event::Terminated { fingerprint, run, weight } => {
                Event::Terminated { fingerprint, run: terminations.record_reported(&run, interval), weight }
            }
            other => other,
        }
    }
}
