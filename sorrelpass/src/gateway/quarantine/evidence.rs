//! Evidence: whether a replica ended under a request, or only a connection.

use std::rc::Rc;
use std::time::Duration;

use coord::end::Span;
use coord::name::Name;
use coord::quarantine::{News, Weight, Work};
use coord::roster::Record;
use coord::time::Moment;
use platform::connection::Liveness;
use tokio::sync::oneshot;

use super::super::attempt;
use super::super::now;
use super::super::state::Gateway;
use super::{Source, hear};
use crate::{event, metric};

/// Time for which a request whose connection ended waits to learn whether its replica did, before it is sent again: some
/// ways across a region. Behind a cut that is not learned in time, and nothing is known against the request.
const LOOK: Duration = Duration::from_millis(25);
/// Pauses before a replica that still listens is looked at again. A process that ends closes its connections and its
/// listener one after the other, on a busy VM some milliseconds apart.
const AGAIN: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(40)];
/// Replicas whose ends are remembered before those that are no longer in the store are forgotten.
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
    /// Looks whether the replica ended, and notes it if so. What takes longer than a look, and further looks, go on beside
    /// the request.
    pub async fn look(self, gateway: &Rc<Gateway>) {
        let gateway = gateway.clone();
        let (looked, first) = oneshot::channel();
        tokio::task::spawn_local(async move {
            let mut liveness = self.probe(&gateway).await;
            // Nobody waits any more if that took long.
            let _ = looked.send(());
            for pause in AGAIN {
                if liveness != Liveness::Listening {
                    return;
                }
                tokio::time::sleep(pause).await;
                liveness = self.probe(&gateway).await;
            }
        });
        // Late or not: what it finds is noted.
        let _ = tokio::time::timeout(LOOK, first).await;
    }

    /// Looks once.
    async fn probe(&self, gateway: &Gateway) -> Liveness {
        let liveness = attempt::liveness(&self.record).await;
        event!("probe", request = %self.request, work = %self.work, peer = %self.record.id, liveness = liveness.as_str());
        if liveness == Liveness::Ended {
            self.note(gateway);
        }
        liveness
    }

    /// Notes that the replica ended under the request. A planned end is no evidence.
    fn note(&self, gateway: &Gateway) {
        let known = gateway.roster.borrow().get(&self.record.id).map(|replica| replica.record.leaving);
        if known.unwrap_or(self.record.leaving) {
            return;
        }
        let span = Span { after: self.sent, by: now() };
        let (run, is_new) = gateway.quarantine.ends.borrow_mut().saw(&self.record.id, self.record.born, span);
        if is_new {
            metric::replica_ended();
        }
        forget_unknown(gateway);
        hear(gateway, vec![News::Ended { work: self.work, run, weight: self.weight }], Source::Own);
    }
}

/// Keeps the ends that are remembered bounded.
pub(super) fn forget_unknown(gateway: &Gateway) {
    let mut ends = gateway.quarantine.ends.borrow_mut();
    if ends.replicas() > MANY_ENDS {
        let roster = gateway.roster.borrow();
        ends.keep(|replica| roster.get(replica).is_some());
    }
}
