//! Reference model of one engine: its pending prefill, its decoding answers, and its memory.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use coord::planner::{Id, Job, Policy};

use super::needs;
use super::policy::{LEAST_LEFT, OVERDUE};
use coord::engine::Figures;
use coord::time::Moment;

/// Part of a prompt that is still to be prefilled.
#[derive(Clone, Copy, Debug)]
struct Part {
    job: Id,
    /// Expected prefill time, in milliseconds.
    ms: f64,
}

/// Answer that decodes on an engine, or will once its prompt is prefilled.
#[derive(Clone, Copy, Debug)]
pub struct Seat {
    /// Tokens that it holds in memory.
    pub tokens: u64,
    /// Longest gap between two events that its caller accepts, in milliseconds; 0 if the caller names no limit.
    pub gap_ms: f64,
}

/// State of one engine, as far as the planner knows.
#[derive(Debug)]
pub struct Engine {
    pub figures: Arc<Figures>,
    /// Pending prefill, in order.
    parts: VecDeque<Part>,
    /// Time at which prefill of the first part started.
    front_since: Moment,
    /// Sequences by job.
    pub seats: BTreeMap<Id, Seat>,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(figures: Arc<Figures>) -> Self {
        Self { figures, parts: VecDeque::new(), front_since: Moment::ZERO, seats: BTreeMap::new() }
    }

    /// Returns the number of tokens that the engine's memory holds.
    pub fn context(&self) -> u64 {
        self.seats.values().map(|seat| seat.tokens).sum()
    }

    /// Returns the duration of a pass without prefill, in milliseconds.
    pub fn pass_ms(&self) -> f64 {
        if self.seats.is_empty() { 0.0 } else { self.figures.pass_ms(self.seats.len() as u32, self.context()) }
    }

    /// Returns the pending prefill in milliseconds. Parts at the front that are long overdue no longer count, because
    /// their answers were lost or other engines hold up their teams. The first part that is not overdue counts in
    /// full if overdue parts precede it.
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

    /// Returns the time until a new prefill could start, in milliseconds.
    pub fn wait_ms(&self, now: Moment) -> f64 {
        self.pending_ms(now) + self.pass_ms()
    }

    /// Returns the smallest gap limit of the sequences, in milliseconds; infinite if no sequence has one.
    pub fn gap_ms(&self) -> f64 {
        self.seats.values().map(|seat| seat.gap_ms).filter(|gap| *gap > 0.0).fold(f64::INFINITY, f64::min)
    }

    /// Returns the prefill that fits in before the gap between two events of a sequence exceeds its limit, in
    /// milliseconds.
    pub fn room_ms(&self, now: Moment, policy: &Policy) -> f64 {
        self.gap_ms() * policy.pause_share - self.pass_ms() - self.pending_ms(now)
    }

    /// Returns the number of tokens of its memory that can still be granted.
    pub fn free_memory(&self, policy: &Policy) -> u64 {
        ((self.figures.memory as f64 * policy.memory_share) as u64).saturating_sub(self.context())
    }

    /// Returns whether its memory has room for a job.
    pub fn has_memory(&self, job: &Job, policy: &Policy) -> bool {
        self.free_memory(policy) >= needs(job)
    }

    /// Returns whether one more answer may decode here.
    pub fn has_slot(&self, policy: &Policy) -> bool {
        (self.seats.len() as f64) < f64::from(self.figures.slots) * policy.slot_share
    }

    /// Appends a part to the pending prefill.
    pub fn add_part(&mut self, job: Id, ms: f64, now: Moment) {
        if self.parts.is_empty() {
            self.front_since = now;
        }
        self.parts.push_back(Part { job, ms });
    }

    /// Removes the part of a job that is prefilled or was withdrawn.
    pub fn drop_part(&mut self, job: Id, now: Moment) {
        let was_front = self.parts.front().is_some_and(|part| part.job == job);
        self.parts.retain(|part| part.job != job);
        if was_front {
            self.front_since = now;
        }
    }
}
