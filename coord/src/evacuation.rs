//! Failure domains that operators evacuated. Replicas in an evacuated domain get no new work until the operator ends
//! the evacuation.
//!
//! Evacuations are recorded in a log. A process that reads the log has applied all records below an offset; a process
//! that receives them from a peer gets the peer's full [`Snapshot`]. The snapshot with the higher offset wins, so that
//! late messages never undo newer ones, whichever way they arrive. A log recovered from an older copy of itself may
//! have lost records: domains missing from it stay evacuated for a grace period in which operators can repeat the
//! evacuation.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::offset;
use crate::time::Moment;

/// Content of one log record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The evacuation of a failure domain started.
    Started(Name),
    /// The evacuation ended; the domain's replicas may be used again.
    Ended(Name),
}

/// Snapshot of the evacuated failure domains at one log offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Offset of the next log record; all records below it are applied.
    pub next: u64,
    /// Names of the evacuated failure domains.
    pub domains: BTreeSet<Name>,
}

/// Evacuations that this process has recorded.
#[derive(Debug, Default)]
pub struct Evacuations {
    snapshot: Snapshot,
    /// Domains that were evacuated before the log was recovered and are missing from the recovered log.
    missing: BTreeSet<Name>,
    /// End of the grace period of the missing domains.
    missing_until: Moment,
}

impl Evacuations {
    /// Applies the record at `offset` and returns whether the set of evacuated domains changed. Records that are
    /// already applied are ignored.
    pub fn apply(&mut self, offset: u64, event: Event) -> bool {
        if offset < self.snapshot.next {
            return false;
        }
        self.snapshot.next = offset + 1;
        match event {
            Event::Started(domain) => {
                self.missing.remove(&domain);
                self.snapshot.domains.insert(domain)
            }
            Event::Ended(domain) => {
                self.missing.remove(&domain);
                self.snapshot.domains.remove(&domain)
            }
        }
    }

    /// Applies a full snapshot unless it is older than the current one, and returns whether the set of evacuated
    /// domains changed. Domains that a recovered log has lost stay evacuated until `grace_until`.
    pub fn apply_snapshot(&mut self, mut snapshot: Snapshot, grace_until: Moment) -> bool {
        if snapshot.next < self.snapshot.next {
            return false;
        }
        if offset::era(snapshot.next) > offset::era(self.snapshot.next) {
            self.missing = self.snapshot.domains.difference(&snapshot.domains).cloned().collect();
            self.missing_until = grace_until;
        }
        // Domains in the snapshot are no longer missing.
        self.missing.retain(|domain| !snapshot.domains.contains(domain));
        snapshot.domains.extend(self.missing.iter().cloned());
        let changed = snapshot.domains != self.snapshot.domains;
        self.snapshot = snapshot;
        changed
    }

    /// Drops the missing domains once their grace period is over, and returns whether the set of evacuated domains
    /// changed.
    pub fn expire(&mut self, now: Moment) -> bool {
        if now < self.missing_until {
            return false;
        }
        let missing = std::mem::take(&mut self.missing);
        let count_before = self.snapshot.domains.len();
        self.snapshot.domains.retain(|domain| !missing.contains(domain));
        self.snapshot.domains.len() < count_before
    }

    /// Returns a snapshot of the evacuated domains.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }
}
