//! Single records of a log, applied to a roster and read from it.
#![allow(dead_code)]

use coord::offset;
use coord::roster::{Change, RecordState, Request, Roster, Transfer, Update};
use coord::time::Moment;

/// Applies and returns parts of a log in which all other records are unchanged.
pub trait LogRecords {
    /// Applies one record of the log.
    fn apply(&mut self, offset: u64, state: RecordState, now: Moment) -> Option<Change>;
    /// Applies the newest records, read while the log ended at `end`.
    fn apply_snapshot(&mut self, end: u64, newest: Vec<Update>, now: Moment) -> Vec<Change>;
    /// Returns the updates for a process whose roster ends at `from`.
    fn updates_since(&self, from: u64, now: Moment) -> Vec<Update>;
}

impl LogRecords for Roster {
    fn apply(&mut self, offset: u64, state: RecordState, now: Moment) -> Option<Change> {
        let era_start = offset::encode(offset::era(offset), 0);
        let transfer = Transfer::of_log(era_start, offset + 1, vec![Update { offset, state }]);
        self.apply_transfer(transfer, now).expect("no record is missing").pop()
    }

    fn apply_snapshot(&mut self, end: u64, newest: Vec<Update>, now: Moment) -> Vec<Change> {
        self.apply_transfer(Transfer::of_newest(end, newest), now).expect("a snapshot leaves no gap")
    }

    fn updates_since(&self, from: u64, now: Moment) -> Vec<Update> {
        self.transfer_for(&Request { end: from, doubtful: Vec::new() }, now).updates
    }
}
