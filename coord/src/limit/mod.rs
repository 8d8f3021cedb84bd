//! Rate limits that replicas announce: the number of requests per second that a replica accepts from all entries
//! together.
//!
//! [`Register`] holds the limits that this process or its peers received. A replica states its limit in each
//! response, and responses can overtake each other: one statement is known to be newer than another only if its
//! request was sent after the other response arrived. While the order is unknown, the stricter limit holds; the next
//! response settles it.
//!
//! [`Allowance`] counts the requests that may still be sent to a limited replica. [`Group`] yields the share of a
//! limit that the entries of one leader may use.

mod allowance;
mod group;

use std::collections::BTreeMap;
use std::time::Duration;

pub use self::allowance::Allowance;
pub use self::group::Group;

use crate::name::Name;
use crate::time::Moment;

/// Limit stated in a response of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Word {
    /// Requests per second accepted from all entries together; `None` if the replica states no limit.
    pub rate: Option<f64>,
    /// Send time of the request.
    pub asked: Moment,
    /// Arrival time of the response.
    pub heard: Moment,
}

impl Word {
    /// Returns whether this response is certainly newer than `other`.
    fn is_after(&self, other: &Word) -> bool {
        self.asked >= other.heard
    }

    /// Returns whether this response allows fewer requests than `other`.
    fn is_stricter(&self, other: &Word) -> bool {
        self.rate.unwrap_or(f64::INFINITY) < other.rate.unwrap_or(f64::INFINITY)
    }
}

/// Stated limit in transit between entries, with ages in place of moments because clocks differ.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct News {
    /// Replica that stated the limit.
    pub replica: Name,
    /// Stated limit, as in [`Word`].
    pub rate: Option<f64>,
    /// Time since the request was sent.
    pub asked_ago: Duration,
    /// Time since the response arrived.
    pub heard_ago: Duration,
}

impl News {
    /// Converts `word` for sending at `now`.
    pub fn of(replica: &Name, word: &Word, now: Moment) -> Self {
        let (asked_ago, heard_ago) = (now.since(word.asked), now.since(word.heard));
        Self { replica: replica.clone(), rate: word.rate, asked_ago, heard_ago }
    }

    /// Converts back to moments at the receive time `now`. The transit time makes both moments later by the same
    /// amount.
    pub fn word(&self, now: Moment) -> Word {
        Word { rate: self.rate, asked: now - self.asked_ago, heard: now - self.heard_ago }
    }
}

/// Known limit of one replica.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// Limit in force; of several responses with the same limit, the oldest.
    word: Word,
    /// Start of the current run of the replica, as far as known; responses to earlier requests belong to a previous
    /// run.
    started: Moment,
}

/// Limits by replica. A replica that never stated a limit uses no memory.
#[derive(Debug, Default)]
pub struct Register(BTreeMap<Name, Known>);

impl Register {
    /// Records a stated limit and returns whether the limit in force changed.
    ///
    /// Of responses with the same limit the first is kept, so that all entries that received the change hold the same
    /// one.
    pub fn hear(&mut self, replica: &Name, word: Word) -> bool {
        let Some(known) = self.0.get_mut(replica) else {
            if word.rate.is_some() {
                self.0.insert(replica.clone(), Known { word, started: Moment::ZERO });
            }
            return word.rate.is_some();
        };
        let is_of_this_run = word.asked >= known.started;
        let holds = word.is_after(&known.word) || (!known.word.is_after(&word) && word.is_stricter(&known.word));
        if !is_of_this_run || !holds || word.rate == known.word.rate {
            return false;
        }
        known.word = word;
        true
    }

    /// Returns the limit of a replica in requests per second, or `None` if it has no limit.
    pub fn rate(&self, replica: &str) -> Option<f64> {
        self.0.get(replica).and_then(|known| known.word.rate)
    }

    /// Returns the limited replicas with their limits in requests per second.
    pub fn limited(&self) -> impl Iterator<Item = (&Name, f64)> {
        self.0.iter().filter_map(|(replica, known)| Some((replica, known.word.rate?)))
    }

    /// Returns all that a peer must know: current limits and the withdrawal of earlier ones.
    pub fn all(&self, now: Moment) -> Vec<News> {
        self.0.iter().map(|(replica, known)| News::of(replica, &known.word, now)).collect()
    }

    /// Returns the limit in force of one replica in the form sent to peers.
    pub fn news(&self, replica: &str, now: Moment) -> Option<News> {
        let (replica, known) = self.0.get_key_value(replica)?;
        Some(News::of(replica, &known.word, now))
    }

    /// Discards the limit of a replica that restarted, since it belonged to the previous run. Returns whether the
    /// replica had a limit.
    pub fn restarted(&mut self, replica: &str, now: Moment) -> bool {
        let Some(known) = self.0.get_mut(replica) else { return false };
        let was_limited = known.word.rate.is_some();
        *known = Known { word: Word { rate: None, asked: now, heard: now }, started: now };
        was_limited
    }

    /// Removes a replica that no longer exists.
    pub fn forget(&mut self, replica: &str) {
        self.0.remove(replica);
    }
}
