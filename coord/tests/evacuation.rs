//! Evacuations as recorded by several processes that receive them from the log and from each other, in any order.

#[path = "common/log_records.rs"]
mod log_records;

use std::collections::BTreeSet;
use std::time::Duration;

use coord::evacuation::{Evacuations, Event, Snapshot};
use coord::name::Name;
use coord::roster::{self, Record, Roster};
use coord::time::Moment;
use log_records::LogRecords;
use proptest::prelude::*;

/// Step of a simulation in which processes follow a log of evacuations.
#[derive(Clone, Debug)]
enum Step {
    /// An operator appends a record for the domain with the given number: `true` starts an evacuation, `false` ends
    /// it.
    Write(u8, bool),
    /// A process reads the log from its current offset.
    Read(usize),
    /// A process reads a full snapshot because the start of the log was dropped.
    ReadSnapshot(usize),
    /// A process reads the log again from the given number of records before its current offset.
    Reread(usize, usize),
    /// The first process sends its state to the second.
    Send(usize, usize),
    /// A process receives the most recently sent state once more.
    Resend(usize),
}

const PROCESSES: usize = 3;
/// End of the grace period for records that a recovered log has lost.
const GRACE_UNTIL: Moment = Moment::from_millis(2_000);

fn step() -> impl Strategy<Value = Step> {
    let process = 0..PROCESSES;
    prop_oneof![
        (0..4u8, any::<bool>()).prop_map(|(domain, begun)| Step::Write(domain, begun)),
        process.clone().prop_map(Step::Read),
        process.clone().prop_map(Step::ReadSnapshot),
        (process.clone(), 0..5usize).prop_map(|(reader, back)| Step::Reread(reader, back)),
        (process.clone(), process.clone()).prop_map(|(from, to)| Step::Send(from, to)),
        process.prop_map(Step::Resend),
    ]
}

fn domain_name(domain: u8) -> Name {
    format!("domain-{domain}").into()
}

fn event((domain, begun): (u8, bool)) -> Event {
    if begun { Event::Started(domain_name(domain)) } else { Event::Ended(domain_name(domain)) }
}

/// Returns the evacuated domains according to the log below `next`.
fn expected_domains(log: &[(u8, bool)], next: usize) -> BTreeSet<Name> {
    let mut domains = BTreeSet::new();
    for (domain, begun) in &log[..next] {
        if *begun {
            domains.insert(domain_name(*domain))
        } else {
            domains.remove(&domain_name(*domain))
        };
    }
    domains
}

/// Makes a process read the log from `back` records before its current offset.
fn read_log(evacuations: &mut Evacuations, log: &[(u8, bool)], back: usize) {
    let from = (evacuations.snapshot().next as usize).saturating_sub(back);
    for (offset, record) in log.iter().enumerate().skip(from) {
        evacuations.apply(offset as u64, event(*record));
    }
}

proptest! {
    #[test]
    fn each_process_follows_the_log_and_never_goes_back(steps in prop::collection::vec(step(), 1..80)) {
        let mut log: Vec<(u8, bool)> = Vec::new();
        let mut registers: Vec<Evacuations> = (0..PROCESSES).map(|_| Evacuations::default()).collect();
        let mut last_sent = Snapshot::default();
        for step in steps {
            let previous_offsets: Vec<u64> = registers.iter().map(|evacuations| evacuations.snapshot().next).collect();
            match step {
                Step::Write(domain, begun) => log.push((domain, begun)),
                Step::Read(reader) => read_log(&mut registers[reader], &log, 0),
                Step::ReadSnapshot(reader) => {
                    let snapshot = Snapshot { next: log.len() as u64, domains: expected_domains(&log, log.len()) };
                    registers[reader].apply_snapshot(snapshot, GRACE_UNTIL);
                }
                Step::Reread(reader, back) => read_log(&mut registers[reader], &log, back),
                Step::Send(from, to) => {
                    last_sent = registers[from].snapshot().clone();
                    registers[to].apply_snapshot(last_sent.clone(), GRACE_UNTIL);
                }
                Step::Resend(to) => {
                    registers[to].apply_snapshot(last_sent.clone(), GRACE_UNTIL);
                }
            }
            for (evacuations, previous_offset) in registers.iter().zip(previous_offsets) {
                let snapshot = evacuations.snapshot();
                prop_assert!(snapshot.next >= previous_offset);
                prop_assert_eq!(&snapshot.domains, &expected_domains(&log, snapshot.next as usize));
            }
        }
    }
}

