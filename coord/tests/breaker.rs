//! Circuit breaker: opening, trial requests in the half-open state, and the handling of flapping replicas.

use coord::breaker::Breaker;
use coord::time::Moment;
use proptest::prelude::*;

fn at(ms: u64) -> Moment {
    Moment::from_millis(10_000 + ms)
}

/// Returns the time until the breaker admits a request again, in milliseconds after `from`.
fn time_until_admitted(breaker: &Breaker, from: u64) -> u64 {
    (0..20_000)
        .step_by(10)
        .find(|ms| breaker.allows_request(at(from + ms)))
        .expect("the breaker admits a request eventually")
}

#[test]
fn a_failure_opens_the_breaker_and_a_single_trial_at_a_time_may_close_it() {
    let mut breaker = Breaker::default();
    assert!(breaker.allows_request(at(0)) && !breaker.is_half_open(at(0)));
    breaker.record_failure(1.0, at(0));
    assert!(!breaker.allows_request(at(400)) && breaker.allows_request(at(600)) && breaker.is_half_open(at(600)));
    breaker.record_request(at(600));
    assert!(!breaker.allows_request(at(700)), "a trial is in flight");
    assert!(breaker.allows_request(at(2_700)), "a trial without an outcome does not block requests forever");
    breaker.record_success(at(800));
    assert!(breaker.allows_request(at(800)) && !breaker.is_half_open(at(800)));
}

#[test]
fn a_flapping_replica_is_excluded_for_longer_each_time() {
    let mut breaker = Breaker::default();
    let mut now = 0;
    let mut previous = 0;
    for _ in 0..4 {
        breaker.record_failure(1.0, at(now));
        let open_ms = time_until_admitted(&breaker, now);
        assert!(open_ms > previous, "{open_ms} after {previous}");
        previous = open_ms;
        now += open_ms;
        breaker.record_request(at(now));
        breaker.record_success(at(now + 50));
        now += 100;
    }
    // After a long time the past failures have no weight.
    breaker.record_failure(1.0, at(now + 60_000));
    assert!(time_until_admitted(&breaker, now + 60_000) <= 510);
}

#[test]
fn a_suspected_replica_gets_one_trial_and_is_admitted_after_the_half_open_time() {
    let mut breaker = Breaker::default();
    breaker.require_trial(at(0));
    assert!(breaker.allows_request(at(0)) && breaker.is_half_open(at(3_900)) && !breaker.is_half_open(at(4_100)));
    breaker.require_trial(at(5_000));
    breaker.record_request(at(5_000));
    assert!(!breaker.allows_request(at(5_010)));
    breaker.record_success(at(5_050));
    assert!(breaker.allows_request(at(5_060)) && !breaker.is_half_open(at(5_060)));
}

#[test]
fn a_success_sent_before_the_failure_does_not_close_the_breaker() {
    let mut breaker = Breaker::default();
    breaker.record_failure(1.0, at(0));
    breaker.record_success(at(10));
    assert!(!breaker.allows_request(at(20)));
}

#[test]
fn a_failure_with_a_small_share_does_not_open_the_breaker_alone() {
    let mut breaker = Breaker::default();
    breaker.record_failure(0.2, at(0));
    assert!(breaker.allows_request(at(1)));
    for ms in 1..4 {
        breaker.record_failure(0.2, at(ms));
    }
    assert!(!breaker.allows_request(at(4)), "several together weigh enough");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// In any sequence of events, the breaker admits a request again within its maximum open time.
    #[test]
    fn the_breaker_never_stays_open(events in prop::collection::vec((0..3u8, 0..3_000u64), 1..80)) {
        let mut breaker = Breaker::default();
        let mut now = 0;
        for (event, pause) in events {
            now += pause;
            match event {
                0 => breaker.record_failure(1.0, at(now)),
                1 => breaker.record_success(at(now)),
                _ => breaker.record_request(at(now)),
            }
            prop_assert!(time_until_admitted(&breaker, now) <= 8_010);
        }
    }
}
