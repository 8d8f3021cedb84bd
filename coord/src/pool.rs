//! Pool of a bounded resource that callers make the process hold: decides what fits, and which holder gives way.
//!
//! A process runs out of memory or file descriptors if callers hold more than it has. A bound on the sum alone moves the
//! fault: callers that hold their part for good would leave the others without any. Therefore each holder records whom
//! it waits for and how its caller progresses. While something does not fit, holders give way in this order:
//!
//! 1. Stalled holders: the process waits for the caller, and the caller has made no progress for some time. First those
//!    that waste most, which is the amount held times the time without progress.
//! 2. Idle holders, whose caller has begun nothing new since its last request: the longest idle first. They are safe
//!    while unfinished holders have more than half of the capacity: a crowd that begins and never finishes would otherwise
//!    displace the callers that have finished requests, before it counts as stalled.
//! 3. Holders that receive, are younger than the one that asks for more, and hold something: the youngest first. Two
//!    holders that wait for each other's part would otherwise wait for ever.
//!
//! Holders that the process works for never give way: their request is complete, and may have been sent to a replica.
//! A part of the capacity is kept for small holders, so that large ones delay them only until others give way.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::invariant;
use crate::time::Moment;

/// Least rate at which a caller has to send or read to make full progress, in bytes per second. A caller that sends a
/// byte now and then falls behind almost as fast as one that sends nothing.
pub const MIN_PROGRESS_RATE: u64 = 16 << 10;
/// Time in which a caller that makes full progress sends or reads all that it holds.
pub const FULL_PROGRESS_TIME: Duration = Duration::from_secs(8);

/// Bounds of a pool, in units of its resource.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Amount for all holders together.
    pub capacity: u64,
    /// Part of the capacity that only small holders get.
    pub small_reserve: u64,
    /// Largest amount of a small holder.
    pub small_amount: u64,
    /// Time without progress of its caller after which a holder counts as stalled.
    pub stall_timeout: Duration,
}

impl Bounds {
    /// Returns the bounds of a pool of which nothing is kept for small holders.
    pub fn new(capacity: u64, stall_timeout: Duration) -> Self {
        Self { capacity, small_reserve: 0, small_amount: 0, stall_timeout }
    }
}

/// Identifies a holder. Later holders have larger ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// What a holder waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The caller has begun nothing since its last request.
    Idle,
    /// The caller has to send the rest of a request, or to read a response.
    Caller,
    /// The process has to complete a request that has arrived.
    Process,
    /// The holder gave way. It counts until its owner has released what it holds and closes it.
    Evicted,
}

/// Answer to a request for more of the resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The holder has the amount.
    Granted,
    /// The amount does not fit now. It may fit after a holder has closed or stalled.
    Wait,
    /// The holder gave way or was closed before.
    Gone,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    amount: u64,
    stage: Stage,
    /// Time up to which the caller's progress counts as full.
    progress_at: Moment,
    /// Whether the holder waits for more of the resource, which is not its caller's fault.
    is_waiting: bool,
}

impl Holder {
    /// Returns the time by which the caller is behind full progress.
    fn lag(&self, now: Moment) -> Duration {
        if self.is_waiting { Duration::ZERO } else { now.since(self.progress_at) }
    }
}

/// Holder that asks for more, and what decides who gives way to it.
struct Asker {
    id: HolderId,
    /// Whether younger holders that make progress give way to it. One that holds nothing can wait without blocking
    /// anyone.
    displaces_younger: bool,
    /// Whether idle holders give way to it.
    displaces_idle: bool,
    stall_timeout: Duration,
    now: Moment,
}

impl Asker {
    /// Returns the rank by which a holder gives way, smallest first, or `None` if it does not.
    fn rank(&self, id: HolderId, holder: &Holder) -> Option<(u8, Reverse<u128>)> {
        let lag = holder.lag(self.now);
        match holder.stage {
            Stage::Caller if lag >= self.stall_timeout => {
                Some((0, Reverse(u128::from(holder.amount) * lag.as_micros())))
            }
            Stage::Idle if self.displaces_idle => Some((1, Reverse(lag.as_micros()))),
            Stage::Caller if self.displaces_younger && id > self.id => Some((2, Reverse(u128::from(id.0)))),
            Stage::Caller | Stage::Idle | Stage::Process | Stage::Evicted => None,
        }
    }
}

