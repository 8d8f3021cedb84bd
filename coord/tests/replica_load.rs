//! Simulates bursts of short requests that many entries send to a few replicas, none of them aware of the others.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use coord::pick::rendezvous;
use coord::replica_load;
use coord::time::Moment;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENTRIES: usize = 24;
const REPLICAS: [&str; 3] = ["replica-0", "replica-1", "replica-2"];
const SLOTS: u32 = 6;
const SERVICE_TIME_US: u64 = 20_000;
const BURST_INTERVAL_US: u64 = 2_000_000;
const BURSTS: u64 = 200;
/// Requests between two bursts, which leave each entry with a report of a nearly idle replica.
const SINGLE_REQUESTS: usize = 30;
/// Time within which the requests of a burst arrive.
const BURST_SPREAD_US: u64 = 10_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The first replica restarts.
    Restart,
    /// A request arrives at an entry.
    Arrival { entry: usize },
    /// A request reaches a replica.
    Delivery { entry: usize, replica: usize },
    /// A replica completes a request.
    End { entry: usize, replica: usize },
    /// A response with the replica's load reaches the entry.
    Response { entry: usize, replica: usize, load: u32, is_refusal: bool },
}

/// Order by which an entry selects a replica.
type Key = fn(&replica_load::Load, usize, &str, Moment) -> (bool, u32, u32, u64);

fn by_reports(load: &replica_load::Load, _: usize, replica: &str, _: Moment) -> (bool, u32, u32, u64) {
    (false, load.own_requests(), load.reported_requests(), rendezvous(0, replica))
}

fn by_estimate(load: &replica_load::Load, entry: usize, replica: &str, now: Moment) -> (bool, u32, u32, u64) {
    let rank = load.rank(now);
    (rank.is_full, rank.requests, 0, rendezvous(entry as u64, replica))
}

/// Pattern of the requests.
#[derive(Clone, Copy, Debug)]
struct Pattern {
    /// Number of requests in a burst.
    burst_size: usize,
    /// Time that a message takes each way, in microseconds.
    delay_us: u64,
    /// Whether a replica restarts before each burst.
    restarts: bool,
}

/// Returns the share of the requests that meet a full replica. A refused request is not sent again.
fn full_share(pattern: Pattern, key: Key) -> f64 {
    let Pattern { burst_size, delay_us, restarts } = pattern;
    let mut rng = StdRng::seed_from_u64(1);
    let mut loads = vec![[replica_load::Load::default(); REPLICAS.len()]; ENTRIES];
    let mut running = [0; REPLICAS.len()];
    let (mut sent, mut refused) = (0, 0);
    let mut queue = BinaryHeap::new();
    for burst in 1..=BURSTS {
        if restarts {
            queue.push(Reverse((burst * BURST_INTERVAL_US, sent, Event::Restart)));
        }
        for index in 0..SINGLE_REQUESTS + burst_size {
            let spread_us = if index < SINGLE_REQUESTS { BURST_INTERVAL_US } else { BURST_SPREAD_US };
            let at = burst * BURST_INTERVAL_US + rng.random_range(0..spread_us);
            queue.push(Reverse((at, sent, Event::Arrival { entry: rng.random_range(0..ENTRIES) })));
            sent += 1;
        }
    }
    while let Some(Reverse((at, number, event))) = queue.pop() {
        let now = Moment::from_micros(at);
        let next = match event {
            Event::Restart => {
                loads.iter_mut().for_each(|loads| loads[0].forget_reports());
                continue;
            }
            Event::Arrival { entry } => {
                let best =
                    (0..REPLICAS.len()).min_by_key(|index| key(&loads[entry][*index], entry, REPLICAS[*index], now));
                let replica = best.expect("there are replicas");
                loads[entry][replica].begin_request();
                (delay_us, Event::Delivery { entry, replica })
            }
            Event::Delivery { entry, replica } if running[replica] == SLOTS => {
                refused += 1;
                (delay_us, Event::Response { entry, replica, load: SLOTS, is_refusal: true })
            }
            Event::Delivery { entry, replica } => {
                running[replica] += 1;
                (SERVICE_TIME_US, Event::End { entry, replica })
            }
            Event::End { entry, replica } => {
                let load = running[replica];
                running[replica] -= 1;
                (delay_us, Event::Response { entry, replica, load, is_refusal: false })
            }
            Event::Response { entry, replica, load, is_refusal } => {
                let known = &mut loads[entry][replica];
                known.record_report(load, now);
                known.end_request();
                if is_refusal {
                    known.record_refusal(now);
                }
                continue;
            }
        };
        queue.push(Reverse((at + next.0, number, next.1)));
    }
    f64::from(refused) / f64::from(sent)
}

/// Returns the shares of the requests that meet a full replica, by estimate and by reports.
fn compare(burst_size: usize, delay_us: u64, restarts: bool) -> (f64, f64) {
    let pattern = Pattern { burst_size, delay_us, restarts };
    let shares = (full_share(pattern, by_estimate), full_share(pattern, by_reports));
    eprintln!("{pattern:?} {shares:.3?}");
    shares
}

#[test]
fn in_bursts_no_more_requests_meet_a_full_replica() {
    for (size, delay_us) in [(12, 1_000), (12, 5_000), (18, 1_000), (18, 5_000)] {
        let (with, without) = compare(size, delay_us, false);
        assert!(with <= without, "{with:.3} in place of {without:.3} in bursts of {size}");
    }
}

#[test]
fn after_a_restart_not_all_entries_send_to_the_same_replica() {
    for (size, delay_us) in [(9, 1_000), (12, 1_000), (12, 5_000)] {
        let (with, without) = compare(size, delay_us, true);
        assert!(with <= without / 2.0, "{with:.3} in place of {without:.3} in bursts of {size}");
    }
}

#[test]
fn an_old_report_and_an_old_refusal_say_nothing() {
    let second = |second: u64| Moment::from_millis(second * 1_000);
    let mut load = replica_load::Load::default();
    load.record_report(SLOTS, second(1));
    load.record_refusal(second(1));
    assert!(load.rank(second(1)) > replica_load::Load::default().rank(second(1)));
    assert_eq!(load.rank(second(3)), replica_load::Load::default().rank(second(3)));
}

#[test]
fn own_requests_count_once() {
    let now = Moment::from_millis(1_000);
    let mut load = replica_load::Load::default();
    (0..3).for_each(|_| load.begin_request());
    load.record_report(5, now);
    assert_eq!(load.rank(now).requests, 5);
    load.end_request();
    assert_eq!(load.rank(now).requests, 4);
}

#[test]
fn a_replica_that_reports_the_largest_load_is_selected_last() {
    let now = Moment::from_millis(1_000);
    let mut load = replica_load::Load::default();
    load.record_report(u32::MAX, now);
    (0..3).for_each(|_| load.begin_request());
    assert_eq!(load.rank(now).requests, u32::MAX);
}
