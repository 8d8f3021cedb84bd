//! Backoffs that replicas ask for: how long each lasts, and which replica is available first.

use std::time::Duration;

use coord::backoff::Backoffs;
use coord::name::Name;
use coord::time::Moment;

const SECOND: Duration = Duration::from_secs(1);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn of_several_backoffs_the_one_that_ends_last_applies() {
    let replica = Name::from("r");
    let mut backoffs = Backoffs::default();
    backoffs.record(&replica, 3 * SECOND, at(0));
    backoffs.record(&replica, SECOND, at(500));
    assert_eq!(backoffs.time_left("r", at(1_000)), 2 * SECOND, "a shorter backoff does not replace a longer one");
    backoffs.record(&replica, 3 * SECOND, at(1_000));
    assert_eq!(backoffs.time_left("r", at(3_000)), SECOND);
    assert_eq!(backoffs.time_left("r", at(4_000)), Duration::ZERO);
    assert_eq!(backoffs.time_left("another", at(0)), Duration::ZERO);
}

#[test]
fn the_earliest_backoff_end_is_zero_if_a_replica_is_available() {
    let names: Vec<Name> = ["a", "b", "c"].map(Name::from).into();
    let mut backoffs = Backoffs::default();
    backoffs.record(&names[0], 3 * SECOND, at(0));
    backoffs.record(&names[1], SECOND, at(0));
    assert_eq!(backoffs.earliest_end(names[..2].iter(), at(0)), Some(SECOND));
    assert_eq!(backoffs.earliest_end(names.iter(), at(0)), Some(Duration::ZERO));
    assert_eq!(backoffs.earliest_end([].iter(), at(0)), None);
    let active: Vec<_> = backoffs.active(at(2_000)).collect();
    assert_eq!(active, [(&names[0], SECOND)]);
}

#[test]
fn a_restarted_replica_is_not_in_backoff() {
    let mut backoffs = Backoffs::default();
    backoffs.record(&"r".into(), SECOND, at(0));
    backoffs.remove("r");
    assert_eq!(backoffs.time_left("r", at(0)), Duration::ZERO);
}

#[test]
fn an_endless_backoff_does_not_overflow() {
    let mut backoffs = Backoffs::default();
    backoffs.record(&"r".into(), Duration::MAX, at(5));
    assert!(backoffs.time_left("r", at(5)) > 1_000 * SECOND);
}
