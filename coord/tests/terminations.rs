//! Deduplication of replica terminations that several processes with different clocks observe and report to each
//! other.

use std::collections::BTreeSet;
use std::time::Duration;

use coord::name::Name;
use coord::termination::{Interval, IntervalAge, Terminations};
use coord::time::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const ENTRIES: usize = 4;
const REPLICAS: usize = 3;
/// Maximum transit time of a report, in milliseconds; connections time out after 450 ms.
const MAX_TRANSIT_MS: u64 = 450;

fn at(ms: u64) -> Moment {
    Moment::from_millis(100_000 + ms)
}

fn span(after: u64, by: u64) -> Interval {
    Interval { not_before: at(after), not_after: at(by) }
}

fn observe(terminations: &mut Terminations, replica: &str, after: u64, by: u64) -> Name {
    terminations.record_observed(&replica.into(), None, span(after, by)).0
}

/// Reports `run` from `from` to `terminations`, which share a clock, with a transit time of `transit_ms`.
fn report_to(terminations: &mut Terminations, from: &Terminations, run: &Name, sent: u64, transit_ms: u64) -> Name {
    let age = IntervalAge::of(&from.interval(run).expect("the termination is recorded"), at(sent));
    terminations.record_reported(run, age.interval(at(sent + transit_ms)))
}

#[test]
fn a_termination_observed_after_another_was_reported_is_a_new_one() {
    let (mut observer, mut receiver) = (Terminations::new("a"), Terminations::new("b"));
    let first = observe(&mut observer, "r", 0, 100);
    assert_eq!(report_to(&mut receiver, &observer, &first, 100, 20), first);
    let second = observe(&mut receiver, "r", 1_800, 1_900);
    assert_ne!(second, first);
    assert_eq!(report_to(&mut observer, &receiver, &second, 1_900, 20), second);
}

#[test]
fn a_termination_observed_by_two_processes_counts_once_despite_an_earlier_one() {
    let (mut a, mut b) = (Terminations::new("a"), Terminations::new("b"));
    let earlier = observe(&mut a, "r", 0, 100);
    let (of_a, of_b) = (observe(&mut a, "r", 2_000, 2_100), observe(&mut b, "r", 1_950, 2_090));
    assert_eq!(report_to(&mut b, &a, &of_a, 2_100, 20), of_b);
    assert_eq!(report_to(&mut a, &b, &of_b, 2_100, 20), of_a);
    assert_eq!(report_to(&mut b, &a, &earlier, 2_100, 20), earlier, "the earlier termination stays distinct");
}

#[test]
fn a_termination_reported_under_two_names_counts_once() {
    let (mut a, mut b, mut c) = (Terminations::new("a"), Terminations::new("b"), Terminations::new("c"));
    let (of_a, of_b) = (observe(&mut a, "r", 2_000, 2_100), observe(&mut b, "r", 1_950, 2_090));
    assert_eq!(report_to(&mut c, &a, &of_a, 2_100, 10), of_a);
    assert_eq!(report_to(&mut c, &b, &of_b, 2_100, 400), of_a);
    assert_eq!(report_to(&mut c, &a, &of_a, 9_000, 10), of_a, "reported again, later");
}

#[test]
fn terminations_that_one_process_distinguishes_stay_distinct() {
    let (mut a, mut b) = (Terminations::new("a"), Terminations::new("b"));
    let (first, second) = (observe(&mut a, "r", 0, 20), observe(&mut a, "r", 300, 320));
    assert_ne!(report_to(&mut b, &a, &first, 320, 10), report_to(&mut b, &a, &second, 320, 10));
}

#[test]
fn a_connection_loss_found_late_belongs_to_the_run_that_received_the_request() {
    let mut terminations = Terminations::new("a");
    let (first, second) = (observe(&mut terminations, "r", 0, 20), observe(&mut terminations, "r", 1_000, 1_020));
    assert_eq!(observe(&mut terminations, "r", 10, 5_000), first);
    assert_eq!(observe(&mut terminations, "r", 900, 5_000), second);
}

#[test]
fn start_times_in_records_distinguish_runs() {
    let (mut a, mut b) = (Terminations::new("a"), Terminations::new("b"));
    let (first, _) = a.record_observed(&"r".into(), Some(7), span(0, 20));
    let (second, _) = b.record_observed(&"r".into(), Some(8), span(0, 30));
    assert_ne!(report_to(&mut a, &b, &second, 30, 10), first);
    // A start time in a record that lags behind the restart distinguishes nothing.
    let (third, is_new) = a.record_observed(&"r".into(), Some(7), span(900, 920));
    assert!(is_new && third != first, "{third}");
}

