//! Refusals, with the reason and the forecast that an operator needs to understand them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::job::Id;
use super::promise::PromiseId;

/// Reason why a prompt is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The rate limits of the engines leave no capacity in time.
    RateLimited,
    /// The prompts ahead of a late one need longer than its caller will wait.
    Overload,
    /// The prompt is predicted to start only when its answer is useless to the caller.
    StartsTooLate,
    /// The prompt would be late now, and is predicted to be in time when its caller returns.
    ReturnInTime,
    /// The engines asked for a backoff.
    Backoff,
    /// All failure domains of the engines are evacuated.
    Evacuated,
}

impl Reason {
    /// Returns the name of the reason in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::RateLimited => "rate-limited",
            Reason::Overload => "overload",
            Reason::StartsTooLate => "starts-too-late",
            Reason::ReturnInTime => "return-in-time",
            Reason::Backoff => "backoff",
            Reason::Evacuated => "evacuated",
        }
    }
}

/// Forecast for a prompt, from the time of the refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forecast {
    /// Time until the prompt would have started.
    pub start_in: Duration,
    /// Time until its first event.
    pub first_event_in: Duration,
    /// Number of prompts ahead of it, including those of callers that are to return before it.
    pub ahead: usize,
}

/// Answer to the caller of a refused prompt, with the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Time after which the caller is told to retry.
    pub retry_after: Duration,
    /// Forecast that led to the refusal, if it was made by one.
    pub forecast: Option<Forecast>,
    /// Promise that the prompt is served when its caller returns.
    pub promise: Option<PromiseId>,
    /// Whether the caller had returned as told.
    pub is_return: bool,
}

impl Rejection {
    /// Creates a rejection without a forecast.
    pub const fn new(reason: Reason, retry_after: Duration) -> Self {
        Self { reason, retry_after, forecast: None, promise: None, is_return: false }
    }
}

/// Prompt that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Identity of the refused job.
    pub id: Id,
    /// Answer to its caller.
    pub rejection: Rejection,
}
