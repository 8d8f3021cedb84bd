//! Deduplication of replica terminations that several processes with different clocks observe and report to each
//! other.

use std::collections::BTreeSet;
use std::time::Duration;

use coord::end::{Age, Ends, Span};
use coord::name::Name;
use coord::time::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const ENTRIES: usize = 4;
const REPLICAS: usize = 3;
/// Maximum transit time of a report, in milliseconds; connections time out after 450 ms.
const LONGEST_WAY_MS: u64 = 450;

fn at(ms: u64) -> Moment {
    Moment::from_millis(100_000 + ms)
}

fn span(after: u64, by: u64) -> Span {
    Span { after: at(after), by: at(by) }
}

fn saw(ends: &mut Ends, replica: &str, after: u64, by: u64) -> Name {
    ends.saw(&replica.into(), None, span(after, by)).0
}

/// Reports `run` from `from` to `ends`, which share a clock, with a transit time of `way` milliseconds.
fn hear(ends: &mut Ends, from: &Ends, run: &Name, sent: u64, way: u64) -> Name {
    let age = Age::of(&from.span(run).expect("it is known"), at(sent));
    ends.heard(run, age.span(at(sent + way)))
}

#[test]
fn an_end_that_is_seen_after_another_was_heard_of_is_a_new_one() {
    let (mut saw_it, mut heard_of_it) = (Ends::new("a"), Ends::new("b"));
    let first = saw(&mut saw_it, "r", 0, 100);
    assert_eq!(hear(&mut heard_of_it, &saw_it, &first, 100, 20), first);
    let second = saw(&mut heard_of_it, "r", 1_800, 1_900);
    assert_ne!(second, first);
    assert_eq!(hear(&mut saw_it, &heard_of_it, &second, 1_900, 20), second);
}

#[test]
fn one_end_that_two_see_is_one_though_one_of_them_saw_another_before() {
    let (mut a, mut b) = (Ends::new("a"), Ends::new("b"));
    let earlier = saw(&mut a, "r", 0, 100);
    let (of_a, of_b) = (saw(&mut a, "r", 2_000, 2_100), saw(&mut b, "r", 1_950, 2_090));
    assert_eq!(hear(&mut b, &a, &of_a, 2_100, 20), of_b);
    assert_eq!(hear(&mut a, &b, &of_b, 2_100, 20), of_a);
    assert_eq!(hear(&mut b, &a, &earlier, 2_100, 20), earlier, "that one is another");
}

#[test]
fn who_heard_of_one_end_under_two_names_knows_one() {
    let (mut a, mut b, mut c) = (Ends::new("a"), Ends::new("b"), Ends::new("c"));
    let (of_a, of_b) = (saw(&mut a, "r", 2_000, 2_100), saw(&mut b, "r", 1_950, 2_090));
    assert_eq!(hear(&mut c, &a, &of_a, 2_100, 10), of_a);
    assert_eq!(hear(&mut c, &b, &of_b, 2_100, 400), of_a);
    assert_eq!(hear(&mut c, &a, &of_a, 9_000, 10), of_a, "told again, later");
}

#[test]
fn what_one_process_tells_apart_stays_two() {
    let (mut a, mut b) = (Ends::new("a"), Ends::new("b"));
    let (first, second) = (saw(&mut a, "r", 0, 20), saw(&mut a, "r", 300, 320));
    assert_ne!(hear(&mut b, &a, &first, 320, 10), hear(&mut b, &a, &second, 320, 10));
}

#[test]
fn a_connection_that_was_found_lost_late_belongs_to_the_run_that_it_was_sent_to() {
    let mut ends = Ends::new("a");
    let (first, second) = (saw(&mut ends, "r", 0, 20), saw(&mut ends, "r", 1_000, 1_020));
    assert_eq!(saw(&mut ends, "r", 10, 5_000), first);
    assert_eq!(saw(&mut ends, "r", 900, 5_000), second);
}

