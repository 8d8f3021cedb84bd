//! Reading the store: the configuration and the replicas' records.

use std::rc::Rc;
use std::time::Duration;

use coord::roster::{Change, News, Standing};
use coord::time::Moment;
use eyre::Result;
use platform::store::{Client, Keyed, Read};
use platform::{replica, table};

use super::now;
use super::state::Gateway;
use crate::{event, warn_event};

/// The store holds a read of the configuration for at most so long if nothing changes; longer ones
/// would save few calls.
const LONG_READ: Duration = Duration::from_millis(1_500);
/// Part of the bound on taken keys for which a read is held at most: a proof is as old as its read
/// when that is answered, and serves until the next one is.
const LONG_READ_SHARE: f64 = 0.3;
/// Time for an answer of the store, which takes a few milliseconds and on bad days 60 times that.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Records that lapsed in an outage of the store are back within this time of its return.
const RETURN_GRACE: Duration = Duration::from_secs(2);
/// Reads of the replicas' records in the time in which a leaving replica must be left alone.
const READS_PER_DRAIN: u32 = 2;

/// Records of a topic, and the offset to go on from.
struct Page {
    records: Vec<Keyed>,
    next: u64,
}

/// Follows one topic of the store and tells once when it is lost and once when it is back.
struct Follower {
    topic: &'static str,
    client: Client,
    /// The offset to read from; none before the first whole picture.
    next: Option<u64>,
    lost: bool,
}

impl Follower {
    fn new(gateway: &Gateway, topic: &'static str) -> Self {
        Self { topic, client: Client::new(gateway.settings.store), next: None, lost: false }
    }

    /// Notes how a call ended; returns whether the store came back with it.
    fn note<T>(&mut self, outcome: &Result<T>) -> bool {
        match outcome {
            Ok(_) => {
                let returned = std::mem::take(&mut self.lost);
                if returned {
                    event!("store-regained", topic = self.topic);
                }
                returned
            }
            Err(error) => {
                if !self.lost {
                    warn_event!("store-lost", topic = self.topic, error = %format!("{error:#}"));
                }
                self.lost = true;
                false
            }
        }
    }

    /// Reads on from offset `from`; none if the store no longer keeps that, or answers with an older state.
    async fn read_on(&mut self, from: u64, wait: Duration) -> Result<Option<Page>> {
        match self.client.read(self.topic, from, wait, PATIENCE).await? {
            Read::Trimmed => {
                event!("store-trimmed", topic = self.topic, from);
                self.next = None;
                Ok(None)
            }
            Read::Records { end, .. } if end < from => {
                // An answer from before what was already read proves nothing.
                warn_event!("store-stale", topic = self.topic, from, end);
                Ok(None)
            }
            Read::Records { records, next, .. } => Ok(Some(Page { records, next })),
        }
    }
}

/// Keeps the routing table the newest.
pub async fn configuration(gateway: Rc<Gateway>) {
    let mut follower = Follower::new(&gateway, table::TOPIC);
    loop {
        let outcome = read_configuration(&gateway, &mut follower).await;
        follower.note(&outcome);
        if outcome.is_err() {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn read_configuration(gateway: &Gateway, follower: &mut Follower) -> Result<()> {
    let held = LONG_READ.min(gateway.settings.bounds.revoke.mul_f64(LONG_READ_SHARE));
    let sent = now();
    let page = match follower.next {
        None => {
            let whole = follower.client.newest(follower.topic, PATIENCE).await?;
            Page { records: whole.records, next: whole.end }
        }
        Some(from) => match follower.read_on(from, held).await? {
            Some(page) => page,
            None => return Ok(()),
        },
    };
    let mut sound = true;
    for record in page.records.iter().filter(|record| &*record.key == table::KEY) {
        sound &= apply(gateway, record);
    }
    follower.next = Some(page.next);
    if sound && gateway.table().version() > 0 {
        gateway.prove(sent);
    }
    if gateway.table().version() == 0 {
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    Ok(())
}

/// Puts one configuration in force. One that cannot be decoded changes nothing, and proves nothing.
fn apply(gateway: &Gateway, record: &Keyed) -> bool {
    let Some(value) = &record.value else { return true };
    match table::decode(value) {
        Ok(table) => {
            let (version, (routes, services, keys)) = (table.version(), table.sizes());
            let taken = gateway.put_table(table);
            gateway.refresh_engines();
            event!("configuration", version, routes, services, keys, offset = record.offset, taken);
            true
        }
        Err(error) => {
            warn_event!("configuration", offset = record.offset, error = %format!("{error:#}"));
            false
        }
    }
}

/// Keeps the belief about replicas up to date.
pub async fn replicas(gateway: Rc<Gateway>) {
    let mut follower = Follower::new(&gateway, replica::TOPIC);
    let period = gateway.settings.bounds.drain / READS_PER_DRAIN;
    loop {
        let outcome = read_replicas(&gateway, &mut follower).await;
        if follower.note(&outcome) {
            gateway.roster.borrow_mut().store_returned(now(), RETURN_GRACE);
        }
        let changes = gateway.roster.borrow_mut().expire(now());
        tell(gateway.as_ref(), &changes);
        let pause = if outcome.is_ok() && follower.next.is_some() { period } else { RETRY_PAUSE };
        tokio::time::sleep(pause).await;
    }
}

async fn read_replicas(gateway: &Gateway, follower: &mut Follower) -> Result<()> {
    let Some(from) = follower.next else { return read_all_replicas(gateway, follower).await };
    let Some(page) = follower.read_on(from, Duration::ZERO).await? else { return Ok(()) };
    note_return(gateway, follower);
    hear(gateway, &page.records, now());
    follower.next = Some(page.next);
    Ok(())
}

/// Takes in the whole picture, where the log is not known up to its end.
async fn read_all_replicas(gateway: &Gateway, follower: &mut Follower) -> Result<()> {
    let whole = follower.client.newest(follower.topic, PATIENCE).await?;
    let mut newest = Vec::new();
    for record in &whole.records {
        if let News::Here(found) = replica::decode(record)? {
            newest.push((record.offset, found));
        }
    }
    note_return(gateway, follower);
    let changes = gateway.roster.borrow_mut().replace(whole.end, newest, now());
    tell(gateway, &changes);
    follower.next = Some(whole.end);
    Ok(())
}

/// What the first answer after an outage says may show records that only lapsed.
fn note_return(gateway: &Gateway, follower: &Follower) {
    if follower.lost {
        gateway.roster.borrow_mut().store_returned(now(), RETURN_GRACE);
    }
}

/// Takes in what the log says; a record that cannot be decoded changes nothing.
fn hear(gateway: &Gateway, records: &[Keyed], at: Moment) {
    for record in records {
        match replica::decode(record) {
            Ok(news) => {
                let change = gateway.roster.borrow_mut().hear(record.offset, news, at);
                tell(gateway, change.as_slice());
            }
            Err(error) => warn_event!("replica", offset = record.offset, error = %format!("{error:#}")),
        }
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
