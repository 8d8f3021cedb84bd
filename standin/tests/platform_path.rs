//! The complete request path on the users' platform: what replicas receive, and what clients get back.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::status_line_of_an_endless_head;
use serde_json::json;
use standin::platform::{Behavior, HOST, KEY, RequestSpec, Site, Spec};

fn prompt(id: &str, tokens: u64) -> RequestSpec {
    RequestSpec { body: Bytes::from("a question"), ..RequestSpec::new("POST", "/prompt/x?y=1", id, KEY) }
        .with_header("model", "m")
        .with_header("token-usage", &format!("{tokens},400"))
        .with_header("prompt-prefix", &format!("a1:40,{id}:{tokens}"))
        .with_header("deadline-ms", "2000")
}

fn complete_stream(id: &str) -> String {
    (1..=8).map(|event| format!("id: {event}\ndata: piece {event} of {id}\n\n")).collect()
}

async fn start_site(name: &str) -> Site {
    Site::start(Spec::small(name)).await.expect("the site starts")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_is_streamed_and_its_head_is_passed_on_as_it_should_be() {
    let site = start_site("path-prompt").await;
    let outcome = site.send(0, &prompt("aa01", 500)).await;
    assert_eq!((outcome.status, outcome.is_complete), (200, true), "{outcome:?}");
    assert_eq!(outcome.body, complete_stream("aa01"));
    assert_eq!(outcome.header("request-id"), "aa01");
    assert!(outcome.header("response-seal").starts_with("seal-of-engine"), "{outcome:?}");
    let received_requests: Vec<_> = site.engines.iter().flat_map(|engine| engine.received_requests()).collect();
    assert_eq!(received_requests.len(), 1);
    let header =
        |name: &str| received_requests[0].headers.get(name).map(|value| value.to_str().unwrap_or("").to_owned());
    assert_eq!(received_requests[0].path, "/prompt/x?y=1");
    assert_eq!(&received_requests[0].body[..], b"a question");
    assert_eq!(header("host").as_deref(), Some(HOST));
    assert_eq!(header("tenant-id").as_deref(), Some("workspace-0"));
    assert_eq!(header("authorization"), None);
    assert_eq!(header("token-usage").as_deref(), Some("500,400"));
    assert_eq!(header("prompt-prefix").as_deref(), Some("a1:40,aa01:500"));
    assert!(header("expect-replica").is_some_and(|id| id.starts_with("engine-")));
    let time_left_ms: u64 = header("deadline-ms").and_then(|raw| raw.parse().ok()).expect("a deadline is sent");
    assert!((1_000..=2_000).contains(&time_left_ms), "{time_left_ms}");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_prompt_is_read_by_several_engines_and_one_beyond_an_engine_holds_memory_until_its_end() {
    let site = start_site("path-long").await;
    let outcome = site.send(1, &prompt("bb01", 300_000)).await;
    assert_eq!(outcome.body, complete_stream("bb01"), "{outcome:?}");
    let received = site.engines.iter().flat_map(|engine| engine.received_requests()).next().expect("the request ran");
    let helpers = received.headers.get("helpers").and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
    assert_eq!(helpers.split(',').count(), 2, "{helpers}");
    assert!(!helpers.contains('/'), "no memory reservation is needed: {helpers}");

    let outcome = site.send(1, &prompt("bb02", 700_000)).await;
    assert_eq!(outcome.body, complete_stream("bb02"), "{outcome:?}");
    let received_requests: Vec<_> = site
        .engines
        .iter()
        .flat_map(|engine| engine.received_requests())
        .filter(|received| received.id == "bb02")
        .collect();
    let helpers = received_requests[0]
        .headers
        .get("helpers")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    assert!(helpers.contains('/'), "the reservation is named: {helpers}");
    let reserved_tokens: u64 = site
        .engines
        .iter()
        .flat_map(|engine| engine.memory_orders())
        .filter(|order| order["op"] == "reserve")
        .map(|order| order["token_count"].as_u64().unwrap_or(0))
        .sum();
    assert!(reserved_tokens >= 700_000 - 450_000, "{reserved_tokens}");
    for _ in 0..100 {
        if site.engines.iter().all(|engine| engine.reserved_tokens() == 0) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(site.engines.iter().map(|engine| engine.reserved_tokens()).sum::<u64>(), 0);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partial_memory_reservation_is_released_on_all_engines() {
    let site = start_site("path-memory").await;
    site.engines[0].refuse_reservations(true);
    let outcome = site.send(0, &prompt("cc01", 1_200_000)).await;
    assert_eq!(outcome.status, 503, "three engines are needed, one refuses: {outcome:?}");
    let run_count = site.engines.iter().map(|engine| engine.run_count("cc01")).sum::<usize>();
    assert_eq!(run_count, 0);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(site.engines.iter().map(|engine| engine.reserved_tokens()).sum::<u64>(), 0);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn what_cannot_be_routed_or_read_gets_the_right_status_and_reaches_no_replica() {
    let site = start_site("path-bad").await;
    let lookup = |id: &str| RequestSpec::new("GET", "/look/1", id, KEY);
    let no_route = site.send(0, &RequestSpec::new("GET", "/nowhere/1", "d1", KEY)).await;
    let no_key = site.send(0, &RequestSpec { headers: vec![("request-id", "d2".into())], ..lookup("d2") }).await;
    let wrong_key = site.send(0, &RequestSpec::new("GET", "/look/1", "d3", "nobody")).await;
    let deadline = site.send(0, &lookup("d4").with_header("deadline-ms", "soon")).await;
    let large_body =
        site.send(0, &RequestSpec { method: "POST", body: Bytes::from(vec![b'x'; 70_000]), ..lookup("d5") }).await;
    let large_head = site.send(0, &lookup("d6").with_header("x-long", &"y".repeat(40_000))).await;
    let statuses = [no_route, no_key, wrong_key, deadline, large_body, large_head].map(|outcome| outcome.status);
    assert_eq!(statuses, [404, 401, 401, 400, 413, 431]);
    assert!(site.plain_replicas.iter().all(|replica| replica.received_requests().is_empty()));
    let valid = site.send(0, &lookup("d7")).await;
    assert_eq!((valid.status, valid.is_complete), (200, true));
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_caller_that_still_writes_reads_its_refusal() {
    let site = start_site("path-endless-head").await;
    let address = site.addresses[0].clone();
    let line = tokio::task::spawn_blocking(move || status_line_of_an_endless_head(&address))
        .await
        .expect("the thread completes");
    assert!(line.starts_with("HTTP/1.1 431"), "{line}");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_tell_what_happened() {
    let site = start_site("path-metrics").await;
    site.engines.iter().for_each(|engine| engine.queue_behaviors([Behavior::Serve]));
    site.send(0, &prompt("ee01", 500)).await;
    let request = RequestSpec { headers: Vec::new(), ..RequestSpec::new("GET", "/metrics", "", "") };
    let outcome = standin::platform::send(&site.ready_addresses[0], HOST, &request).await.expect("metrics are served");
    assert!(outcome.body.contains("sorrelpass_first_event_seconds_count"), "{}", outcome.body);
    assert!(outcome.body.contains("sorrelpass_requests_total{outcome=\"ok\""), "{}", outcome.body);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_route_without_keys_is_open_only_if_the_configuration_says_so() {
    let site = start_site("path-public").await;
    site.configure(&[KEY], |config| config["routes"][2]["public"] = json!(true));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let request =
        RequestSpec { headers: vec![("request-id", "f1".into())], ..RequestSpec::new("GET", "/look/1", "", "") };
    assert_eq!(site.send(0, &request).await.status, 200);
    site.close().expect("no invariant was breached");
}
