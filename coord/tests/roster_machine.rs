//! Randomised runs of the roster: store outages, expired records, restarts, announced ends and late messages.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coord::name::Name;
use coord::roster::{News, Record, Roster, Sighting, Standing};
use coord::time::Moment;
use proptest::prelude::*;

const GRACE: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
enum Step {
    Announce(u8),
    Drain(u8),
    Remove(u8),
    Return,
    Repeat(u8),
    Replace,
    Wait(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..5u8).prop_map(Step::Announce),
        (0..5u8).prop_map(Step::Drain),
        (0..5u8).prop_map(Step::Remove),
        Just(Step::Return),
        (0..5u8).prop_map(Step::Repeat),
        Just(Step::Replace),
        (0..3_000u16).prop_map(Step::Wait),
    ]
}

fn name(number: u8) -> Name {
    format!("replica-{number}").into()
}

fn record(number: u8, leaving: bool) -> Record {
    Record {
        id: name(number),
        born: None,
        service: "service".into(),
        address: "10.0.0.1:1".into(),
        failure_domain: "here".into(),
        slots: 1,
        leaving,
        cold: Duration::ZERO,
    }
}

/// Expected state: the latest record of each replica with its offset, and the replicas that ever announced an end.
#[derive(Default)]
struct Truth {
    offset: u64,
    newest: BTreeMap<u8, (u64, Record)>,
    ended: BTreeSet<u8>,
    known: BTreeSet<u8>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn an_announced_end_is_final_and_a_vanished_record_is_gone_after_the_grace(steps in prop::collection::vec(step(), 1..60)) {
        let mut roster = Roster::default();
        let mut truth = Truth::default();
        let mut now = Moment::from_millis(10_000);
        for step in steps {
            match step {
                Step::Announce(number) | Step::Drain(number) => {
                    let leaving = matches!(step, Step::Drain(_));
                    truth.offset += 1;
                    truth.newest.insert(number, (truth.offset, record(number, leaving)));
                    truth.known.insert(number);
                    if leaving {
                        truth.ended.insert(number);
                    }
                    roster.hear(truth.offset, News::Here(record(number, leaving)), now);
                }
                Step::Remove(number) => {
                    truth.offset += 1;
                    truth.newest.remove(&number);
                    roster.hear(truth.offset, News::Removed(name(number)), now);
                }
                Step::Return => roster.store_returned(now, GRACE),
                Step::Repeat(number) => {
                    // An outdated update that arrives again has no effect.
                    if let Some((offset, _)) = truth.newest.get(&number).filter(|(offset, _)| *offset > 1) {
                        let before = roster.get(&name(number)).map(|replica| replica.standing);
                        roster.hear(offset - 1, News::Removed(name(number)), now);
                        prop_assert_eq!(before, roster.get(&name(number)).map(|replica| replica.standing));
                    }
                }
                Step::Replace => {
                    let sighting = |(offset, record): &(u64, Record)| Sighting { offset: *offset, news: News::Here(record.clone()) };
                    let newest = truth.newest.values().map(sighting).collect();
                    roster.replace(truth.offset + 1, newest, now);
                }
                Step::Wait(millis) => {
                    now = now + Duration::from_millis(millis.into());
                    roster.expire(now);
                }
            }
            for number in &truth.known {
                let Some(replica) = roster.get(&name(*number)) else { continue };
                if truth.ended.contains(number) {
                    prop_assert_eq!(replica.standing, Standing::Gone);
                } else if truth.newest.contains_key(number) {
                    prop_assert_eq!(replica.standing, Standing::Ready);
                } else {
                    prop_assert_ne!(replica.standing, Standing::Ready);
                }
            }
        }
        roster.expire(now + GRACE + GRACE);
        for number in &truth.known {
            let gone = roster.get(&name(*number)).is_none_or(|replica| replica.standing == Standing::Gone);
            prop_assert_eq!(gone, truth.ended.contains(number) || !truth.newest.contains_key(number));
        }
    }
}

