//! Reading the store: the configuration and the replicas' records.
//!
//! An entry that follows another gets both from there (see [`super::facts`]), and reads for itself only what
//! has grown too old on that way.

use std::rc::Rc;
use std::time::Duration;

use coord::roster::{Change, News, Sighting, Standing};
use eyre::Result;
use platform::store::{Client, Keyed, Read};
use platform::{replica, table};

use super::facts::Topic;
use super::link::Document;
use super::now;
use super::state::Gateway;
use crate::{event, warn_event};

/// Part of the bound on taken keys for which the store holds a read of the configuration if nothing changes:
/// a proof is as old as its read when that is answered, and serves until the next one is.
const LONG_READ_SHARE: f64 = 0.15;
/// Part of that bound after which an entry that gets the configuration from another reads it itself: three
/// times that for which a read is held, since a proof is up to two holds old before the next one comes.
const CONFIGURATION_SERVES: f64 = 3.0 * LONG_READ_SHARE;
/// Time for an answer of the store, which takes a few milliseconds and on bad days 60 times that.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// Pause after a failed call, at first; doubled with each failure in a row.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest such pause: every call has a price, also one that fails, and a second is short beside an outage.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);
/// As much longer may an entry wait that will hear from another when the store is back.
const FOLLOWER_PATIENCE: u32 = 2;
/// Records that lapsed in an outage of the store are back within this time of its return.
const RETURN_GRACE: Duration = Duration::from_secs(2);
/// Reads of the replicas' records in the time in which a leaving replica must be left alone.
const READS_PER_DRAIN: u32 = 4;
/// Part of that time after which an entry that gets the records from another reads them itself.
const RECORDS_SERVE: f64 = 0.5;

/// Records of a topic, and the offset to go on from.
struct Page {
    records: Vec<Keyed>,
    next: u64,
}

/// Reads one topic of the store and tells once when it is lost and once when it is back.
struct Reader {
    name: &'static str,
    client: Client,
    /// Calls that failed in a row.
    failures: u32,
}

impl Reader {
    fn new(gateway: &Gateway, name: &'static str) -> Self {
        Self { name, client: Client::new(gateway.settings.store), failures: 0 }
    }

    /// Whether the last call failed.
    fn is_lost(&self) -> bool {
        self.failures > 0
    }

    /// Notes how a call ended; returns whether the store came back with it.
    fn note<T>(&mut self, outcome: &Result<T>) -> bool {
        let was_lost = self.is_lost();
        match outcome {
            Ok(_) => {
                self.failures = 0;
                if was_lost {
                    event!("store-regained", topic = self.name);
                }
                was_lost
            }
            Err(error) => {
                if !was_lost {
                    warn_event!("store-lost", topic = self.name, error = %format!("{error:#}"));
                }
                self.failures += 1;
                false
            }
        }
    }

    /// Waits before a failed call is repeated. Who will hear from another entry waits longer.
    async fn back_off(&self, gateway: &Gateway) {
        let doublings = self.failures.saturating_sub(1).min(8);
        let pause = (RETRY_PAUSE * 2u32.pow(doublings)).min(LONGEST_PAUSE);
        let factor = if gateway.desk.has_leader() { FOLLOWER_PATIENCE } else { 1 };
        gateway.facts.pause(pause * factor).await;
    }

    /// Reads on from offset `from`; none if the store no longer keeps that, or answers with an older state.
    async fn read_on(&mut self, topic: &Topic, from: u64, wait: Duration) -> Result<Option<Page>> {
        match self.client.read(self.name, from, wait, PATIENCE).await? {
            Read::Trimmed => {
                event!("store-trimmed", topic = self.name, from);
                topic.forget();
                Ok(None)
            }
            Read::Records { end, .. } if end < from => {
                // An answer from before what was already read proves nothing.
                warn_event!("store-stale", topic = self.name, from, end);
                tokio::time::sleep(RETRY_PAUSE).await;
                Ok(None)
            }
            Read::Records { records, next, .. } => Ok(Some(Page { records, next })),
        }
    }

    /// Reads the newest record of each key.
    async fn read_all(&mut self) -> Result<Page> {
        let whole = self.client.newest(self.name, PATIENCE).await?;
        Ok(Page { records: whole.records, next: whole.end })
    }
}

/// Keeps the routing table the newest.
pub async fn configuration(gateway: Rc<Gateway>) {
    let mut reader = Reader::new(&gateway, table::TOPIC);
    let serves = gateway.settings.bounds.revoke.mul_f64(CONFIGURATION_SERVES);
    loop {
        gateway.facts.due(&gateway.facts.configuration, serves, || gateway.desk.has_leader()).await;
        let outcome = read_configuration(&gateway, &mut reader).await;
        if reader.note(&outcome) {
            // The replicas' records can be read again too.
            gateway.facts.wake();
        }
        if outcome.is_err() {
            reader.back_off(&gateway).await;
        }
    }
}

