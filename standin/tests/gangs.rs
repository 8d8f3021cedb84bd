//! Prompts that exceed one engine are answered whole by a gang, and nothing of theirs stays held.

mod common;

use std::time::Duration;

use common::{close, prompt, start, until};
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rustix::process::Signal;
use standin::engine::model::Capacity;
use standin::fleet::{Fleet, Spec};

/// Ten engines of 40,000 tokens: a prompt of 100,000 needs three, and one failure domain has four.
fn small_engines(name: &str) -> Spec {
    let engine_capacity = Capacity { memory: 40_000, speed: 20.0, ..Capacity::default() };
    Spec { engines: 10, services: 1, engine_capacity, ..Spec::small(name) }
}

async fn is_filling(fleet: &Fleet) -> bool {
    fleet.reserved_tokens().await > 60_000
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_of_more_than_two_engines_runs_whole() {
    let fleet = start(small_engines("gang")).await;
    let prompt = prompt(100_000, 30, 1);
    let seen = fleet.client.send_prompt(&fleet.entries[0], &prompt).await;
    assert_eq!(seen.text, prompt.expected(), "{seen:?}");
    until("no memory is held", || async { fleet.reserved_tokens().await == 0 }).await;
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn several_gangs_at_once_do_not_wait_for_each_other_for_ever() {
    let fleet = start(small_engines("gangs")).await;
    let prompts: Vec<_> = (0..4)
        .map(|seed| {
            let mut prompt = prompt(100_000, 20, seed);
            prompt.deadline = Duration::from_secs(40);
            prompt
        })
        .collect();
    let asked = prompts.iter().enumerate().map(|(number, prompt)| {
        let entry = &fleet.entries[number % 2];
        fleet.client.send_prompt(entry, prompt)
    });
    let seen = futures_util::future::join_all(asked).await;
    for (prompt, seen) in prompts.iter().zip(seen) {
        assert_eq!(seen.text, prompt.expected(), "{seen:?}");
    }
    until("no memory is held", || async { fleet.reserved_tokens().await == 0 }).await;
    close(fleet).await;
}

/// Runs a gang's prompt and kills a process in the middle; the answer is whole or an honest failure in time.
async fn killed_midway(name: &str, victim: impl Fn(usize) -> String) {
    let fleet = start(small_engines(name)).await;
    let mut prompt = prompt(100_000, 400, 1);
    prompt.deadline = Duration::from_secs(30);
    let (seen, ()) = tokio::join!(fleet.client.send_prompt(&fleet.entries[0], &prompt), async {
        until("the spans are being filled", || is_filling(&fleet)).await;
        // Engines 0, 3, 6 and 9 share the entry's failure domain.
        fleet.signal(&victim(3), Signal::KILL).expect("killed");
    });
    assert!(seen.text == prompt.expected() || seen.failure.is_some(), "{seen:?}");
    assert!(seen.elapsed < prompt.deadline + Duration::from_secs(1));
    until("no memory is held", || async { fleet.reserved_tokens().await == 0 }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_engine_killed_midway() {
    killed_midway("gang-engine", |number| format!("market-advisor-{number}")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_midway_leaves_nothing_held() {
    let fleet = start(small_engines("gang-entry")).await;
    let (client, entry) = (fleet.client.clone(), fleet.entries[0].clone());
    let asked = tokio::spawn(async move { client.send_prompt(&entry, &prompt(100_000, 400, 1)).await });
    until("the spans are being filled", || is_filling(&fleet)).await;
    fleet.signal("entry-0", Signal::KILL).expect("killed");
    until("no memory is held", || async { fleet.reserved_tokens().await == 0 }).await;
    asked.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_sidecar_killed_midway_and_started_again_frees_its_span() {
    let mut fleet = start(small_engines("gang-sidecar")).await;
    let (client, entry) = (fleet.client.clone(), fleet.entries[0].clone());
    let asked = tokio::spawn(async move { client.send_prompt(&entry, &prompt(100_000, 400, 1)).await });
    until("the spans are being filled", || is_filling(&fleet)).await;
    for number in [0, 3, 6, 9] {
        fleet.kill(&format!("sidecar-market-advisor-{number}")).expect("killed");
    }
    asked.abort();
    for number in [0, 3, 6, 9] {
        fleet.restart(&format!("sidecar-market-advisor-{number}")).expect("started again");
    }
    until("no memory is held", || async { fleet.reserved_tokens().await == 0 }).await;
    close(fleet).await;
}

/// The wire's form of a span's hold, as `wire::HoldRequest` has it.
#[derive(serde::Serialize)]
struct Hold {
    span: u128,
    tokens: u64,
    lease_micros: u64,
    renew: bool,
}

/// Found by the ten-minute soak: an entry died between asking for a span to be freed and hearing of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_span_is_freed_although_who_asked_for_it_goes_away_at_once() {
    let fleet = start(Spec { engines: 1, services: 1, ..Spec::small("gang-gone") }).await;
    let sidecar = &fleet.addresses["sidecar-market-advisor-0"];
    // As entries do: over HTTP/2, where a call that is given up ends at once on the other side too.
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).http2_only(true).build_http();
    for span in 1..1_000u128 {
        let hold = Hold { span, tokens: 1, lease_micros: 3_600_000_000, renew: false };
        let body = postcard::to_stdvec(&hold).expect("encoded");
        assert_eq!(fleet.client.call("POST", sidecar, "/span/hold", &[], body).await.status, 200);
        let body = Full::from(postcard::to_stdvec(&span).expect("encoded"));
        let request = Request::post(format!("http://{sidecar}/span/free")).body(body).expect("a request");
        let asked = tokio::spawn(client.request(request));
        let patience = Duration::from_micros(20 + 5 * (span as u64 % 60));
        let start = std::time::Instant::now();
        while start.elapsed() < patience {
            tokio::task::yield_now().await;
        }
        asked.abort();
    }
    // Those that were given up before they were sent are asked for once more.
    for span in 1..1_000u128 {
        let body = postcard::to_stdvec(&span).expect("encoded");
        fleet.client.call("POST", sidecar, "/span/free", &[], body).await;
    }
    until("every span is freed", || async {
        let status = fleet.client.send_json("GET", sidecar, "/status", "", None).await;
        status.is_ok_and(|(_, status)| status["memory_held_tokens"] == 0)
    })
    .await;
    close(fleet).await;
}
