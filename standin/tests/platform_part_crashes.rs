//! Prompts that share one part which crashes every engine that begins to answer them, while no two of them are alike.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand::RngExt;
use standin::platform::{HOST, KEY, Outcome, Replica, RequestSpec, Site, Spec, send};

/// Id of the part that crashes engines.
const FATAL_PART: &str = "dead0001";
/// Time after which a crashed engine is up again.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// Time after the fifth crash in which the entries may still learn the cause.
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// Prompts with the fatal part that may reach engines after that.
const MAX_LATE_ARRIVALS: usize = 3;
/// Interval between two prompts with the fatal part, and between two others.
const FATAL_INTERVAL: Duration = Duration::from_millis(120);
const SOUND_INTERVAL: Duration = Duration::from_millis(40);

/// Builds a prompt with these parts; its last part and its body are its own.
fn prompt(id: &str, parts: &str) -> RequestSpec {
    let request = RequestSpec::new("POST", "/prompt/1", id, KEY)
        .with_header("token-usage", "500,400")
        .with_header("deadline-ms", "2500")
        .with_header("prompt-prefix", &format!("{parts},{id}:200"));
    RequestSpec { body: Bytes::from(id.to_owned()), ..request }
}

/// Observations of a play.
#[derive(Default)]
struct Play {
    /// Time of the fifth crash; `None` if there were fewer.
    fifth_crash: Option<Instant>,
    /// Outcomes of the sound prompts with the times at which they were sent.
    sound: Vec<(Instant, Outcome)>,
}

impl Play {
    /// Returns the share of the sound prompts sent after `LEARNING_TIME` from the fifth crash that were served whole.
    fn served_share(&self) -> f64 {
        let from = self.fifth_crash.expect("five engines crashed") + 2 * LEARNING_TIME;
        let late: Vec<_> = self.sound.iter().filter(|(sent, _)| *sent >= from).collect();
        assert!(late.len() >= 20, "too few sound prompts to judge: {}", late.len());
        let served = late.iter().filter(|(_, outcome)| outcome.status == 200 && outcome.is_complete).count();
        served as f64 / late.len() as f64
    }
}

async fn start_site(name: &str) -> Site {
    let site = Site::start(Spec { entries: 3, engines: 8, ..Spec::small(name) }).await.expect("the site starts");
    site.engines.iter().for_each(|engine| engine.crash_on(FATAL_PART, RESTART_DELAY));
    // Entries that have just found each other have not exchanged all yet.
    tokio::time::sleep(Duration::from_millis(600)).await;
    site
}

fn crash_count(engines: &[Arc<Replica>]) -> usize {
    engines.iter().map(|engine| engine.crash_count()).sum()
}

/// Returns when prompts with this part reached engines, in order.
fn arrivals(site: &Site, part: &str) -> Vec<Instant> {
    let received = site.engines.iter().flat_map(|engine| engine.received_requests());
    let has_part = |headers: &axum::http::HeaderMap| {
        headers.get("prompt-prefix").and_then(|value| value.to_str().ok()).is_some_and(|raw| raw.contains(part))
    };
    let mut times: Vec<Instant> =
        received.filter(|request| has_part(&request.headers)).map(|request| request.received_at).collect();
    times.sort_unstable();
    times
}

/// Returns how many prompts with the fatal part reached engines after this time.
fn fatal_arrivals_after(site: &Site, from: Instant) -> usize {
    arrivals(site, FATAL_PART).into_iter().filter(|at| *at > from).count()
}

/// Plays prompts with one list of fatal parts; see [`play_all`].
async fn play(site: &Site, length: Duration, fatal_parts: &str) -> Play {
    play_all(site, length, &[fatal_parts]).await
}