#[test]
fn outside_of_an_outage_a_vanished_record_is_gone_at_once() {
    let mut roster = Roster::default();
    let now = Moment::from_millis(10_000);
    roster.hear(1, News::Here(record(1, false)), now);
    roster.hear(2, News::Removed(name(1)), now);
    assert_eq!(roster.get("replica-1").map(|replica| replica.standing), Some(Standing::Gone));
    assert_eq!(roster.usable("service").count(), 0);
}

#[test]
fn a_picture_older_than_what_is_known_takes_nothing_away() {
    let mut roster = Roster::default();
    let now = Moment::from_millis(10_000);
    roster.hear(7, News::Here(record(1, false)), now);
    let changes = roster.replace(5, vec![], now);
    assert!(changes.is_empty(), "{changes:?}");
    assert_eq!(roster.usable("service").count(), 1);
}

#[test]
fn a_replica_whose_address_another_has_is_gone() {
    let mut roster = Roster::default();
    let now = Moment::from_millis(10_000);
    roster.hear(1, News::Here(record(1, false)), now);
    assert!(roster.displaced("replica-1").is_some());
    assert_eq!(roster.usable("service").count(), 0);
    assert!(roster.displaced("replica-1").is_none(), "told once");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// One roster reads the log; the other occasionally receives the changes from the first.
    #[test]
    fn who_is_told_what_changed_believes_the_same(steps in prop::collection::vec((step(), any::<bool>()), 1..60)) {
        let (mut reader, mut told) = (Roster::default(), Roster::default());
        let (mut offset, mut told_up_to) = (0, 0);
        let mut ended = BTreeSet::new();
        let now = Moment::from_millis(10_000);
        for (step, pass_on) in steps {
            match step {
                Step::Announce(number) | Step::Drain(number) | Step::Repeat(number) => {
                    let leaving = matches!(step, Step::Drain(_)) || ended.contains(&number);
                    if leaving {
                        ended.insert(number);
                    }
                    reader.hear(offset, News::Here(record(number, leaving)), now);
                    offset += 1;
                }
                Step::Remove(number) => {
                    reader.hear(offset, News::Removed(name(number)), now);
                    offset += 1;
                }
                Step::Return | Step::Replace | Step::Wait(_) => {}
            }
            if pass_on {
                for sighting in reader.since(told_up_to, now) {
                    told.hear(sighting.offset, sighting.news, now);
                }
                told_up_to = offset;
                for number in 0..5 {
                    let standing = |roster: &Roster| roster.get(&name(number)).map(|known| known.standing);
                    // A replica that appeared and disappeared unreported counts as gone.
                    let told = standing(&told).unwrap_or(Standing::Gone);
                    prop_assert_eq!(standing(&reader).unwrap_or(Standing::Gone), told);
                }
            }
        }
    }

    /// Heartbeats without a change are not sent to peers.
    #[test]
    fn what_did_not_change_is_not_told(beats in 1..20u64) {
        let mut roster = Roster::default();
        let now = Moment::from_millis(10_000);
        for offset in 0..beats {
            roster.hear(offset, News::Here(record(1, false)), now);
        }
        prop_assert_eq!(roster.since(1, now), vec![]);
        prop_assert_eq!(roster.since(0, now).len(), 1);
    }
}

#[test]
fn one_that_a_whole_picture_left_out_does_not_come_back_by_older_word() {
    let now = Moment::from_millis(1_000);
    let sighting = |offset, number| Sighting { offset, news: News::Here(record(number, false)) };
    // The replica disappears at offset 50 without announcing its end, unnoticed by the outdated process.
    let mut behind = Roster::default();
    behind.hear(10, sighting(10, 1).news, now);
    behind.hear(11, sighting(11, 2).news, now);
    // A new process reads the full snapshot up to offset 60, and then receives the state of the outdated process.
    let mut fresh = Roster::default();
    fresh.replace(60, vec![sighting(11, 2)], now);
    for told in behind.since(0, now) {
        fresh.hear(told.offset, told.news, now);
    }
    assert!(!fresh.get("replica-1").is_some_and(|known| known.takes_work()), "{fresh:?}");
    // The outdated process receives the full snapshot and learns of the removal.
    behind.replace(60, fresh.since(0, now), now);
    assert!(!behind.get("replica-1").expect("it was known").takes_work());
    // A record of the returned replica is newer than the removal.
    fresh.hear(61, sighting(61, 1).news, now);
    assert!(fresh.get("replica-1").expect("it is back").takes_work());
}

