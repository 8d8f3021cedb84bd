//! Each way in which a process's copy of the replicas' records jumps: what the copy keeps, what the process claims to
//! other processes, and what it asks for afterwards (docs/design/24-copies-of-the-store.md, a test for each row).

use std::collections::BTreeMap;
use std::time::Duration;

use coord::name::Name;
use coord::offset;
use coord::roster::{Gap, Record, RecordState, Request, Roster, Transfer, Update};
use coord::time::Moment;
use proptest::prelude::*;

const NOW: Moment = Moment::from_millis(10_000);

/// Number of the replica whose record comes and goes; another one has a record throughout.
const PASSING: u8 = 1;
const STAYING: u8 = 2;

fn name(number: u8) -> Name {
    format!("replica-{number}").into()
}

fn record(number: u8) -> Record {
    Record {
        id: name(number),
        started_ms: None,
        service: "service".into(),
        address: "10.0.0.1:1".into(),
        failure_domain: "here".into(),
        slots: 1,
        leaving: false,
        cold_remaining: Duration::ZERO,
    }
}

/// What a log record says of its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entry {
    Written,
    Removed,
    Foreign,
}

/// Stand-in for the store's log, which drops records from its beginning and can be restored from an older copy.
#[derive(Clone, Debug, Default)]
struct Log {
    era: u64,
    records: Vec<(u8, Entry)>,
    /// Offset of the first record that a read can still return.
    first: usize,
}

impl Log {
    fn number(&self, plain: usize) -> u64 {
        offset::encode(self.era, plain as u64)
    }

    fn end(&self) -> u64 {
        self.number(self.records.len())
    }

    fn write(&mut self, number: u8, entry: Entry) {
        self.records.push((number, entry));
    }

    fn trim(&mut self) {
        self.first = self.records.len();
    }

    fn restore(&mut self, len: usize) {
        self.records.truncate(len);
        self.era += 1;
        self.first = self.first.min(len);
    }

    /// Writes the record of each replica again that has one.
    fn beat(&mut self) {
        let newest = self.newest(0..REPLICAS);
        newest
            .iter()
            .filter(|(_, (_, entry))| *entry == Entry::Written)
            .for_each(|(number, _)| self.write(*number, Entry::Written));
    }

    fn update(&self, plain: usize) -> Update {
        let (number, entry) = self.records[plain];
        let state = match entry {
            Entry::Written => RecordState::Present(record(number)),
            Entry::Removed => RecordState::Removed(name(number)),
            Entry::Foreign => RecordState::Unusable(name(number)),
        };
        Update { offset: self.number(plain), state }
    }

    /// Returns the records from `from` on, or `None` if the log does not reach back to it.
    fn read(&self, from: u64) -> Option<Transfer> {
        let plain = usize::try_from(offset::plain_offset(from)).expect("a small log");
        if offset::era(from) != self.era || plain < self.first || plain > self.records.len() {
            return None;
        }
        Some(Transfer::of_log(from, self.end(), (plain..self.records.len()).map(|plain| self.update(plain)).collect()))
    }

    /// Returns the offset and the content of the newest record of each replica whose number is in `numbers`.
    fn newest(&self, numbers: std::ops::Range<u8>) -> BTreeMap<u8, (usize, Entry)> {
        let records = self.records.iter().enumerate().filter(|(_, (number, _))| numbers.contains(number));
        records.map(|(plain, (number, entry))| (*number, (plain, *entry))).collect()
    }

    /// Returns one page of the newest records, without the removed ones.
    fn page(&self, numbers: std::ops::Range<u8>) -> Vec<Update> {
        let newest = self.newest(numbers).into_values();
        newest.filter(|(_, entry)| *entry != Entry::Removed).map(|(plain, _)| self.update(plain)).collect()
    }

    fn read_newest(&self) -> Transfer {
        Transfer::of_newest(self.end(), self.page(0..u8::MAX))
    }
}

fn apply(roster: &mut Roster, transfer: Transfer) {
    roster.apply_transfer(transfer, NOW).expect("no changes are missing");
}

/// Reads the log from the roster's end on.
fn read_on(roster: &mut Roster, log: &Log) {
    let transfer = log.read(roster.end()).expect("the log reaches back");
    apply(roster, transfer);
}

