//! Who gives way when callers hold more than a pool has.

use std::time::Duration;

use coord::pool::{Bounds, FULL_PROGRESS_TIME, Grant, HolderId, MIN_PROGRESS_RATE, Pool, Stage};
use coord::time::Moment;
use proptest::prelude::*;

const START: Moment = Moment::from_millis(1_000_000);
const CAPACITY: u64 = 1_000_000;
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

fn pool() -> Pool {
    Pool::new(Bounds { capacity: CAPACITY, small_reserve: 100_000, small_amount: 10_000, stall_timeout: STALL_TIMEOUT })
}

fn hold(pool: &mut Pool, stage: Stage, amount: u64, now: Moment) -> HolderId {
    let id = pool.open(stage, now);
    assert_eq!(pool.grow(id, amount, now), Grant::Granted);
    id
}

#[test]
fn a_stalled_holder_gives_way_and_counts_until_it_is_closed() {
    let mut pool = pool();
    let stalled = hold(&mut pool, Stage::Caller, 900_000, START);
    let asker = pool.open(Stage::Caller, START);
    assert_eq!(pool.grow(asker, 500_000, START + STALL_TIMEOUT / 2), Grant::Wait);
    assert!(pool.take_evicted().is_empty(), "nobody has stalled yet");
    let later = START + STALL_TIMEOUT;
    assert_eq!(pool.grow(asker, 500_000, later), Grant::Wait, "its memory is not free yet");
    assert_eq!(pool.take_evicted(), [stalled]);
    assert_eq!(pool.grow(stalled, 900_001, later), Grant::Gone);
    pool.close(stalled);
    assert_eq!(pool.grow(asker, 500_000, later), Grant::Granted);
}

#[test]
fn a_byte_now_and_then_is_no_progress_and_a_steady_caller_never_stalls() {
    let mut pool = pool();
    let dripping = hold(&mut pool, Stage::Caller, 400_000, START);
    let steady = hold(&mut pool, Stage::Caller, 400_000, START);
    let mut now = START;
    for _ in 0..100 {
        now = now + Duration::from_millis(100);
        pool.record_progress(dripping, 1, now);
        pool.record_progress(steady, 400_000 / FULL_PROGRESS_TIME.as_secs() / 10, now);
    }
    assert!(pool.lag(dripping, now) >= STALL_TIMEOUT);
    assert!(pool.lag(steady, now) < Duration::from_millis(200), "{:?}", pool.lag(steady, now));
    let asker = pool.open(Stage::Caller, now);
    pool.grow(asker, 300_000, now);
    assert_eq!(pool.take_evicted(), [dripping]);
}

#[test]
fn a_large_holder_has_to_progress_faster_than_a_small_one() {
    let mut pool = pool();
    let (large, small) = (hold(&mut pool, Stage::Caller, 800_000, START), hold(&mut pool, Stage::Caller, 1_000, START));
    let now = START + Duration::from_secs(10);
    for id in [large, small] {
        pool.record_progress(id, 10 * MIN_PROGRESS_RATE, now);
    }
    assert!(pool.lag(large, now) >= STALL_TIMEOUT);
    assert_eq!(pool.lag(small, now), Duration::ZERO);
}

#[test]
fn what_is_large_and_stalled_longest_gives_way_first_and_no_more_than_needed() {
    let mut pool = pool();
    let small = hold(&mut pool, Stage::Caller, 1_000, START);
    let large = hold(&mut pool, Stage::Caller, 600_000, START);
    let newer = hold(&mut pool, Stage::Caller, 290_000, START + STALL_TIMEOUT / 2);
    let now = START + 3 * STALL_TIMEOUT;
    let asker = pool.open(Stage::Caller, now);
    pool.grow(asker, 500_000, now);
    assert_eq!(pool.take_evicted(), [large]);
    pool.close(large);
    assert_eq!(pool.grow(asker, 500_000, now), Grant::Granted);
    assert!(pool.lag(small, now) > Duration::ZERO && pool.lag(newer, now) > Duration::ZERO, "both are still there");
}

#[test]
fn complete_requests_never_give_way_and_idle_ones_do_after_the_stalled() {
    let mut pool = Pool::new(Bounds::new(3, STALL_TIMEOUT));
    let working = hold(&mut pool, Stage::Process, 1, START);
    let idle = hold(&mut pool, Stage::Idle, 1, START);
    let stalled = hold(&mut pool, Stage::Caller, 1, START + STALL_TIMEOUT);
    let now = START + 10 * STALL_TIMEOUT;
    let asker = pool.open(Stage::Caller, now);
    let mut given_way = Vec::new();
    for _ in 0..3 {
        while pool.grow(asker, 1, now) == Grant::Wait {
            let evicted = pool.take_evicted();
            if evicted.is_empty() {
                break;
            }
            evicted.iter().for_each(|id| pool.close(*id));
            given_way.extend(evicted);
        }
        let again = hold_if_possible(&mut pool, now);
        given_way.extend(again);
    }
    assert_eq!(given_way, [stalled, idle]);
    assert!(!given_way.contains(&working));
}

/// Asks for one more unit and returns who gave way for it.
fn hold_if_possible(pool: &mut Pool, now: Moment) -> Vec<HolderId> {
    let id = pool.open(Stage::Process, now);
    pool.grow(id, 1, now);
    let evicted = pool.take_evicted();
    evicted.iter().for_each(|id| pool.close(*id));
    pool.grow(id, 1, now);
    evicted
}

