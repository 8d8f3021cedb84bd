//! Tracks the engine time that each workspace has used recently, and computes how much of it is a fair share.
//!
//! This handles a load in which one workspace sends many times what there is room for: without shares, each workspace
//! gets engines in proportion to what it sends, so that workspaces that send little are starved by one that sends
//! much. Shares are max-min fair: a workspace that asks for less than an equal share gets all that it asks for, and
//! what it leaves goes to the others. All workspaces have the same weight. Workspaces of different priorities do not
//! share, because the more urgent priority goes first.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::job::{Id, Job};
use super::owner::{Owner, OwnerMap};
use crate::time::Moment;

/// Half-life of the recorded use. It spans some dozens of prompts of a busy workspace, and a workspace that has paused
/// for a few seconds counts as idle.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Use below which a workspace without running jobs is forgotten, in milliseconds; less than any prompt takes.
const MIN_USE_MS: f64 = 1.0;
/// Interval at which decayed use is forgotten.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of half-lives after which the scale of the recorded use is reset, well before it exceeds the range of `f64`.
const MAX_SCALE_HALF_LIVES: f64 = 64.0;

/// Engine time that one owner has used recently.
///
/// The use at a time is `decaying_ms * scale + running_ms`. Running jobs use a constant share of an engine, and the
/// decayed sum of a constant rate approaches `running_ms`, so that only the distance from it decays.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// Distance of the use from `running_ms`, in milliseconds at the origin of the scale.
    decaying_ms: f64,
    /// Use that the running jobs would approach if they ran forever, in milliseconds.
    running_ms: f64,
    /// Use plus the claims of the round, in milliseconds.
    claimed_ms: f64,
    /// Round of the last claim.
    round: u64,
}

impl Account {
    /// Returns the use at the time of `scale`, in milliseconds.
    fn used_ms(&self, scale: f64) -> f64 {
        (self.decaying_ms * scale + self.running_ms).max(0.0)
    }
}

/// Running job whose slot counts as use.
#[derive(Clone, Copy, Debug)]
struct RunningJob {
    owner: Owner,
    /// Use that the job's slot would approach if the job ran forever, in milliseconds.
    slot_ms: f64,
}

/// Decaying use of engine time by owner.
#[derive(Debug, Default)]
pub struct Usage {
    accounts: OwnerMap<Account>,
    running: HashMap<Id, RunningJob>,
    /// Time at which the scale is 1.
    scale_origin: Moment,
    pruned_at: Moment,
    /// Number of the current round of claims.
    round: u64,
    /// Scale at the start of the current round.
    round_scale: f64,
}

impl Usage {
    /// Records that a job starts which takes `prefill_ms` milliseconds of engine time and one of an engine's `slots`.
    pub fn begin(&mut self, id: Id, job: &Job, prefill_ms: f64, slots: u32, now: Moment) {
        self.end(id, now);
        self.prune(now);
        let owner = Owner::of(job);
        let slot_ms = HALF_LIFE.as_secs_f64() * 1e3 / std::f64::consts::LN_2 / f64::from(slots.max(1));
        let scale = self.scale(now);
        let account = self.accounts.entry(owner).or_default();
        account.running_ms += slot_ms;
        account.decaying_ms += (prefill_ms - slot_ms) / scale;
        self.running.insert(id, RunningJob { owner, slot_ms });
    }

    /// Records that a job ends. Does nothing if the job is unknown.
    pub fn end(&mut self, id: Id, now: Moment) {
        let Some(RunningJob { owner, slot_ms }) = self.running.remove(&id) else { return };
        // Resets a scale that has decayed to zero, by which the use must not be divided.
        self.prune(now);
        let scale = self.scale(now);
        let Some(account) = self.accounts.get_mut(&owner) else { return };
        account.running_ms -= slot_ms;
        account.decaying_ms += slot_ms / scale;
    }

