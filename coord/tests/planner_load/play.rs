//! Discrete-event simulation of a load on engines that work in passes.
//!
//! An engine starts a pass when it has work: the pass prefills all parts that are pending at its start, and each
//! sequence gets one event at its end. A prompt is served in time if the first event meets its target and no gap
//! between two events exceeds its limit.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use coord::engine::Figures;
use coord::name::Name;
use coord::planner::{Grant, Id, Job, Planner, Policy};
use coord::time::Moment;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::mix::Kind;

const ENGINES: usize = 60;
/// Interval between two pumps of the planner, as in an entry that plans, in microseconds.
const TICK: u64 = 10_000;
/// Longest delay before a caller retries after an outage of all entries, in microseconds.
const COMING_BACK: u64 = 400_000;
/// Value of a late answer as a share of the value of an answer in time.
const LATE_WORTH: f64 = 0.25;
/// Time for which a caller waits for a grant.
const PATIENCE: Duration = Duration::from_millis(6_700);

#[derive(Clone, Debug)]
enum Event {
    Arrive { kind: usize },
    PassEnds { engine: usize },
    GiveUp { number: u64 },
    Silent { number: u64, at: u64 },
    Tick,
    LosePower { down: Duration },
    ComeBack(Caller),
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    kind: usize,
    tokens: u64,
    events: u64,
    /// Time at which the caller first sent the prompt, in microseconds.
    since: u64,
}

struct Prompt {
    kind: usize,
    tokens: u64,
    job: Job,
    arrived: u64,
    /// Number of events of the whole answer.
    events: u64,
    parts_left: usize,
    /// Time of the last grant, in microseconds, and whether the answer to it is lost.
    sent: u64,
    lost: bool,
    /// Whether the prompt was ever granted.
    read: bool,
    writer: usize,
    events_left: u32,
    last_event: Option<u64>,
    in_time: bool,
    /// Time at which the prompt was refused or its caller gave up without a grant.
    turned_away: Option<u64>,
    /// Whether the caller sent the prompt again after an outage.
    came_back: bool,
}

impl Prompt {
    /// Classifies how the prompt was served.
    fn outcome(&self, kind: &Kind) -> Served {
        let answered = self.last_event.is_some() && !self.lost;
        let in_time = answered && self.in_time;
        let size = self.tokens as f64 / kind.prompts.mean();
        let owed = (0.3 + 0.7 * size).min(4.0);
        let earned = if in_time {
            owed
        } else if answered {
            owed * LATE_WORTH
        } else {
            0.0
        };
        Served {
            all: 1,
            in_time: u32::from(in_time),
            late: u32::from(answered && !in_time),
            turned_away: u32::from(self.turned_away.is_some()),
            owed,
            earned,
            held_ms: self.turned_away.map_or(0, |at| (at - self.arrived) / 1_000),
        }
    }
}

#[derive(Default)]
struct Engine {
    /// Pending prefill: number of the prompt, and milliseconds.
    parts: Vec<(u64, f64)>,
    writers: Vec<u64>,
    /// Prompts that the current pass prefills, and sequences that get an event at its end.
    reading: Vec<u64>,
    writing: Vec<u64>,
    busy: bool,
}

/// Prompts of one kind, by how they were served.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub all: u32,
    pub in_time: u32,
    /// Prompts whose first event or a later gap exceeded its limit.
    pub late: u32,
    pub turned_away: u32,
    /// Total value of the prompts, by their sizes, and the value earned: all of it in time, a quarter late.
    pub owed: f64,
    pub earned: f64,
    /// Total time that refused prompts had been held, in milliseconds.
    held_ms: u64,
}

impl Served {
    pub fn share(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.all.max(1))
    }

    pub fn add(&mut self, other: Served) {
        self.all += other.all;
        self.in_time += other.in_time;
        self.late += other.late;
        self.owed += other.owed;
        self.earned += other.earned;
        self.turned_away += other.turned_away;
        self.held_ms += other.held_ms;
    }

    /// Returns the share of the value that was earned.
    pub fn worth(self) -> f64 {
        self.earned / self.owed.max(f64::MIN_POSITIVE)
    }

    /// Returns the mean time that refused prompts had been held, in milliseconds.
    pub fn mean_held_ms(self) -> f64 {
        self.held_ms as f64 / f64::from(self.turned_away.max(1))
    }
}

