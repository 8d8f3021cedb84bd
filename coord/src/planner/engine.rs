//! Model of one engine: its pending prefill, its decoding answers, and its memory.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::job::Id;
use super::policy::{MIN_PENDING_SHARE, OVERDUE_FACTOR};
use super::slowdown::{LATE_FACTOR, LATE_MARGIN_MS};
use crate::breaker::Breaker;
use crate::engine::Profile;
use crate::limit::TokenBucket;
use crate::name::Name;
use crate::quarantine::Fingerprint;
use crate::time::Moment;

/// Part of a prompt that is still to be prefilled.
#[derive(Clone, Copy, Debug)]
struct Part {
    job: Id,
    /// Expected prefill time, in milliseconds.
    prefill_ms: f64,
}

/// Answer that decodes on an engine, or will once its prompt is prefilled.
#[derive(Clone, Copy, Debug)]
pub struct Sequence {
    /// KV memory that it holds on this engine, in tokens.
    pub tokens: u64,
    /// Gap target of its caller, in milliseconds; 0 if the caller sets none.
    pub gap_target_ms: f64,
    pub is_short: bool,
    /// Time at which its last event is expected.
    pub expected_end: Moment,
    /// Fingerprint of its request, if it is suspected of crashing engines.
    pub suspect: Option<Fingerprint>,
}

/// Aggregates over the sequences of an engine, cached so that a scan of all engines does not recompute them.
#[derive(Clone, Copy, Debug)]
struct Aggregates {
    /// KV memory in use, in tokens.
    context_tokens: u64,
    /// Smallest gap target, in milliseconds; infinite if no sequence has one.
    min_gap_target_ms: f64,
    /// Duration of a pass without prefill, in milliseconds.
    pass_ms: f64,
    /// Number of sequences whose prompts are short.
    short_sequence_count: usize,
    /// Time at which the last of these is expected to end.
    short_until: Moment,
    /// Fingerprint of one of the sequences that is suspected of crashing engines.
    suspect: Option<Fingerprint>,
}

/// State of one engine as known to the planner. It may be incomplete, because other planners may use the engine too.
#[derive(Debug)]
pub struct Engine {
    pub name: Name,
    /// Circuit breaker; `None` until the first failure.
    pub breaker: Option<Breaker>,
    /// Token bucket for the engine's announced rate limit; `None` if it announces no limit.
    pub limit: Option<TokenBucket>,
    /// Time of the last first event that was not overdue.
    pub answered_at: Moment,
    /// Profile at nominal speed.
    nominal_profile: Arc<Profile>,
    /// Profile at the current slowdown.
    profile: Arc<Profile>,
    /// Slowdown factor that the engine reported; 1.0 is nominal speed.
    slowdown: f64,
    /// Time of the last slowdown probe.
    pub probed_at: Moment,
    /// Pending prefill, in order.
    parts: VecDeque<Part>,
    /// Time at which prefill of the first part started.
    front_started_at: Moment,
    sequences: BTreeMap<Id, Sequence>,
    aggregates: Aggregates,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(name: Name, profile: Arc<Profile>) -> Self {
        Self {
            name,
            breaker: None,
            limit: None,
            answered_at: Moment::ZERO,
            nominal_profile: profile.clone(),
            profile,
            slowdown: 1.0,
            probed_at: Moment::ZERO,
            parts: VecDeque::new(),
            front_started_at: Moment::ZERO,
            sequences: BTreeMap::new(),
            aggregates: Aggregates {
                context_tokens: 0,
                min_gap_target_ms: f64::INFINITY,
                pass_ms: 0.0,
                short_sequence_count: 0,
                short_until: Moment::ZERO,
                suspect: None,
            },
        }
    }

    /// Returns the profile at the current slowdown.
    pub fn profile(&self) -> &Arc<Profile> {
        &self.profile
    }

    pub fn nominal_profile(&self) -> &Arc<Profile> {
        &self.nominal_profile
    }

