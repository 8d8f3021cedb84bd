//! Model of one engine: its pending prefill, its decoding answers, and its memory.

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

/// Part of a prompt that is still to be prefilled.
#[derive(Clone, Copy, Debug)]
struct Part {
    job: Id,
    /// Expected prefill time, in milliseconds.
    ms: f64,
}

/// Answer that decodes on an engine, or will once its prompt is prefilled.
#[derive(Clone, Copy, Debug)]
pub struct Seat {
    /// Tokens that it holds in memory.
    pub tokens: u64,
    /// Longest gap between two events that its caller accepts, in milliseconds; 0 if the caller names no limit.
    pub gap_ms: f64,
    /// Whether its prompt is short.
    pub short: bool,
    /// Work of its prompt, if that is suspected of crashing engines.
    pub suspect: Option<Work>,
}

/// Aggregates over the sequences of an engine, cached so that a scan of all engines does not recompute them.
#[derive(Clone, Copy, Debug)]
struct Sums {
    /// Tokens that the engine's memory holds.
    context: u64,
    /// Smallest gap limit, in milliseconds; infinite if no sequence has one.
    gap_ms: f64,
    /// Duration of a pass without prefill, in milliseconds.
    pass_ms: f64,
    /// Number of sequences whose prompts are short.
    short_seats: usize,
    /// Work of one of the sequences that is suspected of crashing engines.
    suspect: Option<Work>,
}

/// State of one engine, as far as the planner knows.
#[derive(Debug)]
pub struct Engine {
    pub name: Name,
    /// Circuit breaker; `None` until the first failure.
    pub breaker: Option<Breaker>,
    /// Allowance under the engine's announced rate limit; `None` if it announces no limit.
    pub limit: Option<Allowance>,
    /// Time of the last first event that was not overdue.
    pub answered_at: Moment,
    /// Sizes and speeds at nominal speed.
    sound: Arc<Figures>,
    /// Sizes and speeds at the current slowdown.
    figures: Arc<Figures>,
    /// Slowdown factor that the engine reported; 1.0 is nominal speed.
    pace: f64,
    /// Time of the last slowdown probe.
    pub asked_at: Moment,
    /// Pending prefill, in order.
    parts: VecDeque<Part>,
    /// Time at which prefill of the first part started.
    front_since: Moment,
    /// Sequences by job.
    seats: BTreeMap<Id, Seat>,
    sums: Sums,
}

impl Engine {
    /// Creates an idle engine.
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

    /// Returns the sizes and speeds at the current slowdown.
    pub fn figures(&self) -> &Arc<Figures> {
        &self.figures
    }

    /// Returns the sizes and speeds at nominal speed.
    pub fn sound(&self) -> &Arc<Figures> {
        &self.sound
    }

    /// Replaces the sizes and speeds at nominal speed.
    pub fn set_figures(&mut self, figures: Arc<Figures>) {
        self.sound = figures;
        self.set_pace(self.pace);
    }

    pub fn pace(&self) -> f64 {
        self.pace
    }

    pub fn set_pace(&mut self, pace: f64) {
        self.pace = pace;
        self.figures = if pace == 1.0 { self.sound.clone() } else { Arc::new(self.sound.at_pace(pace)) };
        self.sum_up();
    }

    /// Returns the number of tokens that the engine's memory holds.
    pub fn context(&self) -> u64 {
        self.sums.context
    }

    /// Returns the number of sequences.
    pub fn seats(&self) -> usize {
        self.seats.len()
    }

    /// Returns the number of sequences whose prompts are short.
    pub fn short_seats(&self) -> usize {
        self.sums.short_seats
    }

    /// Returns work at this engine that is suspected of crashing engines.
    pub fn suspect(&self) -> Option<Work> {
        self.sums.suspect
    }

    /// Returns the smallest gap limit of the sequences, in milliseconds; infinite if no sequence has one.
    pub fn gap_ms(&self) -> f64 {
        self.sums.gap_ms
    }

    /// Returns the duration of a pass without prefill, in milliseconds.
    pub fn pass_ms(&self) -> f64 {
        self.sums.pass_ms
    }

    /// Returns the pending prefill in milliseconds. Parts at the front that are long overdue no longer count, because
    /// their answers were lost or other engines hold up their teams. The first part that is not overdue counts in
    /// full if overdue parts precede it.
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

    /// Returns whether the first part takes noticeably longer than expected.
    pub fn is_late(&self, now: Moment) -> bool {
        let Some(front) = self.parts.front() else { return false };
        let elapsed_ms = now.since(self.front_since).as_secs_f64() * 1e3;
        elapsed_ms > (front.ms + self.pass_ms()) * LATE + LATE_BY_MS
    }

    /// Returns the time until a new prefill could start, in milliseconds.
    pub fn wait_ms(&self, now: Moment) -> f64 {
        self.pending_ms(now) + self.pass_ms()
    }

    pub fn seat(&mut self, job: Id, seat: Seat) {
        self.seats.insert(job, seat);
        self.sum_up();
    }

    /// Removes the sequence of a finished job.
    pub fn unseat(&mut self, job: Id) {
        if self.seats.remove(&job).is_some() {
            self.sum_up();
        }
    }

    /// Appends a part to the pending prefill.
    pub fn add_part(&mut self, job: Id, ms: f64, now: Moment) {
        if self.parts.is_empty() {
            self.front_since = now;
        }
        self.parts.push_back(Part { job, ms });
    }

    /// Removes the part of a job that is prefilled or was withdrawn.
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
