//! Replicas that refused a request of this entry and asked it to back off: the entry sends them nothing for that
//! time.
//!
//! A backoff concerns one entry only, so the entry reports it to nobody but the leader, which then grants such an
//! engine only to prompts of other entries.

use std::cell::RefCell;
use std::time::Duration;

use coord::backoff::Backoffs as BackoffTable;
use coord::name::Name;
use coord::roster::Record;
use platform::headers;
use tokio::sync::Notify;

use super::now;
use super::peer_protocol::FollowerMessage;
use super::state::Gateway;
use crate::metric;

/// Backoff times that replicas asked this entry to keep.
#[derive(Default)]
pub struct Backoffs {
    register: RefCell<BackoffTable>,
    /// Notified when a replica asks for backoff.
    requested: Notify,
}

impl Backoffs {
    /// Returns whether this entry must not send requests to a replica now, because the replica asked for backoff.
    pub fn is_backing_off(&self, replica: &str) -> bool {
        !self.register.borrow().time_left(replica, now()).is_zero()
    }

    /// Discards the backoff of a replica that ended or was restarted.
    pub fn forget(&self, replica: &str) {
        self.register.borrow_mut().remove(replica);
    }

    /// Waits until a replica asks for backoff after this call.
    pub fn wait_for_request(&self) -> impl Future<Output = ()> + '_ {
        self.requested.notified()
    }
}

/// Checks the head of a replica's response for a backoff time, and applies it.
pub fn observe_response(gateway: &Gateway, record: &Record, response: &headers::ResponseHead) {
    let Some(backoff) = response.backoff().filter(|_| response.is_authoritative()) else { return };
    if !gateway.roster.borrow().is_newest_run(record) {
        return;
    }
    metric::record_backoff_request();
    gateway.backoffs.register.borrow_mut().record(&record.id, backoff, now());
    gateway.admission.record_backoff(&record.service, &record.id, backoff);
    gateway.backoffs.requested.notify_waiters();
}

/// Returns the time until this entry may send a request to at least one replica of a service, or `None` if no replica
/// of the service accepts new work.
pub fn next_available(gateway: &Gateway, service: &str) -> Option<Duration> {
    next_available_of(gateway, service, |_| true)
}

/// Returns the same as [`next_available`], but considers only the replicas for which `is_eligible` returns true.
pub fn next_available_of(gateway: &Gateway, service: &str, is_eligible: impl Fn(&Name) -> bool) -> Option<Duration> {
    let roster = gateway.roster.borrow();
    let candidates = roster.usable(service).map(|record| &record.id).filter(|replica| is_eligible(replica));
    gateway.backoffs.register.borrow().earliest_end(candidates, now())
}

/// Returns the current backoffs of engines as reports to a leader that this entry starts to follow.
pub fn sync_reports(gateway: &Gateway) -> Vec<FollowerMessage> {
    let roster = gateway.roster.borrow();
    let register = gateway.backoffs.register.borrow();
    let report = |(engine, backoff): (&Name, Duration)| {
        let service = roster.get(engine)?.record.service.clone();
        Some(FollowerMessage::EngineBackoff { service, engine: engine.clone(), backoff })
    };
    register.active(now()).filter_map(report).collect()
}
