//! The `claims` thread: binds callers' keys to sidecar runs through the log.
//!
//! Claims that come together go into one append. The first offset wins, so two
//! entries that claim one key at once learn the same binding.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coord::claim::{Binding, Board, Key};
use coord::name::Ran;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, oneshot};

use super::failure::Failure;
use super::{Shared, peer};
use crate::platform::Log;
use crate::{event, ring, util, warn_event};

/// Stream of claims.
const CLAIMS: &str = "claims";
/// How long a read may wait for news, in milliseconds.
const READ_WAIT_MS: u64 = 2_000;
/// Claims that come within this span share one append.
const GROUP: Duration = Duration::from_millis(2);
/// Most claims in one append.
const MOST_IN_GROUP: usize = 256;
/// Pause after a failed call to the log, and when callers are told to come back.
const RETRY: Duration = Duration::from_millis(300);

/// Commands to the claims thread.
pub enum Command {
    /// Who holds this key, as far as read?
    Lookup(Key, oneshot::Sender<Option<Binding>>),
    /// Bind this key, unless it is bound; answered once read back, or dropped if the log is out.
    Claim(Key, Binding, oneshot::Sender<Binding>),
}

/// Claims in one append.
#[derive(Serialize, Deserialize)]
struct Group {
    claims: Vec<Claim>,
}

#[derive(Serialize, Deserialize)]
struct Claim {
    key: Key,
    binding: Binding,
}

struct Binder {
    log: Box<dyn Log>,
    board: RefCell<Board>,
    waiting: RefCell<HashMap<Key, Vec<oneshot::Sender<Binding>>>>,
    proposed: RefCell<Vec<Claim>>,
    work: Notify,
}

/// Runs the thread.
pub async fn run(shared: Arc<Shared>, log: Box<dyn Log>, mut commands: ring::Receiver<Command>) {
    let binder = Rc::new(Binder {
        log,
        board: RefCell::new(Board::new(shared.settings.once_window)),
        waiting: RefCell::default(),
        proposed: RefCell::default(),
        work: Notify::new(),
    });
    tokio::task::spawn_local(binder.clone().follow());
    tokio::task::spawn_local(binder.clone().append());
    while let Some(command) = commands.recv().await {
        binder.handle(command);
    }
}

impl Binder {
    fn handle(&self, command: Command) {
        match command {
            Command::Lookup(key, reply) => drop(reply.send(self.board.borrow().binding(&key).cloned())),
            Command::Claim(key, binding, reply) => self.propose(key, binding, reply),
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

    /// Appends what was proposed, in groups. What cannot be appended is given up at once.
    async fn append(self: Rc<Self>) {
        loop {
            if self.proposed.borrow().is_empty() {
                self.work.notified().await;
                tokio::time::sleep(GROUP).await;
            }
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
            if let Err(error) = self.log.append(CLAIMS, Bytes::from(payload)).await {
                warn_event!("claim-failed", stream = CLAIMS, keys = keys.len(), reason = %error);
                // Dropping the replies tells the callers; a claim that took effect all the same is harmless.
                let mut waiting = self.waiting.borrow_mut();
                keys.iter().for_each(|key| drop(waiting.remove(key)));
            }
        }
    }

    async fn follow(self: Rc<Self>) {
        loop {
            let next = self.board.borrow().next();
            match self.log.read(CLAIMS, next, READ_WAIT_MS).await {
                Ok(batch) => {
                    if batch.oldest > next {
                        // Claims that were trimmed unread are older than the window, which is below the retention.
                        self.board.borrow_mut().skip_to(batch.oldest);
                    }
                    for entry in &batch.entries {
                        self.take(entry.offset, entry.at, &entry.payload);
                    }
                }
                Err(_) => tokio::time::sleep(util::jitter(RETRY)).await,
            }
        }
    }

    fn take(&self, offset: u64, at: coord::time::Moment, payload: &[u8]) {
        let claims = match serde_json::from_slice::<Group>(payload) {
            Ok(group) => group.claims,
            Err(error) => {
                warn_event!("record-unreadable", stream = CLAIMS, offset, reason = %error);
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

fn stopping() -> Failure {
    Failure::busy("stopping", "the entry is stopping", RETRY)
}

/// Who holds a key, as far as this entry has read the log.
pub async fn lookup(shared: &Shared, key: Key) -> Result<Option<Binding>, Failure> {
    let (reply, answer) = oneshot::channel();
    shared.claims.send(Command::Lookup(key, reply)).await.map_err(|_| stopping())?;
    answer.await.map_err(|_| stopping())
}

/// Binds a key to `binding`, unless it is bound; returns the binding that holds.
///
/// When the log is out, the other entries are asked: an entry runs a claim only
/// after it has read it back, so if none knows the key, nothing under it ran.
pub async fn claim(shared: &Shared, key: Key, binding: Binding, limit: Duration) -> Result<Binding, Failure> {
    let (reply, answer) = oneshot::channel();
    shared.claims.send(Command::Claim(key.clone(), binding, reply)).await.map_err(|_| stopping())?;
    if let Ok(Ok(bound)) = tokio::time::timeout(limit, answer).await {
        return Ok(bound);
    }
    event!("claims-out", workspace = %key.workspace);
    let mut ran = Ran::No;
    for entry in shared.peers() {
        match peer::binding(&entry, &key).await {
            Ok(Some(bound)) => return Ok(bound),
            Ok(None) => {}
            Err(_) => ran = Ran::Unknown,
        }
    }
    let message = "the platform's log does not take the claim of this key now; a ticket would not need it";
    Err(Failure::busy("claims_unavailable", message, RETRY).ran(ran))
}
