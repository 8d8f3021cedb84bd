//! Which part of what is common to all entries those may use for whom one of them decides.

use std::time::Duration;

use crate::time::Moment;

/// For how long entries that were together count: longer than the cuts that separate them for a while last, and short
/// enough that the rest gets the whole again when some were taken away for good.
const REMEMBERED: Duration = Duration::from_secs(30);

/// How many entries were together of late.
///
/// One that decides for `k` of `n` entries uses `k / n` of a common bound. Where a cut leaves several who decide, their
/// shares add up to one, without a word between them; where one is lost, those that it decided for use a share each until
/// they have found the next.
#[derive(Clone, Copy, Debug, Default)]
pub struct Group {
    /// The most that were together since `since`.
    largest: usize,
    since: Moment,
    /// The most in the period before.
    before: usize,
}

impl Group {
    /// Notes that so many are together now.
    pub fn note(&mut self, entries: usize, now: Moment) {
        let age = now.since(self.since);
        if age >= REMEMBERED {
            self.before = if age < REMEMBERED * 2 { self.largest } else { 0 };
            self.largest = 0;
            self.since = now;
        }
        self.largest = self.largest.max(entries);
    }

    /// The share of one that decides for `entries`, itself among them, of `known` or more.
    pub fn share(&self, entries: usize, known: usize, now: Moment) -> f64 {
        let age = now.since(self.since);
        let of_late = match age {
            age if age >= REMEMBERED * 2 => 0,
            age if age >= REMEMBERED => self.largest,
            _ => self.largest.max(self.before),
        };
        let all = of_late.max(known).max(entries).max(1);
        entries as f64 / all as f64
    }
}
