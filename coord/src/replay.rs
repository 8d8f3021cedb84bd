//! Configuration by replay: every reader of the log reaches the same verdicts.
//!
//! A [`Record::Confirm`] takes effect iff no item that its plan touches changed
//! after the plan's base. There is no lock and no leader: of two racing
//! operators the lower offset wins, and the other is told who did.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::intent::{Change, Config, Item};
use crate::name::Name;

/// Plans that wait for a confirm, and verdicts remembered for repeated confirms.
const REMEMBERED: usize = 10_000;

/// A record on the configuration stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A plan, not in effect.
    Plan {
        /// Unique id, also of repeated appends.
        id: Name,
        /// Revision that the plan was made against.
        base: u64,
        /// What it would change.
        changes: Vec<Change>,
    },
    /// An operator's confirmation.
    Confirm {
        /// The plan's id.
        plan: Name,
    },
}

/// State that replay needs to go on from an offset, so that older records may go.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Offset of the next record to replay.
    pub next: u64,
    /// Configuration there.
    pub config: Arc<Config>,
    /// Revision at which each item last changed, and by which plan.
    pub changed: Vec<(Item, Changed)>,
    /// Plans that may still be confirmed.
    pub plans: Vec<(Name, u64, Vec<Change>)>,
    /// Verdicts on confirmed plans.
    pub verdicts: Vec<(Name, Verdict)>,
}

/// The last change of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changed {
    /// Revision at which it changed.
    pub revision: u64,
    /// The plan that changed it.
    pub plan: Name,
}

/// What became of a confirm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// In force since this revision.
    Accepted {
        /// The revision.
        revision: u64,
    },
    /// Another plan changed an item first.
    Conflict {
        /// The item.
        item: Item,
        /// Who changed it.
        winner: Changed,
    },
    /// No such plan, or too old.
    UnknownPlan,
}

/// Replays the configuration stream.
#[derive(Clone, Debug, Default)]
pub struct Replay {
    next: u64,
    config: Arc<Config>,
    changed: BTreeMap<Item, Changed>,
    plans: HashMap<Name, (u64, Arc<Vec<Change>>)>,
    plan_order: VecDeque<Name>,
    verdicts: HashMap<Name, Verdict>,
    verdict_order: VecDeque<Name>,
}

impl Replay {
    /// Nothing replayed yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replays the record at `offset`; records already replayed are passed over.
    ///
    /// Returns whether the configuration changed.
    pub fn apply(&mut self, offset: u64, record: &Record) -> bool {
        if offset < self.next {
            return false;
        }
        let before = self.config.revision;
        match record {
            Record::Plan { id, base, changes } => self.plan(id, *base, changes),
            Record::Confirm { plan } => self.confirm(offset, plan),
        }
        self.next = offset + 1;
        crate::invariant!(self.config.revision >= before, "the configuration's revision never goes back");
        self.config.revision != before
    }

    /// Passes over a record that cannot be read; every reader does the same.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset + 1);
    }

    /// Takes a snapshot's state if it is newer than what was replayed.
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

    /// The state to publish or to give to a peer.
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

    /// The configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Offset of the next record to replay.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The verdict on a plan's confirm, once replayed.
    pub fn verdict(&self, plan: &str) -> Option<&Verdict> {
        self.verdicts.get(plan)
    }

    /// Whether the plan was replayed and waits for its confirm.
    pub fn has_plan(&self, plan: &str) -> bool {
        self.plans.contains_key(plan)
    }

    fn plan(&mut self, id: &Name, base: u64, changes: &[Change]) {
        if self.plans.contains_key(id) || self.verdicts.contains_key(id) {
            return;
        }
        self.plans.insert(id.clone(), (base, Arc::new(changes.to_vec())));
        self.plan_order.push_back(id.clone());
        if self.plan_order.len() > REMEMBERED
            && let Some(oldest) = self.plan_order.pop_front()
        {
            self.plans.remove(&oldest);
        }
    }

    fn confirm(&mut self, offset: u64, plan: &Name) {
        if self.verdicts.contains_key(plan) {
            return;
        }
        let verdict = self.judge(offset, plan);
        self.verdicts.insert(plan.clone(), verdict);
        self.verdict_order.push_back(plan.clone());
        if self.verdict_order.len() > REMEMBERED
            && let Some(oldest) = self.verdict_order.pop_front()
        {
            self.verdicts.remove(&oldest);
        }
    }

    fn judge(&mut self, offset: u64, plan: &Name) -> Verdict {
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
            self.changed.insert(change.item(), Changed { revision, plan: plan.clone() });
        }
        self.config = Arc::new(config);
        Verdict::Accepted { revision }
    }
}
