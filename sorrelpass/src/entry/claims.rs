//! The `claims` thread: binds idempotency keys to sidecar incarnations through the log.
//!
//! Keys are hashed to partitions, each with its own stream. Rendezvous hashing ranks the entries for each
//! partition: the first one writes the stream, the second one follows it as standby, and the others send
//! their claims to these two. The number of appends per second therefore does not grow with the number of
//! entries, and each entry follows few partitions. Two concurrent writers are harmless, since the claim
//! with the lowest offset wins.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coord::claim::{Binding, Board, Key};
use coord::name::{Name, Ran};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, oneshot, watch};

use super::{Shared, peer};
use crate::failure::Failure;
use crate::platform::Log;
use crate::{event, ring, util, warn_event};

/// Number of partitions of the key space.
pub const PARTITIONS: u64 = 8;
/// Number of entries that follow a partition: the writer and one standby.
const RANKS: usize = 2;
/// Maximum number of entries that are queried for a key while the log is unavailable.
const MOST_ASKED: usize = 16;
/// Longest time that a read waits for new records, in milliseconds.
const READ_WAIT_MS: u64 = 2_000;
/// Shortest interval between two appends to a partition; claims that arrive in between share the next
/// append.
const GROUP: Duration = Duration::from_millis(50);
/// Maximum number of claims in one append.
const MOST_IN_GROUP: usize = 256;
/// Interval at which this entry checks whether a partition has been assigned to it.
const FOLLOW_CHECK: Duration = Duration::from_millis(500);
/// Timeout for a lookup in this entry's own partitions.
const HERE_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for a claim in this entry's own partitions, which needs an append.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay after a failed log call, and `Retry-After` for callers whose claim failed.
const RETRY: Duration = Duration::from_millis(300);

/// Commands to the partition of a key.
pub enum Question {
    /// Returns the binding of a key, as far as the stream has been replayed.
    Lookup(Key, oneshot::Sender<Option<Binding>>),
    /// Binds a key unless it is bound, and replies with the binding that holds once it has been replayed.
    /// The reply is dropped if the log is unavailable.
    Claim(Key, Binding, oneshot::Sender<Binding>),
}

/// Claims that are appended as one record.
#[derive(Serialize, Deserialize)]
struct Group {
    claims: Vec<Claim>,
}

#[derive(Serialize, Deserialize)]
struct Claim {
    key: Key,
    binding: Binding,
}

/// Claims of one partition, at its writer or its standby.
struct Binder {
    stream: String,
    log: Box<dyn Log>,
    board: RefCell<Board>,
    waiting: RefCell<HashMap<Key, Vec<oneshot::Sender<Binding>>>>,
    proposed: RefCell<Vec<Claim>>,
    work: Notify,
    reading: watch::Sender<Reading>,
}

/// Progress of replaying a partition's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// The end of the stream has not been reached.
    Behind,
    /// The end of the stream has not been reached, and the log is unavailable.
    Out,
    /// The end of the stream has been reached once. From then on, the absence of a key proves that it was
    /// not claimed before.
    CaughtUp,
}

