//! Orders the waiting prompts by fair shares while engines are short.
//!
//! This handles a load in which some workspaces ask for more than their share while others wait. Within each priority,
//! the prompts that keep their workspace within its share go before the others; among these and among the others, the
//! order of the queue stays. With engines for all prompts the order does not change, so that a workspace may use the
//! engine time that the others leave.

use std::collections::BTreeMap;
use std::ops::AddAssign;
use std::time::Duration;

use super::Planner;
use super::job::{Id, Job};
use super::owner::Owner;
use super::share::Levels;
use super::wait_queue::Candidate;
use crate::time::Moment;

/// Interval at which the fair levels are recomputed. In less time, a workspace gains no more than a few prompts.
const LEVEL_INTERVAL: Duration = Duration::from_millis(10);

/// Numbers of workspaces and prompts that fair shares held back at the last pump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldBack {
    /// Workspaces whose use of engine time exceeds their share.
    pub workspaces: usize,
    /// Prompts beyond the share of their workspace that went behind prompts of others.
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
    is_late: bool,
    priority: u32,
    /// Whether the prompts would take their workspaces beyond their shares.
    exceeds_share: bool,
}

/// Fair levels of the current shortage.
#[derive(Debug, Default)]
pub struct FairOrder {
    levels: Levels,
    /// Time at which the levels were computed; `None` while engines are not short.
    computed_at: Option<Moment>,
    held_back: HeldBack,
}

impl Planner {
    /// Returns the waiting prompts in the order in which they are placed. `candidates` are in the order of the queue.
    pub(super) fn order_candidates<'a>(&mut self, candidates: &'a [Candidate], now: Moment) -> Vec<&'a Candidate> {
        if !self.features.fair_shares || !self.overload.has_shortage() {
            self.fair_order = FairOrder::default();
            return candidates.iter().collect();
        }
        self.refresh_levels(candidates, now);
        self.order_by_share(candidates, now)
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
        self.usage.begin_round(now);
        for Candidate { prompt, .. } in candidates {
            self.usage.claim(Owner::of(&prompt.job), prompt.prefill_ms);
        }
        self.fair_order.levels = self.usage.levels();
        self.fair_order.computed_at = Some(now);
    }

    /// Returns the candidates with those that exceed the share of their workspace behind the others of their priority.
    fn order_by_share<'a>(&mut self, candidates: &'a [Candidate], now: Moment) -> Vec<&'a Candidate> {
        self.usage.begin_round(now);
        let mut groups: BTreeMap<Group, Vec<&Candidate>> = BTreeMap::new();
        let mut held_back = HeldBack::default();
        for block in candidates.chunk_by(is_same_block) {
            let (is_late, priority) = (block[0].is_late, block[0].prompt.job.priority);
            let (within, exceeding) = self.split_by_share(block, &mut held_back);
            // A late prompt does not wait for prompts of workspaces that have had more than their share.
            let timely_exceeding = Group { is_late: false, priority, exceeds_share: true };
            let overtakes = groups.get(&timely_exceeding).is_some_and(|group| !group.is_empty());
            let group = Group { is_late: is_late && !overtakes, priority, exceeds_share: false };
            groups.entry(group).or_default().extend(within);
            groups.entry(Group { is_late, priority, exceeds_share: true }).or_default().extend(exceeding);
        }
        self.fair_order.held_back = held_back;
        groups.into_values().flatten().collect()
    }

    /// Splits prompts of one priority into those within the share of their workspace and the others.
    fn split_by_share<'a>(
        &mut self,
        block: &'a [Candidate],
        held_back: &mut HeldBack,
    ) -> (Vec<&'a Candidate>, Vec<&'a Candidate>) {
        let level_ms = self.fair_order.levels.ms(block[0].prompt.job.priority);
        let (mut within, mut exceeding) = (Vec::with_capacity(block.len()), Vec::with_capacity(block.len()));
        for candidate in block {
            let claim = self.usage.claim(Owner::of(&candidate.prompt.job), candidate.prompt.prefill_ms);
            if claim.claimed_ms < level_ms {
                within.push(candidate);
                continue;
            }
            held_back.workspaces += usize::from(claim.is_first);
            exceeding.push(candidate);
        }
        held_back.prompts += if within.is_empty() { 0 } else { exceeding.len() };
        (within, exceeding)
    }
}

/// Returns whether the queue does not tell the prompts apart by lateness or priority.
fn is_same_block(a: &Candidate, b: &Candidate) -> bool {
    (a.is_late, a.prompt.job.priority) == (b.is_late, b.prompt.job.priority)
}
