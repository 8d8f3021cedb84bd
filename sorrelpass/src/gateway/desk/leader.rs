//! Admission at a leader: reports of the followers, and grants and orders to them.

use std::rc::Rc;

use coord::planner::{Grant, Id, Refusal};
use rand::seq::IteratorRandom;
use tokio::sync::mpsc;

use super::super::link::{Order, Placement, Question, Report};
use super::super::now;
use super::super::quarantine::Source;
use super::{Desk, OWN_ENTRY};

/// Number of followers that read the store for a leader whose reads it does not answer. The store may refuse one of
/// them as well.
const MAX_DELEGATES: usize = 2;

impl Desk {
    /// Adds a follower. Returns its local number.
    pub fn join(&self, orders: mpsc::Sender<Order>) -> u64 {
        let entry = self.next_follower.get();
        self.next_follower.set(entry + 1);
        if self.followers.borrow().is_empty() {
            self.expect_reports();
        }
        self.followers.borrow_mut().insert(entry, orders);
        self.prefill_started.notify_one();
        entry
    }

    /// Notifies the planners that this entry starts to plan for other entries, whose prompts it does not know yet.
    pub(super) fn expect_reports(&self) {
        self.planners.borrow_mut().values_mut().for_each(|planner| planner.begin_settling(now()));
    }

    /// Removes a follower and its prompts.
    pub fn leave(&self, entry: u64) {
        self.followers.borrow_mut().remove(&entry);
        for planner in self.planners.borrow_mut().values_mut() {
            planner.remove_entry(entry, now());
        }
        self.request_planning();
    }

    /// Handles a report of a follower.
    pub fn hear(&self, entry: u64, report: Report) {
        let now = now();
        let id = |number| Id { entry, number };
        match report {
            Report::Submit { number, service, ask } => {
                self.with_planner(&service, |planner| planner.submit(id(number), ask.job(now)));
            }
            Report::Adopt { number, service, ask, team, reading } => {
                self.with_planner(&service, |planner| planner.add_granted(id(number), &ask.job(now), team, reading, now));
            }
            Report::FirstEvent { number, service } => {
                self.with_planner(&service, |planner| planner.record_first_event(id(number), now));
            }
            Report::Silent { number, service } => {
                self.with_planner(&service, |planner| planner.mark_unresponsive(id(number), now))
            }
            Report::End { number, service } => self.with_planner(&service, |planner| planner.finish(id(number), now)),
            Report::Absent(duration) => {
                self.planners.borrow_mut().values_mut().for_each(|planner| planner.postpone_first_events(Some(entry), duration));
            }
            Report::Failed { service, engine } => {
                self.with_planner(&service, |planner| planner.record_failure(entry, &engine, now))
            }
            Report::Rests { service, engine, rest } => {
                self.with_planner(&service, |planner| planner.set_backoff(entry, &engine, rest, now));
            }
            // Reports about the store, quarantine and plain replicas do not affect planning.
            Report::Sync(_) | Report::Update { .. } | Report::Quarantine(_) | Report::Leaving(_) => return,
            Report::Limits(_) | Report::Turn { .. } | Report::Announce(_) | Report::Read { .. } => return,
        }
        self.request_planning();
    }

    /// Distributes an update. An update of this entry goes to its leader if there is one, and otherwise to the
    /// followers. An update of a follower goes to all followers. An update of the leader goes no further.
    pub fn pass_on<T>(&self, update: T, source: Source, report: fn(T) -> Report, order: fn(T) -> Order) {
        match source {
            // If the leader is lost meanwhile, the next leader receives the full state.
            Source::Own if self.has_leader() => drop(self.report(report(update))),
            Source::Own | Source::Follower => self.broadcast(&order(update)),
            Source::Leader => {}
        }
    }

    /// Sends an order to all followers.
    pub fn broadcast(&self, order: &Order) {
        for orders in self.followers.borrow().values() {
            // A follower that reads too slowly loses its connection, and receives the full state when it joins
            // again.
            let _ = orders.try_send(order.clone());
        }
    }

    /// Sends an order to one follower.
    pub fn tell(&self, entry: u64, order: Order) {
        if let Some(orders) = self.followers.borrow().get(&entry) {
            // A follower that reads too slowly loses its connection, and receives the full state when it joins
            // again.
            let _ = orders.try_send(order);
        }
    }

    /// Asks some followers to read the store, which did not answer this entry. If all followers read it once their
    /// state is stale, the store would receive as many simultaneous calls as there are entries.
    pub fn ask_deputies(&self, question: Question) {
        let followers = self.followers.borrow();
        let chosen = followers.values().sample(&mut rand::rng(), MAX_DELEGATES);
        for orders in chosen {
            // A follower that reads too slowly loses its connection, and receives the full state when it joins
            // again.
            let _ = orders.try_send(Order::Read(question));
        }
    }

    /// Returns whether an entry follows this one.
    pub fn leads(&self, entry: u64) -> bool {
        self.followers.borrow().contains_key(&entry)
    }

    /// Returns the number of entries that this one plans for, including itself.
    pub fn entries(&self) -> usize {
        self.followers.borrow().len() + 1
    }

    /// Returns whether this entry has neither a leader nor followers.
    pub fn is_alone(&self) -> bool {
        !self.has_leader() && self.followers.borrow().is_empty()
    }

    /// Sends a refusal to the entry that owns the prompt.
    pub(super) fn deliver_refusal(&self, refusal: Refusal) {
        let Refusal { id, retry_after } = refusal;
        if id.entry == OWN_ENTRY {
            self.refused(id.number, retry_after);
            return;
        }
        let followers = self.followers.borrow();
        let Some(orders) = followers.get(&id.entry) else { return };
        // A follower that reads too slowly loses its connection, and looks for another leader.
        let _ = orders.try_send(Order::Refuse { number: id.number, retry_after });
    }

    /// Sends a grant to the entry that owns the prompt.
    pub(super) fn deliver_grant(self: &Rc<Self>, grant: Grant) {
        let Grant { id, team, unresponsive_after } = grant;
        let placement = Placement { team, silent_after: unresponsive_after };
        if id.entry == OWN_ENTRY {
            self.start_prompt(id.number, placement, false);
            return;
        }
        let followers = self.followers.borrow();
        let Some(orders) = followers.get(&id.entry) else { return };
        // A follower that reads too slowly loses its connection, and with it its granted prompts.
        let _ = orders.try_send(Order::Grant { number: id.number, placement });
    }
}
