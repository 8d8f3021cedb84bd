//! Order and place for prompts over all engines of a service.
//!
//! The planner keeps a picture of each engine: which prompts it reads, which answers it writes,
//! and what its memory holds. A prompt is granted an engine, and helpers to read parts of it,
//! when that keeps two promises as far as the model of [`crate::engine`] tells: the pauses of the
//! answers that are being written stay within what their callers want, and the prompt's own first
//! event is in time. Short prompts are granted at once and packed onto few engines, so that the
//! others stay free of writers whom long reads would stall. Long prompts wait here, the shortest
//! first, and are read in parts by many engines.
//!
//! The same picture serves a process that decides for all entries and one that decides for
//! itself alone; nothing that must hold depends on how complete it is.

mod engine;
mod evidence;
mod job;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use self::engine::{Engine, Seat};
use self::evidence::Evidence;
pub use self::job::{Grant, Helper, Id, Job, Team};
use crate::engine::{Figures, millis};
use crate::name::Name;
use crate::pick::rendezvous;
use crate::time::Moment;

/// Settings of the policy. The values were found by measured rounds; see `docs/design/08-platform.md`.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Part of a wanted pause that a pass may take.
    pub pause_share: f64,
    /// Least time that a part is worth, in milliseconds: smaller ones cost more passes than they save.
    pub least_part_ms: f64,
    /// Most engines that read one prompt.
    pub most_parts: usize,
    /// A long prompt starts on engines that have at most this left to read, in milliseconds.
    pub start_pending_ms: f64,
    /// Part of an engine's slots that is granted; the rest absorbs what this planner does not see.
    pub slot_share: f64,
    /// Part of an engine's memory that is granted.
    pub memory_share: f64,
    /// Part of the engines that short prompts leave to long ones.
    pub long_share: f64,
    /// Part of the engines that could read a part, which must be free before a long prompt starts:
    /// many prompts that each read slowly on few engines would all be late.
    pub team_share: f64,
    /// Part of the time to its aim that a prompt may be read for by a single engine.
    pub slack_share: f64,
    /// Part of the time that its caller still waits for which a late prompt may be read.
    pub late_share: f64,
    /// Part of the engines that is left when those that failed are left out; with fewer, none is.
    pub least_usable: f64,
    /// Part of the time to its aim within which a team must have read a prompt.
    pub in_time_share: f64,
    /// An engine that has at most this left to read is worth waiting for, in milliseconds.
    pub soon_ms: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            pause_share: 0.85,
            least_part_ms: 40.0,
            most_parts: 17,
            start_pending_ms: 40.0,
            slot_share: 0.88,
            memory_share: 0.97,
            long_share: 0.06,
            team_share: 0.6,
            slack_share: 0.25,
            late_share: 0.5,
            least_usable: 0.6,
            in_time_share: 0.9,
            soon_ms: 500.0,
        }
    }
}

/// Time in which entries tell a planner that is new to them what they have at the engines. Those that meet a lost
/// planner at the same moment were seen to take 0.1 s to find the next one.
const SETTLING: Duration = Duration::from_millis(300);
/// A first event that takes this many times as long as the model has it shows that an engine is slow …
const SLOW: f64 = 2.5;
/// … if it also takes so much longer, in milliseconds: a pass of a full engine and some ways through the network.
const SLOW_BY_MS: f64 = 150.0;
/// A part that is overdue by this factor no longer counts as pending.
const OVERDUE: f64 = 3.0;
/// Output tokens that a job is expected to write at most, for memory.
const LIKELY_OUTPUT: u64 = 4_096;

/// An engine that may read a part now.
struct Open<'a> {
    name: &'a Name,
    engine: &'a Engine,
    wait_ms: f64,
}

/// A job that waits, with what its turn depends on.
struct Ranked {
    id: Id,
    job: Job,
    late: bool,
    cost_ms: f64,
}

/// A job that has its engines.
#[derive(Debug)]
struct Granted {
    team: Team,
    at: Moment,
    /// Time from the grant to the first event as the model has it, in milliseconds.
    expected_ms: f64,
    /// Whether its prompt is still being read, as far as is known, and not yet overdue.
    watched: bool,
}

impl Granted {
    /// Whether the first event is so late that an engine must be to blame.
    fn is_overdue(&self, now: Moment) -> bool {
        now.since(self.at) > millis(self.expected_ms * SLOW + SLOW_BY_MS)
    }
}

