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
use standin::platform::{KEY, Outcome, Replica, RequestSpec, Site, Spec};

/// Number of short prompts that are sent at the same time, below the number of slots of one engine.
const CONCURRENT_PROMPTS: usize = 12;
/// Length of a suspension, longer than a prompt waits for its engines.
const SUSPENSION: Duration = Duration::from_millis(1_500);
/// Number of rounds: which of two simultaneous events an entry handles first is random.
const ROUNDS: usize = 8;

fn prompt(id: &str, tokens: u64) -> RequestSpec {
    let usage = format!("{tokens},400");
    RequestSpec::new("POST", "/prompt/1", id, KEY).with_header("token-usage", &usage).with_header("deadline-ms", "2500")
}

/// Sends `CONCURRENT_PROMPTS` short prompts at the same time.
async fn send_burst(site: &Site, entry: usize, prefix: &str) -> Vec<Outcome> {
    let requests: Vec<RequestSpec> =
        (0..CONCURRENT_PROMPTS).map(|number| prompt(&format!("{prefix}-{number}"), 500)).collect();
    join_all(requests.iter().map(|request| site.send(entry, request))).await
}

/// Returns the engines that received requests whose IDs begin with `prefix`.
fn engines_reached(site: &Site, prefix: &str) -> Vec<String> {
    let was_reached =
        |engine: &&Arc<Replica>| engine.received_requests().iter().any(|received| received.id.starts_with(prefix));
    site.engines.iter().filter(was_reached).map(|engine| engine.id.clone()).collect()
}

/// Returns the leader of the two entries.
fn current_leader(site: &Site) -> usize {
    (0..2).max_by_key(|entry| site.log(*entry).matches("step=peer-joined").count()).expect("two entries")
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_granted_to_a_prompt_that_has_stopped_waiting_serve_others() {
    // A resumed entry still trusts its keys.
    let bounds = "revoke_ms = 20000".to_owned();
    let mut site = Site::start(Spec { bounds, ..Spec::small("grants-frozen") }).await.expect("the site starts");
    for round in 0..ROUNDS {
        let killed = if round == 0 { current_leader(&site) } else { round % 2 };
        let survivor = 1 - killed;
        site.signal(killed, Signal::KILL).expect("the signal is sent");
        tokio::time::sleep(Duration::from_millis(50)).await;
        // The prompt waits, because an entry that has just become the leader grants no engines to long prompts.
        let long = prompt(&format!("long-{round}"), 700_000);
        let suspend = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            site.signal(survivor, Signal::STOP).expect("the entry is suspended");
            tokio::time::sleep(SUSPENSION).await;
            site.signal(survivor, Signal::CONT).expect("the entry resumes");
        };
        let (answer, ()) = tokio::join!(site.send(survivor, &long), suspend);
        let after = send_burst(&site, survivor, &format!("after-{round}")).await;
        let served = after.iter().filter(|outcome| outcome.is_complete && outcome.status == 200).count();
        assert_eq!(served, CONCURRENT_PROMPTS, "round {round}, the long prompt: {answer:?}\n{}", site.log(survivor));
        site.restart(killed).await.expect("the entry restarts");
        site.wait_ready(killed, true).await.expect("the entry is ready");
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    site.close().expect("no invariant was breached");
}

/// Guards against failures charged to an engine for the suspension of its entry. The first events of 12 prompts were
/// received late by a suspended leader, each counted as one more failure, and the engine was ejected for 8 s, the
/// longest time for which a circuit breaker opens.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_answered_while_its_entry_was_suspended_stays_eligible() {
    let service_time = Duration::from_millis(100);
    for suspended in 0..2 {
        let spec = Spec { entries: 2, service_time, ..Spec::small(&format!("grants-answered-{suspended}")) };
        let site = Site::start(spec).await.expect("the site starts");
        let suspend = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            site.signal(suspended, Signal::STOP).expect("the entry is suspended");
            // Shorter than the timeout after which the other entry gives the suspended one up.
            tokio::time::sleep(Duration::from_millis(400)).await;
            site.signal(suspended, Signal::CONT).expect("the entry resumes");
        };
        let (before, ()) = tokio::join!(send_burst(&site, suspended, "before"), suspend);
        assert!(before.iter().all(|outcome| outcome.is_complete), "{before:?}");
        tokio::time::sleep(Duration::from_millis(200)).await;
        send_burst(&site, suspended, "after").await;
        assert_eq!(engines_reached(&site, "after"), engines_reached(&site, "before"), "{}", site.log(suspended));
        site.close().expect("no invariant was breached");
    }
}

/// Guards against a random choice between a received event and the expired deadline after a suspension: a stream was
/// aborted although each of its events had arrived in time.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_received_in_time_is_forwarded_by_a_resumed_entry() {
    let service_time = Duration::from_millis(50);
    let site =
        Site::start(Spec { entries: 1, service_time, ..Spec::small("grants-late") }).await.expect("the site starts");
    for round in 0..ROUNDS {
        let suspend = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            site.signal(0, Signal::STOP).expect("the entry is suspended");
            tokio::time::sleep(SUSPENSION).await;
            site.signal(0, Signal::CONT).expect("the entry resumes");
        };
        let id = format!("stream-{round}");
        let request = RequestSpec::new("POST", "/prompt/1", &id, KEY)
            .with_header("token-usage", "500,400")
            .with_header("deadline-ms", "1000");
        let (outcome, ()) = tokio::join!(site.send(0, &request), suspend);
        assert!(outcome.is_complete && outcome.status == 200, "round {round}: {outcome:?}\n{}", site.log(0));
    }
    site.close().expect("no invariant was breached");
}
