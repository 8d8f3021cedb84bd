//! A soak of the platform's form: real entries as processes, faults from outside, promises checked by
//! what callers and replicas see.
//!
//! A run is a number of rounds. Each injects faults from the seed for a while, in series and overlapping,
//! then heals everything, gives the entries five seconds to come back, and checks a calm while strictly.
//! Every other round has planned work only: then no answer may be lost at all. Clocks are left alone:
//! entries decide by the steady clock only, which nothing outside a process can change.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;

use super::client::{Ask, Connection, Seen};
use super::proxy::Way;
use super::replica::{Act, Replica};
use super::site::{HOST, Site, Spec};
use super::store::Fault;

/// Time after the last fault within which everything works again.
const RECOVERY: Duration = Duration::from_secs(5);
/// How long the calm that is checked lasts.
const CALM: Duration = Duration::from_millis(1_500);
/// Pauses between faults, in milliseconds.
const BETWEEN: (u64, u64) = (50, 500);
/// How long a fault lasts, in milliseconds.
const LASTS: (u64, u64) = (100, 2_000);
/// A key that was taken away runs nothing after this; the site's bound of the same name.
const REVOKE: Duration = Duration::from_millis(2_500);
/// A replica that announced its end gets nothing after this; the entries' default bound, and time for the way.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Engine memory is free so long after the last request.
const FREE: Duration = Duration::from_secs(5);
/// Pause of a caller between two requests, in milliseconds.
const THINK: (u64, u64) = (5, 60);
/// Requests of one kept connection, at most.
const KEPT: u32 = 40;

/// What a soak is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the faults and the requests.
    pub seed: u64,
    /// Rounds of faults and calm.
    pub rounds: u32,
    /// How long faults are injected in each round.
    pub faults: Duration,
    /// Entries.
    pub entries: usize,
    /// Callers at once.
    pub callers: usize,
}

/// What came of a soak.
#[derive(Debug, Default)]
pub struct Report {
    /// Answers by status; 0 counts those that did not come.
    pub statuses: BTreeMap<u16, usize>,
    /// Faults by kind.
    pub faults: BTreeMap<Kind, usize>,
    /// Promises that were broken.
    pub breaches: Vec<String>,
}

/// Kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// An entry is killed, and started again.
    Kill,
    /// An entry is paused, and goes on.
    Freeze,
    /// An entry is told to end, and started again.
    Stop,
    /// An entry is told to read its settings.
    Reload,
    /// The store turns some or all entries away, does not answer, or loses answers.
    Store,
    /// The way between an entry and the store.
    StoreWay,
    /// The store forgets its history.
    Compact,
    /// A replica answers badly for a while.
    Answers,
    /// The way to a replica.
    ReplicaWay,
    /// The way from callers to an entry.
    CallerWay,
    /// Keys change.
    Keys,
    /// A replica announces its end.
    Drain,
}

const PLANNED: [Kind; 4] = [Kind::Stop, Kind::Reload, Kind::Keys, Kind::Compact];
const ALL: [Kind; 12] = [
    Kind::Kill,
    Kind::Freeze,
    Kind::Stop,
    Kind::Reload,
    Kind::Store,
    Kind::StoreWay,
    Kind::Compact,
    Kind::Answers,
    Kind::ReplicaWay,
    Kind::CallerWay,
    Kind::Keys,
    Kind::Drain,
];

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        writeln!(out, "answers: {:?}", self.statuses)?;
        writeln!(out, "faults: {:?}", self.faults)?;
        self.breaches.iter().try_for_each(|breach| writeln!(out, "breach: {breach}"))
    }
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    Prompt,
    LongPrompt,
    Pay,
    Look,
}

/// What goes on while a request is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// Faults, or what is left of them: an answer may be lost.
    #[default]
    Faults,
    /// Planned work only: what was taken is answered.
    Planned,
    /// Nothing: everything is served.
    Calm,
}

/// One request and what came of it.
#[derive(Clone, Debug)]
struct Line {
    id: String,
    route: Route,
    entry: usize,
    /// Number of the key that it carried.
    key: u64,
    sent: Instant,
    phase: Phase,
    seen: Seen,
}

/// What callers and injector share.
#[derive(Default)]
struct Shared {
    lines: Mutex<Vec<Line>>,
    next: AtomicU64,
    /// Number of the newest key.
    key: AtomicU64,
    phase: Mutex<Phase>,
    /// Whether callers use old keys too.
    stale_keys: AtomicBool,
    over: AtomicBool,
}

