//! A replica's own statement that it is draining takes precedence over its record.

use std::time::Duration;

use coord::roster::{Leaver, News, Record, Roster, Sighting, Standing};
use coord::time::Moment;

const NOW: Moment = Moment::from_millis(1_000);

fn record(born: Option<u64>, leaving: bool) -> Record {
    Record {
        id: "r".into(),
        born,
        service: "s".into(),
        address: "10.0.0.1:1".into(),
        failure_domain: "d".into(),
        slots: 4,
        leaving,
        cold: Duration::ZERO,
    }
}

fn leaver(born: Option<u64>) -> Leaver {
    Leaver { id: "r".into(), born }
}

fn takes_work(roster: &Roster) -> bool {
    roster.usable_one("r").is_some()
}

fn hear(roster: &mut Roster, offset: u64, born: Option<u64>, leaving: bool) {
    roster.hear(offset, News::Here(record(born, leaving)), NOW);
}

#[test]
fn a_replica_that_said_it_leaves_takes_no_work_whatever_its_record_says_then() {
    let mut roster = Roster::default();
    hear(&mut roster, 1, None, false);
    let change = roster.leaves(leaver(None)).expect("a change");
    assert_eq!(change.standing, Standing::Gone);
    assert_eq!(roster.leaves(leaver(None)), None, "said twice");
    hear(&mut roster, 2, None, false);
    assert!(!takes_work(&roster), "a heartbeat");
    roster.hear(3, News::Removed("r".into()), NOW);
    hear(&mut roster, 4, None, false);
    assert!(!takes_work(&roster), "a record that lapsed and came back");
    roster.replace(9, vec![Sighting { offset: 8, news: News::Here(record(None, false)) }], NOW);
    assert!(!takes_work(&roster), "a whole picture");
}

#[test]
fn one_that_is_not_known_yet_is_remembered() {
    let mut roster = Roster::default();
    assert_eq!(roster.leaves(leaver(Some(5))), None);
    hear(&mut roster, 1, Some(5), false);
    assert!(!takes_work(&roster));
}

#[test]
fn a_later_run_takes_work_and_late_word_of_an_earlier_one_changes_nothing() {
    let mut roster = Roster::default();
    hear(&mut roster, 1, Some(5), false);
    roster.leaves(leaver(Some(5)));
    hear(&mut roster, 2, Some(6), false);
    assert!(takes_work(&roster), "it started again");
    assert!(roster.knows_leaver(&leaver(Some(5))));
    assert_eq!(roster.leaves(leaver(Some(5))), None);
    assert!(takes_work(&roster));
    roster.leaves(leaver(Some(6)));
    assert!(!takes_work(&roster));
}

#[test]
fn word_of_a_run_that_is_not_recorded_yet_holds_once_it_is() {
    let mut roster = Roster::default();
    hear(&mut roster, 1, Some(5), false);
    roster.leaves(leaver(Some(6)));
    assert!(!takes_work(&roster), "the recorded run is over");
    hear(&mut roster, 2, Some(6), false);
    assert!(!takes_work(&roster));
}

#[test]
fn others_are_told_until_they_read_it_in_the_store() {
    let mut roster = Roster::default();
    hear(&mut roster, 1, None, false);
    roster.leaves(leaver(None));
    assert_eq!(roster.leavers().collect::<Vec<_>>(), [leaver(None)]);
    let told = roster.since(0, NOW);
    assert!(
        matches!(&told[..], [Sighting { news: News::Here(record), .. }] if record.leaving),
        "a whole picture says it"
    );
    hear(&mut roster, 7, None, true);
    assert_eq!(roster.leavers().count(), 0);
    let told = roster.since(7, NOW);
    assert!(matches!(&told[..], [Sighting { offset: 7, news: News::Here(record) }] if record.leaving), "{told:?}");
}

#[test]
fn one_that_is_no_longer_recorded_is_told_to_nobody() {
    let mut roster = Roster::default();
    hear(&mut roster, 1, None, false);
    roster.leaves(leaver(None));
    roster.hear(2, News::Removed("r".into()), NOW);
    assert_eq!(roster.leavers().count(), 0);
    hear(&mut roster, 3, None, false);
    assert_eq!(roster.leavers().count(), 1, "it lapsed and came back");
}