#[test]
fn starts_that_records_tell_tell_runs_apart() {
    let (mut a, mut b) = (Ends::new("a"), Ends::new("b"));
    let (first, _) = a.saw(&"r".into(), Some(7), span(0, 20));
    let (second, _) = b.saw(&"r".into(), Some(8), span(0, 30));
    assert_ne!(hear(&mut a, &b, &second, 30, 10), first);
    // A start time in a record that lags behind the restart distinguishes nothing.
    let (third, is_new) = a.saw(&"r".into(), Some(7), span(900, 920));
    assert!(is_new && third != first, "{third}");
}

#[test]
fn what_stands_in_the_store_is_not_what_is_seen_after_it_was_read() {
    let mut ends = Ends::new("b");
    let stored: Name = "r~a-0".into();
    assert_eq!(ends.heard(&stored, Span::before(at(50))), stored);
    assert_ne!(saw(&mut ends, "r", 60, 80), stored);
    // A termination observed before the store was read may be the stored one.
    let own = saw(&mut ends, "q", 10, 40);
    assert_eq!(ends.heard(&"q~a-1".into(), Span::before(at(50))), own);
}

#[test]
fn names_of_another_form_are_those_of_replicas() {
    let mut ends = Ends::new("b");
    let old: Name = "engine-3/2".into();
    assert_eq!(ends.heard(&old, span(0, 20)), old);
    assert_eq!(ends.heard(&old, span(500, 520)), old);
    for odd in ["", "~", "@", "-", "r~", "r~-", "r@~x-", "r@x~y-1"] {
        ends.heard(&odd.into(), span(0, 20));
    }
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut ends = Ends::new("a");
    let runs: Vec<Name> = (0..1_000).map(|number| saw(&mut ends, "r", number * 100, number * 100 + 10)).collect();
    let known = runs.iter().filter(|run| ends.span(run).is_some()).count();
    assert!((16..=64).contains(&known), "{known}");
    ends.keep(|replica| replica != "r");
    assert_eq!(ends.replicas(), 0);
}

/// Report of a termination in transit to another process.
struct Word {
    comes_at: u64,
    to: usize,
    run: Name,
    age: Age,
    end: usize,
}

/// Simulates replicas whose terminations several processes observe and report to each other, with clocks that differ
/// by hours.
fn play(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut entries: Vec<Ends> = (0..ENTRIES).map(|entry| Ends::new(format!("{entry}"))).collect();
    let clock = |entry: usize, ms: u64| Moment::from_millis(100_000 + ms) + Duration::from_secs(3_600 * entry as u64);
    // Names of each termination at each entry.
    let mut names: Vec<Vec<BTreeSet<Name>>> = vec![Vec::new(); ENTRIES];
    let mut words: Vec<Word> = Vec::new();
    let mut next_end = [0; REPLICAS];
    let mut ends = 0;
    for now in (0..120_000).step_by(10) {
        for word in words.extract_if(.., |word| word.comes_at <= now) {
            let name = entries[word.to].heard(&word.run, word.age.span(clock(word.to, now)));
            names[word.to][word.end].insert(name);
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
                let span = Span { after: clock(entry, sent), by: clock(entry, now) };
                let (run, _) = entries[entry].saw(&id, None, span);
                names[entry][ends].insert(run.clone());
                for to in (0..ENTRIES).filter(|to| *to != entry) {
                    let comes_at = now + random.random_range(0..LONGEST_WAY_MS);
                    words.push(Word {
                        comes_at,
                        to,
                        run: run.clone(),
                        age: Age::of(&span, clock(entry, now)),
                        end: ends,
                    });
                }
            }
            ends += 1;
        }
    }
    for (entry, names) in names.iter().enumerate() {
        let mut all = BTreeSet::new();
        for (end, of_end) in names.iter().enumerate() {
            assert!(of_end.len() <= 1, "seed {seed}: end {end} counts more than once at entry {entry}: {of_end:?}");
            for name in of_end {
                assert!(all.insert(name.clone()), "seed {seed}: {name} is the name of two ends at entry {entry}");
            }
        }
    }
}

#[test]
fn each_end_counts_once_everywhere_whoever_saw_it_and_however_late_others_hear() {
    (0..50).for_each(play);
}