const SERVICE: &str = "service";
const COLD_TIME: Duration = Duration::from_secs(3);

fn record(number: u8, domain: u8, cold_remaining: Duration) -> Record {
    Record {
        id: format!("replica-{number}").into(),
        started_ms: None,
        service: SERVICE.into(),
        address: "10.0.0.1:1".into(),
        failure_domain: domain_name(domain),
        slots: 1,
        leaving: false,
        cold_remaining,
    }
}

fn roster(now: Moment) -> Roster {
    let mut roster = Roster::default();
    for number in 0..4 {
        roster.apply(u64::from(number), roster::RecordState::Present(record(number, number % 2, Duration::ZERO)), now);
    }
    roster
}

fn cold(roster: &Roster, now: Moment) -> Vec<&Name> {
    roster.cold(SERVICE, COLD_TIME, now).map(|(id, _)| id).collect()
}

#[test]
fn replicas_of_evacuated_domains_stay_alive_and_get_no_new_work() {
    let now = Moment::from_micros(1_000_000_000);
    let mut roster = roster(now);
    roster.set_evacuated(BTreeSet::from([domain_name(0)]), now);
    let usable: Vec<&Name> = roster.usable(SERVICE).map(|record| &record.id).collect();
    assert_eq!(usable, [&Name::from("replica-1"), &Name::from("replica-3")]);
    assert_eq!(roster.alive(SERVICE).count(), 4);
    assert!(!roster.is_evacuated(SERVICE) && !roster.is_evacuated("another"));
    roster.set_evacuated(BTreeSet::from([domain_name(0), domain_name(1)]), now);
    assert!(roster.is_evacuated(SERVICE));
    roster.set_evacuated(BTreeSet::new(), now);
    assert_eq!(roster.usable(SERVICE).count(), 4);
}

#[test]
fn a_domain_counts_as_cold_after_its_evacuation() {
    let now = Moment::from_micros(1_000_000_000);
    let mut roster = roster(now);
    roster.set_evacuated(BTreeSet::from([domain_name(0)]), now);
    assert!(cold(&roster, now).is_empty());
    roster.set_evacuated(BTreeSet::new(), now);
    assert_eq!(cold(&roster, now + COLD_TIME / 2), [&Name::from("replica-0"), &Name::from("replica-2")]);
    assert!(cold(&roster, now + COLD_TIME).is_empty());
}

#[test]
fn a_cold_replica_is_reported_once_and_again_if_it_turns_cold_again() {
    let now = Moment::from_micros(1_000_000_000);
    let mut roster = roster(now);
    let mut apply = |offset, cold_ms, now| {
        let record = record(1, 1, Duration::from_millis(cold_ms));
        roster.apply(offset, roster::RecordState::Present(record), now).map(|change| change.is_cold)
    };
    assert_eq!(apply(10, 3_000, now), Some(true));
    // Heartbeats arrive somewhat early or late.
    assert_eq!(apply(11, 1_900, now + Duration::from_millis(1_200)), None);
    assert_eq!(apply(12, 700, now + Duration::from_millis(2_200)), None);
    assert_eq!(apply(13, 3_000, now + Duration::from_millis(2_400)), Some(true), "the replica turned cold again");
    assert_eq!(
        apply(14, 0, now + Duration::from_millis(3_000)),
        Some(false),
        "the replica is warm earlier than reported"
    );
    let updates = roster.updates_since(14, now + Duration::from_millis(3_000));
    assert_eq!(updates.len(), 1, "the change is sent to peers");
    assert!(cold(&roster, now + Duration::from_millis(3_000)).is_empty());
}

#[test]
fn a_peer_receives_the_remaining_cold_time_of_a_replica() {
    let now = Moment::from_micros(1_000_000_000);
    let (mut reader, mut receiver) = (Roster::default(), Roster::default());
    reader.apply(1, roster::RecordState::Present(record(1, 0, COLD_TIME)), now);
    let later = now + COLD_TIME / 2;
    for update in reader.updates_since(0, later) {
        receiver.apply(update.offset, update.state, later);
    }
    assert_eq!(cold(&receiver, later).len(), 1);
    assert!(cold(&receiver, now + COLD_TIME).is_empty());
}
