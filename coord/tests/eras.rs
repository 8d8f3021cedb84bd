//! Log recovered from an older copy of itself: the order of offsets, and the state that the recovered log has lost.

#[path = "common/log_records.rs"]
mod log_records;

use std::time::Duration;

use coord::evacuation::{Evacuations, Event as EvacuationEvent, Snapshot};
use coord::name::Name;
use coord::offset::{Formatted, encode, era, plain_offset};
use coord::roster::{Availability, Record, RecordState, Roster, Update};
use coord::time::Moment;
use log_records::LogRecords;

const NOW: Moment = Moment::from_millis(1_000);
const RECOVERY_GRACE: Duration = Duration::from_millis(500);

fn record() -> Record {
    Record {
        id: "r".into(),
        started_ms: None,
        service: "s".into(),
        address: "10.0.0.1:1".into(),
        failure_domain: "d".into(),
        slots: 4,
        leaving: false,
        cold_remaining: Duration::ZERO,
    }
}

fn update(offset: u64) -> Update {
    Update { offset, state: RecordState::Present(record()) }
}

fn takes_work(roster: &Roster) -> bool {
    roster.usable_replica("r").is_some()
}

#[test]
fn a_record_of_a_later_era_is_newer_at_any_offset() {
    assert!(encode(1, 0) > encode(0, 1 << 40));
    assert!(encode(2, 3) > encode(1, 9) && encode(2, 3) < encode(2, 4));
    assert_eq!((era(encode(7, 5)), plain_offset(encode(7, 5))), (7, 5));
    assert_eq!(encode(0, 12), 12, "a log that was never recovered has plain offsets");
    assert_eq!((Formatted(12).to_string(), Formatted(encode(3, 12)).to_string()), ("12".to_owned(), "3:12".to_owned()));
}

#[test]
fn numbers_beyond_the_maximum_saturate() {
    assert_eq!(encode(u64::MAX, u64::MAX), u64::MAX);
    assert_eq!(era(encode(u64::MAX, 1)), 65_535);
}

#[test]
fn a_replica_whose_removal_was_lost_takes_no_work_until_it_writes_again() {
    let mut roster = Roster::default();
    roster.apply(3, RecordState::Present(record()), NOW);
    roster.apply(8, RecordState::Removed("r".into()), NOW);
    roster.apply_snapshot(encode(1, 5), vec![update(encode(1, 3))], NOW);
    assert!(!takes_work(&roster), "the recovered log still contains the record");
    roster.apply_snapshot(encode(1, 6), vec![update(encode(1, 3))], NOW);
    assert!(!takes_work(&roster), "the same record is read again");
    assert!(roster.updates_since(0, NOW).is_empty(), "the replica is not reported to peers");
    roster.apply(encode(1, 7), RecordState::Present(record()), NOW);
    assert!(takes_work(&roster), "the replica has written its record again");
}

#[test]
fn a_replica_whose_record_was_lost_is_used_for_the_grace_period() {
    let mut roster = Roster::default();
    roster.apply(3, RecordState::Present(record()), NOW);
    roster.record_store_recovery(NOW, RECOVERY_GRACE);
    roster.apply_snapshot(encode(1, 2), Vec::new(), NOW);
    assert!(takes_work(&roster));
    let mut rewritten = roster;
    rewritten.apply(encode(1, 4), RecordState::Present(record()), NOW);
    assert!(
        takes_work(&rewritten) && rewritten.expire(NOW + RECOVERY_GRACE).is_empty(),
        "the record was written again"
    );
    let mut roster = Roster::default();
    roster.apply(3, RecordState::Present(record()), NOW);
    roster.record_store_recovery(NOW, RECOVERY_GRACE);
    roster.apply_snapshot(encode(1, 2), Vec::new(), NOW);
    assert_eq!(roster.expire(NOW + RECOVERY_GRACE)[0].availability, Availability::Gone);
}

fn domains(names: &[&str]) -> std::collections::BTreeSet<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

fn snapshot(next: u64, names: &[&str]) -> Snapshot {
    Snapshot { next, domains: domains(names) }
}

#[test]
fn a_domain_whose_evacuation_was_lost_stays_evacuated_for_the_grace_period() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(6, EvacuationEvent::Started("a".into()));
    evacuations.apply(7, EvacuationEvent::Started("b".into()));
    assert!(!evacuations.apply_snapshot(snapshot(encode(1, 2), &[]), NOW + RECOVERY_GRACE));
    assert_eq!(evacuations.snapshot().domains, domains(&["a", "b"]));
    evacuations.apply(encode(1, 2), EvacuationEvent::Started("a".into()));
    assert!(!evacuations.expire(NOW), "the grace period is not over");
    assert!(evacuations.expire(NOW + RECOVERY_GRACE));
    assert_eq!(evacuations.snapshot().domains, domains(&["a"]), "only the repeated evacuation stays in force");
    assert!(!evacuations.expire(NOW + RECOVERY_GRACE + RECOVERY_GRACE));
}

#[test]
fn a_domain_whose_evacuation_ends_after_the_recovery_is_used_at_once() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(6, EvacuationEvent::Started("a".into()));
    evacuations.apply_snapshot(snapshot(encode(1, 2), &[]), NOW + RECOVERY_GRACE);
    assert!(evacuations.apply(encode(1, 2), EvacuationEvent::Ended("a".into())));
    evacuations.apply_snapshot(snapshot(encode(1, 3), &[]), NOW + RECOVERY_GRACE);
    assert!(evacuations.snapshot().domains.is_empty());
}

#[test]
fn an_event_of_an_earlier_era_changes_nothing() {
    let mut evacuations = Evacuations::default();
    evacuations.apply_snapshot(snapshot(encode(1, 2), &["a"]), NOW);
    assert!(!evacuations.apply_snapshot(snapshot(9, &["b"]), NOW));
    assert!(!evacuations.apply(9, EvacuationEvent::Ended("a".into())));
    assert_eq!(evacuations.snapshot().domains, domains(&["a"]));
}
