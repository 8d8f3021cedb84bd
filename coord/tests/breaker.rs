//! Circuit breaker: opening, trial requests in the half-open state, and the handling of flapping replicas.

use coord::breaker::Breaker;
use coord::time::Moment;
use proptest::prelude::*;

fn at(ms: u64) -> Moment {
    Moment::from_millis(10_000 + ms)
}

/// Returns the time until the breaker admits a request again, in milliseconds after `from`.
fn opens_after(breaker: &Breaker, from: u64) -> u64 {
    (0..20_000).step_by(10).find(|ms| breaker.admits(at(from + ms))).expect("it lets one through some day")
}

#[test]
fn a_failure_opens_it_and_one_trial_at_a_time_may_close_it() {
    let mut breaker = Breaker::default();
    assert!(breaker.admits(at(0)) && !breaker.is_on_trial(at(0)));
    breaker.failed(1.0, at(0));
    assert!(!breaker.admits(at(400)) && breaker.admits(at(600)) && breaker.is_on_trial(at(600)));
    breaker.begin(at(600));
    assert!(!breaker.admits(at(700)), "the trial is under way");
    assert!(breaker.admits(at(2_700)), "a trial without an outcome does not block it for ever");
    breaker.succeeded(at(800));
    assert!(breaker.admits(at(800)) && !breaker.is_on_trial(at(800)));
}

#[test]
fn what_fails_by_turns_is_left_alone_for_longer_each_time() {
    let mut breaker = Breaker::default();
    let mut now = 0;
    let mut last = 0;
    for _ in 0..4 {
        breaker.failed(1.0, at(now));
        let closed_for = opens_after(&breaker, now);
        assert!(closed_for > last, "{closed_for} after {last}");
        last = closed_for;
        now += closed_for;
        breaker.begin(at(now));
        breaker.succeeded(at(now + 50));
        now += 100;
    }
    // After a long time the past failures have no weight.
    breaker.failed(1.0, at(now + 60_000));
    assert!(opens_after(&breaker, now + 60_000) <= 510);
}

#[test]
fn what_is_suspected_is_tried_and_trusted_again_if_nobody_comes() {
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
fn a_success_sent_before_the_failure_does_not_close_it() {
    let mut breaker = Breaker::default();
    breaker.failed(1.0, at(0));
    breaker.succeeded(at(10));
    assert!(!breaker.admits(at(20)));
}

#[test]
fn the_word_of_one_that_blames_everyone_weighs_little() {
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
    fn it_never_stays_open(events in prop::collection::vec((0..3u8, 0..3_000u64), 1..80)) {
        let mut breaker = Breaker::default();
        let mut now = 0;
        for (event, pause) in events {
            now += pause;
            match event {
                0 => breaker.failed(1.0, at(now)),
                1 => breaker.succeeded(at(now)),
                _ => breaker.begin(at(now)),
            }
            prop_assert!(opens_after(&breaker, now) <= 8_010);
        }
    }
}
