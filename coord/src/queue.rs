//! Queue in front of one endpoint, which decides which waiting job starts next.

use std::collections::HashMap;
use std::time::Duration;

use crate::name::{Attempt, Name};
use crate::time::Moment;

/// Job waiting for an endpoint.
#[derive(Clone, Debug)]
pub struct Job {
    /// Attempt that the job belongs to.
    pub attempt: Attempt,
    /// Workspace of the caller.
    pub workspace: Name,
    /// Weight of the workspace in fair sharing; the default is 1.
    pub weight: f64,
    /// Prompt tokens to prefill, without those found in the prefix cache.
    pub prefill_tokens: u64,
    /// KV memory that the job needs until it completes, in tokens.
    pub memory_tokens: u64,
    /// Maximum number of output tokens.
    pub output_tokens: u64,
    /// Priority of the intent; larger values go first.
    pub priority: u8,
    /// Time at which the job entered the queue.
    pub arrived: Moment,
    /// Time by which the answer must be complete.
    pub deadline: Moment,
    /// Expected time to the first token on an idle engine.
    pub cost: Duration,
}

/// Scheduling policy that ranks waiting jobs.
pub trait Order: Send {
    /// Returns the rank of the job at `now`; the job with the largest rank goes first.
    fn rank(&self, job: &Job, now: Moment) -> f64;

    /// Returns whether slots and memory are reserved for short jobs.
    fn reserves_headroom(&self) -> bool {
        true
    }
}

/// Baseline policy: first in, first out.
pub struct Fifo;

impl Order for Fifo {
    fn rank(&self, job: &Job, now: Moment) -> f64 {
        now.since(job.arrived).as_secs_f64()
    }

    fn reserves_headroom(&self) -> bool {
        false
    }
}

/// Policy that ranks by slowdown and by the used part of the job's slack.
///
/// The slowdown of a job is (waited + cost) / cost. Short jobs rise quickly and long jobs keep rising, so ageing
/// needs no separate constant.
pub struct Slack {
    /// Weight of one unit of slowdown.
    pub slowdown_weight: f64,
    /// Weight of a fully used slack.
    pub ttft_weight: f64,
}

/// Minimum cost in ranking; jobs below it count as equally short.
const MIN_COST: Duration = Duration::from_millis(5);
/// Fraction of the slack that must be used before it affects the rank.
const URGENT_SLACK_SHARE: f64 = 0.5;

impl Order for Slack {
    fn rank(&self, job: &Job, now: Moment) -> f64 {
        let waited = now.since(job.arrived).as_secs_f64();
        let cost = job.cost.max(MIN_COST).as_secs_f64();
        let slack = (job.deadline.since(job.arrived).as_secs_f64() - cost).max(cost);
        let slowdown = (waited + cost) / cost;
        let urgency = (waited / slack - URGENT_SLACK_SHARE).max(0.0);
        f64::from(job.priority)
            + self.slowdown_weight * slowdown
            + self.ttft_weight * (waited + urgency * slack) / slack
    }
}

/// Half-life of the recorded use of a workspace.
const USE_HALF_LIFE: Duration = Duration::from_secs(10);
/// Maximum factor by which recorded use lowers a job's rank.
const MAX_PENALTY: f64 = 64.0;

/// Waiting jobs, with the recent use of the endpoint by each workspace.
pub struct Queue {
    order: Box<dyn Order>,
    waiting: Vec<Job>,
    recent_use: HashMap<Name, f64>,
    decayed_at: Moment,
}

impl Queue {
    /// Creates an empty queue with the given policy.
    pub fn new(order: Box<dyn Order>) -> Self {
        Self { order, waiting: Vec::new(), recent_use: HashMap::new(), decayed_at: Moment::ZERO }
    }

    /// Returns whether the policy reserves slots and memory for short jobs.
    pub fn reserves_headroom(&self) -> bool {
        self.order.reserves_headroom()
    }

    /// Adds a job; its position is decided when jobs are removed.
    pub fn push(&mut self, job: Job) {
        self.waiting.push(job);
    }

    /// Removes and returns the highest-ranked job for which `fits` returns `true`.
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
        *self.recent_use.entry(job.workspace.clone()).or_default() += job.cost.as_secs_f64();
        Some(job)
    }

    /// Removes and returns the job of `attempt`.
    pub fn remove(&mut self, attempt: Attempt) -> Option<Job> {
        let index = self.waiting.iter().position(|job| job.attempt == attempt)?;
        Some(self.waiting.swap_remove(index))
    }

    /// Iterates over the waiting jobs in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.waiting.iter()
    }

    /// Returns the number of waiting jobs.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no job is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the total cost of the waiting jobs that would start before `job`.
    pub fn cost_ahead(&self, job: &Job, now: Moment) -> Duration {
        let rank = self.fair_rank(job, now);
        self.waiting.iter().filter(|other| self.fair_rank(other, now) >= rank).map(|other| other.cost).sum()
    }

    fn fair_rank(&self, job: &Job, now: Moment) -> f64 {
        let rank = self.order.rank(job, now);
        if !self.order.reserves_headroom() || self.recent_use.len() < 2 {
            return rank;
        }
        let total: f64 = self.recent_use.values().sum();
        let own_use = self.recent_use.get(&job.workspace).copied().unwrap_or(0.0) / job.weight.max(0.01);
        let fair_use = total / self.recent_use.len() as f64;
        let overuse = if fair_use > 0.0 { (own_use / fair_use).max(1.0) } else { 1.0 };
        rank / overuse.min(MAX_PENALTY)
    }

    fn decay(&mut self, now: Moment) {
        let elapsed = now.since(self.decayed_at);
        if elapsed < USE_HALF_LIFE / 20 {
            return;
        }
        self.decayed_at = now;
        let retained = 0.5_f64.powf(elapsed.as_secs_f64() / USE_HALF_LIFE.as_secs_f64());
        self.recent_use.values_mut().for_each(|used| *used *= retained);
        self.recent_use.retain(|_, used| *used > 1e-4);
    }
}
