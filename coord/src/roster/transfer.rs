//! Replica records that pass from the store or from one process to another, and how much of the log they cover.
//!
//! A process asks another one for the changes from its own position on. The answer is correct only if the sender saw
//! every change from that position on: a replica whose record came and went in a part of the log that the sender
//! skipped is unknown to the sender, and the receiver would use it forever. Therefore the extent of a transfer cannot
//! be stated freely. It is derived from what its sender read, and the receiver's own coverage follows from the
//! transfers that it applied.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::record::Update;
use crate::name::Name;
use crate::offset::{self, Formatted};

/// Request of a process for the updates that it lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Offset after the newest record that the requester's roster reflects, or 0 if it has read none.
    pub end: u64,
    /// Removed replicas of which a recovered log has a record. Unchanged heartbeats are not sent otherwise, and only a
    /// later write shows that such a replica is alive.
    pub doubtful: Vec<Name>,
}

/// Part of the log that a list of updates covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extent {
    /// Offset from which on the sender saw every change.
    start: u64,
    /// Offset after the newest record that is covered.
    end: u64,
    /// What the updates are.
    content: Content,
}

/// Content of a list of updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Content {
    /// All records of the log, heartbeats included.
    Log,
    /// The newest state of each replica that has changed.
    Changes,
    /// The newest record of each replica. A replica that is not among them has none.
    Snapshot,
}

impl Extent {
    /// Offset after the newest record that is covered.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Returns whether a replica that is not among the updates has no record.
    pub fn is_snapshot(&self) -> bool {
        self.content == Content::Snapshot
    }

    /// Returns whether the updates are all records of the log, heartbeats included.
    pub(super) fn is_log(&self) -> bool {
        self.content == Content::Log
    }

    /// Offset from which on the sender saw every change.
    pub(super) fn start(&self) -> u64 {
        self.start
    }
}

/// Updates of replicas, and the part of the log that they cover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Part of the log that is covered.
    pub extent: Extent,
    /// Updates in that part.
    pub updates: Vec<Update>,
    /// Replicas without an update of which the sender does not know whether they are alive.
    pub doubtful: Vec<Name>,
}

impl Transfer {
    /// Returns the records that were read from the log, without a gap, from the offset `from` to the offset `end`.
    pub fn of_log(from: u64, end: u64, updates: Vec<Update>) -> Self {
        Self { extent: Extent { start: from, end, content: Content::Log }, updates, doubtful: Vec::new() }
    }

    /// Returns the newest record of each replica, read while the log ended at `end` or later.
    pub fn of_newest(end: u64, updates: Vec<Update>) -> Self {
        Self { extent: Extent { start: end, end, content: Content::Snapshot }, updates, doubtful: Vec::new() }
    }
}

/// Error of applying changes to a copy that ends before the first of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// Offset at which the changes start.
    pub from: u64,
    /// Offset at which the copy ends.
    pub copy_end: u64,
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, copy_end) = (Formatted(self.from), Formatted(self.copy_end));
        write!(f, "step=apply-changes: the changes start at offset {from}, but the copy ends at {copy_end}")
    }
}

impl std::error::Error for Gap {}

/// Part of the log that a process's copy reflects. The copy of a process that has read nothing reflects an empty part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Coverage {
    /// Offset from which on this process saw every change. Of the log before it, only the newest records are known.
    start: u64,
    /// Offset after the newest record that the copy reflects.
    end: u64,
}

impl Coverage {
    /// Offset from which on this process saw every change.
    pub(super) fn start(self) -> u64 {
        self.start
    }

    /// Offset after the newest record that the copy reflects.
    pub(super) fn end(self) -> u64 {
        self.end
    }

    /// Returns the extent of a transfer to a process whose copy ends at `receiver_end`.
    pub(super) fn extent_for(self, receiver_end: u64) -> Extent {
        if receiver_end > 0 && receiver_end >= self.start {
            return Extent { start: receiver_end.min(self.end), end: self.end, content: Content::Changes };
        }
        Extent { start: self.start, end: self.end, content: Content::Snapshot }
    }

    /// Returns the coverage after a transfer with this extent. Changes extend the part of which every change is known.
    /// A snapshot starts that part anew, since replicas may have come and gone unseen before it.
    pub(super) fn after(self, extent: Extent) -> Result<Self, Gap> {
        if extent.is_snapshot() {
            return Ok(if extent.end > self.end { Self { start: extent.end, end: extent.end } } else { self });
        }
        // A log that was recovered from an older copy assigns its offsets again, so no changes span a recovery.
        if extent.start > self.end || offset::era(extent.start) != offset::era(extent.end) {
            return Err(Gap { from: extent.start, copy_end: self.end });
        }
        Ok(Self { end: self.end.max(extent.end), ..self })
    }
}
