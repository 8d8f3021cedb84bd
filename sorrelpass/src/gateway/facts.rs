//! How far this entry knows the store's topics, and passing that on to other entries.
//!
//! Each call to the store has a price, so most entries do not read it: the entry that plans for them
//! does, and they ask it what is new. An answer tells the age of each fact when it was made. Who asked
//! counts that age from the moment of its *question*, so that no delay on the way, not even a frozen
//! process at either end, makes a fact look younger than it is.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use coord::invariant;
use coord::time::Moment;
use tokio::sync::Notify;

use super::link::{Document, Known, Update};
use super::state::Gateway;
use super::{now, watch};

/// Largest configuration that is passed on, in bytes; sent to 27 entries over 20 Mbit/s, the least link seen,
/// it takes a third of a second. Who needs a larger one reads it.
const PASSED_ON_BYTES: usize = 32 * 1_024;

/// How far one topic is known.
#[derive(Default)]
pub struct Topic {
    next: Cell<Option<u64>>,
    read: Cell<Option<Moment>>,
    behind: Cell<bool>,
}

impl Topic {
    /// The offset to read on from; none before the first whole picture.
    pub fn next(&self) -> Option<u64> {
        self.next.get()
    }

    /// Notes that all records below `next` are taken in.
    pub fn advance(&self, next: u64) {
        if self.next.get().is_none_or(|known| known <= next) {
            self.next.set(Some(next));
            self.behind.set(false);
        }
    }

    /// Notes that records were lost from view: the whole picture must be read anew.
    pub fn forget(&self) {
        self.next.set(None);
    }

    /// Notes that a reading sent at `sent` showed what is known to be the newest.
    pub fn prove(&self, sent: Moment) {
        invariant!(sent <= now(), "a reading is not from the future");
        if self.read.get().is_none_or(|read| read < sent) {
            self.read.set(Some(sent));
        }
    }

    /// Notes that there is something newer than what is known.
    fn fall_behind(&self) {
        self.behind.set(true);
    }

    /// Time since the newest such reading was sent.
    pub fn age(&self) -> Option<Duration> {
        self.read.get().map(|read| now().since(read))
    }

    /// For how long the topic need not be read, if a reading serves for `bound`.
    fn serves_for(&self, bound: Duration) -> Duration {
        if self.behind.get() {
            return Duration::ZERO;
        }
        self.age().map_or(Duration::ZERO, |age| bound.saturating_sub(age))
    }

    fn known(&self) -> Option<Known> {
        Some(Known { next: self.next.get()?, age: self.age()? })
    }
}

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

    /// Waits until `topic` must be read here: nobody reads it for this entry, or what was passed on is older than `bound`.
    pub async fn due(&self, topic: &Topic, bound: Duration, has_reader: impl Fn() -> bool) {
        loop {
            let serves = topic.serves_for(bound);
            if !has_reader() || serves.is_zero() {
                return;
            }
            self.pause(serves).await;
        }
    }
}

/// What an entry that knows the topics up to these offsets does not know yet.
pub fn update(gateway: &Gateway, configuration: Option<u64>, replicas: Option<u64>) -> Update {
    let facts = &gateway.facts;
    let roster = gateway.roster.borrow();
    let newer = |document: &Document| configuration.is_none_or(|from| document.offset >= from);
    let document = facts.document.borrow().clone().filter(newer);
    let (document, large) = match document {
        Some(document) if document.value.len() > PASSED_ON_BYTES => (None, true),
        other => (other, false),
    };
    Update {
        configuration: facts.configuration.known(),
        document,
        too_large: large,
        replicas: facts.replicas.known(),
        sightings: roster.since(replicas.unwrap_or(0)),
        doubt_left: roster.doubt_left(now()),
    }
}

/// Takes in the answer to a question that was asked at `asked`.
pub fn take_in(gateway: &Gateway, update: Update, asked: Moment) {
    let facts = &gateway.facts;
    let sound = update.document.is_none_or(|document| watch::apply(gateway, document));
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
        gateway.roster.borrow_mut().store_returned(now(), update.doubt_left);
        watch::hear(gateway, update.sightings);
        watch::expire(gateway);
        facts.replicas.advance(known.next);
        facts.replicas.prove(asked - known.age);
    }
}
