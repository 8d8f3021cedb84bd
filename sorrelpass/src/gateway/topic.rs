//! How far one topic of the store is known, and as of when.

use std::cell::Cell;
use std::time::Duration;

use coord::invariant;
use coord::time::Moment;
use tokio::sync::watch;

use super::link::Known;
use super::now;

/// How far one topic is known.
#[derive(Default)]
pub struct Topic {
    /// The offset to read on from.
    next: Cell<Option<u64>>,
    /// The offset from which on every change was seen here; what was removed before that is not known.
    seen_from: Cell<Option<u64>>,
    /// When the newest reading was sent that proved it.
    read: Cell<Option<Moment>>,
    /// Whether there was ever one.
    proven: watch::Sender<bool>,
    /// Whether there is something newer, which must be read here.
    behind: Cell<bool>,
    /// Whether another entry, which the store does not answer, wants this one to read.
    wanted: Cell<bool>,
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
        if self.seen_from.get().is_none() {
            self.seen_from.set(Some(next));
        }
    }

    /// Whether every change at offset `from` and later was seen here.
    pub fn has_seen_all_from(&self, from: u64) -> bool {
        self.seen_from.get().is_some_and(|seen| seen <= from)
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
            self.wanted.set(false);
            self.proven.send_replace(true);
        }
    }

    /// Waits for the first such reading.
    pub async fn first_proof(&self) {
        // Fails only if the sender is gone, which lives as long as this.
        let _ = self.proven.subscribe().wait_for(|proven| *proven).await;
    }

    /// Notes that there is something newer than what is known.
    pub fn fall_behind(&self) {
        self.behind.set(true);
    }

    /// Notes whether another entry wants this one to read.
    pub fn set_wanted(&self, wanted: bool) {
        self.wanted.set(wanted);
    }

    /// Whether another entry wants this one to read.
    pub fn is_wanted(&self) -> bool {
        self.wanted.get()
    }

    /// Whether a reading that was sent at `since` or later proved it.
    pub fn is_proven_since(&self, since: Moment) -> bool {
        self.read.get().is_some_and(|read| read >= since)
    }

    /// Whether there is something newer, which must be read here.
    pub fn is_behind(&self) -> bool {
        self.behind.get()
    }

    /// Time since the newest such reading was sent.
    pub fn age(&self) -> Option<Duration> {
        self.read.get().map(|read| now().since(read))
    }

    /// Whether the newest such reading was sent less than `bound` ago.
    pub fn is_proven_within(&self, bound: Duration) -> bool {
        self.age().is_some_and(|age| age < bound)
    }

    /// For how long the topic need not be read, if a reading serves for `bound`.
    pub fn serves_for(&self, bound: Duration) -> Duration {
        if self.behind.get() || self.wanted.get() {
            return Duration::ZERO;
        }
        self.age().map_or(Duration::ZERO, |age| bound.saturating_sub(age))
    }

    /// That, as another entry is told it; none before the first proof.
    pub fn known(&self) -> Option<Known> {
        Some(Known { next: self.next.get()?, age: self.age()? })
    }
}
