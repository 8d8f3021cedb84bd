//! Order of succession by capacity and announcement.

use coord::standing::{Power, Standing};

#[test]
fn power_goes_before_age_and_age_decides_among_equals() {
    let strong = Power::of(0.5, 200.0);
    let weak = Power::of(0.09, 20.0);
    let mut all = [Standing::new(weak, 1), Standing::new(strong, 9), Standing::new(strong, 4), Standing::new(weak, 3)];
    all.sort();
    let wanted = [Standing::new(strong, 4), Standing::new(strong, 9), Standing::new(weak, 1), Standing::new(weak, 3)];
    assert_eq!(all, wanted);
}

#[test]
fn a_little_more_power_does_not_take_over() {
    assert_eq!(Power::of(0.19, 1_000.0), Power::of(0.2, 2_000.0));
    assert!(Power::of(0.5, 20.0) < Power::of(0.5, 200.0), "the link is scarce");
    assert_eq!(Power::of(0.0, 0.0), Power::default(), "it is not told");
}
