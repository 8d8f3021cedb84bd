//! The whole path over separate processes: prompts, plain calls, and the time line.

mod common;

use common::{call_headers, close, fleet, prompt, sorrelpass};
use serde_json::Value;

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_prompt_comes_back_whole() {
    let fleet = fleet("stream").await;
    let prompt = prompt(1_000, 20, 7);
    let seen = fleet.client.send_prompt(&fleet.entries[0], &prompt).await;
    assert_eq!((seen.status, seen.error.as_deref()), (200, None));
    assert_eq!(seen.text, prompt.expected());
    assert!(seen.is_complete && seen.ttft.is_some());
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_that_is_not_streamed_comes_back_whole_with_usage() {
    let fleet = fleet("whole").await;
    let mut prompt = prompt(1_000, 20, 8);
    prompt.stream = false;
    let headers = call_headers(None);
    let seen = fleet.client.call("POST", &fleet.entries[1], "/v1/chat/completions", &headers, prompt.body()).await;
    let answer: Value = serde_json::from_str(&seen.text).expect("the answer is JSON");
    assert_eq!(seen.status, 200);
    assert_eq!(answer["choices"][0]["message"]["content"], prompt.expected());
    assert_eq!(answer["choices"][0]["finish_reason"], "length");
    assert_eq!(answer["usage"]["completion_tokens"], 20);
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_call_carries_method_body_query_and_status() {
    let fleet = fleet("plain").await;
    for (method, path, status) in [
        ("GET", "/services/stall-ledger/receipts/7?lang=rw", 200),
        ("PUT", "/services/stall-ledger/teapot?lang=rw", 418),
    ] {
        let seen = fleet.client.call(method, &fleet.entries[0], path, &call_headers(None), "levy 500").await;
        let answer: Value = serde_json::from_str(&seen.text).expect("the answer is JSON");
        assert_eq!(seen.status, status);
        assert_eq!(
            (&answer["method"], &answer["query"], &answer["body"]),
            (&method.into(), &"lang=rw".into(), &"levy 500".into())
        );
        assert_eq!(answer["workspace"], "workspace-0");
    }
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_shows_up_in_one_time_line_over_all_processes() {
    let fleet = fleet("timeline").await;
    let mut prompt = prompt(1_000, 5, 9);
    prompt.headers.push(("x-request-id".into(), "vendor-42".into()));
    let seen = fleet.client.send_prompt(&fleet.entries[0], &prompt).await;
    assert_eq!(seen.text, prompt.expected());
    let files: Vec<String> = fleet.log_files().iter().map(|file| file.display().to_string()).collect();
    let mut args = vec!["timeline", "--request", "vendor-42"];
    args.extend(files.iter().map(String::as_str));
    let wanted = ["request", "attempt", "accept", "start-job", "first-token", "end-job", "done"];
    let mut printed = String::new();
    common::until("every step is logged", || {
        printed = sorrelpass(&args).0;
        let all = wanted.iter().all(|step| printed.contains(&format!("step={step} ")));
        async move { all }
    })
    .await;
    let place = |step: &str| printed.find(&format!("step={step} ")).expect("the step is there");
    let causal = ["request", "attempt", "accept", "start-job", "first-token"];
    assert!(causal.windows(2).all(|pair| place(pair[0]) < place(pair[1])), "{printed}");
    close(fleet).await;
}