#[test]
fn a_crowd_that_begins_and_does_not_finish_displaces_no_idle_holder() {
    let mut pool = Pool::new(Bounds::new(10, STALL_TIMEOUT));
    let idle = hold(&mut pool, Stage::Idle, 1, START);
    let begun: Vec<HolderId> = (0..9).map(|_| hold(&mut pool, Stage::Caller, 1, START + STALL_TIMEOUT)).collect();
    let newcomer = pool.open(Stage::Caller, START + STALL_TIMEOUT);
    assert_eq!(pool.grow(newcomer, 1, START + STALL_TIMEOUT), Grant::Wait);
    assert!(pool.take_evicted().is_empty());
    assert_eq!(pool.grow(newcomer, 1, START + 2 * STALL_TIMEOUT), Grant::Wait);
    assert_eq!(pool.take_evicted(), begun[..1]);
    assert_eq!(pool.lag(idle, START + 2 * STALL_TIMEOUT), 2 * STALL_TIMEOUT, "it is still there");
}

#[test]
fn two_growing_holders_do_not_wait_for_each_other() {
    let mut pool = pool();
    let older = hold(&mut pool, Stage::Caller, 400_000, START);
    let younger = hold(&mut pool, Stage::Caller, 400_000, START);
    assert_eq!(pool.grow(younger, 800_000, START), Grant::Wait);
    assert!(pool.take_evicted().is_empty(), "the younger one waits for the older one");
    assert_eq!(pool.grow(older, 800_000, START), Grant::Wait);
    assert_eq!(pool.take_evicted(), [younger]);
    pool.close(younger);
    assert_eq!(pool.grow(older, 800_000, START), Grant::Granted);
}

#[test]
fn a_small_holder_has_room_beside_large_ones_that_hold_everything_else() {
    let mut pool = pool();
    hold(&mut pool, Stage::Process, 900_000, START);
    let large = pool.open(Stage::Caller, START);
    assert_eq!(pool.grow(large, 50_000, START), Grant::Wait);
    hold(&mut pool, Stage::Caller, 10_000, START);
    assert!(!pool.can_ever_fit(900_001) && pool.can_ever_fit(900_000));
}

#[test]
fn a_holder_that_waits_for_room_does_not_stall() {
    let mut pool = pool();
    hold(&mut pool, Stage::Process, 800_000, START);
    let waiting = hold(&mut pool, Stage::Caller, 50_000, START);
    assert_eq!(pool.grow(waiting, 200_000, START), Grant::Wait);
    let now = START + 5 * STALL_TIMEOUT;
    let asker = pool.open(Stage::Caller, now);
    assert_eq!(pool.grow(asker, 200_000, now), Grant::Wait);
    assert!(pool.take_evicted().is_empty());
    pool.stop_waiting(waiting);
    pool.grow(asker, 200_000, now);
    assert_eq!(pool.take_evicted(), [waiting], "one that waits no longer does");
}

#[derive(Clone, Debug)]
enum Step {
    Open(u8),
    Grow(usize, u64),
    Progress(usize, u64),
    Stage(usize, u8),
    Close(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3_u8).prop_map(Step::Open),
        (0..12_usize, 1..CAPACITY).prop_map(|(index, amount)| Step::Grow(index, amount)),
        (0..12_usize, 0..100_000_u64).prop_map(|(index, bytes)| Step::Progress(index, bytes)),
        (0..12_usize, 0..3_u8).prop_map(|(index, stage)| Step::Stage(index, stage)),
        (0..12_usize).prop_map(Step::Close),
        (0..3_000_u64).prop_map(Step::Wait),
    ]
}

fn stage_of(number: u8) -> Stage {
    [Stage::Idle, Stage::Caller, Stage::Process][usize::from(number)]
}

proptest! {
    #[test]
    fn the_capacity_is_never_exceeded_and_complete_requests_keep_what_they_hold(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let (mut pool, mut now) = (pool(), START);
        let mut holders: Vec<(HolderId, Stage, u64)> = Vec::new();
        for step in steps {
            match step {
                Step::Open(stage) => holders.push((pool.open(stage_of(stage), now), stage_of(stage), 0)),
                Step::Grow(index, amount) => if let Some(holder) = holders.get_mut(index)
                    && pool.grow(holder.0, amount, now) == Grant::Granted
                {
                    holder.2 = holder.2.max(amount);
                },
                Step::Progress(index, bytes) => if let Some(holder) = holders.get(index) {
                    pool.record_progress(holder.0, bytes, now);
                },
                Step::Stage(index, stage) => if let Some(holder) = holders.get_mut(index) {
                    pool.set_stage(holder.0, stage_of(stage), now);
                    holder.1 = stage_of(stage);
                },
                Step::Close(index) => if index < holders.len() {
                    pool.close(holders.remove(index).0);
                },
                Step::Wait(millis) => now = now + Duration::from_millis(millis),
            }
            for evicted in pool.take_evicted() {
                let index = holders.iter().position(|holder| holder.0 == evicted).expect("an open holder");
                prop_assert_ne!(holders[index].1, Stage::Process);
                pool.close(holders.remove(index).0);
            }
            let held: u64 = holders.iter().map(|holder| holder.2).sum();
            prop_assert_eq!(pool.used(), held);
            prop_assert!(held <= CAPACITY);
        }
    }
}
