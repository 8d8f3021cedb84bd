//! The `log` thread: replays the configuration, and appends plans and confirmations.
//!
//! Snapshots have their own stream, which is read only after a start or a gap, so that following the
//! configuration costs no more than reading the changes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coord::intent::Config;
use coord::name::Name;
use coord::progress::{Answer, Progress};
use coord::replay::{Record, Replay, Snapshot, Verdict};
use coord::time::Moment;
use eyre::{Result, WrapErr};
use serde::{Deserialize, Serialize};
use tokio::sync::{oneshot, watch};

use super::event_loop;
use super::{Shared, peer};
use crate::platform::{Batch, Log};
use crate::{channel, event, util, warn_event};

/// Stream of plans and confirmations.
const CONFIG_STREAM: &str = "config";
/// Stream of snapshots.
const SNAPSHOT_STREAM: &str = "config-snapshots";
/// Maximum time that a read waits for new records, in milliseconds.
const READ_WAIT_MS: u64 = 2_000;
/// Delay after a failed log call.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time during which an append is retried before the operator is told that its outcome is unknown.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of records after which a snapshot is due.
const SNAPSHOT_INTERVAL_RECORDS: u64 = 512;
/// Maximum size of the snapshot part in one record, in bytes.
const MAX_PART_BYTES: usize = 256 * 1_024;

/// Commands to the `log` thread.
pub enum Command {
    /// Appends a plan; replies once the plan has been replayed.
    AppendPlan(Record, oneshot::Sender<Result<()>>),
    /// Confirms a plan; replies with its verdict once the confirmation has been replayed.
    ConfirmPlan(Name, oneshot::Sender<Result<Verdict>>),
    /// Returns a snapshot of the replayed state if its next offset is above the given one.
    GetSnapshot(u64, oneshot::Sender<Option<Snapshot>>),
}

/// A part of a snapshot; a snapshot that does not fit into one record has several parts.
#[derive(Serialize, Deserialize)]
struct SnapshotPart {
    id: Name,
    part: usize,
    parts: usize,
    text: String,
}

struct Follower {
    shared: Arc<Shared>,
    log: Box<dyn Log>,
    replay: RefCell<Replay>,
    progress: RefCell<Progress>,
    /// Whether the replayed configuration may be used. Before, it may be one that the rest of the log replaces.
    is_usable: Cell<bool>,
    /// Offset of the next record to replay; appends that wait to be replayed subscribe to it.
    next_offset: watch::Sender<u64>,
    config_sender: watch::Sender<Arc<Config>>,
    last_snapshot: RefCell<(Moment, u64)>,
}

/// Runs the `log` thread until all command senders are dropped.
pub async fn run(
    shared: Arc<Shared>,
    log: Box<dyn Log>,
    config_sender: watch::Sender<Arc<Config>>,
    mut commands: channel::Receiver<Command>,
) {
    let follower = Rc::new(Follower {
        shared,
        log,
        replay: RefCell::new(Replay::new()),
        progress: RefCell::default(),
        is_usable: Cell::new(false),
        next_offset: watch::channel(0).0,
        config_sender,
        last_snapshot: RefCell::new((util::now(), 0)),
    });
    let follow_task = tokio::task::spawn_local(follower.clone().follow());
    while let Some(command) = commands.recv().await {
        let follower = follower.clone();
        tokio::task::spawn_local(async move { follower.handle_command(command).await });
    }
    follow_task.abort();
}

impl Follower {
    async fn handle_command(&self, command: Command) {
        match command {
            Command::AppendPlan(record, reply) => drop(reply.send(self.append_plan(&record).await)),
            Command::ConfirmPlan(plan, reply) => drop(reply.send(self.append_confirm(&plan).await)),
            Command::GetSnapshot(next, reply) => {
                let replay = self.replay.borrow();
                let is_newer = self.is_usable.get() && replay.next_offset() > next;
                let _ = reply.send(is_newer.then(|| replay.snapshot()));
            }
        }
    }

    /// Follows the log; while the log is unavailable, follows the peers' snapshots.
    async fn follow(self: Rc<Self>) {
        let mut is_reachable = true;
        let mut is_restored = self.restore_from_peers().await;
        loop {
            let next = self.replay.borrow().next_offset();
            let sent_at = util::now();
            let wait_ms = if self.is_usable.get() { READ_WAIT_MS } else { 0 };
            match self.log.read(CONFIG_STREAM, next, wait_ms).await {
                Ok(batch) => {
                    if !is_reachable {
                        event!("log-reachable", stream = CONFIG_STREAM);
                    }
                    is_reachable = true;
                    self.apply_batch(&batch).await;
                    self.record(sent_at, batch.end);
                    self.publish().await;
                    self.publish_snapshot().await;
                }
                Err(error) => {
                    if is_reachable {
                        warn_event!("log-unreachable", stream = CONFIG_STREAM, reason = %error);
                    }
                    is_reachable = false;
                    is_restored |= self.restore_from_peers().await;
                    if is_restored {
                        self.is_usable.set(true);
                        self.publish().await;
                    }
                    tokio::time::sleep(util::jitter(RETRY_DELAY)).await;
                }
            }
        }
    }

