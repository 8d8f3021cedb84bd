//! Persistence of the quarantine, so that it survives the loss of all entries: reads the quarantine topic of the store,
//! and writes changes to it.
//!
//! An entry that reads the replicas' records reads the quarantine topic as well, and a follower receives its contents
//! from the leader. Only an entry without a leader writes: verdicts at once, and evidence when it is close to a verdict
//! or when no other entry receives it. Without new evidence nothing is written, and each reader makes one call in two
//! seconds.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use coord::offset::Formatted;
use coord::quarantine::{Cause, Event};
use eyre::Result;
use platform::store::{Client, KeyedRecord, QUARANTINE_TOPIC};

use super::super::now;
use super::super::state::Gateway;
use super::super::store_reader;
use super::super::topic_reader::{LogRead, RecordBatch, TopicReader};
use super::record::{self, Record};
use super::{Source, apply_events, is_clear};
use crate::{event, metric, warn_event};

/// Time for which the store holds a read if nothing changes. An entry that is isolated from other entries must stop
/// sending a condemned request within 3 s of the verdict. Even if the connection to the store becomes unresponsive,
/// this time and the response timeout together take less.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Timeout for a response of the store.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Background task that keeps this entry synchronized with the store.
pub async fn run(gateway: Rc<Gateway>) {
    let mut reader = TopicReader::new(&gateway, QUARANTINE_TOPIC);
    let mut writer = Client::new(gateway.settings.store);
    loop {
        let peer_update_deadline = gateway.first_read_due_at();
        store_reader::wait_until_replica_read_due(&gateway, peer_update_deadline).await;
        let is_read = tokio::select! {
            outcome = read_changes(&gateway, &mut reader) => {
                reader.record_outcome(&outcome);
                outcome.is_ok()
            }
            () = gateway.quarantine.write_needed.notified() => true,
        };
        // `write_changes` has logged its error.
        if !is_read || write_changes(&gateway, &mut writer).await.is_err() {
            reader.back_off(&gateway, &gateway.store_view.replicas).await;
        }
    }
}

/// Reads and applies new records.
async fn read_changes(gateway: &Gateway, reader: &mut TopicReader) -> Result<()> {
    let position = &gateway.quarantine.position;
    let batch = match position.next_offset() {
        None => {
            let mut snapshot = reader.read_snapshot().await?;
            if position.is_same_log(snapshot.answer.next()) {
                let removals = missing_records(gateway, &snapshot);
                snapshot.records.extend(removals);
            } else {
                // Records that the snapshot does not contain were lost by the store, and are written again.
                gateway.quarantine.stored.borrow_mut().clear();
            }
            snapshot
        }
        Some(from) => match reader.read_from(from, LONG_POLL_TIMEOUT).await? {
            LogRead::Records(batch) => batch,
            LogRead::Lost => {
                position.reset();
                return Ok(());
            }
            LogRead::Outdated => return Ok(()),
        },
    };
    let RecordBatch { records, answer } = batch;
    records.iter().for_each(|record| apply_record(gateway, record));
    position.advance_to(answer.next());
    let end = position.next_offset().unwrap_or_default();
    // What was read before is valid however old it is, so that the verification is not needed.
    let _ = gateway.quarantine.progress.borrow_mut().record(answer, end);
    Ok(())
}

/// Returns removals of the records that the store had, as far as this entry knows, and that are not in the snapshot:
/// operators lifted these verdicts, or another entry cleared them.
fn missing_records(gateway: &Gateway, snapshot: &RecordBatch) -> Vec<KeyedRecord> {
    let present: HashSet<&str> = snapshot.records.iter().map(|record| &*record.key).collect();
    let stored = gateway.quarantine.stored.borrow();
    let keys = stored.keys().map(|cause| record::key(*cause));
    let missing = keys.filter(|key| !present.contains(&**key));
    missing.map(|key| KeyedRecord { offset: snapshot.answer.next(), key: key.into(), value: None }).collect()
}

/// Applies one record. A record that cannot be decoded is logged and skipped.
fn apply_record(gateway: &Gateway, record: &KeyedRecord) {
    let (cause, record) = match record::decode(record) {
        Ok(decoded) => decoded,
        Err(error) => {
            warn_event!("quarantine-record", offset = %Formatted(record.offset), error = %format!("{error:#}"));
            return;
        }
    };
    let mut stored = gateway.quarantine.stored.borrow_mut();
    let events = match record {
        Some(record) => {
            // The runs get the names that they have in this process. Otherwise two entries that exchange terminations
            // only through the store would each see the other's record as new and write it again forever.
            let record = record.with_local_run_names(&mut gateway.quarantine.terminations.borrow_mut(), now());
            let events = record.events(cause);
            stored.insert(cause, record);
            events
        }
        // This entry has not seen a stored record that the removal could refer to, so its own evidence may be newer.
        None if stored.remove(&cause).is_none() => return,
        None => vec![Event::Lifted(cause)],
    };
    drop(stored);
    apply_events(gateway, events, Source::Own);
    // The record may lack what this entry knows.
    gateway.quarantine.notify_writer();
}

/// Writes all new records, if this entry is the one that writes.
async fn write_changes(gateway: &Gateway, client: &mut Client) -> Result<()> {
    while let Some((cause, record)) = next_write(gateway) {
        let value = record.as_ref().map_or(Ok(Vec::new()), Record::encode)?;
        let (key, condemned) = (record::key(cause), record.as_ref().is_some_and(|record| record.condemned));
        put(client, &key, &value).await?;
        event!("quarantine-written", kind = cause.kind(), work = %cause.fingerprint(), condemned);
        let mut stored = gateway.quarantine.stored.borrow_mut();
        match record {
            Some(record) => drop(stored.insert(cause, record)),
            None => drop(stored.remove(&cause)),
        }
    }
    Ok(())
}

/// Writes one record.
async fn put(client: &mut Client, key: &str, value: &[u8]) -> Result<()> {
    metric::record_store_calls("append", QUARANTINE_TOPIC, 1);
    let outcome = client.put(QUARANTINE_TOPIC, key, value, RESPONSE_TIMEOUT).await;
    if let Err(error) = &outcome {
        warn_event!("quarantine-write", key, error = %format!("{error:#}"));
    }
    outcome.map(drop)
}

/// Returns whether this entry writes records: one that follows a leader, or has not read the topic yet, does not. One
/// that has read only a part of it would replace newer records in the rest.
fn is_writer(gateway: &Gateway) -> bool {
    let is_read = |end| !gateway.quarantine.progress.borrow().has_rest(end);
    !gateway.admission.has_leader() && gateway.quarantine.position.next_offset().is_some_and(is_read)
}

/// Returns the next cause whose record in the store differs from the state, and its new record, or `None` to remove it.
fn next_write(gateway: &Gateway) -> Option<(Cause, Option<Record>)> {
    if !is_writer(gateway) {
        return None;
    }
    let (state, stored) = (gateway.quarantine.state.borrow(), gateway.quarantine.stored.borrow());
    let is_new =
        |cause: &Cause| stored.get(cause).is_none_or(|stored| stored.lacks(&Record::of(&state, *cause, now())));
    if let Some(cause) = state.persistent(gateway.admission.is_standalone()).find(is_new) {
        return Some((cause, Some(Record::of(&state, cause, now()))));
    }
    stored.keys().find(|cause| is_clear(&state, **cause)).map(|cause| (*cause, None))
}