/// Returns what `sender` sends to a process whose copy ends at `end`.
fn transfer_from(sender: &Roster, end: u64) -> Transfer {
    sender.transfer_for(&Request { end, doubtful: Vec::new() }, NOW)
}

/// Sends what the receiver lacks, as the answer to the receiver's request.
fn send(sender: &Roster, receiver: &mut Roster) {
    let transfer = sender.transfer_for(&receiver.request(), NOW);
    apply(receiver, transfer);
}

fn is_used(roster: &Roster, number: u8) -> bool {
    roster.usable_replica(&name(number)).is_some()
}

/// Returns a log in which one replica has a record, and a roster that has read it.
fn start() -> (Log, Roster) {
    let mut log = Log::default();
    log.write(STAYING, Entry::Written);
    let mut reader = Roster::default();
    apply(&mut reader, log.read_newest());
    (log, reader)
}

/// Writes the record of the passing replica, which `witness` reads and nobody else.
fn arrive(log: &mut Log, witness: &mut Roster) {
    log.write(PASSING, Entry::Written);
    read_on(witness, log);
    assert!(is_used(witness, PASSING));
}

/// Asserts that a process which used the replica learns from `sender` that it is gone, and keeps the other one.
fn assert_learns_of_end(sender: &Roster, witness: &mut Roster) {
    assert!(!is_used(sender, PASSING) && is_used(sender, STAYING));
    send(sender, witness);
    assert!(!is_used(witness, PASSING), "the receiver keeps a replica that is gone");
    assert!(is_used(witness, STAYING));
    assert_eq!(witness.end(), sender.end());
}

/// A reader of the log claims all that it saw: those that follow get the changes alone, and the removal with them.
#[test]
fn a_read_of_the_log_extends_the_claim() {
    let (mut log, mut reader) = start();
    let mut witness = reader.clone();
    let start = reader.end();
    arrive(&mut log, &mut witness);
    log.write(PASSING, Entry::Removed);
    read_on(&mut reader, &log);
    let transfer = transfer_from(&reader, start);
    assert!(!transfer.extent.is_snapshot(), "every change since the first read is known");
    assert_learns_of_end(&reader, &mut witness);
}

/// Guards against claims about the time before the first read.
#[test]
fn a_process_that_starts_claims_nothing_before_its_first_read() {
    let (mut log, mut witness) = start();
    arrive(&mut log, &mut witness);
    log.write(PASSING, Entry::Removed);
    let mut fresh = Roster::default();
    assert_eq!(fresh.end(), 0, "it asks for everything");
    apply(&mut fresh, log.read_newest());
    assert!(transfer_from(&fresh, witness.end()).extent.is_snapshot());
    assert_learns_of_end(&fresh, &mut witness);
}

/// Guards against an old claim of a process whose log was trimmed: its followers kept a replica that came and went in
/// the gap.
#[test]
fn a_process_whose_log_was_trimmed_claims_no_change_in_the_gap() {
    let (mut log, mut reader) = start();
    let mut witness = reader.clone();
    arrive(&mut log, &mut witness);
    log.write(PASSING, Entry::Removed);
    log.trim();
    assert_eq!(log.read(reader.end()), None);
    apply(&mut reader, log.read_newest());
    assert_learns_of_end(&reader, &mut witness);
}

/// Guards against an old claim of a process whose store was restored from an older copy.
#[test]
fn a_process_whose_store_was_restored_claims_no_change_before_that() {
    let (mut log, mut reader) = start();
    let mut witness = reader.clone();
    arrive(&mut log, &mut witness);
    log.restore(1);
    assert_eq!(log.read(reader.end()), None);
    apply(&mut reader, log.read_newest());
    assert_learns_of_end(&reader, &mut witness);
}

/// Guards against an old claim of a process that another one brought up to date with a snapshot.
#[test]
fn a_process_that_received_a_snapshot_claims_no_change_before_its_end() {
    let (mut log, mut follower) = start();
    let mut witness = follower.clone();
    arrive(&mut log, &mut witness);
    log.write(PASSING, Entry::Removed);
    let mut leader = Roster::default();
    apply(&mut leader, log.read_newest());
    send(&leader, &mut follower);
    assert_learns_of_end(&follower, &mut witness);
}

