//! Holders of memory and connections, shared between the tasks of a process. What gives way is decided in
//! [`coord::pool`].

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coord::log_limit::LogLimit;
use coord::pool::{Bounds, Grant, HolderId, Pool, Stage};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::{metric, util, warn_event};

/// Longest wait of a holder that holds nothing yet: half of the delay after which its caller would ask again.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without progress after which a holder of memory counts as stalled. Several retransmissions fit into it, so that a
/// lossy link alone does not stall a caller.
pub const MEMORY_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait of a holder that already holds something. Stalled holders have given way by then.
const GROWTH_TIMEOUT: Duration = MEMORY_STALL_TIMEOUT;
/// Interval at which a waiting holder asks again although nothing was released, since others stall by time.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Log lines a second about holders that gave way. A crowd that comes back must not fill the log.
const MAX_LINES_PER_S: u32 = 1;

/// Reason why a holder did not get more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// It did not fit in time.
    Exhausted,
    /// The holder gave way to another one.
    GaveWay,
}

impl std::fmt::Display for Shortage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Shortage::Exhausted => "too many large bodies are in flight",
            Shortage::GaveWay => "the body came too slowly while others waited for memory",
        })
    }
}

/// Pool that tasks share; clones are the same pool.
#[derive(Clone)]
pub struct Holders(Arc<Inner>);

struct Inner {
    /// What the pool is of, for logs and metrics.
    name: &'static str,
    state: Mutex<State>,
    /// Notified when something was released.
    released: Notify,
}

struct State {
    pool: Pool,
    /// Set to true when the holder gives way.
    evictions: HashMap<HolderId, watch::Sender<bool>>,
    log: LogLimit,
}

impl State {
    /// Tells the holders that gave way.
    fn announce_evicted(&mut self, name: &'static str) {
        for id in self.pool.take_evicted() {
            if let Some(eviction) = self.evictions.get(&id) {
                eviction.send_replace(true);
            }
            metric::record_gave_way(name);
            if let Some(left_out) = self.log.record(util::now()) {
                warn_event!("gave-way", pool = name, used = self.pool.used(), holders = self.pool.len(), left_out);
            }
        }
    }
}

impl Holders {
    /// Creates a pool.
    pub fn new(name: &'static str, bounds: Bounds) -> Self {
        let log = LogLimit::new(MAX_LINES_PER_S);
        let state = State { pool: Pool::new(bounds), evictions: HashMap::new(), log };
        Self(Arc::new(Inner { name, state: Mutex::new(state), released: Notify::new() }))
    }

    /// Adds a holder that holds nothing yet.
    pub fn open(&self, stage: Stage) -> Holder {
        let (sender, eviction) = watch::channel(false);
        let mut state = self.lock();
        let id = state.pool.open(stage, util::now());
        state.evictions.insert(id, sender);
        Holder { holders: self.clone(), id, eviction }
    }

    /// Changes the bounds.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.lock().pool.set_bounds(bounds);
        self.0.released.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Part of a pool, released on drop: a request may be cut off at any `await`, and its memory must come back all the same.
pub struct Holder {
    holders: Holders,
    id: HolderId,
    eviction: watch::Receiver<bool>,
}

impl Holder {
    /// Asks for the amount once. A holder that has to wait for it asks again.
    fn try_grow(&self, amount: usize) -> Grant {
        let mut state = self.holders.lock();
        let grant = state.pool.grow(self.id, amount as u64, util::now());
        state.announce_evicted(self.holders.0.name);
        grant
    }

    /// Raises the amount if there is room for it now.
    pub fn grow_now(&self, amount: usize) -> bool {
        let is_granted = self.try_grow(amount) == Grant::Granted;
        if !is_granted {
            self.holders.lock().pool.stop_waiting(self.id);
        }
        is_granted
    }

    /// Raises the amount, and waits a short time for it. `is_first` tells that it holds nothing yet.
    pub async fn grow(&self, amount: usize, is_first: bool) -> Result<(), Shortage> {
        let deadline = Instant::now() + if is_first { ADMISSION_TIMEOUT } else { GROWTH_TIMEOUT };
        match tokio::time::timeout_at(deadline, self.wait_to_grow(amount)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(Shortage::Exhausted),
        }
    }

    /// Raises the amount, and waits for it as long as it takes.
    pub async fn wait_to_grow(&self, amount: usize) -> Result<(), Shortage> {
        loop {
            let mut released = std::pin::pin!(self.holders.0.released.notified());
            released.as_mut().enable();
            match self.try_grow(amount) {
                Grant::Granted => return Ok(()),
                Grant::Gone => return Err(Shortage::GaveWay),
                // A timeout leads to the same check as a release.
                Grant::Wait => drop(tokio::time::timeout(RECHECK_INTERVAL, released).await),
            }
        }
    }

    /// Lowers the amount.
    pub fn shrink(&self, amount: usize) {
        self.holders.lock().pool.shrink(self.id, amount as u64);
        self.holders.0.released.notify_waiters();
    }

    /// Records that the caller has sent or read `bytes` bytes.
    pub fn record_progress(&self, bytes: usize) {
        self.holders.lock().pool.record_progress(self.id, bytes as u64, util::now());
    }

    /// Records what the holder waits for.
    pub fn set_stage(&self, stage: Stage) {
        self.holders.lock().pool.set_stage(self.id, stage, util::now());
    }

    /// Returns whether an amount can fit at all.
    pub fn can_ever_have(&self, amount: usize) -> bool {
        self.holders.lock().pool.can_ever_fit(amount as u64)
    }

    /// Returns a future that completes when the holder gives way.
    pub fn eviction(&self) -> impl Future<Output = ()> + Send + use<> {
        let mut eviction = self.eviction.clone();
        async move {
            // Without its holder, the future is not polled.
            let _ = eviction.wait_for(|is_evicted| *is_evicted).await;
        }
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        let mut state = self.holders.lock();
        state.pool.close(self.id);
        state.evictions.remove(&self.id);
        drop(state);
        self.holders.0.released.notify_waiters();
    }
}
