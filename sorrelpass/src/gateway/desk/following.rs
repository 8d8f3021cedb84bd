//! The desk of an entry for which another plans: what goes there, and what comes back.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::super::link::{Ask, Placement, Report};
use super::super::now;
use super::{Desk, Unplaced, own};

/// The entry that plans for this one.
pub(super) struct Leader {
    address: SocketAddr,
    reports: mpsc::Sender<Report>,
}

impl Desk {
    /// The entry that plans granted one of our prompts.
    pub fn granted(self: &Rc<Self>, number: u64, placement: Placement) {
        if self.start(number, placement, true) {
            return;
        }
        // It was withdrawn, or granted here, while the grant was on its way.
        crate::event!("grant-unwanted", number);
    }

    /// One of our prompts gets no engines.
    pub fn refused(&self, number: u64, retry_after: Duration) {
        let Some(waiter) = self.waiting.borrow_mut().remove(&number) else { return };
        // Its caller may have gone meanwhile.
        let _ = waiter.answer.send(Err(Unplaced::Refused(retry_after)));
    }

    /// Another entry plans from now on: it gets to know what runs and what waits here.
    pub fn link_up(&self, address: SocketAddr, reports: mpsc::Sender<Report>) {
        *self.leader.borrow_mut() = Some(Leader { address, reports });
        let now = now();
        for (number, running) in &*self.running.borrow() {
            self.report(Report::Adopt {
                number: *number,
                service: running.service.clone(),
                ask: Ask::of(&running.job, now),
                team: running.team.clone(),
                reading: running.reading,
            });
        }
        for (number, waiter) in &*self.waiting.borrow() {
            self.planner(&waiter.service, |planner| planner.end(own(*number), now));
            let ask = Ask::of(&waiter.job, now);
            self.report(Report::Submit { number: *number, service: waiter.service.clone(), ask });
        }
    }

    /// Nobody else plans for this entry any more.
    pub fn link_down(&self) {
        *self.leader.borrow_mut() = None;
        self.unsettle();
        for (number, waiter) in &*self.waiting.borrow() {
            self.planner(&waiter.service, |planner| planner.submit(own(*number), waiter.job));
        }
        self.wake();
    }

    /// The entry that plans for this one, if another does.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.leader.borrow().as_ref().map(|leader| leader.address)
    }

    /// Whether another entry plans for this one.
    pub fn has_leader(&self) -> bool {
        self.leader.borrow().is_some()
    }

    /// Tells the entry that plans; says whether there is one.
    pub fn report(&self, report: Report) -> bool {
        let mut leader = self.leader.borrow_mut();
        let Some(known) = &*leader else { return false };
        if known.reports.try_send(report).is_err() {
            // Too far behind: dropping the sender ends the link, which hands over what waits.
            *leader = None;
            return false;
        }
        true
    }
}