/// Pool of a resource.
#[derive(Debug)]
pub struct Pool {
    bounds: Bounds,
    holders: BTreeMap<HolderId, Holder>,
    used: u64,
    last_id: u64,
    /// Holders that gave way since the last call of [`Pool::take_evicted`].
    evicted: Vec<HolderId>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, holders: BTreeMap::new(), used: 0, last_id: 0, evicted: Vec::new() }
    }

    /// Changes the bounds. Holders above a smaller capacity give way only when another one asks for more.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Adds a holder that holds nothing yet.
    pub fn open(&mut self, stage: Stage, now: Moment) -> HolderId {
        self.last_id += 1;
        let id = HolderId(self.last_id);
        self.holders.insert(id, Holder { amount: 0, stage, progress_at: now, is_waiting: false });
        id
    }

    /// Removes a holder, whose owner has released what it held.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.used -= holder.amount;
        }
        let is_consistent = !self.holders.is_empty() || self.used == 0;
        invariant!(is_consistent, "a pool without holders is unused");
    }

    /// Raises the amount of a holder to `amount`, for which others may give way. A smaller amount than it holds is
    /// granted without any change. A holder that has to wait does not stall until it has the amount or stops waiting.
    pub fn grow(&mut self, id: HolderId, amount: u64, now: Moment) -> Grant {
        let Some(holder) = self.holders.get(&id).copied() else { return Grant::Gone };
        if holder.stage == Stage::Evicted {
            return Grant::Gone;
        }
        let needed = self.used + amount.saturating_sub(holder.amount);
        let limit = self.limit_for(amount);
        if needed > limit {
            self.evict_for(id, holder, needed - limit, now);
        }
        let Some(holder) = self.holders.get_mut(&id) else { return Grant::Gone };
        if needed > limit {
            holder.is_waiting = true;
            return Grant::Wait;
        }
        if std::mem::take(&mut holder.is_waiting) {
            holder.progress_at = now;
        }
        holder.amount = holder.amount.max(amount);
        self.used = needed;
        Grant::Granted
    }

    /// Records that a holder waits for more no longer, although it did not get it.
    pub fn stop_waiting(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_waiting = false;
        }
    }

    /// Lowers the amount of a holder to `amount`.
    pub fn shrink(&mut self, id: HolderId, amount: u64) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        let freed = holder.amount.saturating_sub(amount);
        holder.amount -= freed;
        self.used -= freed;
    }

    /// Records that the caller has sent or read `bytes` bytes.
    pub fn record_progress(&mut self, id: HolderId, bytes: u64, now: Moment) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        let rate = MIN_PROGRESS_RATE.max(holder.amount / FULL_PROGRESS_TIME.as_secs());
        let earned = Duration::from_micros(bytes.saturating_mul(1_000_000) / rate);
        holder.progress_at = (holder.progress_at + earned).min(now);
    }

    /// Records what a holder waits for. A change of it counts as progress.
    pub fn set_stage(&mut self, id: HolderId, stage: Stage, now: Moment) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        if holder.stage != stage && holder.stage != Stage::Evicted {
            holder.stage = stage;
            holder.progress_at = now;
        }
    }

    /// Returns the holders that gave way since the last call. Their owners have to release what they hold at once, and
    /// to close them.
    pub fn take_evicted(&mut self) -> Vec<HolderId> {
        std::mem::take(&mut self.evicted)
    }

    /// Returns the time by which a holder's caller is behind full progress; zero if the holder gave way or is not
    /// waiting for its caller.
    pub fn lag(&self, id: HolderId, now: Moment) -> Duration {
        self.holders.get(&id).map_or(Duration::ZERO, |holder| match holder.stage {
            Stage::Process | Stage::Evicted => Duration::ZERO,
            Stage::Idle | Stage::Caller => holder.lag(now),
        })
    }

    /// Returns the amount that all holders hold.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns the number of holders.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether nobody holds anything.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Returns whether an amount can fit at all.
    pub fn can_ever_fit(&self, amount: u64) -> bool {
        amount <= self.limit_for(amount)
    }

    /// Returns the part of the capacity that a holder of `amount` may use.
    fn limit_for(&self, amount: u64) -> u64 {
        let is_small = amount <= self.bounds.small_amount;
        self.bounds.capacity - if is_small { 0 } else { self.bounds.small_reserve.min(self.bounds.capacity) }
    }

    /// Evicts holders until `excess` is free, in the order in which they give way.
    fn evict_for(&mut self, id: HolderId, holder: Holder, excess: u64, now: Moment) {
        let asker = Asker {
            id,
            displaces_younger: holder.amount > 0 && holder.stage == Stage::Caller,
            displaces_idle: 2 * self.held_in(Stage::Caller) <= self.bounds.capacity,
            stall_timeout: self.bounds.stall_timeout,
            now,
        };
        let mut excess = excess.saturating_sub(self.held_in(Stage::Evicted));
        for (_, id) in self.ranked(&asker) {
            if excess == 0 {
                return;
            }
            let Some(evicted) = self.holders.get_mut(&id) else { continue };
            evicted.stage = Stage::Evicted;
            excess = excess.saturating_sub(evicted.amount);
            self.evicted.push(id);
        }
    }

    /// Returns the holders that give way to another one, in order.
    fn ranked(&self, asker: &Asker) -> Vec<((u8, Reverse<u128>), HolderId)> {
        let others = self.holders.iter().filter(|(id, other)| **id != asker.id && other.amount > 0);
        let mut ranked: Vec<_> = others.filter_map(|(id, other)| Some((asker.rank(*id, other)?, *id))).collect();
        ranked.sort();
        ranked
    }

    /// Returns the amount that all holders in a stage hold.
    fn held_in(&self, stage: Stage) -> u64 {
        self.holders.values().filter(|holder| holder.stage == stage).map(|holder| holder.amount).sum()
    }
}
