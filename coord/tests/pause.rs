//! The total number of calls during an outage does not grow with the number of processes.

use std::time::Duration;

use coord::pause::Pause;

const FOLLOWER: Pause = Pause { first: Duration::from_millis(400), longest: Duration::from_secs(2) };
const PER_S: f64 = 16.0;

/// Returns the number of calls that `processes` processes make during an outage.
fn calls(pause: Pause, processes: usize, outage: Duration) -> usize {
    let mut at = Duration::ZERO;
    let mut each = 0;
    while at < outage {
        each += 1;
        at += pause.after(each);
    }
    each as usize * processes
}

#[test]
fn a_hundred_processes_make_few_calls_in_an_outage_and_a_handful_call_as_often_as_before() {
    let outage = Duration::from_secs(8);
    let (before, after) = (calls(FOLLOWER, 103, outage), calls(FOLLOWER.shared(103, PER_S), 103, outage));
    assert!(after * 2 <= before, "{after} calls in place of {before}");
    assert_eq!(FOLLOWER.shared(5, PER_S), FOLLOWER);
    let (hour, many) = (Duration::from_secs(3_600), 770);
    let per_s = calls(FOLLOWER.shared(many, PER_S), many, hour) as f64 / hour.as_secs_f64();
    assert!(per_s <= PER_S * 1.2, "{per_s} calls a second of {many} in an outage of an hour");
}
