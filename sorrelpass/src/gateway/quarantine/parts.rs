//! Quarantine of prompt parts that terminate engines: applies and exchanges its events, and keeps its verdicts in the
//! store.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use coord::name::Name;
use coord::part_quarantine::{Event, SharedPart, State};
use coord::quarantine::{self, Fingerprint, Weight};
use coord::termination::{Interval, IntervalAge, Terminations};
use platform::store::KeyedRecord;
use serde::{Deserialize, Serialize};

use super::super::now;
use super::super::peer_protocol::{FollowerMessage, LeaderMessage};
use super::super::state::Gateway;
use super::part_record::{self, Record, Stored};
use super::{MAX_EVENTS_PER_MESSAGE, Source, apply_events, evidence};
use crate::{event, metric, warn_event};

/// Terminations under a suspected part above which its record is no longer written. It is a multiple of what a verdict
/// needs, and keeps a record below 8 KB.
const MAX_STORED_TERMINATIONS: usize = 64;

/// Prompt parts under which engines terminate, as this entry knows them.
#[derive(Default)]
pub(super) struct Parts {
    state: RefCell<State>,
    /// Contents of the store, as far as this entry has read or written them.
    stored: RefCell<HashMap<Fingerprint, Stored>>,
    /// Completed prompts that the leader has been told of.
    reported_completions: Cell<u64>,
    /// Prompts with a first event that the leader has been told of.
    reported_answers: Cell<u64>,
}

impl Parts {
    /// Returns whether prompts with the part are no longer sent.
    pub fn is_condemned(&self, part: Fingerprint) -> bool {
        self.state.borrow().is_condemned(part)
    }

    /// Returns the keys of the records that the store has, as far as is known.
    pub fn stored_keys(&self) -> Vec<String> {
        self.stored.borrow().keys().map(|part| part_record::key(*part)).collect()
    }

    /// Forgets which records the store has.
    pub fn forget_stored(&self) {
        self.stored.borrow_mut().clear();
    }
}

/// Event with the age of the termination that it reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RelayedEvent {
    event: Event,
    /// Age of the termination, or `None` if the event reports none or its time is unknown.
    termination_age: Option<IntervalAge>,
}

/// Events that entries send each other.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Message {
    events: Vec<RelayedEvent>,
    /// Prompts that completed at the sender since its last message.
    completions: u64,
    /// Prompts that had their first event at the sender since its last message.
    answers: u64,
}

impl Message {
    fn new(events: &[Event], terminations: &Terminations) -> Self {
        let relay = |event: &Event| {
            let interval = match event {
                Event::Terminated { run, .. } | Event::Evidence { run, .. } => terminations.interval(run),
                _ => None,
            };
            RelayedEvent {
                event: event.clone(),
                termination_age: interval.map(|interval| IntervalAge::of(&interval, now())),
            }
        };
        Self { events: events.iter().map(relay).collect(), completions: 0, answers: 0 }
    }
}

/// Returns the messages that bring another entry up to date.
pub fn sync_messages(gateway: &Gateway) -> Vec<Message> {
    let terminations = gateway.quarantine.terminations.borrow();
    let events = gateway.quarantine.parts.state.borrow().events();
    events.chunks(MAX_EVENTS_PER_MESSAGE).map(|events| Message::new(events, &terminations)).collect()
}

/// Records the termination of a run under a prompt. A prompt that had events, or had not started, does not accuse its
/// parts. The run then still counts among all that terminated, which need not be said again.
pub(super) fn record_termination(
    gateway: &Gateway,
    run: Name,
    is_new: bool,
    work: Fingerprint,
    parts: &[SharedPart],
    weight: Weight,
) {
    let parts = if weight == Weight::Strong { parts.to_vec() } else { Vec::new() };
    if is_new || !parts.is_empty() {
        apply_event(gateway, Event::Terminated { run, work, parts }, Source::Own);
        gateway.quarantine.notify_writer();
    }
}

/// Returns whether a run terminated under a condemned part, so that it is no evidence against whole requests.
pub(super) fn is_attributed(gateway: &Gateway, run: &Name) -> bool {
    gateway.quarantine.parts.state.borrow().is_attributed(run)
}