/// Guards against a snapshot that is not applied as one: the receiver kept a replica that was no longer in it.
#[test]
fn a_process_whose_log_was_trimmed_drops_what_its_leader_does_not_have() {
    let (mut log, mut witness) = start();
    arrive(&mut log, &mut witness);
    log.write(PASSING, Entry::Removed);
    log.trim();
    let mut leader = Roster::default();
    apply(&mut leader, log.read_newest());
    // The witness finds its log trimmed, and asks its leader before it has read the newest records itself.
    assert_eq!(log.read(witness.end()), None);
    assert_learns_of_end(&leader, &mut witness);
}

/// A process that received changes claims them and all that it saw before.
#[test]
fn changes_from_another_process_extend_the_claim() {
    let (mut log, mut leader) = start();
    let (mut follower, mut witness, start) = (leader.clone(), leader.clone(), leader.end());
    arrive(&mut log, &mut witness);
    log.write(PASSING, Entry::Removed);
    read_on(&mut leader, &log);
    send(&leader, &mut follower);
    assert!(!transfer_from(&follower, start).extent.is_snapshot());
    assert_learns_of_end(&follower, &mut witness);
}

/// A delegated read is answered from the position that the leader asked with, also if the leader has moved on since.
#[test]
fn an_answer_that_was_overtaken_takes_nothing_back() {
    let (mut log, mut leader) = start();
    let mut delegate = leader.clone();
    log.write(PASSING, Entry::Written);
    read_on(&mut delegate, &log);
    let late = transfer_from(&delegate, leader.end());
    let late_snapshot = transfer_from(&delegate, 0);
    log.write(PASSING, Entry::Removed);
    apply(&mut leader, log.read_newest());
    let end = leader.end();
    for overtaken in [late, late_snapshot] {
        apply(&mut leader, overtaken);
        assert!(!is_used(&leader, PASSING) && is_used(&leader, STAYING));
        assert_eq!(leader.end(), end);
        assert!(transfer_from(&leader, end - 1).extent.is_snapshot(), "the skipped part is still unknown");
    }
}

/// Guards against a read of the newest records that ends only after another process was followed: it takes nothing back,
/// and claims nothing of the part that the other process's snapshot skipped.
#[test]
fn a_read_that_another_process_overtook_claims_nothing_more() {
    let (mut log, mut reader) = start();
    let mut witness = reader.clone();
    arrive(&mut log, &mut witness);
    let (end, mut pages) = (log.end(), log.page(0..SECOND_PAGE));
    log.write(PASSING, Entry::Removed);
    let mut leader = Roster::default();
    apply(&mut leader, log.read_newest());
    send(&leader, &mut reader);
    pages.extend(log.page(SECOND_PAGE..u8::MAX));
    apply(&mut reader, Transfer::of_newest(end, pages));
    assert_eq!(reader.end(), leader.end());
    assert_learns_of_end(&reader, &mut witness);
}

/// An answer to the request of another process, which had a later position, is refused.
#[test]
fn changes_that_start_after_the_copy_are_refused() {
    let (mut log, mut reader) = start();
    let mut behind = reader.clone();
    log.write(PASSING, Entry::Written);
    read_on(&mut reader, &log);
    let from = reader.end();
    log.write(STAYING, Entry::Written);
    read_on(&mut reader, &log);
    let outcome = behind.apply_transfer(transfer_from(&reader, from), NOW);
    assert_eq!(outcome, Err(Gap { from, copy_end: behind.end() }));
    assert!(!is_used(&behind, PASSING));
}

/// Guards against a record that is known to be older than it is: a replica that came back in a part of the log that the
/// sender skipped stayed out of use at a process that had seen it go.
#[test]
fn a_replica_that_came_back_in_the_gap_is_used_by_those_that_saw_it_go() {
    let (mut log, mut leader) = start();
    let mut witness = leader.clone();
    arrive(&mut log, &mut leader);
    log.write(PASSING, Entry::Removed);
    apply(&mut witness, log.read_newest());
    log.write(PASSING, Entry::Written);
    log.trim();
    apply(&mut leader, log.read_newest());
    send(&leader, &mut witness);
    assert!(is_used(&witness, PASSING), "{witness:?}");
}

