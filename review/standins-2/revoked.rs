//! Case 5: the platform's store turns the only entry away for 7 s. Meanwhile the operator writes 18 configs in quick
//! succession and then takes a key away. Clients go on using the key. Once the store serves the entry again, no request
//! with that key that was sent more than `revoke_ms` after the acknowledgement may run.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Request};
use crate::site::{self, Config, Record, Site};

/// Time that a replica takes for a request.
const WORK: Duration = Duration::from_millis(60);
/// Length of an answer.
const ANSWER_BYTES: usize = 800;
/// Clients with the key that is taken away, and those with keys of other tenants.
const REVOKED_CLIENTS: usize = 60;
const OTHER_CLIENTS: usize = 32;
/// Interval between two requests of a client.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time limit of a request.
const DEADLINE_MS: u64 = 4_000;
/// Routes that the operator added before (`big_config`), twice.
const ADDED_ROUTES: usize = 700;
/// Configs in quick succession (`config_storm`).
const STORM: usize = 18;
const STORM_GAP: Duration = Duration::from_millis(80);
/// Time for which the store turns the entry away (`platform_down`, `nodes`).
const TURNED_AWAY: Duration = Duration::from_secs(7);
/// Bound of the rule.
const REVOKE: Duration = Duration::from_millis(5_000);

/// A request that a client sent.
struct Sent {
    id: String,
    is_revoked_key: bool,
    at: Instant,
    status: u16,
}

/// Runs the case. Returns the exit status.
pub fn run(has_trouble: bool, record: &mut Record) -> i32 {
    let Some(site) = Site::start("revoked", WORK, ANSWER_BYTES, &[]) else {
        record.line("the entry did not become ready");
        return 2;
    };
    let revoked_key = site::key(0, 0);
    let sent = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..REVOKED_CLIENTS + OTHER_CLIENTS {
        let is_revoked_key = number < REVOKED_CLIENTS;
        let key = if is_revoked_key { revoked_key.clone() } else { site::key(1 + number % (site::TENANTS - 1), 1) };
        let (address, sent, is_over) = (site.entry.address.clone(), sent.clone(), is_over.clone());
        clients.push(thread::spawn(move || client(number, &address, &key, is_revoked_key, &sent, &is_over)));
    }
    let mut version = 7;
    let put = |version: u64, further_routes: usize, revoked: &[&str]| {
        site.store.put("keyed.op", "config", &Config { version, further_routes, revoked }.encode())
    };
    thread::sleep(Duration::from_secs(1));
    for added in [ADDED_ROUTES / 2, ADDED_ROUTES] {
        version += 3;
        put(version, added, &[]);
        thread::sleep(Duration::from_millis(1_500));
    }
    let seconds = |at: Instant| at.duration_since(site.started).as_secs_f64();
    let size = Config { version, further_routes: ADDED_ROUTES, revoked: &[] }.encode().len();
    record.line(&format!("config of {size} bytes; store turns the entry away: {has_trouble}"));
    let begun = Instant::now();
    site.store.turns_away.store(has_trouble, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(100));
    for _ in 0..STORM {
        version += 2;
        put(version, ADDED_ROUTES, &[]);
        thread::sleep(STORM_GAP);
    }
    let revoked_at = put(version + 1, ADDED_ROUTES, &[&revoked_key]);
    record.line(&format!("{STORM} configs written; key taken away, acknowledged at {:.3} s", seconds(revoked_at)));
    thread::sleep(TURNED_AWAY.saturating_sub(begun.elapsed()));
    site.store.turns_away.store(false, Ordering::SeqCst);
    let served_again = Instant::now();
    record.line(&format!("store serves the entry at {:.3} s", seconds(served_again)));
    thread::sleep(Duration::from_secs(6));
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("client"));

    let sent = sent.lock().unwrap();
    let runs: HashMap<String, Instant> = site.runs().into_iter().map(|run| (run.id, run.at)).collect();
    let mut counts: HashMap<(bool, u16), usize> = HashMap::new();
    let (mut late, mut broken, mut others_served) = (0, 0, 0);
    for request in sent.iter() {
        *counts.entry((request.is_revoked_key, request.status)).or_default() += 1;
        let run = runs.get(&request.id);
        record.detail(&format!(
            "sent {:.3} id {} key {} status {} run {}",
            seconds(request.at),
            request.id,
            if request.is_revoked_key { "revoked" } else { "other" },
            request.status,
            run.map_or("-".to_owned(), |at| format!("{:.3}", seconds(*at)))
        ));
        others_served += usize::from(!request.is_revoked_key && request.at > served_again && request.status == 200);
        if !request.is_revoked_key || request.at <= revoked_at + REVOKE {
            continue;
        }
        late += 1;
        if let Some(at) = run {
            broken += 1;
            record.line(&format!(
                "BROKEN: request {} sent {:.3} s after the acknowledgement ran at {:.3} s, status {}",
                request.id,
                request.at.duration_since(revoked_at).as_secs_f64(),
                seconds(*at),
                request.status
            ));
        }
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort();
    for ((is_revoked_key, status), count) in counts {
        record.line(&format!("key {} status {status}: {count}", if is_revoked_key { "revoked" } else { "other" }));
    }
    record.line(&format!("requests with the key sent over {} ms after the acknowledgement: {late}, of them run: {broken}", REVOKE.as_millis()));
    if late == 0 || others_served == 0 {
        record.line("the case could not run: no late request, or nobody was served afterwards");
        return 2;
    }
    i32::from(broken > 0)
}

/// Sends a request each second, and comes back once after a refusal, when it is told to.
fn client(number: usize, address: &str, key: &str, is_revoked_key: bool, sent: &Mutex<Vec<Sent>>, is_over: &AtomicBool) {
    let mut client = Client::new(address);
    thread::sleep(INTERVAL.mul_f64(number as f64 / (REVOKED_CLIENTS + OTHER_CLIENTS) as f64));
    let mut next = Instant::now();
    for round in 0.. {
        for attempt in 0..2 {
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("{number:04x}{round:04x}{attempt:08x}");
            let path = format!("/permit/{number}");
            let request =
                Request { method: "GET", path, id: id.clone(), key: key.to_owned(), deadline_ms: DEADLINE_MS, body: Vec::new() };
            let at = Instant::now();
            let outcome = client.send(&request).unwrap_or_default();
            sent.lock().unwrap().push(Sent { id, is_revoked_key, at, status: outcome.status });
            if outcome.status != 503 {
                break;
            }
            thread::sleep(Duration::from_secs_f64(outcome.retry_after.clamp(0.01, 1.3)));
        }
        next = (next + INTERVAL).max(Instant::now());
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}
