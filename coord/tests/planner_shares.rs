//! Fair shares of the planner: the order of grants, and what a new planner knows of earlier ones.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::profile;
use coord::planner::{Features, Id, Job, Planner, Policy, Team, Workspace};
use coord::time::Moment;
use proptest::prelude::*;

const START: Moment = Moment::from_millis(10_000);
/// Interval at which a running job ends.
const END_INTERVAL: Duration = Duration::from_millis(10);
/// Number of slots of an engine.
const SLOTS: u32 = 10;

fn planner() -> Planner {
    let mut planner = Planner::new(Policy::default(), 0);
    planner.set_engines((0..2).map(|index| (format!("engine-{index}").into(), profile(SLOTS, 20))));
    planner.set_features(Features { fair_shares: true, ..Features::default() });
    planner
}

/// Returns a prompt that stays in time for the length of a test.
fn job(workspace: usize) -> Job {
    Job {
        prompt_tokens: 2_000,
        max_output_tokens: 400,
        first_event_target: START + Duration::from_secs(10),
        gap_target_ms: 500.0,
        deadline: START + Duration::from_secs(30),
        priority: 1,
        fingerprint: None,
        workspace: Some(Workspace::from_name(&format!("workspace-{workspace}"))),
    }
}

/// Submits the given number of prompts of each workspace; returns the workspaces by job.
fn submit(planner: &mut Planner, prompts: &[usize]) -> BTreeMap<Id, usize> {
    let workspaces = prompts.iter().enumerate().flat_map(|(workspace, count)| vec![workspace; *count]);
    let ids = (0..).map(|number| Id { entry: 0, number });
    let submitted: BTreeMap<Id, usize> = ids.zip(workspaces).collect();
    submitted.iter().for_each(|(id, workspace)| planner.submit(*id, job(*workspace)));
    submitted
}

/// Job that was granted, and its end if it has ended.
struct Granted {
    workspace: usize,
    granted_at: Moment,
    ended_at: Option<Moment>,
}

impl Granted {
    /// Returns the engine time of the job in seconds, halved for each second since it was used.
    fn use_s(&self, now: Moment) -> f64 {
        let decayed = |since: Moment| (-now.since(since).as_secs_f64()).exp2();
        let prefill_s = profile(SLOTS, 20).prefill_ms(job(0).prompt_tokens) / 1e3;
        let slot_s = (decayed(self.ended_at.unwrap_or(now)) - decayed(self.granted_at)) / std::f64::consts::LN_2;
        prefill_s * decayed(self.granted_at) + slot_s / f64::from(SLOTS)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// The workspace that uses most is over its share as soon as another one waits, and one below the average is not.
    #[test]
    fn the_busiest_workspace_gets_nothing_while_one_below_the_average_waits(
        prompts in prop::collection::vec(1..80usize, 2..6),
    ) {
        let mut planner = planner();
        let submitted = submit(&mut planner, &prompts);
        let mut waiting = prompts.clone();
        let mut jobs: BTreeMap<Id, Granted> = BTreeMap::new();
        let mut now = START;
        while planner.has_waiting() && now.since(START) < Duration::from_secs(2) {
            let mut use_s = vec![0.0; prompts.len()];
            jobs.values().for_each(|job| use_s[job.workspace] += job.use_s(now));
            let average_s = use_s.iter().sum::<f64>() / prompts.len() as f64;
            for grant in planner.grant_ready(now) {
                let workspace = submitted[&grant.id];
                waiting[workspace] -= 1;
                let is_busiest = use_s.iter().all(|other| *other <= use_s[workspace]);
                let is_starved = |other: usize| waiting[other] > 0 && use_s[other] < average_s;
                let starved = (0..prompts.len()).find(|other| is_starved(*other));
                prop_assert!(!is_busiest || starved.is_none(), "{workspace}, not {starved:?}: {use_s:?} {waiting:?}");
                jobs.insert(grant.id, Granted { workspace, granted_at: now, ended_at: None });
            }
            now = now + END_INTERVAL;
            if let Some((id, job)) = jobs.iter_mut().find(|(_, job)| job.ended_at.is_none()) {
                job.ended_at = Some(now);
                planner.record_first_event(*id, now);
                planner.finish(*id, now);
            }
        }
    }
}

#[test]
fn a_new_planner_knows_the_use_of_the_jobs_that_are_reported_to_it() {
    let mut planner = planner();
    let team = |number| Team { decoder: format!("engine-{}", number % 2).into(), helpers: Vec::new() };
    for number in 0..16 {
        planner.add_granted(Id { entry: 1, number }, &job(0), team(number), false, START);
    }
    let submitted = submit(&mut planner, &[20, 2]);
    let mut now = START;
    let mut first_granted = Vec::new();
    // The first pump shows that room is short.
    planner.grant_ready(now);
    for number in 0..2 {
        now = now + END_INTERVAL;
        planner.finish(Id { entry: 1, number }, now);
        first_granted.extend(planner.grant_ready(now).iter().map(|grant| submitted[&grant.id]));
    }
    assert_eq!(first_granted, [1, 1], "the workspace that holds the engines waits");
    assert_eq!(planner.held_back().workspaces, 1);
}

/// Rounding may put the use of a workspace just above or just below the fair level that is computed from it.
#[test]
fn fair_levels_are_found_for_workspaces_with_equal_use() {
    for prompt_tokens in 1_000..1_064 {
        let mut planner = planner();
        let team = |number| Team { decoder: format!("engine-{}", number % 2).into(), helpers: Vec::new() };
        for number in 0..21 {
            let job = Job { prompt_tokens, ..job(number as usize % 3) };
            planner.add_granted(Id { entry: 1, number }, &job, team(number), false, START);
        }
        submit(&mut planner, &[0, 20, 20]);
        let now = START + Duration::from_secs(2);
        assert!(planner.grant_ready(now).is_empty(), "all slots are taken");
        planner.grant_ready(now + END_INTERVAL);
        assert!(planner.held_back().workspaces <= 2, "the workspace without waiting prompts has nothing to hold back");
    }
}

/// After more than a thousand half-lives, decayed use is zero, by which nothing may be divided.
#[test]
fn the_use_of_a_workspace_counts_after_one_of_its_jobs_ran_for_very_long() {
    let mut planner = planner();
    let team = |number| Team { decoder: format!("engine-{}", number % 2).into(), helpers: Vec::new() };
    let later = START + Duration::from_secs(2_000);
    let job_at = |workspace, now: Moment| Job {
        first_event_target: now + Duration::from_secs(10),
        deadline: now + Duration::from_secs(3_000),
        ..job(workspace)
    };
    for number in 0..2 {
        planner.add_granted(Id { entry: 1, number }, &job_at(0, START), team(number), false, START);
    }
    planner.finish(Id { entry: 1, number: 0 }, later);
    for number in 2..16 {
        planner.add_granted(Id { entry: 1, number }, &job_at(0, later), team(number), false, later);
    }
    for number in 0..22 {
        planner.submit(Id { entry: 0, number }, job_at(usize::from(number >= 20), later));
    }
    let mut now = later;
    let mut first_granted = Vec::new();
    planner.grant_ready(now);
    for number in 1..3 {
        now = now + END_INTERVAL;
        planner.finish(Id { entry: 1, number }, now);
        first_granted.extend(planner.grant_ready(now).iter().map(|grant| grant.id.number >= 20));
    }
    assert_eq!(first_granted, [true, true], "the workspace that holds the engines waits");
}
