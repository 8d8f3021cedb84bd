//! Applies and distributes the information, sent by replicas in their responses, that they are draining.
//!
//! The record of a replica may show too late that it is draining, because the store may be down or cut off from the
//! replica. The entry that received the response therefore distributes the information to all other entries via the
//! leader.

use coord::roster::{DrainingRun, Record};
use platform::headers;

use super::ingest;
use super::peer_protocol::{FollowerMessage, LeaderMessage};
use super::quarantine::Source;
use super::state::Gateway;
use crate::{event, metric};

/// Bounds the number of draining runs of replicas in one message. Each takes some 30 bytes, so a message stays below
/// 32 KB.
const MAX_RUNS_PER_MESSAGE: usize = 512;

/// Applies a replica's report that it is draining, if the head of its response contains one.
pub fn observe_response(gateway: &Gateway, record: &Record, response: &headers::ResponseHead) {
    if !response.is_draining {
        return;
    }
    let for_itself = response.is_authoritative();
    event!("replica-draining", peer = %record.id, for_itself);
    metric::record_draining_response();
    if for_itself {
        apply_updates(gateway, vec![DrainingRun { id: record.id.clone(), started_ms: record.started_ms }], Source::Own);
    }
}

/// Marks runs of replicas as draining, and distributes those that were not marked before.
pub fn apply_updates(gateway: &Gateway, runs: Vec<DrainingRun>, source: Source) {
    let origin = match source {
        Source::Own => ingest::Source::Response,
        Source::Leader | Source::Follower => ingest::Source::Peer,
    };
    let new_runs = ingest::apply_draining_runs(gateway, runs, origin);
    if new_runs.is_empty() {
        return;
    }
    gateway.admission.propagate(new_runs, source, FollowerMessage::Draining, LeaderMessage::Draining);
}

/// Returns all known draining runs of replicas in messages for an entry that has just connected.
pub fn sync_messages(gateway: &Gateway) -> Vec<Vec<DrainingRun>> {
    let runs: Vec<DrainingRun> = gateway.roster.borrow().draining_runs().collect();
    runs.chunks(MAX_RUNS_PER_MESSAGE).map(<[DrainingRun]>::to_vec).collect()
}