/// Returns a record change for the run of replica 1 with start time `born`.
fn of_run(born: u64, leaving: bool) -> News {
    News::Here(Record { born: Some(born), ..record(1, leaving) })
}

#[test]
fn a_later_run_ends_the_earlier_one_and_is_told_once() {
    let mut roster = Roster::default();
    let now = Moment::from_millis(10_000);
    roster.hear(1, of_run(1_000, false), now);
    let change = roster.hear(2, of_run(2_000, false), now).expect("a change");
    assert!(change.restarted && change.standing == Standing::Ready);
    assert!(roster.hear(3, of_run(2_000, false), now).is_none(), "a heartbeat");
}

#[test]
fn a_record_of_another_writer_names_no_replica_and_its_own_is_used_again_at_once() {
    let mut roster = Roster::default();
    let now = Moment::from_millis(10_000);
    roster.hear(1, News::Here(record(1, false)), now);
    let change = roster.hear(2, News::Unusable(name(1)), now).expect("a change");
    assert_eq!(change.standing, Standing::Unusable);
    assert!(roster.hear(3, News::Unusable(name(1)), now).is_none(), "told once");
    assert_eq!(roster.usable("service").count(), 0);
    assert!(roster.hear(1, News::Here(record(1, false)), now).is_none(), "older news");
    roster.hear(4, News::Here(record(1, false)), now);
    assert_eq!(roster.usable("service").count(), 1);
    assert!(roster.hear(5, News::Unusable(name(7)), now).is_none(), "nobody that is known");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_024, failure_persistence: None, ..ProptestConfig::default() })]

    /// Runs start one after the other. Their records come from the log, from a process that reads it, late and
    /// repeatedly, and from other writers.
    #[test]
    fn whoever_tells_and_however_late_the_newest_run_decides(
        steps in prop::collection::vec((0..6u8, 0..3u8, any::<prop::sample::Index>()), 1..80),
    ) {
        let (mut reader, mut told) = (Roster::default(), Roster::default());
        let now = Moment::from_millis(10_000);
        let mut log: Vec<News> = Vec::new();
        let mut born: u64 = 1;
        let mut ended = BTreeSet::new();
        let mut told_up_to = 0;
        for (step, late_by, index) in steps {
            match step {
                0 => born += 1,
                1 => log.push(News::Unusable(name(1))),
                2 => log.push(News::Removed(name(1))),
                // A record of an earlier run is written late.
                3 => log.push(of_run(born.saturating_sub(late_by.into()), false)),
                4 => {
                    ended.insert(born);
                    log.push(of_run(born, true));
                }
                _ => {
                    let sightings = reader.since(told_up_to, now);
                    for sighting in sightings.iter().chain(&sightings) {
                        told.hear(sighting.offset, sighting.news.clone(), now);
                    }
                    told_up_to = log.len() as u64;
                }
            }
            for (offset, news) in log.iter().enumerate() {
                reader.hear(offset as u64, news.clone(), now);
            }
            if !log.is_empty() {
                // A random record is applied again.
                let offset = index.index(log.len());
                reader.hear(offset as u64, log[offset].clone(), now);
            }
            let Some(known) = reader.get("replica-1") else { continue };
            let newest = known.record.born.unwrap_or(0);
            prop_assert!(newest <= born);
            if ended.contains(&newest) {
                prop_assert!(!known.takes_work(), "run {newest} announced its end");
            }
            if step == 5 {
                let other = told.get("replica-1").map(|known| (known.standing, known.record.born));
                // A replica that appeared and disappeared unreported counts as gone.
                let takes_work = other.is_some_and(|(standing, _)| standing == Standing::Ready);
                prop_assert_eq!(takes_work, known.takes_work());
            }
        }
    }
}
