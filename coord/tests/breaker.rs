//! Circuit breaker: opening, trial requests in the half-open state, and the handling of flapping replicas.

use coord::breaker::Breaker;
use coord::time::Moment;
use proptest::prelude::*;

fn at(ms: u64) -> Moment {
    Moment::from_millis(10_000 + ms)
}

/// Returns the time until the breaker admits a request again, in milliseconds after `from`.
fn time_until_admitted(breaker: &Breaker, from: u64) -> u64 {
    (0..20_000).step_by(10).find(|ms| breaker.admits(at(from + ms))).expect("the breaker admits a request eventually")
}

#[test]
fn a_failure_opens_the_breaker_and_a_single_trial_at_a_time_may_close_it() {
    let mut breaker = Breaker::default();
    assert!(breaker.admits(at(0)) && !breaker.is_on_trial(at(0)));
    breaker.failed(1.0, at(0));
    assert!(!breaker.admits(at(400)) && breaker.admits(at(600)) && breaker.is_on_trial(at(600)));
    breaker.begin(at(600));
    assert!(!breaker.admits(at(700)), "a trial is in flight");
    assert!(breaker.admits(at(2_700)), "a trial without an outcome does not block requests forever");
    breaker.succeeded(at(800));
    assert!(breaker.admits(at(800)) && !breaker.is_on_trial(at(800)));
}

#[test]
fn a_flapping_replica_is_excluded_for_longer_each_time() {
    let mut breaker = Breaker::default();
    let mut now = 0;
    let mut previous = 0;
    for _ in 0..4 {
        breaker.failed(1.0, at(now));
        let open_ms = time_until_admitted(&breaker, now);
        assert!(open_ms > previous, "{open_ms} after {previous}");
        previous = open_ms;
        now += open_ms;
        breaker.begin(at(now));
        breaker.succeeded(at(now + 50));
        now += 100;
    }
    // After a long time the past failures have no weight.
    breaker.failed(1.0, at(now + 60_000));
    assert!(time_until_admitted(&breaker, now + 60_000) <= 510);
}

#[test]
fn a_suspected_replica_gets_one_trial_and_is_admitted_after_the_half_open_time() {
    let mut breaker = Breaker::default();
    breaker.suspect(at(0));
    assert!(breaker.admits(at(0)) && breaker.is_on_trial(at(3_900)) && !breaker.is_on_trial(at(4_100)));
    breaker.suspect(at(5_000));
    breaker.begin(at(5_000));
    assert!(!breaker.admits(at(5_010)));
    breaker.succeeded(at(5_050));
    assert!(breaker.admits(at(5_060)) && !breaker.is_on_trial(at(5_060)));
}

#[test]
fn a_success_sent_before_the_failure_does_not_close_the_breaker() {
    let mut breaker = Breaker::default();
    breaker.failed(1.0, at(0));
    breaker.succeeded(at(10));
    assert!(!breaker.admits(at(20)));
}

#[test]
fn a_failure_with_a_small_share_does_not_open_the_breaker_alone() {
    let mut breaker = Breaker::default();
    breaker.failed(0.2, at(0));
    assert!(breaker.admits(at(1)));
    for ms in 1..4 {
        breaker.failed(0.2, at(ms));
    }
    assert!(!breaker.admits(at(4)), "several together weigh enough");
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
                0 => breaker.failed(1.0, at(now)),
                1 => breaker.succeeded(at(now)),
                _ => breaker.begin(at(now)),
            }
            prop_assert!(time_until_admitted(&breaker, now) <= 8_010);
        }
    }
}
