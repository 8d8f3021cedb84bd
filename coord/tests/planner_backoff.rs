//! Tests that an engine which asked an entry to back off gets no prompt of that entry, however few engines remain.

mod common;
#[path = "common/short.rs"]
mod short;

use std::time::Duration;

use common::profile;
use coord::name::Name;
use coord::planner::{Grant, Id, Job, Planner, Policy};
use coord::time::Moment;

const BACKOFF: Duration = Duration::from_secs(2);
const NOW: Moment = Moment::from_millis(10_000);
const ENGINES: usize = 4;

fn name(index: usize) -> Name {
    format!("engine-{index}").into()
}

/// Returns a planner with `ENGINES` engines, of which the first `in_backoff` asked entry 1 to back off.
fn planner(in_backoff: usize) -> Planner {
    let mut planner = Planner::new(Policy::default(), 0);
    planner.set_engines((0..ENGINES).map(|index| (name(index), profile(16, 46))));
    (0..in_backoff).for_each(|index| planner.set_backoff(1, &name(index), BACKOFF, NOW));
    planner
}

fn submit_and_pump(planner: &mut Planner, entry: u64, job: Job, now: Moment) -> Vec<Grant> {
    (0..8).for_each(|number| planner.submit(Id { entry, number }, job));
    planner.grant_ready(now)
}

fn is_used(grants: &[Grant], engine: &Name) -> bool {
    grants.iter().any(|grant| grant.team.engines().any(|used| used == engine))
}

/// Returns a prompt that needs several engines to be in time.
fn long_job(now: Moment) -> Job {
    Job {
        prompt_tokens: 200_000,
        first_event_target: now + Duration::from_secs(3),
        deadline: now + Duration::from_secs(9),
        ..short::job(500, now)
    }
}

#[test]
fn an_engine_in_backoff_gets_no_prompts_of_that_entry_but_of_others() {
    for job in [short::job(500, NOW), long_job(NOW)] {
        for in_backoff in 1..ENGINES {
            let mut planner = planner(in_backoff);
            let grants = submit_and_pump(&mut planner, 1, job, NOW);
            assert!(!grants.is_empty(), "{in_backoff} of {ENGINES} in backoff");
            assert!((0..in_backoff).all(|index| !is_used(&grants, &name(index))), "{in_backoff}: {grants:?}");
        }
        assert!(submit_and_pump(&mut planner(ENGINES), 1, job, NOW).is_empty());
        assert!(!submit_and_pump(&mut planner(ENGINES), 2, job, NOW).is_empty());
    }
}

#[test]
fn an_entry_with_all_engines_in_backoff_delays_no_other_and_is_served_afterwards() {
    let mut planner = planner(ENGINES);
    assert!(submit_and_pump(&mut planner, 1, short::job(500, NOW), NOW).is_empty());
    assert_eq!(
        submit_and_pump(&mut planner, 2, short::job(500, NOW), NOW).len(),
        8,
        "another entry gets the free slots"
    );
    assert!(planner.refuse(NOW).is_empty(), "backoffs are not an overload");
    let later = NOW + BACKOFF;
    assert_eq!(planner.grant_ready(later).len(), 8);
}

#[test]
fn a_restarted_engine_and_a_reconnected_entry_have_no_backoffs() {
    let mut planner = planner(ENGINES);
    planner.reset_engine(&name(2));
    let grants = submit_and_pump(&mut planner, 1, short::job(500, NOW), NOW);
    assert!(!grants.is_empty() && grants.iter().all(|grant| grant.team.decoder == name(2)), "{grants:?}");
    planner.remove_entry(1, NOW);
    assert_eq!(submit_and_pump(&mut planner, 1, short::job(500, NOW), NOW).len(), 8);
}
