//! Pacing of requests on links of different speeds: responses count, and no request is wasted.

use std::collections::VecDeque;
use std::time::Duration;

use coord::inquiry::Inquiry;
use coord::time::Moment;

/// Counts of a simulation over ten seconds.
#[derive(Debug, Default)]
struct Outcome {
    asked: usize,
    counted: usize,
}

/// Sends a request every `period_ms`, if allowed, on a link that transfers one response at a time in `answer_ms`.
fn play(period_ms: u64, answer_ms: u64) -> Outcome {
    let start = Moment::from_micros(1_000_000_000);
    let mut inquiry = Inquiry::default();
    let mut under_way: VecDeque<(Moment, u64)> = VecDeque::new();
    let mut outcome = Outcome::default();
    for ms in 0..10_000 {
        let now = start + Duration::from_millis(ms);
        while let Some((_, number)) = under_way.pop_front_if(|(at, _)| *at <= now) {
            outcome.counted += usize::from(inquiry.answer(number).is_some());
        }
        if ms % period_ms == 0 && inquiry.may_ask(now) {
            let free_at = under_way.back().map_or(now, |(at, _)| *at);
            under_way.push_back((free_at + Duration::from_millis(answer_ms), inquiry.ask(now)));
            outcome.asked += 1;
        }
    }
    outcome
}

#[test]
fn an_answer_that_takes_longer_than_the_time_between_questions_counts() {
    for answer_ms in [1, 74, 76, 250, 400, 900] {
        let outcome = play(75, answer_ms);
        assert!(outcome.counted >= 9, "{answer_ms} ms: {outcome:?}");
        assert!(outcome.asked <= outcome.counted + 1, "{answer_ms} ms: {outcome:?}");
    }
}

#[test]
fn a_lost_answer_is_asked_for_again_and_counts_no_more() {
    let now = Moment::from_micros(1_000_000_000);
    let mut inquiry = Inquiry::default();
    assert!(inquiry.is_new() && inquiry.may_ask(now));
    let lost = inquiry.ask(now);
    assert!(!inquiry.may_ask(now + Duration::from_millis(900)));
    let later = now + Duration::from_millis(1_100);
    assert!(inquiry.may_ask(later));
    let next = inquiry.ask(later);
    assert_eq!(inquiry.answer(lost), None);
    assert_eq!(inquiry.answer(next), Some(later));
    assert_eq!(inquiry.answer(next), None, "it counts once");
}

/// Returns the delay of a requester that has already sent its first request.
fn pause(knows_all: bool) -> Duration {
    let mut inquiry = Inquiry::default();
    inquiry.ask(Moment::ZERO);
    inquiry.pause(Duration::from_millis(250), knows_all, 0.5)
}

#[test]
fn who_lacks_a_part_of_what_it_asks_for_asks_again_soon() {
    assert_eq!(pause(false), Duration::from_millis(75));
    assert_eq!(pause(true), Duration::from_millis(250));
}

#[test]
fn those_that_begin_together_do_not_go_on_together() {
    let first = |random| Inquiry::default().pause(Duration::from_millis(250), true, random);
    assert!(first(0.1) < first(0.9) && first(0.9) < Duration::from_millis(250));
}
