//! Short prompt as sent by callers in the planner's simulations.

use std::time::Duration;

use coord::planner::Job;
use coord::time::Moment;

/// Returns a job with a prompt of `prompt` tokens that arrives at `now`.
pub fn job(prompt: u64, now: Moment) -> Job {
    Job {
        prompt,
        output: 2_000,
        aim: now + Duration::from_millis(300),
        gap_ms: 200.0,
        deadline: now + Duration::from_millis(2_000),
        priority: 1,
        work: None,
    }
}
