//! The planner's picture of one engine: what it has left to read, what it writes, what its memory holds.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::job::Id;
use super::pace::{LATE, LATE_BY_MS};
use super::policy::{LEAST_LEFT, OVERDUE};
use crate::breaker::Breaker;
use crate::engine::Figures;
use crate::limit::Allowance;
use crate::name::Name;
use crate::quarantine::Work;
use crate::time::Moment;

/// A part of a prompt that an engine has still to read.
#[derive(Clone, Copy, Debug)]
struct Part {
    job: Id,
    /// Time that reading it takes, in milliseconds.
    ms: f64,
}

/// An answer that an engine writes, or will write once its prompt is read.
#[derive(Clone, Copy, Debug)]
pub struct Seat {
    /// Tokens that it holds.
    pub tokens: u64,
    /// Longest pause that its caller wants, in milliseconds; 0 if none is told.
    pub gap_ms: f64,
    /// Whether its prompt is a short one.
    pub short: bool,
    /// The work of its prompt, if that is suspected of ending engines.
    pub suspect: Option<Work>,
}

/// Sums over the answers that an engine writes, kept so that a look at all engines does not add them up each time.
#[derive(Clone, Copy, Debug)]
struct Sums {
    /// Tokens that the engine's memory holds.
    context: u64,
    /// The shortest pause that anyone wants, in milliseconds; infinite if nobody minds.
    gap_ms: f64,
    /// Milliseconds of a pass in which nothing is read.
    pass_ms: f64,
    /// Answers to short prompts.
    short_seats: usize,
    /// Work of one of them that is suspected of ending engines.
    suspect: Option<Work>,
}

/// What the planner believes of one engine.
#[derive(Debug)]
pub struct Engine {
    /// Its name.
    pub name: Name,
    /// What requests have told of it, once one went badly.
    pub breaker: Option<Breaker>,
    /// What may still be sent to it, if it names a limit of its own.
    pub limit: Option<Allowance>,
    /// When something last came from it in time.
    pub answered_at: Moment,
    /// Its sizes and speeds, when it is as fast as it should be.
    sound: Arc<Figures>,
    /// Its sizes and speeds now.
    figures: Arc<Figures>,
    /// How many times as long as it should everything takes, as the engine says.
    pace: f64,
    /// When it was last asked.
    pub asked_at: Moment,
    /// What it reads, in order.
    parts: VecDeque<Part>,
    /// When the first part began to be read.
    front_since: Moment,
    /// What it writes.
    seats: BTreeMap<Id, Seat>,
    sums: Sums,
}

impl Engine {
    /// An engine with nothing to do.
    pub fn new(name: Name, figures: Arc<Figures>) -> Self {
        Self {
            name,
            breaker: None,
            limit: None,
            answered_at: Moment::ZERO,
            sound: figures.clone(),
            figures,
            pace: 1.0,
            asked_at: Moment::ZERO,
            parts: VecDeque::new(),
            front_since: Moment::ZERO,
            seats: BTreeMap::new(),
            sums: Sums { context: 0, gap_ms: f64::INFINITY, pass_ms: 0.0, short_seats: 0, suspect: None },
        }
    }

    /// Its sizes and speeds.
    pub fn figures(&self) -> &Arc<Figures> {
        &self.figures
    }

    /// Its sizes and speeds when it is as fast as it should be.
    pub fn sound(&self) -> &Arc<Figures> {
        &self.sound
    }

    /// Gives it other sizes and speeds.
    pub fn set_figures(&mut self, figures: Arc<Figures>) {
        self.sound = figures;
        self.set_pace(self.pace);
    }

    /// How many times as long as it should everything takes.
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// Notes how many times as long as it should everything takes.
    pub fn set_pace(&mut self, pace: f64) {
        self.pace = pace;
        self.figures = if pace == 1.0 { self.sound.clone() } else { Arc::new(self.sound.at_pace(pace)) };
        self.sum_up();
    }