/// One engine that reads and writes all by itself.
fn alone(name: &Name) -> Team {
    Team { writer: name.clone(), helpers: Vec::new() }
}

/// The planner of one service.
#[derive(Debug, Default)]
pub struct Planner {
    policy: Policy,
    /// Orders engines that are equally good; planners that know nothing of each other should not choose alike.
    salt: u64,
    engines: BTreeMap<Name, Engine>,
    evidence: Evidence,
    /// Long prompts wait until then: not all who have prompts at the engines have told yet.
    settled_at: Moment,
    waiting: BTreeMap<Id, Job>,
    /// What was granted.
    granted: BTreeMap<Id, Granted>,
}

impl Planner {
    /// A planner with a policy and no engines. Planners of different `salt` prefer different engines.
    pub fn new(policy: Policy, salt: u64) -> Self {
        Self { policy, salt, ..Self::default() }
    }

    /// Sets which engines take work. What runs on an engine that is left out is forgotten.
    pub fn set_engines(&mut self, engines: impl IntoIterator<Item = (Name, Arc<Figures>)>) {
        let mut old = std::mem::take(&mut self.engines);
        for (name, figures) in engines {
            let engine = match old.remove(&name) {
                Some(mut engine) => {
                    engine.figures = figures;
                    engine
                }
                None => Engine::new(figures),
            };
            self.engines.insert(name, engine);
        }
        self.evidence.keep(|name| self.engines.contains_key(name));
    }

    /// Notes that others are about to tell what they have at the engines.
    pub fn unsettle(&mut self, now: Moment) {
        self.settled_at = now + SETTLING;
    }

    /// Whether jobs wait.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Takes a job in; [`Planner::pump`] grants it.
    pub fn submit(&mut self, id: Id, job: Job) {
        self.waiting.insert(id, job);
    }

    /// Takes in a job that was granted elsewhere.
    pub fn adopt(&mut self, id: Id, job: &Job, team: Team, reading: bool, now: Moment) {
        self.waiting.remove(&id);
        let parts = 1 + team.helpers.len();
        let held: u64 = team.helpers.iter().map(|helper| helper.holds).sum();
        let expected_ms = self.expected_ms(job, &team, now);
        if reading {
            for name in team.engines() {
                let Some(engine) = self.engines.get_mut(name) else { continue };
                let ms = engine.figures.part_ms(job.prompt, parts);
                engine.add_part(id, ms, now);
            }
        }
        self.seat(&team.writer, id, job.needs().saturating_sub(held), job.gap_ms);
        for helper in team.helpers.iter().filter(|helper| helper.holds > 0) {
            self.seat(&helper.engine, id, helper.holds, job.gap_ms);
        }
        self.granted.insert(id, Granted { team, at: now, expected_ms, watched: reading });
    }

    /// Milliseconds until a team that is granted now has read a prompt and writes its first event.
    fn expected_ms(&self, job: &Job, team: &Team, now: Moment) -> f64 {
        let engines = team.engines().filter_map(|name| self.engines.get(name));
        let wait = engines.clone().map(|engine| self.wait_ms(engine, now)).fold(0.0, f64::max);
        let pass = engines.map(Engine::pass_ms).fold(0.0, f64::max);
        wait + self.cost_ms(job) / (1 + team.helpers.len()) as f64 + pass
    }

