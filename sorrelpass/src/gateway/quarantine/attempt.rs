//! One request at one replica: watches for signs of life, and for an end without a response.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use coord::contact::ContactId;
use coord::name::Name;
use coord::quarantine::Weight;
use coord::roster::Record;
use coord::time::Moment;

use super::super::now;
use super::super::state::Gateway;
use super::Identity;
use super::evidence::Evidence;

/// Time without a byte from a replica after which a request that is given up may have been lost with it. Until then it is
/// more likely that its caller or another rule gave it up.
const MIN_SILENCE: Duration = Duration::from_millis(500);

/// Progress of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Sent,
    Opened,
    Answered,
}

/// A request that was sent to a replica. Dropping it tells that the request was given up.
pub struct Attempt {
    gateway: Rc<Gateway>,
    request: Name,
    identity: Identity,
    record: Record,
    /// Whether the replica is an engine, which may have the request in its queue.
    is_engine: bool,
    contact: ContactId,
    sent_at: Moment,
    stage: Cell<Stage>,
    is_over: bool,
}

impl Attempt {
    /// Records that a request is sent now.
    pub fn begin(gateway: &Rc<Gateway>, request: &Name, identity: &Identity, record: &Record, is_engine: bool) -> Self {
        let sent_at = now();
        let contact = gateway.quarantine.contacts.borrow_mut().begin(&record.id, sent_at);
        Self {
            gateway: gateway.clone(),
            request: request.clone(),
            identity: identity.clone(),
            record: record.clone(),
            is_engine,
            contact,
            sent_at,
            stage: Cell::new(Stage::Sent),
            is_over: false,
        }
    }

    /// Returns the time at which the request was sent.
    pub fn sent_at(&self) -> Moment {
        self.sent_at
    }

    /// Records that the replica opened the response.
    pub fn record_head(&self) {
        self.stage.set(Stage::Opened);
        self.record_data();
    }

    /// Records that the replica sent a complete event.
    pub fn record_event(&self) {
        self.stage.set(Stage::Answered);
    }

    /// Records that the replica sent a part of the response.
    pub fn record_data(&self) {
        self.gateway.quarantine.contacts.borrow_mut().hear(&self.record.id, self.contact, now());
    }

    /// Ends the attempt without a loss: the response is complete, or it was given up for a reason of this entry.
    pub fn close(mut self) {
        self.end();
    }

    /// Ends the attempt after the replica broke it off. Waits briefly for the probe of whether the replica terminated.
    pub async fn report_lost(mut self) {
        let interval = self.gateway.quarantine.contacts.borrow_mut().lose(&self.record.id, self.contact, now());
        self.end();
        if let Some(interval) = interval {
            self.evidence().probe_lost(self.gateway.clone(), interval).await;
        }
    }

    fn end(&mut self) {
        self.is_over = true;
        self.gateway.quarantine.contacts.borrow_mut().end(&self.record.id, self.contact, now());
    }

    fn evidence(&self) -> Evidence {
        let (request, identity, record) = (self.request.clone(), self.identity.clone(), self.record.clone());
        Evidence { request, identity, record, weight: self.weight(), is_engine: self.is_engine }
    }

    /// Returns the strength of the evidence. An engine opens its response when it starts the prompt, so before that the
    /// prompt may only have been queued. A plain replica may run a request for a long time before it responds.
    fn weight(&self) -> Weight {
        match self.stage.get() {
            _ if !self.is_engine => Weight::Strong,
            Stage::Opened => Weight::Strong,
            Stage::Sent | Stage::Answered => Weight::Faint,
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let silence = self.gateway.quarantine.contacts.borrow().silence(&self.record.id, self.contact, now());
        if silence.is_some_and(|silence| silence >= MIN_SILENCE) {
            let (evidence, sent_at) = (self.evidence(), self.sent_at);
            tokio::task::spawn_local(evidence.probe_silent(self.gateway.clone(), sent_at));
        }
        self.end();
    }
}
