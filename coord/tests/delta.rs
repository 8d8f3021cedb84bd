//! Transfer of document versions as differences to earlier versions.

use std::collections::HashMap;

use assert_matches::assert_matches;
use coord::delta::{Delta, Error, Version, VersionCache};
use coord::offset;
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

fn delta(cache: &mut VersionCache, next: Option<u64>) -> Delta {
    cache.encode_newest(next).expect("encoding succeeds").expect("a newer version exists")
}

#[test]
fn a_change_of_one_route_makes_a_small_delta_at_any_size() {
    for routes in [240, 1_500] {
        let (mut sender, mut receiver) = (VersionCache::default(), VersionCache::default());
        sender.insert(version(3, configuration(routes, &[])));
        let full = delta(&mut sender, None);
        let first = receiver.decode(&full).expect("a full delta needs no base");
        receiver.insert(first);
        sender.insert(version(7, configuration(routes, &[routes / 2])));
        let change = delta(&mut sender, Some(4));
        assert_eq!(change.base, Some(3));
        assert!(change.compressed.len() < 400, "{} bytes for one route of {routes}", change.compressed.len());
        assert!(full.compressed.len() < configuration(routes, &[]).len() / 3, "{} bytes", full.compressed.len());
        assert_eq!(
            receiver.decode(&change).expect("the base is present"),
            version(7, configuration(routes, &[routes / 2]))
        );
    }
}

/// Guards against a base that the receiver never had: it started on a log that was restored from an older copy.
#[test]
fn a_version_that_a_restored_log_has_lost_is_no_base() {
    let mut sender = VersionCache::default();
    sender.insert(version(1, "second"));
    sender.insert(version(offset::encode(1, 5), "second"));
    let mut receiver = VersionCache::default();
    receiver.insert(version(offset::encode(1, 0), "first"));
    let delta = delta(&mut sender, Some(offset::encode(1, 1)));
    let decoded = receiver.decode(&delta).expect("the receiver needs no version that it lacks");
    assert_eq!(decoded, version(offset::encode(1, 5), "second"));
}

#[test]
fn a_receiver_with_the_newest_version_or_an_empty_cache_yields_no_delta() {
    let mut cache = VersionCache::default();
    assert_matches!(cache.encode_newest(None), Ok(None));
    cache.insert(version(5, "five"));
    assert_matches!(cache.encode_newest(Some(6)), Ok(None));
    cache.insert(version(5, "other"));
    assert_eq!(delta(&mut cache, Some(5)).base, None, "the receiver has no version below offset 5");
}

#[test]
fn a_delta_decodes_only_with_its_own_base() {
    let mut sender = VersionCache::default();
    sender.insert(version(1, configuration(240, &[])));
    sender.insert(version(2, configuration(240, &[7])));
    let change = delta(&mut sender, Some(2));
    assert_matches!(VersionCache::default().decode(&change), Err(Error::Unknown { base: 1 }));
    let mut other = VersionCache::default();
    other.insert(version(1, configuration(240, &[100, 101])));
    assert_matches!(other.decode(&change), Err(Error::Codec(_)));
}

#[test]
fn a_receiver_far_behind_gets_the_full_version() {
    let mut cache = VersionCache::default();
    for offset in 0..20 {
        cache.insert(version(offset, configuration(10, &[offset])));
    }
    assert_eq!(delta(&mut cache, Some(1)).base, None);
    assert_eq!(delta(&mut cache, Some(19)).base, Some(18));
}

#[test]
fn a_delta_that_decompresses_beyond_the_limit_fails() {
    let mut cache = VersionCache::default();
    cache.insert(version(1, vec![0; 2 << 20]));
    assert_matches!(VersionCache::default().decode(&delta(&mut cache, None)), Err(Error::Codec(_)));
}

proptest! {
    /// A receiver of lost and damaged deltas either holds the version sent or gets an error.
    #[test]
    fn receivers_hold_the_version_sent_or_fail(
        steps in vec((vec(any::<u8>(), 0..200), 0_u64..3, any::<Option<(usize, u8)>>()), 1..30),
    ) {
        let (mut sender, mut receiver) = (VersionCache::default(), VersionCache::default());
        let mut sent = HashMap::new();
        let mut next = None;
        for (offset, (value, lost, damage)) in steps.into_iter().enumerate() {
            let offset = offset as u64;
            sender.insert(version(offset, value.clone()));
            sent.insert(offset, value);
            if lost == 0 {
                continue;
            }
            let mut delta = delta(&mut sender, next);
            if let Some((index, mask)) = damage {
                let mut bytes = delta.compressed.to_vec();
                let index = index % bytes.len();
                bytes[index] ^= mask;
                delta.compressed = bytes.into();
            }
            match receiver.decode(&delta) {
                Ok(opened) => {
                    prop_assert_eq!(&opened.value[..], &sent[&offset][..]);
                    receiver.insert(opened);
                    next = Some(offset + 1);
                }
                Err(_) => prop_assert!(damage.is_some()),
            }
        }
    }
}
