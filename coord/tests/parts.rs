//! Unit tests of the smaller components.

use std::time::Duration;

use assert_matches::assert_matches;
use coord::answer::{FrameDigest, Receiver, Verdict};
use coord::budget::Budget;
use coord::claim::{Binding, Claims, Key};
use coord::estimate::Quantile;
use coord::fence::{Fence, Guard, Lease};
use coord::membership::{Members, Role, Sample, Vm};
use coord::memory::Ledger;
use coord::name::{Attempt, Incarnation, Name};
use coord::pick::{self, Candidate, Picker, Quoted};
use coord::prefix::{BLOCK_BYTES, Cache, Chain};
use coord::quota::{Bucket, split_rate};
use coord::time::Moment;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn key(name: &str) -> Key {
    Key { workspace: "w".into(), key: name.into() }
}

fn binding(endpoint: &str, incarnation: u64) -> Binding {
    Binding { endpoint: endpoint.into(), incarnation: Incarnation(incarnation) }
}

#[test]
fn a_late_swapped_or_foreign_frame_is_dropped_and_a_gap_is_detected() {
    let (live, stale) = (Attempt(1), Attempt(2));
    let mut receiver = Receiver::new(live);
    assert_eq!(receiver.accept(live, 0, b"a"), Verdict::Pass);
    assert_eq!(receiver.accept(stale, 1, b"x"), Verdict::Drop);
    assert_eq!(receiver.accept(live, 0, b"a"), Verdict::Drop);
    assert_eq!(receiver.accept(live, 2, b"c"), Verdict::Gap);
    assert_eq!(receiver.accept(live, 1, b"b"), Verdict::Pass);
    let mut digest = FrameDigest::new();
    digest.push(b"a");
    digest.push(b"b");
    assert!(receiver.is_complete(live, digest.seal()));
    assert!(!receiver.is_complete(stale, digest.seal()));
    digest.push(b"c");
    assert!(!receiver.is_complete(live, digest.seal()));
}

#[test]
fn retries_are_a_bounded_share_of_first_tries() {
    let mut budget = Budget::new(0.1, 10.0);
    let allowed = (0..100).filter(|_| budget.try_retry()).count();
    assert_eq!(allowed, 10);
    (0..1_000).for_each(|_| budget.record_request());
    assert_eq!((0..100).filter(|_| budget.try_retry()).count(), 10);
}

#[test]
fn the_first_claim_on_the_log_holds_for_its_window() {
    let mut claims = Claims::new(Duration::from_secs(10));
    assert_eq!(claims.apply(0, at(0), key("k"), binding("a", 1)), binding("a", 1));
    claims.skip_to(1);
    assert_eq!(claims.apply(1, at(5_000), key("k"), binding("b", 2)), binding("a", 1));
    claims.skip_to(2);
    assert_eq!(claims.apply(2, at(10_001), key("k"), binding("b", 2)), binding("b", 2));
}

#[test]
fn a_suspended_holder_changes_nothing_when_it_resumes() {
    let term = Duration::from_secs(10);
    let mut lease = Lease::default();
    let (suspended, next): (Name, Name) = ("paused".into(), "next".into());
    assert!(lease.replay(&suspended, Incarnation(1), 3, at(0), term));
    assert!(!lease.replay(&next, Incarnation(2), 4, at(9_000), term), "the lease has not expired");
    assert!(lease.is_current_fence(Fence(3)));
    assert!(lease.replay(&next, Incarnation(2), 7, at(10_001), term));
    assert!(!lease.is_current_fence(Fence(3)), "records of the suspended holder are ignored");
    assert!(lease.is_current_fence(Fence(7)));
    assert!(!lease.replay(&suspended, Incarnation(1), 9, at(11_000), term));
    let mut guard = Guard::default();
    assert!(guard.admit(Fence(7)) && guard.admit(Fence(7)));
    assert!(!guard.admit(Fence(3)));
}