/// Guards against the same with changes from another process, which hold the newest state of a replica only.
#[test]
fn a_replica_that_came_back_between_two_answers_is_used_by_those_that_saw_it_go() {
    let (mut log, mut leader) = start();
    arrive(&mut log, &mut leader);
    let mut follower = leader.clone();
    log.write(PASSING, Entry::Removed);
    let mut witness = Roster::default();
    apply(&mut witness, log.read_newest());
    log.write(PASSING, Entry::Written);
    read_on(&mut leader, &log);
    send(&leader, &mut follower);
    send(&follower, &mut witness);
    assert!(is_used(&witness, PASSING), "{witness:?}");
}

/// Guards against a removal that is noticed too early: the pages of a snapshot are read one after the other, and those
/// that had the snapshot's end already were never told of a removal after it.
#[test]
fn a_record_that_was_removed_between_two_pages_is_removed_at_those_that_read_them_earlier() {
    let (mut log, mut witness) = start();
    arrive(&mut log, &mut witness);
    let mut reader = witness.clone();
    let end = log.end();
    log.write(PASSING, Entry::Removed);
    apply(&mut reader, Transfer::of_newest(end, log.page(0..u8::MAX)));
    assert_eq!(reader.end(), witness.end());
    read_on(&mut reader, &log);
    assert_learns_of_end(&reader, &mut witness);
}

/// Guards against a replica that stays out of use after a restore: heartbeats are not sent on, and only a later write
/// shows that the replica of an old record is alive.
#[test]
fn a_replica_that_writes_again_after_a_restore_is_used_by_those_that_saw_it_go() {
    let (mut log, mut follower) = start();
    arrive(&mut log, &mut follower);
    log.write(PASSING, Entry::Removed);
    read_on(&mut follower, &log);
    log.restore(2);
    let mut leader = Roster::default();
    apply(&mut leader, log.read_newest());
    send(&leader, &mut follower);
    assert!(!is_used(&follower, PASSING), "the restored log may have lost its removal");
    let mut third = Roster::default();
    send(&follower, &mut third);
    assert!(!is_used(&third, PASSING), "the doubt is passed on");
    log.beat();
    read_on(&mut leader, &log);
    for roster in [&mut follower, &mut third] {
        send(&leader, roster);
        assert!(is_used(roster, PASSING), "{roster:?}");
        assert_eq!(roster.request().doubtful, Vec::<Name>::new());
    }
}

/// Several processes follow one log: they read it, ask each other, start again, and answers arrive late.
#[derive(Clone, Debug)]
enum Step {
    Write(u8, Entry),
    Trim,
    Restore(prop::sample::Index),
    Read(usize),
    /// Reads the first page of the newest records.
    ReadFirstPage(usize),
    /// Reads the remaining pages, and applies them all.
    ReadRemainingPages(usize),
    Ask(usize, usize),
    /// Asks as `Ask` does, but the answer stays on its way.
    AskLate(usize, usize),
    Deliver(usize),
    Restart(usize),
}

const PROCESSES: usize = 4;
const REPLICAS: u8 = 4;
/// Number of the first replica on the second page.
const SECOND_PAGE: u8 = 2;

fn step() -> impl Strategy<Value = Step> {
    let entry = prop_oneof![3 => Just(Entry::Written), 2 => Just(Entry::Removed), 1 => Just(Entry::Foreign)];
    prop_oneof![
        8 => (0..REPLICAS, entry).prop_map(|(number, entry)| Step::Write(number, entry)),
        2 => Just(Step::Trim),
        1 => any::<prop::sample::Index>().prop_map(Step::Restore),
        6 => (0..PROCESSES).prop_map(Step::Read),
        2 => (0..PROCESSES).prop_map(Step::ReadFirstPage),
        3 => (0..PROCESSES).prop_map(Step::ReadRemainingPages),
        8 => (0..PROCESSES, 0..PROCESSES).prop_map(|(from, to)| Step::Ask(from, to)),
        3 => (0..PROCESSES, 0..PROCESSES).prop_map(|(from, to)| Step::AskLate(from, to)),
        3 => (0..PROCESSES).prop_map(Step::Deliver),
        1 => (0..PROCESSES).prop_map(Step::Restart),
    ]
}

