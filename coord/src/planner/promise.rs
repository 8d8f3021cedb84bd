//! Records the promises that refused callers were given: a time to return, at which there will be capacity for them.
//!
//! This answers the load after a burst, when refused callers come back while new ones still arrive. A caller that
//! returns when told ranks before newcomers of its priority, so that it is not refused a second time. A return is
//! recognized by the fingerprint and the workspace of its request, which are the same in each attempt. Each return
//! consumes one promise. The number of promises is bounded, and each ends soon after its time.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::job::{Id, Job};
use crate::time::Moment;

/// Bounds the number of promises of one planner. Some hundred callers are served within the longest retry delay that
/// callers heed.
const MAX_PROMISES: usize = 512;
/// Bounds the number of promises for the same request, so that a caller that repeats it at once cannot take up the
/// capacity of others.
const MAX_PROMISES_PER_REQUEST: usize = 4;
/// Longest time by which a caller may return too early, since clocks and timers of callers are not exact.
const MAX_EARLY_RETURN: Duration = Duration::from_millis(50);
/// Longest time by which a caller may return too late. It covers a new connection, and the search for another entry.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(1);

/// Identity of a promise, the same at all entries that know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PromiseId(u64);

impl PromiseId {
    /// Returns the identity of the promise to the job `id` that the planner with `salt` makes at `now`.
    pub(super) fn new(salt: u64, id: Id, now: Moment) -> Self {
        let parts = [salt, id.entry, id.number, now.as_micros()].map(u64::to_le_bytes);
        Self(xxh3_64(parts.as_flattened()))
    }
}

/// Promise that a caller is served when it returns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Promise {
    /// Identity of the promise.
    pub id: PromiseId,
    /// Refused job.
    pub job: Job,
    /// Time to the first event that the caller accepts, counted from its return.
    pub first_event_within: Duration,
    /// Time at which the caller is to return.
    pub due: Moment,
    /// Time after which the promise is dropped.
    pub expires_at: Moment,
}

impl Promise {
    /// Creates a promise for a job that is refused.
    pub fn new(id: PromiseId, job: Job, first_event_within: Duration, due: Moment) -> Self {
        Self { id, job, first_event_within, due, expires_at: (due + MAX_RETURN_DELAY).min(job.deadline) }
    }

    fn is_expired(&self, now: Moment) -> bool {
        self.expires_at <= now
    }

    fn is_for(&self, job: &Job) -> bool {
        job.fingerprint.is_some() && self.job.fingerprint == job.fingerprint && self.job.workspace == job.workspace
    }
}

/// Counts of promises by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromiseCounts {
    /// Promises that were made.
    pub made: u64,
    /// Promises whose callers returned and were granted engines.
    pub kept: u64,
    /// Promises whose callers returned and were refused again.
    pub broken: u64,
    /// Promises whose callers did not return in time.
    pub expired: u64,
}

/// Promises that a planner made or was told of.
#[derive(Debug, Default)]
pub struct Promises {
    /// Promises whose callers have not returned, by the time of the return.
    standing: BTreeMap<(Moment, PromiseId), Promise>,
    /// Promises whose callers have returned. They are kept until they expire, so that a follower that reports one
    /// again does not renew it.
    redeemed: BTreeMap<PromiseId, Promise>,
    /// Counts since they were last taken.
    pub counts: PromiseCounts,
}

impl Promises {
    /// Adds a promise. Returns false if it is already known or expired, or if a bound is reached.
    pub fn add(&mut self, promise: Promise, now: Moment) -> bool {
        self.drop_expired(now);
        let is_known =
            self.redeemed.contains_key(&promise.id) || self.standing.contains_key(&(promise.due, promise.id));
        let is_known = is_known || self.standing.values().any(|known| known.id == promise.id);
        if is_known || promise.is_expired(now) || !self.has_room(&promise.job) {
            return false;
        }
        self.standing.insert((promise.due, promise.id), promise);
        true
    }

    /// Returns whether a promise for the job would be accepted.
    pub fn has_room(&self, job: &Job) -> bool {
        let is_same = |promise: &&Promise| promise.is_for(job);
        job.fingerprint.is_some()
            && self.standing.len() + self.redeemed.len() < MAX_PROMISES
            && self.standing.values().filter(is_same).count() < MAX_PROMISES_PER_REQUEST
    }

    /// Consumes the earliest promise for the job, if its time has come.
    pub fn redeem(&mut self, job: &Job, now: Moment) -> Option<PromiseId> {
        let until = now + MAX_EARLY_RETURN;
        let is_due = |promise: &&Promise| promise.is_for(job) && !promise.is_expired(now);
        let promise = *self.standing.values().take_while(|promise| promise.due <= until).find(is_due)?;
        self.standing.remove(&(promise.due, promise.id));
        self.redeemed.insert(promise.id, promise);
        Some(promise.id)
    }

    /// Restores a consumed promise whose caller left before it got engines.
    pub fn restore(&mut self, id: PromiseId) {
        if let Some(promise) = self.redeemed.remove(&id) {
            self.standing.insert((promise.due, promise.id), promise);
        }
    }

    /// Removes the promises whose callers did not return in time.
    pub fn drop_expired(&mut self, now: Moment) {
        let known = self.standing.len();
        self.standing.retain(|_, promise| !promise.is_expired(now));
        self.counts.expired += (known - self.standing.len()) as u64;
        self.redeemed.retain(|_, promise| !promise.is_expired(now));
    }

    /// Returns the promises whose callers have not returned, in the order of their returns.
    pub fn standing(&self) -> impl Iterator<Item = &Promise> {
        self.standing.values()
    }
}
