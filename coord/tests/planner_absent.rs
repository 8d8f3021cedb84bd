//! Tests the planner after a suspension of its process or of an entry. Events that are handled late because of the
//! suspension must not count against the engines.

mod common;
#[path = "common/short.rs"]
mod short;

use std::collections::BTreeSet;
use std::time::Duration;

use common::profile;
use coord::name::Name;
use coord::planner::{Grant, Id, Planner, Policy};
use coord::time::Moment;

/// Prompts that run on one engine when the suspension begins.
const RUNNING_PROMPTS: u64 = 12;
const SUSPENSION: Duration = Duration::from_millis(1_500);

fn planner() -> Planner {
    let mut planner = Planner::new(Policy::default(), 0);
    planner.set_engines((0..4).map(|index| (format!("engine-{index}").into(), profile(16, 46))));
    planner
}

/// Submits prompts of an entry, numbered from `first`, and returns the grants.
fn submit_and_pump(planner: &mut Planner, entry: u64, first: u64, now: Moment) -> Vec<Grant> {
    (first..first + RUNNING_PROMPTS).for_each(|number| planner.submit(Id { entry, number }, short::job(500, now)));
    planner.grant_ready(now)
}

fn decoding_engines(grants: &[Grant]) -> BTreeSet<Name> {
    grants.iter().map(|grant| grant.team.decoder.clone()).collect()
}

fn answer_all(planner: &mut Planner, grants: &[Grant], now: Moment) {
    for grant in grants {
        planner.record_first_event(grant.id, now);
        planner.finish(grant.id, now);
    }
}

#[test]
fn engines_that_answered_while_the_planner_was_suspended_are_used_as_before() {
    let mut planner = planner();
    let now = Moment::from_millis(10_000);
    let before = submit_and_pump(&mut planner, 0, 0, now);
    assert_eq!((before.len(), decoding_engines(&before).len()), (12, 1), "{before:?}");
    let later = now + SUSPENSION;
    planner.postpone_first_events(None, SUSPENSION);
    answer_all(&mut planner, &before, later);
    let after = submit_and_pump(&mut planner, 0, 100, later);
    assert_eq!(decoding_engines(&after), decoding_engines(&before));
}

#[test]
fn engines_are_not_blamed_for_late_reports_of_a_suspended_entry() {
    let mut planner = planner();
    let now = Moment::from_millis(10_000);
    let before = submit_and_pump(&mut planner, 1, 0, now);
    let later = now + SUSPENSION;
    planner.postpone_first_events(Some(1), SUSPENSION);
    answer_all(&mut planner, &before, later);
    let after = submit_and_pump(&mut planner, 2, 100, later);
    assert_eq!(decoding_engines(&after), decoding_engines(&before));
}

#[test]
fn an_engine_that_is_late_for_a_running_entry_is_ejected() {
    let mut planner = planner();
    let now = Moment::from_millis(10_000);
    let before = submit_and_pump(&mut planner, 1, 0, now);
    let later = now + SUSPENSION;
    planner.postpone_first_events(Some(2), SUSPENSION);
    answer_all(&mut planner, &before, later);
    let after = submit_and_pump(&mut planner, 1, 100, later);
    assert!(decoding_engines(&after).is_disjoint(&decoding_engines(&before)), "{after:?}");
}

#[test]
fn an_engine_that_stays_unresponsive_after_a_suspension_is_ejected() {
    let mut planner = planner();
    let now = Moment::from_millis(10_000);
    let before = submit_and_pump(&mut planner, 0, 0, now);
    planner.postpone_first_events(None, SUSPENSION);
    let later = now + SUSPENSION + SUSPENSION;
    let after = submit_and_pump(&mut planner, 0, 100, later);
    assert!(decoding_engines(&after).is_disjoint(&decoding_engines(&before)), "{after:?}");
}
