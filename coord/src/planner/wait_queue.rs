//! Queue of waiting prompts in the order in which they are placed.
//!
//! Prompts that can still be in time, and those of callers that returned as promised, go first, then the more urgent
//! priority, then those of returned callers, then the cheaper prompt. The estimates that this order depends on are
//! computed once per prompt, so that a scan of the queue sorts nothing.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use super::job::{Id, Job};
use crate::time::Moment;

/// Waiting prompt with the estimates that its queue position and its placement depend on.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    pub job: Job,
    /// Engine time to prefill the prompt, in milliseconds.
    pub prefill_ms: f64,
    /// Time from the first to the last event of the answer on an engine with all slots in use, in milliseconds.
    pub answer_ms: f64,
    /// Whether one engine can prefill the prompt without exceeding the gap target of an answer like its own.
    pub is_short: bool,
    /// Time after which the prompt would be late even if it started at once.
    pub late_after: Moment,
}

/// Prompt in the order of placement.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    pub id: Id,
    pub prompt: Prompt,
    /// Whether the prompt would be late even if it started now.
    pub is_late: bool,
}

/// Sort key among prompts that are all in time or all late.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Rank {
    priority: u32,
    /// Whether the caller did not return as promised.
    is_newcomer: bool,
    /// Prefill time in milliseconds, or the first-event target in microseconds.
    sort_key: f64,
    id: Id,
}

impl Eq for Rank {}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_priority = self.priority.cmp(&other.priority);
        let by_return = by_priority.then_with(|| self.is_newcomer.cmp(&other.is_newcomer));
        by_return.then_with(|| self.sort_key.total_cmp(&other.sort_key)).then_with(|| self.id.cmp(&other.id))
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

#[derive(Debug, Default)]
pub struct WaitQueue {
    prompts: BTreeMap<Id, Prompt>,
    /// Prompts that could still be in time when the queue was last read, and all of callers that returned as promised.
    timely: BTreeMap<Rank, Prompt>,
    /// Prompts that were late already at that time.
    late: BTreeMap<Rank, Prompt>,
    /// Times at which the prompts in `timely` become late.
    late_times: BTreeSet<(Moment, Id)>,
    /// Prompts of callers that returned as promised.
    returned: BTreeSet<Id>,
    /// Whether the cheapest prompt goes first within a priority; otherwise the one with the earliest first-event
    /// target.
    cheapest_first: bool,
}

impl WaitQueue {
    pub fn new(cheapest_first: bool) -> Self {
        Self { cheapest_first, ..Self::default() }
    }

    pub fn is_empty(&self) -> bool {
        self.prompts.is_empty()
    }

    /// Adds a prompt; an earlier one with the same identity is replaced.
    pub fn insert(&mut self, id: Id, prompt: Prompt) {
        self.remove(id);
        self.add(id, prompt);
    }

    fn add(&mut self, id: Id, prompt: Prompt) {
        self.prompts.insert(id, prompt);
        self.timely.insert(self.rank(id, &prompt), prompt);
        self.late_times.insert((prompt.late_after, id));
    }

    /// Does nothing if the prompt is not in the queue.
    pub fn remove(&mut self, id: Id) {
        let Some(prompt) = self.prompts.remove(&id) else { return };
        let rank = self.rank(id, &prompt);
        if self.timely.remove(&rank).is_some() {
            self.late_times.remove(&(prompt.late_after, id));
        } else {
            self.late.remove(&rank);
        }
        self.returned.remove(&id);
    }

    /// Ranks a prompt before others of its priority. Does nothing if the prompt is not in the queue.
    pub fn promote(&mut self, id: Id) {
        let Some(prompt) = self.get(id).copied() else { return };
        self.remove(id);
        self.returned.insert(id);
        self.add(id, prompt);
    }

    pub fn get(&self, id: Id) -> Option<&Prompt> {
        self.prompts.get(&id)
    }

    /// Returns the identities of all waiting prompts.
    pub fn ids(&self) -> impl Iterator<Item = &Id> {
        self.prompts.keys()
    }

    /// Recomputes all estimates after a change of the engines.
    pub fn recompute_estimates(&mut self, estimate: impl Fn(Job) -> Prompt) {
        let previous = std::mem::take(&mut self.prompts);
        self.timely.clear();
        self.late.clear();
        self.late_times.clear();
        for (id, queued) in previous {
            self.add(id, estimate(queued.job));
        }
    }

    /// Returns all waiting prompts in the order in which they are to be placed at `now`.
    pub fn list_ordered(&mut self, now: Moment) -> Vec<Candidate> {
        self.demote_late(now);
        list_ordered(&self.timely, now).chain(list_ordered(&self.late, now)).collect()
    }

    /// Returns the waiting prompts that would be late even if they started now.
    pub fn list_late(&mut self, now: Moment) -> Vec<Candidate> {
        self.demote_late(now);
        list_ordered(&self.late, now).collect()
    }

    /// Moves the prompts that have become late behind the others.
    fn demote_late(&mut self, now: Moment) {
        while let Some((late_after, id)) = self.late_times.first().copied() {
            if now <= late_after {
                return;
            }
            self.late_times.pop_first();
            // A caller that returned as promised keeps its place.
            if self.returned.contains(&id) {
                continue;
            }
            let prompt = self.prompts[&id];
            let rank = self.rank(id, &prompt);
            self.timely.remove(&rank);
            self.late.insert(rank, prompt);
        }
    }

    fn rank(&self, id: Id, prompt: &Prompt) -> Rank {
        let sort_key =
            if self.cheapest_first { prompt.prefill_ms } else { prompt.job.first_event_target.as_micros() as f64 };
        Rank { priority: prompt.job.priority, is_newcomer: !self.returned.contains(&id), sort_key, id }
    }
}

fn list_ordered(prompts: &BTreeMap<Rank, Prompt>, now: Moment) -> impl Iterator<Item = Candidate> {
    let is_late = move |prompt: &Prompt| now > prompt.late_after;
    prompts.iter().map(move |(rank, prompt)| Candidate { id: rank.id, prompt: *prompt, is_late: is_late(prompt) })
}
