//! Entries end, die, come back and are cut off; prompts are granted engines all the while.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::leader;
use rustix::process::Signal;
use standin::platform::{Behavior, RequestSpec, Fault, HOST, KEY, Site, Spec};

fn prompt(id: &str) -> RequestSpec {
    RequestSpec::new("POST", "/prompt/1", id, KEY).with_header("token-usage", "500,400").with_header("deadline-ms", "2500")
}

fn pay(id: &str) -> RequestSpec {
    RequestSpec::new("POST", "/pay/1", id, KEY).with_header("deadline-ms", "2000")
}

async fn site(name: &str, entries: usize, bounds: &str) -> Site {
    let spec = Spec { entries, bounds: bounds.to_owned(), ..Spec::small(name) };
    Site::start(spec).await.expect("the site starts")
}

/// Waits until an entry has logged a text this often.
async fn logged(site: &Site, entry: usize, text: &str, times: usize) {
    let started = Instant::now();
    while site.log(entry).matches(text).count() < times {
        assert!(started.elapsed() < Duration::from_secs(12), "entry {entry} never logged {text}: {}", site.log(entry));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn served_by_all(site: &Site, entries: usize, round: &str) {
    for entry in 0..entries {
        let id = format!("{round}{entry}");
        let seen = site.send(entry, &prompt(&id)).await;
        assert_eq!((seen.status, seen.is_complete), (200, true), "entry {entry}: {seen:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_end_finishes_what_runs_and_refuses_what_it_cannot_finish() {
    let mut site = site("processes-end", 2, "grace_s = 6").await;
    site.plain_replicas.iter().for_each(|replica| replica.queue_behaviors([Behavior::Stall(1_000)]));
    // A kept connection that a caller goes on using until it is closed.
    let mut kept = TcpStream::connect(&site.addresses[0]).expect("it connects");
    let call = |id: &str| {
        format!("GET /look/1 HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\nrequest-id: {id}\r\n\r\n")
    };
    let ask = pay("a1");
    let running = site.send(0, &ask);
    let ending = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        site.signal(0, Signal::TERM).expect("it is told");
        site.wait_ready(0, false).await.expect("it is not ready at once");
    };
    let (seen, ()) = tokio::join!(running, ending);
    assert_eq!((seen.status, seen.is_complete), (200, true), "{seen:?}");
    kept.write_all(call("a2").as_bytes()).expect("it is sent");
    let mut answer = [0; 512];
    let read = kept.read(&mut answer).expect("it is answered");
    let text = String::from_utf8_lossy(&answer[..read]).to_lowercase();
    assert!(text.starts_with("http/1.1 200") && text.contains("connection: close"), "{text}");
    let rested = TcpStream::connect(&site.addresses[0]).expect("it still takes connections");
    let closed = tokio::task::spawn_blocking(move || {
        let mut rested = rested;
        rested.set_read_timeout(Some(Duration::from_secs(10))).expect("a limit is set");
        rested.read(&mut [0; 16])
    });
    assert_eq!(closed.await.expect("the reader ends").expect("it is closed, not cut"), 0);
    assert!(site.wait_exit(0).await.expect("it ends"), "it ends well");
    assert!(site.log(0).contains("step=stopped in_flight=0"));
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_comes_too_late_before_the_end_is_refused_as_not_run() {
    let site = site("processes-late", 1, "grace_s = 6").await;
    // Something that runs to the end keeps the process up.
    site.plain_replicas.iter().for_each(|replica| replica.queue_behaviors([Behavior::Stall(1_900)]));
    let long = async {
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        site.send(0, &pay("b1")).await
    };
    let late = async {
        site.signal(0, Signal::TERM).expect("it is told");
        tokio::time::sleep(Duration::from_millis(2_900)).await;
        site.send(0, &pay("b2")).await
    };
    let (long, late) = tokio::join!(long, late);
    assert_eq!(long.status, 200, "{long:?}");
    assert!(late.status == 503 || late.status == 0, "{late:?}");
    assert_eq!(site.plain_replicas.iter().map(|replica| replica.run_count("b2")).sum::<usize>(), 0);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_faulty_settings_file_is_refused_at_a_reload_and_no_request_is_cut() {
    let site = site("processes-reload", 1, "").await;
    site.plain_replicas.iter().for_each(|replica| replica.queue_behaviors([Behavior::Stall(500)]));
    let file = site.settings_file(0);
    let good = std::fs::read_to_string(&file).expect("it can be read");
    std::fs::write(&file, good.replace("store = ", "colour = red\nstore = ")).expect("it can be written");
    let reload = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        site.signal(0, Signal::HUP).expect("it is told");
    };
    let ask = pay("c1");
    let (seen, ()) = tokio::join!(site.send(0, &ask), reload);
    assert_eq!(seen.status, 200, "{seen:?}");
    logged(&site, 0, "step=reload outcome=refused", 1).await;
    assert!(site.log(0).contains("gateway.colour"), "{}", site.log(0));
    std::fs::write(&file, good).expect("it can be written");
    site.signal(0, Signal::HUP).expect("it is told");
    logged(&site, 0, "step=reload outcome=\"bounds in force\"", 1).await;
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_that_still_waits_when_its_entry_closes_is_refused_as_not_run() {
    let mut site = site("processes-waits", 1, "grace_s = 6").await;
    // No engine has memory for it for as long as it waits: 0.45 of twenty seconds, far beyond the end.
    site.configure(&[KEY], |config| {
        config["routes"][0]["target_latency_ms"] = serde_json::json!(5_000);
        config["routes"][0]["timeout_ms"] = serde_json::json!(20_000);
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let waits =
        RequestSpec::new("POST", "/prompt/1", "k1", KEY).with_header("token-usage", "5000000,400").with_header("deadline-ms", "20000");
    let ending = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        site.signal(0, Signal::TERM).expect("it is told");
    };
    let (seen, ()) = tokio::join!(site.send(0, &waits), ending);
    assert_eq!(seen.status, 503, "{seen:?}");
    assert!(!seen.header("retry-after").is_empty());
    assert!(seen.elapsed < Duration::from_secs(4), "{:?}", seen.elapsed);
    assert!(site.wait_exit(0).await.expect("it ends"), "it ends well");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn reloaded_bounds_are_in_force_at_once() {
    let site = site("processes-bounds", 1, "revoke_ms = 20000").await;
    site.store_listeners[0].set_fault(Fault::Unresponsive);
    let file = site.settings_file(0);
    let settings = std::fs::read_to_string(&file).expect("it can be read");
    std::fs::write(&file, settings.replace("revoke_ms = 20000", "revoke_ms = 1000")).expect("it can be written");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(site.is_ready(0).await, "a proof serves for 18 s so far");
    site.signal(0, Signal::HUP).expect("it is told");
    logged(&site, 0, "step=reload outcome=\"bounds in force\"", 1).await;
    assert!(!site.is_ready(0).await, "a proof serves for 0.9 s now");
    assert_eq!(site.send(0, &pay("j1")).await.status, 503);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn prompts_are_served_when_the_entry_that_plans_is_killed_and_when_it_freezes() {
    let mut site = site("processes-kill", 3, "").await;
    let first = leader(&site, 3).await;
    served_by_all(&site, 3, "d").await;
    site.signal(first, Signal::STOP).expect("it freezes");
    let others: Vec<usize> = (0..3).filter(|entry| *entry != first).collect();
    // A steady flow: what an entry has to say must not make it forget that it hears nothing.
    let flow = (0..40).map(|number| {
        let (site, entry) = (&site, others[number % 2]);
        async move {
            tokio::time::sleep(Duration::from_millis(50 * number as u64)).await;
            site.send(entry, &prompt(&format!("e{number}"))).await
        }
    });
    for seen in futures_util::future::join_all(flow).await {
        assert_eq!((seen.status, seen.is_complete), (200, true), "{seen:?}");
        assert!(seen.elapsed < Duration::from_millis(1_200), "{:?}", seen.elapsed);
    }
    site.signal(first, Signal::CONT).expect("it wakes");
    site.restart(first).await.expect("it restarts");
    site.wait_ready(first, true).await.expect("it is ready");
    served_by_all(&site, 3, "f").await;
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_entry_is_the_youngest_for_everyone() {
    let mut site = site("processes-youngest", 3, "").await;
    let first = leader(&site, 3).await;
    site.restart(first).await.expect("it restarts");
    site.wait_ready(first, true).await.expect("it is ready");
    logged(&site, first, "step=following", 1).await;
    // Long enough for everyone to look for older entries once more.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let log = site.log(first);
    let since_restart = log.rsplit("step=start").next().unwrap_or("");
    // An entry that knew the earlier run may try it, and leaves when it meets another one.
    let followers = since_restart.matches("step=peer-joined").count() - since_restart.matches("step=peer-left").count();
    assert_eq!(followers, 0, "nobody follows it: {log}");
    served_by_all(&site, 3, "g").await;
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_the_store_turns_away_plans_for_nobody() {
    let mut site = site("processes-turned-away", 3, "").await;
    let first = leader(&site, 3).await;
    site.store_listeners[first].set_fault(Fault::TooManyRequests);
    site.restart(first).await.expect("it restarts");
    tokio::time::sleep(Duration::from_millis(500)).await;
    for entry in (0..3).filter(|entry| *entry != first) {
        let seen = site.send(entry, &prompt(&format!("h{entry}"))).await;
        assert_eq!((seen.status, seen.is_complete), (200, true), "entry {entry}: {seen:?}");
        assert!(seen.elapsed < Duration::from_secs(1), "{:?}", seen.elapsed);
    }
    let refused = site.send(first, &prompt("h9")).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_is_cut_off_is_told_by_its_followers_and_keeps_them_when_nobody_knows() {
    let site = site("processes-old-proof", 3, "revoke_ms = 2500").await;
    let first = leader(&site, 3).await;
    // One that met another entry first looks for an older one after 3 s.
    tokio::time::sleep(Duration::from_secs(4)).await;
    site.store_listeners[first].set_fault(Fault::Unresponsive);
    // Longer than a proof serves: those that follow it read the store, and tell it what they read.
    tokio::time::sleep(Duration::from_secs(4)).await;
    for entry in 0..3 {
        let seen = site.send(entry, &prompt(&format!("i{entry}"))).await;
        assert_eq!((seen.status, seen.is_complete), (200, true), "entry {entry}: {seen:?}");
        assert!(seen.elapsed < Duration::from_secs(1), "{:?}", seen.elapsed);
        assert!(!site.log(entry).contains("step=leader-lost"), "entry {entry} is still planned for");
    }
    // Once nobody reaches the store, nobody can know which keys were taken away.
    site.store_listeners.iter().for_each(|door| door.set_fault(Fault::Unresponsive));
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    for entry in 0..3 {
        let seen = site.send(entry, &prompt(&format!("j{entry}"))).await;
        assert_eq!(seen.status, 503, "entry {entry}: {seen:?}");
        assert!(seen.elapsed < Duration::from_millis(500), "it is refused at once: {:?}", seen.elapsed);
        assert!(!site.log(entry).contains("step=leader-lost"), "entry {entry} has nobody better to go to");
    }
    // One that can read again is enough for all.
    site.store_listeners[(first + 1) % 3].set_fault(Fault::None);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    served_by_all(&site, 3, "k").await;
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_planned_and_ends_follows_the_next_at_once() {
    let site = site("processes-handover", 3, "grace_s = 6").await;
    let old = leader(&site, 3).await;
    // Something that runs to the end keeps the process up; what it still takes is planned with all the rest.
    site.plain_replicas.iter().for_each(|replica| replica.queue_behaviors([Behavior::Stall(1_500)]));
    let ask = pay("p1");
    let running = site.send(old, &ask);
    let ending = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        site.signal(old, Signal::TERM).expect("it is told");
        let told = Instant::now();
        logged(&site, old, "step=following", 1).await;
        assert!(told.elapsed() < Duration::from_millis(1_500), "it plans for itself alone until {:?}", told.elapsed());
    };
    let (seen, ()) = tokio::join!(running, ending);
    assert_eq!(seen.status, 200, "{seen:?}");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_comes_back_while_the_store_is_away_learns_all_from_the_others() {
    for fault in [Fault::Unresponsive, Fault::Unavailable] {
        let bounds = "revoke_strict = false".to_owned();
        let spec = Spec { entries: 3, bounds, has_seeds: true, ..Spec::small("processes-back") };
        let mut site = Site::start(spec).await.expect("the site starts");
        let old = leader(&site, 3).await;
        // The last entry knows where all the others are.
        let back = if old == 2 { 1 } else { 2 };
        logged(&site, back, "step=announced address", 1).await;
        site.store_listeners.iter().for_each(|door| door.set_fault(fault));
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.restart(back).await.expect("it starts");
        let started = Instant::now();
        site.wait_ready(back, true).await.expect("it knows the configuration");
        assert!(started.elapsed() < Duration::from_millis(2_500), "{fault:?}: {:?}", started.elapsed());
        for (number, ask) in [prompt("q1"), pay("q2")].iter().enumerate() {
            let seen = site.send(back, ask).await;
            assert_eq!((seen.status, seen.is_complete), (200, true), "{fault:?} {number}: {seen:?}");
        }
        // Once the store is back it is listed like all others.
        site.store_listeners.iter().for_each(|door| door.set_fault(Fault::None));
        logged(&site, back, "step=announced address", 2).await;
        let listed = site.store.keys("keyed.peers");
        assert_eq!((listed.len(), listed.last().map(String::as_str)), (3, Some(site.peer_address(back))), "{fault:?}");
        served_by_all(&site, 3, "r").await;
        site.close().expect("no invariant was breached");
    }
}
