//! Streams are complete or visibly aborted, resume at another engine, and end with their client.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;
use standin::platform::{Behavior, KEY, Outcome, Replica, RequestSpec, Site, Spec};

fn prompt(id: &str) -> RequestSpec {
    RequestSpec::new("POST", "/prompt/1", id, KEY)
        .with_header("token-usage", "500,400")
        .with_header("deadline-ms", "2500")
}

fn complete_stream(id: &str) -> String {
    (1..=8).map(|event| format!("id: {event}\ndata: piece {event} of {id}\n\n")).collect()
}

async fn start_site(name: &str) -> Site {
    Site::start(Spec::small(name)).await.expect("the site starts")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_mid_event_goes_on_at_another_engine_behind_the_last_whole_event() {
    let site = start_site("streams-resume").await;
    site.engines.iter().for_each(|engine| engine.queue_behaviors([Behavior::AbortAfter(3)]));
    let outcome = site.send(0, &prompt("a1")).await;
    // The second engine aborts the stream too, and only two attempts are allowed.
    assert!(!outcome.is_complete, "{outcome:?}");
    assert_eq!(outcome.body, complete_stream("a1").split_inclusive("\n\n").take(6).collect::<String>());
    while site.send(0, &prompt("spend")).await.body != complete_stream("spend") {}
    // Each entry prefers different engines; the engine that answered last is the one preferred for short answers.
    let last_request_at =
        |engine: &Arc<Replica>| engine.received_requests().last().map(|received| received.received_at);
    let last_engine =
        (0..site.engines.len()).max_by_key(|index| last_request_at(&site.engines[*index])).expect("an engine answered");
    site.engines[last_engine].queue_behaviors([Behavior::AbortAfter(3)]);
    let mut resumed = None;
    for number in 0..20 {
        let id = format!("r{number}");
        let outcome = site.send(0, &prompt(&id)).await;
        assert_eq!(outcome.body, complete_stream(&id), "{outcome:?}");
        let received_requests: Vec<_> = site
            .engines
            .iter()
            .flat_map(|engine| engine.received_requests())
            .filter(|received| received.id == id)
            .collect();
        if received_requests.len() == 2 {
            resumed = received_requests.into_iter().find_map(|received| received.headers.get("last-event-id").cloned());
            break;
        }
    }
    assert_eq!(resumed.as_ref().and_then(|id| id.to_str().ok()), Some("3"));
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_twice_holds_a_part_of_the_whole_answer() {
    let site = start_site("streams-twice").await;
    site.engines.iter().for_each(|engine| engine.queue_behaviors([Behavior::AbortAfter(6)]));
    let outcome = site.send(0, &prompt("t1")).await;
    assert!(!outcome.is_complete, "{outcome:?}");
    assert!(outcome.body.len() > complete_stream("t1").len() / 2, "{outcome:?}");
    assert!(complete_stream("t1").starts_with(&outcome.body), "{outcome:?}");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_may_not_be_resumed_breaks_visibly_and_runs_once() {
    let site = start_site("streams-once").await;
    site.configure(&[KEY], |config| config["routes"][0]["stream_resume"] = json!(false));
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.engines.iter().for_each(|engine| engine.queue_behaviors([Behavior::AbortAfter(3)]));
    let outcome = site.send(0, &prompt("b1")).await;
    assert_eq!((outcome.status, outcome.is_complete), (200, false), "{outcome:?}");
    assert_eq!(site.engines.iter().map(|engine| engine.run_count("b1")).sum::<usize>(), 1);
    site.close().expect("no invariant was breached");
}

/// Sends a prompt to an engine that accepts it and stays unresponsive. Returns the outcome at the client, the elapsed
/// time and the index of the engine.
async fn send_to_unresponsive(site: &Site, id: &str) -> (Outcome, Duration, usize) {
    // Entries that have just found each other do not yet limit the wait for a first event.
    tokio::time::sleep(Duration::from_millis(600)).await;
    // An entry prefers the same engine among idle ones, so the next prompt goes there too.
    assert_eq!(site.send(0, &prompt("first")).await.status, 200);
    let unresponsive =
        site.engines.iter().position(|engine| engine.run_count("first") > 0).expect("an engine ran the prompt");
    site.engines[unresponsive].queue_behaviors([Behavior::Stall(5_000)]);
    let sent = Instant::now();
    let outcome = site.send(0, &prompt(id)).await;
    assert_eq!(site.engines[unresponsive].run_count(id), 1, "the prompt was sent to the unresponsive engine");
    (outcome, sent.elapsed(), unresponsive)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_on_an_unresponsive_engine_is_resent_to_another() {
    let site = start_site("streams-mute").await;
    let (outcome, elapsed, unresponsive) = send_to_unresponsive(&site, "m1").await;
    assert_eq!(outcome.body, complete_stream("m1"), "{outcome:?}");
    assert!(elapsed < Duration::from_millis(2_000), "{elapsed:?}");
    assert!(site.engines[unresponsive].cancelled_at("m1").is_some(), "the request was cancelled at the first engine");
    assert_eq!(site.engines.iter().map(|engine| engine.run_count("m1")).sum::<usize>(), 2);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_that_may_run_once_is_not_resent_from_an_unresponsive_engine() {
    let site = start_site("streams-mute-once").await;
    site.configure(&[KEY], |config| config["routes"][0]["stream_resume"] = json!(false));
    let (outcome, _, _) = send_to_unresponsive(&site, "m2").await;
    assert_eq!((outcome.status, outcome.header("x-sorrelpass-ran")), (504, "unknown"), "{outcome:?}");
    assert_eq!(site.engines.iter().map(|engine| engine.run_count("m2")).sum::<usize>(), 1);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_ends_the_work_before_and_after_the_first_event() {
    let site = start_site("streams-cancel").await;
    for (id, behavior, disconnect_ms) in [("c1", Behavior::Stall(5_000), 150), ("c2", Behavior::Serve, 70)] {
        site.engines.iter().for_each(|engine| engine.queue_behaviors([behavior]));
        let disconnected_at = Instant::now() + Duration::from_millis(disconnect_ms);
        site.send(0, &RequestSpec { disconnect_after: Some(Duration::from_millis(disconnect_ms)), ..prompt(id) }).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let cancelled = site.engines.iter().find_map(|engine| engine.cancelled_at(id));
        let delay =
            cancelled.expect("the request was cancelled at the engine").saturating_duration_since(disconnected_at);
        assert!(delay < Duration::from_millis(500), "{id}: {delay:?}");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_not_over_in_its_time_is_broken_off() {
    let site = start_site("streams-late").await;
    site.engines.iter().for_each(|engine| engine.queue_behaviors([Behavior::Stall(5_000)]));
    let outcome = site.send(0, &prompt("d1").with_header("x-note", "late")).await;
    assert_eq!(outcome.status, 504, "{outcome:?}");
    assert!(outcome.elapsed < Duration::from_millis(3_000), "{:?}", outcome.elapsed);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_answers_errors_is_left_alone() {
    let site = start_site("streams-errors").await;
    let failing_engine = &site.engines[0];
    failing_engine.queue_behaviors(std::iter::repeat_n(Behavior::Fail, 1_000));
    for number in 0..60 {
        let outcome = site.send(number % 2, &prompt(&format!("f{number}"))).await;
        assert_eq!((outcome.status, outcome.is_complete), (200, true), "{outcome:?}");
    }
    // Sixty prompts take about ten seconds; without an ejection nearly all of them would go to the failing engine.
    assert!(failing_engine.received_requests().len() <= 10, "{}", failing_engine.received_requests().len());
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_reports_a_slowdown_gets_no_prompts_until_it_recovers() {
    let site = start_site("streams-pace").await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(site.send(0, &prompt("first")).await.status, 200);
    let slow_engine =
        site.engines.iter().position(|engine| engine.run_count("first") > 0).expect("an engine ran the prompt");
    site.engines[slow_engine].set_reported_slowdown(6.0);
    site.engines[slow_engine].queue_behaviors([Behavior::Stall(600)]);
    assert_eq!(site.send(0, &prompt("late")).await.status, 200);
    assert!(site.engines[slow_engine].report_count() > 0, "the entry asks the late engine for its report");
    for number in 0..4 {
        assert_eq!(site.send(number % 2, &prompt(&format!("p{number}"))).await.status, 200);
    }
    assert_eq!(site.engines[slow_engine].received_requests().len(), 2, "the slow engine got no more prompts");
    site.engines[slow_engine].set_reported_slowdown(1.0);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    // An entry prefers the same engine among idle ones.
    assert_eq!(site.send(0, &prompt("again")).await.status, 200);
    assert_eq!(site.engines[slow_engine].run_count("again"), 1, "the recovered engine is preferred again");
    site.close().expect("no invariant was breached");
}
