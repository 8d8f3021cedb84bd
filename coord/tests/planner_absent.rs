//! Tests the planner after a freeze of its process or of an entry. Events that are handled late because of the freeze
//! must not count against the engines.

mod common;
#[path = "common/short.rs"]
mod short;

use std::collections::BTreeSet;
use std::time::Duration;

use common::figures;
use coord::name::Name;
use coord::planner::{Grant, Id, Planner, Policy};
use coord::time::Moment;

/// Prompts that run on one engine when the freeze begins.
const RUNNING: u64 = 12;
const FROZEN: Duration = Duration::from_millis(1_500);

fn planner() -> Planner {
    let mut planner = Planner::new(Policy::default(), 0);
    planner.set_engines((0..4).map(|index| (format!("engine-{index}").into(), figures(16, 46))));
    planner
}

/// Submits prompts of an entry, numbered from `first`, and returns the grants.
fn grant(planner: &mut Planner, entry: u64, first: u64, now: Moment) -> Vec<Grant> {
    (first..first + RUNNING).for_each(|number| planner.submit(Id { entry, number }, short::job(500, now)));
    planner.pump(now)
}

fn writers(grants: &[Grant]) -> BTreeSet<Name> {
    grants.iter().map(|grant| grant.team.writer.clone()).collect()
}

fn answered(planner: &mut Planner, grants: &[Grant], now: Moment) {
    for grant in grants {
        planner.first_event(grant.id, now);
        planner.end(grant.id, now);
    }
}

#[test]
fn engines_that_answered_while_the_planner_was_frozen_are_used_as_before() {
    let mut planner = planner();
    let now = Moment::from_millis(10_000);
    let before = grant(&mut planner, 0, 0, now);
    assert_eq!((before.len(), writers(&before).len()), (12, 1), "{before:?}");
    let later = now + FROZEN;
    planner.absent(None, FROZEN);
    answered(&mut planner, &before, later);
    let after = grant(&mut planner, 0, 100, later);
    assert_eq!(writers(&after), writers(&before));
}

#[test]
fn engines_are_not_blamed_for_what_a_frozen_entry_reports_late() {
    let mut planner = planner();
    let now = Moment::from_millis(10_000);
    let before = grant(&mut planner, 1, 0, now);
    let later = now + FROZEN;
    planner.absent(Some(1), FROZEN);
    answered(&mut planner, &before, later);
    let after = grant(&mut planner, 2, 100, later);
    assert_eq!(writers(&after), writers(&before));
}

#[test]
fn an_engine_that_is_late_for_those_who_ran_is_left_out() {
    let mut planner = planner();
    let now = Moment::from_millis(10_000);
    let before = grant(&mut planner, 1, 0, now);
    let later = now + FROZEN;
    planner.absent(Some(2), FROZEN);
    answered(&mut planner, &before, later);
    let after = grant(&mut planner, 1, 100, later);
    assert!(writers(&after).is_disjoint(&writers(&before)), "{after:?}");
}

#[test]
fn an_engine_that_stays_silent_behind_a_freeze_is_left_out_in_the_end() {
    let mut planner = planner();
    let now = Moment::from_millis(10_000);
    let before = grant(&mut planner, 0, 0, now);
    planner.absent(None, FROZEN);
    let later = now + FROZEN + FROZEN;
    let after = grant(&mut planner, 0, 100, later);
    assert!(writers(&after).is_disjoint(&writers(&before)), "{after:?}");
}
