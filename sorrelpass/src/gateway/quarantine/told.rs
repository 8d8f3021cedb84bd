//! Wire form of quarantine updates between entries.

use coord::end::{Age, Ends, Span};
use coord::quarantine::News;
use serde::{Deserialize, Serialize};

use super::super::now;

/// A quarantine update, with the age of the crash that it reports. Ages are sent since clocks differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    update: News,
    /// Age of the crash, or `None` if the update reports no crash or the time of the crash is unknown.
    crash_age: Option<Age>,
}

impl Told {
    /// Returns the wire form of an update that is sent now.
    pub(super) fn from_update(update: News, ends: &Ends) -> Self {
        let span = match &update {
            News::Ended { run, .. } => ends.span(run),
            News::Cleared(_) | News::Condemned(_) | News::Lifted(_) => None,
        };
        Self { update, crash_age: span.map(|span| Age::of(&span, now())) }
    }

    /// Returns the update as received now, with the name that the run has in this process.
    pub(super) fn into_update(self, ends: &mut Ends) -> News {
        let now = now();
        let span = self.crash_age.map_or(Span::before(now), |age| age.span(now));
        match self.update {
            News::Ended { work, run, weight } => News::Ended { work, run: ends.heard(&run, span), weight },
            other => other,
        }
    }
}
