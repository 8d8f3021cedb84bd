//! Engines that a prompt was granted are returned when the prompt no longer waits for them.
//!
//! Guards against a leaked grant when a prompt stops waiting at the moment in which its engines are granted. An entry
//! that resumes after a suspension finds both events due at once, the grant and the timeout, and takes either one
//! first. The planner then counts the engines as in prefill, and the answer as being decoded, although nothing was
//! sent. A long prompt of this kind blocks its decoding engine and the engines that reserve memory for it entirely; an
//! engine that only does prefill for it gets one prompt whenever nothing else is decoded there. Short prompts were
//! held for 0.9 s and refused while one engine got one prompt at a time and the others none. The log showed `held`
//! with `reading` at the number of all engines for seconds after the only long prompt had been answered with 503, and
//! no `send` line of that prompt.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rustix::process::Signal;
use standin::platform::{Ask, KEY, Replica, Seen, Site, Spec};

/// Number of short prompts that are sent at the same time, below the number of slots of one engine.
const AT_ONCE: usize = 12;
/// Length of a suspension, longer than a prompt waits for its engines.
const FROZEN: Duration = Duration::from_millis(1_500);
/// Number of rounds: which of two simultaneous events an entry handles first is random.
const ROUNDS: usize = 8;

fn prompt(id: &str, tokens: u64) -> Ask {
    let usage = format!("{tokens},400");
    Ask::new("POST", "/prompt/1", id, KEY).with("token-usage", &usage).with("deadline-ms", "2500")
}

/// Sends `BURST` short prompts at the same time.
async fn at_once(site: &Site, entry: usize, name: &str) -> Vec<Seen> {
    let asks: Vec<Ask> = (0..AT_ONCE).map(|number| prompt(&format!("{name}-{number}"), 500)).collect();
    join_all(asks.iter().map(|ask| site.send(entry, ask))).await
}

/// Returns the engines that received requests whose IDs begin with `prefix`.
fn engines(site: &Site, name: &str) -> Vec<String> {
    let got = |engine: &&Arc<Replica>| engine.seen().iter().any(|run| run.id.starts_with(name));
    site.engines.iter().filter(got).map(|engine| engine.id.clone()).collect()
}

/// Returns the leader of the two entries.
fn leader(site: &Site) -> usize {
    (0..2).max_by_key(|entry| site.log(*entry).matches("step=peer-joined").count()).expect("two entries")
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_granted_to_a_prompt_that_has_stopped_waiting_serve_others() {
    // A resumed entry still trusts its keys.
    let bounds = "revoke_ms = 20000".to_owned();
    let mut site = Site::start(Spec { bounds, ..Spec::small("grants-frozen") }).await.expect("it starts");
    for round in 0..ROUNDS {
        let lost = if round == 0 { leader(&site) } else { round % 2 };
        let left = 1 - lost;
        site.signal(lost, Signal::KILL).expect("it gets it");
        tokio::time::sleep(Duration::from_millis(50)).await;
        // The prompt waits, because an entry that has just become the leader grants no engines to long prompts.
        let long = prompt(&format!("long-{round}"), 700_000);
        let freeze = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            site.signal(left, Signal::STOP).expect("it stops");
            tokio::time::sleep(FROZEN).await;
            site.signal(left, Signal::CONT).expect("it goes on");
        };
        let (answer, ()) = tokio::join!(site.send(left, &long), freeze);
        let after = at_once(&site, left, &format!("after-{round}")).await;
        let served = after.iter().filter(|seen| seen.whole && seen.status == 200).count();
        assert_eq!(served, AT_ONCE, "round {round}, the long prompt: {answer:?}\n{}", site.log(left));
        site.restart(lost).await.expect("it starts again");
        site.wait_ready(lost, true).await.expect("it is ready");
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    site.close().expect("no invariant was breached");
}

/// Guards against failures charged to an engine for the suspension of its entry. The first events of 12 prompts were
/// received late by a suspended leader, each counted as one more failure, and the engine was ejected for 8 s, the
/// longest time for which a circuit breaker opens.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_answered_while_its_entry_was_frozen_gets_more() {
    let takes = Duration::from_millis(100);
    for frozen in 0..2 {
        let spec = Spec { entries: 2, takes, ..Spec::small(&format!("grants-answered-{frozen}")) };
        let site = Site::start(spec).await.expect("it starts");
        let freeze = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            site.signal(frozen, Signal::STOP).expect("it stops");
            // Shorter than the timeout after which the other entry gives the suspended one up.
            tokio::time::sleep(Duration::from_millis(400)).await;
            site.signal(frozen, Signal::CONT).expect("it goes on");
        };
        let (before, ()) = tokio::join!(at_once(&site, frozen, "before"), freeze);
        assert!(before.iter().all(|seen| seen.whole), "{before:?}");
        tokio::time::sleep(Duration::from_millis(200)).await;
        at_once(&site, frozen, "after").await;
        assert_eq!(engines(&site, "after"), engines(&site, "before"), "{}", site.log(frozen));
        site.close().expect("no invariant was breached");
    }
}

/// Guards against a random choice between a received event and the expired deadline after a suspension: a stream was
/// aborted although each of its events had arrived in time.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_came_in_time_is_passed_on_by_an_entry_that_was_frozen() {
    let takes = Duration::from_millis(50);
    let site = Site::start(Spec { entries: 1, takes, ..Spec::small("grants-late") }).await.expect("it starts");
    for round in 0..ROUNDS {
        let freeze = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            site.signal(0, Signal::STOP).expect("it stops");
            tokio::time::sleep(FROZEN).await;
            site.signal(0, Signal::CONT).expect("it goes on");
        };
        let id = format!("stream-{round}");
        let ask = Ask::new("POST", "/prompt/1", &id, KEY).with("token-usage", "500,400").with("deadline-ms", "1000");
        let (seen, ()) = tokio::join!(site.send(0, &ask), freeze);
        assert!(seen.whole && seen.status == 200, "round {round}: {seen:?}\n{}", site.log(0));
    }
    site.close().expect("no invariant was breached");
}
