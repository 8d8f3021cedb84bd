//! Reads the configuration's topic of the store.

use std::rc::Rc;
use std::time::Duration;

use coord::delta::Version;
use coord::progress::{Answer, Progress};
use eyre::{Result, eyre};
use platform::configuration;
use platform::store::KeyedRecord;

use super::super::ingest::{ApplyOutcome, Source};
use super::super::state::Gateway;
use super::super::topic_reader::{LogRead, MIN_RETRY_DELAY, RecordBatch, TopicReader};
use super::super::{delegates, ingest};
use super::{long_poll_timeout, max_configuration_age};

/// Keeps the routing table up to date until the process ends.
pub async fn poll(gateway: Rc<Gateway>) {
    let mut reader = ConfigurationReader {
        topic: TopicReader::new(&gateway, configuration::TOPIC),
        progress: Progress::default(),
        read_ahead_to: None,
        has_skipped: false,
    };
    loop {
        let max_age = max_configuration_age(&gateway.bounds());
        let first_read_by = gateway.first_read_due_at();
        gateway
            .store_view
            .wait_until_read_due(&gateway.store_view.configuration, max_age, first_read_by, || gateway.has_reader())
            .await;
        let outcome = reader.read(&gateway).await;
        if reader.topic.record_outcome(&outcome) {
            // The store has recovered, so the replicas' records can be read again too.
            gateway.store_view.wake_readers();
        }
        if outcome.is_err() {
            gateway.store_view.configuration.set_read_requested(false);
            delegates::delegate(&gateway);
            reader.topic.back_off(&gateway, &gateway.store_view.configuration).await;
        }
    }
}

/// Newest configuration of an answer.
struct Newest {
    offset: u64,
    outcome: ApplyOutcome,
}

/// Reads the configuration's topic. The position in its log is that of the copy, which other entries advance too.
struct ConfigurationReader {
    topic: TopicReader,
    progress: Progress,
    /// Offset up to which records were read behind the end of the copy. The copy ends at a configuration that cannot be
    /// decoded until a newer one is in force.
    read_ahead_to: Option<u64>,
    /// Whether the newest records were read in place of the rest of the log since the copy was last complete.
    has_skipped: bool,
}

impl ConfigurationReader {
    /// Reads and applies the new records of the topic, or a part of them. The copy is verified once it holds all of them,
    /// unless the newest configuration cannot be decoded or is missing.
    async fn read(&mut self, gateway: &Gateway) -> Result<()> {
        let position = &gateway.store_view.configuration_position;
        let Some(copy_end) = position.next_offset() else { return self.read_snapshot(gateway).await };
        if self.should_skip(copy_end) {
            self.has_skipped = true;
            return self.read_snapshot(gateway).await;
        }
        // Another entry may have moved the copy on meanwhile.
        self.read_ahead_to = self.read_ahead_to.filter(|read_to| *read_to > copy_end);
        let from = self.read_ahead_to.unwrap_or(copy_end);
        match self.topic.read_from(from, poll_timeout(gateway)).await? {
            LogRead::Records(batch) => {
                self.apply(gateway, batch)?;
                wait_for_configuration(gateway).await;
            }
            LogRead::Lost => {
                self.read_ahead_to = None;
                position.reset();
            }
            LogRead::Outdated => {}
        }
        Ok(())
    }

    /// Returns whether the newest records are read in place of the rest of the log behind the copy's end. Only the newest
    /// configuration counts, and from a slow store the rest comes later. If they do not come in time either, the rest is
    /// read.
    fn should_skip(&self, copy_end: u64) -> bool {
        self.topic.is_slow() && self.progress.has_rest(copy_end) && !self.has_skipped
    }

