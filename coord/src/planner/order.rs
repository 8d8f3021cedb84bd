//! Orders the waiting prompts by fair shares while room is short.
//!
//! This answers a load in which some workspaces ask for more than their share while others wait. Within each priority,
//! the prompts that keep their workspace within its share go before the others; among these and among the others, the
//! order of the queue stays. With room for all prompts nothing changes, so that a workspace may use what the others
//! leave.

use std::collections::{BTreeMap, HashMap};
use std::ops::AddAssign;
use std::time::Duration;

use super::Planner;
use super::job::{Id, Job};
use super::share::{Levels, Owner, Usage};
use super::wait_queue::Candidate;
use crate::time::Moment;

/// Interval at which the fair levels are recomputed. In less time, a workspace gains no more than a few prompts.
const LEVEL_INTERVAL: Duration = Duration::from_millis(10);

/// Numbers of workspaces and prompts that fair shares held back at the last pump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldBack {
    /// Workspaces whose use of engine time exceeds their share.
    pub workspaces: usize,
    /// Prompts beyond the share of their workspace that went behind a later prompt of the queue.
    pub prompts: usize,
}

impl AddAssign for HeldBack {
    fn add_assign(&mut self, other: Self) {
        self.workspaces += other.workspaces;
        self.prompts += other.prompts;
    }
}

/// Position of a group of prompts in the order of placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    /// Whether the prompts go behind all that can still be in time.
    goes_last: bool,
    priority: u32,
    /// Whether the prompts would take their workspaces beyond their shares.
    exceeds_share: bool,
}

/// Fair levels of the current shortage.
#[derive(Debug, Default)]
pub struct FairOrder {
    levels: Levels,
    /// Time at which the levels were computed; `None` while room is not short.
    computed_at: Option<Moment>,
    held_back: HeldBack,
}

impl Planner {
    /// Returns the waiting prompts in the order in which they are placed.
    pub(super) fn list_candidates(&mut self, now: Moment) -> Vec<Candidate> {
        let candidates = self.waiting.list_ordered(now);
        if !self.features.fair_shares || !self.overload.has_shortage() {
            self.fair_order = FairOrder::default();
            return candidates;
        }
        self.refresh_levels(&candidates, now);
        self.order_by_share(&candidates, now)
    }

    /// Records the engine time of a job that starts.
    pub(super) fn record_use(&mut self, id: Id, job: &Job, prefill_ms: f64, now: Moment) {
        let Some(profile) = self.fleet.nominal_profile().filter(|_| self.features.fair_shares) else { return };
        self.usage.begin(id, job, prefill_ms, profile.slots, now);
    }

    /// Returns the numbers of workspaces and prompts that fair shares held back at the last pump.
    pub fn held_back(&self) -> HeldBack {
        if self.overload.has_shortage() { self.fair_order.held_back } else { HeldBack::default() }
    }

    fn refresh_levels(&mut self, candidates: &[Candidate], now: Moment) {
        if self.fair_order.computed_at.is_some_and(|computed_at| now.since(computed_at) < LEVEL_INTERVAL) {
            return;
        }
        let mut waiting_ms: HashMap<Owner, f64> = HashMap::new();
        for Candidate { prompt, .. } in candidates {
            *waiting_ms.entry(Owner::of(&prompt.job)).or_default() += prompt.prefill_ms;
        }
        self.fair_order.levels = self.usage.levels(&waiting_ms, now);
        self.fair_order.computed_at = Some(now);
    }

    /// Returns the candidates with those that exceed the share of their workspace behind the others of their priority.
    fn order_by_share(&mut self, candidates: &[Candidate], now: Moment) -> Vec<Candidate> {
        let mut claims = Claims::new(&self.usage, &self.fair_order.levels, now);
        let mut groups: BTreeMap<Group, Vec<&Candidate>> = BTreeMap::new();
        let mut held_back_prompts = 0;
        for block in
            candidates.chunk_by(|a, b| (a.is_late, a.prompt.job.priority) == (b.is_late, b.prompt.job.priority))
        {
            let priority = block[0].prompt.job.priority;
            let exceeding = Group { goes_last: false, priority, exceeds_share: true };
            // A late prompt does not wait for prompts of workspaces that have had more than their share.
            let overtakes = block[0].is_late && groups.contains_key(&exceeding);
            let mut exceeding_count = 0;
            for candidate in block {
                let exceeds_share = claims.add(candidate);
                let goes_last = candidate.is_late && (exceeds_share || !overtakes);
                groups.entry(Group { goes_last, priority, exceeds_share }).or_default().push(candidate);
                if exceeds_share {
                    exceeding_count += 1;
                } else {
                    held_back_prompts += std::mem::take(&mut exceeding_count);
                }
            }
        }
        self.fair_order.held_back = HeldBack { workspaces: claims.exceeding_owners(), prompts: held_back_prompts };
        groups.into_values().flatten().copied().collect()
    }
}

/// Engine time that each owner would have used if all its candidates so far were granted.
struct Claims<'a> {
    usage: &'a Usage,
    levels: &'a Levels,
    now: Moment,
    claimed_ms: HashMap<Owner, f64>,
    exceeding_owners: usize,
}

impl<'a> Claims<'a> {
    fn new(usage: &'a Usage, levels: &'a Levels, now: Moment) -> Self {
        Self { usage, levels, now, claimed_ms: HashMap::new(), exceeding_owners: 0 }
    }

    /// Adds a candidate; returns whether its owner has used up its share before it.
    fn add(&mut self, candidate: &Candidate) -> bool {
        let owner = Owner::of(&candidate.prompt.job);
        let level_ms = self.levels.ms(owner.priority);
        let claimed_ms = self.claimed_ms.entry(owner).or_insert_with(|| {
            let used_ms = self.usage.ms(&owner, self.now);
            self.exceeding_owners += usize::from(used_ms >= level_ms);
            used_ms
        });
        let exceeds_share = *claimed_ms >= level_ms;
        *claimed_ms += candidate.prompt.prefill_ms;
        exceeds_share
    }

    /// Returns the number of owners whose use exceeded their share without any candidate.
    fn exceeding_owners(&self) -> usize {
        self.exceeding_owners
    }
}
