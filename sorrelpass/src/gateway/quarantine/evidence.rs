//! Evidence: whether a replica ended under a request, or only a connection.

use std::rc::Rc;
use std::time::Duration;

use coord::name::Name;
use coord::quarantine::{News, Weight, Work};
use coord::roster::Record;
use coord::time::Moment;
use platform::connection::Liveness;

use super::super::attempt;
use super::super::now;
use super::super::state::Gateway;
use super::{Ends, Quarantine, Source, hear};
use crate::{event, metric};

/// Time for which a request whose connection ended waits to learn whether its replica did, before it is sent again: some
/// ways across a region. Behind a cut that is not learned in time, and nothing is known against the request.
const LOOK: Duration = Duration::from_millis(25);
/// Replicas whose ends are remembered before those that are no longer known are forgotten.
const MANY_ENDS: usize = 1_024;

/// A request whose connection to a replica ended.
#[derive(Clone, Debug)]
pub struct Lost {
    /// Its caller's id.
    pub request: Name,
    /// What it asks for.
    pub work: Work,
    /// The replica.
    pub record: Record,
    /// When it was sent there.
    pub sent: Moment,
    /// What the replica's end would say against it.
    pub weight: Weight,
}

impl Lost {
    /// Looks whether the replica ended, and notes it if so. What takes longer than a look goes on beside the request.
    pub async fn look(self, gateway: &Rc<Gateway>) {
        let gateway = gateway.clone();
        let look = tokio::task::spawn_local(async move {
            let liveness = attempt::liveness(&self.record).await;
            event!("probe", request = %self.request, work = %self.work, peer = %self.record.id, liveness = liveness.as_str());
            if liveness == Liveness::Ended {
                self.note(&gateway);
            }
        });
        // Late or not: what it finds is noted.
        let _ = tokio::time::timeout(LOOK, look).await;
    }

    /// Notes that the replica ended under the request. A planned end is no evidence.
    fn note(self, gateway: &Gateway) {
        let known = gateway.roster.borrow().get(&self.record.id).map(|replica| replica.record.leaving);
        if known.unwrap_or(self.record.leaving) {
            return;
        }
        let run = gateway.quarantine.ended(gateway, &self.record, self.sent);
        hear(gateway, vec![News::Ended { work: self.work, run, weight: self.weight }], Source::Own);
    }
}

impl Quarantine {
    /// Notes that the process of a replica ended to which a request was sent at `sent`; returns a name for that run of it.
    /// A replica may start again under its identity, and its record tells that late: what was sent after an end was sent to
    /// the next run.
    fn ended(&self, gateway: &Gateway, record: &Record, sent: Moment) -> Name {
        let replica: Name = match record.born {
            Some(born) => format!("{}@{born}", record.id).into(),
            None => record.id.clone(),
        };
        let mut ends = self.ends.borrow_mut();
        if ends.len() > MANY_ENDS {
            let roster = gateway.roster.borrow();
            ends.retain(|run, _| roster.get(run.split('@').next().unwrap_or(run)).is_some());
        }
        let known = ends.entry(replica.clone()).or_default();
        if known.count == 0 || sent > known.at {
            *known = Ends { count: known.count + 1, at: now() };
            metric::replica_ended();
        }
        if known.count == 1 { replica } else { format!("{replica}/{}", known.count).into() }
    }
}
