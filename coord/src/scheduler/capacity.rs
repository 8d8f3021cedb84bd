//! Free slots and memory of an endpoint, and the part that is reserved for short jobs.

use super::message::PrefillPriority;
use crate::queue::Job;

/// Longest prompt of [`PrefillPriority::Middle`], in tokens.
const MAX_MIDDLE_TOKENS: u64 = 16_000;
/// Longest prompt of [`PrefillPriority::Long`], in tokens.
const MAX_LONG_TOKENS: u64 = 100_000;

/// Returns the prefill priority of a job.
pub fn prefill_priority(job: &Job, short_tokens: u64) -> PrefillPriority {
    match job.prefill_tokens {
        tokens if tokens <= short_tokens => PrefillPriority::Short,
        tokens if tokens <= MAX_MIDDLE_TOKENS => PrefillPriority::Middle,
        tokens if tokens <= MAX_LONG_TOKENS => PrefillPriority::Long,
        _ => PrefillPriority::Huge,
    }
}

/// Free slots and memory, and how much is reserved for short jobs.
#[derive(Clone, Copy)]
pub struct Capacity {
    /// Free slots.
    pub free_slots: usize,
    /// Slots that are reserved for short jobs.
    pub reserved_slots: usize,
    /// Total memory, in tokens.
    pub total_memory: u64,
    /// Free memory, in tokens.
    pub free_memory: u64,
    /// Memory that is reserved for short jobs, in tokens.
    pub reserved_memory: u64,
    /// Memory that a span is waiting for, in tokens.
    pub span_memory: u64,
    /// Longest prompt that counts as short, in tokens.
    pub short_tokens: u64,
}

impl Capacity {
    /// Returns whether the job can start now.
    pub fn fits(&self, job: &Job) -> bool {
        if prefill_priority(job, self.short_tokens) == PrefillPriority::Short {
            return self.free_slots > 0 && job.memory_tokens <= self.free_memory;
        }
        // A prompt that never fits beside the reserved memory may use all of it on an otherwise empty engine.
        let reserved = self.reserved_memory.min(self.total_memory.saturating_sub(job.memory_tokens));
        let needed = job.memory_tokens + reserved + self.span_memory;
        self.free_slots > self.reserved_slots && needed <= self.free_memory
    }
}
