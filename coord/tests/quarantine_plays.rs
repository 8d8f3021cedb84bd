//! Played services whose replicas lose requests for other reasons than the requests, or also because of one.
//!
//! Nothing may be condemned without a cause, and with one only the cause, soon. Run with `SORRELPASS_LONG=1` for more seeds.

use std::collections::BTreeSet;

use coord::name::Name;
use coord::quarantine::{Cause, Event, Fingerprint, Loss, Proof, SharedPart, State, Weight};
use coord::time::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const ENGINES: usize = 18;
/// Engines of one failure domain.
const DOMAIN: usize = 6;
/// Length of a play in steps of 10 ms.
const STEPS: u64 = 2_000;
/// Sends of one request: two for each attempt of the caller, who tries twice.
const MAX_SENDS: u32 = 4;
/// Fingerprints of the fatal request and the fatal part.
const FATAL_REQUEST: u32 = 1;
const FATAL_PART: u32 = 2;

fn fingerprint(number: u32) -> Fingerprint {
    Fingerprint(u128::from(number).to_be_bytes())
}

/// Reason for which requests are lost that have no part in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Nothing,
    /// All connections of random engines are reset at the same moment, again and again.
    ResetWaves,
    /// Each engine resets four of ten requests.
    Resets,
    /// Four engines reset nine of ten requests.
    ResettingEngines,
    /// A failure domain cannot be reached for a while, which is found two seconds later.
    Cuts,
    /// A failure domain loses its power: its engines terminate together.
    PowerLosses,
    /// Engines are replaced one after the other without a word.
    Release,
    /// Random engines terminate together, again and again.
    Crashes,
}

/// What requests that terminate engines have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Deadly {
    Nothing,
    Request,
    Part,
}

/// Parameters of a play.
#[derive(Clone, Copy, Debug)]
struct Parameters {
    trouble: Trouble,
    deadly: Deadly,
    /// What is known of terminations under deadly requests.
    proof: Proof,
    /// Whether deadly requests have events before they terminate an engine.
    has_events: bool,
}

/// Request in flight.
#[derive(Clone)]
struct Request {
    number: u32,
    parts: Vec<u32>,
    sends: u32,
    sent_at: u64,
    first_event_at: u64,
    ends_at: u64,
    is_deadly: bool,
    is_reset: bool,
}

struct Play {
    parameters: Parameters,
    rng: SmallRng,
    state: State,
    now_ms: u64,
    engines: Vec<Vec<Request>>,
    down_until: Vec<u64>,
    /// Requests that are sent again, and when.
    repeats: Vec<(u64, Request)>,
    /// Losses that are found later.
    silent: Vec<(u64, usize, Request)>,
    next_request: u32,
    next_run: u32,
    next_trouble_at: u64,
    cut_until: u64,
    deadly_sends: usize,
    load: f64,
    hot_share: f64,
}

impl Play {
    fn new(parameters: Parameters, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (load, hot_share) = (rng.random_range(20.0..60.0), [0.0, 0.3, 0.7][seed as usize % 3]);
        Self {
            parameters,
            rng,
            state: State::default(),
            now_ms: 0,
            engines: vec![Vec::new(); ENGINES],
            down_until: vec![0; ENGINES],
            repeats: Vec::new(),
            silent: Vec::new(),
            next_request: 1_000,
            next_run: 0,
            next_trouble_at: 3_000,
            cut_until: 0,
            deadly_sends: 0,
            load,
            hot_share,
        }
    }

    fn now(&self) -> Moment {
        Moment::from_millis(10_000 + self.now_ms)
    }

    fn is_condemned(&self, request: &Request) -> bool {
        let mut parts = request.parts.iter().map(|part| Cause::Part(fingerprint(*part)));
        self.state.is_condemned(Cause::Request(fingerprint(request.number)))
            || parts.any(|part| self.state.is_condemned(part))
    }

