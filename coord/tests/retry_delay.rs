//! The total number of calls during an outage does not grow with the number of processes.

use std::time::Duration;

use coord::retry_delay::RetryDelay;

const FOLLOWER_DELAY: RetryDelay = RetryDelay { initial: Duration::from_millis(400), max: Duration::from_secs(2) };
const MAX_CALLS_PER_S: f64 = 16.0;

/// Returns the number of calls that `processes` processes make during an outage.
fn calls(delay: RetryDelay, processes: usize, outage: Duration) -> usize {
    let mut elapsed = Duration::ZERO;
    let mut calls_per_process = 0;
    while elapsed < outage {
        calls_per_process += 1;
        elapsed += delay.delay(calls_per_process);
    }
    calls_per_process as usize * processes
}

#[test]
fn many_processes_share_a_call_rate_in_an_outage_and_a_few_keep_their_own() {
    let outage = Duration::from_secs(8);
    let (before, after) =
        (calls(FOLLOWER_DELAY, 103, outage), calls(FOLLOWER_DELAY.shared_among(103, MAX_CALLS_PER_S), 103, outage));
    assert!(after * 2 <= before, "{after} calls instead of {before}");
    assert_eq!(FOLLOWER_DELAY.shared_among(5, MAX_CALLS_PER_S), FOLLOWER_DELAY);
    let (long_outage, process_count) = (Duration::from_secs(3_600), 770);
    let per_s = calls(FOLLOWER_DELAY.shared_among(process_count, MAX_CALLS_PER_S), process_count, long_outage) as f64
        / long_outage.as_secs_f64();
    assert!(
        per_s <= MAX_CALLS_PER_S * 1.2,
        "{per_s} calls per second from {process_count} processes in an outage of an hour"
    );
}