pub struct Play {
    policy: Policy,
    /// End of the outage of all entries, if there is one.
    down_until: Option<u64>,
    planner: Planner,
    figures: Arc<Figures>,
    engines: Vec<Engine>,
    prompts: BTreeMap<u64, Prompt>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    /// Slow engines and their slowdown factor.
    pub slow: (std::ops::Range<usize>, f64),
    /// Share of the answers that are lost: engines prefill and decode, but the caller receives nothing.
    pub lost: f64,
    next: u64,
    rng: StdRng,
    /// Separate random source for lost answers, so that arrivals do not depend on the grants.
    luck: StdRng,
    now: u64,
}

impl Play {
    pub fn new(policy: Policy, figures: Arc<Figures>, seed: u64) -> Self {
        let planner = planner(policy, &figures);
        let engines = (0..ENGINES).map(|_| Engine::default()).collect();
        let rng = StdRng::seed_from_u64(seed);
        let (queue, events) = (BinaryHeap::new(), BTreeMap::new());
        Self {
            policy,
            down_until: None,
            planner,
            figures,
            engines,
            prompts: BTreeMap::new(),
            queue,
            events,
            slow: (0..0, 1.0),
            lost: 0.0,
            next: 0,
            rng,
            luck: StdRng::seed_from_u64(!seed),
            now: 1_000_000,
        }
    }

    /// Schedules a power loss of all entries at `second`, for the time `down`.
    pub fn lose_power_at(&mut self, second: f64, down: Duration) {
        self.schedule((second * 1e6) as u64, Event::LosePower { down });
    }

    /// Reports the slowdown factors of slow engines to the planner.
    pub fn tell_pace(&mut self) {
        let (slow, pace) = self.slow.clone();
        for index in slow {
            self.planner.set_pace(&name(index), pace);
        }
    }

