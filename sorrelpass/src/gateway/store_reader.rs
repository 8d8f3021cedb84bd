//! Reads the configuration and the replicas' records from the store.
//!
//! A follower gets both from its leader (see [`super::store_view`]), and reads the store itself only when the
//! leader's data are too old.

use std::rc::Rc;
use std::time::Duration;

use coord::delta::Version;
use coord::roster::{Transfer, Update};
use coord::time::Moment;
use eyre::{Result, eyre};
use platform::store::KeyedRecord;
use platform::{configuration, replica};

use super::ingest::{ApplyOutcome, STORE_RECOVERY_GRACE, Source};
use super::state::Gateway;
use super::topic_reader::{LogRead, MIN_RETRY_DELAY, TopicReader};
use super::{delegates, ingest, now};
use crate::config::Bounds;
use crate::warn_event;

/// Share of the `revoke` bound for which the store holds a long poll of the configuration if nothing changes. When
/// the poll is answered, the verification is as old as the poll, and it must stay valid until the next poll is
/// answered.
const LONG_POLL_REVOKE_SHARE: f64 = 0.15;
/// Share of the bound within which a configuration must be in force for which the store holds a long poll. Twice this
/// time plus the interval between two requests for changes stays below [`MAX_AGE_APPLY_SHARE`], so that the follower
/// of a leader that reaches the store never reads the configuration itself.
const LONG_POLL_APPLY_SHARE: f64 = 0.22;
/// Share of the `revoke` bound after which a follower reads the configuration itself: three times the duration of a
/// long poll, since a verification is up to two long polls old before the next one arrives.
const MAX_AGE_REVOKE_SHARE: f64 = 3.0 * LONG_POLL_REVOKE_SHARE;
/// Share of the bound within which a configuration must be in force, after which a follower reads the configuration
/// itself. The remainder covers the read, the clock drift and the network delay. This read is needed because a leader
/// that is cut off from the store may still be connected to its followers.
const MAX_AGE_APPLY_SHARE: f64 = 0.6;
/// Number of reads of the replicas' records within the `drain` bound, after which a draining replica must get no
/// requests.
const REPLICA_READS_PER_DRAIN_BOUND: u32 = 4;
/// Bounds the length of a logged decoding error, in characters.
const MAX_LOGGED_ERROR_CHARS: usize = 120;
/// Share of the `drain` bound after which a follower reads the replicas' records itself.
const MAX_AGE_DRAIN_SHARE: f64 = 0.5;

/// Returns how long the store holds a long poll of the configuration.
fn long_poll_timeout(bounds: &Bounds) -> Duration {
    bounds.revoke.mul_f64(LONG_POLL_REVOKE_SHARE).min(bounds.propagation().mul_f64(LONG_POLL_APPLY_SHARE))
}

/// Returns the age at which a leader's configuration is too old, so that its follower reads the store.
fn max_configuration_age(bounds: &Bounds) -> Duration {
    bounds.revoke.mul_f64(MAX_AGE_REVOKE_SHARE).min(bounds.propagation().mul_f64(MAX_AGE_APPLY_SHARE))
}

/// Returns the age at which a leader's replica records are too old, so that its follower reads the store.
fn max_replicas_age(bounds: &Bounds) -> Duration {
    bounds.drain.mul_f64(MAX_AGE_DRAIN_SHARE)
}

/// Returns the interval between two reads of the replicas' records.
pub fn replicas_read_interval(bounds: &Bounds) -> Duration {
    bounds.drain / REPLICA_READS_PER_DRAIN_BOUND
}

/// Returns whether this entry's copy of the store is so old that a follower would read the store itself.
pub fn is_store_view_stale(gateway: &Gateway) -> bool {
    let max_age = max_configuration_age(&gateway.bounds());
    !are_replicas_fresh(gateway) || !gateway.store_view.configuration.is_verified_within(max_age)
}

/// Returns whether the copy of the replicas' records was verified recently, by a read here or at another entry.
pub fn are_replicas_fresh(gateway: &Gateway) -> bool {
    gateway.store_view.replicas.is_verified_within(max_replicas_age(&gateway.bounds()))
}

