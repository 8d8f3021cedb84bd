//! Reference model of one engine: its pending prefill, its decoding answers, and its memory.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use coord::planner::{Id, Job, Policy};

use super::memory_tokens;
use super::policy::{MIN_PENDING_SHARE, OVERDUE_FACTOR};
use coord::engine::Profile;
use coord::time::Moment;

/// Part of a prompt that is still to be prefilled.
#[derive(Clone, Copy, Debug)]
struct Part {
    job: Id,
    /// Expected prefill time, in milliseconds.
    prefill_ms: f64,
}

/// Answer that decodes on an engine, or will once its prompt is prefilled.
#[derive(Clone, Copy, Debug)]
pub struct Sequence {
    /// KV memory that it holds on this engine, in tokens.
    pub tokens: u64,
    /// Gap target of its caller, in milliseconds; 0 if the caller sets none.
    pub gap_target_ms: f64,
}

/// State of one engine as known to the planner.
#[derive(Debug)]
pub struct Engine {
    pub profile: Arc<Profile>,
    /// Pending prefill, in order.
    parts: VecDeque<Part>,
    /// Time at which prefill of the first part started.
    front_started_at: Moment,
    pub sequences: BTreeMap<Id, Sequence>,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(profile: Arc<Profile>) -> Self {
        Self { profile, parts: VecDeque::new(), front_started_at: Moment::ZERO, sequences: BTreeMap::new() }
    }

    /// Returns the KV memory in use, in tokens.
    pub fn context_tokens(&self) -> u64 {
        self.sequences.values().map(|sequence| sequence.tokens).sum()
    }

    /// Returns the duration of a pass without prefill, in milliseconds.
    pub fn pass_ms(&self) -> f64 {
        if self.sequences.is_empty() {
            0.0
        } else {
            self.profile.pass_ms(self.sequences.len() as u32, self.context_tokens())
        }
    }

    /// Returns the pending prefill in milliseconds. Parts at the front that are long overdue no longer count, because
    /// their answers were lost or other engines hold up their teams. The first part that is not overdue counts in
    /// full if overdue parts precede it.
    pub fn pending_ms(&self, now: Moment) -> f64 {
        let mut elapsed_ms = now.since(self.front_started_at).as_secs_f64() * 1e3;
        let mut parts = self.parts.iter();
        let mut is_front = true;
        let next = parts.find(|part| {
            let overdue_after_ms = part.prefill_ms * OVERDUE_FACTOR + self.pass_ms();
            let is_overdue = elapsed_ms > overdue_after_ms;
            if is_overdue {
                elapsed_ms -= overdue_after_ms;
                is_front = false;
            }
            !is_overdue
        });
        let Some(next) = next else { return 0.0 };
        let remaining_ms = if is_front {
            (next.prefill_ms - elapsed_ms).max(next.prefill_ms * MIN_PENDING_SHARE)
        } else {
            next.prefill_ms
        };
        remaining_ms + parts.map(|part| part.prefill_ms).sum::<f64>()
    }

    /// Returns the time until a new prefill could start, in milliseconds.
    pub fn wait_ms(&self, now: Moment) -> f64 {
        self.pending_ms(now) + self.pass_ms()
    }

    /// Returns the smallest gap target of the sequences, in milliseconds; infinite if no sequence has one.
    pub fn min_gap_target_ms(&self) -> f64 {
        self.sequences
            .values()
            .map(|sequence| sequence.gap_target_ms)
            .filter(|gap_target| *gap_target > 0.0)
            .fold(f64::INFINITY, f64::min)
    }

    /// Returns the prefill that fits in before the gap between two events of a sequence exceeds its target, in
    /// milliseconds.
    pub fn prefill_budget_ms(&self, now: Moment, policy: &Policy) -> f64 {
        self.min_gap_target_ms() * policy.gap_share - self.pass_ms() - self.pending_ms(now)
    }

    /// Returns the KV memory that can still be granted, in tokens.
    pub fn free_memory(&self, policy: &Policy) -> u64 {
        ((self.profile.memory as f64 * policy.memory_share) as u64).saturating_sub(self.context_tokens())
    }

    pub fn has_memory(&self, job: &Job, policy: &Policy) -> bool {
        self.free_memory(policy) >= memory_tokens(job)
    }

    /// Returns whether one more answer may decode here.
    pub fn has_slot(&self, policy: &Policy) -> bool {
        (self.sequences.len() as f64) < f64::from(self.profile.slots) * policy.slot_share
    }

    /// Appends a part to the pending prefill.
    pub fn add_part(&mut self, job: Id, prefill_ms: f64, now: Moment) {
        if self.parts.is_empty() {
            self.front_started_at = now;
        }
        self.parts.push_back(Part { job, prefill_ms });
    }

    /// Removes the part of a job that is prefilled or was withdrawn.
    pub fn remove_part(&mut self, job: Id, now: Moment) {
        let was_front = self.parts.front().is_some_and(|part| part.job == job);
        self.parts.retain(|part| part.job != job);
        if was_front {
            self.front_started_at = now;
        }
    }
}
