//! State of this process's copy of one topic of the store: when it was last verified, and where the next read continues.
//!
//! A copy is verified by reads of the store, here or at another entry, which show that the copy is complete
//! ([`coord::progress`]).

use std::cell::Cell;
use std::time::Duration;

use coord::invariant;
use coord::offset::{self, Formatted};
use coord::progress::Verification;
use coord::time::Moment;
use tokio::sync::watch;

use super::ingest::Source;
use super::now;
use crate::event;

/// Age of a verification from which the next one is logged. While the store answers, none gets as old.
const LOGGED_AGE: Duration = Duration::from_secs(2);

/// Position of this process in the log of a topic of which only the newest records count.
#[derive(Default)]
pub struct ReadPosition {
    /// Offset from which the next read continues.
    next_offset: Cell<Option<u64>>,
    /// Newest position, also if it was discarded.
    newest: Cell<Option<u64>>,
}

impl ReadPosition {
    /// Returns the offset from which the next read continues, or `None` if a snapshot must be read first.
    pub fn next_offset(&self) -> Option<u64> {
        self.next_offset.get()
    }

    /// Records that all records below the offset `next` were applied.
    pub fn advance_to(&self, next: u64) {
        if self.next_offset.get().is_none_or(|known| known <= next) {
            self.next_offset.set(Some(next));
            self.newest.set(Some(next));
        }
    }

    /// Returns whether a snapshot that ends at `end` shows the same log as the records that were read before, rather
    /// than one that was restored from an older copy: a record that it lacks was then removed.
    pub fn is_same_log(&self, end: u64) -> bool {
        self.newest.get().is_some_and(|newest| offset::era(newest) == offset::era(end))
    }

    /// Discards the position because the store no longer has the records behind it: the next read is a snapshot.
    pub fn reset(&self) {
        self.next_offset.set(None);
    }
}

/// State of this process's copy of one topic.
pub struct TopicState {
    topic_name: &'static str,
    /// Newest proof that the copy is complete.
    verification: Cell<Option<Verification>>,
    /// Whether the copy was ever verified.
    ever_verified: watch::Sender<bool>,
    /// Whether the store has newer records that this process must read itself.
    is_behind: Cell<bool>,
    /// Whether the leader, which the store does not answer, asked this process to read the topic.
    is_read_requested: Cell<bool>,
}

impl TopicState {
    /// Creates the state of a copy of the topic `topic_name`, of which nothing was read yet.
    pub fn new(topic_name: &'static str) -> Self {
        Self {
            topic_name,
            verification: Cell::default(),
            ever_verified: watch::Sender::default(),
            is_behind: Cell::default(),
            is_read_requested: Cell::default(),
        }
    }

    /// Records that the copy is known to be complete by a read here (`Source::Store`) or at another entry.
    pub fn mark_verified(&self, verification: Verification, source: Source) {
        let as_of = verification.as_of();
        invariant!(as_of <= now(), "a read of the store is not from the future");
        self.is_behind.set(false);
        if self.verification.get().is_none_or(|known| known.as_of() < as_of) {
            self.log_verification(verification, source);
            self.verification.set(Some(verification));
            self.is_read_requested.set(false);
            self.ever_verified.send_replace(true);
        }
    }

    /// Logs a verification that ends a time in which the copy was not verified.
    fn log_verification(&self, verification: Verification, source: Source) {
        if self.is_verified_within(LOGGED_AGE) {
            return;
        }
        let (age, end) = (now().since(verification.as_of()), Formatted(verification.end()));
        let before = self.age().map_or(0, |age| age.as_millis());
        event!("verified", topic = self.topic_name, source = ?source, end = %end, age_ms = age.as_millis(), before_ms = before);
    }

    /// Waits until the copy has been verified for the first time.
    pub async fn wait_for_first_verification(&self) {
        // Fails only if the sender was dropped, and `self` owns the sender.
        let _ = self.ever_verified.subscribe().wait_for(|ever_verified| *ever_verified).await;
    }

    /// Records that the store has newer records, which this process must read itself.
    pub fn mark_behind(&self) {
        self.is_behind.set(true);
    }

    /// Sets whether the leader asked this process to read the topic.
    pub fn set_read_requested(&self, is_requested: bool) {
        self.is_read_requested.set(is_requested);
    }

    /// Returns whether the leader asked this process to read the topic.
    pub fn is_read_requested(&self) -> bool {
        self.is_read_requested.get()
    }

    /// Returns whether a read that was sent at `since` or later verified the copy.
    pub fn is_verified_since(&self, since: Moment) -> bool {
        self.verification.get().is_some_and(|known| known.as_of() >= since)
    }

    /// Returns whether the store has newer records that this process must read itself.
    pub fn is_behind(&self) -> bool {
        self.is_behind.get()
    }

    /// Returns the end of the log that the copy is known to have reached, or 0 if the copy was never verified.
    pub fn verified_end(&self) -> u64 {
        self.verification.get().map_or(0, |known| known.end())
    }

    /// Returns the time since the newest read that verified the copy was sent, or `None` if the copy was never
    /// verified.
    pub fn age(&self) -> Option<Duration> {
        self.verification.get().map(|known| now().since(known.as_of()))
    }

    /// Returns whether the newest read that verified the copy was sent less than `max_age` ago.
    pub fn is_verified_within(&self, max_age: Duration) -> bool {
        self.age().is_some_and(|age| age < max_age)
    }

    /// Returns the time until this process must read the topic itself, if a verification is valid for `max_age`.
    pub fn time_until_stale(&self, max_age: Duration) -> Duration {
        if self.is_behind.get() || self.is_read_requested.get() {
            return Duration::ZERO;
        }
        self.age().map_or(Duration::ZERO, |age| max_age.saturating_sub(age))
    }
}
