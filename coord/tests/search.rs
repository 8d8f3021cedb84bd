//! Processes that search for a leader at the same time find the same one with few attempts.

use std::collections::BTreeSet;
use std::time::Duration;

use coord::search::{LeaderSearch, MAX_CANDIDATES_PER_ROUND};
use coord::time::Moment;
use proptest::prelude::*;

/// Time between two rounds of one process.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// Simulates `count` processes that search for the first one in `alive` until time `until`. Returns the number of
/// failed attempts and the time at which the last process found the leader. A process ranks behind all processes with
/// a lower index.
fn simulate(count: usize, alive: &BTreeSet<usize>, until: Moment) -> (usize, Option<Moment>) {
    let mut searches: Vec<LeaderSearch<usize>> = (0..count).map(|_| LeaderSearch::default()).collect();
    let mut failed_attempts = 0;
    let mut searching: BTreeSet<usize> = alive.iter().copied().skip(1).collect();
    let leader = alive.first().copied();
    let mut now = Moment::from_millis(1_000);
    let mut last = None;
    while now < until && !searching.is_empty() {
        for process in searching.clone() {
            for candidate in searches[process].next_candidates(0..process, now) {
                if Some(candidate) == leader {
                    searching.remove(&process);
                    last = Some(now);
                    break;
                }
                // A process without a leader is not a leader itself, and a dead process does not respond.
                failed_attempts += 1;
                let jitter = 0.75 + (process % 11) as f64 / 20.0;
                searches[process].record_failure(candidate, jitter, now);
            }
        }
        now = now + ROUND_INTERVAL;
    }
    (failed_attempts, last.filter(|_| searching.is_empty()))
}

/// Two processes lose their leader, which still ranks first in the list, and the first of them follows the second.
/// Simulates the first one's rounds, each of which ends with a question to the second unless the first was appointed.
/// Returns the number of times that the first one starts to follow the second, and the time at which the second finds
/// that the first one leads.
fn simulate_mutual_followers() -> (usize, Option<Moment>) {
    const LOST_LEADER: usize = 0;
    const FIRST: usize = 1;
    let mut first = LeaderSearch::default();
    let mut second = LeaderSearch::default();
    let mut now = Moment::from_millis(1_000);
    let mut times_followed = 0;
    // The second has just tried the first, which followed it.
    second.record_failure(FIRST, 1.0, now);
    while now < Moment::from_millis(3_000) {
        for candidate in first.next_candidates([LOST_LEADER], now) {
            first.record_failure(candidate, 1.0, now);
        }
        if !first.is_appointed() {
            times_followed += 1;
            first.record_leader();
            first.record_appointment();
        }
        let candidates = second.next_candidates([LOST_LEADER, FIRST], now);
        if candidates.contains(&FIRST) && first.is_appointed() {
            return (times_followed, Some(now));
        }
        candidates.into_iter().for_each(|candidate| second.record_failure(candidate, 1.0, now));
        now = now + Duration::from_millis(2);
    }
    (times_followed, None)
}

#[test]
fn an_appointed_process_leads_and_asks_nobody() {
    let (times_followed, found_at) = simulate_mutual_followers();
    assert_eq!(times_followed, 1, "the first process follows the second once");
    assert!(found_at.is_some_and(|at| at < Moment::from_millis(2_000)), "{found_at:?}");
}

#[test]
fn an_appointed_process_that_finds_a_leader_is_a_follower_again() {
    let mut search = LeaderSearch::default();
    search.record_appointment();
    assert_eq!(search.next_candidates([0, 1], Moment::from_millis(1_000)), vec![0, 1], "those ahead are still tried");
    search.record_leader();
    assert!(!search.is_appointed());
}

#[test]
fn without_a_leader_a_hundred_processes_make_few_attempts() {
    // None of the highest-ranked processes can lead because all wait for the store, for 8 s.
    let count = 103;
    let mut searches: Vec<LeaderSearch<usize>> = (0..count).map(|_| LeaderSearch::default()).collect();
    let mut attempts = 0;
    let mut now = Moment::from_millis(1_000);
    while now < Moment::from_millis(9_000) {
        for (process, search) in searches.iter_mut().enumerate() {
            for candidate in search.next_candidates(0..process.min(MAX_CANDIDATES_PER_ROUND), now) {
                attempts += 1;
                search.record_failure(candidate, 1.0, now);
            }
        }
        now = now + ROUND_INTERVAL;
    }
    assert!(attempts <= count * MAX_CANDIDATES_PER_ROUND * 5, "{attempts} attempts in 8 s");
}

proptest! {
    #[test]
    fn all_processes_find_the_first_one_alive(dead in prop::collection::btree_set(0..103usize, 0..60)) {
        let alive: BTreeSet<usize> = (0..103).filter(|process| !dead.contains(process)).collect();
        let first = *alive.first().unwrap_or(&0);
        let (failed_attempts, last) = simulate(103, &alive, Moment::from_millis(60_000));
        prop_assert!(last.is_some(), "a process never found the leader");
        // A round eliminates up to `MAX_CANDIDATES_PER_ROUND` dead candidates.
        let rounds = first / MAX_CANDIDATES_PER_ROUND + 1;
        let rounds = 2 * rounds + 1;
        let deadline = Duration::from_millis(1_000) + ROUND_INTERVAL * rounds as u32;
        prop_assert!(last.unwrap_or_default() <= Moment::ZERO + deadline, "{last:?}, first {first}");
        prop_assert!(failed_attempts <= 103 * MAX_CANDIDATES_PER_ROUND * rounds, "{failed_attempts} failed attempts");
    }

    #[test]
    fn a_round_is_short_and_in_the_order_of_ranks(failures in prop::collection::vec((0..20u8, 0..4_000u64), 0..60)) {
        let mut search = LeaderSearch::default();
        let mut now = Moment::from_millis(1_000);
        for (candidate, wait) in failures {
            search.record_failure(candidate, 1.0, now);
            prop_assert!(!search.next_candidates([candidate], now).contains(&candidate), "a failed candidate is skipped at first");
            now = now + Duration::from_millis(wait);
            let round = search.next_candidates(0..20u8, now);
            prop_assert!(round.len() <= MAX_CANDIDATES_PER_ROUND && round.is_sorted());
        }
        search.reset();
        prop_assert_eq!(search.next_candidates(0..20u8, now), vec![0, 1, 2]);
    }
}