    /// Builds a new request: one of 20 that many callers send alike, or one of its own.
    fn new_request(&mut self) -> Request {
        self.next_request += 1;
        let caller = if self.rng.random_bool(self.hot_share) { 0 } else { self.rng.random_range(0..60) };
        let is_common = self.rng.random_bool(0.1);
        let number = if is_common { 100 + self.rng.random_range(0..20) } else { self.next_request };
        let parts = vec![500 + caller, 600 + caller * 4 + self.rng.random_range(0..4)];
        Request {
            number,
            parts,
            sends: 0,
            sent_at: 0,
            first_event_at: 0,
            ends_at: 0,
            is_deadly: false,
            is_reset: false,
        }
    }

    fn new_deadly_request(&mut self) -> Request {
        let mut request = Request { is_deadly: true, ..self.new_request() };
        match self.parameters.deadly {
            Deadly::Request => request.number = FATAL_REQUEST,
            _ => request.parts.push(FATAL_PART),
        }
        request
    }

    /// Sends a request to a random engine that is up.
    fn send(&mut self, mut request: Request) {
        let up: Vec<usize> = (0..ENGINES).filter(|engine| self.down_until[*engine] <= self.now_ms).collect();
        if up.is_empty() || request.sends >= MAX_SENDS || self.is_condemned(&request) {
            return;
        }
        let engine = up[self.rng.random_range(0..up.len())];
        let reset_share = match self.parameters.trouble {
            Trouble::Resets => 0.4,
            Trouble::ResettingEngines if engine < 4 => 0.9,
            _ => 0.0,
        };
        request.sends += 1;
        request.sent_at = self.now_ms;
        request.first_event_at = self.now_ms + self.rng.random_range(20..150);
        request.ends_at = self.now_ms + self.rng.random_range(200..900);
        request.is_reset = self.rng.random_bool(reset_share);
        if request.is_deadly {
            self.deadly_sends += 1;
            request.ends_at = if self.parameters.has_events { request.first_event_at + 40 } else { self.now_ms + 60 };
        }
        if self.now_ms < self.cut_until && engine < DOMAIN {
            self.silent.push((self.now_ms + 2_000, engine, request));
        } else {
            self.engines[engine].push(request);
        }
    }

    /// Reports the loss of a request, which its caller repeats.
    fn lose(&mut self, run: &Name, request: Request, proof: Proof) {
        let has_event = request.first_event_at <= self.now_ms;
        let weight = if has_event { Weight::Faint } else { Weight::Strong };
        let numbered = request.parts.iter().zip(0..);
        let parts = numbered.map(|(part, depth)| SharedPart { fingerprint: fingerprint(*part), depth }).collect();
        let loss = Loss { run: run.clone(), request: fingerprint(request.number), parts, weight, proof };
        let now = self.now();
        self.state.apply(Event::Lost(loss), now, now);
        let at = self.now_ms + if request.sends % 2 == 1 { 5 } else { self.rng.random_range(100..500) };
        self.repeats.push((at, request));
    }

    fn new_run(&mut self, engine: usize) -> Name {
        self.next_run += 1;
        format!("engine-{engine}-{}", self.next_run).into()
    }

    /// Loses all requests of an engine.
    fn lose_all(&mut self, engine: usize, proof: Proof, downtime: u64) {
        let run = self.new_run(engine);
        self.down_until[engine] = self.now_ms + downtime;
        for request in std::mem::take(&mut self.engines[engine]) {
            self.lose(&run, request, proof);
        }
    }