    /// Applies records of the log.
    fn apply(&mut self, gateway: &Gateway, batch: RecordBatch) -> Result<()> {
        let position = &gateway.store_view.configuration_position;
        let answer = batch.answer;
        gateway.observe_era(answer.next());
        ingest::apply_evacuation_records(gateway, &batch, false);
        // Only the newest configuration counts, because it replaces earlier ones that cannot be decoded. It may be in a
        // later part of the log.
        match apply_configurations(gateway, batch.records) {
            Some(Newest { offset, outcome: ApplyOutcome::Undecodable }) => position.advance_to(offset),
            None if self.read_ahead_to.is_some() => {}
            Some(_) | None => position.advance_to(answer.next()),
        }
        let copy_end = position.next_offset().unwrap_or_default();
        self.read_ahead_to = Some(answer.next()).filter(|read_to| *read_to > copy_end);
        self.record(gateway, answer);
        if answer.is_part() || self.read_ahead_to.is_none() {
            return Ok(());
        }
        // The copy stays before this record, so that it is read again until it can be decoded: a copy that ends after it
        // would count as complete with the older configuration that is still in force.
        self.read_ahead_to = None;
        Err(undecodable_error())
    }

    /// Reads and applies the newest records of the topic.
    async fn read_snapshot(&mut self, gateway: &Gateway) -> Result<()> {
        let snapshot = self.topic.read_snapshot().await?;
        let answer = snapshot.answer;
        gateway.observe_era(answer.next());
        ingest::apply_evacuation_records(gateway, &snapshot, true);
        let newest = apply_configurations(gateway, snapshot.records).map(|newest| newest.outcome);
        match newest {
            Some(ApplyOutcome::Undecodable) => return Err(undecodable_error()),
            Some(ApplyOutcome::InForce) => {}
            None if gateway.table().version() == 0 => {}
            // The store lost the configuration in force, and may have lost newer ones, until operators write the newest
            // again.
            Some(ApplyOutcome::Outdated) | None => {
                return Err(eyre!(
                    "step=read-configuration peer=store: the newest configuration in the store is older than the one in force"
                ));
            }
        }
        gateway.store_view.configuration_position.advance_to(answer.next());
        self.record(gateway, answer);
        wait_for_configuration(gateway).await;
        Ok(())
    }

    /// Records an answer whose records were applied up to the end of the copy. The copy is verified once it reaches the
    /// end of the log.
    fn record(&mut self, gateway: &Gateway, answer: Answer) {
        let copy_end = gateway.store_view.configuration_position.next_offset().unwrap_or_default();
        let verification = self.progress.record(answer, copy_end);
        self.has_skipped &= verification.is_none();
        if let Some(verification) = verification.filter(|_| gateway.table().version() > 0) {
            gateway.store_view.configuration.mark_verified(verification, Source::Store);
        }
    }
}

/// Returns how long the store holds a read if nothing changes.
fn poll_timeout(gateway: &Gateway) -> Duration {
    let topic = &gateway.store_view.configuration;
    // A copy that is too old for followers must be verified at once, so this read is no long poll.
    let is_stale =
        topic.is_read_requested() || topic.time_until_stale(max_configuration_age(&gateway.bounds())).is_zero();
    if is_stale { Duration::ZERO } else { long_poll_timeout(&gateway.bounds()) }
}

/// Applies the configurations among `records`. Returns the newest one, or `None` if there is none.
fn apply_configurations(gateway: &Gateway, records: Vec<KeyedRecord>) -> Option<Newest> {
    let mut newest = None;
    for record in records.into_iter().filter(|record| &*record.key == configuration::KEY) {
        let Some(value) = record.value else { continue };
        let outcome = ingest::apply_configuration(gateway, Version { offset: record.offset, value });
        newest = Some(Newest { offset: record.offset, outcome });
    }
    newest
}

/// Waits before the next read while the store has no configuration.
async fn wait_for_configuration(gateway: &Gateway) {
    if gateway.table().version() == 0 {
        tokio::time::sleep(MIN_RETRY_DELAY).await;
    }
}

fn undecodable_error() -> eyre::Report {
    eyre!("step=decode-configuration peer=store: the newest configuration cannot be decoded")
}
