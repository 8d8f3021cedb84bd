//! Replicas that refused a request of this entry and asked it to back off: the entry sends them nothing for that
//! time.
//!
//! A backoff concerns one entry only, so the entry reports it to nobody but the leader, which then grants such an
//! engine only to prompts of other entries.

use std::cell::RefCell;
use std::time::Duration;

use coord::name::Name;
use coord::backoff::Backoffs;
use coord::roster::Record;
use platform::dialect;
use tokio::sync::Notify;

use super::link::Report;
use super::now;
use super::state::Gateway;
use crate::metric;

/// Backoff times that replicas asked this entry to keep.
#[derive(Default)]
pub struct Rests {
    register: RefCell<Backoffs>,
    /// Notified when a replica asks for backoff.
    asked: Notify,
}

impl Rests {
    /// Returns whether this entry must not send requests to a replica now, because the replica asked for backoff.
    pub fn is_resting(&self, replica: &str) -> bool {
        !self.register.borrow().time_left(replica, now()).is_zero()
    }

    /// Discards the backoff of a replica that ended or was restarted.
    pub fn forget(&self, replica: &str) {
        self.register.borrow_mut().remove(replica);
    }

    /// Waits until a replica asks for backoff after this call.
    pub fn asked(&self) -> impl Future<Output = ()> + '_ {
        self.asked.notified()
    }
}

/// Checks the head of a replica's response for a backoff time, and applies it.
pub fn said(gateway: &Gateway, record: &Record, response: &dialect::Answer) {
    let Some(backoff) = response.rest().filter(|_| response.speaks_for_itself()) else { return };
    if !gateway.roster.borrow().is_newest_run(record) {
        return;
    }
    metric::rest_asked();
    gateway.rests.register.borrow_mut().record(&record.id, backoff, now());
    gateway.desk.rests(&record.service, &record.id, backoff);
    gateway.rests.asked.notify_waiters();
}

/// Returns the time until this entry may send a request to at least one replica of a service, or `None` if no replica
/// of the service accepts new work.
pub fn soonest(gateway: &Gateway, service: &str) -> Option<Duration> {
    soonest_of(gateway, service, |_| true)
}

/// Returns the same as [`soonest`], but considers only the replicas for which `is_eligible` returns true.
pub fn soonest_of(gateway: &Gateway, service: &str, is_eligible: impl Fn(&Name) -> bool) -> Option<Duration> {
    let roster = gateway.roster.borrow();
    let candidates = roster.usable(service).map(|record| &record.id).filter(|replica| is_eligible(replica));
    gateway.rests.register.borrow().earliest_end(candidates, now())
}

/// Returns the current backoffs of engines as reports to a leader that this entry starts to follow.
pub fn sync_reports(gateway: &Gateway) -> Vec<Report> {
    let roster = gateway.roster.borrow();
    let register = gateway.rests.register.borrow();
    let report = |(engine, backoff): (&Name, Duration)| {
        let service = roster.get(engine)?.record.service.clone();
        Some(Report::Rests { service, engine: engine.clone(), rest: backoff })
    };
    register.active(now()).filter_map(report).collect()
}