    fn start_trouble(&mut self) {
        if self.now_ms < self.next_trouble_at {
            return;
        }
        self.next_trouble_at = self.now_ms + self.rng.random_range(300..3_000);
        let share = self.rng.random_range(0.05..1.0);
        match self.parameters.trouble {
            Trouble::ResetWaves | Trouble::Crashes => {
                let (proof, downtime) = match self.parameters.trouble {
                    Trouble::Crashes => (Proof::Proven, self.rng.random_range(1_000..4_000)),
                    _ => (Proof::Presumed, 0),
                };
                for engine in 0..ENGINES {
                    if self.rng.random_bool(share) {
                        self.lose_all(engine, proof, downtime);
                    }
                }
            }
            Trouble::Cuts => {
                self.cut_until = self.now_ms + self.rng.random_range(200..1_500);
                for engine in 0..DOMAIN {
                    let found_at = self.now_ms + 2_000;
                    let requests = std::mem::take(&mut self.engines[engine]);
                    self.silent.extend(requests.into_iter().map(|request| (found_at, engine, request)));
                }
            }
            Trouble::PowerLosses => {
                let proof = if self.rng.random_bool(0.5) { Proof::Proven } else { Proof::Presumed };
                let domain = self.rng.random_range(0..ENGINES / DOMAIN) * DOMAIN;
                (domain..domain + DOMAIN).for_each(|engine| self.lose_all(engine, proof, 2_500));
            }
            Trouble::Release => {
                self.next_trouble_at = self.now_ms + 400;
                let engine = (self.now_ms / 400) as usize % ENGINES;
                self.lose_all(engine, Proof::Proven, 0);
            }
            Trouble::Nothing | Trouble::Resets | Trouble::ResettingEngines => {}
        }
    }

    /// Plays 10 ms.
    fn step(&mut self) {
        self.now_ms += 10;
        self.start_trouble();
        if self.rng.random_bool(self.load / 100.0) {
            let request = self.new_request();
            self.send(request);
        }
        if self.parameters.deadly != Deadly::Nothing && self.now_ms > 5_000 && self.now_ms.is_multiple_of(160) {
            let request = self.new_deadly_request();
            self.send(request);
        }
        let now_ms = self.now_ms;
        let due: Vec<_> = self.repeats.extract_if(.., |(at, _)| *at <= now_ms).collect();
        due.into_iter().for_each(|(_, request)| self.send(request));
        let found: Vec<_> = self.silent.extract_if(.., |(at, ..)| *at <= now_ms).collect();
        for (_, engine, request) in found {
            let run = self.new_run(engine);
            self.lose(&run, request, Proof::Presumed);
        }
        (0..ENGINES).for_each(|engine| self.advance(engine));
        let now = self.now();
        self.state.review(now);
    }

    /// Ends the requests of an engine that are due.
    fn advance(&mut self, engine: usize) {
        let now_ms = self.now_ms;
        if self.engines[engine].iter().any(|request| request.is_deadly && request.ends_at <= now_ms) {
            let downtime = if self.rng.random_bool(0.5) { 1_500 } else { 0 };
            return self.lose_all(engine, self.parameters.proof, downtime);
        }
        let is_reset = |request: &mut Request| request.is_reset && request.sent_at + 30 <= now_ms;
        let reset: Vec<Request> = self.engines[engine].extract_if(.., is_reset).collect();
        for request in reset {
            let run = self.new_run(engine);
            self.lose(&run, request, Proof::Presumed);
        }
        let done: Vec<Request> = self.engines[engine].extract_if(.., |request| request.ends_at <= now_ms).collect();
        for request in done {
            let parts = request.parts.iter().map(|part| SharedPart { fingerprint: fingerprint(*part), depth: 0 });
            let (parts, now): (Vec<_>, _) = (parts.collect(), self.now());
            self.state.record_completion(fingerprint(request.number), &parts, now);
        }
    }

    fn run(parameters: Parameters, seed: u64) -> Self {
        let mut play = Self::new(parameters, seed);
        (0..STEPS).for_each(|_| play.step());
        play
    }

    fn condemned(&self) -> BTreeSet<Cause> {
        self.state.condemned().collect()
    }
}

fn seeds() -> std::ops::Range<u64> {
    if std::env::var_os("SORRELPASS_LONG").is_some() { 0..2_000 } else { 0..60 }
}

