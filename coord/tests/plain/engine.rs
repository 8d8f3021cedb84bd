//! The planner's picture of one engine: what it has left to read, what it writes, what its memory holds.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use coord::planner::{Id, Job, Policy};

use super::needs;
use super::policy::{LEAST_LEFT, OVERDUE};
use coord::engine::Figures;
use coord::time::Moment;

/// A part of a prompt that an engine has still to read.
#[derive(Clone, Copy, Debug)]
struct Part {
    job: Id,
    /// Time that reading it takes, in milliseconds.
    ms: f64,
}

/// An answer that an engine writes, or will write once its prompt is read.
#[derive(Clone, Copy, Debug)]
pub struct Seat {
    /// Tokens that it holds.
    pub tokens: u64,
    /// Longest pause that its caller wants, in milliseconds; 0 if none is told.
    pub gap_ms: f64,
}

/// What the planner believes of one engine.
#[derive(Debug)]
pub struct Engine {
    /// Its sizes and speeds.
    pub figures: Arc<Figures>,
    /// What it reads, in order.
    parts: VecDeque<Part>,
    /// When the first part began to be read.
    front_since: Moment,
    /// What it writes.
    pub seats: BTreeMap<Id, Seat>,
}

impl Engine {
    /// An engine with nothing to do.
    pub fn new(figures: Arc<Figures>) -> Self {
        Self { figures, parts: VecDeque::new(), front_since: Moment::ZERO, seats: BTreeMap::new() }
    }

    /// Tokens that its memory holds.
    pub fn context(&self) -> u64 {
        self.seats.values().map(|seat| seat.tokens).sum()
    }

    /// Milliseconds of a pass in which nothing is read.
    pub fn pass_ms(&self) -> f64 {
        if self.seats.is_empty() { 0.0 } else { self.figures.pass_ms(self.seats.len() as u32, self.context()) }
    }

    /// Milliseconds of reading that are left. Parts that are long overdue, one after the other, no longer count: their
    /// answers were lost, or other engines hold up their teams. The part behind those counts in full.
    pub fn pending_ms(&self, now: Moment) -> f64 {
        let mut elapsed = now.since(self.front_since).as_secs_f64() * 1e3;
        let mut parts = self.parts.iter();
        let mut is_front = true;
        let next = parts.find(|part| {
            let overdue_after = part.ms * OVERDUE + self.pass_ms();
            let overdue = elapsed > overdue_after;
            if overdue {
                elapsed -= overdue_after;
                is_front = false;
            }
            !overdue
        });
        let Some(next) = next else { return 0.0 };
        let next_left = if is_front { (next.ms - elapsed).max(next.ms * LEAST_LEFT) } else { next.ms };
        next_left + parts.map(|part| part.ms).sum::<f64>()
    }

    /// Milliseconds until it could begin to read something new.
    pub fn wait_ms(&self, now: Moment) -> f64 {
        self.pending_ms(now) + self.pass_ms()
    }

    /// The shortest pause that anyone who writes here wants.
    pub fn gap_ms(&self) -> f64 {
        self.seats.values().map(|seat| seat.gap_ms).filter(|gap| *gap > 0.0).fold(f64::INFINITY, f64::min)
    }

    /// Milliseconds of reading that fit in before someone who writes here waits too long.
    pub fn room_ms(&self, now: Moment, policy: &Policy) -> f64 {
        self.gap_ms() * policy.pause_share - self.pass_ms() - self.pending_ms(now)
    }

    /// Tokens of its memory that may still be granted.
    pub fn free_memory(&self, policy: &Policy) -> u64 {
        ((self.figures.memory as f64 * policy.memory_share) as u64).saturating_sub(self.context())
    }

    /// Whether its memory has room for a job.
    pub fn has_memory(&self, job: &Job, policy: &Policy) -> bool {
        self.free_memory(policy) >= needs(job)
    }

    /// Whether one more answer may be written here.
    pub fn has_slot(&self, policy: &Policy) -> bool {
        (self.seats.len() as f64) < f64::from(self.figures.slots) * policy.slot_share
    }

    /// Adds a part behind what is left to read.
    pub fn add_part(&mut self, job: Id, ms: f64, now: Moment) {
        if self.parts.is_empty() {
            self.front_since = now;
        }
        self.parts.push_back(Part { job, ms });
    }

    /// Notes that a job's part is read, or never will be.
    pub fn drop_part(&mut self, job: Id, now: Moment) {
        let was_front = self.parts.front().is_some_and(|part| part.job == job);
        self.parts.retain(|part| part.job != job);
        if was_front {
            self.front_since = now;
        }
    }
}