impl Shared {
    fn phase(&self) -> Phase {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn enter(&self, phase: Phase) {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner) = phase;
    }

    fn note(&self, line: Line) {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }
}

fn key(number: u64) -> String {
    format!("key-{number}")
}

/// A request under an id, with a key.
fn ask(route: Route, id: &str, key: &str) -> Ask {
    let prompt = |tokens: u32| {
        let usage = format!("{tokens},400");
        Ask::new("POST", "/prompt/1", id, key).with("token-usage", &usage).with("deadline-ms", "2500")
    };
    match route {
        Route::Prompt => prompt(500),
        Route::LongPrompt => prompt(700_000),
        Route::Pay => Ask::new("POST", "/pay/1", id, key).with("deadline-ms", "2000"),
        Route::Look => Ask::new("GET", "/look/1", id, key).with("deadline-ms", "2000"),
    }
}

/// A caller that keeps its connection for some requests, until the process behind it is gone.
async fn caller(shared: Arc<Shared>, addresses: Vec<String>, mut random: SmallRng) {
    let mut kept: Option<(usize, Connection, u32)> = None;
    let mut phase = shared.phase();
    while !shared.over.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.random_range(THINK.0..THINK.1))).await;
        if std::mem::replace(&mut phase, shared.phase()) != phase {
            // A way that lost bytes resets its connections once it is healed.
            kept = None;
        }
        let (entry, mut connection, used) = match kept.take().filter(|(_, open, used)| open.is_open() && *used < KEPT) {
            Some(kept) => kept,
            None => {
                let entry = random.random_range(0..addresses.len());
                let opened = tokio::time::timeout(Duration::from_secs(1), Connection::open(&addresses[entry])).await;
                let Ok(Ok(connection)) = opened else { continue };
                (entry, connection, 0)
            }
        };
        let newest = shared.key.load(Ordering::Relaxed);
        let stale = shared.stale_keys.load(Ordering::Relaxed) && random.random_bool(0.2);
        let number = if stale { newest.saturating_sub(1) } else { newest };
        let route = match random.random_range(0..20) {
            0 => Route::LongPrompt,
            1..9 => Route::Prompt,
            9..14 => Route::Pay,
            _ => Route::Look,
        };
        let id = format!("soak-{}", shared.next.fetch_add(1, Ordering::Relaxed));
        let sent = Instant::now();
        let ask = ask(route, &id, &key(number));
        let mut seen = Seen::default();
        let exchange = connection.exchange(HOST, &ask, &mut seen);
        // Longer than any deadline that is sent: an answer that is due is not cut off here.
        let _ = tokio::time::timeout(Duration::from_secs(4), exchange).await;
        seen.took = sent.elapsed();
        let answered = seen.whole && seen.header("connection") != "close";
        shared.note(Line { id, route, entry, key: number, sent, phase, seen });
        if answered {
            kept = Some((entry, connection, used + 1));
        }
    }
}

/// Takes a fault back.
enum Undo {
    Launch(usize),
    Continue(usize),
    AwaitEnd(usize),
    Store(usize),
    Way(usize),
}

/// Injects faults and remembers what it has to take back.
struct Injector {
    site: Site,
    shared: Arc<Shared>,
    random: SmallRng,
    undo: Vec<(Instant, Undo)>,
    faults: BTreeMap<Kind, usize>,
    /// When each key was taken away.
    revoked: BTreeMap<u64, Instant>,
    /// Replicas that announced their end, and when.
    drained: Vec<(Arc<Replica>, Instant)>,
    breaches: Vec<String>,
}

impl Injector {
    fn later(&mut self) -> Instant {
        Instant::now() + Duration::from_millis(self.random.random_range(LASTS.0..LASTS.1))
    }

    /// An entry whose process runs and is not on its way to its end.
    fn running(&mut self) -> Option<usize> {
        let busy = |entry: &usize| {
            self.undo.iter().any(|(_, undo)| {
                matches!(undo, Undo::Launch(other) | Undo::Continue(other) | Undo::AwaitEnd(other) if other == entry)
            })
        };
        let free: Vec<usize> =
            (0..self.site.doors.len()).filter(|entry| self.site.runs(*entry) && !busy(entry)).collect();
        free.choose(&mut self.random).copied()
    }

