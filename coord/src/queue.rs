//! The queue before one endpoint: which waiting job starts next.

use std::collections::HashMap;
use std::time::Duration;

use crate::name::{Attempt, Name};
use crate::time::Moment;

/// A job that an endpoint was asked to run.
#[derive(Clone, Debug)]
pub struct Job {
    /// The attempt that the job runs for.
    pub attempt: Attempt,
    /// The workspace that asked.
    pub workspace: Name,
    /// The workspace's weight in fair sharing; 1 is ordinary.
    pub weight: f64,
    /// Prompt tokens that must be prefilled, after what the prefix cache holds.
    pub prefill_tokens: u64,
    /// KV memory it needs from start to finish, in tokens.
    pub memory_tokens: u64,
    /// Most output tokens.
    pub output_tokens: u64,
    /// The intent's priority: larger goes first.
    pub priority: u8,
    /// When the job reached the queue.
    pub arrived: Moment,
    /// When the whole answer must have been given.
    pub deadline: Moment,
    /// Expected time to its first token on an idle engine.
    pub cost: Duration,
}

/// Decides which of two waiting jobs goes first.
pub trait Order: Send {
    /// The job's rank at `now`; the largest rank goes first.
    fn rank(&self, job: &Job, now: Moment) -> f64;

    /// Whether short jobs keep slots and memory that long ones may not take.
    fn keeps_headroom(&self) -> bool {
        true
    }
}

/// First come, first served: the baseline.
pub struct Fifo;

impl Order for Fifo {
    fn rank(&self, job: &Job, now: Moment) -> f64 {
        now.since(job.arrived).as_secs_f64()
    }

    fn keeps_headroom(&self) -> bool {
        false
    }
}

/// Rank by slowdown so far and by how much of the job's slack is used.
///
/// A job's slowdown is (waited + cost) / cost, so short jobs rise fast and long
/// ones still rise; the ageing is built in and needs no constant.
pub struct Slack {
    /// What a unit of slowdown weighs.
    pub slowdown_weight: f64,
    /// What a used-up slack weighs.
    pub ttft_weight: f64,
}

/// Cost below which two jobs count as equally short.
const SHORTEST: Duration = Duration::from_millis(5);
/// Share of slack that must be used before it counts.
const URGENT_SHARE: f64 = 0.5;

impl Order for Slack {
    fn rank(&self, job: &Job, now: Moment) -> f64 {
        let waited = now.since(job.arrived).as_secs_f64();
        let cost = job.cost.max(SHORTEST).as_secs_f64();
        let slack = (job.deadline.since(job.arrived).as_secs_f64() - cost).max(cost);
        let slowdown = (waited + cost) / cost;
        let used = (waited / slack - URGENT_SHARE).max(0.0);
        f64::from(job.priority) + self.slowdown_weight * slowdown + self.ttft_weight * (waited + used * slack) / slack
    }
}

/// How fast a workspace's past use is forgotten.
const USE_HALF_LIFE: Duration = Duration::from_secs(10);
/// Most that past use lowers a job's rank, as a factor.
const MOST_PENALTY: f64 = 64.0;

/// Waiting jobs, and each workspace's recent use of the endpoint.
pub struct Queue {
    order: Box<dyn Order>,
    waiting: Vec<Job>,
    used: HashMap<Name, f64>,
    decayed: Moment,
}

impl Queue {
    /// An empty queue in the given order.
    pub fn new(order: Box<dyn Order>) -> Self {
        Self { order, waiting: Vec::new(), used: HashMap::new(), decayed: Moment::ZERO }
    }

    /// Whether short jobs keep headroom under this order.
    pub fn keeps_headroom(&self) -> bool {
        self.order.keeps_headroom()
    }

    /// Adds a job.
    pub fn push(&mut self, job: Job) {
        self.waiting.push(job);
    }

    /// Takes out the highest-ranked job among those that `fits`.
    pub fn pop(&mut self, now: Moment, fits: impl Fn(&Job) -> bool) -> Option<Job> {
        self.decay(now);
        let best = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, job)| fits(job))
            .map(|(index, job)| (index, self.fair_rank(job, now)))
            .max_by(|a, b| a.1.total_cmp(&b.1))?;
        let job = self.waiting.swap_remove(best.0);
        *self.used.entry(job.workspace.clone()).or_default() += job.cost.as_secs_f64();
        Some(job)
    }

    /// Takes out the job of `attempt`.
    pub fn remove(&mut self, attempt: Attempt) -> Option<Job> {
        let index = self.waiting.iter().position(|job| job.attempt == attempt)?;
        Some(self.waiting.swap_remove(index))
    }

    /// Jobs waiting, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.waiting.iter()
    }

    /// Number of jobs waiting.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Cost of the waiting jobs that would start before a job like `job`.
    pub fn cost_ahead(&self, job: &Job, now: Moment) -> Duration {
        let rank = self.fair_rank(job, now);
        self.waiting.iter().filter(|other| self.fair_rank(other, now) >= rank).map(|other| other.cost).sum()
    }

    fn fair_rank(&self, job: &Job, now: Moment) -> f64 {
        let rank = self.order.rank(job, now);
        if !self.order.keeps_headroom() || self.used.len() < 2 {
            return rank;
        }
        let total: f64 = self.used.values().sum();
        let own = self.used.get(&job.workspace).copied().unwrap_or(0.0) / job.weight.max(0.01);
        let fair = total / self.used.len() as f64;
        let over = if fair > 0.0 { (own / fair).max(1.0) } else { 1.0 };
        rank / over.min(MOST_PENALTY)
    }

    fn decay(&mut self, now: Moment) {
        let span = now.since(self.decayed);
        if span < USE_HALF_LIFE / 20 {
            return;
        }
        self.decayed = now;
        let keep = 0.5_f64.powf(span.as_secs_f64() / USE_HALF_LIFE.as_secs_f64());
        self.used.values_mut().for_each(|used| *used *= keep);
        self.used.retain(|_, used| *used > 1e-4);
    }
}
