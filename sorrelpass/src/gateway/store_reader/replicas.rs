//! Reads the replicas' records from the store.

use std::rc::Rc;
use std::time::Duration;

use coord::progress::{Answer, Progress};
use coord::roster::{Transfer, Update};
use eyre::Result;
use platform::replica;
use platform::store::KeyedRecord;

use super::super::ingest::{STORE_RECOVERY_GRACE, Source};
use super::super::state::Gateway;
use super::super::topic_reader::{LogRead, TopicReader};
use super::super::{delegates, ingest, now};
use super::{are_replicas_fresh, replicas_read_interval, wait_until_replica_read_due};
use crate::warn_event;

/// Bounds the length of a logged decoding error, in characters.
const MAX_LOGGED_ERROR_CHARS: usize = 120;

/// Keeps the known replicas up to date until the process ends.
pub async fn poll(gateway: Rc<Gateway>) {
    let mut reader = ReplicaReader {
        topic: TopicReader::new(&gateway, replica::TOPIC),
        progress: Progress::default(),
        lost_at: None,
        reads_on: false,
        is_recovering: false,
    };
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
        } else if !reader.reads_on {
            gateway.store_view.sleep_until_woken(interval).await;
        }
    }
}

/// Reads the replicas' records. The position in their log is the end of the roster, which other entries advance too.
struct ReplicaReader {
    topic: TopicReader,
    progress: Progress,
    /// Offset from which the log could not be read at the last read.
    lost_at: Option<u64>,
    /// Whether the next read follows without a pause, because the last one showed that the copy is not complete.
    reads_on: bool,
    /// Whether calls failed since the copy was last complete.
    is_recovering: bool,
}

impl ReplicaReader {
    /// Returns whether the log cannot be read from the offset `end`, so that a snapshot must be read.
    fn needs_snapshot(&self, end: u64) -> bool {
        end == 0 || self.lost_at.is_some_and(|lost_at| end <= lost_at)
    }

    /// Reads and applies the new replica records or a part of them, or a snapshot if the log cannot be read from the copy's
    /// end on.
    async fn read(&mut self, gateway: &Gateway) -> Result<()> {
        self.reads_on = false;
        let from = gateway.roster.borrow().end();
        if self.needs_snapshot(from) {
            return self.read_snapshot(gateway).await;
        }
        let outcome = self.topic.read_from(from, Duration::ZERO).await?;
        self.extend_recovery_grace(gateway);
        match outcome {
            LogRead::Records(batch) => {
                let next = batch.answer.next();
                gateway.observe_era(next);
                let updates = decode_updates(gateway, &batch.records);
                ingest::apply_transfer(gateway, Transfer::of_log(from, next, updates), Source::Store)?;
                self.record(gateway, batch.answer);
                self.reads_on = batch.answer.is_part();
            }
            LogRead::Lost => {
                self.lost_at = Some(from);
                self.reads_on = true;
            }
            LogRead::Outdated => {}
        }
        Ok(())
    }

    /// Reads and applies a snapshot of all replica records.
    async fn read_snapshot(&mut self, gateway: &Gateway) -> Result<()> {
        let snapshot = self.topic.read_snapshot().await?;
        let newest = decode_updates(gateway, &snapshot.records);
        self.extend_recovery_grace(gateway);
        let end = snapshot.answer.next();
        gateway.observe_era(end);
        ingest::apply_transfer(gateway, Transfer::of_newest(end, newest), Source::Store)?;
        self.record(gateway, snapshot.answer);
        Ok(())
    }

    /// Records an answer whose records were applied. The copy is verified once it reaches the end of the log.
    fn record(&mut self, gateway: &Gateway, answer: Answer) {
        let end = gateway.roster.borrow().end();
        if let Some(verification) = self.progress.record(answer, end) {
            gateway.store_view.replicas.mark_verified(verification, Source::Store);
            self.is_recovering = false;
        }
    }

    /// Lets the grace period for missing records begin with each response after an outage of the store, until the copy is
    /// complete: records may have expired only because their replicas could not renew them. There was no outage if the
    /// copy is fresh, because the store then still answered another entry.
    fn extend_recovery_grace(&mut self, gateway: &Gateway) {
        self.is_recovering |= self.topic.is_failing();
        if self.is_recovering && !are_replicas_fresh(gateway) {
            gateway.roster.borrow_mut().record_store_recovery(now(), STORE_RECOVERY_GRACE);
        }
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