    async fn apply_batch(&self, batch: &Batch) {
        let next = self.replay.borrow().next_offset();
        if batch.oldest > next {
            // Records before `oldest` have been trimmed, so the state must be restored from a snapshot.
            event!("log-gap", stream = CONFIG_STREAM, next, oldest = batch.oldest);
            self.restore_across_gap(batch.oldest).await;
            return;
        }
        for record in &batch.records {
            match serde_json::from_slice::<Record>(&record.payload) {
                Ok(decoded) => {
                    self.replay.borrow_mut().apply(record.offset, &decoded);
                }
                Err(error) => {
                    warn_event!("record-unreadable", stream = CONFIG_STREAM, offset = record.offset, reason = %error);
                    self.replay.borrow_mut().skip(record.offset);
                }
            }
        }
    }

    /// Records an answer of the log that was applied. The configuration may be used once the log was read to its end.
    fn record(&self, sent_at: Moment, end: u64) {
        let next = self.replay.borrow().next_offset();
        if self.progress.borrow_mut().record(Answer::of_log(sent_at, next, end), next).is_some() {
            self.is_usable.set(true);
        }
    }

    /// Tells the other threads of the replayed state.
    async fn publish(&self) {
        let (config, next) = {
            let replay = self.replay.borrow();
            (replay.config().clone(), replay.next_offset())
        };
        let is_changed = config.revision != self.config_sender.borrow().revision;
        if is_changed && self.is_usable.get() {
            let _ = self.shared.event_loop.send(event_loop::Command::UpdateConfig(config.clone())).await;
            self.config_sender.send_replace(config);
        }
        self.next_offset.send_replace(next);
    }

    fn restore(&self, snapshot: &Snapshot, source: &str) {
        if self.replay.borrow_mut().restore(snapshot) {
            event!("restored", peer = source, next = snapshot.next, revision = snapshot.config.revision);
        }
    }

    /// Restores the newest state that any peer has. Returns whether a peer had a newer one.
    async fn restore_from_peers(&self) -> bool {
        let mut is_restored = false;
        for entry in self.shared.peers() {
            let next = self.replay.borrow().next_offset();
            if let Ok(Some(snapshot)) = peer::fetch_snapshot(&entry, next).await {
                self.restore(&snapshot, &entry);
                is_restored = true;
            }
        }
        is_restored
    }

    /// Restores the state across a gap of trimmed records before `oldest`, from a peer or from a published
    /// snapshot.
    async fn restore_across_gap(&self, oldest: u64) {
        self.restore_from_peers().await;
        if self.replay.borrow().next_offset() >= oldest {
            return;
        }
        match self.read_snapshot().await {
            Ok(Some(snapshot)) if snapshot.next >= oldest => self.restore(&snapshot, SNAPSHOT_STREAM),
            Ok(_) => {
                warn_event!("no-snapshot", stream = SNAPSHOT_STREAM, oldest);
                tokio::time::sleep(util::jitter(RETRY_DELAY)).await;
            }
            Err(error) => warn_event!("no-snapshot", stream = SNAPSHOT_STREAM, oldest, reason = %error),
        }
    }

    /// Reads the newest complete snapshot from the log.
    async fn read_snapshot(&self) -> Result<Option<Snapshot>> {
        let mut newest: Option<Snapshot> = None;
        let mut parts: Vec<SnapshotPart> = Vec::new();
        let mut next = 0;
        loop {
            let batch = self.log.read(SNAPSHOT_STREAM, next, 0).await?;
            for record in &batch.records {
                let Ok(part) = serde_json::from_slice::<SnapshotPart>(&record.payload) else { continue };
                parts.retain(|other| other.id != part.id || other.part != part.part);
                parts.push(part);
                if let Some(complete) = take_complete_snapshot(&mut parts)
                    && newest.as_ref().is_none_or(|newest| newest.next < complete.next)
                {
                    newest = Some(complete);
                }
            }
            match batch.records.last() {
                Some(last) if last.offset + 1 < batch.end => next = last.offset + 1,
                _ => return Ok(newest),
            }
        }
    }

