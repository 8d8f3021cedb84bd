//! What leaves gets no new work after a few seconds, and a planned stop cuts off nothing.

mod common;

use std::time::{Duration, Instant};

use common::{close, fleet, prompt, sorrelpass, until};
use rustix::process::Signal;
use serde_json::json;
use standin::fleet::{Fleet, OPERATOR_KEY};

/// Within so long no entry may give an endpoint that leaves new work.
const LEAVING: Duration = Duration::from_secs(2);

/// Sends short prompts through every entry for a while; returns how many ran at `endpoint`.
async fn prompts_at(fleet: &Fleet, endpoint: &str) -> u64 {
    let before = accepted(fleet, endpoint);
    for seed in 0..30 {
        let prompt = prompt(300, 3, 1_000 + seed);
        let seen = fleet.client.send_prompt(&fleet.entries[seed as usize % 2], &prompt).await;
        assert_eq!(seen.text, prompt.expected(), "{seen:?}");
    }
    accepted(fleet, endpoint) - before
}

fn accepted(fleet: &Fleet, endpoint: &str) -> u64 {
    let text = std::fs::read_to_string(fleet.log_file(&format!("sidecar-{endpoint}"))).expect("the log can be read");
    text.lines().filter(|line| line.contains("step=accept ")).count() as u64
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_endpoint_gets_no_new_work_and_takes_it_again_after() {
    let fleet = fleet("drain").await;
    let key = fleet.spec.dir.join("operator-key");
    std::fs::write(&key, OPERATOR_KEY).expect("the key is written");
    let args = ["--entry", &fleet.entries[0], "--key-file", &key.display().to_string(), "market-advisor-1"];
    let (text, ok) = sorrelpass(&[&["drain"], &args[..]].concat());
    assert!(ok && text.contains("revision"), "{text}");
    tokio::time::sleep(LEAVING).await;
    assert_eq!(prompts_at(&fleet, "market-advisor-1").await, 0);
    let (text, ok) = sorrelpass(&[&["drain", "--undo"], &args[..]].concat());
    assert!(ok, "{text}");
    tokio::time::sleep(LEAVING).await;
    assert!(prompts_at(&fleet, "market-advisor-1").await > 0);
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_listed_as_leaving_gets_no_new_work() {
    let fleet = fleet("listed").await;
    let address = &fleet.addresses["sidecar-market-advisor-0"];
    let vm = json!({ "name": "market-advisor-0", "address": address, "role": "endpoint",
        "service": "market-advisor", "failure_domain": "nyabugogo", "leaving": true });
    fleet.register_vm("market-advisor-0", &vm).await.expect("the VM is listed");
    tokio::time::sleep(LEAVING).await;
    assert_eq!(prompts_at(&fleet, "market-advisor-0").await, 0);
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_sidecar_finishes_what_runs() {
    let mut fleet = fleet("stop-sidecar").await;
    let prompt = prompt(1_000, 300, 3);
    let (seen, name) = tokio::join!(fleet.client.send_prompt(&fleet.entries[0], &prompt), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let mut found = String::new();
        for number in 0..3 {
            if accepted(&fleet, &format!("market-advisor-{number}")) > 0 {
                found = format!("sidecar-market-advisor-{number}");
            }
        }
        fleet.signal(&found, Signal::TERM).expect("the sidecar is told to stop");
        found
    });
    assert_eq!(seen.text, prompt.expected(), "{seen:?}");
    assert!(fleet.wait_exit(&name, Duration::from_secs(5)).await.expect("the sidecar is waited for"));
    let log = std::fs::read_to_string(fleet.log_file(&name)).expect("the log can be read");
    assert!(log.contains("step=end-job "), "the job ended at the sidecar that was stopping");
    assert!(!log.contains("step=fail-job "));
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_finishes_what_runs() {
    let mut fleet = fleet("stop-entry").await;
    let prompt = prompt(1_000, 600, 3);
    let (seen, ()) = tokio::join!(fleet.client.send_prompt(&fleet.entries[0], &prompt), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        fleet.signal("entry-0", Signal::TERM).expect("the entry is told to stop");
    });
    assert_eq!(seen.text, prompt.expected(), "{seen:?}");
    assert!(fleet.wait_exit("entry-0", Duration::from_secs(5)).await.expect("the entry is waited for"));
    close(fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_is_not_ready_before_it_closes() {
    let fleet = fleet("lame-duck").await;
    fleet.signal("entry-0", Signal::TERM).expect("the entry is told to stop");
    let started = Instant::now();
    until("the entry says that it is not ready", || async {
        let ready = fleet.client.send_json("GET", &fleet.entries[0], "/readyz", "", None).await;
        matches!(ready, Ok((503, _))) || started.elapsed() > LEAVING
    })
    .await;
    assert!(started.elapsed() < LEAVING);
    close(fleet).await;
}

/// From the moment in which others can reach a process, a signal to end lets it end in peace.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_told_to_end_as_soon_as_it_listens_ends_by_itself() {
    let mut fleet = fleet("leaving-early").await;
    let name = "sidecar-market-advisor-0";
    let address = fleet.addresses[name].clone();
    for run in 0..30 {
        fleet.kill(name).expect("killed");
        fleet.restart(name).expect("started again");
        while std::net::TcpStream::connect(&address).is_err() {
            std::thread::yield_now();
        }
        fleet.signal(name, Signal::TERM).expect("signalled");
        assert!(fleet.wait_exit(name, Duration::from_secs(10)).await.expect("awaited"), "run {run} did not end well");
    }
    fleet.restart(name).expect("started again");
    close(fleet).await;
}
