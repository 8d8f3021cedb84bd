//! The complete request path over separate processes: prompts, plain calls and the timeline.

mod common;

use common::{call_headers, close_fleet, prompt, sorrelpass, start_small_fleet};
use serde_json::Value;

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_prompt_is_answered_completely() {
    let fleet = start_small_fleet("stream").await;
    let prompt = prompt(1_000, 20, 7);
    let outcome = fleet.client.send_prompt(&fleet.entries[0], &prompt).await;
    assert_eq!((outcome.status, outcome.error.as_deref()), (200, None));
    assert_eq!(outcome.text, prompt.expected());
    assert!(outcome.is_complete && outcome.ttft.is_some());
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_without_streaming_is_answered_completely_with_usage() {
    let fleet = start_small_fleet("whole").await;
    let mut prompt = prompt(1_000, 20, 8);
    prompt.stream = false;
    let headers = call_headers(None);
    let outcome = fleet.client.call("POST", &fleet.entries[1], "/v1/chat/completions", &headers, prompt.body()).await;
    let answer: Value = serde_json::from_str(&outcome.text).expect("the answer is JSON");
    assert_eq!(outcome.status, 200);
    assert_eq!(answer["choices"][0]["message"]["content"], prompt.expected());
    assert_eq!(answer["choices"][0]["finish_reason"], "length");
    assert_eq!(answer["usage"]["completion_tokens"], 20);
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_call_carries_method_body_query_and_status() {
    let fleet = start_small_fleet("plain").await;
    for (method, path, status) in [
        ("GET", "/services/stall-ledger/receipts/7?lang=rw", 200),
        ("PUT", "/services/stall-ledger/teapot?lang=rw", 418),
    ] {
        let outcome = fleet.client.call(method, &fleet.entries[0], path, &call_headers(None), "levy 500").await;
        let answer: Value = serde_json::from_str(&outcome.text).expect("the answer is JSON");
        assert_eq!(outcome.status, status);
        assert_eq!(
            (&answer["method"], &answer["query"], &answer["body"]),
            (&method.into(), &"lang=rw".into(), &"levy 500".into())
        );
        assert_eq!(answer["workspace"], "workspace-0");
    }
    close_fleet(fleet).await;
}

/// Escapes in the path of a call, which mean something else once they are decoded.
const ESCAPED_PATHS: [&str; 6] = ["a%20b", "a%3Fb", "a%23b", "a%2Fb", "a%25b", "%C3%A4"];

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_call_carries_its_path_as_the_caller_wrote_it() {
    let fleet = start_small_fleet("escaped").await;
    for path in ESCAPED_PATHS {
        let url = format!("/services/stall-ledger/{path}?lang=rw");
        let outcome = fleet.client.call("GET", &fleet.entries[0], &url, &call_headers(None), "").await;
        assert_eq!(outcome.status, 200, "{path}: {}", outcome.text);
        let answer: Value = serde_json::from_str(&outcome.text).expect("the answer is JSON");
        assert_eq!((&answer["path"], &answer["query"]), (&format!("/{path}").into(), &"lang=rw".into()));
    }
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_shows_up_in_one_time_line_over_all_processes() {
    let fleet = start_small_fleet("timeline").await;
    let mut prompt = prompt(1_000, 5, 9);
    prompt.headers.push(("x-request-id".into(), "vendor-42".into()));
    let outcome = fleet.client.send_prompt(&fleet.entries[0], &prompt).await;
    assert_eq!(outcome.text, prompt.expected());
    let files: Vec<String> = fleet.log_files().iter().map(|file| file.display().to_string()).collect();
    let mut args = vec!["timeline", "--request", "vendor-42"];
    args.extend(files.iter().map(String::as_str));
    let expected_steps = ["request", "attempt", "accept", "start-job", "first-token", "end-job", "done"];
    let mut output = String::new();
    common::wait_until("every step is logged", || {
        output = sorrelpass(&args).0;
        let has_all_steps = expected_steps.iter().all(|step| output.contains(&format!("step={step} ")));
        async move { has_all_steps }
    })
    .await;
    let position_of = |step: &str| output.find(&format!("step={step} ")).expect("the step is there");
    let causal_order = ["request", "attempt", "accept", "start-job", "first-token"];
    assert!(causal_order.windows(2).all(|pair| position_of(pair[0]) < position_of(pair[1])), "{output}");
    close_fleet(fleet).await;
}
