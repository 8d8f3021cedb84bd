//! What a prompt was granted goes back when nobody waits for it any more.
//!
//! The story: short prompts were held for 0.9 s and refused while the planner gave one engine one prompt at a time and the
//! others none. A prompt that gives up waiting in the very moment in which it is granted left its grant behind: the planner
//! counted its engines as reading, and its answer as being written, though nothing had been sent. An entry that wakes from
//! a freeze finds both due at once, the grant and the end of the wait, and takes either. A long prompt of that kind takes
//! its writer and the engines that hold memory for it out altogether; an engine that only reads for it gets one prompt
//! whenever nothing else is written there. What showed it: `held` with `reading` at the number of all engines, for seconds
//! after the only long prompt had been answered 503, and no `send` line of that prompt.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rustix::process::Signal;
use standin::platform::{RequestSpec, KEY, Replica, Outcome, Site, Spec};

/// Short prompts that are sent at the same time: fewer than one engine has slots for.
const AT_ONCE: usize = 12;
/// Longer than a prompt waits for its engines.
const FROZEN: Duration = Duration::from_millis(1_500);
/// Rounds: which of two things that have come about at the same moment an entry sees first is left to chance.
const ROUNDS: usize = 8;

fn prompt(id: &str, tokens: u64) -> RequestSpec {
    let usage = format!("{tokens},400");
    RequestSpec::new("POST", "/prompt/1", id, KEY).with_header("token-usage", &usage).with_header("deadline-ms", "2500")
}

/// Sends short prompts at the same time.
async fn at_once(site: &Site, entry: usize, name: &str) -> Vec<Outcome> {
    let asks: Vec<RequestSpec> = (0..AT_ONCE).map(|number| prompt(&format!("{name}-{number}"), 500)).collect();
    join_all(asks.iter().map(|ask| site.send(entry, ask))).await
}

/// The engines that got requests whose ids begin with `name`.
fn engines(site: &Site, name: &str) -> Vec<String> {
    let got = |engine: &&Arc<Replica>| engine.received_requests().iter().any(|run| run.id.starts_with(name));
    site.engines.iter().filter(got).map(|engine| engine.id.clone()).collect()
}

/// The entry that plans for both.
fn leader(site: &Site) -> usize {
    (0..2).max_by_key(|entry| site.log(*entry).matches("step=peer-joined").count()).expect("two entries")
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_granted_to_a_prompt_that_has_stopped_waiting_serve_others() {
    // An entry that comes back from a freeze trusts its keys still.
    let bounds = "revoke_ms = 20000".to_owned();
    let mut site = Site::start(Spec { bounds, ..Spec::small("grants-frozen") }).await.expect("it starts");
    for round in 0..ROUNDS {
        let lost = if round == 0 { leader(&site) } else { round % 2 };
        let left = 1 - lost;
        site.signal(lost, Signal::KILL).expect("it gets it");
        tokio::time::sleep(Duration::from_millis(50)).await;
        // It waits: whoever has just begun to plan gives no engines to long prompts.
        let long = prompt(&format!("long-{round}"), 700_000);
        let freeze = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            site.signal(left, Signal::STOP).expect("it stops");
            tokio::time::sleep(FROZEN).await;
            site.signal(left, Signal::CONT).expect("it goes on");
        };
        let (answer, ()) = tokio::join!(site.send(left, &long), freeze);
        let after = at_once(&site, left, &format!("after-{round}")).await;
        let served = after.iter().filter(|seen| seen.is_complete && seen.status == 200).count();
        assert_eq!(served, AT_ONCE, "round {round}, the long prompt: {answer:?}\n{}", site.log(left));
        site.restart(lost).await.expect("it starts again");
        site.wait_ready(lost, true).await.expect("it is ready");
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    site.close().expect("no invariant was breached");
}

/// An engine that had answered 12 prompts while the entry that plans was frozen was left out for 8 s, the longest time for
/// which a breaker opens: each first event was heard late, and counted as one more failure.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_answered_while_its_entry_was_frozen_gets_more() {
    let service_time = Duration::from_millis(100);
    for frozen in 0..2 {
        let spec = Spec { entries: 2, service_time, ..Spec::small(&format!("grants-answered-{frozen}")) };
        let site = Site::start(spec).await.expect("it starts");
        let freeze = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            site.signal(frozen, Signal::STOP).expect("it stops");
            // Too short for the other entry to give it up.
            tokio::time::sleep(Duration::from_millis(400)).await;
            site.signal(frozen, Signal::CONT).expect("it goes on");
        };
        let (before, ()) = tokio::join!(at_once(&site, frozen, "before"), freeze);
        assert!(before.iter().all(|seen| seen.is_complete), "{before:?}");
        tokio::time::sleep(Duration::from_millis(200)).await;
        at_once(&site, frozen, "after").await;
        assert_eq!(engines(&site, "after"), engines(&site, "before"), "{}", site.log(frozen));
        site.close().expect("no invariant was breached");
    }
}

/// Of an answer that lies there and the end of its time, both found behind a freeze, either was taken by chance: a stream
/// was broken off of which every event had come in time.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_came_in_time_is_passed_on_by_an_entry_that_was_frozen() {
    let service_time = Duration::from_millis(50);
    let site = Site::start(Spec { entries: 1, service_time, ..Spec::small("grants-late") }).await.expect("it starts");
    for round in 0..ROUNDS {
        let freeze = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            site.signal(0, Signal::STOP).expect("it stops");
            tokio::time::sleep(FROZEN).await;
            site.signal(0, Signal::CONT).expect("it goes on");
        };
        let id = format!("stream-{round}");
        let ask = RequestSpec::new("POST", "/prompt/1", &id, KEY).with_header("token-usage", "500,400").with_header("deadline-ms", "1000");
        let (seen, ()) = tokio::join!(site.send(0, &ask), freeze);
        assert!(seen.is_complete && seen.status == 200, "round {round}: {seen:?}\n{}", site.log(0));
    }
    site.close().expect("no invariant was breached");
}
