//! Tests of reservations for long prompts while engines leave, slow down or reach their rate limits, and while prompts
//! are withdrawn.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::profile;
use coord::name::Name;
use coord::planner::{Features, Id, Job, Planner, Policy, ReservationOutcome, Team};
use coord::time::Moment;

const ENGINES: usize = 12;
/// Prompt for which the engines are reserved.
const LONG: u64 = 100;

fn start() -> Moment {
    Moment::from_millis(10_000)
}

fn at(ms: u64) -> Moment {
    start() + Duration::from_millis(ms)
}

fn id(number: u64) -> Id {
    Id { entry: 0, number }
}

fn name(engine: usize) -> Name {
    format!("engine-{engine:02}").into()
}

fn job(prompt_tokens: u64, now: Moment) -> Job {
    let (first_event_target, gap_target_ms) = if prompt_tokens < 30_000 { (300, 200.0) } else { (3_000, 800.0) };
    Job {
        prompt_tokens,
        max_output_tokens: 1_000,
        first_event_target: now + Duration::from_millis(first_event_target),
        gap_target_ms,
        deadline: now + Duration::from_secs(12),
        priority: 1,
        fingerprint: None,
        workspace: None,
    }
}

fn new_planner(reservations: bool) -> Planner {
    let mut planner = Planner::new(Policy::default(), 0);
    planner.set_engines((0..ENGINES).map(|engine| (name(engine), profile(10, 46))));
    planner.set_features(Features { reservations, ..Features::default() });
    planner
}

/// Returns a planner whose engines are prefilling for 0.9 s while a long prompt waits for them.
fn planner_with_waiting(reservations: bool) -> Planner {
    let mut planner = new_planner(reservations);
    for engine in 0..ENGINES {
        let team = Team { decoder: name(engine), helpers: Vec::new() };
        let running = Job { gap_target_ms: 0.0, ..job(110_000, start()) };
        planner.add_granted(id(engine as u64), &running, team, true, start());
    }
    planner.submit(id(LONG), job(300_000, start()));
    assert!(planner.grant_ready(at(0)).is_empty());
    assert!(planner.grant_ready(at(10)).is_empty());
    planner
}

/// Ends the prompts that run on engines.
fn free_engines(planner: &mut Planner, engines: std::ops::Range<usize>, now: Moment) {
    for number in engines {
        planner.record_first_event(id(number as u64), now);
        planner.finish(id(number as u64), now);
    }
}

fn reserved(planner: &Planner) -> BTreeSet<Name> {
    planner.reserved_engines().map(|(engine, _)| engine.clone()).collect()
}

#[test]
fn a_long_prompt_that_waits_keeps_its_team_from_short_prompts() {
    for has_reservations in [true, false] {
        let mut planner = planner_with_waiting(has_reservations);
        let team = reserved(&planner);
        assert_eq!(team.len(), if has_reservations { 4 } else { 0 });
        // A short answer would still be decoding at the latest start of the long prompt.
        free_engines(&mut planner, 0..1, at(500));
        planner.submit(id(1_000), job(4_000, at(500)));
        let grants = planner.grant_ready(at(500));
        let has_opened_free_engine = grants.iter().any(|grant| grant.team.decoder == name(0));
        assert_eq!(has_opened_free_engine, !has_reservations, "{grants:?}");
    }
}

#[test]
fn a_short_prompt_that_ends_before_the_reserved_start_uses_the_engine() {
    let mut planner = planner_with_waiting(true);
    free_engines(&mut planner, 0..1, at(20));
    assert!(reserved(&planner).contains(&name(0)));
    planner.submit(id(1_000), job(4_000, at(20)));
    assert_eq!(planner.grant_ready(at(20)).len(), 1);
}

#[test]
fn a_reservation_is_kept_and_its_engines_are_released() {
    let mut planner = planner_with_waiting(true);
    free_engines(&mut planner, 0..ENGINES, at(30));
    let grants = planner.grant_ready(at(30));
    assert_eq!(grants.len(), 1);
    let change = planner.reservation_changes()[0];
    assert_eq!((change.id, change.outcome), (id(LONG), ReservationOutcome::Kept));
    let counts = planner.reservation_counts();
    assert_eq!((counts.made, counts.kept, counts.given_up), (1, 1, 0));
    assert!(reserved(&planner).is_empty());
}