    /// Publishes a snapshot when one is due. Concurrent snapshots are harmless, since readers take the
    /// newest.
    async fn publish_snapshot(&self) {
        let (at, records) = *self.last_snapshot.borrow();
        let next = self.replay.borrow().next_offset();
        let is_due = next.saturating_sub(records) >= SNAPSHOT_INTERVAL_RECORDS
            || util::now().since(at) >= self.shared.settings.snapshot_interval;
        if !is_due || next == 0 || !self.is_snapshot_writer(next) {
            return;
        }
        *self.last_snapshot.borrow_mut() = (util::now(), next);
        let snapshot = self.replay.borrow().snapshot();
        if let Err(error) = self.write_snapshot(&snapshot).await {
            warn_event!("snapshot-failed", stream = SNAPSHOT_STREAM, reason = %error);
        }
    }

    /// Returns whether rendezvous hashing selects this entry to write the snapshot. All entries compute the
    /// same writer without communicating.
    fn is_snapshot_writer(&self, next: u64) -> bool {
        let own_address = Name::from(self.shared.settings.peer_listen.to_string());
        let mut entries = self.shared.peers();
        entries.push(own_address.clone());
        let snapshot_index = next / SNAPSHOT_INTERVAL_RECORDS;
        coord::pick::highest_ranked(snapshot_index, entries.iter(), 1).contains(&own_address)
    }

    async fn write_snapshot(&self, snapshot: &Snapshot) -> Result<()> {
        let text = serde_json::to_string(snapshot).wrap_err("step=encode-snapshot")?;
        let pieces = split_text(&text, MAX_PART_BYTES);
        let id = Name::from(format!("{}-{}", snapshot.next, util::incarnation()));
        for (part, piece) in pieces.iter().enumerate() {
            let part = SnapshotPart { id: id.clone(), part, parts: pieces.len(), text: (*piece).to_owned() };
            let payload = serde_json::to_vec(&part).wrap_err("step=encode-snapshot")?;
            self.log.append(SNAPSHOT_STREAM, Bytes::from(payload)).await?;
        }
        event!("snapshot", next = snapshot.next, bytes = text.len(), parts = pieces.len());
        Ok(())
    }

    /// Appends a record repeatedly until `is_replayed` reports that it has been replayed.
    async fn append_until(&self, record: &Record, is_replayed: impl Fn(&Replay) -> bool) -> Result<()> {
        let payload = Bytes::from(serde_json::to_vec(record).wrap_err("step=encode-record")?);
        let mut next_offset = self.next_offset.subscribe();
        let append = async {
            while !is_replayed(&self.replay.borrow()) {
                // A failed append may have taken effect, so a record can be appended twice; replay ignores
                // the duplicate.
                if self.log.append(CONFIG_STREAM, payload.clone()).await.is_err() {
                    tokio::time::sleep(util::jitter(RETRY_DELAY)).await;
                }
                let read_back = next_offset.wait_for(|_| is_replayed(&self.replay.borrow()));
                let _ = tokio::time::timeout(Duration::from_millis(500), read_back).await;
            }
        };
        tokio::time::timeout(APPEND_TIMEOUT, append).await.wrap_err("step=append: the log did not answer in time")
    }

    async fn append_plan(&self, record: &Record) -> Result<()> {
        let Record::Plan { id, .. } = record else { return Ok(()) };
        self.append_until(record, |replay| replay.has_plan(id) || replay.verdict(id).is_some()).await
    }

    async fn append_confirm(&self, plan: &Name) -> Result<Verdict> {
        let record = Record::Confirm { plan: plan.clone() };
        self.append_until(&record, |replay| replay.verdict(plan).is_some()).await?;
        let verdict = self.replay.borrow().verdict(plan).cloned();
        verdict.ok_or_else(|| eyre::eyre!("step=confirm: the verdict was forgotten"))
    }
}

fn split_text(text: &str, max_bytes: usize) -> Vec<&str> {
    let mut pieces = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let mut end = rest.len().min(max_bytes);
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (piece, after) = rest.split_at(end);
        pieces.push(piece);
        rest = after;
    }
    pieces
}

/// Removes a complete snapshot from `parts` and returns it, if the newest part completes one.
fn take_complete_snapshot(parts: &mut Vec<SnapshotPart>) -> Option<Snapshot> {
    let (id, count) = parts.last().map(|part| (part.id.clone(), part.parts))?;
    if parts.iter().filter(|part| part.id == id).count() < count {
        return None;
    }
    let (mut complete, rest): (Vec<SnapshotPart>, Vec<SnapshotPart>) = parts.drain(..).partition(|part| part.id == id);
    *parts = rest;
    complete.sort_by_key(|part| part.part);
    let text: String = complete.into_iter().map(|part| part.text).collect();
    serde_json::from_str(&text).ok()
}
