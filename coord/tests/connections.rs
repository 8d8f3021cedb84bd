//! For whom a caller's connection waits, and until when; how many log lines are written about it.

use std::time::Duration;

use coord::connection::{Activity, Timeouts};
use coord::log_limit::LogLimit;
use coord::pool::Stage;
use coord::time::Moment;

const START: Moment = Moment::from_millis(1_000_000);
const SECOND: Duration = Duration::from_secs(1);
const TIMEOUTS: Timeouts = Timeouts {
    first: Duration::from_secs(5),
    head: Duration::from_secs(3),
    idle: Duration::from_secs(10),
    unread: Duration::from_secs(60),
};

#[test]
fn a_connection_that_sends_nothing_ends_with_its_first_time() {
    let activity = Activity::new(START);
    assert_eq!(activity.stage(), Stage::Caller);
    assert_eq!(activity.due_at(&TIMEOUTS), Some(START + TIMEOUTS.first));
}

#[test]
fn a_head_ends_with_its_time_however_many_bytes_follow() {
    let mut activity = Activity::new(START);
    activity.record_read(START + SECOND);
    activity.record_read(START + 2 * SECOND);
    assert_eq!(activity.due_at(&TIMEOUTS), Some(START + SECOND + TIMEOUTS.head));
    assert_eq!(activity.stage(), Stage::Caller);
}

#[test]
fn a_request_waits_for_its_caller_until_its_body_has_arrived_and_then_for_the_process() {
    let mut activity = Activity::new(START);
    activity.record_read(START);
    activity.begin_request(true);
    assert_eq!((activity.stage(), activity.due_at(&TIMEOUTS)), (Stage::Caller, None));
    activity.end_body();
    assert_eq!((activity.stage(), activity.due_at(&TIMEOUTS)), (Stage::Process, None));
    activity.end_request(START + SECOND);
    assert_eq!(activity.stage(), Stage::Idle);
    assert_eq!(activity.due_at(&TIMEOUTS), Some(START + SECOND + TIMEOUTS.idle));
    activity.record_read(START + 2 * SECOND);
    assert_eq!(activity.stage(), Stage::Caller);
    assert_eq!(activity.due_at(&TIMEOUTS), Some(START + 2 * SECOND + TIMEOUTS.head));
}

#[test]
fn a_caller_that_reads_nothing_is_waited_for_from_its_last_read() {
    let mut activity = Activity::new(START);
    activity.begin_request(false);
    activity.record_write(false, START + SECOND);
    activity.record_write(true, START + 2 * SECOND);
    activity.record_write(true, START + 9 * SECOND);
    assert_eq!(activity.stage(), Stage::Caller);
    assert_eq!(activity.due_at(&TIMEOUTS), Some(START + 2 * SECOND + TIMEOUTS.unread));
    activity.record_write(false, START + 10 * SECOND);
    assert_eq!(activity.stage(), Stage::Process);
}

#[test]
fn requests_that_share_a_connection_make_its_other_bytes_no_head() {
    let mut activity = Activity::new(START);
    activity.record_read(START);
    activity.begin_request(false);
    activity.set_multiplexed();
    activity.begin_request(true);
    assert_eq!(activity.stage(), Stage::Process, "one of the two has arrived");
    activity.end_request(START + SECOND);
    assert_eq!(activity.stage(), Stage::Caller);
    activity.end_body();
    activity.end_request(START + SECOND);
    activity.record_read(START + 2 * SECOND);
    assert_eq!(activity.stage(), Stage::Idle);
}

#[test]
fn lines_beyond_the_limit_are_counted_in_the_next_one() {
    let mut limit = LogLimit::new(2);
    let outcomes: Vec<Option<u64>> = (0..5).map(|_| limit.record(START)).collect();
    assert_eq!(outcomes, [Some(0), Some(0), None, None, None]);
    assert_eq!(limit.record(START + SECOND), Some(3));
}
