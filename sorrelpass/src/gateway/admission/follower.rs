//! Admission at an entry that follows a leader: reports to the leader, and its grants and refusals.
//!
//! A leader is the entry that plans the prompts of all entries.

use std::net::SocketAddr;
use std::rc::Rc;

use coord::name::Name;
use coord::planner::{Promise, Rejection};
use coord::time::Moment;
use tokio::sync::mpsc;

use super::super::now;
use super::super::peer_protocol::{FollowerMessage, Placement, PromiseSpec, PromptSpec};
use super::{PlacementError, Queue, own_id};

/// Connection to the leader.
pub(super) struct LeaderChannel {
    address: SocketAddr,
    reports: mpsc::Sender<FollowerMessage>,
}

impl Queue {
    /// Handles a grant by the leader for a prompt of this entry.
    pub fn handle_grant(self: &Rc<Self>, number: u64, placement: Placement) {
        if self.start_prompt(number, placement, true) {
            return;
        }
        // The prompt was withdrawn, or granted by this entry, while the leader's grant was in transit.
        crate::event!("grant-discarded", number);
    }

    /// Refuses a waiting prompt of this entry. A promise in the rejection is kept, so that this entry can honour it
    /// itself or tell the next leader of it.
    pub fn refuse_prompt(&self, number: u64, rejection: Rejection) {
        let Some(waiter) = self.waiting.borrow_mut().remove(&number) else { return };
        self.with_planner(&waiter.service, |planner| planner.record_rejection(&waiter.job, &rejection, now()));
        // The caller may have disconnected.
        let _ = waiter.sender.send(Err(PlacementError::Refused(rejection)));
    }

    /// Starts to follow a leader, and reports all running and waiting prompts of this entry to it, and the promises
    /// that its callers were given.
    pub fn attach_leader(&self, address: SocketAddr, reports: mpsc::Sender<FollowerMessage>) {
        *self.leader.borrow_mut() = Some(LeaderChannel { address, reports });
        self.report_to_leader(FollowerMessage::Location(self.failure_domain.clone()));
        let now = now();
        for (number, running) in &*self.running.borrow() {
            self.report_to_leader(FollowerMessage::Adopt {
                number: *number,
                service: running.service.clone(),
                spec: PromptSpec::from_job(&running.job, now),
                team: running.team.clone(),
                is_prefilling: running.is_prefilling,
            });
        }
        for (number, waiter) in &*self.waiting.borrow() {
            self.with_planner(&waiter.service, |planner| planner.finish(own_id(*number), now));
        }
        // Promises are reported before waiting prompts, so that the leader recognizes the prompts of returned callers.
        for (service, promise) in self.promises(now) {
            self.report_to_leader(FollowerMessage::Promise {
                service,
                promise: PromiseSpec::from_promise(&promise, now),
            });
        }
        for (number, waiter) in &*self.waiting.borrow() {
            let spec = PromptSpec::from_job(&waiter.job, now);
            self.report_to_leader(FollowerMessage::Submit { number: *number, service: waiter.service.clone(), spec });
        }
    }

    /// Returns the promises that the planners of this entry know, with their services.
    fn promises(&self, now: Moment) -> Vec<(Name, Promise)> {
        let mut planners = self.planners.borrow_mut();
        let by_service = planners.iter_mut().map(|(service, planner)| (service, planner.promises(now)));
        by_service
            .flat_map(|(service, promises)| promises.into_iter().map(|promise| (service.clone(), promise)))
            .collect()
    }

    /// Stops following a leader, so that this entry plans its waiting prompts itself.
    pub fn detach_leader(&self) {
        *self.leader.borrow_mut() = None;
        self.expect_reports();
        for (number, waiter) in &*self.waiting.borrow() {
            self.with_planner(&waiter.service, |planner| planner.submit(own_id(*number), waiter.job));
        }
        self.request_planning();
    }

    /// Returns the address of the leader, or `None` if this entry plans for itself.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.leader.borrow().as_ref().map(|leader| leader.address)
    }

    /// Returns whether this entry follows a leader.
    pub fn has_leader(&self) -> bool {
        self.leader.borrow().is_some()
    }

    /// Sends a report to the leader. Returns whether a leader accepted it.
    pub fn report_to_leader(&self, report: FollowerMessage) -> bool {
        let mut leader = self.leader.borrow_mut();
        let Some(channel) = &*leader else { return false };
        if channel.reports.try_send(report).is_err() {
            // The leader reads too slowly. Dropping the sender closes the connection, after which this entry plans the
            // waiting prompts itself.
            *leader = None;
            return false;
        }
        true
    }
}