    /// Replaces the profile at nominal speed and applies the current slowdown to it.
    pub fn set_profile(&mut self, profile: Arc<Profile>) {
        self.nominal_profile = profile;
        self.set_slowdown(self.slowdown);
    }

    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    pub fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown;
        self.profile = if slowdown == 1.0 {
            self.nominal_profile.clone()
        } else {
            Arc::new(self.nominal_profile.slowed_by(slowdown))
        };
        self.update_aggregates();
    }

    /// Returns the KV memory in use, in tokens.
    pub fn context_tokens(&self) -> u64 {
        self.aggregates.context_tokens
    }

    /// Returns the sequences with the memory that each holds, in tokens.
    pub fn held_memory(&self) -> impl Iterator<Item = (Id, u64)> {
        self.sequences.iter().map(|(job, sequence)| (*job, sequence.tokens))
    }

    pub fn sequence_count(&self) -> usize {
        self.sequences.len()
    }

    /// Returns the number of sequences whose prompts are short.
    pub fn short_sequence_count(&self) -> usize {
        self.aggregates.short_sequence_count
    }

    /// Returns the time at which the last sequence with a short prompt is expected to end.
    pub fn short_until(&self) -> Moment {
        self.aggregates.short_until
    }

    /// Returns the fingerprint of a request at this engine that is suspected of crashing engines.
    pub fn suspect(&self) -> Option<Fingerprint> {
        self.aggregates.suspect
    }

    /// Returns the smallest gap target of the sequences, in milliseconds; infinite if no sequence has one.
    pub fn min_gap_target_ms(&self) -> f64 {
        self.aggregates.min_gap_target_ms
    }

    /// Returns the duration of a pass without prefill, in milliseconds.
    pub fn pass_ms(&self) -> f64 {
        self.aggregates.pass_ms
    }

    /// Returns the pending prefill in milliseconds. Parts at the front that are long overdue no longer count, because
    /// their answers were lost or other engines hold up their teams. The first part that is not overdue counts in
    /// full if overdue parts precede it.
    pub fn pending_ms(&self, now: Moment) -> f64 {
        if self.parts.is_empty() {
            return 0.0;
        }
        let mut elapsed_ms = now.since(self.front_started_at).as_secs_f64() * 1e3;
        let mut parts = self.parts.iter();
        let mut is_front = true;
        let next = parts.find(|part| {
            let overdue_after_ms = part.prefill_ms * OVERDUE_FACTOR + self.pass_ms();
            let is_overdue = elapsed_ms > overdue_after_ms;
            if is_overdue {
                elapsed_ms -= overdue_after_ms;
                is_front = false;
            }
            !is_overdue
        });
        let Some(next) = next else { return 0.0 };
        let remaining_ms = if is_front {
            (next.prefill_ms - elapsed_ms).max(next.prefill_ms * MIN_PENDING_SHARE)
        } else {
            next.prefill_ms
        };
        remaining_ms + parts.map(|part| part.prefill_ms).sum::<f64>()
    }

    /// Returns whether the first part takes noticeably longer than expected.
    pub fn is_late(&self, now: Moment) -> bool {
        let Some(front) = self.parts.front() else { return false };
        let elapsed_ms = now.since(self.front_started_at).as_secs_f64() * 1e3;
        elapsed_ms > (front.prefill_ms + self.pass_ms()) * LATE_FACTOR + LATE_MARGIN_MS
    }

    /// Returns the time until a new prefill could start, in milliseconds.
    pub fn wait_ms(&self, now: Moment) -> f64 {
        self.pending_ms(now) + self.pass_ms()
    }

    pub fn add_sequence(&mut self, job: Id, sequence: Sequence) {
        self.sequences.insert(job, sequence);
        self.update_aggregates();
    }

    pub fn remove_sequence(&mut self, job: Id) {
        if self.sequences.remove(&job).is_some() {
            self.update_aggregates();
        }
    }

    /// Appends a part to the pending prefill.
    pub fn add_part(&mut self, job: Id, prefill_ms: f64, now: Moment) {
        if self.parts.is_empty() {
            self.front_started_at = now;
        }
        self.parts.push_back(Part { job, prefill_ms });
    }

    /// Removes the part of a job that is prefilled or was withdrawn.
    pub fn remove_part(&mut self, job: Id, now: Moment) {
        let was_front = self.parts.front().is_some_and(|part| part.job == job);
        self.parts.retain(|part| part.job != job);
        if was_front {
            self.front_started_at = now;
        }
    }

    fn update_aggregates(&mut self) {
        let context_tokens = self.sequences.values().map(|sequence| sequence.tokens).sum();
        let gap_targets =
            self.sequences.values().map(|sequence| sequence.gap_target_ms).filter(|gap_target| *gap_target > 0.0);
        let min_gap_target_ms = gap_targets.fold(f64::INFINITY, f64::min);
        let sequence_count = self.sequences.len() as u32;
        let pass_ms = if sequence_count == 0 { 0.0 } else { self.profile.pass_ms(sequence_count, context_tokens) };
        let short = self.sequences.values().filter(|sequence| sequence.is_short);
        let short_sequence_count = short.clone().count();
        let short_until = short.map(|sequence| sequence.expected_end).max().unwrap_or(Moment::ZERO);
        let suspect = self.sequences.values().find_map(|sequence| sequence.suspect);
        self.aggregates =
            Aggregates { context_tokens, min_gap_target_ms, pass_ms, short_sequence_count, short_until, suspect };
    }
}
