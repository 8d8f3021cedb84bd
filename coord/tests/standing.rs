//! Order of succession by capacity and announcement.

use coord::standing::{Power, Standing};

#[test]
fn capacity_ranks_before_age_and_age_decides_among_equals() {
    let strong = Power::of(0.5, 200.0);
    let weak = Power::of(0.09, 20.0);
    let mut all = [Standing::new(weak, 1), Standing::new(strong, 9), Standing::new(strong, 4), Standing::new(weak, 3)];
    all.sort();
    let expected = [Standing::new(strong, 4), Standing::new(strong, 9), Standing::new(weak, 1), Standing::new(weak, 3)];
    assert_eq!(all, expected);
}

#[test]
fn a_slightly_higher_capacity_does_not_take_over() {
    assert_eq!(Power::of(0.19, 1_000.0), Power::of(0.2, 2_000.0));
    assert!(Power::of(0.5, 20.0) < Power::of(0.5, 200.0), "the link limits the capacity");
    assert_eq!(Power::of(0.0, 0.0), Power::default(), "the capacity is unknown");
}