/// Returns the partition of a key.
fn partition(key: &Key) -> u64 {
    let hash = xxhash_rust::xxh3::xxh3_64(key.key.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(key.workspace.as_bytes(), hash) % PARTITIONS
}

/// Returns the entries that follow a partition, writer first.
fn ranked(shared: &Shared, partition: u64) -> Vec<Name> {
    let mut all = shared.peers();
    all.push(own(shared));
    coord::pick::chosen(partition, all.iter(), RANKS)
}

fn own(shared: &Shared) -> Name {
    Name::from(shared.settings.peer_listen.to_string())
}

/// Runs the `claims` thread until all command senders are dropped.
pub async fn run(shared: Arc<Shared>, make_log: impl Fn() -> Box<dyn Log>, mut questions: ring::Receiver<Question>) {
    let mut binders: HashMap<u64, Rc<Binder>> = HashMap::new();
    loop {
        for partition in 0..PARTITIONS {
            if !binders.contains_key(&partition) && ranked(&shared, partition).contains(&own(&shared)) {
                binders.insert(partition, Binder::start(&shared, partition, make_log()));
            }
        }
        let question = match tokio::time::timeout(FOLLOW_CHECK, questions.recv()).await {
            Ok(Some(question)) => question,
            Ok(None) => return,
            Err(_) => continue,
        };
        let partition = match &question {
            Question::Lookup(key, _) | Question::Claim(key, ..) => partition(key),
        };
        match (question, binders.get(&partition)) {
            (question, Some(binder)) => drop(tokio::task::spawn_local(binder.clone().handle(question))),
            // This entry cannot have bound a key of a partition that it does not follow.
            (Question::Lookup(_, reply), None) => drop(reply.send(None)),
            (question, None) => {
                let binder = Binder::start(&shared, partition, make_log());
                binders.insert(partition, binder.clone());
                tokio::task::spawn_local(binder.handle(question));
            }
        }
    }
}

impl Binder {
    fn start(shared: &Shared, partition: u64, log: Box<dyn Log>) -> Rc<Self> {
        let binder = Rc::new(Self {
            stream: format!("claims-{partition}"),
            log,
            board: RefCell::new(Board::new(shared.settings.once_window)),
            waiting: RefCell::default(),
            proposed: RefCell::default(),
            work: Notify::new(),
            reading: watch::channel(Reading::Behind).0,
        });
        event!("follow-claims", stream = %binder.stream);
        tokio::task::spawn_local(binder.clone().follow());
        tokio::task::spawn_local(binder.clone().append());
        binder
    }

    async fn handle(self: Rc<Self>, question: Question) {
        // Nothing is answered before the stream has been replayed. If the log is unavailable, the reply is
        // dropped at once instead.
        let mut reading = self.reading.subscribe();
        match reading.wait_for(|reading| *reading != Reading::Behind).await {
            Ok(reading) if *reading == Reading::CaughtUp => {}
            _ => return,
        }
        match question {
            Question::Lookup(key, reply) => drop(reply.send(self.board.borrow().binding(&key).cloned())),
            Question::Claim(key, binding, reply) => self.propose(key, binding, reply),
        }
    }

    fn propose(&self, key: Key, binding: Binding, reply: oneshot::Sender<Binding>) {
        if let Some(held) = self.board.borrow().binding(&key) {
            let _ = reply.send(held.clone());
            return;
        }
        self.waiting.borrow_mut().entry(key.clone()).or_default().push(reply);
        self.proposed.borrow_mut().push(Claim { key, binding });
        self.work.notify_one();
    }

    /// Appends the proposed claims in batches. Claims whose append fails are abandoned without a retry.
    async fn append(self: Rc<Self>) {
        let mut next_append = tokio::time::Instant::now();
        loop {
            if self.proposed.borrow().is_empty() {
                self.work.notified().await;
            }
            tokio::time::sleep_until(next_append).await;
            next_append = tokio::time::Instant::now() + GROUP;
            let group: Vec<Claim> = {
                let mut proposed = self.proposed.borrow_mut();
                let count = proposed.len().min(MOST_IN_GROUP);
                proposed.drain(..count).collect()
            };
            if group.is_empty() {
                continue;
            }
            let keys: Vec<Key> = group.iter().map(|claim| claim.key.clone()).collect();
            let Ok(payload) = serde_json::to_vec(&Group { claims: group }) else { continue };
            if let Err(error) = self.log.append(&self.stream, Bytes::from(payload)).await {
                warn_event!("claim-failed", stream = %self.stream, keys = keys.len(), reason = %error);
                // Dropping the replies reports the failure to the requests. If the append took effect
                // despite the error, the claim is harmless.
                let mut waiting = self.waiting.borrow_mut();
                keys.iter().for_each(|key| drop(waiting.remove(key)));
            }
        }
    }

    async fn follow(self: Rc<Self>) {
        loop {
            let next = self.board.borrow().next();
            let caught_up = *self.reading.borrow() == Reading::CaughtUp;
            let wait = if caught_up { READ_WAIT_MS } else { 0 };
            match self.log.read(&self.stream, next, wait).await {
                Ok(batch) => {
                    if batch.oldest > next {
                        // Claims that were trimmed before they were read are older than the idempotency
                        // window, which is shorter than the log's retention.
                        self.board.borrow_mut().skip_to(batch.oldest);
                    }
                    for entry in &batch.entries {
                        self.take(entry.offset, entry.at, &entry.payload);
                    }
                    if self.board.borrow().next() >= batch.end {
                        self.reading.send_replace(Reading::CaughtUp);
                    }
                }
                Err(_) => {
                    if !caught_up {
                        self.reading.send_replace(Reading::Out);
                    }
                    tokio::time::sleep(util::jitter(RETRY)).await;
                }
            }
        }
    }

    fn take(&self, offset: u64, at: coord::time::Moment, payload: &[u8]) {
        let claims = match serde_json::from_slice::<Group>(payload) {
            Ok(group) => group.claims,
            Err(error) => {
                warn_event!("record-unreadable", stream = %self.stream, offset, reason = %error);
                Vec::new()
            }
        };
        let mut board = self.board.borrow_mut();
        let mut waiting = self.waiting.borrow_mut();
        for claim in claims {
            let bound = board.replay(offset, at, claim.key.clone(), claim.binding);
            for reply in waiting.remove(&claim.key).unwrap_or_default() {
                let _ = reply.send(bound.clone());
            }
        }
        board.skip_to(offset + 1);
    }
}

/// Looks up a key in this entry's own partitions. The outer `None` means that the stream has not been
/// replayed yet.
pub async fn lookup_here(shared: &Shared, key: Key) -> Option<Option<Binding>> {
    let (reply, answer) = oneshot::channel();
    shared.claims.send(Question::Lookup(key, reply)).await.ok()?;
    tokio::time::timeout(HERE_TIMEOUT, answer).await.ok()?.ok()
}

/// Binds a key at this entry, as writer of the key's partition; `None` if the log is unavailable.
pub async fn claim_here(shared: &Shared, key: Key, binding: Binding) -> Option<Binding> {
    let (reply, answer) = oneshot::channel();
    shared.claims.send(Question::Claim(key, binding, reply)).await.ok()?;
    tokio::time::timeout(CLAIM_TIMEOUT, answer).await.ok()?.ok()
}

/// Looks up the binding of a key at the writer of its partition or, if that fails, at the standby.
pub async fn lookup(shared: &Shared, key: &Key) -> Option<Binding> {
    for entry in ranked(shared, partition(key)) {
        let found = if entry == own(shared) {
            lookup_here(shared, key.clone()).await
        } else {
            peer::binding(&entry, key).await.ok()
        };
        if let Some(found) = found {
            return found;
        }
    }
    None
}

/// Binds a key to `binding` unless it is bound, and returns the binding that holds.
///
/// While the log is unavailable, all other entries are queried instead. A key runs only after the entry
/// that serves it has read its claim back, so if every entry reports that it does not know the key, nothing
/// has run under it.
pub async fn claim(shared: &Shared, key: Key, binding: Binding) -> Result<Binding, Failure> {
    for entry in ranked(shared, partition(&key)) {
        let bound = if entry == own(shared) {
            claim_here(shared, key.clone(), binding.clone()).await
        } else {
            peer::claim(&entry, &key, &binding).await.ok().flatten()
        };
        if let Some(bound) = bound {
            return Ok(bound);
        }
    }
    event!("claims-out", workspace = %key.workspace);
    let (held, ran) = asked_around(shared, &key).await;
    if let Some(bound) = held {
        return Ok(bound);
    }
    let message = "the platform's log does not take the claim of this key now; a ticket would not need it";
    Err(Failure::busy("claims_unavailable", message, RETRY).ran(ran))
}

/// Queries all entries for a key. Returns its binding, if known, and whether the key is proven not to have
/// run.
async fn asked_around(shared: &Shared, key: &Key) -> (Option<Binding>, Ran) {
    let peers = shared.peers();
    let mut ran = if peers.len() > MOST_ASKED { Ran::Unknown } else { Ran::No };
    let answers = peers.iter().take(MOST_ASKED).map(|entry| peer::binding(entry, key));
    for answer in futures_util::future::join_all(answers).await {
        match answer {
            Ok(Some(bound)) => return (Some(bound), Ran::Unknown),
            Ok(None) => {}
            Err(_) => ran = Ran::Unknown,
        }
    }
    (lookup_here(shared, key.clone()).await.flatten(), ran)
}