    /// Starts a round of claims at `now`; the claims of the previous round are dropped.
    pub fn begin_round(&mut self, now: Moment) {
        self.prune(now);
        self.round += 1;
        self.round_scale = self.scale(now);
    }

    /// Claims `ms` milliseconds of engine time for an owner. Returns its use and its earlier claims of this round.
    pub fn claim(&mut self, owner: Owner, ms: f64) -> Claim {
        let account = self.accounts.entry(owner).or_default();
        let is_first = account.round != self.round;
        if is_first {
            account.round = self.round;
            account.claimed_ms = account.used_ms(self.round_scale);
        }
        let claimed_ms = account.claimed_ms;
        account.claimed_ms += ms;
        Claim { claimed_ms, is_first }
    }

    /// Returns the fair levels for the use and the claims of this round.
    pub fn levels(&self) -> Levels {
        let mut by_priority: BTreeMap<u32, Demand> = BTreeMap::new();
        for (owner, account) in &self.accounts {
            let used_ms = account.used_ms(self.round_scale);
            let demand = by_priority.entry(owner.priority).or_default();
            demand.used_ms += used_ms;
            demand.by_owner_ms.push(if account.round == self.round { account.claimed_ms } else { used_ms });
        }
        let level = |demand: Demand| max_min_level(&demand.by_owner_ms, demand.used_ms);
        Levels(by_priority.into_iter().map(|(priority, demand)| (priority, level(demand))).collect())
    }

    /// Returns the factor by which use at the origin of the scale has decayed.
    fn scale(&self, now: Moment) -> f64 {
        (-self.half_lives(now)).exp2()
    }

    fn half_lives(&self, now: Moment) -> f64 {
        now.since(self.scale_origin).as_secs_f64() / HALF_LIFE.as_secs_f64()
    }

    /// Forgets decayed use periodically, so that the accounts are bounded by the prompts of the last seconds.
    fn prune(&mut self, now: Moment) {
        if now.since(self.pruned_at) < PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        let scale = self.scale(now);
        let is_idle = |account: &Account| account.running_ms < MIN_USE_MS && account.used_ms(scale) < MIN_USE_MS;
        self.accounts.retain(|_, account| !is_idle(account));
        if self.half_lives(now) > MAX_SCALE_HALF_LIVES {
            self.accounts.values_mut().for_each(|account| account.decaying_ms *= scale);
            self.scale_origin = now;
        }
    }
}

/// State of an owner before a claim.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Use plus the earlier claims of the round, in milliseconds.
    pub claimed_ms: f64,
    /// Whether the owner had no earlier claim in the round.
    pub is_first: bool,
}

/// Engine time that the owners of one priority use and ask for.
#[derive(Debug, Default)]
struct Demand {
    /// Use of all owners, in milliseconds.
    used_ms: f64,
    /// Use plus waiting engine time of each owner, in milliseconds.
    by_owner_ms: Vec<f64>,
}

/// Fair levels of use by priority, in milliseconds.
#[derive(Debug, Default)]
pub struct Levels(BTreeMap<u32, f64>);

impl Levels {
    /// Returns the use from which on an owner of the given priority is over its share; infinite if none is.
    pub fn ms(&self, priority: u32) -> f64 {
        self.0.get(&priority).copied().unwrap_or(f64::INFINITY)
    }
}

/// Returns the level at which the demands, each cut off at the level, add up to `capacity`; infinite if they do not
/// exceed it.
pub fn max_min_level(demands: &[f64], capacity: f64) -> f64 {
    let mut level = 0.0;
    let mut unmet_count = usize::MAX;
    loop {
        let unmet = demands.iter().filter(|demand| **demand > level).count();
        match unmet {
            0 => return f64::INFINITY,
            // Rounding may lower the level below a demand that it met. With a test for equality, the search would then
            // alternate between two levels without end.
            _ if unmet >= unmet_count => return level,
            _ => unmet_count = unmet,
        }
        let met: f64 = demands.iter().filter(|demand| **demand <= level).sum();
        level = (capacity - met) / unmet as f64;
    }
}