    fn seat(&mut self, engine: &Name, id: Id, tokens: u64, gap_ms: f64) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.seats.insert(id, Seat { tokens, gap_ms });
        }
    }

    /// Notes that a job's first event came: its prompt is read.
    pub fn first_event(&mut self, id: Id, now: Moment) {
        let Some(granted) = self.granted.get_mut(&id) else { return };
        let overdue = granted.is_overdue(now);
        granted.watched = false;
        let team = granted.team.clone();
        for name in team.engines() {
            if let Some(engine) = self.engines.get_mut(name) {
                engine.drop_part(id, now);
            }
            match overdue {
                false => self.evidence.succeeded(id.entry, name, now),
                true if team.helpers.is_empty() => self.evidence.failed(id.entry, name, now),
                // One of them is slow, who knows which.
                true => self.evidence.suspect(name, now),
            }
        }
    }

    /// Notes that a job is over, or no longer waits.
    pub fn end(&mut self, id: Id, now: Moment) {
        self.waiting.remove(&id);
        let Some(granted) = self.granted.remove(&id) else { return };
        for name in granted.team.engines() {
            if let Some(engine) = self.engines.get_mut(name) {
                engine.drop_part(id, now);
                engine.seats.remove(&id);
            }
        }
    }

    /// Suspects the engines of prompts whose first events are overdue.
    fn look_for_slow(&mut self, now: Moment) {
        for granted in self.granted.values_mut().filter(|granted| granted.watched && granted.is_overdue(now)) {
            granted.watched = false;
            granted.team.engines().for_each(|name| self.evidence.suspect(name, now));
        }
    }

    /// Forgets all jobs of an entry.
    pub fn end_entry(&mut self, entry: u64, now: Moment) {
        let of_entry = |id: &&Id| id.entry == entry;
        let ids: Vec<Id> = self.waiting.keys().chain(self.granted.keys()).filter(of_entry).copied().collect();
        for id in ids {
            self.end(id, now);
        }
    }

    /// Notes that an engine failed a job of an entry: it is left out for a growing while.
    pub fn failed(&mut self, entry: u64, engine: &Name, now: Moment) {
        if self.engines.contains_key(engine) {
            self.evidence.failed(entry, engine, now);
        }
    }

    /// Grants what may start now.
    pub fn pump(&mut self, now: Moment) -> Vec<Grant> {
        self.look_for_slow(now);
        let mut grants = Vec::new();
        let mut held_back = false;
        for Ranked { id, job, late, .. } in self.ranked(now) {
            // What is late anyway must not take the engines that one in time waits for.
            if late && held_back {
                break;
            }
            let placed = self.place(id, &job, now);
            held_back |= placed.is_none();
            if let Some(grant) = placed {
                self.adopt(id, &job, grant.team.clone(), true, now);
                grant.team.engines().for_each(|engine| self.evidence.begin(engine, now));
                grants.push(grant);
            }
        }
        grants
    }

    /// What waits: prompts that can still be in time go first; among them the more urgent rank, then the cheaper.
    fn ranked(&self, now: Moment) -> Vec<Ranked> {
        let rank = |(id, job): (&Id, &Job)| Ranked {
            id: *id,
            job: *job,
            late: self.is_late(job, now),
            cost_ms: self.cost_ms(job),
        };
        let mut ranked: Vec<Ranked> = self.waiting.iter().map(rank).collect();
        ranked.sort_by(|a, b| {
            (a.late, a.job.priority).cmp(&(b.late, b.job.priority)).then(a.cost_ms.total_cmp(&b.cost_ms))
        });
        ranked
    }

    /// Whether a prompt would be late even if it started now: on one engine if short, else on all,
    /// behind the rest of a pass and with the pass in which its first event is written.
    fn is_late(&self, job: &Job, now: Moment) -> bool {
        let Some(engine) = self.engines.values().next() else { return false };
        let engines = if self.is_short(job) { 1 } else { self.policy.most_parts.min(self.engines.len()) };
        let pass = engine.figures.pass_ms(engine.figures.slots / 2, 0);
        now + millis(self.cost_ms(job) / engines as f64 + pass * PASSES_TO_FIRST_EVENT) > job.aim
    }

    /// Engine time that reading a job takes, in milliseconds.
    fn cost_ms(&self, job: &Job) -> f64 {
        self.engines.values().next().map_or(job.prompt as f64, |engine| engine.figures.read_ms(job.prompt))
    }

    /// Engines that may be chosen for a job of an entry: those that failed of late are left out, as long as that
    /// leaves most of them; what strikes many at once is no fault of theirs.
    fn candidates(&self, entry: u64, now: Moment) -> Vec<(&Name, &Engine)> {
        let admitted: Vec<_> = self.engines.iter().filter(|(name, _)| self.evidence.admits(name, now)).collect();
        let most = admitted.len() as f64 > self.engines.len() as f64 * self.policy.least_usable;
        let usable = if most { admitted } else { self.engines.iter().collect() };
        let reached = |(name, _): &(&Name, &Engine)| self.evidence.reaches(entry, name, now);
        let reached: Vec<_> = usable.iter().copied().filter(reached).collect();
        if reached.is_empty() { usable } else { reached }
    }

    fn place(&self, id: Id, job: &Job, now: Moment) -> Option<Grant> {
        let engines = self.candidates(id.entry, now);
        if engines.is_empty() {
            return None;
        }
        let short = self.is_short(job);
        if !short && now < self.settled_at {
            return None;
        }
        let team = if short { self.place_short(job, &engines, now)? } else { self.place_long(job, &engines, now)? };
        Some(Grant { id, team })
    }

    /// Whether one engine can read the prompt without a pause that someone like its caller would mind.
    fn is_short(&self, job: &Job) -> bool {
        let Some(engine) = self.engines.values().next() else { return true };
        let gap = if job.gap_ms > 0.0 { job.gap_ms } else { f64::INFINITY };
        let figures = &engine.figures;
        let full = figures.pass_ms((f64::from(figures.slots) * self.policy.slot_share) as u32, 0);
        figures.read_ms(job.prompt) <= gap * self.policy.pause_share - full
            && figures.read_ms(job.prompt) <= SHORT_READ_MS
    }

    /// Packs a short prompt onto an engine that has others like it, as long as all stay in time.
    fn place_short(&self, job: &Job, engines: &[(&Name, &Engine)], now: Moment) -> Option<Team> {
        let read = self.cost_ms(job);
        let fits = |engine: &Engine| engine.has_slot(&self.policy) && self.fits_memory(engine, job);
        let in_time =
            |engine: &Engine| engine.room_ms(now, &self.policy) >= read && self.in_time(engine, read, job, now);
        let like = |engine: &Engine| engine.gap_ms() <= job.gap_ms;
        let trial = engines
            .iter()
            .find(|(name, engine)| self.evidence.is_on_trial(name, now) && fits(engine) && in_time(engine));
        if let Some((name, _)) = trial {
            return Some(alone(name));
        }
        let packed = engines
            .iter()
            .filter(|(_, engine)| fits(engine) && like(engine) && in_time(engine))
            .max_by_key(|(_, engine)| engine.seats.len());
        if let Some((name, _)) = packed {
            return Some(alone(name));
        }
        let opened =
            engines.iter().filter(|(_, engine)| fits(engine) && !like(engine)).min_by(|(a, of_a), (b, of_b)| {
                let costs = self.opening_cost(of_a, now).total_cmp(&self.opening_cost(of_b, now));
                costs.then(rendezvous(self.salt, a).cmp(&rendezvous(self.salt, b)))
            });
        let all_like = engines.iter().filter(|(_, engine)| like(engine)).count();
        let may_open = (all_like as f64) < engines.len() as f64 * (1.0 - self.policy.long_share);
        if let (Some((name, _)), true) = (opened, may_open) {
            return Some(alone(name));
        }
        engines
            .iter()
            .filter(|(_, engine)| fits(engine) && engine.room_ms(now, &self.policy) >= read)
            .min_by(|(_, a), (_, b)| self.wait_ms(a, now).total_cmp(&self.wait_ms(b, now)))
            .map(|(name, _)| alone(name))
    }

    /// What it costs to make an engine one of those that hold short answers.
    fn opening_cost(&self, engine: &Engine, now: Moment) -> f64 {
        self.wait_ms(engine, now) + engine.context() as f64 / 1e3
    }

    /// Milliseconds until an engine could begin to read something new.
    fn wait_ms(&self, engine: &Engine, now: Moment) -> f64 {
        engine.pending_ms(now) + engine.pass_ms()
    }

    fn in_time(&self, engine: &Engine, read: f64, job: &Job, now: Moment) -> bool {
        now + millis(self.wait_ms(engine, now) + read + engine.pass_ms()) <= job.aim
    }

    fn fits_memory(&self, engine: &Engine, job: &Job) -> bool {
        engine.free_memory(&self.policy) >= job.needs()
    }

    /// Splits a long prompt over as many engines as can read a part without making anyone wait.
    fn place_long(&self, job: &Job, engines: &[(&Name, &Engine)], now: Moment) -> Option<Team> {
        let read = self.cost_ms(job);
        let most = ((read / self.policy.least_part_ms) as usize).clamp(1, self.policy.most_parts);
        let on_trial = self.evidence.on_trial(now) as f64;
        let all_on_trial = on_trial >= self.engines.len() as f64 * (1.0 - self.policy.least_usable);
        let mut open: Vec<Open> = engines
            .iter()
            .map(|(name, engine)| Open { name, engine, wait_ms: self.wait_ms(engine, now) })
            .filter(|open| open.engine.pending_ms(now) <= self.policy.start_pending_ms)
            // One that fails holds up the whole team; short prompts try it.
            .filter(|open| all_on_trial || !self.evidence.is_on_trial(open.name, now))
            .collect();
        open.sort_by(|a, b| a.wait_ms.total_cmp(&b.wait_ms));
        let least = self.fewest(job, read, most, engines, now);
        for parts in (least..=most.min(open.len())).rev() {
            let part = read / parts as f64;
            let roomy: Vec<&Open> = open.iter().filter(|open| open.engine.room_ms(now, &self.policy) >= part).collect();
            if roomy.len() < parts {
                continue;
            }
            if let Some(team) = self.team(job, &roomy, parts) {
                return Some(team);
            }
        }
        None
    }

    /// Fewest engines that may read a prompt now.
    fn fewest(&self, job: &Job, read: f64, most: usize, engines: &[(&Name, &Engine)], now: Moment) -> usize {
        if self.is_late(job, now) {
            // It takes what there is, if that is enough for its caller to see the first event at all, or is all.
            let left = job.deadline.since(now).as_secs_f64() * 1e3 * self.policy.late_share;
            return ((read / left.max(1.0)).ceil() as usize).clamp(1, most.min(engines.len()));
        }
        let slack = job.aim.since(now).as_secs_f64() * 1e3;
        if read <= slack * self.policy.slack_share {
            return 1;
        }
        // A team that is too small to be in time would be in the way of others for long.
        let in_time = (read / (slack * self.policy.in_time_share).max(1.0)).ceil() as usize;
        self.team_size(read, most, engines, now).max(in_time.min(most))
    }

    /// A share of the engines that could read a prompt if they had nothing left to read, which they soon have.
    fn team_size(&self, read: f64, most: usize, engines: &[(&Name, &Engine)], now: Moment) -> usize {
        let part = read / most as f64;
        let could = |engine: &Engine| engine.gap_ms() * self.policy.pause_share - engine.pass_ms() >= part;
        let soon = |engine: &Engine| engine.pending_ms(now) <= self.policy.soon_ms;
        let able = engines.iter().filter(|(_, engine)| could(engine) && soon(engine)).count();
        ((most.min(able) as f64 * self.policy.team_share).ceil() as usize).max(1)
    }

    /// Chooses the writer among engines that may read a part, and who holds what exceeds its memory.
    fn team(&self, job: &Job, roomy: &[&Open], parts: usize) -> Option<Team> {
        let with_slot = roomy.iter().filter(|open| open.engine.has_slot(&self.policy));
        let fitting = with_slot.clone().filter(|open| self.fits_memory(open.engine, job));
        if let Some(writer) = fitting.min_by_key(|open| self.writer_key(open.engine, job)) {
            let others = roomy.iter().filter(|open| open.name != writer.name).take(parts - 1);
            let helpers = others.map(|open| Helper { engine: open.name.clone(), holds: 0 }).collect();
            return Some(Team { writer: writer.name.clone(), helpers });
        }
        let free = |open: &Open| open.engine.free_memory(&self.policy);
        let writer = with_slot.max_by_key(|open| free(open))?;
        let mut left = job.needs().saturating_sub(free(writer));
        let mut others: Vec<&&Open> = roomy.iter().filter(|open| open.name != writer.name).collect();
        others.sort_by_key(|open| std::cmp::Reverse(free(open)));
        let mut helpers = Vec::new();
        for open in others.into_iter().take(parts - 1) {
            let holds = left.min(free(open));
            left -= holds;
            helpers.push(Helper { engine: open.name.clone(), holds });
        }
        (left == 0).then(|| Team { writer: writer.name.clone(), helpers })
    }

    /// Long answers are written where others are, away from short ones, so that most engines only read.
    fn writer_key(&self, engine: &Engine, job: &Job) -> (bool, std::cmp::Reverse<usize>) {
        (engine.gap_ms() < job.gap_ms, std::cmp::Reverse(engine.seats.len()))
    }
}

/// Passes until a prompt that fits in has its first event, reading left out: on average half of the
/// one under way, and the one that reads it.
const PASSES_TO_FIRST_EVENT: f64 = 1.5;
/// A prompt that takes longer to read than this is long, in milliseconds: it would spend most of
/// the 200 ms that the shortest wanted pause seen leaves beside a pass.
const SHORT_READ_MS: f64 = 125.0;
