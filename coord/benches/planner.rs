//! Time of a planner for one event: a short prompt arrives, the planner grants the prompts that can start, and the
//! new prompt ends.
//!
//! Run with `cargo bench -p coord --bench planner`. Half of the engines are prefilling, and all of them are decoding
//! for callers with a limit on pauses. Two thirds of the waiting prompts are short and one third are long, as in a
//! burst. `plain` is the reference implementation, which recomputes the decision for each prompt at each event.
//! Median times in microseconds, on one core of an 8-core development machine:
//!
//! | engines / waiting | plain | planner |
//! |---|---|---|
//! | 18 / 10 | 14.1 | 2.2 |
//! | 150 / 20 | 409 | 10.5 |
//! | 150 / 100 | 656 | 14.7 |
//! | 150 / 1,000 | 29,410 | 47.6 |
//! | 1,000 / 100 | 7,138 | 60.7 |
//! | 12,000 / 100 | not run | 744 |
//! | 12,000 / 1,000 | not run | 1,044 |

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/plain/mod.rs"]
#[allow(dead_code, missing_docs)]
mod plain;

use std::time::Duration;

use common::profile;
use coord::name::Name;
use coord::planner::{Features, Id, Job, Planner, Policy, Team, Workspace};
use coord::time::Moment;
use divan::{Bencher, black_box};

/// Pairs of the number of engines and the number of waiting prompts.
const SIZES: &[(usize, u64)] =
    &[(18, 10), (150, 20), (150, 100), (150, 1_000), (1_000, 100), (12_000, 100), (12_000, 1_000)];
/// Sizes at which the reference implementation finishes in a reasonable time.
const REFERENCE_SIZES: &[(usize, u64)] = &[(18, 10), (150, 20), (150, 100), (150, 1_000), (1_000, 100)];
/// Numbers of engines, of waiting prompts, and of engines with a rate limit.
const LIMITED_SIZES: &[(usize, u64, usize)] =
    &[(150, 20, 0), (150, 20, 40), (150, 20, 150), (12_000, 100, 0), (12_000, 100, 100), (12_000, 100, 3_000)];
/// Entry that owns the prompts already running.
const OTHER_ENTRY: u64 = 1;

/// Number of workspaces that send prompts.
const WORKSPACES: u64 = 35_000;

fn main() {
    divan::main();
}

fn name(engine: usize) -> Name {
    format!("engine-{engine:05}").into()
}

fn job(prompt_tokens: u64, now: Moment) -> Job {
    let (first_event_target, gap_target_ms) = if prompt_tokens < 30_000 { (300, 250.0) } else { (4_000, 1_000.0) };
    let first_event_target = now + Duration::from_millis(first_event_target);
    Job {
        prompt_tokens,
        max_output_tokens: 1_000,
        first_event_target,
        gap_target_ms,
        deadline: now + Duration::from_secs(10),
        priority: 1,
        fingerprint: None,
        workspace: None,
    }
}

/// Puts either planner implementation into the same loaded state.
macro_rules! loaded {
    ($planner:expr, $size:expr, $now:expr) => {{
        let (engines, waiting) = $size;
        let mut planner = $planner;
        planner.set_engines((0..engines).map(|index| (name(index), profile(10, 73))));
        for index in 0..engines {
            for sequence in 0..4 {
                let id = Id { entry: OTHER_ENTRY, number: (index * 4 + sequence) as u64 };
                let team = Team { decoder: name(index), helpers: Vec::new() };
                planner.add_granted(id, &job(9_000, $now), team, sequence == 0 && index % 2 == 0, $now);
            }
        }
        for number in 0..waiting {
            let prompt = if number % 3 == 0 { 300_000 } else { 22_000 };
            planner.submit(Id { entry: 0, number }, job(prompt, $now));
        }
        planner.grant_ready($now);
        planner
    }};
}

fn event_id(number: u64) -> Id {
    Id { entry: 0, number: 1_000_000 + number }
}

