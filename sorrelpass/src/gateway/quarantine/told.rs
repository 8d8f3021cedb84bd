//! News of work under which replicas end as entries pass them on.

use coord::end::{Age, Ends, Span};
use coord::quarantine::News;
use serde::{Deserialize, Serialize};

use super::super::now;

/// News, with the age of the end that they are of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    news: News,
    /// None where the news are of no end, or when it came about is not known.
    ended: Option<Age>,
}

impl Told {
    /// The form in which news are sent now.
    pub(super) fn of(news: News, ends: &Ends) -> Self {
        let span = match &news {
            News::Ended { run, .. } => ends.span(run),
            News::Cleared(_) | News::Condemned(_) | News::Lifted(_) => None,
        };
        Self { news, ended: span.map(|span| Age::of(&span, now())) }
    }

    /// The news that were received now, with the name that the run has here.
    pub(super) fn news(self, ends: &mut Ends) -> News {
        let now = now();
        let span = self.ended.map_or(Span::before(now), |age| age.span(now));
        match self.news {
            News::Ended { work, run, weight } => News::Ended { work, run: ends.heard(&run, span), weight },
            other => other,
        }
    }
}
