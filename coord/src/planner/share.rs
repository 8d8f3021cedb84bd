//! Tracks the engine time that each workspace has used lately, and computes how much of it is a fair share.
//!
//! This answers a load in which one workspace sends many times what there is room for: without shares, each workspace
//! gets engines in proportion to what it sends, so that workspaces that send little are starved by one that sends
//! much. Shares are max-min fair: a workspace that asks for less than an equal share gets all that it asks for, and
//! what it leaves goes to the others. All workspaces have the same weight. Workspaces of different priorities do not
//! share, because the more urgent priority goes first.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::job::{Id, Job, Workspace};
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

/// Owner of a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Owner {
    pub priority: u32,
    /// Workspace; requests without one share as if they had the same workspace.
    workspace: Option<Workspace>,
}

impl Owner {
    pub fn of(job: &Job) -> Self {
        Self { priority: job.priority, workspace: job.workspace }
    }
}

/// Engine time that one owner has used lately.
///
/// The use at a time is `decaying_ms * scale + running_ms`. Running jobs use a constant share of an engine, and the
/// decayed sum of a constant rate approaches `running_ms`, so that only the distance from it decays.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// Distance of the use from `running_ms`, in milliseconds at the origin of the scale.
    decaying_ms: f64,
    /// Use that the running jobs would approach if they ran forever, in milliseconds.
    running_ms: f64,
}

impl Account {
    fn ms(&self, scale: f64) -> f64 {
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
    accounts: HashMap<Owner, Account>,
    running: HashMap<Id, RunningJob>,
    /// Time at which the scale is 1.
    scale_origin: Moment,
    pruned_at: Moment,
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
        let scale = self.scale(now);
        let Some(account) = self.accounts.get_mut(&owner) else { return };
        account.running_ms -= slot_ms;
        account.decaying_ms += slot_ms / scale;
    }

    /// Returns the use of an owner at `now`, in milliseconds.
    pub fn ms(&self, owner: &Owner, now: Moment) -> f64 {
        self.accounts.get(owner).map_or(0.0, |account| account.ms(self.scale(now)))
    }

    /// Returns the fair levels if the owners wait for the given engine time, in milliseconds, beyond what they use.
    pub fn levels(&self, waiting_ms: &HashMap<Owner, f64>, now: Moment) -> Levels {
        let scale = self.scale(now);
        let mut by_priority: BTreeMap<u32, Demand> = BTreeMap::new();
        for (owner, account) in &self.accounts {
            let used_ms = account.ms(scale);
            let demand = by_priority.entry(owner.priority).or_default();
            demand.used_ms += used_ms;
            demand.by_owner_ms.push(used_ms + waiting_ms.get(owner).copied().unwrap_or_default());
        }
        for (owner, ms) in waiting_ms.iter().filter(|(owner, _)| !self.accounts.contains_key(owner)) {
            by_priority.entry(owner.priority).or_default().by_owner_ms.push(*ms);
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
        let is_idle = |account: &Account| account.running_ms < MIN_USE_MS && account.ms(scale) < MIN_USE_MS;
        self.accounts.retain(|_, account| !is_idle(account));
        if self.half_lives(now) > MAX_SCALE_HALF_LIVES {
            self.accounts.values_mut().for_each(|account| account.decaying_ms *= scale);
            self.scale_origin = now;
        }
    }
}

/// What the owners of one priority use and ask for.
#[derive(Debug, Default)]
struct Demand {
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
            _ if unmet == unmet_count => return level,
            _ => unmet_count = unmet,
        }
        let met: f64 = demands.iter().filter(|demand| **demand <= level).sum();
        level = (capacity - met) / unmet as f64;
    }
}