    async fn inject(&mut self, kind: Kind) -> Result<()> {
        *self.faults.entry(kind).or_default() += 1;
        let at = self.later();
        match kind {
            Kind::Kill => {
                let Some(entry) = self.running() else { return Ok(()) };
                self.site.signal(entry, Signal::KILL)?;
                self.undo.push((at, Undo::Launch(entry)));
            }
            Kind::Freeze => {
                let Some(entry) = self.running() else { return Ok(()) };
                self.site.signal(entry, Signal::STOP)?;
                self.undo.push((at, Undo::Continue(entry)));
            }
            Kind::Stop => {
                let Some(entry) = self.running() else { return Ok(()) };
                self.site.signal(entry, Signal::TERM)?;
                self.undo.push((at, Undo::AwaitEnd(entry)));
            }
            Kind::Reload => {
                let Some(entry) = self.running().filter(|entry| self.site.has_begun(*entry)) else { return Ok(()) };
                self.site.signal(entry, Signal::HUP)?;
            }
            Kind::Store => self.store_fault(at),
            Kind::StoreWay => self.way(0, at),
            Kind::ReplicaWay => self.way(1, at),
            Kind::CallerWay => self.way(2, at),
            Kind::Compact => {
                ["keyed.op", "keyed.servers", "keyed.peers"].iter().for_each(|topic| self.site.store.compact(topic))
            }
            Kind::Answers => self.bad_answers(),
            Kind::Keys => self.change_keys(),
            Kind::Drain => self.drain(),
        }
        Ok(())
    }

    fn store_fault(&mut self, at: Instant) {
        let faults = [Fault::Unavailable, Fault::TooMany, Fault::Silent, Fault::LostAnswers];
        let fault = *faults.choose(&mut self.random).unwrap_or(&Fault::Unavailable);
        let all = self.random.random_bool(0.4);
        let one = self.random.random_range(0..self.site.doors.len());
        for door in (0..self.site.doors.len()).filter(|door| all || *door == one) {
            self.site.doors[door].set(fault);
            self.undo.push((at, Undo::Store(door)));
        }
    }

    /// Spoils one way of a group: to the store, to replicas, from callers.
    fn way(&mut self, group: usize, at: Instant) {
        let proxies = &self.site.proxies;
        let groups = [proxies.store.len(), proxies.replicas.len(), proxies.callers.len()];
        // As `Proxies::all` numbers them: callers, store, replicas.
        let first = [groups[2], groups[2] + groups[0], 0][group];
        let index = first + self.random.random_range(0..groups[group]);
        let delay = Duration::from_millis(self.random.random_range(5..300));
        let ways = [Way::Delayed(delay), Way::Reset, Way::CutForward, Way::CutBack, Way::Silent];
        let way = *ways.choose(&mut self.random).unwrap_or(&Way::Reset);
        if let Some(proxy) = proxies.all().nth(index) {
            proxy.set(way);
        }
        self.undo.push((at, Undo::Way(index)));
    }

    fn bad_answers(&mut self) {
        let acts = [
            Act::Refuse,
            Act::Fail,
            Act::LoseAnswer,
            Act::ForeignId,
            Act::Unsealed,
            Act::Unproven,
            Act::BreakAfter(3),
            Act::Stall(700),
        ];
        let replicas: Vec<&Arc<Replica>> = self.site.engines.iter().chain(&self.site.plain).collect();
        let Some(replica) = replicas.choose(&mut self.random) else { return };
        let count = self.random.random_range(1..6);
        replica.next((0..count).filter_map(|_| acts.choose(&mut self.random).copied()));
    }

    /// Adds a key and takes the one before the last away.
    fn change_keys(&mut self) {
        let newest = self.shared.key.load(Ordering::Relaxed) + 1;
        let (new, last) = (key(newest), key(newest - 1));
        self.site.configure(&[new.as_str(), last.as_str()], |_| {});
        if let Some(old) = newest.checked_sub(2) {
            self.revoked.entry(old).or_insert_with(Instant::now);
        }
        self.shared.key.store(newest, Ordering::Relaxed);
    }

    /// One engine and one plain replica at most announce their end, so that some are left.
    fn drain(&mut self) {
        let index = self.drained.len();
        let (service, replica) = match index {
            0 => ("advisor", self.site.engines[0].clone()),
            1 => ("ledger", self.site.plain[0].clone()),
            _ => return,
        };
        self.site.store.put("keyed.servers", &replica.id, replica.record(service, "draining"));
        self.drained.push((replica, Instant::now()));
    }