#[test]
fn a_renewal_keeps_the_fence() {
    let mut lease = Lease::default();
    let holder: Name = "a".into();
    let term = Duration::from_secs(10);
    assert!(lease.replay(&holder, Incarnation(1), 3, at(0), term));
    assert!(lease.replay(&holder, Incarnation(1), 8, at(9_000), term));
    assert_eq!(lease.holder().map(|holder| holder.fence), Some(Fence(3)));
    assert!(!lease.replay(&holder, Incarnation(2), 9, at(10_000), term), "a restarted holder has to wait");
}

#[test]
fn a_ledger_reserves_no_more_than_its_capacity() {
    let mut ledger = Ledger::new(100);
    assert!(ledger.reserve(1, 60, at(5)) && !ledger.reserve(2, 41, at(5)) && ledger.reserve(2, 40, at(9)));
    assert!(!ledger.reserve(1, 0, at(5)), "an owner has at most one reservation");
    assert_eq!(ledger.expired(at(6)), [1]);
    assert_eq!((ledger.release(1), ledger.release(1), ledger.available()), (60, 0, 60));
}

#[test]
fn a_bucket_admits_its_rate_and_returns_the_waiting_time() {
    let mut bucket = Bucket::new(10.0, at(0));
    assert_eq!((0..50).filter(|_| bucket.try_take(1.0, at(0)).is_ok()).count(), 10);
    let wait = bucket.try_take(1.0, at(0)).expect_err("the bucket is empty");
    assert_matches!(bucket.try_take(1.0, at(0) + wait + Duration::from_micros(1)), Ok(()));
    let passed = (1..=10_000).filter(|millis| bucket.try_take(1.0, at(1_000 + millis)).is_ok()).count();
    assert!((100..=110).contains(&passed), "{passed} in ten seconds at ten a second");
}

#[test]
fn an_amount_above_the_capacity_passes_and_leaves_the_bucket_in_debt() {
    let mut bucket = Bucket::new(1_000.0, at(0));
    assert_matches!(bucket.try_take(50_000.0, at(0)), Ok(()));
    assert!(bucket.try_take(1.0, at(40_000)).is_err());
    assert_matches!(bucket.try_take(1.0, at(51_000)), Ok(()));
}

fn vm(name: &str, domain: &str) -> Vm {
    Vm {
        name: name.into(),
        address: "127.0.0.1:1".into(),
        role: Role::Endpoint,
        service: "m".into(),
        failure_domain: domain.into(),
        leaving: false,
    }
}

fn names(members: &Members, now: Moment) -> Vec<String> {
    members.candidates("m", &[], now).into_iter().map(|candidate| candidate.endpoint.to_string()).collect()
}

#[test]
fn a_draining_endpoint_is_no_candidate_whoever_drains_it() {
    let mut members = Members::new("d".into(), 0, Sample { max_endpoints: 256, hash: 1 });
    members.apply_listing([vm("a", "d"), vm("b", "d"), vm("c", "d"), vm("e", "d")]);
    members.record_response(&"a".into(), Incarnation(1), true);
    members.set_drained(|name| **name == *"b");
    members.apply_listing([vm("a", "d"), vm("b", "d"), Vm { leaving: true, ..vm("c", "d") }, vm("e", "d")]);
    assert_eq!(names(&members, at(0)), ["e"]);
}

#[test]
fn failed_endpoints_are_excluded_for_longer_each_time_unless_no_other_remains() {
    let mut members = Members::new("d".into(), 0, Sample { max_endpoints: 256, hash: 1 });
    members.apply_listing([vm("a", "d"), vm("b", "d")]);
    members.record_failure(&"a".into(), at(1_000));
    assert_eq!(names(&members, at(1_100)), ["b"]);
    assert_eq!(names(&members, at(1_200)), ["a", "b"]);
    members.record_failure(&"a".into(), at(1_200));
    assert_eq!(names(&members, at(1_500)), ["b"]);
    members.record_failure(&"b".into(), at(1_500));
    assert_eq!(names(&members, at(1_550)), ["a", "b"]);
    members.record_response(&"a".into(), Incarnation(1), false);
    assert_eq!(names(&members, at(1_560)), ["a"]);
}

