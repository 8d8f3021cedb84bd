//! Randomised runs of the roster: store outages, expired records, restarts, announced ends and late messages.

#[path = "common/log_records.rs"]
mod log_records;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coord::name::Name;
use coord::roster::{Availability, Record, RecordState, Roster, Update};
use coord::time::Moment;
use log_records::LogRecords;
use proptest::prelude::*;

const RECOVERY_GRACE: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
enum Step {
    Announce(u8),
    Drain(u8),
    Remove(u8),
    StoreRecovered,
    Redeliver(u8),
    ApplySnapshot,
    Wait(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..5u8).prop_map(Step::Announce),
        (0..5u8).prop_map(Step::Drain),
        (0..5u8).prop_map(Step::Remove),
        Just(Step::StoreRecovered),
        (0..5u8).prop_map(Step::Redeliver),
        Just(Step::ApplySnapshot),
        (0..3_000u16).prop_map(Step::Wait),
    ]
}

fn name(number: u8) -> Name {
    format!("replica-{number}").into()
}

fn record(number: u8, leaving: bool) -> Record {
    Record {
        id: name(number),
        started_ms: None,
        service: "service".into(),
        address: "10.0.0.1:1".into(),
        failure_domain: "here".into(),
        slots: 1,
        leaving,
        cold_remaining: Duration::ZERO,
    }
}

/// Expected state: the latest record of each replica with its offset, and the replicas that ever announced an end.
#[derive(Default)]
struct Expected {
    offset: u64,
    newest: BTreeMap<u8, (u64, Record)>,
    ended: BTreeSet<u8>,
    known: BTreeSet<u8>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn an_announced_end_is_final_and_a_missing_record_is_gone_after_the_grace_period(steps in prop::collection::vec(step(), 1..60)) {
        let mut roster = Roster::default();
        let mut expected = Expected::default();
        let mut now = Moment::from_millis(10_000);
        for step in steps {
            match step {
                Step::Announce(number) | Step::Drain(number) => {
                    let leaving = matches!(step, Step::Drain(_));
                    expected.offset += 1;
                    expected.newest.insert(number, (expected.offset, record(number, leaving)));
                    expected.known.insert(number);
                    if leaving {
                        expected.ended.insert(number);
                    }
                    roster.apply(expected.offset, RecordState::Present(record(number, leaving)), now);
                }
                Step::Remove(number) => {
                    expected.offset += 1;
                    expected.newest.remove(&number);
                    roster.apply(expected.offset, RecordState::Removed(name(number)), now);
                }
                Step::StoreRecovered => roster.record_store_recovery(now, RECOVERY_GRACE),
                Step::Redeliver(number) => {
                    // An outdated update that arrives again has no effect.
                    if let Some((offset, _)) = expected.newest.get(&number).filter(|(offset, _)| *offset > 1) {
                        let before = roster.get(&name(number)).map(|replica| replica.availability);
                        roster.apply(offset - 1, RecordState::Removed(name(number)), now);
                        prop_assert_eq!(before, roster.get(&name(number)).map(|replica| replica.availability));
                    }
                }
                Step::ApplySnapshot => {
                    let update = |(offset, record): &(u64, Record)| Update { offset: *offset, state: RecordState::Present(record.clone()) };
                    let newest = expected.newest.values().map(update).collect();
                    roster.apply_snapshot(expected.offset + 1, newest, now);
                }
                Step::Wait(millis) => {
                    now = now + Duration::from_millis(millis.into());
                    roster.expire(now);
                }
            }
            for number in &expected.known {
                let Some(replica) = roster.get(&name(*number)) else { continue };
                if expected.ended.contains(number) {
                    prop_assert_eq!(replica.availability, Availability::Gone);
                } else if expected.newest.contains_key(number) {
                    prop_assert_eq!(replica.availability, Availability::Ready);
                } else {
                    prop_assert_ne!(replica.availability, Availability::Ready);
                }
            }
        }
        roster.expire(now + RECOVERY_GRACE + RECOVERY_GRACE);
        for number in &expected.known {
            let gone = roster.get(&name(*number)).is_none_or(|replica| replica.availability == Availability::Gone);
            prop_assert_eq!(gone, expected.ended.contains(number) || !expected.newest.contains_key(number));
        }
    }
}

