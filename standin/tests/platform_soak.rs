//! A short soak of the platform's form, and every seed that ever found something.
//!
//! Seeds 7 and 9 (5 s of faults, two rounds) found that a signal ended an entry that had just been started: SIGHUP
//! came before its handler was set. Handlers are set before anyone can reach the process now. The others' causes
//! were the soak's own: a way that had lost bytes was reset in the calm (12), ports of an entry that was down
//! were taken by a soak beside it (12), and bad answers were left over for the calm (14, 22).
//!
//! Seeds 107, 149 and 154 with fatal work found prompts refused in the calm: a verdict cleared work that many asked for, and
//! the planner went on to take it for a suspect, of which only one was placed at a time.

use std::time::Duration;

use standin::platform::soak::{self, Plan};

async fn kept(seed: u64) {
    play(plan(seed)).await;
}

fn plan(seed: u64) -> Plan {
    let faults = Duration::from_secs(5);
    Plan {
        seed,
        rounds: 2,
        faults,
        entries: 3,
        callers: 16,
        has_fatal_requests: false,
        has_rate_limits: false,
        has_evacuations: false,
        has_response_signals: false,
    }
}

async fn play(plan: Plan) {
    let report = soak::run(&plan).await.expect("it runs");
    assert!(report.breaches.is_empty(), "{report}");
    assert!(report.statuses.get(&200).is_some_and(|served| *served > 100), "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_7() {
    kept(7).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_9() {
    kept(9).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_22() {
    kept(22).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_31_with_work_under_which_engines_end() {
    play(Plan { has_fatal_requests: true, ..plan(31) }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_107_with_work_under_which_engines_end() {
    play(Plan { has_fatal_requests: true, ..plan(107) }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_201_beside_replicas_that_name_a_limit() {
    play(Plan { has_rate_limits: true, ..plan(201) }).await;
}

/// The story: once, beside load, six short prompts were held for 0.9 s and refused in the calm: one engine of four was given
/// prompts, each when another was over, the others none. One had announced its end. One had served 15 prompts whose first
/// events were heard late, behind a freeze; each counted as a failure, and it was left out for 8 s. One took 3 a second by
/// the limit that it names, and counted as one that is left all the same. So each rule left most engines, and all together
/// left one, which was full. What showed it, with more callers (the next test): `held` with `engines: 3, choosable: 1,
/// failing: 1, limited: 1, full: 1` for the whole time, and 15 first events 0.64 s after their sends 8 s before its end.
#[tokio::test(flavor = "multi_thread")]
async fn seed_326_beside_replicas_that_name_a_limit() {
    play(Plan { has_rate_limits: true, ..plan(326) }).await;
}

/// The same, made to come by more callers: of seeds 301 to 316 with 48 callers 303, 310 and 315 had prompts refused in the
/// calm.
#[tokio::test(flavor = "multi_thread")]
async fn seed_303_with_many_callers_beside_replicas_that_name_a_limit() {
    play(Plan { has_rate_limits: true, callers: 48, ..plan(303) }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_domain_that_is_emptied_and_taken_back() {
    play(Plan { has_evacuations: true, ..plan(401) }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_6_with_replicas_that_say_they_leave_or_want_rest_and_a_store_that_comes_back_older() {
    play(Plan { has_response_signals: true, ..plan(6) }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_1032_with_a_refusal_under_way_when_the_rest_is_over() {
    play(Plan { has_response_signals: true, ..plan(1032) }).await;
}
