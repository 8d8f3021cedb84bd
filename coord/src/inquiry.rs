//! When to ask again on a connection whose answers may take long.
//!
//! Only the answer to the last question counts: an older one shows an older state. Whoever asks again while an answer is under
//! way gives it up, and on a link that carries answers more slowly than questions are asked no answer would ever count.

use std::time::Duration;

use crate::time::Moment;

/// An answer that takes longer than this was lost with whoever owed it: a picture of 24,000 replicas takes a third of it over
/// the slowest link seen.
const PATIENCE: Duration = Duration::from_secs(1);

/// The questions on one connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Inquiry {
    /// The number of the last question; the first has 1.
    number: u64,
    /// When it was asked, while it is not answered.
    unanswered: Option<Moment>,
}

impl Inquiry {
    /// Whether another question may be asked.
    pub fn may_ask(&self, now: Moment) -> bool {
        self.unanswered.is_none_or(|asked| now.since(asked) >= PATIENCE)
    }

    /// Notes a question; returns its number.
    pub fn ask(&mut self, now: Moment) -> u64 {
        self.number += 1;
        self.unanswered = Some(now);
        self.number
    }

    /// Notes an answer; returns when its question was asked if it is the last one.
    pub fn answer(&mut self, number: u64) -> Option<Moment> {
        if number == self.number { self.unanswered.take() } else { None }
    }

    /// Whether nothing was asked yet.
    pub fn is_new(&self) -> bool {
        self.number == 0
    }
}