#[test]
fn without_an_outage_a_missing_record_is_gone_at_once() {
    let mut roster = Roster::default();
    let now = Moment::from_millis(10_000);
    roster.apply(1, RecordState::Present(record(1, false)), now);
    roster.apply(2, RecordState::Removed(name(1)), now);
    assert_eq!(roster.get("replica-1").map(|replica| replica.availability), Some(Availability::Gone));
    assert_eq!(roster.usable("service").count(), 0);
}

#[test]
fn an_outdated_snapshot_removes_nothing() {
    let mut roster = Roster::default();
    let now = Moment::from_millis(10_000);
    roster.apply(7, RecordState::Present(record(1, false)), now);
    let changes = roster.apply_snapshot(5, vec![], now);
    assert!(changes.is_empty(), "{changes:?}");
    assert_eq!(roster.usable("service").count(), 1);
}

#[test]
fn a_replica_whose_address_belongs_to_another_is_gone() {
    let mut roster = Roster::default();
    let now = Moment::from_millis(10_000);
    roster.apply(1, RecordState::Present(record(1, false)), now);
    assert!(roster.mark_displaced("replica-1").is_some());
    assert_eq!(roster.usable("service").count(), 0);
    assert!(roster.mark_displaced("replica-1").is_none(), "reported once");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// One roster reads the log; the other occasionally receives the changes from the first.
    #[test]
    fn a_peer_that_receives_all_updates_has_the_same_view(steps in prop::collection::vec((step(), any::<bool>()), 1..60)) {
        let (mut reader, mut receiver) = (Roster::default(), Roster::default());
        let (mut offset, mut sent_offset) = (0, 0);
        let mut ended = BTreeSet::new();
        let now = Moment::from_millis(10_000);
        for (step, sends_updates) in steps {
            match step {
                Step::Announce(number) | Step::Drain(number) | Step::Redeliver(number) => {
                    let leaving = matches!(step, Step::Drain(_)) || ended.contains(&number);
                    if leaving {
                        ended.insert(number);
                    }
                    reader.apply(offset, RecordState::Present(record(number, leaving)), now);
                    offset += 1;
                }
                Step::Remove(number) => {
                    reader.apply(offset, RecordState::Removed(name(number)), now);
                    offset += 1;
                }
                Step::StoreRecovered | Step::ApplySnapshot | Step::Wait(_) => {}
            }
            if sends_updates {
                for update in reader.updates_since(sent_offset, now) {
                    receiver.apply(update.offset, update.state, now);
                }
                sent_offset = offset;
                for number in 0..5 {
                    let availability = |roster: &Roster| roster.get(&name(number)).map(|known| known.availability);
                    // A replica that appeared and disappeared unreported counts as gone.
                    let receiver = availability(&receiver).unwrap_or(Availability::Gone);
                    prop_assert_eq!(availability(&reader).unwrap_or(Availability::Gone), receiver);
                }
            }
        }
    }

    /// Heartbeats without a change are not sent to peers.
    #[test]
    fn unchanged_heartbeats_are_not_sent_to_peers(heartbeats in 1..20u64) {
        let mut roster = Roster::default();
        let now = Moment::from_millis(10_000);
        for offset in 0..heartbeats {
            roster.apply(offset, RecordState::Present(record(1, false)), now);
        }
        prop_assert_eq!(roster.updates_since(1, now), vec![]);
        prop_assert_eq!(roster.updates_since(0, now).len(), 1);
    }
}

#[test]
fn a_replica_missing_from_a_full_snapshot_does_not_return_with_an_older_record() {
    let now = Moment::from_millis(1_000);
    let update = |offset, number| Update { offset, state: RecordState::Present(record(number, false)) };
    // The replica disappears at offset 50 without announcing its end, unnoticed by the outdated process.
    let mut outdated = Roster::default();
    outdated.apply(10, update(10, 1).state, now);
    outdated.apply(11, update(11, 2).state, now);
    // A new process reads the full snapshot up to offset 60, and then receives the state of the outdated process.
    let mut fresh = Roster::default();
    fresh.apply_snapshot(60, vec![update(11, 2)], now);
    for receiver in outdated.updates_since(0, now) {
        fresh.apply(receiver.offset, receiver.state, now);
    }
    assert!(!fresh.get("replica-1").is_some_and(|known| known.takes_work()), "{fresh:?}");
    // The outdated process receives the full snapshot and learns of the removal.
    outdated.apply_snapshot(60, fresh.updates_since(0, now), now);
    assert!(!outdated.get("replica-1").expect("the replica was recorded").takes_work());
    // A record of the returned replica is newer than the removal.
    fresh.apply(61, update(61, 1).state, now);
    assert!(fresh.get("replica-1").expect("the replica has returned").takes_work());
}

