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
use coord::claim::{Binding, Claims, Key};
use coord::name::{ExecutionStatus, Name};
use coord::progress::{Answer, Progress};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, oneshot, watch};

use super::{Shared, peer};
use crate::failure::Failure;
use crate::platform::Log;
use crate::{channel, event, util, warn_event};

/// Number of partitions of the key space.
pub const PARTITION_COUNT: u64 = 8;
/// Number of entries that follow a partition: the writer and one standby.
const FOLLOWERS_PER_PARTITION: usize = 2;
/// Maximum number of entries that are queried for a key while the log is unavailable.
const MAX_PEERS_QUERIED: usize = 16;
/// Maximum time that a read waits for new records, in milliseconds.
const READ_WAIT_MS: u64 = 2_000;
/// Minimum interval between two appends to a partition; claims that arrive in between share the next
/// append.
const APPEND_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of claims in one append.
const MAX_CLAIMS_PER_APPEND: usize = 256;
/// Interval at which this entry checks whether a partition has been assigned to it.
const ASSIGNMENT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for a lookup in this entry's own partitions.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for a claim in this entry's own partitions, which needs an append.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay after a failed log call, and `Retry-After` for callers whose claim failed.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Commands to the partition of a key.
pub enum Command {
    /// Returns the binding of a key, as far as the stream has been replayed.
    Lookup(Key, oneshot::Sender<Option<Binding>>),
    /// Binds a key unless it is bound, and replies with the binding that holds once it has been replayed.
    /// The reply is dropped if the log is unavailable.
    Claim(Key, Binding, oneshot::Sender<Binding>),
}

/// Claims that are appended as one record.
#[derive(Serialize, Deserialize)]
struct Batch {
    claims: Vec<Claim>,
}

#[derive(Serialize, Deserialize)]
struct Claim {
    key: Key,
    binding: Binding,
}

/// Claims of one partition, at its writer or its standby.
struct Partition {
    stream: String,
    log: Box<dyn Log>,
    bindings: RefCell<Claims>,
    waiting_replies: RefCell<HashMap<Key, Vec<oneshot::Sender<Binding>>>>,
    proposals: RefCell<Vec<Claim>>,
    proposals_added: Notify,
    replay_state: watch::Sender<ReplayState>,
}

/// Progress of replaying a partition's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplayState {
    /// The end of the stream has not been reached.
    Behind,
    /// The end of the stream has not been reached, and the log is unavailable.
    LogUnavailable,
    /// The end of the stream has been reached once. From then on, the absence of a key proves that it was
    /// not claimed before.
    CaughtUp,
}