/// Waits until this entry must read the replicas' records itself: no other entry reads them for this one, or the copy
/// is too old. Before the first copy, waits until `first_read_by` at most.
pub async fn wait_until_replica_read_due(gateway: &Gateway, first_read_by: Moment) {
    let max_age = max_replicas_age(&gateway.bounds());
    gateway
        .store_view
        .wait_until_read_due(&gateway.store_view.replicas, max_age, first_read_by, || gateway.has_reader())
        .await;
}

/// Keeps the routing table up to date until the process ends.
pub async fn poll_configuration(gateway: Rc<Gateway>) {
    let mut reader = TopicReader::new(&gateway, configuration::TOPIC);
    loop {
        let max_age = max_configuration_age(&gateway.bounds());
        let first_read_by = gateway.first_read_due_at();
        gateway
            .store_view
            .wait_until_read_due(&gateway.store_view.configuration, max_age, first_read_by, || gateway.has_reader())
            .await;
        let outcome = read_configuration(&gateway, &mut reader).await;
        if reader.record_outcome(&outcome) {
            // The store has recovered, so the replicas' records can be read again too.
            gateway.store_view.wake_readers();
        }
        if outcome.is_err() {
            gateway.store_view.configuration.set_read_requested(false);
            delegates::delegate(&gateway);
            reader.back_off(&gateway, &gateway.store_view.configuration).await;
        }
    }
}

/// Reads and applies the new records of the configuration's topic. Marks the copy as verified unless the newest
/// configuration cannot be decoded or is missing.
async fn read_configuration(gateway: &Gateway, reader: &mut TopicReader) -> Result<()> {
    let (topic, position) = (&gateway.store_view.configuration, &gateway.store_view.configuration_position);
    // A copy that is too old for followers must be verified at once, so this read is no long poll.
    let is_stale =
        topic.is_read_requested() || topic.time_until_stale(max_configuration_age(&gateway.bounds())).is_zero();
    let poll_timeout = if is_stale { Duration::ZERO } else { long_poll_timeout(&gateway.bounds()) };
    let sent_at = now();
    let is_snapshot = position.next_offset().is_none();
    let batch = match position.next_offset() {
        None => reader.read_snapshot().await?,
        Some(from) => match reader.read_from(from, poll_timeout).await? {
            LogRead::Records(batch) => batch,
            LogRead::Lost => {
                position.reset();
                return Ok(());
            }
            LogRead::Outdated => return Ok(()),
        },
    };
    gateway.observe_era(batch.next_offset);
    ingest::apply_evacuation_records(gateway, &batch, is_snapshot);
    // Only the outcome of the newest configuration counts, because it replaces earlier ones that cannot be decoded. A
    // snapshot without a configuration counts as older than any configuration.
    let mut newest =
        if is_snapshot && gateway.table().version() > 0 { ApplyOutcome::Outdated } else { ApplyOutcome::InForce };
    for record in batch.records.into_iter().filter(|record| &*record.key == configuration::KEY) {
        let Some(value) = record.value else { continue };
        newest = ingest::apply_configuration(gateway, Version { offset: record.offset, value });
    }
    match newest {
        // The read position stays before this record, so that it is read again until it can be decoded: a read after
        // it would verify the older configuration that is still in force.
        ApplyOutcome::Undecodable => {
            return Err(eyre!("step=decode-configuration peer=store: the newest configuration cannot be decoded"));
        }
        // The store lost the configuration in force, and may have lost newer ones, until operators write the newest
        // again.
        ApplyOutcome::Outdated if is_snapshot => {
            return Err(eyre!(
                "step=read-configuration peer=store: the newest configuration in the store is older than the one in force"
            ));
        }
        ApplyOutcome::Outdated | ApplyOutcome::InForce => {}
    }
    gateway.store_view.advance_configuration_to(batch.next_offset);
    if gateway.table().version() == 0 {
        tokio::time::sleep(MIN_RETRY_DELAY).await;
    } else {
        topic.mark_verified(sent_at);
    }
    Ok(())
}

