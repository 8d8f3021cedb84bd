//! Entries that stop, crash, restart and lose the store while prompts are granted engines.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::leader;
use rustix::process::Signal;
use standin::platform::{Behavior, Fault, HOST, KEY, RequestSpec, Site, Spec};

fn prompt(id: &str) -> RequestSpec {
    RequestSpec::new("POST", "/prompt/1", id, KEY)
        .with_header("token-usage", "500,400")
        .with_header("deadline-ms", "2500")
}

fn payment(id: &str) -> RequestSpec {
    RequestSpec::new("POST", "/pay/1", id, KEY).with_header("deadline-ms", "2000")
}

async fn start_site(name: &str, entries: usize, bounds: &str) -> Site {
    let spec = Spec { entries, bounds: bounds.to_owned(), ..Spec::small(name) };
    Site::start(spec).await.expect("the site starts")
}

/// Waits until an entry has logged a text at least `times` times.
async fn wait_for_log(site: &Site, entry: usize, text: &str, times: usize) {
    let started = Instant::now();
    while site.log(entry).matches(text).count() < times {
        assert!(started.elapsed() < Duration::from_secs(12), "entry {entry} never logged {text}: {}", site.log(entry));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn assert_served_by_all(site: &Site, entries: usize, round: &str) {
    for entry in 0..entries {
        let id = format!("{round}{entry}");
        let outcome = site.send(entry, &prompt(&id)).await;
        assert_eq!((outcome.status, outcome.is_complete), (200, true), "entry {entry}: {outcome:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_end_finishes_what_runs_and_refuses_what_it_cannot_finish() {
    let mut site = start_site("processes-end", 2, "grace_s = 6").await;
    site.plain_replicas.iter().for_each(|replica| replica.queue_behaviors([Behavior::Stall(1_000)]));
    // A persistent connection that its client uses until the server closes it.
    let mut connection = TcpStream::connect(&site.addresses[0]).expect("the connection opens");
    let raw_request = |id: &str| {
        format!("GET /look/1 HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\nrequest-id: {id}\r\n\r\n")
    };
    let request = payment("a1");
    let running = site.send(0, &request);
    let ending = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        site.signal(0, Signal::TERM).expect("the signal is sent");
        site.wait_ready(0, false).await.expect("the entry stops being ready");
    };
    let (outcome, ()) = tokio::join!(running, ending);
    assert_eq!((outcome.status, outcome.is_complete), (200, true), "{outcome:?}");
    connection.write_all(raw_request("a2").as_bytes()).expect("the request is sent");
    let mut answer = [0; 512];
    let read = connection.read(&mut answer).expect("the response arrives");
    let text = String::from_utf8_lossy(&answer[..read]).to_lowercase();
    assert!(text.starts_with("http/1.1 200") && text.contains("connection: close"), "{text}");
    let idle_connection = TcpStream::connect(&site.addresses[0]).expect("the entry still accepts connections");
    let closed = tokio::task::spawn_blocking(move || {
        let mut idle_connection = idle_connection;
        idle_connection.set_read_timeout(Some(Duration::from_secs(10))).expect("the read timeout is set");
        idle_connection.read(&mut [0; 16])
    });
    assert_eq!(closed.await.expect("the reading thread ends").expect("the connection is closed cleanly"), 0);
    assert!(site.wait_exit(0).await.expect("the entry exits"), "the entry exits successfully");
    assert!(site.log(0).contains("step=stopped in_flight=0"));
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_comes_too_late_before_the_end_is_refused_as_not_run() {
    let site = start_site("processes-late", 1, "grace_s = 6").await;
    // A running request keeps the process up.
    site.plain_replicas.iter().for_each(|replica| replica.queue_behaviors([Behavior::Stall(1_900)]));
    let long_call = async {
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        site.send(0, &payment("b1")).await
    };
    let late_call = async {
        site.signal(0, Signal::TERM).expect("the signal is sent");
        tokio::time::sleep(Duration::from_millis(2_900)).await;
        site.send(0, &payment("b2")).await
    };
    let (long_call, late_call) = tokio::join!(long_call, late_call);
    assert_eq!(long_call.status, 200, "{long_call:?}");
    assert!(late_call.status == 503 || late_call.status == 0, "{late_call:?}");
    assert_eq!(site.plain_replicas.iter().map(|replica| replica.run_count("b2")).sum::<usize>(), 0);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_faulty_settings_file_is_refused_at_a_reload_and_no_request_is_cut() {
    let site = start_site("processes-reload", 1, "").await;
    site.plain_replicas.iter().for_each(|replica| replica.queue_behaviors([Behavior::Stall(500)]));
    let file = site.settings_file(0);
    let valid_settings = std::fs::read_to_string(&file).expect("the settings are readable");
    std::fs::write(&file, valid_settings.replace("store = ", "colour = red\nstore = "))
        .expect("the settings are written");
    let reload = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        site.signal(0, Signal::HUP).expect("the signal is sent");
    };
    let request = payment("c1");
    let (outcome, ()) = tokio::join!(site.send(0, &request), reload);
    assert_eq!(outcome.status, 200, "{outcome:?}");
    wait_for_log(&site, 0, "step=reload outcome=refused", 1).await;
    assert!(site.log(0).contains("gateway.colour"), "{}", site.log(0));
    std::fs::write(&file, valid_settings).expect("the settings are written");
    site.signal(0, Signal::HUP).expect("the signal is sent");
    wait_for_log(&site, 0, "step=reload outcome=\"bounds in force\"", 1).await;
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_that_still_waits_when_its_entry_closes_is_refused_as_not_run() {
    let mut site = start_site("processes-waits", 1, "grace_s = 6").await;
    // No engine has memory for the prompt while it waits, which is 0.45 of twenty seconds, far longer than the
    // shutdown.
    site.configure(&[KEY], |config| {
        config["routes"][0]["target_latency_ms"] = serde_json::json!(5_000);
        config["routes"][0]["timeout_ms"] = serde_json::json!(20_000);
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let waiting_prompt = RequestSpec::new("POST", "/prompt/1", "k1", KEY)
        .with_header("token-usage", "5000000,400")
        .with_header("deadline-ms", "20000");
    let ending = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        site.signal(0, Signal::TERM).expect("the signal is sent");
    };
    let (outcome, ()) = tokio::join!(site.send(0, &waiting_prompt), ending);
    assert_eq!(outcome.status, 503, "{outcome:?}");
    assert!(!outcome.header("retry-after").is_empty());
    assert!(outcome.elapsed < Duration::from_secs(4), "{:?}", outcome.elapsed);
    assert!(site.wait_exit(0).await.expect("the entry exits"), "the entry exits successfully");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn reloaded_bounds_are_in_force_at_once() {
    let site = start_site("processes-bounds", 1, "revoke_ms = 20000").await;
    site.store_listeners[0].set_fault(Fault::Unresponsive);
    let file = site.settings_file(0);
    let settings = std::fs::read_to_string(&file).expect("the settings are readable");
    std::fs::write(&file, settings.replace("revoke_ms = 20000", "revoke_ms = 1000")).expect("the settings are written");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(site.is_ready(0).await, "a verification is valid for 18 s so far");
    site.signal(0, Signal::HUP).expect("the signal is sent");
    wait_for_log(&site, 0, "step=reload outcome=\"bounds in force\"", 1).await;
    assert!(!site.is_ready(0).await, "a verification is valid for 0.9 s now");
    assert_eq!(site.send(0, &payment("j1")).await.status, 503);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn prompts_are_served_when_the_leader_is_killed_and_when_it_is_suspended() {
    let mut site = start_site("processes-kill", 3, "").await;
    let first_leader = leader(&site, 3).await;
    assert_served_by_all(&site, 3, "d").await;
    site.signal(first_leader, Signal::STOP).expect("the entry is suspended");
    let others: Vec<usize> = (0..3).filter(|entry| *entry != first_leader).collect();
    // Under a steady flow of its own messages, an entry must still notice that it receives none.
    let requests = (0..40).map(|number| {
        let (site, entry) = (&site, others[number % 2]);
        async move {
            tokio::time::sleep(Duration::from_millis(50 * number as u64)).await;
            site.send(entry, &prompt(&format!("e{number}"))).await
        }
    });
    for outcome in futures_util::future::join_all(requests).await {
        assert_eq!((outcome.status, outcome.is_complete), (200, true), "{outcome:?}");
        assert!(outcome.elapsed < Duration::from_millis(1_200), "{:?}", outcome.elapsed);
    }
    site.signal(first_leader, Signal::CONT).expect("the entry resumes");
    site.restart(first_leader).await.expect("the entry restarts");
    site.wait_ready(first_leader, true).await.expect("the entry is ready");
    assert_served_by_all(&site, 3, "f").await;
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_entry_is_the_youngest_for_everyone() {
    let mut site = start_site("processes-youngest", 3, "").await;
    let first_leader = leader(&site, 3).await;
    site.restart(first_leader).await.expect("the entry restarts");
    site.wait_ready(first_leader, true).await.expect("the entry is ready");
    wait_for_log(&site, first_leader, "step=following", 1).await;
    // Long enough for every entry to search for older entries once more.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let log = site.log(first_leader);
    let since_restart = log.rsplit("step=start").next().unwrap_or("");
    // An entry that knew the earlier run may join the new one, and leaves when it finds that it is a different run.
    let followers = since_restart.matches("step=peer-joined").count() - since_restart.matches("step=peer-left").count();
    assert_eq!(followers, 0, "the restarted entry has followers: {log}");
    assert_served_by_all(&site, 3, "g").await;
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_refused_by_the_store_leads_no_other() {
    let mut site = start_site("processes-turned-away", 3, "").await;
    let first_leader = leader(&site, 3).await;
    site.store_listeners[first_leader].set_fault(Fault::TooManyRequests);
    site.restart(first_leader).await.expect("the entry restarts");
    tokio::time::sleep(Duration::from_millis(500)).await;
    for entry in (0..3).filter(|entry| *entry != first_leader) {
        let outcome = site.send(entry, &prompt(&format!("h{entry}"))).await;
        assert_eq!((outcome.status, outcome.is_complete), (200, true), "entry {entry}: {outcome:?}");
        assert!(outcome.elapsed < Duration::from_secs(1), "{:?}", outcome.elapsed);
    }
    let refused = site.send(first_leader, &prompt("h9")).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_is_cut_off_is_told_by_its_followers_and_keeps_them_when_nobody_knows() {
    let site = start_site("processes-old-proof", 3, "revoke_ms = 2500").await;
    let first_leader = leader(&site, 3).await;
    // An entry that first met another entry searches for an older one after 3 s.
    tokio::time::sleep(Duration::from_secs(4)).await;
    site.store_listeners[first_leader].set_fault(Fault::Unresponsive);
    // Longer than a verification stays valid: the followers read the store and send their data to the leader.
    tokio::time::sleep(Duration::from_secs(4)).await;
    for entry in 0..3 {
        let outcome = site.send(entry, &prompt(&format!("i{entry}"))).await;
        assert_eq!((outcome.status, outcome.is_complete), (200, true), "entry {entry}: {outcome:?}");
        assert!(outcome.elapsed < Duration::from_secs(1), "{:?}", outcome.elapsed);
        assert!(!site.log(entry).contains("step=leader-lost"), "entry {entry} keeps its leader");
    }
    // When no entry reaches the store, no entry can know which keys were revoked.
    site.store_listeners.iter().for_each(|listener| listener.set_fault(Fault::Unresponsive));
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    for entry in 0..3 {
        let outcome = site.send(entry, &prompt(&format!("j{entry}"))).await;
        assert_eq!(outcome.status, 503, "entry {entry}: {outcome:?}");
        assert!(outcome.elapsed < Duration::from_millis(500), "the refusal took {:?}", outcome.elapsed);
        assert!(!site.log(entry).contains("step=leader-lost"), "entry {entry} has no better leader");
    }
    // One entry that reads the store is enough for all.
    site.store_listeners[(first_leader + 1) % 3].set_fault(Fault::None);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_served_by_all(&site, 3, "k").await;
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_planned_and_ends_follows_the_next_at_once() {
    let site = start_site("processes-handover", 3, "grace_s = 6").await;
    let former_leader = leader(&site, 3).await;
    // A running request keeps the process up; requests that it still accepts are planned together with all others.
    site.plain_replicas.iter().for_each(|replica| replica.queue_behaviors([Behavior::Stall(1_500)]));
    let request = payment("p1");
    let running = site.send(former_leader, &request);
    let ending = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        site.signal(former_leader, Signal::TERM).expect("the signal is sent");
        let signalled_at = Instant::now();
        wait_for_log(&site, former_leader, "step=following", 1).await;
        assert!(
            signalled_at.elapsed() < Duration::from_millis(1_500),
            "the entry followed no leader until {:?}",
            signalled_at.elapsed()
        );
    };
    let (outcome, ()) = tokio::join!(running, ending);
    assert_eq!(outcome.status, 200, "{outcome:?}");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_restarted_during_a_store_outage_gets_its_data_from_peers() {
    for fault in [Fault::Unresponsive, Fault::Unavailable] {
        let bounds = "revoke_strict = false".to_owned();
        let spec = Spec { entries: 3, bounds, has_seeds: true, ..Spec::small("processes-back") };
        let mut site = Site::start(spec).await.expect("the site starts");
        let former_leader = leader(&site, 3).await;
        // The last entry knows the addresses of all others.
        let restarted = if former_leader == 2 { 1 } else { 2 };
        wait_for_log(&site, restarted, "step=announced address", 1).await;
        site.store_listeners.iter().for_each(|listener| listener.set_fault(fault));
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.restart(restarted).await.expect("the entry starts");
        let started = Instant::now();
        site.wait_ready(restarted, true).await.expect("the entry has the configuration");
        assert!(started.elapsed() < Duration::from_millis(2_500), "{fault:?}: {:?}", started.elapsed());
        for (number, request) in [prompt("q1"), payment("q2")].iter().enumerate() {
            let outcome = site.send(restarted, request).await;
            assert_eq!((outcome.status, outcome.is_complete), (200, true), "{fault:?} {number}: {outcome:?}");
        }
        // After the store returns, the entry is listed like all others.
        site.store_listeners.iter().for_each(|listener| listener.set_fault(Fault::None));
        wait_for_log(&site, restarted, "step=announced address", 2).await;
        let listed_peers = site.store.keys("keyed.peers");
        assert_eq!(
            (listed_peers.len(), listed_peers.last().map(String::as_str)),
            (3, Some(site.peer_address(restarted))),
            "{fault:?}"
        );
        assert_served_by_all(&site, 3, "r").await;
        site.close().expect("no invariant was breached");
    }
}
