//! Wire form of quarantine events between entries.

use coord::quarantine::{Event, Progress};
use coord::termination::{Interval, IntervalAge, Terminations};
use serde::{Deserialize, Serialize};

use super::super::now;

/// A quarantine event, with the age of the loss that it reports. Ages are sent since clocks differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RelayedEvent {
    event: Event,
    /// Age of the loss, or `None` if the event reports none or its time is unknown.
    loss_age: Option<IntervalAge>,
}

/// Quarantine events that entries send each other.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Message {
    events: Vec<RelayedEvent>,
    /// Requests that ended at the sender since its last message.
    pub(super) progress: Progress,
    /// Prompts that had their first event at the sender since its last message.
    pub(super) answers: u64,
}

impl Message {
    /// Returns the message that sends these events now.
    pub(super) fn new(events: &[Event], terminations: &Terminations) -> Self {
        let relay = |event: &Event| {
            let interval = match event {
                Event::Lost(loss) => terminations.interval(&loss.run),
                _ => None,
            };
            let loss_age = interval.map(|interval| IntervalAge::of(&interval, now()));
            RelayedEvent { event: event.clone(), loss_age }
        };
        Self { events: events.iter().map(relay).collect(), ..Self::default() }
    }

    /// Returns the events as received now, with the names that their runs have in this process. An event about a run that
    /// is not known here is left out.
    pub(super) fn into_events(self, terminations: &mut Terminations) -> Vec<Event> {
        self.events.into_iter().filter_map(|relayed| into_local(relayed, terminations)).collect()
    }
}

fn into_local(relayed: RelayedEvent, terminations: &mut Terminations) -> Option<Event> {
    let now = now();
    Some(match relayed.event {
        Event::Lost(mut loss) => {
            let interval = relayed.loss_age.map_or(Interval::before(now), |age| age.interval(now));
            loss.run = terminations.record_reported(&loss.run, interval);
            Event::Lost(loss)
        }
        Event::Refuted(run) => Event::Refuted(terminations.local_name(&run)?),
        other => other,
    })
}
