//! Backoffs that replicas ask for: how long each lasts, and which replica is available first.

use std::time::Duration;

use coord::name::Name;
use coord::rest::Register;
use coord::time::Moment;

const SECOND: Duration = Duration::from_secs(1);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn of_several_rests_the_one_that_ends_last_holds() {
    let replica = Name::from("r");
    let mut rests = Register::default();
    rests.hear(&replica, 3 * SECOND, at(0));
    rests.hear(&replica, SECOND, at(500));
    assert_eq!(rests.left("r", at(1_000)), 2 * SECOND, "a shorter one takes nothing back");
    rests.hear(&replica, 3 * SECOND, at(1_000));
    assert_eq!(rests.left("r", at(3_000)), SECOND);
    assert_eq!(rests.left("r", at(4_000)), Duration::ZERO);
    assert_eq!(rests.left("another", at(0)), Duration::ZERO);
}

#[test]
fn the_first_to_be_free_is_known_and_one_that_is_free_now_counts_as_such() {
    let names: Vec<Name> = ["a", "b", "c"].map(Name::from).into();
    let mut rests = Register::default();
    rests.hear(&names[0], 3 * SECOND, at(0));
    rests.hear(&names[1], SECOND, at(0));
    assert_eq!(rests.soonest(names[..2].iter(), at(0)), Some(SECOND));
    assert_eq!(rests.soonest(names.iter(), at(0)), Some(Duration::ZERO));
    assert_eq!(rests.soonest([].iter(), at(0)), None);
    let resting: Vec<_> = rests.resting(at(2_000)).collect();
    assert_eq!(resting, [(&names[0], SECOND)]);
}

#[test]
fn a_replica_that_started_again_asked_for_nothing() {
    let mut rests = Register::default();
    rests.hear(&"r".into(), SECOND, at(0));
    rests.forget("r");
    assert_eq!(rests.left("r", at(0)), Duration::ZERO);
}

#[test]
fn a_rest_without_end_is_no_overflow() {
    let mut rests = Register::default();
    rests.hear(&"r".into(), Duration::MAX, at(5));
    assert!(rests.left("r", at(5)) > 1_000 * SECOND);
}
