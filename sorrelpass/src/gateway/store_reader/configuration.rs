//! Reads the configuration's topic of the store.

use std::rc::Rc;
use std::time::Duration;

use coord::delta::Version;
use coord::progress::Progress;
use eyre::{Result, eyre};
use platform::configuration;

use super::super::ingest::ApplyOutcome;
use super::super::state::Gateway;
use super::super::topic_reader::{LogRead, MIN_RETRY_DELAY, TopicReader};
use super::super::{delegates, ingest};
use super::{long_poll_timeout, max_configuration_age};

/// Keeps the routing table up to date until the process ends.
pub async fn poll(gateway: Rc<Gateway>) {
    let mut reader = TopicReader::new(&gateway, configuration::TOPIC);
    let mut progress = Progress::default();
    loop {
        let max_age = max_configuration_age(&gateway.bounds());
        let first_read_by = gateway.first_read_due_at();
        gateway
            .store_view
            .wait_until_read_due(&gateway.store_view.configuration, max_age, first_read_by, || gateway.has_reader())
            .await;
        let outcome = read_configuration(&gateway, &mut reader, &mut progress).await;
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

/// Reads and applies the new records of the configuration's topic, or a part of them. The copy is verified once it holds
/// all of them, unless the newest configuration cannot be decoded or is missing.
async fn read_configuration(gateway: &Gateway, reader: &mut TopicReader, progress: &mut Progress) -> Result<()> {
    let (topic, position) = (&gateway.store_view.configuration, &gateway.store_view.configuration_position);
    // A copy that is too old for followers must be verified at once, so this read is no long poll.
    let is_stale =
        topic.is_read_requested() || topic.time_until_stale(max_configuration_age(&gateway.bounds())).is_zero();
    let poll_timeout = if is_stale { Duration::ZERO } else { long_poll_timeout(&gateway.bounds()) };
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
    let answer = batch.answer;
    gateway.observe_era(answer.next());
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
    position.advance_to(answer.next());
    let verification = progress.record(answer, position.next_offset().unwrap_or_default());
    if gateway.table().version() == 0 {
        tokio::time::sleep(MIN_RETRY_DELAY).await;
    } else if let Some(verification) = verification {
        topic.mark_verified(verification);
    }
    Ok(())
}