#[test]
fn a_process_uses_a_bounded_and_stable_sample_of_endpoints() {
    let listed = |count: usize| (0..count).map(|number| vm(&format!("e{number}"), "d")).collect::<Vec<_>>();
    let mut members = Members::new("d".into(), 0, Sample { max_endpoints: 64, hash: 7 });
    members.apply_listing(listed(12_000));
    let before = names(&members, at(0));
    assert_eq!(before.len(), 64);
    members.apply_listing(listed(11_900));
    let after = names(&members, at(0));
    let kept = before.iter().filter(|name| after.contains(name)).count();
    assert!(kept >= 60, "{kept} of 64 kept");
    let mut other = Members::new("d".into(), 0, Sample { max_endpoints: 64, hash: 8 });
    other.apply_listing(listed(12_000));
    let shared = names(&other, at(0)).iter().filter(|name| before.contains(name)).count();
    assert!(shared < 10, "{shared} of 64 shared with another process");
}

#[test]
fn equal_prompts_select_the_same_endpoints_and_few_move_when_one_leaves() {
    let candidates = |count: usize| -> Vec<Candidate> {
        let one =
            |number| Candidate { endpoint: format!("e{number}").into(), outstanding: 0, active_tokens: 0, distance: 0 };
        (0..count).map(one).collect()
    };
    let mut random = SmallRng::seed_from_u64(1);
    let mut picker = Quoted { by_prefix: 1 };
    let all = candidates(100);
    let moved = (0..1_000u64)
        .filter(|hash| {
            let before = picker.candidates(&all, Some(*hash), 1, &mut random);
            let after = picker.candidates(&all[..99], Some(*hash), 1, &mut random);
            before != after
        })
        .count();
    assert!(moved < 30, "{moved} of 1000 moved when one of 100 left");
}

#[test]
fn a_cache_holds_sent_prefixes_and_evicts_the_oldest() {
    let text = |seed: u8| vec![seed; BLOCK_BYTES * 3];
    let mut cache = Cache::new(30);
    let chain = Chain::of(&text(1));
    cache.insert(&chain);
    assert_eq!(cache.matching_blocks(&chain), 3);
    assert_eq!(cache.matching_blocks(&Chain::of(&text(1)[..BLOCK_BYTES * 2])), 2);
    assert_eq!(cache.matching_blocks(&Chain::of(&text(2))), 0);
    (2..40).for_each(|seed| cache.insert(&Chain::of(&text(seed))));
    assert_eq!(cache.matching_blocks(&chain), 0);
    assert_eq!(cache.matching_blocks(&Chain::of(&text(39))), 3);
}

#[test]
fn the_rendezvous_choice_is_the_same_in_every_order() {
    let names: Vec<Name> = ["a", "b", "c", "d"].map(Name::from).to_vec();
    let reversed: Vec<Name> = names.iter().rev().cloned().collect();
    assert_eq!(pick::highest_ranked(7, names.iter(), 2), pick::highest_ranked(7, reversed.iter(), 2));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn shares_add_up_to_the_limit_and_never_more(
        rate in 0.1..1e6f64,
        demands in prop::collection::vec(0.0..1e6f64, 1..40),
    ) {
        let given = split_rate(rate, &demands);
        let total: f64 = given.iter().sum();
        prop_assert!((total - rate).abs() <= rate * 1e-6, "{} of {}", total, rate);
        prop_assert!(given.iter().all(|share| *share >= 0.0));
    }

    #[test]
    fn a_quantile_estimate_converges(target in 0.2..0.95f64, seed in 0..1_000u64) {
        use rand::RngExt;
        let mut random = SmallRng::seed_from_u64(seed);
        let mut quantile = Quantile::new(target, 10.0);
        (0..20_000).for_each(|_| quantile.observe(random.random_range(0.0..100.0)));
        prop_assert!((quantile.value() - target * 100.0).abs() < 12.0, "{} for {}", quantile.value(), target);
    }
}