    /// Takes back what is due; everything if `all`.
    async fn take_back(&mut self, all: bool) -> Result<()> {
        let now = Instant::now();
        let (due, left) = self.undo.drain(..).partition(|(at, _)| all || *at <= now);
        self.undo = left;
        let due: Vec<(Instant, Undo)> = due;
        for (_, undo) in due {
            match undo {
                Undo::Launch(entry) => self.site.restart(entry).await?,
                Undo::Continue(entry) => self.site.signal(entry, Signal::CONT)?,
                Undo::AwaitEnd(entry) => {
                    if !self.site.wait_end(entry).await? {
                        self.breaches.push(format!("entry {entry} did not end well after SIGTERM"));
                    }
                    self.site.restart(entry).await?;
                }
                Undo::Store(door) => self.site.doors[door].set(Fault::None),
                Undo::Way(index) => {
                    if let Some(proxy) = self.site.proxies.all().nth(index) {
                        proxy.set(Way::Open);
                    }
                }
            }
        }
        Ok(())
    }

    /// One round: faults, healing, a calm that is checked.
    async fn round(&mut self, plan: &Plan, planned: bool) -> Result<()> {
        let kinds: &[Kind] = if planned { &PLANNED } else { &ALL };
        self.shared.enter(if planned { Phase::Planned } else { Phase::Faults });
        self.shared.stale_keys.store(true, Ordering::Relaxed);
        let end = Instant::now() + plan.faults;
        while Instant::now() < end {
            let kind = *kinds.choose(&mut self.random).unwrap_or(&Kind::Reload);
            self.inject(kind).await?;
            let pause = Duration::from_millis(self.random.random_range(BETWEEN.0..BETWEEN.1));
            tokio::time::sleep(pause).await;
            self.take_back(false).await?;
        }
        self.take_back(true).await?;
        self.site.engines.iter().chain(&self.site.plain).for_each(|replica| replica.behave());
        // Callers whose requests wait behind what was healed come to their ends.
        tokio::time::sleep(RECOVERY).await;
        for entry in 0..self.site.doors.len() {
            if !self.site.is_ready(entry).await {
                self.breaches.push(format!("entry {entry} is not ready {} s after the last fault", RECOVERY.as_secs()));
            }
        }
        self.shared.stale_keys.store(false, Ordering::Relaxed);
        self.shared.enter(Phase::Calm);
        tokio::time::sleep(CALM).await;
        self.shared.enter(Phase::Faults);
        Ok(())
    }
}

/// Runs a soak and checks all that its callers and replicas saw.
pub async fn run(plan: &Plan) -> Result<Report> {
    let bounds = format!("revoke_ms = {}", REVOKE.as_millis());
    let name = format!("soak-{}", plan.seed);
    let spec = Spec { entries: plan.entries, engines: 4, plain: 3, proxied: true, bounds, ..Spec::small(&name) };
    let site = Site::start(spec).await?;
    let shared = Arc::new(Shared::default());
    let first = key(0);
    site.configure(&[first.as_str()], |_| {});
    tokio::time::sleep(Duration::from_millis(700)).await;
    let mut seeds = SmallRng::seed_from_u64(plan.seed);
    let mut callers = Vec::new();
    for _ in 0..plan.callers {
        let random = SmallRng::seed_from_u64(seeds.random());
        callers.push(tokio::spawn(caller(shared.clone(), site.addresses.clone(), random)));
    }
    let mut injector = Injector {
        site,
        shared: shared.clone(),
        random: seeds,
        undo: Vec::new(),
        faults: BTreeMap::new(),
        revoked: BTreeMap::new(),
        drained: Vec::new(),
        breaches: Vec::new(),
    };
    for round in 0..plan.rounds {
        injector.round(plan, round % 2 == 1).await?;
    }
    shared.over.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.map_err(|error| eyre!("step=join-caller: {error}"))?;
    }
    let lines = std::mem::take(&mut *shared.lines.lock().unwrap_or_else(PoisonError::into_inner));
    judge(injector, &lines).await
}

/// Checks the promises.
async fn judge(injector: Injector, lines: &[Line]) -> Result<Report> {
    let Injector { site, faults, revoked, drained, mut breaches, .. } = injector;
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
    Ok(Report { statuses, faults, breaches })
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