    /// Tokens that its memory holds.
    pub fn context(&self) -> u64 {
        self.sums.context
    }

    /// Answers that it writes, or will.
    pub fn seats(&self) -> usize {
        self.seats.len()
    }

    /// Answers to short prompts that it writes, or will.
    pub fn short_seats(&self) -> usize {
        self.sums.short_seats
    }

    /// Work that it has and that is suspected of ending engines.
    pub fn suspect(&self) -> Option<Work> {
        self.sums.suspect
    }

    /// The shortest pause that anyone who writes here wants, in milliseconds.
    pub fn gap_ms(&self) -> f64 {
        self.sums.gap_ms
    }

    /// Milliseconds of a pass in which nothing is read.
    pub fn pass_ms(&self) -> f64 {
        self.sums.pass_ms
    }

    /// Milliseconds of reading that are left. Parts that are long overdue, one after the other, no longer count: their
    /// answers were lost, or other engines hold up their teams. The part behind those counts in full.
    pub fn pending_ms(&self, now: Moment) -> f64 {
        if self.parts.is_empty() {
            return 0.0;
        }
        let mut elapsed = now.since(self.front_since).as_secs_f64() * 1e3;
        let mut parts = self.parts.iter();
        let mut is_front = true;
        let next = parts.find(|part| {
            let overdue_after = part.ms * OVERDUE + self.pass_ms();
            let overdue = elapsed > overdue_after;
            if overdue {
                elapsed -= overdue_after;
                is_front = false;
            }
            !overdue
        });
        let Some(next) = next else { return 0.0 };
        let next_left = if is_front { (next.ms - elapsed).max(next.ms * LEAST_LEFT) } else { next.ms };
        next_left + parts.map(|part| part.ms).sum::<f64>()
    }

    /// Whether what it reads takes noticeably longer than it should.
    pub fn is_late(&self, now: Moment) -> bool {
        let Some(front) = self.parts.front() else { return false };
        let elapsed_ms = now.since(self.front_since).as_secs_f64() * 1e3;
        elapsed_ms > (front.ms + self.pass_ms()) * LATE + LATE_BY_MS
    }

    /// Milliseconds until it could begin to read something new.
    pub fn wait_ms(&self, now: Moment) -> f64 {
        self.pending_ms(now) + self.pass_ms()
    }

    /// Adds an answer that it will write.
    pub fn seat(&mut self, job: Id, seat: Seat) {
        self.seats.insert(job, seat);
        self.sum_up();
    }

    /// Notes that an answer is over.
    pub fn unseat(&mut self, job: Id) {
        if self.seats.remove(&job).is_some() {
            self.sum_up();
        }
    }

    /// Adds a part behind what is left to read.
    pub fn add_part(&mut self, job: Id, ms: f64, now: Moment) {
        if self.parts.is_empty() {
            self.front_since = now;
        }
        self.parts.push_back(Part { job, ms });
    }

    /// Notes that a job's part is read, or never will be.
    pub fn drop_part(&mut self, job: Id, now: Moment) {
        let was_front = self.parts.front().is_some_and(|part| part.job == job);
        self.parts.retain(|part| part.job != job);
        if was_front {
            self.front_since = now;
        }
    }

    fn sum_up(&mut self) {
        let context = self.seats.values().map(|seat| seat.tokens).sum();
        let gaps = self.seats.values().map(|seat| seat.gap_ms).filter(|gap| *gap > 0.0);
        let gap_ms = gaps.fold(f64::INFINITY, f64::min);
        let writers = self.seats.len() as u32;
        let pass_ms = if writers == 0 { 0.0 } else { self.figures.pass_ms(writers, context) };
        let short_seats = self.seats.values().filter(|seat| seat.short).count();
        let suspect = self.seats.values().find_map(|seat| seat.suspect);
        self.sums = Sums { context, gap_ms, pass_ms, short_seats, suspect };
    }
}
