//! A short prompt as callers of the played fleets send it.

use std::time::Duration;

use coord::planner::Job;
use coord::time::Moment;

/// A prompt of so many tokens that comes at `now`.
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
