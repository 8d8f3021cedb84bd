//! Evidence collection: whether a replica crashed during a request, or only lost the connection.

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

/// Time that a request waits for the probe of its replica before it is sent again: a few one-way latencies within a region.
/// Behind a network partition the probe does not complete in time, and yields no evidence.
const LOOK: Duration = Duration::from_millis(25);
/// Delays before a replica that still listens is probed again. A process that ends closes its connections and its
/// listener one after the other, on a busy VM some milliseconds apart.
const AGAIN: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(40)];
/// Number of replicas with known crashes above which replicas without a record in the store are forgotten.
const MANY_ENDS: usize = 1_024;

/// A request whose connection to a replica was lost.
#[derive(Clone, Debug)]
pub struct Lost {
    /// Request id that the caller sent.
    pub request: Name,
    /// Fingerprint of the request.
    pub work: Work,
    /// Replica that the request was sent to.
    pub record: Record,
    /// Time at which the request was sent.
    pub sent: Moment,
    /// Weight of the evidence against the request if the replica crashed.
    pub weight: Weight,
}

impl Lost {
    /// Probes whether the replica crashed, and records the evidence if it did. The function returns after the first
    /// probe or a timeout, and further probes continue in the background.
    pub async fn look(self, gateway: &Rc<Gateway>) {
        let gateway = gateway.clone();
        let (looked, first) = oneshot::channel();
        tokio::task::spawn_local(async move {
            let mut liveness = self.probe(&gateway).await;
            // If the probe took too long, the receiver has timed out.
            let _ = looked.send(());
            for pause in AGAIN {
                if liveness != Liveness::Listening {
                    return;
                }
                tokio::time::sleep(pause).await;
                liveness = self.probe(&gateway).await;
            }
        });
        // The background task also records a crash that it finds after the timeout.
        let _ = tokio::time::timeout(LOOK, first).await;
    }

    /// Probes the replica once.
    async fn probe(&self, gateway: &Gateway) -> Liveness {
        let liveness = attempt::liveness(&self.record).await;
        event!("probe", request = %self.request, work = %self.work, peer = %self.record.id, liveness = liveness.as_str());
        if liveness == Liveness::Ended {
            self.note(gateway);
        }
        liveness
    }

    /// Records a crash of the replica during the request. A planned shutdown is no evidence.
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

/// Bounds the number of remembered crashes.
pub(super) fn forget_unknown(gateway: &Gateway) {
    let mut ends = gateway.quarantine.ends.borrow_mut();
    if ends.replicas() > MANY_ENDS {
        let roster = gateway.roster.borrow();
        ends.keep(|replica| roster.get(replica).is_some());
    }
}
