//! Transfer of document versions as differences to earlier versions.

use std::collections::HashMap;

use assert_matches::assert_matches;
use coord::parcel::{Error, Parcel, Shelf, Version};
use proptest::collection::vec;
use proptest::prelude::*;

fn version(offset: u64, value: impl Into<Vec<u8>>) -> Version {
    Version { offset, value: value.into().into() }
}

/// Returns a configuration of `routes` routes in which those in `changed` use another service.
fn configuration(routes: u64, changed: &[u64]) -> Vec<u8> {
    let route = |number: u64| {
        let name = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let service = if changed.contains(&number) { "b" } else { "a" };
        format!(
            r#"{{"name":"{name:x}","host":"{name:x}.example","path_prefix":"/{number}/","kind":"safe","timeout_ms":3000,"service":"{service}"}}"#
        )
    };
    (0..routes).map(route).collect::<Vec<_>>().join(",").into_bytes()
}

fn parcel(shelf: &mut Shelf, next: Option<u64>) -> Parcel {
    shelf.parcel(next).expect("it is made").expect("there is something newer")
}

#[test]
fn a_change_of_one_route_is_a_small_parcel_at_any_size() {
    for routes in [240, 1_500] {
        let (mut sender, mut receiver) = (Shelf::default(), Shelf::default());
        sender.keep(version(3, configuration(routes, &[])));
        let whole = parcel(&mut sender, None);
        let first = receiver.open(&whole).expect("it opens with nothing");
        receiver.keep(first);
        sender.keep(version(7, configuration(routes, &[routes / 2])));
        let change = parcel(&mut sender, Some(4));
        assert_eq!(change.base, Some(3));
        assert!(change.packed.len() < 400, "{} bytes for one route of {routes}", change.packed.len());
        assert!(whole.packed.len() < configuration(routes, &[]).len() / 3, "{} bytes", whole.packed.len());
        assert_eq!(receiver.open(&change).expect("it opens"), version(7, configuration(routes, &[routes / 2])));
    }
}

#[test]
fn who_has_the_newest_or_asks_one_that_has_nothing_gets_no_parcel() {
    let mut shelf = Shelf::default();
    assert_matches!(shelf.parcel(None), Ok(None));
    shelf.keep(version(5, "five"));
    assert_matches!(shelf.parcel(Some(6)), Ok(None));
    shelf.keep(version(5, "other"));
    assert_eq!(parcel(&mut shelf, Some(5)).base, None, "who knows all below 5 has none of these");
}

#[test]
fn a_parcel_opens_with_its_own_base_only() {
    let mut sender = Shelf::default();
    sender.keep(version(1, configuration(240, &[])));
    sender.keep(version(2, configuration(240, &[7])));
    let change = parcel(&mut sender, Some(2));
    assert_matches!(Shelf::default().open(&change), Err(Error::Unknown { base: 1 }));
    let mut other = Shelf::default();
    other.keep(version(1, configuration(240, &[100, 101])));
    assert_matches!(other.open(&change), Err(Error::Codec(_)));
}

#[test]
fn who_is_far_behind_gets_the_whole() {
    let mut shelf = Shelf::default();
    for offset in 0..20 {
        shelf.keep(version(offset, configuration(10, &[offset])));
    }
    assert_eq!(parcel(&mut shelf, Some(1)).base, None);
    assert_eq!(parcel(&mut shelf, Some(19)).base, Some(18));
}

#[test]
fn a_parcel_that_claims_too_much_does_not_open() {
    let mut shelf = Shelf::default();
    shelf.keep(version(1, vec![0; 2 << 20]));
    assert_matches!(Shelf::default().open(&parcel(&mut shelf, None)), Err(Error::Codec(_)));
}

proptest! {
    /// A receiver of lost and damaged deltas either holds the version sent or gets an error.
    #[test]
    fn receivers_hold_what_was_sent_or_fail(
        steps in vec((vec(any::<u8>(), 0..200), 0_u64..3, any::<Option<(usize, u8)>>()), 1..30),
    ) {
        let (mut sender, mut receiver) = (Shelf::default(), Shelf::default());
        let mut sent = HashMap::new();
        let mut next = None;
        for (offset, (value, lost, damage)) in steps.into_iter().enumerate() {
            let offset = offset as u64;
            sender.keep(version(offset, value.clone()));
            sent.insert(offset, value);
            if lost == 0 {
                continue;
            }
            let mut parcel = parcel(&mut sender, next);
            if let Some((place, bits)) = damage {
                let mut bytes = parcel.packed.to_vec();
                let place = place % bytes.len();
                bytes[place] ^= bits;
                parcel.packed = bytes.into();
            }
            match receiver.open(&parcel) {
                Ok(opened) => {
                    prop_assert_eq!(&opened.value[..], &sent[&offset][..]);
                    receiver.keep(opened);
                    next = Some(offset + 1);
                }
                Err(_) => prop_assert!(damage.is_some()),
            }
        }
    }
}
