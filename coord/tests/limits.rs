//! Which of several reported limits is in force for a replica, and how many requests it allows.

use coord::limit::{Allowance, Group, News, Register, Word};
use coord::name::Name;
use coord::time::Moment;

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn word(rate: Option<f64>, asked: u64, heard: u64) -> Word {
    Word { rate, asked: at(asked), heard: at(heard) }
}

fn register(words: &[Word]) -> Register {
    let mut register = Register::default();
    for word in words {
        register.hear(&Name::from("a"), *word);
    }
    register
}

#[test]
fn an_answer_without_a_limit_ends_it_if_it_was_asked_for_later() {
    assert_eq!(register(&[word(Some(2.0), 0, 10)]).rate("a"), Some(2.0));
    assert_eq!(register(&[word(Some(2.0), 0, 10), word(None, 10, 20)]).rate("a"), None);
}

#[test]
fn answers_that_cross_leave_the_stricter_word_in_force_in_any_order() {
    // The response to a long request, sent before the replica was limited, arrives after a newer response.
    let (long, newer) = (word(None, 0, 50), word(Some(2.0), 20, 30));
    assert_eq!(register(&[newer, long]).rate("a"), Some(2.0));
    assert_eq!(register(&[long, newer]).rate("a"), Some(2.0));
    let (low, high) = (word(Some(1.0), 0, 20), word(Some(3.0), 10, 15));
    assert_eq!(register(&[low, high]).rate("a"), Some(1.0));
    assert_eq!(register(&[high, low]).rate("a"), Some(1.0));
}

#[test]
fn an_older_word_that_comes_late_changes_nothing() {
    let words = [word(Some(2.0), 0, 10), word(None, 20, 30), word(Some(2.0), 0, 15)];
    assert_eq!(register(&words).rate("a"), None);
}

#[test]
fn what_an_earlier_run_said_does_not_bind_the_later_one() {
    let mut register = register(&[word(Some(2.0), 0, 10)]);
    assert!(register.restarted("a", at(100)));
    assert_eq!(register.rate("a"), None);
    // An entry relays a report of the previous run.
    assert!(!register.hear(&Name::from("a"), word(Some(2.0), 50, 60)));
    assert!(register.hear(&Name::from("a"), word(Some(4.0), 110, 120)));
    assert_eq!(register.rate("a"), Some(4.0));
}

#[test]
fn a_word_keeps_its_age_on_its_way() {
    let said = word(Some(2.0), 40, 50);
    let news = News::of(&Name::from("a"), &said, at(80));
    assert_eq!(news.word(at(1_080)), word(Some(2.0), 1_040, 1_050));
}

/// Returns the number of requests admitted within `lasts` if one arrives every millisecond.
fn sent(allowance: &mut Allowance, from: u64, lasts: u64) -> usize {
    let mut count = 0;
    for ms in from..from + lasts {
        if allowance.admits(at(ms)) {
            allowance.take(at(ms));
            count += 1;
        }
    }
    count
}

#[test]
fn a_long_pause_is_followed_by_one_request_more_and_no_burst() {
    let mut allowance = Allowance::new(2.0, 1.0, 0.0, at(0));
    assert_eq!(sent(&mut allowance, 0, 4_001), 8);
    assert_eq!(sent(&mut allowance, 60_000, 4_000), 8);
    let mut wide = Allowance::new(100.0, 1.0, 0.0, at(0));
    assert!((100..=126).contains(&sent(&mut wide, 60_000, 1_000)));
}

#[test]
fn a_replica_that_takes_nothing_is_tried_every_ten_seconds() {
    let mut allowance = Allowance::new(0.0, 1.0, 0.0, at(0));
    assert_eq!(sent(&mut allowance, 0, 40_001), 4);
}

#[test]
fn a_limit_that_changes_does_not_give_back_what_was_used() {
    let mut allowance = Allowance::new(10.0, 1.0, 1.0, at(0));
    assert!(sent(&mut allowance, 0, 10) > 0);
    allowance.set(1.0, 1.0, at(10));
    assert!(!allowance.admits(at(500)));
}

#[test]
fn the_shares_of_a_cut_add_up_to_one_and_the_lost_are_forgotten() {
    let mut group = Group::default();
    group.note(5, at(100_000));
    assert_eq!(group.share(5, 0, at(100_000)), 1.0);
    let later = at(101_000);
    assert_eq!(group.share(2, 0, later) + group.share(3, 0, later), 1.0);
    assert_eq!(group.share(1, 0, later), 0.2);
    for s in 100..200 {
        group.note(3, at(s * 1_000));
    }
    assert_eq!(group.share(3, 0, at(200_000)), 1.0);
    // An entry that has never met another uses the number of entries in the store.
    assert_eq!(Group::default().share(1, 770, at(0)), 1.0 / 770.0);
    assert_eq!(Group::default().share(1, 0, at(0)), 1.0);
}
