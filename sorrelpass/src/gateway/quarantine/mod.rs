//! Quarantine of requests and prompt parts that crash replicas: the state of this entry, and its synchronization with
//! other entries.
//!
//! Evidence is collected when a request ends without a response ([`attempt`], [`evidence`]). The entry that the others
//! follow adds up the evidence of all, decides, and tells the others what counts. Evidence and verdicts that must survive
//! the loss of all entries are written to the store ([`record`], [`store`]).

mod attempt;
mod evidence;
mod message;
mod probes;
pub mod record;
pub mod store;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use coord::contact::Contacts;
use coord::progress::Progress;
use coord::quarantine::{Cause, Event, Fingerprint, Proof, SharedPart, State, Status};
use coord::termination::Terminations;
use coord::time::Moment;
use tokio::sync::{Notify, watch};

pub use self::attempt::Attempt;
pub use self::message::Message;
use self::probes::Probes;
use self::record::Record;
use super::now;
use super::peer_protocol::{FollowerMessage, LeaderMessage};
use super::state::Gateway;
use super::topic::ReadPosition;
use crate::{event, metric, util, warn_event};

/// Maximum number of events in a message. An event has about 75 bytes, so that a message stays below 32 KB.
const MAX_EVENTS_PER_MESSAGE: usize = 400;
/// Shortest time between two reviews of the evidence. While many requests are lost, each review has more of them.
const REVIEW_INTERVAL: Duration = Duration::from_millis(30);
/// Presumed losses of different requests that all entries together report in a second. While more are lost, each says
/// little; the others only count. The entry that decides needs some 50 µs for each.
const MAX_REPORTS_PER_SECOND: usize = 640;

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

impl Identity {
    /// Returns everything that a replica may terminate under with the request.
    fn causes(&self) -> impl Iterator<Item = Cause> {
        std::iter::once(Cause::Request(self.work)).chain(self.parts.iter().map(|part| Cause::Part(part.fingerprint)))
    }
}

/// Quarantine as this entry knows it.
pub struct Quarantine {
    state: RefCell<State>,
    /// Signs of life of the replicas that this entry sends requests to.
    contacts: RefCell<Contacts>,
    /// Read position in the quarantine topic of the store.
    position: ReadPosition,
    /// Progress of reading that topic.
    progress: RefCell<Progress>,
    /// Contents of the store, as far as this entry has read or written them.
    stored: RefCell<HashMap<Cause, Record>>,
    /// Terminations of replicas that this entry has observed or received, also presumed ones.
    terminations: RefCell<Terminations>,
    probes: Probes,
    /// Notified when a record may have to be written to the store.
    write_needed: Notify,
    /// Notified when evidence has to be reviewed later.
    review_needed: Notify,
    reviewed_at: Cell<Moment>,
    /// Start of the second in which presumed losses are counted, and their number.
    reports: Cell<(Moment, usize)>,
    /// Prompts with a first event that the leader has been told of.
    reported_answers: Cell<u64>,
    /// Counter that increases with each verdict.
    verdicts: watch::Sender<u64>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new() -> Self {
        Self {
            state: RefCell::default(),
            contacts: RefCell::default(),
            position: ReadPosition::default(),
            progress: RefCell::default(),
            stored: RefCell::default(),
            terminations: RefCell::new(Terminations::new(util::incarnation())),
            probes: Probes::default(),
            write_needed: Notify::new(),
            review_needed: Notify::new(),
            reviewed_at: Cell::new(Moment::ZERO),
            reports: Cell::default(),
            reported_answers: Cell::new(0),
            verdicts: watch::Sender::default(),
        }
    }

    /// Returns why a request is no longer sent: its content or one of its shared parts. Returns `None` if it is sent.
    pub fn condemned_cause(&self, identity: &Identity) -> Option<Cause> {
        let state = self.state.borrow();
        identity.causes().find(|cause| state.is_condemned(*cause))
    }

    /// Waits until a request is condemned.
    pub async fn wait_until_condemned(&self, identity: &Identity) {
        // Waiting fails only when the sender is dropped, which has the lifetime of `self`.
        let _ = self.verdicts.subscribe().wait_for(|_| self.condemned_cause(identity).is_some()).await;
    }

    /// Wakes the task that writes to the store. It is called when the entry that has to write may have changed.
    pub fn notify_writer(&self) {
        self.write_needed.notify_one();
    }

    /// Returns the full state for another entry, split into messages.
    pub fn sync_messages(&self) -> Vec<Message> {
        let terminations = self.terminations.borrow();
        let events = self.state.borrow().events();
        events.chunks(MAX_EVENTS_PER_MESSAGE).map(|events| Message::new(events, &terminations)).collect()
    }