/// Returns a record change for the run of replica 1 with start time `started_ms`.
fn run_record(started_ms: u64, leaving: bool) -> RecordState {
    RecordState::Present(Record { started_ms: Some(started_ms), ..record(1, leaving) })
}

#[test]
fn a_later_run_replaces_the_earlier_one_and_is_reported_once() {
    let mut roster = Roster::default();
    let now = Moment::from_millis(10_000);
    roster.apply(1, run_record(1_000, false), now);
    let change = roster.apply(2, run_record(2_000, false), now).expect("a change");
    assert!(change.has_restarted && change.availability == Availability::Ready);
    assert!(roster.apply(3, run_record(2_000, false), now).is_none(), "a heartbeat");
}

#[test]
fn a_record_of_another_writer_is_unusable_until_the_replica_writes_its_own() {
    let mut roster = Roster::default();
    let now = Moment::from_millis(10_000);
    roster.apply(1, RecordState::Present(record(1, false)), now);
    let change = roster.apply(2, RecordState::Unusable(name(1)), now).expect("a change");
    assert_eq!(change.availability, Availability::Unusable);
    assert!(roster.apply(3, RecordState::Unusable(name(1)), now).is_none(), "reported once");
    assert_eq!(roster.usable("service").count(), 0);
    assert!(roster.apply(1, RecordState::Present(record(1, false)), now).is_none(), "an outdated update");
    roster.apply(4, RecordState::Present(record(1, false)), now);
    assert_eq!(roster.usable("service").count(), 1);
    assert!(roster.apply(5, RecordState::Unusable(name(7)), now).is_none(), "an unknown replica");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_024, failure_persistence: None, ..ProptestConfig::default() })]

    /// Runs start one after the other. Their records come from the log, from a process that reads it, late and
    /// repeatedly, and from other writers.
    #[test]
    fn the_newest_run_decides_whoever_reports_it_and_however_late(
        steps in prop::collection::vec((0..6u8, 0..3u8, any::<prop::sample::Index>()), 1..80),
    ) {
        let (mut reader, mut receiver) = (Roster::default(), Roster::default());
        let now = Moment::from_millis(10_000);
        let mut log: Vec<RecordState> = Vec::new();
        let mut started_ms: u64 = 1;
        let mut ended = BTreeSet::new();
        let mut sent_offset = 0;
        for (step, start_delay, index) in steps {
            match step {
                0 => started_ms += 1,
                1 => log.push(RecordState::Unusable(name(1))),
                2 => log.push(RecordState::Removed(name(1))),
                // A record of an earlier run is written late.
                3 => log.push(run_record(started_ms.saturating_sub(start_delay.into()), false)),
                4 => {
                    ended.insert(started_ms);
                    log.push(run_record(started_ms, true));
                }
                _ => {
                    let updates = reader.updates_since(sent_offset, now);
                    for update in updates.iter().chain(&updates) {
                        receiver.apply(update.offset, update.state.clone(), now);
                    }
                    sent_offset = log.len() as u64;
                }
            }
            for (offset, record_state) in log.iter().enumerate() {
                reader.apply(offset as u64, record_state.clone(), now);
            }
            if !log.is_empty() {
                // A random record is applied again.
                let offset = index.index(log.len());
                reader.apply(offset as u64, log[offset].clone(), now);
            }
            let Some(known) = reader.get("replica-1") else { continue };
            let newest = known.record.started_ms.unwrap_or(0);
            prop_assert!(newest <= started_ms);
            if ended.contains(&newest) {
                prop_assert!(!known.takes_work(), "run {newest} announced its end");
            }
            if step == 5 {
                let other = receiver.get("replica-1").map(|known| (known.availability, known.record.started_ms));
                // A replica that appeared and disappeared unreported counts as gone.
                let takes_work = other.is_some_and(|(availability, _)| availability == Availability::Ready);
                prop_assert_eq!(takes_work, known.takes_work());
            }
        }
    }
}