/// Checks that the team moves to other engines after `change` to its first engine.
fn check_moves(change: impl Fn(&mut Planner, &Name)) {
    let mut planner = planner_with_waiting(true);
    let lost = reserved(&planner).first().cloned().expect("a reserved engine");
    change(&mut planner, &lost);
    planner.grant_ready(at(20));
    let team = reserved(&planner);
    assert!(team.len() >= 4 && !team.contains(&lost), "{lost} is still in {team:?}");
    assert_eq!(planner.reservation_counts().made, 1);
    assert!(planner.reservation_counts().moved >= 1);
}

#[test]
fn the_team_moves_when_an_engine_leaves() {
    check_moves(|planner, lost| {
        let remaining = (0..ENGINES).map(name).filter(|engine| engine != lost);
        planner.set_engines(remaining.map(|engine| (engine, profile(10, 46))));
    });
}

#[test]
fn the_team_moves_when_an_engine_becomes_slow() {
    check_moves(|planner, lost| assert!(planner.set_slowdown(lost, 3.0)));
}

#[test]
fn the_team_moves_when_an_engine_reaches_its_rate_limit() {
    check_moves(|planner, lost| {
        planner.set_limit(lost, Some(0.1), 1.0, at(15));
        planner.reset_limits(at(15));
    });
}

#[test]
fn a_withdrawn_prompt_keeps_no_engine() {
    let mut planner = planner_with_waiting(true);
    planner.finish(id(LONG), at(15));
    free_engines(&mut planner, 0..1, at(15));
    planner.submit(id(1_000), job(4_000, at(20)));
    assert_eq!(planner.grant_ready(at(20)).len(), 1);
    assert!(reserved(&planner).is_empty());
    assert_eq!(planner.reservation_counts().given_up, 0);
}

#[test]
fn a_reservation_that_cannot_be_kept_is_given_up() {
    let mut planner = planner_with_waiting(true);
    planner.grant_ready(at(3_000));
    assert!(reserved(&planner).is_empty(), "the target has passed");
    let counts = planner.reservation_counts();
    assert_eq!((counts.kept, counts.given_up), (0, 1));
}

#[test]
fn a_new_planner_reserves_again_for_prompts_that_are_submitted_again() {
    let mut planner = new_planner(true);
    planner.begin_settling(start());
    planner.submit(id(LONG), job(300_000, start()));
    planner.grant_ready(at(0));
    planner.grant_ready(at(10));
    assert!(!reserved(&planner).is_empty(), "short prompts must not take the engines in the settling period");
    assert_eq!(planner.grant_ready(at(310)).len(), 1);
    assert!(reserved(&planner).is_empty());
}

#[test]
fn a_more_urgent_prompt_uses_reserved_engines() {
    let mut planner = planner_with_waiting(true);
    free_engines(&mut planner, 0..1, at(500));
    planner.submit(id(1_000), Job { priority: 0, ..job(4_000, at(500)) });
    assert_eq!(planner.grant_ready(at(500)).len(), 1);
}

#[test]
fn switching_reservations_off_releases_the_engines_and_resets_no_count() {
    let mut planner = planner_with_waiting(true);
    let before = planner.reservation_counts();
    assert!(before.made > 0, "{before:?}");
    planner.set_features(Features::default());
    planner.grant_ready(at(20));
    assert_eq!(planner.reservation_counts(), before);
    assert_eq!(reserved(&planner), BTreeSet::new());
}

#[test]
fn token_counts_beyond_any_engine_are_not_granted_and_end_no_planner() {
    for (reservations, forecasts) in [(false, false), (true, false), (false, true)] {
        let mut planner = new_planner(reservations);
        planner.set_features(Features { reservations, forecasts, ..Features::default() });
        planner.submit(id(LONG), Job { max_output_tokens: u64::MAX, ..job(u64::MAX, start()) });
        for ms in [0, 30, 60] {
            assert_eq!(planner.grant_ready(at(ms)), []);
            planner.refuse(at(ms));
        }
    }
}