    /// Passes all suspects to the planners and updates the metrics. A verdict also clears other suspects without an
    /// event of its own, so the list is always complete.
    fn update_planners(&self, gateway: &Gateway) {
        let state = self.state.borrow();
        let suspects: Vec<Fingerprint> = state.suspects().map(|(fingerprint, _)| fingerprint).collect();
        let condemned_parts = state.condemned().filter(|cause| matches!(cause, Cause::Part(_))).count();
        metric::set_quarantine_size(suspects.len(), state.condemned().count() - condemned_parts);
        metric::set_part_quarantine_size(state.suspected_parts().count(), condemned_parts);
        gateway.admission.set_suspects(suspects);
    }

    /// Returns whether a presumed loss of the request is reported on its own, by one of `entry_count` entries.
    fn may_report_loss(&self, identity: &Identity, entry_count: usize) -> bool {
        if self.state.borrow().losses(Cause::Request(identity.work)).next().is_some() {
            return true;
        }
        let (since, count) = self.reports.get();
        let is_new_second = now().since(since) >= Duration::from_secs(1);
        let (since, count) = if is_new_second { (now(), 0) } else { (since, count) };
        self.reports.set((since, count + 1));
        count < (MAX_REPORTS_PER_SECOND / entry_count).max(1)
    }
}

/// Applies a message of another entry.
pub fn apply_message(gateway: &Gateway, message: Message, source: Source) {
    let quarantine = &gateway.quarantine;
    quarantine.state.borrow_mut().add_progress(&message.progress, message.answers, now());
    let events = message.into_events(&mut quarantine.terminations.borrow_mut());
    evidence::forget_removed_replicas(gateway);
    apply_events(gateway, events, source);
}

/// Applies events, and passes on what follows from them.
fn apply_events(gateway: &Gateway, events: Vec<Event>, source: Source) {
    let quarantine = &gateway.quarantine;
    let mut changes = Vec::new();
    for event in &events {
        let interval = match event {
            Event::Lost(loss) => quarantine.terminations.borrow().interval(&loss.run),
            _ => None,
        };
        let at = interval.map_or(now(), |interval| interval.not_after);
        changes.extend(quarantine.state.borrow_mut().apply(event.clone(), at, now()));
    }
    let losses: Vec<Event> = events.iter().filter(|event| matches!(event, Event::Lost(_))).cloned().collect();
    if source == Source::Leader {
        // The leader sends the evidence that counts, which this entry needs if the leader is lost.
        announce(gateway, &losses);
    }
    announce(gateway, &changes);
    let answers = changes.iter().filter(|change| !events.contains(change)).cloned();
    match source {
        // The leader adds up the losses that all entries observed.
        Source::Own => {
            send_to_leader(gateway, &losses.iter().cloned().chain(changes.iter().cloned()).collect::<Vec<_>>())
        }
        // The leader knows the events that it has sent, and needs only the answers to them.
        Source::Leader => send_to_leader(gateway, &answers.collect::<Vec<_>>()),
        Source::Follower => {}
    }
    if source != Source::Leader {
        broadcast(gateway, &changes);
    }
    if losses.iter().any(|loss| is_decisive(gateway, loss)) {
        run_review(gateway);
    } else if !events.is_empty() {
        review(gateway);
    }
}

/// Returns whether a loss may decide on its request, so that its review must not wait: the request is sent again at once.
fn is_decisive(gateway: &Gateway, event: &Event) -> bool {
    let Event::Lost(loss) = event else { return false };
    let state = gateway.quarantine.state.borrow();
    loss.proof == Proof::Proven && state.losses(Cause::Request(loss.request)).nth(1).is_some()
}

/// Records that a request completed on a replica.
pub fn record_completion(gateway: &Gateway, identity: &Identity) {
    let changes = gateway.quarantine.state.borrow_mut().record_completion(identity.work, &identity.parts, now());
    pass_on(gateway, &changes);
}

/// Records that an engine sent the first event of a prompt.
pub fn record_answer(gateway: &Gateway, parts: &[SharedPart]) {
    let changes = gateway.quarantine.state.borrow_mut().record_answer(parts, now());
    pass_on(gateway, &changes);
}

/// Announces changes that this entry observed, and sends them to the leader or to the followers.
fn pass_on(gateway: &Gateway, changes: &[Event]) {
    if changes.is_empty() {
        return;
    }
    announce(gateway, changes);
    send_to_leader(gateway, changes);
    broadcast(gateway, changes);
    review(gateway);
}

