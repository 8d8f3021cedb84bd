//! Distance, prediction error and the demand of long prompts, as far as they decide where short prompts go.

mod common;
#[path = "common/short.rs"]
mod short;

use std::time::Duration;

use coord::distance::Distances;
use coord::name::Name;
use coord::planner::long_demand::LongDemand;
use coord::planner::prediction::Predictions;
use coord::planner::{Features, Id, Job, Planner, Policy};
use coord::time::Moment;
use proptest::prelude::*;

use self::common::profile;

const NOW: Moment = Moment::from_millis(10_000);
/// Time until the target of the first event, in milliseconds.
const REMAINING_MS: f64 = 300.0;
/// Engine time of one of the longest prompts, in milliseconds, and the engines that it needs to be in time.
const LONGEST: (f64, usize) = (9_000.0, 3);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Records first events that come `error_ms` later than predicted, one every 20 ms from `start` on. Returns the end.
fn record_errors(predictions: &mut Predictions, error_ms: f64, count: u64, start: Moment) -> Moment {
    for index in 0..count {
        predictions.record(100.0, 100.0 + error_ms, start + millis(20 * index));
    }
    start + millis(20 * count)
}

/// Returns a planner with an engine in each failure domain: `near`, where its entry is, and `far`, `one_way` from it.
fn planner(one_way: Duration) -> Planner {
    let mut planner = Planner::new(Policy { salt: false, ..Policy::default() }, 0);
    let engines: [Name; 2] = ["far".into(), "near".into()];
    planner.set_features(Features { spreading: true, ..Features::default() });
    planner.set_engines(engines.iter().map(|engine| (engine.clone(), profile(16, 46))));
    let mut distances = Distances::default();
    distances.set(&engines[0], &engines[1], one_way);
    planner.set_locations(distances, engines.iter().map(|engine| (engine.clone(), engine.clone())));
    planner.set_entry_location(0, "near".into());
    planner
}

/// Returns the engines of `count` prompts that arrive at the same moment.
fn place(planner: &mut Planner, job: Job, count: u64) -> Vec<Name> {
    (0..count).for_each(|number| planner.submit(Id { entry: 0, number }, job));
    planner.grant_ready(NOW).into_iter().map(|grant| grant.team.decoder).collect()
}

#[test]
fn a_near_engine_goes_before_a_far_one_and_a_far_one_before_a_late_start() {
    let job = short::job(20_000, NOW);
    let engines = place(&mut planner(millis(5)), job, 3);
    assert_eq!(engines[..2], [Name::from("near"), "far".into()], "the second prompt would be late at the near engine");
    let engines = place(&mut planner(millis(60)), short::job(5_000, NOW), 2);
    assert_eq!(engines, [Name::from("near"), "near".into()], "the way to the far engine alone takes 240 ms");
}

#[test]
fn the_target_of_a_far_entry_allows_for_its_messages_to_the_planner() {
    let mut planner = planner(millis(5));
    planner.set_entry_location(1, "far".into());
    let id = Id { entry: 1, number: 1 };
    planner.submit(id, short::job(5_000, NOW));
    let grant = planner.grant_ready(NOW).pop().expect("an engine is idle");
    assert_eq!(&*grant.team.decoder, "far", "it is near to the entry");
    planner.record_first_event(id, NOW + millis(40));
    let error = planner.prediction_error().expect("the prediction was recorded");
    let prefill_ms = profile(16, 46).prefill_ms(5_000);
    assert!((error.predicted_ms - prefill_ms - 10.0).abs() < 0.1, "{error:?} with {prefill_ms} ms of prefill");
}

#[test]
fn overdue_first_events_leave_the_margin_as_it_is() {
    let mut planner = planner(millis(5));
    for number in 0..20 {
        let id = Id { entry: 0, number };
        planner.submit(id, short::job(500, NOW));
        planner.grant_ready(NOW);
        planner.record_first_event(id, NOW + millis(5_000));
        planner.finish(id, NOW + millis(5_000));
    }
    assert_eq!(planner.prediction_error(), None);
}

#[test]
fn the_margin_covers_nine_in_ten_errors_and_needs_ten() {
    let mut predictions = Predictions::default();
    (1..=9).for_each(|error| predictions.record(100.0, 100.0 + f64::from(error), NOW));
    assert_eq!(predictions.margin_ms(REMAINING_MS), 0.0, "nine errors are too few");
    predictions.record(100.0, 1_100.0, NOW);
    assert_eq!(predictions.margin_ms(REMAINING_MS), 9.0, "one outlier in ten does not count");
}

#[test]
fn the_margin_follows_a_step_of_the_error_within_seconds() {
    let mut predictions = Predictions::default();
    let calm = record_errors(&mut predictions, 0.0, 200, NOW);
    assert_eq!(predictions.margin_ms(REMAINING_MS), 0.0);
    let wrong = record_errors(&mut predictions, 60.0, 50, calm);
    assert_eq!(predictions.margin_ms(REMAINING_MS), 60.0, "one second after predictions became wrong");
    let right = record_errors(&mut predictions, -20.0, 150, wrong);
    assert_eq!(predictions.margin_ms(REMAINING_MS), 0.0, "three seconds after they became right again");
    record_errors(&mut predictions, 60.0, 50, right);
    predictions.expire(right + millis(5_000));
    assert_eq!(predictions.margin_ms(REMAINING_MS), 0.0, "three seconds without first events");
}

#[test]
fn the_demand_of_long_prompts_follows_a_turn_of_the_mix() {
    let mut demand = LongDemand::default();
    assert_eq!(demand.engines(0, NOW), 0);
    let (prefill_ms, team) = LONGEST;
    let mut now = NOW;
    demand.record(prefill_ms, team, now);
    assert!(demand.engines(0, now) >= team, "enough for the team of the first one");
    for _ in 0..10 {
        now = now + millis(500);
        demand.record(prefill_ms, team, now);
    }
    let busy_engines = prefill_ms / 500.0;
    assert!(demand.engines(0, now) as f64 >= busy_engines, "{} engines", demand.engines(0, now));
    let after = demand.engines(0, now + millis(2_000)) as f64;
    assert!(after <= busy_engines, "{after} engines two seconds after the last one");
    assert_eq!(demand.engines(0, now + millis(20_000)), 0);
    assert_eq!(demand.engines(7, now + millis(20_000)), 7, "those that wait need their teams in any case");
}

proptest! {
    #[test]
    fn the_margin_stays_between_zero_and_half_of_the_target(
        errors in proptest::collection::vec((-500.0..5_000.0f64, 0..2_000u64), 0..200),
        remaining_ms in 0.0..2_000.0f64,
    ) {
        let mut predictions = Predictions::default();
        let mut now = NOW;
        for (error_ms, pause_ms) in errors {
            now = now + millis(pause_ms);
            predictions.record(500.0, 500.0 + error_ms, now);
            let margin_ms = predictions.margin_ms(remaining_ms);
            prop_assert!((0.0..=remaining_ms / 2.0).contains(&margin_ms), "{} ms", margin_ms);
        }
    }
}
