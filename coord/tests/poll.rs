//! Pacing of poll requests on links of different speeds: responses are accepted, and no request is wasted.

use std::collections::VecDeque;
use std::time::Duration;

use coord::poll::Poll;
use coord::time::Moment;

/// Counts of a simulation over ten seconds.
#[derive(Debug, Default)]
struct Counts {
    sent: usize,
    accepted: usize,
}

/// Sends a request every `period_ms`, if allowed, on a link that transfers one response at a time in `answer_ms`.
fn simulate(period_ms: u64, answer_ms: u64) -> Counts {
    let start = Moment::from_micros(1_000_000_000);
    let mut poll = Poll::default();
    let mut in_transit: VecDeque<(Moment, u64)> = VecDeque::new();
    let mut counts = Counts::default();
    for ms in 0..10_000 {
        let now = start + Duration::from_millis(ms);
        while let Some((_, number)) = in_transit.pop_front_if(|(at, _)| *at <= now) {
            counts.accepted += usize::from(poll.record_response(number).is_some());
        }
        if ms % period_ms == 0 && poll.may_send(now) {
            let free_at = in_transit.back().map_or(now, |(at, _)| *at);
            in_transit.push_back((free_at + Duration::from_millis(answer_ms), poll.record_request(now)));
            counts.sent += 1;
        }
    }
    counts
}

#[test]
fn a_response_slower_than_the_request_period_counts() {
    for answer_ms in [1, 74, 76, 250, 400, 900] {
        let counts = simulate(75, answer_ms);
        assert!(counts.accepted >= 9, "{answer_ms} ms: {counts:?}");
        assert!(counts.sent <= counts.accepted + 1, "{answer_ms} ms: {counts:?}");
    }
}

#[test]
fn a_lost_response_is_requested_again_and_no_longer_counts() {
    let now = Moment::from_micros(1_000_000_000);
    let mut poll = Poll::default();
    assert!(poll.is_unused() && poll.may_send(now));
    let lost = poll.record_request(now);
    assert!(!poll.may_send(now + Duration::from_millis(900)));
    let later = now + Duration::from_millis(1_100);
    assert!(poll.may_send(later));
    let next = poll.record_request(later);
    assert_eq!(poll.record_response(lost), None);
    assert_eq!(poll.record_response(next), Some(later));
    assert_eq!(poll.record_response(next), None, "a response counts once");
}

/// Returns the delay of a requester that has already sent its first request.
fn next_delay(is_complete: bool) -> Duration {
    let mut poll = Poll::default();
    poll.record_request(Moment::ZERO);
    poll.next_delay(Duration::from_millis(250), is_complete, 0.5)
}

#[test]
fn a_requester_with_incomplete_data_repeats_its_request_early() {
    assert_eq!(next_delay(false), Duration::from_millis(75));
    assert_eq!(next_delay(true), Duration::from_millis(250));
}

#[test]
fn requesters_that_start_together_spread_out() {
    let first = |random| Poll::default().next_delay(Duration::from_millis(250), true, random);
    assert!(first(0.1) < first(0.9) && first(0.9) < Duration::from_millis(250));
}