fn assert_nothing_condemned(trouble: Trouble) {
    let parameters = Parameters { trouble, deadly: Deadly::Nothing, proof: Proof::Proven, has_events: false };
    let mut requests = 0;
    let mut wrong = Vec::new();
    for seed in seeds() {
        let play = Play::run(parameters, seed);
        requests += play.next_request - 1_000;
        wrong.extend(play.condemned().into_iter().map(|cause| (seed, cause)));
    }
    println!("{trouble:?}: {} verdicts, {requests} requests", wrong.len());
    assert!(wrong.is_empty(), "{} verdicts of {requests} requests: {:?}", wrong.len(), &wrong[..wrong.len().min(5)]);
}

#[test]
fn resets_in_waves_condemn_nothing() {
    assert_nothing_condemned(Trouble::ResetWaves);
}

#[test]
fn replicas_that_reset_four_of_ten_requests_condemn_nothing() {
    assert_nothing_condemned(Trouble::Resets);
}

#[test]
fn few_replicas_that_reset_nearly_everything_condemn_nothing() {
    assert_nothing_condemned(Trouble::ResettingEngines);
}

#[test]
fn cut_failure_domains_condemn_nothing() {
    assert_nothing_condemned(Trouble::Cuts);
}

#[test]
fn failure_domains_that_lose_their_power_condemn_nothing() {
    assert_nothing_condemned(Trouble::PowerLosses);
}

#[test]
fn replicas_that_are_replaced_one_by_one_condemn_nothing() {
    assert_nothing_condemned(Trouble::Release);
}

/// Guards against four proven terminations by chance: all sends of one request met replaced replicas.
#[test]
fn a_request_whose_four_sends_met_replaced_replicas_is_not_condemned() {
    let parameters =
        Parameters { trouble: Trouble::Release, deadly: Deadly::Nothing, proof: Proof::Proven, has_events: false };
    assert_eq!(Play::run(parameters, 694).condemned(), BTreeSet::new());
}

#[test]
fn crashes_in_waves_condemn_nothing() {
    assert_nothing_condemned(Trouble::Crashes);
}

/// Plays a deadly cause with each proof and at both stages, and asserts that only it is condemned, after few sends.
fn assert_only_cause_condemned(deadly: Deadly, trouble: Trouble, max_sends: usize) {
    let cause = match deadly {
        Deadly::Part => Cause::Part(fingerprint(FATAL_PART)),
        _ => Cause::Request(fingerprint(FATAL_REQUEST)),
    };
    for (proof, has_events) in
        [(Proof::Proven, false), (Proof::Proven, true), (Proof::Presumed, false), (Proof::Presumed, true)]
    {
        let parameters = Parameters { trouble, deadly, proof, has_events };
        let mut most = 0;
        for seed in seeds() {
            let play = Play::run(parameters, seed);
            most = most.max(play.deadly_sends);
            assert_eq!(play.condemned(), BTreeSet::from([cause]), "seed {seed}, {parameters:?}");
            assert!(play.deadly_sends <= max_sends, "seed {seed}, {} sends, {parameters:?}", play.deadly_sends);
        }
        println!("{parameters:?}: at most {most} sends");
    }
}

/// Sends that three seconds, three late ones and those before the third termination have room for.
const MAX_REQUEST_SENDS: usize = 2 * 19 + 3 + 3;
const MAX_PART_SENDS: usize = MAX_REQUEST_SENDS + 2;

#[test]
fn a_deadly_request_alone_is_condemned_soon() {
    assert_only_cause_condemned(Deadly::Request, Trouble::Nothing, MAX_REQUEST_SENDS);
}

#[test]
fn a_deadly_request_beside_resets_in_waves_is_condemned_soon() {
    assert_only_cause_condemned(Deadly::Request, Trouble::ResetWaves, MAX_REQUEST_SENDS);
}

#[test]
fn a_deadly_part_alone_is_condemned_soon() {
    assert_only_cause_condemned(Deadly::Part, Trouble::Nothing, MAX_PART_SENDS);
}

#[test]
fn a_deadly_part_beside_a_release_is_condemned_soon() {
    assert_only_cause_condemned(Deadly::Part, Trouble::Release, MAX_PART_SENDS);
}