async fn read_configuration(gateway: &Gateway, reader: &mut Reader) -> Result<()> {
    let topic = &gateway.facts.configuration;
    let held = gateway.settings.bounds.revoke.mul_f64(LONG_READ_SHARE);
    let sent = now();
    let page = match topic.next() {
        None => reader.read_all().await?,
        Some(from) => match reader.read_on(topic, from, held).await? {
            Some(page) => page,
            None => return Ok(()),
        },
    };
    let mut sound = true;
    for record in page.records.into_iter().filter(|record| &*record.key == table::KEY) {
        let Some(value) = record.value else { continue };
        sound &= apply(gateway, Document { offset: record.offset, value });
    }
    topic.advance(page.next);
    if gateway.table().version() == 0 {
        tokio::time::sleep(RETRY_PAUSE).await;
    } else if sound {
        topic.prove(sent);
    }
    Ok(())
}

/// Puts one configuration in force. One that cannot be decoded changes nothing, and proves nothing.
pub fn apply(gateway: &Gateway, document: Document) -> bool {
    let offset = document.offset;
    match table::decode(&document.value) {
        Ok(table) => {
            let (version, (routes, services, keys)) = (table.version(), table.sizes());
            let taken = gateway.put_table(table);
            gateway.refresh_engines();
            event!("configuration", version, routes, services, keys, offset, taken);
            if taken {
                gateway.facts.keep(document);
            }
            true
        }
        Err(error) => {
            warn_event!("configuration", offset, error = %format!("{error:#}"));
            false
        }
    }
}

/// Keeps the belief about replicas up to date.
pub async fn replicas(gateway: Rc<Gateway>) {
    let mut reader = Reader::new(&gateway, replica::TOPIC);
    let drain = gateway.settings.bounds.drain;
    let (period, serves) = (drain / READS_PER_DRAIN, drain.mul_f64(RECORDS_SERVE));
    loop {
        gateway.facts.due(&gateway.facts.replicas, serves, || gateway.desk.has_leader()).await;
        let outcome = read_replicas(&gateway, &mut reader).await;
        if reader.note(&outcome) {
            gateway.roster.borrow_mut().store_returned(now(), RETURN_GRACE);
        }
        expire(&gateway);
        if outcome.is_err() {
            reader.back_off(&gateway).await;
        } else if gateway.facts.replicas.next().is_some() {
            gateway.facts.pause(period).await;
        }
    }
}

async fn read_replicas(gateway: &Gateway, reader: &mut Reader) -> Result<()> {
    let topic = &gateway.facts.replicas;
    let Some(from) = topic.next() else { return read_all_replicas(gateway, reader).await };
    let sent = now();
    let Some(page) = reader.read_on(topic, from, Duration::ZERO).await? else { return Ok(()) };
    note_return(gateway, reader);
    hear(gateway, sightings(&page.records));
    topic.advance(page.next);
    topic.prove(sent);
    Ok(())
}

/// Takes in the whole picture, where the log is not known up to its end.
async fn read_all_replicas(gateway: &Gateway, reader: &mut Reader) -> Result<()> {
    let sent = now();
    let whole = reader.read_all().await?;
    let mut newest = Vec::new();
    for record in &whole.records {
        if let News::Here(found) = replica::decode(record)? {
            newest.push((record.offset, found));
        }
    }
    note_return(gateway, reader);
    let changes = gateway.roster.borrow_mut().replace(whole.next, newest, now());
    tell(gateway, &changes);
    gateway.facts.replicas.advance(whole.next);
    gateway.facts.replicas.prove(sent);
    Ok(())
}

/// What the first answer after an outage says may show records that only lapsed.
fn note_return(gateway: &Gateway, reader: &Reader) {
    if reader.is_lost() {
        gateway.roster.borrow_mut().store_returned(now(), RETURN_GRACE);
    }
}

/// Gives up replicas whose records are still missing when their time is over.
pub fn expire(gateway: &Gateway) {
    let changes = gateway.roster.borrow_mut().expire(now());
    tell(gateway, &changes);
}

/// Decodes records; one that cannot be decoded says nothing.
fn sightings(records: &[Keyed]) -> Vec<Sighting> {
    let mut sightings = Vec::with_capacity(records.len());
    for record in records {
        match replica::decode(record) {
            Ok(news) => sightings.push(Sighting { offset: record.offset, news }),
            Err(error) => warn_event!("replica", offset = record.offset, error = %format!("{error:#}")),
        }
    }
    sightings
}

/// Takes in what the log says.
pub fn hear(gateway: &Gateway, sightings: Vec<Sighting>) {
    let now = now();
    for Sighting { offset, news } in sightings {
        let change = gateway.roster.borrow_mut().hear(offset, news, now);
        tell(gateway, change.as_slice());
    }
}

/// Logs changes of belief and passes them to those who choose engines.
fn tell(gateway: &Gateway, changes: &[Change]) {
    for change in changes {
        let standing = match change.standing {
            Standing::Ready => "ready",
            Standing::Lapsed(_) => "lapsed",
            Standing::Gone => "gone",
        };
        event!("replica", peer = %change.id, standing);
    }
    if !changes.is_empty() {
        gateway.refresh_engines();
    }
}
