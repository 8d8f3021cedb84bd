//! Short prompt as sent by callers in the planner's simulations.

use std::time::Duration;

use coord::planner::Job;
use coord::time::Moment;

/// Returns a job with a prompt of `prompt` tokens that arrives at `now`.
pub fn job(prompt_tokens: u64, now: Moment) -> Job {
    Job {
        prompt_tokens,
        max_output_tokens: 2_000,
        first_event_target: now + Duration::from_millis(300),
        gap_target_ms: 200.0,
        deadline: now + Duration::from_millis(2_000),
        priority: 1,
        fingerprint: None,
        workspace: None,
    }
}
