//! Prompts that wait, kept in the order in which they get their turn.
//!
//! Those that can still be in time go first; among them the more urgent rank, then the cheaper. What that
//! depends on is worked out once, when a prompt comes in: a look at what waits costs no sorting.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use super::job::{Id, Job};
use crate::time::Moment;

/// A prompt that waits, with what its turn and its engines depend on.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    /// What it asks for.
    pub job: Job,
    /// Engine time that reading it takes, in milliseconds.
    pub read_ms: f64,
    /// Whether one engine can read it without a pause that someone like its caller would mind.
    pub short: bool,
    /// After this moment it would be late even if it started then.
    pub late_after: Moment,
}

/// One that has its turn.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    /// Its identity.
    pub id: Id,
    /// The prompt.
    pub prompt: Prompt,
    /// Whether it would be late even if it started now.
    pub late: bool,
}

/// What the order among equals goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Rank {
    priority: u32,
    /// The cost, or the aim.
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

/// All that waits.
#[derive(Debug, Default)]
pub struct Waiting {
    prompts: BTreeMap<Id, Prompt>,
    /// Those that can still be in time, as of the last turn.
    timely: BTreeMap<Rank, Prompt>,
    /// Those that cannot.
    late: BTreeMap<Rank, Prompt>,
    /// When those that can still be in time no longer will be.
    turning: BTreeSet<(Moment, Id)>,
    /// Whether the cheapest goes first among equals; else the one that is wanted soonest.
    cheapest_first: bool,
}

impl Waiting {
    /// Nothing that waits.
    pub fn new(cheapest_first: bool) -> Self {
        Self { cheapest_first, ..Self::default() }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.prompts.is_empty()
    }

    /// Adds a prompt; one of the same identity is replaced.
    pub fn insert(&mut self, id: Id, prompt: Prompt) {
        self.remove(id);
        self.prompts.insert(id, prompt);
        self.timely.insert(self.rank(id, &prompt), prompt);
        self.turning.insert((prompt.late_after, id));
    }

    /// Takes a prompt out, if it is there.
    pub fn remove(&mut self, id: Id) {
        let Some(prompt) = self.prompts.remove(&id) else { return };
        let rank = self.rank(id, &prompt);
        if self.timely.remove(&rank).is_some() {
            self.turning.remove(&(prompt.late_after, id));
        } else {
            self.late.remove(&rank);
        }
    }

    /// Identities of all that wait.
    pub fn ids(&self) -> impl Iterator<Item = &Id> {
        self.prompts.keys()
    }

    /// Works out anew what depends on the engines.
    pub fn renew(&mut self, prompt: impl Fn(Job) -> Prompt) {
        let old = std::mem::take(&mut self.prompts);
        self.timely.clear();
        self.late.clear();
        self.turning.clear();
        for (id, known) in old {
            self.insert(id, prompt(known.job));
        }
    }

    /// All that wait, in the order of their turns at `now`.
    pub fn turns(&mut self, now: Moment) -> Vec<Turn> {
        self.move_late(now);
        turns(&self.timely, false).chain(turns(&self.late, true)).collect()
    }

    /// Those of them that would be late even if they started now.
    pub fn late_turns(&mut self, now: Moment) -> Vec<Turn> {
        self.move_late(now);
        turns(&self.late, true).collect()
    }

    /// Puts those that would be late behind the others.
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
