//! Persistence of the quarantine, so that it survives the loss of all entries: reads the quarantine topic of the store,
//! and writes changes to it.
//!
//! An entry that reads the replicas' records reads the quarantine topic as well, and a follower receives its contents
//! from the leader. Only an entry without a leader writes: verdicts at once, and evidence when it is close to a verdict
//! or when no other entry receives it. Without new evidence nothing is written, and each reader makes one call in two
//! seconds.

use std::rc::Rc;
use std::time::Duration;

use coord::offset::Formatted;
use coord::quarantine::{Event, State, Status, Fingerprint};
use eyre::Result;
use platform::store::{Client, Keyed, QUARANTINE};

use super::super::now;
use super::super::reader::{Page, Reader};
use super::super::state::Gateway;
use super::super::watch;
use super::record::{self, Entry};
use super::{Source, apply_events};
use crate::{event, metric, warn_event};

/// Time for which the store holds a read if nothing changes. An entry that is isolated from other entries must stop
/// sending a condemned request within 3 s of the verdict. Even if the connection to the store becomes unresponsive,
/// this time and the response timeout together take less.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Timeout for a response of the store.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A record to write.
struct PendingWrite {
    fingerprint: Fingerprint,
    /// New value of the record, or `None` to remove it.
    entry: Option<Entry>,
}

/// Background task that keeps this entry synchronized with the store.
pub async fn run(gateway: Rc<Gateway>) {
    let mut reader = Reader::new(&gateway, QUARANTINE);
    let mut writer = Client::new(gateway.settings.store);
    loop {
        let peer_update_deadline = gateway.first_from_others_by();
        watch::reads_replicas(&gateway, peer_update_deadline).await;
        let is_read = tokio::select! {
            outcome = read_changes(&gateway, &mut reader) => {
                reader.note(&outcome);
                outcome.is_ok()
            }
            () = gateway.quarantine.write_needed.notified() => true,
        };
        // `write_changes` has logged its error.
        if !is_read || write_changes(&gateway, &mut writer).await.is_err() {
            reader.back_off(&gateway, &gateway.facts.replicas).await;
        }
    }
}

/// Reads and applies new records.
async fn read_changes(gateway: &Gateway, reader: &mut Reader) -> Result<()> {
    let topic = &gateway.quarantine.topic;
    let page = match topic.next() {
        None => {
            let snapshot = reader.read_all().await?;
            // Records that the snapshot does not contain were lost by the store, and are written again.
            gateway.quarantine.stored.borrow_mut().clear();
            Some(snapshot)
        }
        Some(from) => reader.read_on(topic, from, LONG_POLL_TIMEOUT).await?,
    };
    let Some(Page { records, next }) = page else { return Ok(()) };
    records.iter().for_each(|record| apply_record(gateway, record));
    topic.advance(next);
    Ok(())
}

/// Applies one record. A record that cannot be decoded is logged and skipped.
fn apply_record(gateway: &Gateway, record: &Keyed) {
    let (fingerprint, entry) = match record::decode(record) {
        Ok(decoded) => decoded,
        Err(error) => {
            warn_event!("quarantine-record", offset = %Formatted(record.offset), error = %format!("{error:#}"));
            return;
        }
    };
    let mut stored = gateway.quarantine.stored.borrow_mut();
    let events = match entry {
        Some(entry) => {
            // The runs get the names that they have in this process. Otherwise two entries that exchange terminations
            // only through the store would each see the other's record as new and write it again forever.
            let entry = entry.with_local_run_names(&mut gateway.quarantine.ends.borrow_mut(), now());
            let events = entry.news(fingerprint);
            stored.insert(fingerprint, entry);
            events
        }
        // This entry has not seen a stored record that the removal could refer to, so its own evidence may be newer.
        None if stored.remove(&fingerprint).is_none() => return,
        None => vec![Event::Lifted(fingerprint)],
    };
    drop(stored);
    apply_events(gateway, events, Source::Own);
}

/// Writes all new records, if this entry is the one that writes.
async fn write_changes(gateway: &Gateway, client: &mut Client) -> Result<()> {
    while let Some(pending) = next_write(gateway) {
        let value = pending.entry.as_ref().map_or(Ok(Vec::new()), Entry::encode)?;
        let fingerprint = pending.fingerprint;
        metric::store_calls("append", QUARANTINE, 1);
        if let Err(error) = client.put(QUARANTINE, &fingerprint.to_string(), &value, RESPONSE_TIMEOUT).await {
            warn_event!("quarantine-write", work = %fingerprint, error = %format!("{error:#}"));
            return Err(error);
        }
        event!("quarantine-written", work = %fingerprint, condemned = pending.entry.as_ref().is_some_and(|entry| entry.condemned));
        let mut stored = gateway.quarantine.stored.borrow_mut();
        match pending.entry {
            Some(entry) => drop(stored.insert(fingerprint, entry)),
            None => drop(stored.remove(&fingerprint)),
        }
    }
    Ok(())
}

/// Returns the next record to write. An entry that follows a leader, or has not read the topic yet, writes nothing.
fn next_write(gateway: &Gateway) -> Option<PendingWrite> {
    let quarantine = &gateway.quarantine;
    if gateway.desk.has_leader() || quarantine.topic.next().is_none() {
        return None;
    }
    let register = quarantine.register.borrow();
    let stored = quarantine.stored.borrow();
    let is_new = |fingerprint: &Fingerprint| {
        stored.get(fingerprint).is_none_or(|stored_entry| has_new_evidence(&register, *fingerprint, stored_entry))
    };
    let unwritten = register.persistent(gateway.desk.is_alone()).find(is_new);
    if let Some(fingerprint) = unwritten {
        return Some(PendingWrite { fingerprint, entry: Some(Entry::of(&register, fingerprint)) });
    }
    let is_clear = |fingerprint: &&Fingerprint| {
        register.status(**fingerprint) == Status::Clear && register.evidence(**fingerprint).next().is_none()
    };
    stored.keys().find(is_clear).map(|fingerprint| PendingWrite { fingerprint: *fingerprint, entry: None })
}

/// Returns whether a register has more evidence against a fingerprint than the store.
fn has_new_evidence(register: &State, fingerprint: Fingerprint, stored_entry: &Entry) -> bool {
    let local = Entry::of(register, fingerprint);
    !stored_entry.condemned && (local.condemned || local.ends.iter().any(|end| !stored_entry.ends.contains(end)))
}
