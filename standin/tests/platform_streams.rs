//! Streams are whole or visibly broken, go on elsewhere, and end with their caller.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;
use standin::platform::{Behavior, RequestSpec, KEY, Replica, Outcome, Site, Spec};

fn prompt(id: &str) -> RequestSpec {
    RequestSpec::new("POST", "/prompt/1", id, KEY).with_header("token-usage", "500,400").with_header("deadline-ms", "2500")
}

fn whole_stream(id: &str) -> String {
    (1..=8).map(|event| format!("id: {event}\ndata: piece {event} of {id}\n\n")).collect()
}

async fn site(name: &str) -> Site {
    Site::start(Spec::small(name)).await.expect("the site starts")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_mid_event_goes_on_at_another_engine_behind_the_last_whole_event() {
    let site = site("streams-resume").await;
    site.engines.iter().for_each(|engine| engine.queue_behaviors([Behavior::AbortAfter(3)]));
    let seen = site.send(0, &prompt("a1")).await;
    // The second engine breaks off too: two attempts are allowed.
    assert!(!seen.is_complete, "{seen:?}");
    assert_eq!(seen.body, whole_stream("a1").split_inclusive("\n\n").take(6).collect::<String>());
    while site.send(0, &prompt("spend")).await.body != whole_stream("spend") {}
    // Each process prefers other engines; the one that wrote last is the one that holds short answers.
    let last = |engine: &Arc<Replica>| engine.received_requests().last().map(|run| run.received_at);
    let writer = (0..site.engines.len()).max_by_key(|index| last(&site.engines[*index])).expect("one wrote");
    site.engines[writer].queue_behaviors([Behavior::AbortAfter(3)]);
    let mut resumed = None;
    for number in 0..20 {
        let id = format!("r{number}");
        let seen = site.send(0, &prompt(&id)).await;
        assert_eq!(seen.body, whole_stream(&id), "{seen:?}");
        let runs: Vec<_> = site.engines.iter().flat_map(|engine| engine.received_requests()).filter(|run| run.id == id).collect();
        if runs.len() == 2 {
            resumed = runs.into_iter().find_map(|run| run.headers.get("last-event-id").cloned());
            break;
        }
    }
    assert_eq!(resumed.as_ref().and_then(|id| id.to_str().ok()), Some("3"));
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_may_not_be_resumed_breaks_visibly_and_runs_once() {
    let site = site("streams-once").await;
    site.configure(&[KEY], |config| config["routes"][0]["stream_resume"] = json!(false));
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.engines.iter().for_each(|engine| engine.queue_behaviors([Behavior::AbortAfter(3)]));
    let seen = site.send(0, &prompt("b1")).await;
    assert_eq!((seen.status, seen.is_complete), (200, false), "{seen:?}");
    assert_eq!(site.engines.iter().map(|engine| engine.run_count("b1")).sum::<usize>(), 1);
    site.close().expect("no invariant was breached");
}

/// Sends a prompt to an engine that takes it and says nothing; returns what its caller saw, after how long, and the
/// engine's place.
async fn send_to_mute(site: &Site, id: &str) -> (Outcome, Duration, usize) {
    // Entries that have just found each other do not tell yet what is too long.
    tokio::time::sleep(Duration::from_millis(600)).await;
    // An entry prefers the same among engines that have nothing to do.
    assert_eq!(site.send(0, &prompt("first")).await.status, 200);
    let mute = site.engines.iter().position(|engine| engine.run_count("first") > 0).expect("one ran it");
    site.engines[mute].queue_behaviors([Behavior::Stall(5_000)]);
    let sent = Instant::now();
    let seen = site.send(0, &prompt(id)).await;
    assert_eq!(site.engines[mute].run_count(id), 1, "it was sent there");
    (seen, sent.elapsed(), mute)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_from_which_nothing_comes_is_sent_to_another_engine() {
    let site = site("streams-mute").await;
    let (seen, took, mute) = send_to_mute(&site, "m1").await;
    assert_eq!(seen.body, whole_stream("m1"), "{seen:?}");
    assert!(took < Duration::from_millis(2_000), "{took:?}");
    assert!(site.engines[mute].cancelled_at("m1").is_some(), "the first engine was told");
    assert_eq!(site.engines.iter().map(|engine| engine.run_count("m1")).sum::<usize>(), 2);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_that_may_run_once_is_not_sent_again_though_nothing_comes() {
    let site = site("streams-mute-once").await;
    site.configure(&[KEY], |config| config["routes"][0]["stream_resume"] = json!(false));
    let (seen, _, _) = send_to_mute(&site, "m2").await;
    assert_eq!((seen.status, seen.header("x-sorrelpass-ran")), (504, "unknown"), "{seen:?}");
    assert_eq!(site.engines.iter().map(|engine| engine.run_count("m2")).sum::<usize>(), 1);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_ends_the_work_before_and_after_the_first_event() {
    let site = site("streams-cancel").await;
    for (id, act, leave) in [("c1", Behavior::Stall(5_000), 150), ("c2", Behavior::Serve, 70)] {
        site.engines.iter().for_each(|engine| engine.queue_behaviors([act]));
        let left = Instant::now() + Duration::from_millis(leave);
        site.send(0, &RequestSpec { disconnect_after: Some(Duration::from_millis(leave)), ..prompt(id) }).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let cancelled = site.engines.iter().find_map(|engine| engine.cancelled_at(id));
        let after = cancelled.expect("the engine was told").saturating_duration_since(left);
        assert!(after < Duration::from_millis(500), "{id}: {after:?}");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_not_over_in_its_time_is_broken_off() {
    let site = site("streams-late").await;
    site.engines.iter().for_each(|engine| engine.queue_behaviors([Behavior::Stall(5_000)]));
    let seen = site.send(0, &prompt("d1").with_header("x-note", "late")).await;
    assert_eq!(seen.status, 504, "{seen:?}");
    assert!(seen.elapsed < Duration::from_millis(3_000), "{:?}", seen.elapsed);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_answers_errors_is_left_alone() {
    let site = site("streams-errors").await;
    let bad = &site.engines[0];
    bad.queue_behaviors(std::iter::repeat_n(Behavior::Fail, 1_000));
    for number in 0..60 {
        let seen = site.send(number % 2, &prompt(&format!("f{number}"))).await;
        assert_eq!((seen.status, seen.is_complete), (200, true), "{seen:?}");
    }
    // Sixty prompts take some ten seconds; those in a row would nearly all have gone to it.
    assert!(bad.received_requests().len() <= 10, "{}", bad.received_requests().len());
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_says_that_it_is_slow_gets_no_prompts_until_it_is_sound_again() {
    let site = site("streams-pace").await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(site.send(0, &prompt("first")).await.status, 200);
    let slow = site.engines.iter().position(|engine| engine.run_count("first") > 0).expect("one ran it");
    site.engines[slow].set_reported_slowdown(6.0);
    site.engines[slow].queue_behaviors([Behavior::Stall(600)]);
    assert_eq!(site.send(0, &prompt("late")).await.status, 200);
    assert!(site.engines[slow].report_count() > 0, "it was late, and is asked why");
    for number in 0..4 {
        assert_eq!(site.send(number % 2, &prompt(&format!("p{number}"))).await.status, 200);
    }
    assert_eq!(site.engines[slow].received_requests().len(), 2, "nothing more went to it");
    site.engines[slow].set_reported_slowdown(1.0);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    // An entry prefers the same among engines that have nothing to do.
    assert_eq!(site.send(0, &prompt("again")).await.status, 200);
    assert_eq!(site.engines[slow].run_count("again"), 1, "it is as good as before");
    site.close().expect("no invariant was breached");
}
