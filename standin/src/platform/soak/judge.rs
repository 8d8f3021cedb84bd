//! The promises, checked by what callers and replicas of a soak saw.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eyre::Result;

use super::caller::{FATAL, Line, Phase, Route};
use super::injector::Injector;
use super::{LIMIT, Plan, RECOVERY, REST, REVOKE, Report, last_of_each};
use crate::platform::replica::{Replica, Run};
use crate::platform::site::Site;

/// A replica that announced its end gets nothing after this; the entries' default bound, and time for the way.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Sends of fatal work: three, three after them, and as many by entries that are cut off or have just begun.
const MOST_FATAL: usize = 9;
/// A limit holds from so long after the first request …
const CONTACT: Duration = Duration::from_secs(3);
/// … in every window of this length, with half of it and five requests more.
const WINDOW: Duration = Duration::from_secs(4);
/// A rest binds from so long after it was asked for …
const BINDS_AFTER: Duration = Duration::from_millis(500);
/// … and leaves so many requests.
const MOST_IN_REST: usize = 2;
/// Engine memory is free so long after the last request.
const FREE: Duration = Duration::from_secs(5);

/// Checks the promises.
pub async fn judge(injector: Injector, lines: &[Line], plan: &Plan) -> Result<Report> {
    let Injector { site, faults, revoked, drained, evacuations, leavers, disturbed, mut breaches, .. } = injector;
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for replica in site.engines.iter().chain(&site.plain) {
        for run in replica.seen().iter().filter(|run| run.ran) {
            *runs.entry(run.id.clone()).or_default() += 1;
        }
    }
    let mut statuses = BTreeMap::new();
    for line in lines {
        *statuses.entry(line.seen.status).or_default() += 1;
        let ran = runs.get(&line.id).copied().unwrap_or(0);
        if let Some(breach) = broken(line, ran, revoked.get(&line.key).copied()) {
            breaches.push(format!("{breach}: {} at entry {} ran={ran} {line:?}", line.id, line.entry));
        }
    }
    for (replica, at) in &drained {
        let late = replica.seen().iter().filter(|run| run.ran && run.at > *at + DRAIN + RECOVERY).count();
        if late > 0 {
            breaches.push(format!("{late} requests went to {} long after it announced its end", replica.id));
        }
    }
    for (begun, ended) in evacuations {
        let binds =
            |run: &Run| run.ran && run.at > begun + DRAIN + RECOVERY && ended.is_none_or(|ended| run.at < ended);
        let late = last_of_each(&site).flat_map(|replica| replica.seen()).filter(binds).count();
        if late > 0 {
            breaches.push(format!("{late} requests went into a failure domain long after it was to be emptied"));
        }
    }
    let entries: Entries = lines.iter().map(|line| (&*line.id, line.entry)).collect();
    for (replica, at) in &leavers {
        let late = late_at_leaver(replica, *at, &entries, &disturbed);
        if late > 0 {
            breaches.push(format!("{late} requests went to {} long after it had said that it leaves", replica.id));
        }
    }
    let most_in_rest = if plan.words { most_in_rest(&site, &entries, &disturbed) } else { 0 };
    if most_in_rest > MOST_IN_REST {
        breaches.push(format!("a replica had asked an entry for rest, and got {most_in_rest} requests from it then"));
    }
    let fatal_sends = fatal_sends(&site);
    let ends = site.engines.iter().map(|engine| engine.ends()).sum();
    if fatal_sends > MOST_FATAL {
        breaches.push(format!("fatal work was sent {fatal_sends} times, {ends} engines ended"));
    }
    let most_limited = if plan.limits { most_limited(&site) } else { 0 };
    let allowed = (LIMIT * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize;
    if most_limited > allowed {
        breaches.push(format!("a replica that takes {LIMIT} a second got {most_limited} requests in 4 s"));
    }
    let quiet = Instant::now();
    let held = || site.engines.iter().map(|engine| engine.memory()).sum::<u64>();
    while held() > 0 && quiet.elapsed() < FREE {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    if held() > 0 {
        breaches.push(format!("{} tokens stay set aside", held()));
    }
    breaches.extend(site.breached_invariants());
    if breaches.is_empty() {
        site.close()?;
    } else {
        breaches.push(format!("logs are in {}", site.keep_logs().display()));
    }
    Ok(Report { statuses, faults, fatal_sends, ends, most_limited, most_in_rest, breaches })
}

/// The most requests in a window at a replica that names a limit, of all entries: also those that have just begun, or were
/// frozen, which the users' rule leaves out.
fn most_limited(site: &Site) -> usize {
    let most = |replica: &Replica| {
        let at: Vec<Instant> = replica.seen().iter().map(|run| run.at).collect();
        let counted = at.iter().filter(|begin| **begin >= at[0] + CONTACT);
        let within = |begin: &Instant| at.iter().filter(|at| **at >= *begin && **at < *begin + WINDOW).count();
        counted.map(within).max().unwrap_or(0)
    };
    last_of_each(site).map(|replica| most(replica)).max().unwrap_or(0)
}

/// The entry that each request was sent to, by its id.
type Entries<'a> = BTreeMap<&'a str, usize>;

/// What reached a replica through each entry.
fn runs_by_entry(replica: &Replica, entries: &Entries) -> BTreeMap<usize, Vec<Run>> {
    let mut runs: BTreeMap<usize, Vec<Run>> = BTreeMap::new();
    for run in replica.seen() {
        if let Some(entry) = entries.get(&*run.id) {
            runs.entry(*entry).or_default().push(run);
        }
    }
    runs
}

/// Whether an entry, or any way, was disturbed between two moments or shortly before.
fn is_disturbed(entry: usize, disturbed: &[(Option<usize>, Instant)], from: Instant, to: Instant) -> bool {
    let strikes = |at: Instant| at + RECOVERY > from && at < to;
    disturbed.iter().any(|(of, at)| of.is_none_or(|of| of == entry) && strikes(*at))
}

/// Requests that an entry sent to a replica long after that had told the same entry that it leaves; one that was started
/// again since was told nothing.
fn late_at_leaver(
    replica: &Replica,
    since: Instant,
    entries: &Entries,
    disturbed: &[(Option<usize>, Instant)],
) -> usize {
    let mut late = 0;
    for (entry, runs) in runs_by_entry(replica, entries) {
        let told: Vec<Instant> = runs.iter().map(|run| run.at).filter(|at| *at >= since).collect();
        let knew = |run: &Run| {
            let binds = |told: &Instant| run.at > *told + DRAIN && !is_disturbed(entry, disturbed, *told, run.at);
            told.iter().any(binds)
        };
        late += runs.iter().filter(|run| run.ran && knew(run)).count();
    }
    late
}

/// The most requests from one entry in a rest that a replica had asked it for, while neither that entry nor any way was
/// disturbed.
fn most_in_rest(site: &Site, entries: &Entries, disturbed: &[(Option<usize>, Instant)]) -> usize {
    let mut most = 0;
    for replica in site.engines.iter().chain(&site.plain) {
        for (entry, runs) in runs_by_entry(replica, entries) {
            let asked = runs.iter().filter(|run| run.has_backoff_request);
            for refusal in asked.filter(|run| !is_disturbed(entry, disturbed, run.at, run.at + REST)) {
                let is_in = |run: &&Run| run.at > refusal.at + BINDS_AFTER && run.at < refusal.at + REST;
                most = most.max(runs.iter().filter(is_in).count());
            }
        }
    }
    most
}

/// How often fatal work was sent.
fn fatal_sends(site: &Site) -> usize {
    let runs = site.engines.iter().flat_map(|engine| engine.seen());
    runs.filter(|run| *run.body == *FATAL.as_bytes()).count()
}

/// The promise that one request shows to be broken.
fn broken(line: &Line, ran: usize, revoked: Option<Instant>) -> Option<&'static str> {
    let seen = &line.seen;
    let promises = matches!(seen.status, 408 | 421 | 429 | 503);
    if line.route == Route::Pay && ran > 1 {
        return Some("a call that may run once ran again");
    }
    if ran > 2 {
        return Some("more replicas ran it than may");
    }
    if promises && ran > 0 {
        return Some("it ran, and its caller was told that it did not");
    }
    if seen.status == 200 && !is_right(line) {
        return Some("the answer is not the replica's");
    }
    if revoked.is_some_and(|at| line.sent > at + REVOKE) && ran > 0 {
        return Some("it ran with a key that was taken away");
    }
    let answered = seen.whole && seen.status > 0;
    match line.phase {
        Phase::Planned if ran > 0 && !answered => Some("its answer was lost, though nothing but planned work went on"),
        // Few engines cannot take every prompt that exceeds two of them; a refusal must be honest all the same.
        Phase::Calm if line.route == Route::LongPrompt && seen.status == 503 => None,
        Phase::Calm if !answered || seen.status != 200 => Some("it was not served, though nothing went on"),
        _ => None,
    }
}

/// Whether a success is whole and its own, or broken off visibly.
fn is_right(line: &Line) -> bool {
    let seen = &line.seen;
    if seen.header("request-id") != line.id || !seen.header("response-seal").starts_with("seal-of-") {
        return false;
    }
    match line.route {
        Route::Prompt | Route::LongPrompt => {
            let expected: String =
                (1..=8).map(|event| format!("id: {event}\ndata: piece {event} of {}\n\n", line.id)).collect();
            if seen.whole { seen.body == expected } else { expected.starts_with(&seen.body) }
        }
        Route::Pay | Route::Look => !seen.whole || seen.body.ends_with(&format!(" {}", line.id)),
    }
}