#[test]
fn a_stored_termination_differs_from_one_observed_after_the_store_was_read() {
    let mut terminations = Terminations::new("b");
    let stored: Name = "r~a-0".into();
    assert_eq!(terminations.record_reported(&stored, Interval::before(at(50))), stored);
    assert_ne!(observe(&mut terminations, "r", 60, 80), stored);
    // A termination observed before the store was read may be the stored one.
    let own = observe(&mut terminations, "q", 10, 40);
    assert_eq!(terminations.record_reported(&"q~a-1".into(), Interval::before(at(50))), own);
}

#[test]
fn names_in_another_format_are_replica_names() {
    let mut terminations = Terminations::new("b");
    let old: Name = "engine-3/2".into();
    assert_eq!(terminations.record_reported(&old, span(0, 20)), old);
    assert_eq!(terminations.record_reported(&old, span(500, 520)), old);
    for name in ["", "~", "@", "-", "r~", "r~-", "r@~x-", "r@x~y-1"] {
        terminations.record_reported(&name.into(), span(0, 20));
    }
}

#[test]
fn the_number_of_recorded_terminations_is_bounded() {
    let mut terminations = Terminations::new("a");
    let runs: Vec<Name> =
        (0..1_000).map(|number| observe(&mut terminations, "r", number * 100, number * 100 + 10)).collect();
    let known = runs.iter().filter(|run| terminations.interval(run).is_some()).count();
    assert!((16..=64).contains(&known), "{known}");
    terminations.retain(|replica| replica != "r");
    assert_eq!(terminations.replica_count(), 0);
}

/// Report of a termination in transit to another process.
struct Report {
    arrives_at: u64,
    receiver: usize,
    run: Name,
    age: IntervalAge,
    termination: usize,
}

/// Simulates replicas whose terminations several processes observe and report to each other, with clocks that differ
/// by hours.
fn simulate(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut registries: Vec<Terminations> = (0..ENTRIES).map(|entry| Terminations::new(format!("{entry}"))).collect();
    let clock = |entry: usize, ms: u64| Moment::from_millis(100_000 + ms) + Duration::from_secs(3_600 * entry as u64);
    // Names of each termination at each entry.
    let mut names: Vec<Vec<BTreeSet<Name>>> = vec![Vec::new(); ENTRIES];
    let mut reports: Vec<Report> = Vec::new();
    let mut next_end = [0; REPLICAS];
    let mut termination_count = 0;
    for now in (0..120_000).step_by(10) {
        for report in reports.extract_if(.., |report| report.arrives_at <= now) {
            let name = registries[report.receiver]
                .record_reported(&report.run, report.age.interval(clock(report.receiver, now)));
            names[report.receiver][report.termination].insert(name);
        }
        for (replica, next) in next_end.iter_mut().enumerate() {
            if now < *next {
                continue;
            }
            // The replica restarts, runs for a while and terminates.
            *next = now + random.random_range(1_200..6_000);
            names.iter_mut().for_each(|names| names.push(BTreeSet::new()));
            let id: Name = format!("r{replica}").into();
            for entry in (0..ENTRIES).filter(|_| random.random_bool(0.6)).collect::<Vec<_>>() {
                let sent = now.saturating_sub(random.random_range(0..200));
                let span = Interval { not_before: clock(entry, sent), not_after: clock(entry, now) };
                let (run, _) = registries[entry].record_observed(&id, None, span);
                names[entry][termination_count].insert(run.clone());
                for receiver in (0..ENTRIES).filter(|receiver| *receiver != entry) {
                    let arrives_at = now + random.random_range(0..MAX_TRANSIT_MS);
                    reports.push(Report {
                        arrives_at,
                        receiver,
                        run: run.clone(),
                        age: IntervalAge::of(&span, clock(entry, now)),
                        termination: termination_count,
                    });
                }
            }
            termination_count += 1;
        }
    }
    for (entry, names) in names.iter().enumerate() {
        let mut all = BTreeSet::new();
        for (termination, of_termination) in names.iter().enumerate() {
            assert!(
                of_termination.len() <= 1,
                "seed {seed}: termination {termination} counts more than once at entry {entry}: {of_termination:?}"
            );
            for name in of_termination {
                assert!(
                    all.insert(name.clone()),
                    "seed {seed}: {name} is the name of two terminations at entry {entry}"
                );
            }
        }
    }
}

#[test]
fn each_termination_counts_once_whoever_observes_it_and_however_late_reports_arrive() {
    (0..50).for_each(simulate);
}
