//! A caller receives the whole answer to its own request, whatever dies on the way.

mod common;

use std::time::Duration;

use common::{close, fleet, prompt, start, until};
use rustix::process::Signal;
use serde_json::json;
use standin::fleet::{Fleet, Spec};

/// The engine that holds memory, if just one does.
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

/// Streams a prompt, and does something to the engine that runs it, by name, in the middle.
async fn interrupted(fleet: &Fleet, act: impl AsyncFnOnce(&Fleet, &str)) {
    let prompt = prompt(1_000, 400, 3);
    let (seen, ()) = tokio::join!(fleet.client.send_prompt(&fleet.entries[0], &prompt), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let name = busy_engine(fleet).await.expect("an engine runs the prompt");
        act(fleet, &name).await;
    });
    assert_eq!(seen.error, None);
    assert_eq!(seen.failure, None);
    assert!(seen.is_complete);
    assert_eq!(seen.text, prompt.expected(), "the answer is whole although its engine was lost");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_engine_dies_goes_on_elsewhere() {
    let fleet = fleet("engine-dies").await;
    interrupted(&fleet, async |fleet, name| fleet.signal(name, Signal::KILL).expect("the engine is killed")).await;
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_sidecar_dies_goes_on_elsewhere() {
    let fleet = fleet("sidecar-dies").await;
    let kill = async |fleet: &Fleet, name: &str| {
        fleet.signal(&format!("sidecar-{name}"), Signal::KILL).expect("the sidecar is killed");
    };
    interrupted(&fleet, kill).await;
    let breaches = fleet.read_breaches().expect("logs can be read");
    assert!(breaches.is_empty(), "{breaches:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_engine_freezes_goes_on_elsewhere() {
    let fleet = fleet("engine-freezes").await;
    let freeze = async |fleet: &Fleet, name: &str| {
        fleet.inject_fault(name, &json!({ "freeze_ms": 30_000 })).await.expect("the fault is taken");
    };
    interrupted(&fleet, freeze).await;
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_sidecar_freezes_goes_on_elsewhere() {
    let fleet = fleet("sidecar-freezes").await;
    let freeze = async |fleet: &Fleet, name: &str| {
        fleet.signal(&format!("sidecar-{name}"), Signal::STOP).expect("the sidecar is stopped");
    };
    interrupted(&fleet, freeze).await;
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_engine_and_then_next_sidecar_die_goes_on_elsewhere() {
    let fleet = start(Spec { engines: 4, ..Spec::small("twice") }).await;
    let twice = async |fleet: &Fleet, name: &str| {
        fleet.signal(name, Signal::KILL).expect("the engine is killed");
        until("another engine goes on", || async { busy_engine(fleet).await.is_some_and(|other| other != name) }).await;
        let other = busy_engine(fleet).await.expect("another engine goes on");
        fleet.signal(&format!("sidecar-{other}"), Signal::KILL).expect("the sidecar is killed");
    };
    interrupted(&fleet, twice).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_streams_at_once_are_never_mixed_up() {
    let fleet = fleet("many").await;
    let streams = (0..60).map(|seed| {
        let fleet = &fleet;
        async move {
            let prompt = prompt(200 + 37 * seed as usize, 40, seed);
            let seen = fleet.client.send_prompt(&fleet.entries[seed as usize % 2], &prompt).await;
            assert_eq!(seen.text, prompt.expected(), "{seen:?}");
        }
    });
    futures_util::future::join_all(streams).await;
    close(fleet).await;
}
