//! What may start now: free slots and memory, and the headroom that short jobs keep.

use super::message::Level;
use crate::queue::Job;

/// Most tokens of a middling prompt.
const MIDDLE_TOKENS: u64 = 16_000;
/// Most tokens of a long prompt.
const LONG_TOKENS: u64 = 100_000;

/// The engine priority of a job.
pub fn level(job: &Job, short_tokens: u64) -> Level {
    match job.prefill_tokens {
        tokens if tokens <= short_tokens => Level::Short,
        tokens if tokens <= MIDDLE_TOKENS => Level::Middle,
        tokens if tokens <= LONG_TOKENS => Level::Long,
        _ => Level::Huge,
    }
}

/// Free slots and memory, and the part of them that only short jobs may take.
#[derive(Clone, Copy)]
pub struct Room {
    /// Slots free.
    pub free_slots: usize,
    /// Of them, those that only short jobs may take.
    pub kept_slots: usize,
    /// Memory in all, in tokens.
    pub capacity: u64,
    /// Memory free, in tokens.
    pub free_memory: u64,
    /// Of it, what only short jobs may take.
    pub kept_memory: u64,
    /// What is being collected for a span.
    pub wanted_memory: u64,
    /// Prompts up to this many tokens are short.
    pub short_tokens: u64,
}

impl Room {
    /// Whether the job may start now.
    pub fn fits(&self, job: &Job) -> bool {
        if level(job, self.short_tokens) == Level::Short {
            return self.free_slots > 0 && job.memory_tokens <= self.free_memory;
        }
        // A prompt that could never fit beside the headroom may take it all on an empty engine.
        let kept = self.kept_memory.min(self.capacity.saturating_sub(job.memory_tokens));
        let taken = job.memory_tokens + kept + self.wanted_memory;
        self.free_slots > self.kept_slots && taken <= self.free_memory
    }
}
