//! Records of replicas in the store, and their states at an offset.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Replica as described by its record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identity of the replica. It can survive a restart; `started_ms` then distinguishes the runs.
    pub id: Name,
    /// Start time of the run in Unix milliseconds, if the record states it.
    pub started_ms: Option<u64>,
    /// Service that the replica belongs to.
    pub service: Name,
    /// Listen address, `ip:port`.
    pub address: Name,
    /// Failure domain of the replica.
    pub failure_domain: Name,
    /// Number of requests that the replica runs concurrently.
    pub slots: u32,
    /// Whether the replica announced its end.
    pub leaving: bool,
    /// Remaining time, when the record was written, during which the replica is cold and accepts fewer requests.
    pub cold_remaining: Duration,
}

/// State of a replica's record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// The record is present.
    Present(Record),
    /// The record was removed.
    Removed(Name),
    /// The record was not written by the replica itself, so the replica must not be used.
    Unusable(Name),
}

impl RecordState {
    /// Returns the identity of the replica.
    pub fn id(&self) -> &Name {
        match self {
            RecordState::Present(record) => &record.id,
            RecordState::Removed(id) | RecordState::Unusable(id) => id,
        }
    }
}

/// State of a replica's record at a store offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Store offset of the record's latest change.
    pub offset: u64,
    /// State of the record at the offset.
    pub state: RecordState,
}

/// Run of a replica that is draining, as stated by the replica itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainingRun {
    /// Identity of the replica.
    pub id: Name,
    /// Start time of the run in Unix milliseconds, if known.
    pub started_ms: Option<u64>,
}
