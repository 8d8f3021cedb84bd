//! Tests the planner with crashing engines: engines that restart under the same name, and prompts suspected of
//! crashing them.

mod common;
#[path = "common/short.rs"]
mod short;

use std::collections::BTreeSet;
use std::time::Duration;

use common::profile;
use coord::name::Name;
use coord::planner::{Id, Job, Planner, Policy};
use coord::quarantine::Fingerprint;
use coord::time::Moment;

fn planner(engines: usize) -> Planner {
    let mut planner = Planner::new(Policy::default(), 0);
    planner.set_engines((0..engines).map(|index| (format!("engine-{index:02}").into(), profile(16, 46))));
    planner
}

fn id(number: u64) -> Id {
    Id { entry: number % 3, number }
}

#[test]
fn an_engine_that_restarts_under_its_name_is_empty() {
    let mut planner = planner(1);
    let now = Moment::from_millis(10_000);
    let mut granted = 0;
    for number in 0..40 {
        planner.submit(id(number), short::job(5_000, now));
        granted += planner.grant_ready(now).len();
    }
    assert!(granted > 0 && granted < 40, "{granted} of 40 fit");
    planner.record_failure(0, &"engine-00".into(), now);
    planner.reset_engine(&"engine-00".into());
    let granted_again = planner.grant_ready(now + Duration::from_millis(1)).len();
    assert!(granted_again >= granted, "{granted_again} after {granted}");
}

/// Submits `number` short prompts with the same fingerprint and returns their engines.
fn submit_and_pump(
    planner: &mut Planner,
    first: u64,
    number: u64,
    fingerprint: Option<Fingerprint>,
    now: Moment,
) -> Vec<Name> {
    (first..first + number)
        .for_each(|number| planner.submit(id(number), Job { fingerprint, ..short::job(3_000, now) }));
    planner.grant_ready(now).into_iter().map(|grant| grant.team.decoder).collect()
}

#[test]
fn a_suspect_is_isolated_and_its_repeats_share_its_engine() {
    let mut planner = planner(8);
    let now = Moment::from_millis(10_000);
    let others: BTreeSet<Name> = submit_and_pump(&mut planner, 0, 12, None, now).into_iter().collect();
    let fingerprint = |number: u8| Some(Fingerprint([number; 16]));
    planner.set_suspects([1, 2].map(|number| Fingerprint([number; 16])));
    let first = submit_and_pump(&mut planner, 100, 5, fingerprint(1), now);
    assert_eq!(first.len(), 5, "a request that many callers send is served while it is suspected");
    let first: BTreeSet<Name> = first.into_iter().collect();
    assert!(first.len() == 1 && first.is_disjoint(&others), "{first:?} beside {others:?}");
    let second: BTreeSet<Name> = submit_and_pump(&mut planner, 200, 1, fingerprint(2), now).into_iter().collect();
    assert!(second.is_disjoint(&first) && second.is_disjoint(&others), "{second:?}");
    let later: BTreeSet<Name> = submit_and_pump(&mut planner, 300, 20, None, now).into_iter().collect();
    assert!(later.is_disjoint(&first) && later.is_disjoint(&second), "{later:?}");
}