/// Returns the partition of a key.
fn partition_of(key: &Key) -> u64 {
    let hash = xxhash_rust::xxh3::xxh3_64(key.key.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(key.workspace.as_bytes(), hash) % PARTITION_COUNT
}

/// Returns the entries that follow a partition, writer first.
fn assigned_entries(shared: &Shared, index: u64) -> Vec<Name> {
    let mut entries = shared.peers();
    entries.push(own_address(shared));
    coord::pick::highest_ranked(index, entries.iter(), FOLLOWERS_PER_PARTITION)
}

fn own_address(shared: &Shared) -> Name {
    Name::from(shared.settings.peer_listen.to_string())
}

/// Runs the `claims` thread until all command senders are dropped.
pub async fn run(shared: Arc<Shared>, build_log: impl Fn() -> Box<dyn Log>, mut commands: channel::Receiver<Command>) {
    let mut partitions: HashMap<u64, Rc<Partition>> = HashMap::new();
    loop {
        for index in 0..PARTITION_COUNT {
            if !partitions.contains_key(&index) && assigned_entries(&shared, index).contains(&own_address(&shared)) {
                partitions.insert(index, Partition::start(&shared, index, build_log()));
            }
        }
        let command = match tokio::time::timeout(ASSIGNMENT_CHECK_INTERVAL, commands.recv()).await {
            Ok(Some(command)) => command,
            Ok(None) => return,
            Err(_) => continue,
        };
        let index = match &command {
            Command::Lookup(key, _) | Command::Claim(key, ..) => partition_of(key),
        };
        match (command, partitions.get(&index)) {
            (command, Some(partition)) => drop(tokio::task::spawn_local(partition.clone().handle_command(command))),
            // This entry cannot have bound a key of a partition that it does not follow.
            (Command::Lookup(_, reply), None) => drop(reply.send(None)),
            (command, None) => {
                let partition = Partition::start(&shared, index, build_log());
                partitions.insert(index, partition.clone());
                tokio::task::spawn_local(partition.handle_command(command));
            }
        }
    }
}

impl Partition {
    fn start(shared: &Shared, index: u64, log: Box<dyn Log>) -> Rc<Self> {
        let partition = Rc::new(Self {
            stream: format!("claims-{index}"),
            log,
            bindings: RefCell::new(Claims::new(shared.settings.idempotency_window)),
            waiting_replies: RefCell::default(),
            proposals: RefCell::default(),
            proposals_added: Notify::new(),
            replay_state: watch::channel(ReplayState::Behind).0,
        });
        event!("follow-claims", stream = %partition.stream);
        tokio::task::spawn_local(partition.clone().follow_stream());
        tokio::task::spawn_local(partition.clone().append_proposals());
        partition
    }

    async fn handle_command(self: Rc<Self>, command: Command) {
        // Nothing is answered before the stream has been replayed. If the log is unavailable, the reply is
        // dropped at once instead.
        let mut replay_state = self.replay_state.subscribe();
        match replay_state.wait_for(|replay_state| *replay_state != ReplayState::Behind).await {
            Ok(replay_state) if *replay_state == ReplayState::CaughtUp => {}
            _ => return,
        }
        match command {
            Command::Lookup(key, reply) => drop(reply.send(self.bindings.borrow().binding(&key).cloned())),
            Command::Claim(key, binding, reply) => self.propose(key, binding, reply),
        }
    }

    fn propose(&self, key: Key, binding: Binding, reply: oneshot::Sender<Binding>) {
        if let Some(existing) = self.bindings.borrow().binding(&key) {
            let _ = reply.send(existing.clone());
            return;
        }
        self.waiting_replies.borrow_mut().entry(key.clone()).or_default().push(reply);
        self.proposals.borrow_mut().push(Claim { key, binding });
        self.proposals_added.notify_one();
    }

    /// Appends the proposed claims in batches. Claims whose append fails are abandoned without a retry.
    async fn append_proposals(self: Rc<Self>) {
        let mut next_append = tokio::time::Instant::now();
        loop {
            if self.proposals.borrow().is_empty() {
                self.proposals_added.notified().await;
            }
            tokio::time::sleep_until(next_append).await;
            next_append = tokio::time::Instant::now() + APPEND_INTERVAL;
            let batch: Vec<Claim> = {
                let mut proposals = self.proposals.borrow_mut();
                let count = proposals.len().min(MAX_CLAIMS_PER_APPEND);
                proposals.drain(..count).collect()
            };
            if batch.is_empty() {
                continue;
            }
            let keys: Vec<Key> = batch.iter().map(|claim| claim.key.clone()).collect();
            let Ok(payload) = serde_json::to_vec(&Batch { claims: batch }) else { continue };
            if let Err(error) = self.log.append(&self.stream, Bytes::from(payload)).await {
                warn_event!("claim-failed", stream = %self.stream, keys = keys.len(), reason = %error);
                // Dropping the replies reports the failure to the requests. If the append took effect
                // despite the error, the claim is harmless.
                let mut waiting_replies = self.waiting_replies.borrow_mut();
                keys.iter().for_each(|key| drop(waiting_replies.remove(key)));
            }
        }
    }

    async fn follow_stream(self: Rc<Self>) {
        let mut progress = Progress::default();
        loop {
            let next = self.bindings.borrow().next_offset();
            let is_caught_up = *self.replay_state.borrow() == ReplayState::CaughtUp;
            let wait_ms = if is_caught_up { READ_WAIT_MS } else { 0 };
            let sent_at = util::now();
            match self.log.read(&self.stream, next, wait_ms).await {
                Ok(batch) => {
                    if batch.oldest > next {
                        // Claims that were trimmed before they were read are older than the idempotency
                        // window, which is shorter than the log's retention.
                        self.bindings.borrow_mut().skip_to(batch.oldest);
                    }
                    for record in &batch.records {
                        self.apply(record.offset, record.appended_at, &record.payload);
                    }
                    let next = self.bindings.borrow().next_offset();
                    if progress.record(Answer::of_log(sent_at, next, batch.end), next).is_some() {
                        self.replay_state.send_replace(ReplayState::CaughtUp);
                    }
                }
                Err(_) => {
                    if !is_caught_up {
                        self.replay_state.send_replace(ReplayState::LogUnavailable);
                    }
                    tokio::time::sleep(util::jitter(RETRY_DELAY)).await;
                }
            }
        }
    }

    fn apply(&self, offset: u64, appended_at: coord::time::Moment, payload: &[u8]) {
        let claims = match serde_json::from_slice::<Batch>(payload) {
            Ok(batch) => batch.claims,
            Err(error) => {
                warn_event!("record-unreadable", stream = %self.stream, offset, reason = %error);
                Vec::new()
            }
        };
        let mut bindings = self.bindings.borrow_mut();
        let mut waiting_replies = self.waiting_replies.borrow_mut();
        for claim in claims {
            let bound = bindings.apply(offset, appended_at, claim.key.clone(), claim.binding);
            for reply in waiting_replies.remove(&claim.key).unwrap_or_default() {
                let _ = reply.send(bound.clone());
            }
        }
        bindings.skip_to(offset + 1);
    }
}

/// Looks up a key in this entry's own partitions. The outer `None` means that the stream has not been
/// replayed yet.
pub async fn lookup_local(shared: &Shared, key: Key) -> Option<Option<Binding>> {
    let (reply, answer) = oneshot::channel();
    shared.claims.send(Command::Lookup(key, reply)).await.ok()?;
    tokio::time::timeout(LOOKUP_TIMEOUT, answer).await.ok()?.ok()
}

/// Binds a key at this entry, as writer of the key's partition; `None` if the log is unavailable.
pub async fn claim_local(shared: &Shared, key: Key, binding: Binding) -> Option<Binding> {
    let (reply, answer) = oneshot::channel();
    shared.claims.send(Command::Claim(key, binding, reply)).await.ok()?;
    tokio::time::timeout(CLAIM_TIMEOUT, answer).await.ok()?.ok()
}

/// Looks up the binding of a key at the writer of its partition or, if that fails, at the standby.
pub async fn lookup(shared: &Shared, key: &Key) -> Option<Binding> {
    for entry in assigned_entries(shared, partition_of(key)) {
        let found = if entry == own_address(shared) {
            lookup_local(shared, key.clone()).await
        } else {
            peer::fetch_binding(&entry, key).await.ok()
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
    for entry in assigned_entries(shared, partition_of(&key)) {
        let bound = if entry == own_address(shared) {
            claim_local(shared, key.clone(), binding.clone()).await
        } else {
            peer::request_claim(&entry, &key, &binding).await.ok().flatten()
        };
        if let Some(bound) = bound {
            return Ok(bound);
        }
    }
    event!("claims-unavailable", workspace = %key.workspace);
    let (known, ran) = query_peers(shared, &key).await;
    if let Some(bound) = known {
        return Ok(bound);
    }
    let message = "the platform's log does not take the claim of this key now; a ticket would not need it";
    Err(Failure::unavailable("claims_unavailable", message, RETRY_DELAY).with_ran(ran))
}

/// Queries all entries for a key. Returns its binding, if known, and whether the key is proven not to have
/// run.
async fn query_peers(shared: &Shared, key: &Key) -> (Option<Binding>, ExecutionStatus) {
    let peers = shared.peers();
    let mut ran = if peers.len() > MAX_PEERS_QUERIED { ExecutionStatus::Unknown } else { ExecutionStatus::No };
    let answers = peers.iter().take(MAX_PEERS_QUERIED).map(|entry| peer::fetch_binding(entry, key));
    for answer in futures_util::future::join_all(answers).await {
        match answer {
            Ok(Some(bound)) => return (Some(bound), ExecutionStatus::Unknown),
            Ok(None) => {}
            Err(_) => ran = ExecutionStatus::Unknown,
        }
    }
    (lookup_local(shared, key.clone()).await.flatten(), ran)
}
