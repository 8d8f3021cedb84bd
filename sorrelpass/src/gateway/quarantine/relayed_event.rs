//! Wire form of quarantine events between entries.

use coord::end::{Age, Ends, Span};
use coord::quarantine::News;
use serde::{Deserialize, Serialize};

use super::super::now;

/// A quarantine event, with the age of the termination that it reports. Ages are sent since clocks differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedEvent {
    event: News,
    /// Age of the termination, or `None` if the event reports no termination or its time is unknown.
    termination_age: Option<Age>,
}

impl RelayedEvent {
    /// Returns the wire form of an event that is sent now.
    pub(super) fn from_event(event: News, terminations: &Ends) -> Self {
        let span = match &event {
            News::Ended { run, .. } => terminations.span(run),
            News::Cleared(_) | News::Condemned(_) | News::Lifted(_) => None,
        };
        Self { event, termination_age: span.map(|span| Age::of(&span, now())) }
    }

    /// Returns the event as received now, with the name that the run has in this process.
    pub(super) fn into_event(self, terminations: &mut Ends) -> News {
        let now = now();
        let span = self.termination_age.map_or(Span::before(now), |age| age.span(now));
        match self.event {
            News::Ended { work, run, weight } => News::Ended { work, run: terminations.heard(&run, span), weight },
            other => other,
        }
    }
}
