//! Prompts that exceed one engine are answered completely by a gang of engines, and all its memory is released.

mod common;

use std::time::Duration;

use common::{close_fleet, prompt, start_fleet, wait_until};
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rustix::process::Signal;
use standin::engine::model::Capacity;
use standin::fleet::{Fleet, Spec};

/// Returns the spec of a fleet with ten engines of 40,000 tokens: a prompt of 100,000 tokens needs three engines, and
/// one failure domain has four.
fn small_engines_spec(name: &str) -> Spec {
    let engine_capacity = Capacity { memory: 40_000, speed: 20.0, ..Capacity::default() };
    Spec { engines: 10, services: 1, engine_capacity, ..Spec::small(name) }
}

async fn is_prefilling(fleet: &Fleet) -> bool {
    fleet.reserved_tokens().await > 60_000
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_larger_than_two_engines_is_answered_completely() {
    let fleet = start_fleet(small_engines_spec("gang")).await;
    let prompt = prompt(100_000, 30, 1);
    let outcome = fleet.client.send_prompt(&fleet.entries[0], &prompt).await;
    assert_eq!(outcome.text, prompt.expected(), "{outcome:?}");
    wait_until("no memory is reserved", || async { fleet.reserved_tokens().await == 0 }).await;
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_gangs_do_not_deadlock() {
    let fleet = start_fleet(small_engines_spec("gangs")).await;
    let prompts: Vec<_> = (0..4)
        .map(|seed| {
            let mut prompt = prompt(100_000, 20, seed);
            prompt.deadline = Duration::from_secs(40);
            prompt
        })
        .collect();
    let pending = prompts.iter().enumerate().map(|(index, prompt)| {
        let entry = &fleet.entries[index % 2];
        fleet.client.send_prompt(entry, prompt)
    });
    let outcomes = futures_util::future::join_all(pending).await;
    for (prompt, outcome) in prompts.iter().zip(outcomes) {
        assert_eq!(outcome.text, prompt.expected(), "{outcome:?}");
    }
    wait_until("no memory is reserved", || async { fleet.reserved_tokens().await == 0 }).await;
    close_fleet(fleet).await;
}

/// Runs a prompt that needs a gang and kills a process during prefill; the answer must be complete, or a failure must
/// be reported before the deadline.
async fn kill_during_prefill(name: &str, victim: impl Fn(usize) -> String) {
    let fleet = start_fleet(small_engines_spec(name)).await;
    let mut prompt = prompt(100_000, 400, 1);
    prompt.deadline = Duration::from_secs(30);
    let (outcome, ()) = tokio::join!(fleet.client.send_prompt(&fleet.entries[0], &prompt), async {
        wait_until("the prefill runs", || is_prefilling(&fleet)).await;
        // Engines 0, 3, 6 and 9 are in the failure domain of entry 0.
        fleet.signal(&victim(3), Signal::KILL).expect("killed");
    });
    assert!(outcome.text == prompt.expected() || outcome.failure.is_some(), "{outcome:?}");
    assert!(outcome.elapsed < prompt.deadline + Duration::from_secs(1));
    wait_until("no memory is reserved", || async { fleet.reserved_tokens().await == 0 }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gang_prompt_completes_or_fails_when_an_engine_is_killed() {
    kill_during_prefill("gang-engine", |index| format!("market-advisor-{index}")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_during_prefill_leaves_no_reservation() {
    let fleet = start_fleet(small_engines_spec("gang-entry")).await;
    let (client, entry) = (fleet.client.clone(), fleet.entries[0].clone());
    let pending = tokio::spawn(async move { client.send_prompt(&entry, &prompt(100_000, 400, 1)).await });
    wait_until("the prefill runs", || is_prefilling(&fleet)).await;
    fleet.signal("entry-0", Signal::KILL).expect("killed");
    wait_until("no memory is reserved", || async { fleet.reserved_tokens().await == 0 }).await;
    pending.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_sidecar_killed_midway_and_started_again_frees_its_span() {
    let mut fleet = start_fleet(small_engines_spec("gang-sidecar")).await;
    let (client, entry) = (fleet.client.clone(), fleet.entries[0].clone());
    let pending = tokio::spawn(async move { client.send_prompt(&entry, &prompt(100_000, 400, 1)).await });
    wait_until("the prefill runs", || is_prefilling(&fleet)).await;
    for index in [0, 3, 6, 9] {
        fleet.kill(&format!("sidecar-market-advisor-{index}")).expect("killed");
    }
    pending.abort();
    for index in [0, 3, 6, 9] {
        fleet.restart(&format!("sidecar-market-advisor-{index}")).expect("the process restarts");
    }
    wait_until("no memory is reserved", || async { fleet.reserved_tokens().await == 0 }).await;
    close_fleet(fleet).await;
}

/// Request body of `POST /span/hold`, with the fields in the order in which the sidecar decodes them.
#[derive(serde::Serialize)]
struct ReservationRequest {
    span: u128,
    tokens: u64,
    lease_micros: u64,
    renew: bool,
}

/// Guards against a span that stays reserved because the entry that requested its release dies before it receives the
/// response.
#[tokio::test(flavor = "multi_thread")]
async fn a_span_is_released_even_if_the_requesting_entry_disconnects() {
    let fleet = start_fleet(Spec { engines: 1, services: 1, ..Spec::small("gang-gone") }).await;
    let sidecar = &fleet.addresses["sidecar-market-advisor-0"];
    // Entries use HTTP/2, where a cancelled call ends at once at the server too.
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).http2_only(true).build_http();
    for span in 1..1_000u128 {
        let reservation = ReservationRequest { span, tokens: 1, lease_micros: 3_600_000_000, renew: false };
        let body = postcard::to_stdvec(&reservation).expect("encoded");
        assert_eq!(fleet.client.call("POST", sidecar, "/span/hold", &[], body).await.status, 200);
        let body = Full::from(postcard::to_stdvec(&span).expect("encoded"));
        let request = Request::post(format!("http://{sidecar}/span/free")).body(body).expect("a request");
        let pending = tokio::spawn(client.request(request));
        let delay = Duration::from_micros(20 + 5 * (span as u64 % 60));
        let start = std::time::Instant::now();
        while start.elapsed() < delay {
            tokio::task::yield_now().await;
        }
        pending.abort();
    }
    // Releases the spans again whose first release was cancelled before it was sent.
    for span in 1..1_000u128 {
        let body = postcard::to_stdvec(&span).expect("encoded");
        fleet.client.call("POST", sidecar, "/span/free", &[], body).await;
    }
    wait_until("every span is released", || async {
        let status = fleet.client.send_json("GET", sidecar, "/status", "", None).await;
        status.is_ok_and(|(_, status)| status["memory_held_tokens"] == 0)
    })
    .await;
    close_fleet(fleet).await;
}