/// Returns the suspected parts, which may explain why replicas terminated under whole requests.
pub(super) fn shared_causes(gateway: &Gateway) -> Vec<quarantine::SharedCause> {
    gateway.quarantine.parts.state.borrow().shared_causes()
}

/// Takes the runs that terminated under a condemned part off whole requests, and lifts the verdicts that rest on them. A
/// request that many callers send alike is on many engines before the part is known.
fn exonerate(gateway: &Gateway, part: Fingerprint) {
    let runs = gateway.quarantine.parts.state.borrow().runs(part).cloned().collect();
    let lifted = gateway.quarantine.register.borrow_mut().exonerate(&runs);
    if !lifted.is_empty() {
        apply_events(gateway, lifted.into_iter().map(quarantine::Event::Lifted).collect(), Source::Own);
    }
}

/// Records that a prompt completed. An engine must have sent an event of it, since a stream that resumes behind its last
/// event completes without any work on its parts.
pub fn record_completion(gateway: &Gateway, parts: &[SharedPart]) {
    let relayed = gateway.quarantine.parts.state.borrow_mut().record_completion(parts, now());
    distribute(gateway, &relayed, Source::Own);
}

/// Records that an engine sent the first event of a prompt.
pub fn record_answer(gateway: &Gateway, parts: &[SharedPart]) {
    let relayed = gateway.quarantine.parts.state.borrow_mut().record_answer(parts, now());
    distribute(gateway, &relayed, Source::Own);
}

/// Applies a message of another entry.
pub fn apply_message(gateway: &Gateway, message: Message, source: Source) {
    gateway.quarantine.parts.state.borrow_mut().add_progress(message.completions, message.answers);
    for relayed in message.events {
        let event = into_local(relayed, &mut gateway.quarantine.terminations.borrow_mut());
        apply_event(gateway, event, source);
    }
    evidence::forget_removed_replicas(gateway);
}

/// Returns the event with the name that its run has in this process.
fn into_local(mut relayed: RelayedEvent, terminations: &mut Terminations) -> Event {
    if let Event::Terminated { run, .. } | Event::Evidence { run, .. } = &mut relayed.event {
        let now = now();
        let interval = relayed.termination_age.map_or(Interval::before(now), |age| age.interval(now));
        *run = terminations.record_reported(run, interval);
    }
    relayed.event
}

fn apply_event(gateway: &Gateway, event: Event, source: Source) {
    let quarantine = &gateway.quarantine;
    let at = match &event {
        Event::Terminated { run, .. } => {
            quarantine.terminations.borrow().interval(run).map(|interval| interval.not_after)
        }
        _ => None,
    };
    let mut relayed = quarantine.parts.state.borrow_mut().apply(event.clone(), at.unwrap_or(now()), now());
    match source {
        // The leader adds up the terminations that all entries observed.
        Source::Own if matches!(event, Event::Terminated { .. }) && gateway.admission.has_leader() => {
            send_to_leader(gateway, std::slice::from_ref(&event));
        }
        // The leader knows the event that it has sent, and needs only the answer to it.
        Source::Leader => {
            if relayed.contains(&event) {
                announce(gateway, std::slice::from_ref(&event));
            }
            relayed.retain(|answer| *answer != event);
        }
        Source::Own | Source::Follower => {}
    }
    distribute(gateway, &relayed, source);
}

fn send_to_leader(gateway: &Gateway, events: &[Event]) {
    let parts = &gateway.quarantine.parts;
    let mut message = Message::new(events, &gateway.quarantine.terminations.borrow());
    let (completions, answers) = (parts.state.borrow().completions(), parts.state.borrow().answers());
    message.completions = completions - parts.reported_completions.replace(completions);
    message.answers = answers - parts.reported_answers.replace(answers);
    gateway.admission.report_to_leader(FollowerMessage::Parts(message));
}

/// Logs changes of this entry's state, updates the metrics, and wakes the writer to the store.
fn announce(gateway: &Gateway, changes: &[Event]) {
    for change in changes {
        log_change(gateway, change);
        if let Event::Condemned(part) = change {
            exonerate(gateway, *part);
        }
    }
    let state = gateway.quarantine.parts.state.borrow();
    metric::set_part_quarantine_size(state.suspects().count(), state.condemned().count());
    drop(state);
    gateway.quarantine.notify_writer();
}

