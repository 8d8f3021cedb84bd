//! A client receives the complete answer to its own request, whatever process dies on the way.

mod common;

use std::time::Duration;

use common::{close_fleet, prompt, start_fleet, start_small_fleet, wait_until};
use rustix::process::Signal;
use serde_json::json;
use standin::fleet::{Fleet, Spec};

/// Returns the first engine with reserved memory, or `None` if no engine has any.
async fn busy_engine(fleet: &Fleet) -> Option<String> {
    for number in 0..fleet.spec.engines {
        let name = format!("market-advisor-{number}");
        if let Ok((200, kv)) = fleet.client.send_json("GET", &fleet.addresses[&name], "/kv", "", None).await
            && kv["held_tokens"].as_u64().unwrap_or(0) > 0
        {
            return Some(name);
        }
    }
    None
}

/// Streams a prompt and executes `act` with the name of the engine that runs it, while the stream is under way.
async fn interrupt_stream(fleet: &Fleet, act: impl AsyncFnOnce(&Fleet, &str)) {
    let prompt = prompt(1_000, 400, 3);
    let (outcome, ()) = tokio::join!(fleet.client.send_prompt(&fleet.entries[0], &prompt), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let name = busy_engine(fleet).await.expect("an engine runs the prompt");
        act(fleet, &name).await;
    });
    assert_eq!(outcome.error, None);
    assert_eq!(outcome.failure, None);
    assert!(outcome.is_complete);
    assert_eq!(outcome.text, prompt.expected(), "the answer is complete although its engine was lost");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_elsewhere_after_its_engine_is_killed() {
    let fleet = start_small_fleet("engine-dies").await;
    interrupt_stream(&fleet, async |fleet, name| fleet.signal(name, Signal::KILL).expect("the engine is killed")).await;
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_elsewhere_after_its_sidecar_is_killed() {
    let fleet = start_small_fleet("sidecar-dies").await;
    let kill = async |fleet: &Fleet, name: &str| {
        fleet.signal(&format!("sidecar-{name}"), Signal::KILL).expect("the sidecar is killed");
    };
    interrupt_stream(&fleet, kill).await;
    let breaches = fleet.read_breaches().expect("logs can be read");
    assert!(breaches.is_empty(), "{breaches:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_elsewhere_after_its_engine_is_suspended() {
    let fleet = start_small_fleet("engine-freezes").await;
    let suspend = async |fleet: &Fleet, name: &str| {
        fleet.inject_fault(name, &json!({ "freeze_ms": 30_000 })).await.expect("the fault is taken");
    };
    interrupt_stream(&fleet, suspend).await;
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_elsewhere_after_its_sidecar_is_suspended() {
    let fleet = start_small_fleet("sidecar-freezes").await;
    let suspend = async |fleet: &Fleet, name: &str| {
        fleet.signal(&format!("sidecar-{name}"), Signal::STOP).expect("the sidecar is stopped");
    };
    interrupt_stream(&fleet, suspend).await;
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_elsewhere_after_its_engine_and_the_next_sidecar_are_killed() {
    let fleet = start_fleet(Spec { engines: 4, ..Spec::small("twice") }).await;
    let kill_two = async |fleet: &Fleet, name: &str| {
        fleet.signal(name, Signal::KILL).expect("the engine is killed");
        wait_until("another engine continues the stream", || async {
            busy_engine(fleet).await.is_some_and(|next_engine| next_engine != name)
        })
        .await;
        let next_engine = busy_engine(fleet).await.expect("another engine continues the stream");
        fleet.signal(&format!("sidecar-{next_engine}"), Signal::KILL).expect("the sidecar is killed");
    };
    interrupt_stream(&fleet, kill_two).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_streams_at_once_are_never_mixed_up() {
    let fleet = start_small_fleet("many").await;
    let streams = (0..60).map(|seed| {
        let fleet = &fleet;
        async move {
            let prompt = prompt(200 + 37 * seed as usize, 40, seed);
            let outcome = fleet.client.send_prompt(&fleet.entries[seed as usize % 2], &prompt).await;
            assert_eq!(outcome.text, prompt.expected(), "{outcome:?}");
        }
    });
    futures_util::future::join_all(streams).await;
    close_fleet(fleet).await;
}