/// Runs the reviews that had to wait, until the process ends.
pub async fn run_reviews(gateway: Rc<Gateway>) {
    loop {
        gateway.quarantine.review_needed.notified().await;
        tokio::time::sleep(REVIEW_INTERVAL).await;
        run_review(&gateway);
    }
}

/// Reviews the evidence, or lets [`run_reviews`] do it if the last review was just before.
fn review(gateway: &Gateway) {
    if now().since(gateway.quarantine.reviewed_at.get()) < REVIEW_INTERVAL {
        gateway.quarantine.review_needed.notify_one();
    } else {
        run_review(gateway);
    }
}

/// Condemns what the evidence suffices for, if this entry decides.
fn run_review(gateway: &Gateway) {
    let quarantine = &gateway.quarantine;
    if gateway.admission.has_leader() {
        return;
    }
    quarantine.reviewed_at.set(now());
    let changes = quarantine.state.borrow_mut().review(now());
    announce(gateway, &changes);
    broadcast(gateway, &changes);
    quarantine.update_planners(gateway);
    quarantine.notify_writer();
}

/// Sends events to the leader, if there is one, with what completed meanwhile.
fn send_to_leader(gateway: &Gateway, events: &[Event]) {
    let quarantine = &gateway.quarantine;
    if events.is_empty() || !gateway.admission.has_leader() {
        return;
    }
    let mut message = Message::new(events, &quarantine.terminations.borrow());
    let mut state = quarantine.state.borrow_mut();
    message.progress = state.take_progress(now());
    message.answers = state.answers() - quarantine.reported_answers.replace(state.answers());
    drop(state);
    gateway.admission.report_to_leader(FollowerMessage::Quarantine(message));
}

/// Sends changes to all followers.
fn broadcast(gateway: &Gateway, changes: &[Event]) {
    if !changes.is_empty() {
        let message = Message::new(changes, &gateway.quarantine.terminations.borrow());
        gateway.admission.broadcast(&LeaderMessage::Quarantine(message));
    }
}

/// Logs changes, announces verdicts to the tasks that wait for one, and wakes the writer to the store.
fn announce(gateway: &Gateway, changes: &[Event]) {
    if changes.is_empty() {
        return;
    }
    changes.iter().for_each(|change| log_change(gateway, change));
    let is_verdict = |change: &&Event| matches!(change, Event::Condemned(_));
    for _ in changes.iter().filter(is_verdict) {
        metric::record_condemned();
        gateway.quarantine.verdicts.send_modify(|verdicts| *verdicts += 1);
    }
    gateway.quarantine.notify_writer();
}

fn log_change(gateway: &Gateway, change: &Event) {
    let state = gateway.quarantine.state.borrow();
    let runs = |cause: Cause| state.losses(cause).map(|(run, _)| &**run).collect::<Vec<_>>().join(",");
    match change {
        Event::Lost(loss) if loss.parts.is_empty() => {
            let cause = Cause::Request(loss.request);
            let (ends, points) = (state.losses(cause).count(), state.points(cause));
            event!("suspect", work = %loss.request, run = %loss.run, weight = ?loss.weight, proof = loss.proof.as_str(), ends, points = format_args!("{points:.1}"));
        }
        Event::Lost(loss) => {
            for part in &loss.parts {
                let cause = Cause::Part(part.fingerprint);
                let (ends, points) = (state.losses(cause).count(), state.points(cause));
                event!("part-evidence", part = %part.fingerprint, work = %loss.request, run = %loss.run, weight = ?loss.weight, proof = loss.proof.as_str(), ends, points = format_args!("{points:.1}"));
            }
        }
        Event::Refuted(run) => event!("refuted", run = %run),
        Event::Suspected(part) => {
            event!("part-suspect", part = %part, ends = state.losses(Cause::Part(*part)).count());
        }
        Event::Sound(part) => event!("part-sound", part = %part),
        Event::Answered(part) => event!("part-answered", part = %part),
        Event::Cleared(Cause::Request(work)) => event!("suspect-cleared", work = %work),
        Event::Cleared(Cause::Part(part)) => event!("part-cleared", part = %part),
        Event::Condemned(cause @ Cause::Request(work)) => warn_event!("condemned", work = %work, ends = runs(*cause)),
        Event::Condemned(cause @ Cause::Part(part)) => warn_event!("part-condemned", part = %part, ends = runs(*cause)),
        Event::Lifted(Cause::Request(work)) => event!("quarantine-lifted", work = %work),
        Event::Lifted(Cause::Part(part)) => event!("part-lifted", part = %part),
    }
}

/// Returns whether a cause has neither a verdict nor evidence against it.
fn is_clear(state: &State, cause: Cause) -> bool {
    state.status(cause) == Status::Clear && state.losses(cause).next().is_none()
}