/// Keeps the known replicas up to date until the process ends.
pub async fn poll_replicas(gateway: Rc<Gateway>) {
    let mut reader =
        ReplicaReader { topic: TopicReader::new(&gateway, replica::TOPIC), lost_at: None, has_just_lost_log: false };
    loop {
        let interval = replicas_read_interval(&gateway.bounds());
        wait_until_replica_read_due(&gateway, gateway.first_read_due_at()).await;
        let outcome = reader.read(&gateway).await;
        reader.topic.record_outcome(&outcome);
        ingest::expire_records(&gateway, Source::Store);
        if outcome.is_err() {
            gateway.store_view.replicas.set_read_requested(false);
            delegates::delegate(&gateway);
            reader.topic.back_off(&gateway, &gateway.store_view.replicas).await;
        } else if !reader.has_just_lost_log {
            gateway.store_view.sleep_until_woken(interval).await;
        }
    }
}

/// Reads the replicas' records. The position in their log is the end of the roster, which other entries advance too.
struct ReplicaReader {
    topic: TopicReader,
    /// Offset to which the log did not reach back at the last read.
    lost_at: Option<u64>,
    /// Whether the last read showed that, so that the snapshot is read without a pause.
    has_just_lost_log: bool,
}

impl ReplicaReader {
    /// Returns whether the log cannot be read from the offset `end`, so that a snapshot must be read.
    fn needs_snapshot(&self, end: u64) -> bool {
        end == 0 || self.lost_at.is_some_and(|lost_at| end <= lost_at)
    }

    /// Reads and applies the new replica records, or a snapshot if the log does not reach back to the copy's end.
    async fn read(&mut self, gateway: &Gateway) -> Result<()> {
        self.has_just_lost_log = false;
        let from = gateway.roster.borrow().end();
        if self.needs_snapshot(from) {
            return self.read_snapshot(gateway).await;
        }
        let sent_at = now();
        let outcome = self.topic.read_from(from, Duration::ZERO).await?;
        start_recovery_grace(gateway, &self.topic);
        match outcome {
            LogRead::Records(batch) => {
                gateway.observe_era(batch.next_offset);
                let updates = decode_updates(gateway, &batch.records);
                ingest::apply_transfer(gateway, Transfer::of_log(from, batch.next_offset, updates), Source::Store)?;
                gateway.store_view.replicas.mark_verified(sent_at);
            }
            LogRead::Lost => {
                self.lost_at = Some(from);
                self.has_just_lost_log = true;
            }
            LogRead::Outdated => {}
        }
        Ok(())
    }

    /// Reads and applies a snapshot of all replica records.
    async fn read_snapshot(&mut self, gateway: &Gateway) -> Result<()> {
        let sent_at = now();
        let snapshot = self.topic.read_snapshot().await?;
        let newest = decode_updates(gateway, &snapshot.records);
        start_recovery_grace(gateway, &self.topic);
        gateway.observe_era(snapshot.next_offset);
        ingest::apply_transfer(gateway, Transfer::of_newest(snapshot.next_offset, newest), Source::Store)?;
        gateway.store_view.replicas.mark_verified(sent_at);
        Ok(())
    }
}

/// Starts the grace period for missing records at the first response after an outage of the store: records may have
/// expired only because their replicas could not renew them. There was no outage if the copy is fresh, because the
/// store then still answered another entry.
fn start_recovery_grace(gateway: &Gateway, reader: &TopicReader) {
    if reader.is_failing() && !are_replicas_fresh(gateway) {
        gateway.roster.borrow_mut().record_store_recovery(now(), STORE_RECOVERY_GRACE);
    }
}

/// Decodes replica records. Logs the error of a record that cannot be decoded only if its replica accepted work until
/// now.
fn decode_updates(gateway: &Gateway, records: &[KeyedRecord]) -> Vec<Update> {
    let mut updates = Vec::with_capacity(records.len());
    for record in records {
        let replica::DecodedRecord { state, error } = replica::decode(record);
        if let Some(error) = error.filter(|_| ingest::accepts_work(gateway, &record.key)) {
            let error: String = error.chars().take(MAX_LOGGED_ERROR_CHARS).collect();
            warn_event!("replica-record", peer = %record.key, offset = record.offset, fault = %error);
        }
        updates.push(Update { offset: record.offset, state });
    }
    updates
}
