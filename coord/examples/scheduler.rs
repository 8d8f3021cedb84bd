//! A short prompt overtakes a waiting long one, and an attempt that is cancelled before its start never runs.

use std::time::Duration;

use coord::estimate::Estimate;
use coord::name::Attempt;
use coord::queue::{Job, Slack};
use coord::scheduler::{Limits, Scheduler};
use coord::time::Moment;

fn main() {
    let limits = Limits {
        slots: 2,
        memory_tokens: 100_000,
        max_queued: 16,
        short_tokens: 4_000,
        short_share: 0.5,
        split_long_by_length: true,
        retention: Duration::from_secs(600),
    };
    let order = Box::new(Slack { slowdown_weight: 1.0, ttft_weight: 1.0 });
    let mut scheduler = Scheduler::new(limits, Estimate::new(30_000.0, Duration::from_millis(20)), order);
    let now = Moment::from_millis(1_000);
    for (attempt, tokens) in [(1, 40_000), (2, 40_000), (3, 1_000), (4, 1_000)] {
        let job = Job {
            attempt: Attempt(attempt),
            workspace: "market".into(),
            weight: 1.0,
            prefill_tokens: tokens,
            memory_tokens: tokens + 100,
            output_tokens: 100,
            priority: 0,
            arrived: now,
            deadline: now + Duration::from_secs(60),
            cost: scheduler.cost(tokens),
        };
        println!("offer {attempt} of {tokens} tokens: {:?}", scheduler.offer(job, now));
    }
    println!("cancel 4: {:?}", scheduler.cancel_unstarted(Attempt(4), None, now));
    println!("starts: {:?}", scheduler.advance(now));
    println!("waiting {}, reserved {} tokens", scheduler.waiting(), scheduler.memory_held());
}
