//! Replica as a process knows it, and the changes in its availability.

use super::record::{Record, RecordState, Update};
use crate::name::Name;
use crate::time::Moment;

/// Availability of a replica for work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The replica takes work.
    Ready,
    /// Another writer replaced the record; the replica takes no work until it writes the record again.
    Unusable,
    /// The record expired right after a store outage; the replica takes work until the given time.
    Expired(Moment),
    /// The replica is draining or gone and takes no new work.
    Gone,
}

/// Replica with its availability.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Latest record of the replica.
    pub record: Record,
    /// Availability for work.
    pub availability: Availability,
    /// Offset of the latest record change, including heartbeats.
    pub(super) offset: u64,
    /// Offset of the latest effective change; heartbeats rewrite unchanged records.
    pub(super) changed_offset: u64,
    /// Whether the record exists in the store.
    pub(super) has_record: bool,
    /// End of the period in which the replica accepts fewer requests.
    pub(super) cold_until: Moment,
}

impl Replica {
    /// Returns whether the replica takes new work, regardless of evacuations.
    pub fn takes_work(&self) -> bool {
        matches!(self.availability, Availability::Ready | Availability::Expired(_))
    }

    /// Returns whether the replica is gone because its record was removed.
    pub(super) fn is_removed(&self) -> bool {
        self.availability == Availability::Gone && !self.has_record
    }

    /// Returns the latest write, which may be a heartbeat, in the form sent to peers at `now`.
    pub(super) fn to_last_write(&self, now: Moment) -> Update {
        Update { offset: self.offset, ..self.to_update(now) }
    }

    /// Returns the latest effective change in the form sent to peers at `now`.
    pub(super) fn to_update(&self, now: Moment) -> Update {
        let state = match (self.has_record, self.availability) {
            (true, Availability::Unusable) => RecordState::Unusable(self.record.id.clone()),
            (true, _) => {
                RecordState::Present(Record { cold_remaining: self.cold_until.since(now), ..self.record.clone() })
            }
            (false, _) => RecordState::Removed(self.record.id.clone()),
        };
        Update { offset: self.changed_offset, state }
    }
}

/// Change in the availability of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Identity of the replica.
    pub id: Name,
    /// New availability.
    pub availability: Availability,
    /// Whether the replica has restarted, so that its requests and its memory contents are lost.
    pub has_restarted: bool,
    /// Whether the replica is cold and accepts fewer requests.
    pub is_cold: bool,
}

impl Change {
    pub(super) fn of(id: &Name, availability: Availability) -> Self {
        Self { id: id.clone(), availability, has_restarted: false, is_cold: false }
    }
}