    fn moment(&self) -> Moment {
        Moment::from_micros(self.now)
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((at, self.next)));
    }

    /// Runs the load for `span`; returns the results by kind of prompt, and those of prompts with at least `large`
    /// tokens.
    pub fn run(mut self, kinds: &[Kind], span: Duration, large: u64) -> (Vec<Served>, Served) {
        let end = self.now + span.as_micros() as u64;
        for kind in 0..kinds.len() {
            self.schedule(self.now, Event::Arrive { kind });
        }
        self.schedule(self.now, Event::Tick);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            match self.events.remove(&number) {
                Some(Event::Arrive { kind }) => self.arrive(kinds, kind),
                Some(Event::PassEnds { engine }) => self.end_pass(kinds, engine),
                Some(Event::GiveUp { number }) => self.turn_away(number),
                Some(Event::Silent { number, at }) => self.send_again(number, at),
                Some(Event::LosePower { down }) => self.lose_power(down),
                Some(Event::ComeBack(caller)) => self.submit(kinds, &caller),
                Some(Event::Tick) => self.schedule(self.now + TICK, Event::Tick),
                None => {}
            }
            self.pump();
        }
        // The last arrivals had too little time to be served.
        let settled = |prompt: &&Prompt| prompt.arrived + 6_000_000 < end && !prompt.came_back;
        let mut served = vec![Served::default(); kinds.len()];
        let mut largest = Served::default();
        for prompt in self.prompts.values().filter(settled) {
            let one = prompt.outcome(&kinds[prompt.kind]);
            served[prompt.kind].add(one);
            if prompt.tokens >= large {
                largest.add(one);
            }
        }
        (served, largest)
    }

    fn arrive(&mut self, kinds: &[Kind], kind: usize) {
        let told = &kinds[kind];
        let tokens = told.prompts.draw(&mut self.rng);
        let events = told.events.draw(&mut self.rng).max(1);
        let wait = -self.rng.random_range(1e-9..1.0f64).ln() / (told.per_s)(self.now as f64 / 1e6);
        self.schedule(self.now + (wait * 1e6) as u64, Event::Arrive { kind });
        let caller = Caller { kind, tokens, events, since: self.now };
        match self.down_until {
            Some(until) if self.now < until => self.come_back(caller, until),
            _ => self.submit(kinds, &caller),
        }
    }

    /// Schedules a retry of a caller soon after the outage ends at `until`.
    fn come_back(&mut self, caller: Caller, until: u64) {
        let at = until + self.luck.random_range(0..COMING_BACK);
        self.schedule(at, Event::ComeBack(caller));
    }

    fn submit(&mut self, kinds: &[Kind], caller: &Caller) {
        let Caller { kind, tokens, events, since } = *caller;
        let told = &kinds[kind];
        let millis = Duration::from_millis;
        let stride = u64::from(self.figures.stride);
        let job = Job {
            prompt: tokens,
            output: events * stride,
            aim: self.moment() + millis(told.aim_ms),
            gap_ms: told.gap_ms,
            deadline: self.moment() + PATIENCE,
            priority: 1,
            work: None,
        };
        self.next += 1;
        let number = self.next;
        let prompt = Prompt {
            kind,
            tokens,
            job,
            arrived: since,
            events,
            parts_left: 0,
            sent: 0,
            lost: false,
            read: false,
            writer: 0,
            events_left: events as u32,
            last_event: None,
            in_time: true,
            turned_away: None,
            came_back: false,
        };
        self.prompts.insert(number, prompt);
        self.schedule(self.now + PATIENCE.as_micros() as u64, Event::GiveUp { number });
        self.planner.submit(Id { entry: 0, number }, job);
    }

    /// Simulates a power loss of all entries: the engines keep decoding for callers that are gone, and the next
    /// planner knows nothing of these sequences.
    fn lose_power(&mut self, down: Duration) {
        let until = self.now + down.as_micros() as u64;
        self.down_until = Some(until);
        let numbers: Vec<u64> = self.prompts.keys().copied().collect();
        for number in numbers {
            let prompt = &self.prompts[&number];
            if prompt.events_left == 0 || prompt.lost || prompt.turned_away.is_some() {
                continue;
            }
            let caller =
                Caller { kind: prompt.kind, tokens: prompt.tokens, events: prompt.events, since: prompt.arrived };
            self.come_back(caller, until);
            if let Some(prompt) = self.prompts.get_mut(&number) {
                (prompt.lost, prompt.came_back) = (true, true);
            }
        }
        self.planner = planner(self.policy, &self.figures);
        self.planner.unsettle(Moment::from_micros(until));
    }

    fn pump(&mut self) {
        for Grant { id, team, silent_after } in self.planner.pump(self.moment()) {
            let lost = self.luck.random_bool(self.lost);
            let places: Vec<usize> = team.engines().map(place).collect();
            let Some(prompt) = self.prompts.get_mut(&id.number) else { continue };
            prompt.parts_left = places.len();
            prompt.read = true;
            (prompt.sent, prompt.lost) = (self.now, lost);
            prompt.writer = places[0];
            let part_ms = self.figures.part_ms(prompt.tokens, places.len());
            if let Some(after) = silent_after {
                let event = Event::Silent { number: id.number, at: self.now };
                self.schedule(self.now + after.as_micros() as u64, event);
            }
            for engine in places {
                self.engines[engine].parts.push((id.number, part_ms));
                self.begin_pass(engine);
            }
        }
        for refusal in self.planner.refuse(self.moment()) {
            self.turn_away(refusal.id.number);
        }
    }

    /// Refuses a prompt that has no engines, or lets its caller give up.
    fn turn_away(&mut self, number: u64) {
        let Some(prompt) = self.prompts.get_mut(&number).filter(|prompt| prompt.parts_left == 0) else { return };
        if prompt.last_event.is_none() && prompt.turned_away.is_none() && !prompt.read {
            prompt.turned_away = Some(self.now);
            let moment = self.moment();
            self.planner.end(Id { entry: 0, number }, moment);
        }
    }

    /// Withdraws a prompt from unresponsive engines and submits it again.
    fn send_again(&mut self, number: u64, at: u64) {
        let moment = self.moment();
        let Some(prompt) = self.prompts.get_mut(&number) else { return };
        // The entry that watched this prompt is gone if the caller has retried.
        let is_over = prompt.events_left == 0 || prompt.sent != at || prompt.came_back;
        if is_over || (prompt.last_event.is_some() && !prompt.lost) {
            return;
        }
        let id = Id { entry: 0, number };
        self.planner.silent(id, moment);
        self.planner.end(id, moment);
        self.planner.submit(id, prompt.job);
        (prompt.parts_left, prompt.last_event) = (0, None);
        for engine in &mut self.engines {
            engine.parts.retain(|(other, _)| *other != number);
            engine.reading.retain(|other| *other != number);
            engine.writers.retain(|other| *other != number);
            engine.writing.retain(|other| *other != number);
        }
    }

    fn begin_pass(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        if state.busy || (state.parts.is_empty() && state.writers.is_empty()) {
            return;
        }
        let context: u64 = state.writers.iter().map(|number| self.prompts[number].tokens).sum();
        let writers = state.writers.len() as u32;
        let pass_ms = if writers == 0 { 0.0 } else { self.figures.pass_ms(writers, context) };
        let read_ms: f64 = state.parts.iter().map(|(_, ms)| ms).sum();
        state.reading = state.parts.drain(..).map(|(number, _)| number).collect();
        state.writing = state.writers.clone();
        state.busy = true;
        let pace = if self.slow.0.contains(&engine) { self.slow.1 } else { 1.0 };
        let ends = self.now + ((pass_ms + read_ms).max(1.0) * pace * 1e3) as u64;
        self.schedule(ends, Event::PassEnds { engine });
    }

    fn end_pass(&mut self, kinds: &[Kind], engine: usize) {
        self.engines[engine].busy = false;
        for number in std::mem::take(&mut self.engines[engine].writing) {
            self.write(kinds, engine, number);
        }
        for number in std::mem::take(&mut self.engines[engine].reading) {
            let Some(prompt) = self.prompts.get_mut(&number) else { continue };
            prompt.parts_left -= 1;
            if prompt.parts_left == 0 {
                // The pass that prefills the last part produces the first event.
                let writer = prompt.writer;
                self.engines[writer].writers.push(number);
                self.write(kinds, writer, number);
                self.begin_pass(writer);
            }
        }
        self.begin_pass(engine);
    }

    /// Produces one event of an answer.
    fn write(&mut self, kinds: &[Kind], engine: usize, number: u64) {
        let moment = self.moment();
        let Some(prompt) = self.prompts.get_mut(&number) else { return };
        let kind = &kinds[prompt.kind];
        let id = Id { entry: 0, number };
        match prompt.last_event {
            // Nobody receives the event.
            _ if prompt.lost => {}
            None => {
                prompt.in_time &= self.now - prompt.arrived <= kind.aim_ms * 1_000;
                self.planner.first_event(id, moment);
            }
            Some(last) => prompt.in_time &= (self.now - last) as f64 <= kind.gap_ms * 1e3,
        }
        prompt.last_event = Some(self.now);
        prompt.events_left -= 1;
        if prompt.events_left == 0 {
            self.engines[engine].writers.retain(|writer| *writer != number);
            self.planner.end(id, moment);
        }
    }
}

fn planner(policy: Policy, figures: &Arc<Figures>) -> Planner {
    let mut planner = Planner::new(policy, 0);
    planner.set_engines((0..ENGINES).map(|index| (name(index), figures.clone())));
    planner
}

fn name(index: usize) -> Name {
    format!("engine-{index:02}").into()
}

fn place(engine: &Name) -> usize {
    engine.trim_start_matches("engine-").parse().expect("an engine of this play")
}
