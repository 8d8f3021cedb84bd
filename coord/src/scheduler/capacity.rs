//! Free slots and memory of an endpoint, and the part that is reserved for short jobs.

use super::message::Level;
use crate::queue::Job;

/// Longest prompt of [`Level::Middle`], in tokens.
const MIDDLE_TOKENS: u64 = 16_000;
/// Longest prompt of [`Level::Long`], in tokens.
const LONG_TOKENS: u64 = 100_000;

/// Returns the prefill priority of a job.
pub fn level(job: &Job, short_tokens: u64) -> Level {
    match job.prefill_tokens {
        tokens if tokens <= short_tokens => Level::Short,
        tokens if tokens <= MIDDLE_TOKENS => Level::Middle,
        tokens if tokens <= LONG_TOKENS => Level::Long,
        _ => Level::Huge,
    }
}

/// Free slots and memory, and how much is reserved for short jobs.
#[derive(Clone, Copy)]
pub struct Room {
    /// Free slots.
    pub free_slots: usize,
    /// Slots that are reserved for short jobs.
    pub kept_slots: usize,
    /// Total memory, in tokens.
    pub capacity: u64,
    /// Free memory, in tokens.
    pub free_memory: u64,
    /// Memory that is reserved for short jobs, in tokens.
    pub kept_memory: u64,
    /// Memory that a span is waiting for, in tokens.
    pub wanted_memory: u64,
    /// Longest prompt that counts as short, in tokens.
    pub short_tokens: u64,
}

impl Room {
    /// Returns whether the job can start now.
    pub fn fits(&self, job: &Job) -> bool {
        if level(job, self.short_tokens) == Level::Short {
            return self.free_slots > 0 && job.memory_tokens <= self.free_memory;
        }
        // A prompt that never fits beside the reserved memory may use all of it on an otherwise empty engine.
        let kept = self.kept_memory.min(self.capacity.saturating_sub(job.memory_tokens));
        let taken = job.memory_tokens + kept + self.wanted_memory;
        self.free_slots > self.kept_slots && taken <= self.free_memory
    }
}
