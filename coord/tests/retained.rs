//! Which retained results are dropped.

use coord::retained::Retained;

#[test]
fn the_oldest_results_are_dropped_until_the_rest_fits() {
    let mut retained = Retained::new(100);
    assert!(retained.add("a", 40).is_empty() && retained.add("b", 40).is_empty());
    assert_eq!(retained.add("c", 60), ["a"]);
    assert_eq!(retained.total_bytes(), 100);
    assert_eq!(retained.add("d", 101), ["b", "c", "d"], "one that never fits is not retained either");
    assert_eq!(retained.total_bytes(), 0);
}

#[test]
fn a_result_that_its_owner_dropped_no_longer_counts() {
    let mut retained = Retained::new(100);
    retained.add(1, 50);
    retained.add(2, 50);
    retained.retain(|key| *key != 1);
    assert!(retained.add(3, 50).is_empty());
}
