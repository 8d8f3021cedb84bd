//! Input and output types of the scheduler.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{Attempt, ExecutionStatus};

/// Sizes and limits of one endpoint.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest number of running jobs.
    pub slots: usize,
    /// KV memory of the engine, in tokens.
    pub memory_tokens: u64,
    /// Largest number of waiting jobs.
    pub max_queued: usize,
    /// Longest prompt that counts as short, in tokens.
    pub short_tokens: u64,
    /// Share of slots and memory that is reserved for short prompts.
    pub short_share: f64,
    /// Whether long prompts get different priorities by length, so that the engine prefills shorter ones first.
    pub split_long_by_length: bool,
    /// Time for which key outcomes and cancelled attempts are remembered.
    pub retention: Duration,
}

/// Reason for refusing a job. A refused job did not run and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The endpoint is draining.
    Draining,
    /// The endpoint fails its health checks.
    Unhealthy,
    /// The attempt was cancelled before it arrived.
    Cancelled,
    /// The attempt was offered before.
    Duplicate,
    /// The job cannot finish before its deadline.
    TooLate,
    /// Too many jobs wait.
    QueueFull,
    /// The job needs more memory than the engine has.
    TooLarge,
    /// The job was waiting here but cannot start soon; it should go to another endpoint.
    Evicted,
}

/// Refusal with a retry delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Time after which a similar job could be accepted.
    pub retry_after: Duration,
}

/// Action that the caller of the scheduler must take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start the job on the engine with this priority.
    Start(Attempt, PrefillPriority),
    /// Discard the job, because its deadline passed before it started.
    Expire(Attempt),
    /// Stop the job on the engine, because its deadline passed while it ran.
    Cancel(Attempt),
    /// Send the job to another endpoint; it did not start here and will not.
    Evict(Attempt),
    /// Free the span on the engine, because its lease expired.
    FreeSpan(Attempt),
}

/// Prefill priority of a job on the engine. Prefill at a higher priority goes first and pauses prefill at lower ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PrefillPriority {
    /// Prompts longer than long ones, and spans.
    Huge,
    /// Long prompts.
    Long,
    /// Middle-sized prompts.
    Middle,
    /// Short prompts, which also have reserved slots and memory.
    Short,
}

/// Result of cancelling an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelOutcome {
    /// The attempt had not started and never will.
    NotRun,
    /// The attempt had started; it is being stopped or has finished.
    Started,
}

impl CancelOutcome {
    /// Returns whether the attempt ran, as far as a caller may be told.
    pub fn ran(self) -> ExecutionStatus {
        match self {
            CancelOutcome::NotRun => ExecutionStatus::No,
            CancelOutcome::Started => ExecutionStatus::Unknown,
        }
    }
}

/// State of an idempotency key that is bound to this incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// The key was new; this attempt is now bound to it and may run.
    First,
    /// The given attempt is bound to the key and has not finished.
    Running(Attempt),
    /// The given attempt ran to completion under the key.
    Done(Attempt),
}

/// Estimates of an endpoint for a prompt, sent to an entry on request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quote {
    /// Expected time to the first token.
    pub ttft: Duration,
    /// Expected time to the complete answer.
    pub total: Duration,
    /// Total delay that the prompt would add to the first tokens of other jobs here.
    pub interference: Duration,
    /// Whether the endpoint would accept the prompt now.
    pub is_accepting: bool,
    /// Time after which to retry if the endpoint would not accept the prompt.
    pub retry_after: Duration,
    /// Number of waiting and running jobs.
    pub outstanding: u32,
    /// Prefill tokens of waiting and running jobs, and output tokens still to be generated.
    pub active_tokens: u64,
    /// KV memory of the engine, in tokens.
    pub capacity_tokens: u64,
    /// Free part of the KV memory, in tokens.
    pub free_tokens: u64,
}
