//! How far this entry knows the store's topics, and passing that on to other entries.
//!
//! Each call to the store has a price, so most entries do not read it: the entry that plans for them
//! does, and they ask it what is new. An answer tells the age of each fact when it was made. Who asked
//! counts that age from the moment of its *question*, so that no delay on the way, not even a frozen
//! process at either end, makes a fact look younger than it is.

use std::cell::RefCell;
use std::time::Duration;

use coord::time::Moment;
use tokio::sync::Notify;

use super::link::{Document, Question, Update};
use super::state::Gateway;
use super::topic::Topic;
use super::{belief, now, watch};

/// Largest configuration that is passed on, in bytes; sent to 27 entries over 20 Mbit/s, the least link seen,
/// it takes a third of a second. Who needs a larger one reads it.
const PASSED_ON_BYTES: usize = 32 * 1_024;

/// What this entry knows from the store.
#[derive(Default)]
pub struct Facts {
    /// The topic of the configuration.
    pub configuration: Topic,
    /// The topic of the replicas' records.
    pub replicas: Topic,
    /// The newest configuration, as the store has it.
    document: RefCell<Option<Document>>,
    /// Told when who reads the store for this entry may have changed.
    changed: Notify,
}

impl Facts {
    /// Waits until both topics are known, and no longer than until `deadline`.
    pub async fn first(&self, deadline: Moment) {
        let known = self.configuration.age().is_some() && self.replicas.age().is_some();
        if known || deadline <= now() {
            return;
        }
        let both = async { tokio::join!(self.configuration.first_proof(), self.replicas.first_proof()) };
        // Whoever asked looks at what is known; nothing may be.
        let _ = tokio::time::timeout(deadline.since(now()), both).await;
    }

    /// Keeps a configuration, to pass it on.
    pub fn keep(&self, document: Document) {
        *self.document.borrow_mut() = Some(document);
    }

    /// Makes the tasks that read the store look whether it is on them now.
    pub fn wake(&self) {
        self.changed.notify_waiters();
    }

    /// Waits for `pause`, or until woken.
    pub async fn pause(&self, pause: Duration) {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = self.changed.notified() => {}
        }
    }

    /// Waits until `topic` must be read here: nobody reads it for this entry, or what was passed on is older than
    /// `bound`. Before anything is known, it waits until `first_by` at most.
    pub async fn due(&self, topic: &Topic, bound: Duration, first_by: Moment, has_reader: impl Fn() -> bool) {
        loop {
            let serves = match topic.age() {
                None if !topic.is_behind() => first_by.since(now()),
                _ => topic.serves_for(bound),
            };
            if !has_reader() || serves.is_zero() {
                return;
            }
            self.pause(serves).await;
        }
    }
}

/// The last question on a connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Asked {
    /// The question.
    pub question: Question,
    /// When it was asked.
    pub at: Moment,
}

impl Asked {
    /// The next question on the same connection, asked now.
    pub fn next(&self, facts: &Facts) -> Self {
        let question = Question {
            number: self.question.number + 1,
            configuration: facts.configuration.next(),
            replicas: facts.replicas.next(),
        };
        Self { question, at: now() }
    }
}

/// What an entry that asks does not know yet.
pub fn update(gateway: &Gateway, question: Question) -> Update {
    let Question { configuration, replicas, .. } = question;
    let facts = &gateway.facts;
    let roster = gateway.roster.borrow();
    let newer = |document: &Document| configuration.is_none_or(|from| document.offset >= from);
    let document = facts.document.borrow().clone().filter(newer);
    let (document, large) = match document {
        Some(document) if document.value.len() > PASSED_ON_BYTES => (None, true),
        other => (other, false),
    };
    // One that came later than the other has not seen what was removed before.
    let whole = replicas.is_some_and(|from| !facts.replicas.has_seen_all_from(from));
    let from = replicas.filter(|_| !whole).unwrap_or(0);
    Update {
        configuration: facts.configuration.known(),
        document,
        too_large: large,
        replicas: facts.replicas.known(),
        sightings: roster.since(from),
        whole,
        doubt_left: roster.doubt_left(now()),
        entries: gateway.entries(),
    }
}

/// Takes in the answer to a question that was asked at `asked`.
pub fn take_in(gateway: &Gateway, update: Update, asked: Moment) {
    gateway.note_entries(update.entries);
    let facts = &gateway.facts;
    let sound = update.document.is_none_or(|document| belief::apply(gateway, document));
    match update.configuration {
        Some(known) if sound && !update.too_large => {
            facts.configuration.advance(known.next);
            facts.configuration.prove(asked - known.age);
        }
        Some(_) => {
            facts.configuration.fall_behind();
            facts.wake();
        }
        None => {}
    }
    if let Some(known) = update.replicas {
        // Whoever knew the records all along sees that one went, however long the other entry was cut off.
        if !watch::knows_replicas(gateway) {
            gateway.roster.borrow_mut().store_returned(now(), update.doubt_left);
        }
        if update.whole {
            belief::replace(gateway, known.next, update.sightings);
        } else {
            belief::hear(gateway, update.sightings);
        }
        belief::expire(gateway);
        facts.replicas.advance(known.next);
        facts.replicas.prove(asked - known.age);
    }
}