/// Process with its roster, the read of several pages that it has begun, and the answer that is on its way to it.
#[derive(Clone, Debug, Default)]
struct Process {
    roster: Roster,
    first_page: Option<(u64, Vec<Update>)>,
    late: Option<Transfer>,
}

impl Process {
    fn read(&mut self, log: &Log) {
        let transfer = log.read(self.roster.end()).filter(|_| self.roster.end() > 0);
        apply(&mut self.roster, transfer.unwrap_or_else(|| log.read_newest()));
    }

    fn run(&mut self, step: &Step, log: &Log) {
        match step {
            Step::Read(_) => self.read(log),
            Step::ReadFirstPage(_) => self.first_page = Some((log.end(), log.page(0..SECOND_PAGE))),
            Step::ReadRemainingPages(_) => {
                // A read is given up if the store was restored between two pages.
                let Some((end, mut updates)) = self.first_page.take() else { return };
                if offset::era(end) == log.era {
                    updates.extend(log.page(SECOND_PAGE..u8::MAX));
                    apply(&mut self.roster, Transfer::of_newest(end, updates));
                }
            }
            Step::Deliver(_) => {
                if let Some(late) = self.late.take() {
                    apply(&mut self.roster, late);
                }
            }
            _ => *self = Self::default(),
        }
    }
}

/// Checks what a process knows against the log, for replicas of which the log says nothing after the process's end.
/// `is_beaten` says whether all replicas have written their records again since the last restore.
fn check(process: &Process, log: &Log, is_beaten: bool) -> Result<(), TestCaseError> {
    let end = process.roster.end();
    if end == 0 || offset::era(end) != log.era {
        return Ok(());
    }
    let newest = log.newest(0..REPLICAS);
    for number in 0..REPLICAS {
        let state = newest.get(&number);
        if state.is_some_and(|(plain, _)| log.number(*plain) >= end) {
            continue;
        }
        let is_used = is_used(&process.roster, number);
        match state {
            // A restored log may contain the record of a replica that is gone, until the replica would write it again.
            Some((_, Entry::Written)) if log.era > 0 && !is_beaten => {}
            Some((_, Entry::Written)) => prop_assert!(is_used, "replica {number} is not used at {end}"),
            _ => prop_assert!(!is_used, "replica {number} is used at {end}"),
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 8_192, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever a process read or received, it knows what the log says before its end.
    #[test]
    fn a_copy_reflects_the_log_before_its_end_whichever_way_it_came(steps in prop::collection::vec(step(), 1..60)) {
        let mut log = Log::default();
        let mut processes: [Process; PROCESSES] = Default::default();
        for step in steps {
            match &step {
                Step::Write(number, entry) => log.write(*number, *entry),
                Step::Trim => log.trim(),
                Step::Restore(len) => log.restore(len.index(log.records.len() + 1)),
                Step::Ask(from, to) | Step::AskLate(from, to) => {
                    let transfer = processes[*from].roster.transfer_for(&processes[*to].roster.request(), NOW);
                    // A process that has read nothing sends nothing.
                    if transfer.extent.end() > 0 {
                        processes[*to].late = Some(transfer);
                        if matches!(step, Step::Ask(..)) {
                            processes[*to].run(&Step::Deliver(*to), &log);
                        }
                    }
                }
                Step::Read(at) | Step::ReadFirstPage(at) | Step::ReadRemainingPages(at) | Step::Deliver(at) | Step::Restart(at) => {
                    processes[*at].run(&step, &log);
                }
            }
            processes.iter().try_for_each(|process| check(process, &log, false))?;
        }
        // One process reads the rest of the log for all.
        for is_beaten in [false, true] {
            if is_beaten {
                log.beat();
            }
            processes[0].read(&log);
            for receiver in 1..PROCESSES {
                let (reader, followers) = processes.split_at_mut(1);
                send(&reader[0].roster, &mut followers[receiver - 1].roster);
            }
            processes.iter().try_for_each(|process| check(process, &log, is_beaten))?;
        }
    }
}
