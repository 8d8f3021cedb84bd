//! Configuration by log replay: every reader of the log reaches the same verdicts.
//!
//! A [`Record::Confirm`] takes effect if and only if no item in its plan changed after the plan's base revision. This
//! needs neither a lock nor a leader: of two concurrent confirmations the one with the lower offset succeeds, and the
//! other receives a conflict that names the winner.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::intent::{Change, Config, Resource};
use crate::name::Name;

/// Maximum number of unconfirmed plans, and of verdicts kept for repeated confirmations.
const MAX_RETAINED: usize = 10_000;

/// Record on the configuration stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Proposes changes, without effect until confirmed.
    Plan {
        /// Unique identifier; a repeated append of the plan reuses it.
        id: Name,
        /// Revision on which the plan is based.
        base: u64,
        /// Proposed changes.
        changes: Vec<Change>,
    },
    /// Confirms a plan on behalf of an operator.
    Confirm {
        /// Identifier of the plan.
        plan: Name,
    },
}

/// Replay state at an offset. It replaces all earlier records, which can then be deleted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Offset of the next record to replay.
    pub next: u64,
    /// Configuration at the offset.
    pub config: Arc<Config>,
    /// Latest change of each item.
    pub changed: Vec<(Resource, LastChange)>,
    /// Unconfirmed plans with their base revisions.
    pub plans: Vec<(Name, u64, Vec<Change>)>,
    /// Verdicts on confirmed plans.
    pub verdicts: Vec<(Name, Verdict)>,
}

/// Latest change of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastChange {
    /// Revision that the change produced.
    pub revision: u64,
    /// Plan that contained the change.
    pub plan: Name,
}

/// Result of a confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The plan is in force.
    Accepted {
        /// Revision that the plan produced.
        revision: u64,
    },
    /// An item of the plan was changed by another plan after the base revision.
    Conflict {
        /// Item that both plans change.
        item: Resource,
        /// Change that took effect first.
        winner: LastChange,
    },
    /// The plan does not exist or was evicted.
    UnknownPlan,
}

/// State of the configuration stream after the records replayed so far.
#[derive(Clone, Debug, Default)]
pub struct Replay {
    next: u64,
    config: Arc<Config>,
    changed: BTreeMap<Resource, LastChange>,
    plans: HashMap<Name, (u64, Arc<Vec<Change>>)>,
    plan_order: VecDeque<Name>,
    verdicts: HashMap<Name, Verdict>,
    verdict_order: VecDeque<Name>,
}

impl Replay {
    /// Creates the state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replays the record at `offset` unless it was replayed before, and returns whether the configuration changed.
    pub fn apply(&mut self, offset: u64, record: &Record) -> bool {
        if offset < self.next {
            return false;
        }
        let previous_revision = self.config.revision;
        match record {
            Record::Plan { id, base, changes } => self.apply_plan(id, *base, changes),
            Record::Confirm { plan } => self.apply_confirm(offset, plan),
        }
        self.next = offset + 1;
        crate::invariant!(self.config.revision >= previous_revision, "the configuration's revision never goes back");
        self.config.revision != previous_revision
    }

    /// Skips an unreadable record; every reader skips the same ones.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset + 1);
    }

    /// Restores a snapshot if it is newer than the replayed state, and returns whether it did.
    pub fn restore(&mut self, snapshot: &Snapshot) -> bool {
        if snapshot.next <= self.next {
            return false;
        }
        crate::invariant!(snapshot.config.revision >= self.config.revision, "a newer snapshot has no older revision");
        self.next = snapshot.next;
        self.config = snapshot.config.clone();
        self.changed = snapshot.changed.iter().cloned().collect();
        self.plans =
            snapshot.plans.iter().map(|(id, base, changes)| (id.clone(), (*base, Arc::new(changes.clone())))).collect();
        self.plan_order = snapshot.plans.iter().map(|(id, ..)| id.clone()).collect();
        self.verdicts = snapshot.verdicts.iter().cloned().collect();
        self.verdict_order = snapshot.verdicts.iter().map(|(id, _)| id.clone()).collect();
        true
    }

    /// Returns the state to publish or to send to a peer.
    pub fn snapshot(&self) -> Snapshot {
        let plan = |id: &Name| self.plans.get(id).map(|(base, changes)| (id.clone(), *base, changes.to_vec()));
        let verdict = |id: &Name| self.verdicts.get(id).map(|verdict| (id.clone(), verdict.clone()));
        Snapshot {
            next: self.next,
            config: self.config.clone(),
            changed: self.changed.iter().map(|(item, changed)| (item.clone(), changed.clone())).collect(),
            plans: self.plan_order.iter().filter_map(plan).collect(),
            verdicts: self.verdict_order.iter().filter_map(verdict).collect(),
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the offset of the next record to replay.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Returns the verdict on a plan, once its confirmation is replayed.
    pub fn verdict(&self, plan: &str) -> Option<&Verdict> {
        self.verdicts.get(plan)
    }

    /// Returns whether the plan was replayed and is unconfirmed.
    pub fn has_plan(&self, plan: &str) -> bool {
        self.plans.contains_key(plan)
    }

    fn apply_plan(&mut self, id: &Name, base: u64, changes: &[Change]) {
        if self.plans.contains_key(id) || self.verdicts.contains_key(id) {
            return;
        }
        self.plans.insert(id.clone(), (base, Arc::new(changes.to_vec())));
        self.plan_order.push_back(id.clone());
        if self.plan_order.len() > MAX_RETAINED
            && let Some(oldest) = self.plan_order.pop_front()
        {
            self.plans.remove(&oldest);
        }
    }

    fn apply_confirm(&mut self, offset: u64, plan: &Name) {
        if self.verdicts.contains_key(plan) {
            return;
        }
        let verdict = self.decide(offset, plan);
        self.verdicts.insert(plan.clone(), verdict);
        self.verdict_order.push_back(plan.clone());
        if self.verdict_order.len() > MAX_RETAINED
            && let Some(oldest) = self.verdict_order.pop_front()
        {
            self.verdicts.remove(&oldest);
        }
    }

    fn decide(&mut self, offset: u64, plan: &Name) -> Verdict {
        let Some((base, changes)) = self.plans.remove(plan) else { return Verdict::UnknownPlan };
        self.plan_order.retain(|id| id != plan);
        for change in changes.iter() {
            let item = change.item();
            if let Some(winner) = self.changed.get(&item).filter(|changed| changed.revision > base) {
                return Verdict::Conflict { winner: winner.clone(), item };
            }
        }
        let revision = offset + 1;
        let mut config = Config::clone(&self.config);
        config.revision = revision;
        for change in changes.iter() {
            config.apply(change);
            self.changed.insert(change.item(), LastChange { revision, plan: plan.clone() });
        }
        self.config = Arc::new(config);
        Verdict::Accepted { revision }
    }
}