#[divan::bench(args = SIZES)]
fn planner(bencher: Bencher, size: (usize, u64)) {
    let now = Moment::from_millis(10_000);
    let mut planner = loaded!(Planner::new(Policy::default(), 0), size, now);
    let mut number = 0;
    bencher.bench_local(|| {
        number += 1;
        planner.submit(event_id(number), job(3_000, now));
        black_box(planner.grant_ready(now));
        planner.finish(event_id(number), now);
    });
}

/// Measures grants as `planner` does, but with reservations for the long prompts that wait.
#[divan::bench(args = [(150, 100), (12_000, 100), (12_000, 2_000)])]
fn reserving_planner(bencher: Bencher, size: (usize, u64)) {
    let now = Moment::from_millis(10_000);
    let mut planner = loaded!(Planner::new(Policy::default(), 0), size, now);
    planner.set_features(Features { reservations: true, ..Features::default() });
    let mut number = 0;
    bencher.bench_local(|| {
        number += 1;
        planner.submit(event_id(number), job(3_000, now));
        black_box(planner.grant_ready(now));
        planner.finish(event_id(number), now);
    });
}

/// Measures grants as `planner` does, but with rate-limited engines and advancing time.
#[divan::bench(args = LIMITED_SIZES)]
fn limited_planner(bencher: Bencher, (engines, waiting, limited_engines): (usize, u64, usize)) {
    let mut now = Moment::from_millis(10_000);
    let mut planner = loaded!(Planner::new(Policy::default(), 0), (engines, waiting), now);
    (0..limited_engines).for_each(|index| planner.set_limit(&name(index), Some(2.0), 1.0, now));
    let mut number = 0;
    bencher.bench_local(|| {
        number += 1;
        now = now + Duration::from_micros(100);
        planner.submit(event_id(number), job(3_000, now));
        black_box(planner.grant_ready(now));
        black_box(planner.refuse(now));
        planner.finish(event_id(number), now);
    });
}

/// Measures grants as `planner` does, with 2,000 waiting prompts of many workspaces and recent use of them all. The
/// argument tells whether fair shares are on.
#[divan::bench(args = [false, true])]
fn fair_shares(bencher: Bencher, fair_shares: bool) {
    let mut now = Moment::from_millis(10_000);
    let mut planner = loaded!(Planner::new(Policy::default(), 0), (150, 0), now);
    planner.set_features(Features { fair_shares, ..Features::default() });
    let workspace = |number| Some(Workspace::from_name(&format!("workspace-{}", number % WORKSPACES)));
    for number in 0..2_000 {
        let prompt = if number % 3 == 0 { 300_000 } else { 22_000 };
        planner.submit(Id { entry: 0, number }, Job { workspace: workspace(number * 17), ..job(prompt, now) });
    }
    planner.grant_ready(now);
    let mut number = 0;
    bencher.bench_local(|| {
        number += 1;
        now = now + Duration::from_micros(100);
        planner.submit(event_id(number), Job { workspace: workspace(number), ..job(3_000, now) });
        black_box(planner.grant_ready(now));
        planner.finish(event_id(number), now);
    });
}

/// Time to record the rate limit of one more engine.
#[divan::bench(args = [150, 12_000])]
fn set_limit(bencher: Bencher, engines: usize) {
    let now = Moment::from_millis(10_000);
    let mut planner = loaded!(Planner::new(Policy::default(), 0), (engines, 0), now);
    let mut number = 0;
    bencher.bench_local(|| {
        number += 1;
        planner.set_limit(&name(number % engines), Some(2.0), 1.0, now);
    });
}

#[divan::bench(args = REFERENCE_SIZES, sample_count = 10)]
fn reference_planner(bencher: Bencher, size: (usize, u64)) {
    let now = Moment::from_millis(10_000);
    let mut planner = loaded!(plain::Planner::new(Policy::default(), 0), size, now);
    let mut number = 0;
    bencher.bench_local(|| {
        number += 1;
        planner.submit(event_id(number), job(3_000, now));
        black_box(planner.grant_ready(now));
        planner.finish(event_id(number), now);
    });
}
