//! Order of succession by capacity and announcement.

use coord::succession::{Capacity, Rank};

#[test]
fn capacity_ranks_before_age_and_age_decides_among_equals() {
    let strong = Capacity::of(0.5, 200.0);
    let weak = Capacity::of(0.09, 20.0);
    let mut all = [Rank::new(weak, 1), Rank::new(strong, 9), Rank::new(strong, 4), Rank::new(weak, 3)];
    all.sort();
    let expected = [Rank::new(strong, 4), Rank::new(strong, 9), Rank::new(weak, 1), Rank::new(weak, 3)];
    assert_eq!(all, expected);
}

#[test]
fn a_slightly_higher_capacity_does_not_take_over() {
    assert_eq!(Capacity::of(0.19, 1_000.0), Capacity::of(0.2, 2_000.0));
    assert!(Capacity::of(0.5, 20.0) < Capacity::of(0.5, 200.0), "the link limits the capacity");
    assert_eq!(Capacity::of(0.0, 0.0), Capacity::default(), "the capacity is unknown");
}
