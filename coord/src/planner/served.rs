//! Tracks which share of the prompts of each kind and size recently started in time.
//!
//! While there is more work than capacity, cheap prompts find engines before expensive ones, and short prompts before
//! long ones. These shares tell which group of prompts is served less than the others, so that engines are reserved
//! for it, and for no group that is served as often as the others.

use std::collections::BTreeMap;
use std::time::Duration;

use super::wait_queue::Prompt;
use crate::time::Moment;

/// Half-life of the counts of prompts. It spans several prefills of a team, and is shorter than the time for which
/// callers wait.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Weight of the newest prompt in the mean cost of its kind.
const MEAN_WEIGHT: f64 = 0.05;
/// Smallest share of a group, as a part of the share of its kind, at which the group counts as served as often.
const MIN_RELATIVE_SHARE: f64 = 0.9;
/// Bounds the number of kinds; the gap targets of a deployment's routes are far fewer.
const MAX_KINDS: usize = 64;

/// Kind of prompts, told apart by what their callers require: the gap target in microseconds and the length class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    is_short: bool,
    gap_target_us: u64,
}

impl Kind {
    fn of(prompt: &Prompt) -> Self {
        Self { is_short: prompt.is_short, gap_target_us: (prompt.job.gap_target_ms * 1e3) as u64 }
    }
}

/// Prompts of one kind that cost either at most as much as its mean or more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    kind: Kind,
    is_large: bool,
}

/// Decaying numbers of prompts.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    in_time: f64,
    missed: f64,
}

impl Tally {
    fn add(self, other: Self) -> Self {
        Self { in_time: self.in_time + other.in_time, missed: self.missed + other.missed }
    }

    fn decay(&mut self, factor: f64) {
        self.in_time *= factor;
        self.missed *= factor;
    }

    /// Returns the share that started in time; 1 without any prompt.
    fn share(self) -> f64 {
        match self.in_time + self.missed {
            0.0 => 1.0,
            all => self.in_time / all,
        }
    }
}

/// Record of the prompts that started in time or missed their target, by group.
#[derive(Debug, Default)]
pub struct StartRecord {
    tallies: BTreeMap<Group, Tally>,
    /// Mean prefill time of the prompts of a kind, in milliseconds.
    mean_ms: BTreeMap<Kind, f64>,
    decayed_at: Moment,
}

impl StartRecord {
    /// Returns the group of a prompt.
    pub fn group(&self, prompt: &Prompt) -> Group {
        let kind = Kind::of(prompt);
        let mean_ms = self.mean_ms.get(&kind).copied().unwrap_or(prompt.prefill_ms);
        Group { kind, is_large: prompt.prefill_ms > mean_ms }
    }

    /// Records a prompt that started in time.
    pub fn record_in_time(&mut self, prompt: &Prompt, now: Moment) {
        let group = self.group(prompt);
        self.record_cost(prompt);
        self.tally(group, now).in_time += 1.0;
    }

    /// Records a prompt that could not start in time.
    pub fn record_missed(&mut self, prompt: &Prompt, now: Moment) {
        let group = self.group(prompt);
        self.record_cost(prompt);
        self.tally(group, now).missed += 1.0;
    }

    /// Returns the shares with the prompts that `waiting` counts by group regarded as missed.
    pub fn shares(&self, waiting: &BTreeMap<Group, usize>) -> Shares {
        let mut tallies = self.tallies.clone();
        for (group, count) in waiting {
            tallies.entry(*group).or_default().missed += *count as f64;
        }
        Shares(tallies)
    }

    fn record_cost(&mut self, prompt: &Prompt) {
        if self.mean_ms.len() >= MAX_KINDS {
            self.mean_ms.clear();
            self.tallies.clear();
        }
        let mean_ms = self.mean_ms.entry(Kind::of(prompt)).or_insert(prompt.prefill_ms);
        *mean_ms += (prompt.prefill_ms - *mean_ms) * MEAN_WEIGHT;
    }

    /// Returns the tally of a group after all tallies have decayed to `now`.
    fn tally(&mut self, group: Group, now: Moment) -> &mut Tally {
        let factor = (-now.since(self.decayed_at).as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        self.tallies.values_mut().for_each(|tally| tally.decay(factor));
        self.decayed_at = now;
        self.tallies.entry(group).or_default()
    }
}

/// Shares of the prompts that started in time at one moment, by group.
#[derive(Debug)]
pub struct Shares(BTreeMap<Group, Tally>);

impl Shares {
    /// Returns the share of a group that started in time.
    pub fn of_group(&self, group: Group) -> f64 {
        self.0.get(&group).copied().unwrap_or_default().share()
    }

    /// Returns whether a group is served less than the other prompts of its kind, or its kind less than short prompts.
    pub fn is_underserved(&self, group: Group) -> bool {
        let of_kind = self.share_of(|other| other.kind == group.kind);
        self.of_group(group) < of_kind * MIN_RELATIVE_SHARE || of_kind < self.share_of(|other| other.kind.is_short)
    }

    fn share_of(&self, is_included: impl Fn(&Group) -> bool) -> f64 {
        let included = self.0.iter().filter(|(group, _)| is_included(group));
        included.fold(Tally::default(), |sum, (_, tally)| sum.add(*tally)).share()
    }
}
