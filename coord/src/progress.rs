//! Progress of a copy of a log, and when the copy is known to be complete.
//!
//! An answer of a log may hold only a part of the records that its reader lacks; it also tells where the log ended. A
//! copy that reaches that end holds every record that was acknowledged before the read was sent, even if later reads
//! brought the last of them. Nothing else shows this: an answer that ends earlier says nothing about the rest, and a
//! record that is absent from such a copy may be in the rest.

use std::collections::VecDeque;
use std::time::Duration;

use crate::offset;
use crate::time::Moment;

/// Maximum number of ends that are remembered until the copy reaches them. Beyond it, every second one is forgotten, so
/// that a log which grows faster than it is read costs no more memory.
const MAX_UNREACHED_ENDS: usize = 64;

/// Part of a log that one answer holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Time at which the read was sent.
    sent_at: Moment,
    /// Offset from which the next read continues.
    next: u64,
    /// Offset at which the log ended when the answer was made.
    end: u64,
}

impl Answer {
    /// Returns what an answer with the records of the log up to the offset `next` covers, if the log ended at `end`.
    pub fn of_log(sent_at: Moment, next: u64, end: u64) -> Self {
        Self { sent_at, next, end }
    }

    /// Returns what the newest record of each key covers, read while the log ended at `end` or later.
    pub fn of_newest(sent_at: Moment, end: u64) -> Self {
        Self { sent_at, next: end, end }
    }

    /// Returns the offset from which the next read continues.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns whether the log has further records.
    pub fn is_part(&self) -> bool {
        self.next < self.end
    }
}

/// Proof that a copy of a log held every record that was acknowledged before some time. It follows from the reads that
/// the copy was made of, here or at another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verification {
    as_of: Moment,
    /// Offset up to which the log reached in the answer that the proof rests on.
    end: u64,
}

impl Verification {
    /// Returns the verification of a copy that another process sent, and which reaches to `end`. `age` is the age that the
    /// other process stated, which counts from the time at which the copy was requested.
    pub fn reported(requested_at: Moment, age: Duration, end: u64) -> Self {
        Self { as_of: requested_at - age, end }
    }

    /// Returns the time before which every acknowledged record is in the copy.
    pub fn as_of(&self) -> Moment {
        self.as_of
    }

    /// Returns the end of the log that the copy is known to have reached.
    pub fn end(&self) -> u64 {
        self.end
    }
}

/// End of the log that an answer told.
#[derive(Clone, Copy, Debug)]
struct ToldEnd {
    /// Time at which the read was sent.
    sent_at: Moment,
    end: u64,
}

/// Progress of one copy: the ends of the log that answers told and that the copy has not reached.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Ends in the order of the reads.
    unreached: VecDeque<ToldEnd>,
    /// Largest end that any answer told.
    newest_end: u64,
}

impl Progress {
    /// Records an answer whose records were applied. `reached` is the offset below which the copy reflects every
    /// record. Returns the verification that follows, if there is one.
    pub fn record(&mut self, answer: Answer, reached: u64) -> Option<Verification> {
        // An answer that tells an earlier end than one before it is outdated, and shows nothing by itself.
        if answer.end >= self.newest_end {
            self.newest_end = answer.end;
            self.remember(ToldEnd { sent_at: answer.sent_at, end: answer.end });
        }
        let mut verification = None;
        while let Some(told) = self.unreached.pop_front_if(|told| told.end <= reached) {
            // A log that was recovered from an older copy assigns its offsets again, so a position in it says nothing
            // about an end from before.
            if offset::era(told.end) == offset::era(reached) {
                verification = Some(Verification { as_of: told.sent_at, end: told.end });
            }
        }
        verification
    }

    /// Returns whether the log is known to have records that a copy which reflects all records below `reached` lacks.
    pub fn has_rest(&self, reached: u64) -> bool {
        reached < self.newest_end
    }

    fn remember(&mut self, told: ToldEnd) {
        if let Some(newest) = self.unreached.back_mut().filter(|newest| newest.end == told.end) {
            // The same end told later covers more.
            *newest = told;
            return;
        }
        if self.unreached.len() >= MAX_UNREACHED_ENDS {
            let mut is_kept = false;
            self.unreached.retain(|_| {
                is_kept = !is_kept;
                is_kept
            });
        }
        self.unreached.push_back(told);
    }
}