/// Sends prompts with fatal parts, which take turns, and sound ones to all entries for `length`. Sound prompts share the
/// caller, the path and all parts but the fatal ones.
async fn play_all(site: &Site, length: Duration, fatal_parts: &[&str]) -> Play {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let is_over = AtomicBool::new(false);
    let next_id = |kind: &str| format!("{kind}{}", NUMBER.fetch_add(1, Ordering::Relaxed));
    let address = || site.addresses[rand::rng().random_range(0..site.addresses.len())].clone();
    let fatal = async {
        for parts in fatal_parts.iter().cycle().take_while(|_| !is_over.load(Ordering::Relaxed)) {
            let (id, address, parts) = (next_id("f"), address(), (*parts).to_owned());
            tokio::spawn(async move { send(&address, HOST, &prompt(&id, &parts)).await });
            tokio::time::sleep(FATAL_INTERVAL).await;
        }
    };
    let sound = async {
        let mut sent = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            let (id, address) = (next_id("s"), address());
            let request = async move { send(&address, HOST, &prompt(&id, "aaaa0001:40")).await.unwrap_or_default() };
            sent.push((Instant::now(), tokio::spawn(request)));
            tokio::time::sleep(SOUND_INTERVAL).await;
        }
        let mut outcomes = Vec::new();
        for (sent_at, request) in sent {
            outcomes.push((sent_at, request.await.expect("the request ends")));
        }
        outcomes
    };
    let watch = async {
        let started = Instant::now();
        let mut fifth_crash = None;
        while started.elapsed() < length {
            if fifth_crash.is_none() && crash_count(&site.engines) >= 5 {
                fifth_crash = Some(Instant::now());
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        is_over.store(true, Ordering::Relaxed);
        fifth_crash
    };
    let (fifth_crash, (), sound) = tokio::join!(watch, fatal, sound);
    Play { fifth_crash, sound }
}

#[tokio::test(flavor = "multi_thread")]
async fn prompts_with_a_part_that_crashed_engines_are_not_sent_again_by_any_entry() {
    let site = start_site("parts-crash").await;
    let played = play(&site, Duration::from_secs(10), &format!("aaaa0001:40,{FATAL_PART}:100")).await;
    let learned = played.fifth_crash.expect("five engines crashed") + LEARNING_TIME;
    let late = fatal_arrivals_after(&site, learned);
    assert!(late <= MAX_LATE_ARRIVALS, "{late} late arrivals, {} engines crashed", crash_count(&site.engines));
    assert!(played.served_share() > 0.9, "sound prompts served: {}", played.served_share());
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn two_fatal_parts_at_once_are_both_condemned_in_time() {
    let site = start_site("parts-two").await;
    let parts = ["dead0001", "dead0002"];
    // The text that crashes an engine stands in both ids.
    site.engines.iter().for_each(|engine| engine.crash_on("dead000", RESTART_DELAY));
    let lists = parts.map(|part| format!("aaaa0001:40,{part}:100"));
    play_all(&site, Duration::from_secs(12), &lists.each_ref().map(|list| list.as_str())).await;
    for part in parts {
        let times = arrivals(&site, part);
        // The fifth crash is not before the fifth arrival.
        let learned = times.get(4).map(|fifth| *fifth + LEARNING_TIME);
        let late = times.iter().filter(|at| learned.is_some_and(|learned| **at > learned)).count();
        assert!(!times.is_empty(), "{part}: no engine received it");
        assert!(late <= MAX_LATE_ARRIVALS, "{part}: {late} late arrivals of {}", times.len());
    }
    site.close().expect("no invariant was breached");
}

/// Sends prompts with the fatal part until entry 0 has condemned it.
async fn condemn(site: &Site) {
    let parts = format!("aaaa0001:40,{FATAL_PART}:100");
    play(site, Duration::from_secs(4), &parts).await;
    let log = site.log(0);
    assert!(log.contains("step=part-condemned"), "entry 0 has a verdict");
}

/// Asserts that each entry refuses a prompt with the fatal part at once and sends it to no engine.
async fn assert_refused(site: &Site, round: &str) {
    for entry in 0..site.addresses.len() {
        let id = format!("{round}-{entry}");
        let outcome = site.send(entry, &prompt(&id, &format!("bbbb0002:40,{FATAL_PART}:100"))).await;
        assert_eq!((outcome.status, outcome.header("x-sorrelpass-ran")), (502, "no"), "{outcome:?}");
        assert!(outcome.body.contains("under part"), "{outcome:?}");
        assert_eq!(outcome.header("retry-after"), "", "{outcome:?}");
        assert!(outcome.elapsed < Duration::from_millis(300), "{:?}", outcome.elapsed);
        assert_eq!(site.engines.iter().map(|engine| engine.run_count(&id)).sum::<usize>(), 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_condemned_part_is_refused_at_once_also_after_the_loss_of_all_entries() {
    let mut site = start_site("parts-lasting").await;
    condemn(&site).await;
    assert_refused(&site, "before").await;
    for entry in 0..site.addresses.len() {
        site.restart(entry).await.expect("the entry restarts");
    }
    for entry in 0..site.addresses.len() {
        site.wait_ready(entry, true).await.expect("the entry is ready");
    }
    assert_refused(&site, "after").await;
    let outcome = site.send(0, &prompt("sound", "bbbb0002:40")).await;
    assert_eq!((outcome.status, outcome.is_complete), (200, true), "{outcome:?}");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_sees_a_condemned_part_and_lifts_it() {
    let site = start_site("parts-lift").await;
    condemn(&site).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let shown = quarantine(&site, None);
    let line = shown.lines().find_map(|line| line.strip_prefix("part=")).unwrap_or_else(|| panic!("no part: {shown}"));
    let (part, rest) = line.split_once(' ').expect("the line has a status");
    assert!(rest.starts_with("standing=condemned ends=engine-"), "{shown}");
    assert_eq!(quarantine(&site, Some(part)), format!("work={part} lifted\n"));
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    for entry in 0..site.addresses.len() {
        assert!(site.log(entry).contains(&format!("step=part-lifted part={part}")), "entry {entry} sends it again");
    }
    site.close().expect("no invariant was breached");
}

/// Runs `sorrelpass quarantine` and returns its output.
fn quarantine(site: &Site, lift: Option<&str>) -> String {
    let store = &site.store_listeners[0].address;
    let binary = standin::fleet::find_binary("sorrelpass").expect("the binary is built");
    let mut command = std::process::Command::new(binary);
    command.args(["quarantine", "--store", store]).args(lift.into_iter().flat_map(|part| ["--lift", part]));
    String::from_utf8(command.output().expect("the command runs").stdout).expect("the output is text")
}

/// Plays entries that exchange nothing but the records of the store, and returns the late arrivals and the crashes.
async fn play_isolated(name: &str, entries: usize) -> (usize, usize) {
    let spec = Spec { entries, engines: 8, is_isolated: true, ..Spec::small(name) };
    let site = Site::start(spec).await.expect("the site starts");
    site.engines.iter().for_each(|engine| engine.crash_on(FATAL_PART, RESTART_DELAY));
    let played = play(&site, Duration::from_secs(12), &format!("aaaa0001:40,{FATAL_PART}:100")).await;
    let learned = played.fifth_crash.expect("five engines crashed") + LEARNING_TIME;
    let counts = (fatal_arrivals_after(&site, learned), crash_count(&site.engines));
    site.close().expect("no invariant was breached");
    counts
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_that_hear_nothing_of_each_other_learn_of_a_condemned_part_from_the_store() {
    let (late, crashes) = play_isolated("parts-isolated", 3).await;
    assert!(late <= MAX_LATE_ARRIVALS, "{late} late arrivals, {crashes} engines crashed");
}

#[tokio::test(flavor = "multi_thread")]
async fn six_entries_that_hear_nothing_of_each_other_add_up_the_crashes_that_each_saw() {
    let (late, crashes) = play_isolated("parts-isolated-6", 6).await;
    assert!(late <= MAX_LATE_ARRIVALS, "{late} late arrivals, {crashes} engines crashed");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_is_condemned_in_time_although_all_entries_are_killed_while_they_learn() {
    let mut site = start_site("parts-killed").await;
    let parts = format!("aaaa0001:40,{FATAL_PART}:100");
    play(&site, Duration::from_millis(600), &parts).await;
    for entry in 0..site.addresses.len() {
        site.restart(entry).await.expect("the entry restarts");
    }
    for entry in 0..site.addresses.len() {
        site.wait_ready(entry, true).await.expect("the entry is ready");
    }
    let restarted = Instant::now();
    play(&site, Duration::from_secs(9), &parts).await;
    let late = fatal_arrivals_after(&site, restarted + LEARNING_TIME);
    assert!(late <= MAX_LATE_ARRIVALS, "{late} late arrivals, {} engines crashed", crash_count(&site.engines));
    site.close().expect("no invariant was breached");
}