/// Announces changes, and sends them to the leader or to the followers.
fn distribute(gateway: &Gateway, changes: &[Event], source: Source) {
    if changes.is_empty() {
        return;
    }
    announce(gateway, changes);
    if gateway.admission.has_leader() {
        send_to_leader(gateway, changes);
    }
    if source != Source::Leader {
        let message = Message::new(changes, &gateway.quarantine.terminations.borrow());
        gateway.admission.broadcast(&LeaderMessage::Parts(message));
    }
}

/// Logs a change, and announces a verdict to the tasks that wait for one.
fn log_change(gateway: &Gateway, change: &Event) {
    let quarantine = &gateway.quarantine;
    match change {
        Event::Terminated { .. } | Event::Evidence { .. } => {}
        Event::Suspected(part) => {
            let ends = quarantine.parts.state.borrow().termination_count(*part);
            event!("part-suspect", part = %part, ends);
        }
        Event::Sound(part) => event!("part-sound", part = %part),
        Event::Answered(part) => event!("part-answered", part = %part),
        Event::Cleared(part) => event!("part-cleared", part = %part),
        Event::Condemned(part) => {
            let ends = quarantine.parts.state.borrow().runs(*part).map(|run| &**run).collect::<Vec<_>>().join(",");
            warn_event!("part-condemned", part = %part, ends);
            metric::record_condemned();
            quarantine.verdicts.send_modify(|verdicts| *verdicts += 1);
        }
        Event::Lifted(part) => event!("part-lifted", part = %part),
    }
}

/// Applies a record of the store whose key names a part. A record that cannot be decoded is logged and skipped.
pub(super) fn apply_record(gateway: &Gateway, key: &str, record: &KeyedRecord) {
    let parts = &gateway.quarantine.parts;
    let events = match part_record::decode(key, record) {
        Ok((part, Some(record))) => {
            let record = record.with_local_run_names(&mut gateway.quarantine.terminations.borrow_mut(), now());
            parts.stored.borrow_mut().insert(part, record.stored());
            record.into_events(part)
        }
        Ok((part, None)) if parts.stored.borrow_mut().remove(&part).is_some() => vec![Event::Lifted(part)],
        // This entry has not seen a stored record that the removal could refer to.
        Ok((_, None)) => return,
        Err(error) => return warn_event!("quarantine-record", key, error = %format!("{error:#}")),
    };
    for event in events {
        apply_event(gateway, event, Source::Own);
    }
    // The record may lack what this entry knows.
    gateway.quarantine.notify_writer();
}

/// Returns the next part whose record in the store differs from the state, and its new record, or `None` to remove it.
/// Entries that exchange something else write verdicts only.
pub(super) fn next_write(gateway: &Gateway) -> Option<(Fingerprint, Option<Record>)> {
    let parts = &gateway.quarantine.parts;
    let (state, stored) = (parts.state.borrow(), parts.stored.borrow());
    let suspects = gateway.admission.is_standalone().then(|| state.suspects()).into_iter().flatten();
    let suspects = suspects.filter(|part| state.termination_count(*part) <= MAX_STORED_TERMINATIONS);
    let is_new = |part: &Fingerprint| stored.get(part).is_none_or(|stored| stored.lacks(&state, *part));
    if let Some(part) = state.condemned().chain(suspects).find(is_new) {
        return Some((part, Some(Record::of(&state, part, now()))));
    }
    let is_clear = |part: &&Fingerprint| !state.is_condemned(**part) && state.evidence(**part).next().is_none();
    stored.keys().find(is_clear).map(|part| (*part, None))
}

/// Records what the store has for a part, or `None` if its record was removed.
pub(super) fn mark_stored(gateway: &Gateway, part: Fingerprint, record: Option<&Record>) {
    let mut stored = gateway.quarantine.parts.stored.borrow_mut();
    match record {
        Some(record) => stored.insert(part, record.stored()),
        None => stored.remove(&part),
    };
}
