//! What follows from reads of a log that are answered in part.

use std::time::Duration;

use coord::offset;
use coord::progress::{Answer, Progress, Verification};
use coord::time::Moment;
use proptest::prelude::*;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn as_of(verification: Option<Verification>) -> Option<Moment> {
    verification.map(|verification| verification.as_of())
}

#[test]
fn a_part_verifies_nothing() {
    let mut progress = Progress::default();
    let part = Answer::of_log(at(1), 3, 8);
    assert!(part.is_part());
    assert_eq!(progress.record(part, 3), None);
    assert!(progress.has_rest(3));
}

/// An end that falls between two parts is reached by the first of them.
#[test]
fn the_last_part_verifies_as_of_its_own_read() {
    let mut progress = Progress::default();
    assert_eq!(progress.record(Answer::of_log(at(1), 4, 8), 4), None);
    assert_eq!(as_of(progress.record(Answer::of_log(at(2), 8, 8), 8)), Some(at(2)));
    assert!(!progress.has_rest(8));
}

#[test]
fn a_part_that_reaches_the_end_told_before_verifies_as_of_the_read_that_told_it() {
    let mut progress = Progress::default();
    assert_eq!(progress.record(Answer::of_log(at(1), 4, 8), 4), None);
    assert_eq!(as_of(progress.record(Answer::of_log(at(2), 9, 20), 9)), Some(at(1)));
    assert!(progress.has_rest(9));
}

/// A copy reaches an end that was told here also by records that another process sent.
#[test]
fn an_end_counts_however_the_copy_reaches_it() {
    let mut progress = Progress::default();
    assert_eq!(progress.record(Answer::of_log(at(1), 4, 8), 4), None);
    assert_eq!(as_of(progress.record(Answer::of_log(at(2), 5, 30), 12)), Some(at(1)));
}

#[test]
fn a_position_in_a_recovered_log_reaches_no_end_of_the_log_before() {
    let mut progress = Progress::default();
    assert_eq!(progress.record(Answer::of_log(at(1), 4, 8), 4), None);
    let (next, end) = (offset::encode(1, 2), offset::encode(1, 6));
    assert_eq!(progress.record(Answer::of_log(at(2), next, end), next), None);
    assert_eq!(as_of(progress.record(Answer::of_newest(at(3), end), end)), Some(at(3)));
}

#[test]
fn an_answer_with_an_earlier_end_than_another_one_before_verifies_nothing() {
    let mut progress = Progress::default();
    assert_eq!(progress.record(Answer::of_log(at(1), 4, 8), 4), None);
    assert_eq!(progress.record(Answer::of_log(at(2), 6, 6), 6), None);
    assert_eq!(as_of(progress.record(Answer::of_log(at(3), 8, 20), 8)), Some(at(1)));
}

/// A record that a reader holds back, since it cannot apply it, is missing from the copy.
#[test]
fn an_answer_whose_records_were_not_all_applied_verifies_nothing() {
    let mut progress = Progress::default();
    assert_eq!(progress.record(Answer::of_log(at(1), 8, 8), 7), None);
}

/// Guards against an entry that is refused for ever while the log grows as fast as it is read.
#[test]
fn a_log_that_grows_as_fast_as_it_is_read_is_verified_again_and_again() {
    let mut progress = Progress::default();
    let lead = 200;
    let mut newest = Moment::ZERO;
    for step in 0..10_000 {
        let next = 10 * (step + 1);
        if let Some(verification) = progress.record(Answer::of_log(at(step), next, next + 10 * lead), next) {
            newest = verification.as_of();
        }
        // An end is reached as many reads later as the copy is behind; not every end is remembered.
        let age = at(step).since(newest);
        assert!(age <= Duration::from_millis(lead + lead / 4), "{age:?} after {step} reads");
    }
}

/// A step of a log and its reader.
#[derive(Clone, Debug)]
enum Step {
    Append(u64),
    Read {
        max_records: u64,
        appended_meanwhile: u64,
    },
    ReadNewest,
    /// Another process's copy, so many records before the log's end, takes the place of this one if it reaches further.
    Receive(u64),
    /// The log loses its newest records and starts a new era.
    Restore(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (1..40u64).prop_map(Step::Append),
        8 => (0..20u64, 0..20u64).prop_map(|(max_records, appended_meanwhile)| Step::Read { max_records, appended_meanwhile }),
        1 => Just(Step::ReadNewest),
        1 => (0..40u64).prop_map(Step::Receive),
        1 => (0..30u64).prop_map(Step::Restore),
    ];
    proptest::collection::vec(step, 1..200)
}

proptest! {
    /// A verification as of a time means that the copy holds every record that was in the log at that time, unless the
    /// log lost it.
    #[test]
    fn a_verified_copy_holds_every_record_from_before(steps in steps()) {
        let mut progress = Progress::default();
        let (mut era, mut end, mut copy) = (0, 0, offset::encode(0, 0));
        // The end of the log at each time, in milliseconds.
        let mut ends: Vec<u64> = Vec::new();
        for step in steps {
            let sent_at = at(ends.len() as u64);
            ends.push(offset::encode(era, end));
            let answer = match step {
                Step::Append(records) => {
                    end += records;
                    None
                }
                Step::Read { max_records, appended_meanwhile } if offset::era(copy) == era => {
                    end += appended_meanwhile;
                    copy = offset::encode(era, end.min(offset::plain_offset(copy) + max_records));
                    Some(Answer::of_log(sent_at, copy, offset::encode(era, end)))
                }
                Step::ReadNewest | Step::Read { .. } => {
                    copy = offset::encode(era, end);
                    Some(Answer::of_newest(sent_at, copy))
                }
                Step::Receive(lag) => {
                    copy = copy.max(offset::encode(era, end.saturating_sub(lag)));
                    None
                }
                Step::Restore(lost) => {
                    end = end.saturating_sub(lost);
                    era += 1;
                    None
                }
            };
            let Some(verification) = answer.and_then(|answer| progress.record(answer, copy)) else { continue };
            let then = ends[usize::try_from(verification.as_of().as_micros() / 1_000).expect("a small number")];
            prop_assert!(copy >= then, "{copy} {then}");
            prop_assert!(offset::era(copy) == offset::era(then), "{copy} {then}");
        }
    }
}
