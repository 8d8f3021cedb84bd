//! Admission at a leader: reports of the followers, and grants and other messages to them.

use std::rc::Rc;

use coord::planner::{Grant, Id, Refusal};
use rand::seq::IteratorRandom;
use tokio::sync::mpsc;

use super::super::now;
use super::super::peer_protocol::{FollowerMessage, LeaderMessage, Placement, SyncRequest};
use super::super::quarantine::Source;
use super::{OWN_ENTRY, Queue};
use crate::metric;

/// Number of followers that read the store for a leader whose reads it does not answer. The store may refuse one of
/// them as well.
const MAX_DELEGATES: usize = 2;

impl Queue {
    /// Adds a follower. Returns its local number.
    pub fn add_follower(&self, sender: mpsc::Sender<LeaderMessage>) -> u64 {
        let entry = self.next_follower.get();
        self.next_follower.set(entry + 1);
        if self.followers.borrow().is_empty() {
            self.expect_reports();
        }
        self.followers.borrow_mut().insert(entry, sender);
        self.prefill_started.notify_one();
        entry
    }

    /// Notifies the planners that this entry starts to plan for other entries, whose prompts it does not know yet.
    pub(super) fn expect_reports(&self) {
        self.planners.borrow_mut().values_mut().for_each(|planner| planner.begin_settling(now()));
    }

    /// Removes a follower and its prompts.
    pub fn remove_follower(&self, entry: u64) {
        self.followers.borrow_mut().remove(&entry);
        self.follower_locations.borrow_mut().remove(&entry);
        for planner in self.planners.borrow_mut().values_mut() {
            planner.remove_entry(entry, now());
        }
        self.request_planning();
    }

    /// Handles a report of a follower.
    pub fn handle_report(&self, entry: u64, report: FollowerMessage) {
        let now = now();
        let id = |number| Id { entry, number };
        match report {
            FollowerMessage::Submit { number, service, spec } => {
                self.with_planner(&service, |planner| planner.submit(id(number), spec.restore_job(now)));
            }
            FollowerMessage::Adopt { number, service, spec, team, is_prefilling } => {
                self.with_planner(&service, |planner| {
                    planner.add_granted(id(number), &spec.restore_job(now), team, is_prefilling, now)
                });
            }
            FollowerMessage::Promise { service, promise } => {
                self.with_planner(&service, |planner| planner.add_promise(promise.restore(now), now));
            }
            FollowerMessage::FirstEvent { number, service } => {
                self.with_planner(&service, |planner| planner.record_first_event(id(number), now));
            }
            FollowerMessage::Unresponsive { number, service } => {
                self.with_planner(&service, |planner| planner.mark_unresponsive(id(number), now))
            }
            FollowerMessage::End { number, service } => {
                self.with_planner(&service, |planner| planner.finish(id(number), now))
            }
            FollowerMessage::Suspended(duration) => {
                self.planners
                    .borrow_mut()
                    .values_mut()
                    .for_each(|planner| planner.postpone_first_events(Some(entry), duration));
            }
            FollowerMessage::Failed { service, engine } => {
                self.with_planner(&service, |planner| planner.record_failure(entry, &engine, now))
            }
            FollowerMessage::EngineBackoff { service, engine, backoff } => {
                self.with_planner(&service, |planner| planner.set_backoff(entry, &engine, backoff, now));
            }
            FollowerMessage::Location(failure_domain) => {
                let mut planners = self.planners.borrow_mut();
                planners.values_mut().for_each(|planner| planner.set_entry_location(entry, failure_domain.clone()));
                self.follower_locations.borrow_mut().insert(entry, failure_domain);
            }
            // Reports about the store, quarantine and plain replicas do not affect planning.
            FollowerMessage::SyncRequest(_)
            | FollowerMessage::SyncResponse { .. }
            | FollowerMessage::Quarantine(_)
            | FollowerMessage::Draining(_) => return,
            FollowerMessage::Limits(_)
            | FollowerMessage::PermitRequest { .. }
            | FollowerMessage::Announce(_)
            | FollowerMessage::DelegatedRead { .. } => return,
        }
        self.request_planning();
    }

    /// Distributes an update. An update of this entry goes to its leader if there is one, and otherwise to the
    /// followers. An update of a follower goes to all followers. An update of the leader goes no further.
    pub fn propagate<T>(
        &self,
        update: T,
        source: Source,
        report: fn(T) -> FollowerMessage,
        leader_message: fn(T) -> LeaderMessage,
    ) {
        match source {
            // If the leader is lost meanwhile, the next leader receives the full state.
            Source::Own if self.has_leader() => drop(self.report_to_leader(report(update))),
            Source::Own | Source::Follower => self.broadcast(&leader_message(update)),
            Source::Leader => {}
        }
    }

    /// Sends a message to all followers.
    pub fn broadcast(&self, message: &LeaderMessage) {
        for sender in self.followers.borrow().values() {
            // A follower that reads too slowly loses its connection, and receives the full state when it joins
            // again.
            let _ = sender.try_send(message.clone());
        }
    }

    /// Sends a message to one follower.
    pub fn send_to(&self, entry: u64, message: LeaderMessage) {
        if let Some(sender) = self.followers.borrow().get(&entry) {
            // A follower that reads too slowly loses its connection, and receives the full state when it joins
            // again.
            let _ = sender.try_send(message);
        }
    }

    /// Asks some followers to read the store, which did not answer this entry. If all followers read it once their
    /// state is stale, the store would receive as many simultaneous calls as there are entries.
    pub fn delegate_read(&self, request: &SyncRequest) {
        let followers = self.followers.borrow();
        let chosen = followers.values().sample(&mut rand::rng(), MAX_DELEGATES);
        for sender in chosen {
            // A follower that reads too slowly loses its connection, and receives the full state when it joins
            // again.
            let _ = sender.try_send(LeaderMessage::DelegatedRead(request.clone()));
        }
    }

    /// Returns whether an entry follows this one.
    pub fn has_follower(&self, entry: u64) -> bool {
        self.followers.borrow().contains_key(&entry)
    }

    /// Returns the number of entries that this one plans for, including itself.
    pub fn group_size(&self) -> usize {
        self.followers.borrow().len() + 1
    }

    /// Returns whether this entry has neither a leader nor followers.
    pub fn is_standalone(&self) -> bool {
        !self.has_leader() && self.followers.borrow().is_empty()
    }

    /// Sends a refusal to the entry that owns the prompt.
    pub(super) fn deliver_refusal(&self, refusal: Refusal) {
        let Refusal { id, rejection } = refusal;
        metric::record_rejection(rejection.reason.as_str(), rejection.is_return);
        if id.entry == OWN_ENTRY {
            self.refuse_prompt(id.number, rejection);
            return;
        }
        let followers = self.followers.borrow();
        let Some(sender) = followers.get(&id.entry) else { return };
        // A follower that reads too slowly loses its connection, and looks for another leader.
        let _ = sender.try_send(LeaderMessage::Refuse { number: id.number, rejection });
    }

    /// Sends a grant to the entry that owns the prompt.
    pub(super) fn deliver_grant(self: &Rc<Self>, grant: Grant) {
        let Grant { id, team, unresponsive_after } = grant;
        let placement = Placement { team, unresponsive_after };
        if id.entry == OWN_ENTRY {
            self.start_prompt(id.number, placement, false);
            return;
        }
        let followers = self.followers.borrow();
        let Some(sender) = followers.get(&id.entry) else { return };
        // A follower that reads too slowly loses its connection, and with it its granted prompts.
        let _ = sender.try_send(LeaderMessage::Grant { number: id.number, placement });
    }
}
