//! A draining endpoint gets no new requests after a few seconds, and a planned stop interrupts no request.

mod common;

use std::time::{Duration, Instant};

use common::{close_fleet, prompt, sorrelpass, start_small_fleet, wait_until};
use rustix::process::Signal;
use serde_json::json;
use standin::fleet::{Fleet, OPERATOR_KEY};

/// Time within which all entries stop sending new requests to a draining endpoint.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends 30 short prompts, alternating between the entries, and returns how many of them ran at `endpoint`.
async fn send_prompts_and_count(fleet: &Fleet, endpoint: &str) -> u64 {
    let before = count_accepted_jobs(fleet, endpoint);
    for seed in 0..30 {
        let prompt = prompt(300, 3, 1_000 + seed);
        let outcome = fleet.client.send_prompt(&fleet.entries[seed as usize % 2], &prompt).await;
        assert_eq!(outcome.text, prompt.expected(), "{outcome:?}");
    }
    count_accepted_jobs(fleet, endpoint) - before
}

fn count_accepted_jobs(fleet: &Fleet, endpoint: &str) -> u64 {
    let text = std::fs::read_to_string(fleet.log_file(&format!("sidecar-{endpoint}"))).expect("the log can be read");
    text.lines().filter(|line| line.contains("step=accept ")).count() as u64
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_endpoint_gets_no_new_work_and_takes_it_again_after() {
    let fleet = start_small_fleet("drain").await;
    let key = fleet.spec.dir.join("operator-key");
    std::fs::write(&key, OPERATOR_KEY).expect("the key is written");
    let args = ["--entry", &fleet.entries[0], "--key-file", &key.display().to_string(), "market-advisor-1"];
    let (text, ok) = sorrelpass(&[&["drain"], &args[..]].concat());
    assert!(ok && text.contains("revision"), "{text}");
    tokio::time::sleep(DRAIN_TIMEOUT).await;
    assert_eq!(send_prompts_and_count(&fleet, "market-advisor-1").await, 0);
    let (text, ok) = sorrelpass(&[&["drain", "--undo"], &args[..]].concat());
    assert!(ok, "{text}");
    tokio::time::sleep(DRAIN_TIMEOUT).await;
    assert!(send_prompts_and_count(&fleet, "market-advisor-1").await > 0);
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_listed_as_leaving_gets_no_new_work() {
    let fleet = start_small_fleet("listed").await;
    let address = &fleet.addresses["sidecar-market-advisor-0"];
    let vm = json!({ "name": "market-advisor-0", "address": address, "role": "endpoint",
        "service": "market-advisor", "failure_domain": "nyabugogo", "leaving": true });
    fleet.register_vm("market-advisor-0", &vm).await.expect("the VM is listed");
    tokio::time::sleep(DRAIN_TIMEOUT).await;
    assert_eq!(send_prompts_and_count(&fleet, "market-advisor-0").await, 0);
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_sidecar_finishes_what_runs() {
    let mut fleet = start_small_fleet("stop-sidecar").await;
    let prompt = prompt(1_000, 300, 3);
    let (outcome, name) = tokio::join!(fleet.client.send_prompt(&fleet.entries[0], &prompt), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let mut busy_sidecar = String::new();
        for number in 0..3 {
            if count_accepted_jobs(&fleet, &format!("market-advisor-{number}")) > 0 {
                busy_sidecar = format!("sidecar-market-advisor-{number}");
            }
        }
        fleet.signal(&busy_sidecar, Signal::TERM).expect("the sidecar is told to stop");
        busy_sidecar
    });
    assert_eq!(outcome.text, prompt.expected(), "{outcome:?}");
    assert!(fleet.wait_exit(&name, Duration::from_secs(5)).await.expect("the sidecar is waited for"));
    let log = std::fs::read_to_string(fleet.log_file(&name)).expect("the log can be read");
    assert!(log.contains("step=end-job "), "the job ended at the sidecar that was stopping");
    assert!(!log.contains("step=fail-job "));
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_finishes_what_runs() {
    let mut fleet = start_small_fleet("stop-entry").await;
    let prompt = prompt(1_000, 600, 3);
    let (outcome, ()) = tokio::join!(fleet.client.send_prompt(&fleet.entries[0], &prompt), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        fleet.signal("entry-0", Signal::TERM).expect("the entry is told to stop");
    });
    assert_eq!(outcome.text, prompt.expected(), "{outcome:?}");
    assert!(fleet.wait_exit("entry-0", Duration::from_secs(5)).await.expect("the entry is waited for"));
    close_fleet(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_is_not_ready_before_it_closes() {
    let fleet = start_small_fleet("lame-duck").await;
    fleet.signal("entry-0", Signal::TERM).expect("the entry is told to stop");
    let started = Instant::now();
    wait_until("the entry says that it is not ready", || async {
        let ready = fleet.client.send_json("GET", &fleet.entries[0], "/readyz", "", None).await;
        matches!(ready, Ok((503, _))) || started.elapsed() > DRAIN_TIMEOUT
    })
    .await;
    assert!(started.elapsed() < DRAIN_TIMEOUT);
    close_fleet(fleet).await;
}

/// Guards against a signal before its handler is set: once a process accepts connections, SIGTERM must shut it down
/// cleanly.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_told_to_end_as_soon_as_it_listens_ends_by_itself() {
    let mut fleet = start_small_fleet("leaving-early").await;
    let name = "sidecar-market-advisor-0";
    let address = fleet.addresses[name].clone();
    for run in 0..30 {
        fleet.kill(name).expect("killed");
        fleet.restart(name).expect("the process restarts");
        while std::net::TcpStream::connect(&address).is_err() {
            std::thread::yield_now();
        }
        fleet.signal(name, Signal::TERM).expect("signalled");
        assert!(fleet.wait_exit(name, Duration::from_secs(10)).await.expect("awaited"), "run {run} did not end well");
    }
    fleet.restart(name).expect("the process restarts");
    close_fleet(fleet).await;
}
