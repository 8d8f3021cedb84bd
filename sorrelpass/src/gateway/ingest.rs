//! Applies what was read from the store, here or by another entry: configurations, evacuations and replica records.

use std::time::Duration;

use coord::delta::Version;
use coord::evacuation::{Event, Snapshot};
use coord::offset::Formatted;
use coord::planner::Reason;
use coord::roster::{Availability, Change, DrainingRun, Gap, Replica, Transfer};
use platform::{configuration, evacuation};

use super::now;
use super::state::Gateway;
use super::topic_reader::RecordBatch;
use crate::{debug_event, event, metric, warn_event};

/// `retry-after` of requests to a service all of whose replicas are in evacuated failure domains. Operators need at
/// least some seconds to end an evacuation.
pub const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Time after a recovery of the store within which each live writer that reaches the store has written its record
/// again.
pub const STORE_RECOVERY_GRACE: Duration = Duration::from_secs(2);

/// Outcome of applying a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The configuration is in force.
    InForce,
    /// The configuration is older than the one in force, which stays.
    Outdated,
    /// The configuration cannot be decoded; the one in force stays.
    Undecodable,
}

/// Puts a configuration in force unless a newer one already is.
pub fn apply_configuration(gateway: &Gateway, document: Version) -> ApplyOutcome {
    let offset = Formatted(document.offset);
    match configuration::decode(&document.value) {
        Ok(table) => {
            let (version, (routes, services, keys)) = (table.version(), table.counts());
            let taken = gateway.replace_table(table);
            gateway.refresh_engines();
            event!("configuration", version, routes, services, keys, offset = %offset, taken);
            if taken {
                log_delay_faults(gateway);
            }
            if version < gateway.table().version() {
                return ApplyOutcome::Outdated;
            }
            // After a restore of the store, operators write the configuration in force again. An entry that started on
            // the restored store has an older one, and lacks the new record rather than the first one.
            gateway.store_view.cache_configuration(document);
            ApplyOutcome::InForce
        }
        Err(error) => {
            warn_event!("configuration", offset = %offset, error = %format!("{error:#}"));
            ApplyOutcome::Undecodable
        }
    }
}

/// Logs the faults in the configured delays between failure domains.
fn log_delay_faults(gateway: &Gateway) {
    for service in gateway.table().services() {
        for fault in service.distances.faults() {
            warn_event!("configuration", service = %service.name, error = %fault);
        }
    }
}

/// Applies the operators' evacuation records in `batch`. `is_snapshot` says that the batch holds the newest record of
/// every key, so that a failure domain without a record is not evacuated.
pub fn apply_evacuation_records(gateway: &Gateway, batch: &RecordBatch, is_snapshot: bool) {
    let mut register = gateway.evacuations.borrow_mut();
    let records = batch.records.iter().filter_map(|record| Some((record.offset, evacuation::decode(record)?)));
    let has_changed = if is_snapshot {
        let evacuated =
            records.filter_map(|(_, event)| if let Event::Started(domain) = event { Some(domain) } else { None });
        register.apply_snapshot(
            Snapshot { next: batch.answer.next(), domains: evacuated.collect() },
            now() + STORE_RECOVERY_GRACE,
        )
    } else {
        records.fold(false, |has_changed, (offset, event)| register.apply(offset, event) || has_changed)
    };
    drop(register);
    if has_changed {
        enforce_evacuations(gateway);
    }
}

/// Applies the set of evacuated failure domains that another entry sent.
pub fn apply_evacuation_snapshot(gateway: &Gateway, snapshot: Snapshot) {
    if gateway.evacuations.borrow_mut().apply_snapshot(snapshot, now() + STORE_RECOVERY_GRACE) {
        enforce_evacuations(gateway);
    }
}

/// Excludes the replicas in evacuated failure domains from new work. Refuses the prompts that wait for a service all of
/// whose replicas are excluded.
fn enforce_evacuations(gateway: &Gateway) {
    let domains = gateway.evacuations.borrow().snapshot().domains.clone();
    event!("evacuations", emptied = domains.iter().map(|domain| &**domain).collect::<Vec<_>>().join(","));
    metric::set_evacuated_domains(&domains);
    gateway.roster.borrow_mut().set_evacuated(domains, now());
    gateway.refresh_engines();
    for service in gateway.table().services() {
        if gateway.roster.borrow().is_evacuated(&service.name) {
            gateway.admission.refuse_all(&service.name, Reason::Evacuated, EVACUATED_RETRY_AFTER);
        }
    }
}

