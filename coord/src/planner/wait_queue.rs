//! Queue of waiting prompts in the order in which they are placed.
//!
//! Prompts that can still be in time go first, then the more urgent priority, then the cheaper prompt. The estimates
//! that this order depends on are computed once per prompt, so that a scan of the queue sorts nothing.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use super::job::{Id, Job};
use crate::time::Moment;

/// Waiting prompt with the estimates that its queue position and its placement depend on.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    pub job: Job,
    /// Engine time to prefill the prompt, in milliseconds.
    pub read_ms: f64,
    /// Whether one engine can prefill the prompt without exceeding the gap limit of an answer like its own.
    pub short: bool,
    /// Time after which the prompt would be late even if it started at once.
    pub late_after: Moment,
}

/// Prompt to be placed next.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    pub id: Id,
    pub prompt: Prompt,
    /// Whether the prompt would be late even if it started now.
    pub late: bool,
}

/// Sort key among prompts that are all in time or all late.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Rank {
    priority: u32,
    /// Prefill time in milliseconds, or the time of the wanted first event.
    weight: f64,
    id: Id,
}

impl Eq for Rank {}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_priority = self.priority.cmp(&other.priority);
        by_priority.then_with(|| self.weight.total_cmp(&other.weight)).then_with(|| self.id.cmp(&other.id))
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

#[derive(Debug, Default)]
pub struct Waiting {
    prompts: BTreeMap<Id, Prompt>,
    /// Prompts that could still be in time when the queue was last read.
    timely: BTreeMap<Rank, Prompt>,
    /// Prompts that could not.
    late: BTreeMap<Rank, Prompt>,
    /// Times at which the prompts in `timely` become late.
    turning: BTreeSet<(Moment, Id)>,
    /// Whether the cheapest prompt goes first within a priority; otherwise the one whose first event is wanted
    /// soonest.
    cheapest_first: bool,
}

impl Waiting {
    pub fn new(cheapest_first: bool) -> Self {
        Self { cheapest_first, ..Self::default() }
    }

    pub fn is_empty(&self) -> bool {
        self.prompts.is_empty()
    }

    /// Replaces a prompt with the same identity.
    pub fn insert(&mut self, id: Id, prompt: Prompt) {
        self.remove(id);
        self.prompts.insert(id, prompt);
        self.timely.insert(self.rank(id, &prompt), prompt);
        self.turning.insert((prompt.late_after, id));
    }

    /// Removes a prompt if it is in the queue.
    pub fn remove(&mut self, id: Id) {
        let Some(prompt) = self.prompts.remove(&id) else { return };
        let rank = self.rank(id, &prompt);
        if self.timely.remove(&rank).is_some() {
            self.turning.remove(&(prompt.late_after, id));
        } else {
            self.late.remove(&rank);
        }
    }

    /// Returns the identities of all waiting prompts.
    pub fn ids(&self) -> impl Iterator<Item = &Id> {
        self.prompts.keys()
    }

    /// Recomputes all estimates after a change of the engines.
    pub fn renew(&mut self, prompt: impl Fn(Job) -> Prompt) {
        let old = std::mem::take(&mut self.prompts);
        self.timely.clear();
        self.late.clear();
        self.turning.clear();
        for (id, known) in old {
            self.insert(id, prompt(known.job));
        }
    }

    /// Returns all waiting prompts in the order in which they are to be placed at `now`.
    pub fn turns(&mut self, now: Moment) -> Vec<Turn> {
        self.move_late(now);
        turns(&self.timely, false).chain(turns(&self.late, true)).collect()
    }

    /// Returns the waiting prompts that would be late even if they started now.
    pub fn late_turns(&mut self, now: Moment) -> Vec<Turn> {
        self.move_late(now);
        turns(&self.late, true).collect()
    }

    /// Moves the prompts that have become late behind the others.
    fn move_late(&mut self, now: Moment) {
        while let Some((late_after, id)) = self.turning.first().copied() {
            if now <= late_after {
                return;
            }
            self.turning.pop_first();
            let prompt = self.prompts[&id];
            let rank = self.rank(id, &prompt);
            self.timely.remove(&rank);
            self.late.insert(rank, prompt);
        }
    }

    fn rank(&self, id: Id, prompt: &Prompt) -> Rank {
        let weight = if self.cheapest_first { prompt.read_ms } else { prompt.job.aim.as_micros() as f64 };
        Rank { priority: prompt.job.priority, weight, id }
    }
}

fn turns(prompts: &BTreeMap<Rank, Prompt>, late: bool) -> impl Iterator<Item = Turn> {
    prompts.iter().map(move |(rank, prompt)| Turn { id: rank.id, prompt: *prompt, late })
}
