//! Limits that replicas name: the requests a second that one takes from all entries together.
//!
//! [`Register`] holds what replicas say, whoever heard it. A replica says it in each of its answers, and answers cross
//! on their way: which of two words is the later one is known only where one was asked for after the other had come.
//! Where it is not known the stricter one holds; the next answer settles it.
//!
//! [`Allowance`] counts what may still be sent to one such replica, [`Group`] tells which share of all that the entries may
//! use for whom one of them decides.

mod allowance;
mod group;

use std::collections::BTreeMap;
use std::time::Duration;

pub use self::allowance::Allowance;
pub use self::group::Group;

use crate::name::Name;
use crate::time::Moment;

/// What an answer of a replica says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Word {
    /// Requests a second that it takes from all entries together; none if it names no limit.
    pub rate: Option<f64>,
    /// When the request that it answers was sent.
    pub asked: Moment,
    /// When the answer came.
    pub heard: Moment,
}

impl Word {
    /// Whether it was certainly said after another.
    fn is_after(&self, other: &Word) -> bool {
        self.asked >= other.heard
    }

    /// Whether it leaves a replica less than another does.
    fn is_stricter(&self, other: &Word) -> bool {
        self.rate.unwrap_or(f64::INFINITY) < other.rate.unwrap_or(f64::INFINITY)
    }
}

/// A word as it is passed on, with ages in place of moments: clocks differ.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct News {
    /// The replica that said it.
    pub replica: Name,
    /// As in [`Word`].
    pub rate: Option<f64>,
    /// Time since the request was sent that it answers.
    pub asked_ago: Duration,
    /// Time since the answer came.
    pub heard_ago: Duration,
}

impl News {
    /// The form of `word` that is sent at `now`.
    pub fn of(replica: &Name, word: &Word, now: Moment) -> Self {
        let (asked_ago, heard_ago) = (now.since(word.asked), now.since(word.heard));
        Self { replica: replica.clone(), rate: word.rate, asked_ago, heard_ago }
    }

    /// The word that was received at `now`. Its way makes it look younger by that long, on both ends alike.
    pub fn word(&self, now: Moment) -> Word {
        Word { rate: self.rate, asked: now - self.asked_ago, heard: now - self.heard_ago }
    }
}

/// What is known of one replica.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// The word in force: of several that say the same, the first.
    word: Word,
    /// What was asked before this was asked of an earlier run of the replica.
    started: Moment,
}

/// What replicas say of themselves. One that never named a limit takes no room.
#[derive(Debug, Default)]
pub struct Register(BTreeMap<Name, Known>);

impl Register {
    /// Takes a word in; says whether another limit is in force now than before.
    ///
    /// Of words that say the same the first one stands, so that all entries which heard of a change hold the same word.
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

    /// The limit in force for a replica, in requests a second.
    pub fn rate(&self, replica: &str) -> Option<f64> {
        self.0.get(replica).and_then(|known| known.word.rate)
    }

    /// The replicas that name a limit, with their rates.
    pub fn limited(&self) -> impl Iterator<Item = (&Name, f64)> {
        self.0.iter().filter_map(|(replica, known)| Some((replica, known.word.rate?)))
    }

    /// All that another entry should know: limits, and those that ended.
    pub fn all(&self, now: Moment) -> Vec<News> {
        self.0.iter().map(|(replica, known)| News::of(replica, &known.word, now)).collect()
    }

    /// What is in force for a replica, as it is passed on.
    pub fn news(&self, replica: &str, now: Moment) -> Option<News> {
        let (replica, known) = self.0.get_key_value(replica)?;
        Some(News::of(replica, &known.word, now))
    }

    /// Notes that a replica started again under its identity: what it said before was said of another run. Says whether
    /// it had named a limit.
    pub fn restarted(&mut self, replica: &str, now: Moment) -> bool {
        let Some(known) = self.0.get_mut(replica) else { return false };
        let was_limited = known.word.rate.is_some();
        *known = Known { word: Word { rate: None, asked: now, heard: now }, started: now };
        was_limited
    }

    /// Forgets a replica that is gone.
    pub fn forget(&mut self, replica: &str) {
        self.0.remove(replica);
    }
}
