//! Which of several reported limits is in force for a replica, and how many requests it allows.

use coord::limit::{GroupSize, RelayedReport, ReplicaLimits, TimedReport, TokenBucket};
use coord::name::Name;
use coord::time::Moment;

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn report(rate: Option<f64>, requested_ms: u64, received_ms: u64) -> TimedReport {
    TimedReport { rate, requested_at: at(requested_ms), received_at: at(received_ms) }
}

fn limits(reports: &[TimedReport]) -> ReplicaLimits {
    let mut limits = ReplicaLimits::default();
    for report in reports {
        limits.apply(&Name::from("a"), *report);
    }
    limits
}

#[test]
fn a_later_response_without_a_limit_removes_the_limit() {
    assert_eq!(limits(&[report(Some(2.0), 0, 10)]).rate("a"), Some(2.0));
    assert_eq!(limits(&[report(Some(2.0), 0, 10), report(None, 10, 20)]).rate("a"), None);
}

#[test]
fn overlapping_responses_leave_the_stricter_limit_in_force_in_any_order() {
    // The response to a long request, sent before the replica was limited, arrives after a newer response.
    let (late, newer) = (report(None, 0, 50), report(Some(2.0), 20, 30));
    assert_eq!(limits(&[newer, late]).rate("a"), Some(2.0));
    assert_eq!(limits(&[late, newer]).rate("a"), Some(2.0));
    let (low, high) = (report(Some(1.0), 0, 20), report(Some(3.0), 10, 15));
    assert_eq!(limits(&[low, high]).rate("a"), Some(1.0));
    assert_eq!(limits(&[high, low]).rate("a"), Some(1.0));
}

#[test]
fn an_older_report_that_arrives_late_changes_nothing() {
    let reports = [report(Some(2.0), 0, 10), report(None, 20, 30), report(Some(2.0), 0, 15)];
    assert_eq!(limits(&reports).rate("a"), None);
}

#[test]
fn a_limit_of_an_earlier_run_does_not_apply_to_the_later_one() {
    let mut limits = limits(&[report(Some(2.0), 0, 10)]);
    assert!(limits.reset_for_restart("a", at(100)));
    assert_eq!(limits.rate("a"), None);
    // An entry relays a report of the previous run.
    assert!(!limits.apply(&Name::from("a"), report(Some(2.0), 50, 60)));
    assert!(limits.apply(&Name::from("a"), report(Some(4.0), 110, 120)));
    assert_eq!(limits.rate("a"), Some(4.0));
}

#[test]
fn a_relayed_report_keeps_its_age() {
    let original = report(Some(2.0), 40, 50);
    let relayed = RelayedReport::of(&Name::from("a"), &original, at(80));
    assert_eq!(relayed.timed_report(at(1_080)), report(Some(2.0), 1_040, 1_050));
}

/// Returns the number of requests admitted within `duration_ms` if one arrives every millisecond.
fn admitted_count(bucket: &mut TokenBucket, from_ms: u64, duration_ms: u64) -> usize {
    let mut count = 0;
    for ms in from_ms..from_ms + duration_ms {
        if bucket.allows_request(at(ms)) {
            bucket.take(at(ms));
            count += 1;
        }
    }
    count
}

#[test]
fn an_idle_period_is_followed_by_one_extra_request_and_no_burst() {
    let mut bucket = TokenBucket::new(2.0, 1.0, 0.0, at(0));
    assert_eq!(admitted_count(&mut bucket, 0, 4_001), 8);
    assert_eq!(admitted_count(&mut bucket, 60_000, 4_000), 8);
    let mut high_rate = TokenBucket::new(100.0, 1.0, 0.0, at(0));
    assert!((100..=126).contains(&admitted_count(&mut high_rate, 60_000, 1_000)));
}

#[test]
fn a_replica_with_limit_zero_gets_one_request_every_ten_seconds() {
    let mut bucket = TokenBucket::new(0.0, 1.0, 0.0, at(0));
    assert_eq!(admitted_count(&mut bucket, 0, 40_001), 4);
}

#[test]
fn changing_a_limit_does_not_refund_used_capacity() {
    let mut bucket = TokenBucket::new(10.0, 1.0, 1.0, at(0));
    assert!(admitted_count(&mut bucket, 0, 10) > 0);
    bucket.set(1.0, 1.0, at(10));
    assert!(!bucket.allows_request(at(500)));
}

#[test]
fn the_shares_in_a_partition_add_up_to_one_and_lost_entries_are_forgotten() {
    let mut group = GroupSize::default();
    group.record_size(5, at(100_000));
    assert_eq!(group.share(5, 0, at(100_000)), 1.0);
    let later = at(101_000);
    assert_eq!(group.share(2, 0, later) + group.share(3, 0, later), 1.0);
    assert_eq!(group.share(1, 0, later), 0.2);
    for s in 100..200 {
        group.record_size(3, at(s * 1_000));
    }
    assert_eq!(group.share(3, 0, at(200_000)), 1.0);
    // An entry that has never met another uses the number of entries in the store.
    assert_eq!(GroupSize::default().share(1, 770, at(0)), 1.0 / 770.0);
    assert_eq!(GroupSize::default().share(1, 0, at(0)), 1.0);
}
