//! What goes into a scheduler and comes out of it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{Attempt, Ran};

/// Sizes and limits of one endpoint.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Jobs that may run at once.
    pub slots: usize,
    /// KV memory of the engine, in tokens.
    pub memory_tokens: u64,
    /// Most jobs waiting.
    pub queue: usize,
    /// Prompts up to this many tokens are short.
    pub short_tokens: u64,
    /// Share of slots and memory that only short prompts may use.
    pub short_share: f64,
    /// Whether long prompts are told apart by length, so that the shorter go first on the engine.
    pub grade_long: bool,
    /// How long outcomes of keys and void attempts are remembered.
    pub window: Duration,
}

/// Why a job was not accepted. A refused job did not run and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The endpoint is leaving.
    Leaving,
    /// The endpoint does not answer.
    Unhealthy,
    /// The attempt was voided before it came.
    Voided,
    /// The attempt was already offered.
    Repeated,
    /// It cannot finish within its time.
    TooLate,
    /// Too many jobs wait.
    QueueFull,
    /// It needs more memory than the engine has.
    TooLarge,
    /// It waited here and cannot start for long: better elsewhere.
    Evicted,
}

/// A refusal with when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub reason: Refusal,
    /// When a like job could be accepted.
    pub retry_after: Duration,
}

/// What the caller of the scheduler has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start the job on the engine at this priority.
    Start(Attempt, Level),
    /// Give the job up: its time ran out. It did not start.
    Expire(Attempt),
    /// Stop the job on the engine: its time ran out while it ran.
    Cancel(Attempt),
    /// Send the job elsewhere: it did not start and will not.
    Evict(Attempt),
    /// Free the span on the engine: its lease has lapsed.
    FreeSpan(Attempt),
}

/// Engine priority of a job: the prefill of a larger level goes first, and pauses that of smaller ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Level {
    /// Of the longest prompts and of spans.
    Huge,
    /// Of long prompts.
    Long,
    /// Of middling prompts.
    Middle,
    /// Of short prompts, which also have headroom of their own.
    Short,
}

/// What became of a void.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Voided {
    /// It had not started and never will.
    NotRun,
    /// It had started and was stopped or is over.
    Started,
}

impl Voided {
    /// What a caller may be told of a voided attempt.
    pub fn ran(self) -> Ran {
        match self {
            Voided::NotRun => Ran::No,
            Voided::Started => Ran::Unknown,
        }
    }
}

/// What is known of a key bound to this incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Once {
    /// The key is new here: this attempt may run it.
    First,
    /// This attempt holds the key and is not over.
    Running(Attempt),
    /// This attempt ran the key to its end.
    Done(Attempt),
}

/// What an endpoint expects of a prompt, for an entry that asks.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quote {
    /// Expected time to the first token.
    pub ttft: Duration,
    /// Expected time to the whole answer.
    pub whole: Duration,
    /// Time by which it would hold up the first tokens of others here, summed.
    pub harm: Duration,
    /// Whether the endpoint would accept it now.
    pub open: bool,
    /// If not, when to come back.
    pub retry_after: Duration,
    /// Jobs waiting and running.
    pub outstanding: u32,
    /// Prefill tokens waiting and running, and output tokens still to come.
    pub active_tokens: u64,
    /// KV memory of the engine, in tokens.
    pub capacity_tokens: u64,
    /// Of it, what is free.
    pub free_tokens: u64,
}
