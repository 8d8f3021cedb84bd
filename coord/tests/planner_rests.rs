//! Tests that an engine which asked an entry to back off gets no prompt of that entry, however few engines remain.

mod common;
#[path = "common/short.rs"]
mod short;

use std::time::Duration;

use common::figures;
use coord::name::Name;
use coord::planner::{Grant, Id, Job, Planner, Policy};
use coord::time::Moment;

const REST: Duration = Duration::from_secs(2);
const NOW: Moment = Moment::from_millis(10_000);
const ENGINES: usize = 4;

fn name(index: usize) -> Name {
    format!("engine-{index}").into()
}

/// Returns a planner of whose engines the first `resting` asked entry 1 to back off.
fn planner(resting: usize) -> Planner {
    let mut planner = Planner::new(Policy::default(), 0);
    planner.set_engines((0..ENGINES).map(|index| (name(index), figures(16, 46))));
    (0..resting).for_each(|index| planner.rests(1, &name(index), REST, NOW));
    planner
}

fn grant(planner: &mut Planner, entry: u64, job: Job, now: Moment) -> Vec<Grant> {
    (0..8).for_each(|number| planner.submit(Id { entry, number }, job));
    planner.pump(now)
}

fn is_used(grants: &[Grant], engine: &Name) -> bool {
    grants.iter().any(|grant| grant.team.engines().any(|used| used == engine))
}

/// Returns a prompt that several engines prefill.
fn long(now: Moment) -> Job {
    Job {
        prompt: 200_000,
        aim: now + Duration::from_secs(3),
        deadline: now + Duration::from_secs(9),
        ..short::job(500, now)
    }
}

#[test]
fn an_entry_gets_no_engine_that_wants_nothing_from_it_and_others_do() {
    for job in [short::job(500, NOW), long(NOW)] {
        for resting in 1..ENGINES {
            let mut planner = planner(resting);
            let grants = grant(&mut planner, 1, job, NOW);
            assert!(!grants.is_empty(), "{resting} of {ENGINES} at rest");
            assert!((0..resting).all(|index| !is_used(&grants, &name(index))), "{resting}: {grants:?}");
        }
        assert!(grant(&mut planner(ENGINES), 1, job, NOW).is_empty());
        assert!(!grant(&mut planner(ENGINES), 2, job, NOW).is_empty());
    }
}

#[test]
fn one_whose_engines_all_rest_holds_up_nobody_and_is_served_after_the_rest() {
    let mut planner = planner(ENGINES);
    assert!(grant(&mut planner, 1, short::job(500, NOW), NOW).is_empty());
    assert_eq!(grant(&mut planner, 2, short::job(500, NOW), NOW).len(), 8, "others are granted what is free");
    assert!(planner.refuse(NOW).is_empty(), "nothing is full");
    let later = NOW + REST;
    assert_eq!(planner.pump(later).len(), 8);
}

#[test]
fn an_engine_that_started_again_and_an_entry_that_came_anew_have_no_rests() {
    let mut planner = planner(ENGINES);
    planner.restarted(&name(2));
    let grants = grant(&mut planner, 1, short::job(500, NOW), NOW);
    assert!(!grants.is_empty() && grants.iter().all(|grant| grant.team.writer == name(2)), "{grants:?}");
    planner.end_entry(1, NOW);
    assert_eq!(grant(&mut planner, 1, short::job(500, NOW), NOW).len(), 8);
}
