//! Quarantine of requests that crash replicas: the register of this entry, and its synchronization with other entries.
//!
//! Evidence is collected when a connection to a replica is lost ([`evidence`]). Every entry keeps a register, and
//! receives the evidence of other entries through the leader. Evidence and verdicts that must survive the loss of all
//! entries are written to the store ([`record`], [`part_record`], [`store`]).

mod evidence;
pub mod part_record;
pub mod parts;
pub mod record;
mod relayed_event;
pub mod store;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use coord::part_quarantine::SharedPart;
use coord::quarantine::{Event, Fingerprint, State, Status};
use coord::termination::Terminations;
use tokio::sync::{Notify, watch};

pub use self::evidence::LostConnection;
use self::record::Record;
pub use self::relayed_event::RelayedEvent;
use super::peer_protocol::{FollowerMessage, LeaderMessage};
use super::state::Gateway;
use super::topic::ReadPosition;
use crate::{event, metric, util, warn_event};

/// Maximum number of events in a message. An event has about 75 bytes, so that a message stays below 32 KB.
const MAX_EVENTS_PER_MESSAGE: usize = 400;

/// Origin of an event or another update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This entry observed the event or read it in the store.
    Own,
    /// The leader sent the event.
    Leader,
    /// A follower sent the event.
    Follower,
}

/// What the quarantine recognizes a request by.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Fingerprint of the whole request, which is the same for every retry.
    pub work: Fingerprint,
    /// Parts of the prompt that other prompts may share.
    pub parts: Rc<[SharedPart]>,
}

/// Quarantine as this entry knows it.
pub struct Quarantine {
    register: RefCell<State>,
    /// Read position in the quarantine topic of the store.
    position: ReadPosition,
    /// Contents of the store, as far as this entry has read or written them.
    stored: RefCell<HashMap<Fingerprint, Record>>,
    /// Terminations of replicas that this entry has observed or received.
    terminations: RefCell<Terminations>,
    /// Notified when a record may have to be written to the store.
    write_needed: Notify,
    /// Prompt parts under which engines terminate.
    parts: parts::Parts,
    /// Counter that increases with each verdict.
    verdicts: watch::Sender<u64>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new() -> Self {
        Self {
            register: RefCell::default(),
            position: ReadPosition::default(),
            stored: RefCell::default(),
            terminations: RefCell::new(Terminations::new(util::incarnation())),
            write_needed: Notify::new(),
            parts: parts::Parts::default(),
            verdicts: watch::Sender::default(),
        }
    }

    /// Returns whether a request is no longer sent, because of its content or one of its shared parts.
    pub fn is_condemned(&self, identity: &Identity) -> bool {
        self.register.borrow().status(identity.work) == Status::Condemned || self.condemned_part(identity).is_some()
    }

    /// Returns the condemned part of a request, or `None` if there is none.
    pub fn condemned_part(&self, identity: &Identity) -> Option<Fingerprint> {
        let mut parts = identity.parts.iter().map(|part| part.fingerprint);
        parts.find(|part| self.parts.is_condemned(*part))
    }

    /// Passes all suspects to the planners and updates the metrics. A verdict also clears other suspects without an
    /// event of its own, so the list is always complete.
    fn update_planners(&self, gateway: &Gateway) {
        let register = self.register.borrow();
        let suspects: Vec<Fingerprint> = register.suspects().map(|(fingerprint, _)| fingerprint).collect();
        metric::set_quarantine_size(suspects.len(), register.condemned().count());
        gateway.admission.set_suspects(suspects);
    }

    /// Returns whether any evidence or verdict exists against a fingerprint.
    fn has_evidence(&self, fingerprint: Fingerprint) -> bool {
        let register = self.register.borrow();
        register.status(fingerprint) != Status::Clear || register.evidence(fingerprint).next().is_some()
    }

    /// Waits until a request is condemned.
    pub async fn wait_until_condemned(&self, identity: &Identity) {
        // Waiting fails only when the sender is dropped, which has the lifetime of `self`.
        let _ = self.verdicts.subscribe().wait_for(|_| self.is_condemned(identity)).await;
    }

    /// Wakes the task that writes to the store. It is called when the entry that has to write may have changed.
    pub fn notify_writer(&self) {
        self.write_needed.notify_one();
    }

    /// Returns the full register for another entry, split into messages.
    pub fn sync_messages(&self) -> Vec<Vec<RelayedEvent>> {
        self.register.borrow().events().chunks(MAX_EVENTS_PER_MESSAGE).map(|events| self.to_wire(events)).collect()
    }

    /// Returns the wire form of events, with ages relative to the current time.
    fn to_wire(&self, events: &[Event]) -> Vec<RelayedEvent> {
        let terminations = self.terminations.borrow();
        events.iter().map(|event| RelayedEvent::from_event(event.clone(), &terminations)).collect()
    }
}

/// Applies events that another entry relays.
pub fn apply_relayed_events(gateway: &Gateway, received: Vec<RelayedEvent>, source: Source) {
    let mut terminations = gateway.quarantine.terminations.borrow_mut();
    let events = received.into_iter().map(|event| event.into_event(&mut terminations)).collect();
    drop(terminations);
    evidence::forget_removed_replicas(gateway);
    apply_events(gateway, events, source);
}

/// Applies events, and relays the ones that change the register.
fn apply_events(gateway: &Gateway, events: Vec<Event>, source: Source) {
    let quarantine = &gateway.quarantine;
    if source == Source::Own && gateway.admission.has_leader() {
        gateway.admission.report_to_leader(FollowerMessage::Quarantine(quarantine.to_wire(&events)));
    }
    let mut changes = Vec::new();
    if events.iter().any(|event| matches!(event, Event::Terminated { .. })) {
        quarantine.register.borrow_mut().set_shared_causes(parts::shared_causes(gateway));
    }
    for event in events {
        changes.extend(quarantine.register.borrow_mut().apply(event));
    }
    if changes.is_empty() {
        return;
    }
    changes.iter().for_each(|event| log_change(gateway, event));
    quarantine.update_planners(gateway);
    if source != Source::Leader {
        gateway.admission.broadcast(&LeaderMessage::Quarantine(quarantine.to_wire(&changes)));
    }
    quarantine.notify_writer();
}

/// Records that a request with the fingerprint completed successfully.
pub fn record_success(gateway: &Gateway, fingerprint: Fingerprint) {
    if gateway.quarantine.has_evidence(fingerprint) {
        apply_events(gateway, vec![Event::Cleared(fingerprint)], Source::Own);
    }
}

/// Logs a change of the register, and announces a verdict to the tasks that wait for one.
fn log_change(gateway: &Gateway, event: &Event) {
    let fingerprint = event.fingerprint();
    let quarantine = &gateway.quarantine;
    match event {
        Event::Terminated { run, weight, .. } => {
            let termination_count = quarantine.register.borrow().evidence(fingerprint).count();
            event!("suspect", work = %fingerprint, run = %run, weight = ?weight, ends = termination_count);
        }
        Event::Cleared(_) => event!("suspect-cleared", work = %fingerprint),
        Event::Condemned(_) => {
            warn_event!("condemned", work = %fingerprint);
            metric::record_condemned();
            quarantine.verdicts.send_modify(|verdicts| *verdicts += 1);
        }
        Event::Lifted(_) => event!("quarantine-lifted", work = %fingerprint),
    }
}