/// Returns whether a replica is known and accepts new work. Evacuations are not considered.
pub fn accepts_work(gateway: &Gateway, id: &str) -> bool {
    gateway.roster.borrow().get(id).is_some_and(Replica::takes_work)
}

/// Origin of an update about replicas, or of a verification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This entry read the update from the store.
    Store,
    /// Another entry sent the update. The entry that received the update first logged a line for each change.
    Peer,
    /// The replica reported the update itself, in a response to this entry.
    Response,
}

impl Source {
    /// Returns the name of the origin in log lines.
    const fn as_str(self) -> &'static str {
        match self {
            Source::Store => "store",
            Source::Peer => "peer",
            Source::Response => "response",
        }
    }
}

/// Applies replica updates that were read from the store or sent by another entry. Fails, and applies nothing, if
/// changes are missing between this entry's copy and the updates.
pub fn apply_transfer(gateway: &Gateway, transfer: Transfer, source: Source) -> Result<(), Gap> {
    let extent = transfer.extent;
    let mut roster = gateway.roster.borrow_mut();
    let end_before = roster.end();
    let changes = roster.apply_transfer(transfer, now())?;
    drop(roster);
    if extent.is_snapshot() {
        let (end, end_before) = (Formatted(extent.end()), Formatted(end_before));
        event!("replica-snapshot", source = source.as_str(), end = %end, before = %end_before);
    }
    // One call for all changes: each call rebuilds the lists of engines, which takes longer the more engines there are.
    publish_changes(gateway, &changes, source);
    Ok(())
}

/// Removes replicas and evacuations whose records the store lost and that were not written again within the grace
/// period.
pub fn expire_records(gateway: &Gateway, source: Source) {
    if gateway.evacuations.borrow_mut().expire(now()) {
        enforce_evacuations(gateway);
    }
    let changes = gateway.roster.borrow_mut().expire(now());
    publish_changes(gateway, &changes, source);
}

/// Marks runs of replicas that reported that they are draining. Returns those that were not marked before.
pub fn apply_draining_runs(gateway: &Gateway, runs: Vec<DrainingRun>, source: Source) -> Vec<DrainingRun> {
    let mut roster = gateway.roster.borrow_mut();
    let new_runs: Vec<DrainingRun> = runs.into_iter().filter(|run| !roster.has_draining_run(run)).collect();
    let changes: Vec<Change> = new_runs.iter().cloned().filter_map(|run| roster.mark_draining(run)).collect();
    drop(roster);
    publish_changes(gateway, &changes, source);
    new_runs
}

/// Logs changes of replicas, discards the state of replicas that ended, and refreshes the lists of engines. Changes
/// that another entry sent share one line: a line for each replica at each entry would be too many to read or to
/// store.
fn publish_changes(gateway: &Gateway, changes: &[Change], source: Source) {
    if source == Source::Peer && !changes.is_empty() {
        let ready = changes.iter().filter(|change| change.availability == Availability::Ready).count();
        event!("replicas", changed = changes.len(), ready);
    }
    for change in changes {
        let availability = match change.availability {
            Availability::Ready => "ready",
            Availability::Unusable => "unusable",
            Availability::Expired(_) => "lapsed",
            Availability::Gone => "gone",
        };
        match source {
            Source::Store | Source::Response => event!("replica", peer = %change.id, standing = availability),
            Source::Peer => debug_event!("replica", peer = %change.id, standing = availability),
        }
        if change.is_cold {
            event!("replica-cold", peer = %change.id);
        }
        if change.availability == Availability::Gone {
            gateway.limits.forget(&change.id);
            gateway.backoffs.forget(&change.id);
        }
        if change.has_restarted {
            event!("replica-restarted", peer = %change.id);
            gateway.reset_replica(&change.id);
        }
    }
    if !changes.is_empty() {
        gateway.refresh_engines();
    }
}
