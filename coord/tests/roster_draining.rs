//! A replica's own statement that it is draining takes precedence over its record.

#[path = "common/log_records.rs"]
mod log_records;

use std::time::Duration;

use coord::roster::{Availability, DrainingRun, Record, RecordState, Roster, Update};
use coord::time::Moment;
use log_records::LogRecords;

const NOW: Moment = Moment::from_millis(1_000);

fn record(started_ms: Option<u64>, leaving: bool) -> Record {
    Record {
        id: "r".into(),
        started_ms,
        service: "s".into(),
        address: "10.0.0.1:1".into(),
        failure_domain: "d".into(),
        slots: 4,
        leaving,
        cold_remaining: Duration::ZERO,
    }
}

fn draining_run(started_ms: Option<u64>) -> DrainingRun {
    DrainingRun { id: "r".into(), started_ms }
}

fn takes_work(roster: &Roster) -> bool {
    roster.usable_replica("r").is_some()
}

fn apply_record(roster: &mut Roster, offset: u64, started_ms: Option<u64>, leaving: bool) {
    roster.apply(offset, RecordState::Present(record(started_ms, leaving)), NOW);
}

#[test]
fn a_replica_that_reported_draining_takes_no_work_whatever_its_record_states() {
    let mut roster = Roster::default();
    apply_record(&mut roster, 1, None, false);
    let change = roster.mark_draining(draining_run(None)).expect("a change");
    assert_eq!(change.availability, Availability::Gone);
    assert_eq!(roster.mark_draining(draining_run(None)), None, "the same statement again changes nothing");
    apply_record(&mut roster, 2, None, false);
    assert!(!takes_work(&roster), "after a heartbeat");
    roster.apply(3, RecordState::Removed("r".into()), NOW);
    apply_record(&mut roster, 4, None, false);
    assert!(!takes_work(&roster), "after its record expired and reappeared");
    roster.apply_snapshot(9, vec![Update { offset: 8, state: RecordState::Present(record(None, false)) }], NOW);
    assert!(!takes_work(&roster), "after a full snapshot");
}

#[test]
fn a_draining_run_of_an_unknown_replica_is_remembered() {
    let mut roster = Roster::default();
    assert_eq!(roster.mark_draining(draining_run(Some(5))), None);
    apply_record(&mut roster, 1, Some(5), false);
    assert!(!takes_work(&roster));
}

#[test]
fn a_later_run_takes_work_and_late_messages_of_an_earlier_one_change_nothing() {
    let mut roster = Roster::default();
    apply_record(&mut roster, 1, Some(5), false);
    roster.mark_draining(draining_run(Some(5)));
    apply_record(&mut roster, 2, Some(6), false);
    assert!(takes_work(&roster), "the replica has restarted");
    assert!(roster.has_draining_run(&draining_run(Some(5))));
    assert_eq!(roster.mark_draining(draining_run(Some(5))), None);
    assert!(takes_work(&roster));
    roster.mark_draining(draining_run(Some(6)));
    assert!(!takes_work(&roster));
}

#[test]
fn a_report_of_an_unrecorded_run_applies_once_it_is_recorded() {
    let mut roster = Roster::default();
    apply_record(&mut roster, 1, Some(5), false);
    roster.mark_draining(draining_run(Some(6)));
    assert!(!takes_work(&roster), "the recorded run is over");
    apply_record(&mut roster, 2, Some(6), false);
    assert!(!takes_work(&roster));
}

#[test]
fn peers_are_notified_until_the_record_states_the_drain() {
    let mut roster = Roster::default();
    apply_record(&mut roster, 1, None, false);
    roster.mark_draining(draining_run(None));
    assert_eq!(roster.draining_runs().collect::<Vec<_>>(), [draining_run(None)]);
    let updates = roster.updates_since(0, NOW);
    assert!(
        matches!(&updates[..], [Update { state: RecordState::Present(record), .. }] if record.leaving),
        "a full snapshot shows the drain"
    );
    apply_record(&mut roster, 7, None, true);
    assert_eq!(roster.draining_runs().count(), 0);
    let updates = roster.updates_since(7, NOW);
    assert!(
        matches!(&updates[..], [Update { offset: 7, state: RecordState::Present(record) }] if record.leaving),
        "{updates:?}"
    );
}

#[test]
fn a_removed_replica_is_not_reported_to_peers() {
    let mut roster = Roster::default();
    apply_record(&mut roster, 1, None, false);
    roster.mark_draining(draining_run(None));
    roster.apply(2, RecordState::Removed("r".into()), NOW);
    assert_eq!(roster.draining_runs().count(), 0);
    apply_record(&mut roster, 3, None, false);
    assert_eq!(roster.draining_runs().count(), 1, "the record expired and reappeared");
}
