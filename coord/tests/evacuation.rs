//! Evacuations as recorded by several processes that receive them from the log and from each other, in any order.

use std::collections::BTreeSet;
use std::time::Duration;

use coord::evacuation::{News, Picture, Register};
use coord::name::Name;
use coord::roster::{self, Record, Roster};
use coord::time::Moment;
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
    ReadWhole(usize),
    /// A process reads the log again from the given number of records before its current offset.
    ReadAgain(usize, usize),
    /// The first process sends its state to the second.
    Tell(usize, usize),
    /// A process receives the most recently sent state once more.
    Late(usize),
}

const PROCESSES: usize = 3;
/// End of the grace period for records that a recovered log has lost.
const LATER: Moment = Moment::from_millis(2_000);

fn step() -> impl Strategy<Value = Step> {
    let process = 0..PROCESSES;
    prop_oneof![
        (0..4u8, any::<bool>()).prop_map(|(domain, begun)| Step::Write(domain, begun)),
        process.clone().prop_map(Step::Read),
        process.clone().prop_map(Step::ReadWhole),
        (process.clone(), 0..5usize).prop_map(|(reader, back)| Step::ReadAgain(reader, back)),
        (process.clone(), process.clone()).prop_map(|(from, to)| Step::Tell(from, to)),
        process.prop_map(Step::Late),
    ]
}

fn name(domain: u8) -> Name {
    format!("domain-{domain}").into()
}

fn news((domain, begun): (u8, bool)) -> News {
    if begun { News::Begun(name(domain)) } else { News::Ended(name(domain)) }
}

/// Returns the evacuated domains according to the log below `next`.
fn truth(log: &[(u8, bool)], next: usize) -> BTreeSet<Name> {
    let mut domains = BTreeSet::new();
    for (domain, begun) in &log[..next] {
        if *begun {
            domains.insert(name(*domain))
        } else {
            domains.remove(&name(*domain))
        };
    }
    domains
}

/// Makes a process read the log from `back` records before its current offset.
fn read_on(register: &mut Register, log: &[(u8, bool)], back: usize) {
    let from = (register.picture().next as usize).saturating_sub(back);
    for (at, said) in log.iter().enumerate().skip(from) {
        register.hear(at as u64, news(*said));
    }
}

proptest! {
    #[test]
    fn what_a_process_knows_is_what_the_log_said_and_never_goes_back(steps in prop::collection::vec(step(), 1..80)) {
        let mut log: Vec<(u8, bool)> = Vec::new();
        let mut registers: Vec<Register> = (0..PROCESSES).map(|_| Register::default()).collect();
        let mut last_told = Picture::default();
        for step in steps {
            let reached: Vec<u64> = registers.iter().map(|register| register.picture().next).collect();
            match step {
                Step::Write(domain, begun) => log.push((domain, begun)),
                Step::Read(reader) => read_on(&mut registers[reader], &log, 0),
                Step::ReadWhole(reader) => {
                    let picture = Picture { next: log.len() as u64, domains: truth(&log, log.len()) };
                    registers[reader].replace(picture, LATER);
                }
                Step::ReadAgain(reader, back) => read_on(&mut registers[reader], &log, back),
                Step::Tell(from, to) => {
                    last_told = registers[from].picture().clone();
                    registers[to].replace(last_told.clone(), LATER);
                }
                Step::Late(to) => {
                    registers[to].replace(last_told.clone(), LATER);
                }
            }
            for (register, reached) in registers.iter().zip(reached) {
                let picture = register.picture();
                prop_assert!(picture.next >= reached);
                prop_assert_eq!(&picture.domains, &truth(&log, picture.next as usize));
            }
        }
    }
}

const SERVICE: &str = "service";
const LASTS: Duration = Duration::from_secs(3);

fn record(number: u8, domain: u8, cold: Duration) -> Record {
    Record {
        id: format!("replica-{number}").into(),
        born: None,
        service: SERVICE.into(),
        address: "10.0.0.1:1".into(),
        failure_domain: name(domain),
        slots: 1,
        leaving: false,
        cold,
    }
}

fn roster(now: Moment) -> Roster {
    let mut roster = Roster::default();
    for number in 0..4 {
        roster.hear(u64::from(number), roster::News::Here(record(number, number % 2, Duration::ZERO)), now);
    }
    roster
}

fn cold(roster: &Roster, now: Moment) -> Vec<&Name> {
    roster.cold(SERVICE, LASTS, now).map(|(id, _)| id).collect()
}

#[test]
fn replicas_of_emptied_domains_live_and_get_nothing_new() {
    let now = Moment::from_micros(1_000_000_000);
    let mut roster = roster(now);
    roster.set_emptied(BTreeSet::from([name(0)]), now);
    let usable: Vec<&Name> = roster.usable(SERVICE).map(|record| &record.id).collect();
    assert_eq!(usable, [&Name::from("replica-1"), &Name::from("replica-3")]);
    assert_eq!(roster.living(SERVICE).count(), 4);
    assert!(!roster.is_emptied(SERVICE) && !roster.is_emptied("another"));
    roster.set_emptied(BTreeSet::from([name(0), name(1)]), now);
    assert!(roster.is_emptied(SERVICE));
    roster.set_emptied(BTreeSet::new(), now);
    assert_eq!(roster.usable(SERVICE).count(), 4);
}

#[test]
fn a_domain_that_returns_counts_as_cold_for_a_while() {
    let now = Moment::from_micros(1_000_000_000);
    let mut roster = roster(now);
    roster.set_emptied(BTreeSet::from([name(0)]), now);
    assert!(cold(&roster, now).is_empty());
    roster.set_emptied(BTreeSet::new(), now);
    assert_eq!(cold(&roster, now + LASTS / 2), [&Name::from("replica-0"), &Name::from("replica-2")]);
    assert!(cold(&roster, now + LASTS).is_empty());
}

#[test]
fn a_cold_replica_says_so_once_and_again_if_it_turns_cold_again() {
    let now = Moment::from_micros(1_000_000_000);
    let mut roster = roster(now);
    let mut hear = |offset, cold_ms, now| {
        let record = record(1, 1, Duration::from_millis(cold_ms));
        roster.hear(offset, roster::News::Here(record), now).map(|change| change.cold)
    };
    assert_eq!(hear(10, 3_000, now), Some(true));
    // Heartbeats arrive somewhat early or late.
    assert_eq!(hear(11, 1_900, now + Duration::from_millis(1_200)), None);
    assert_eq!(hear(12, 700, now + Duration::from_millis(2_200)), None);
    assert_eq!(hear(13, 3_000, now + Duration::from_millis(2_400)), Some(true), "cold again");
    assert_eq!(hear(14, 0, now + Duration::from_millis(3_000)), Some(false), "warm before its time");
    let told = roster.since(14, now + Duration::from_millis(3_000));
    assert_eq!(told.len(), 1, "others hear of it");
    assert!(cold(&roster, now + Duration::from_millis(3_000)).is_empty());
}

#[test]
fn who_is_told_of_a_cold_replica_knows_for_how_long() {
    let now = Moment::from_micros(1_000_000_000);
    let (mut reader, mut told) = (Roster::default(), Roster::default());
    reader.hear(1, roster::News::Here(record(1, 0, LASTS)), now);
    let later = now + LASTS / 2;
    for sighting in reader.since(0, later) {
        told.hear(sighting.offset, sighting.news, later);
    }
    assert_eq!(cold(&told, later).len(), 1);
    assert!(cold(&told, now + LASTS).is_empty());
}
