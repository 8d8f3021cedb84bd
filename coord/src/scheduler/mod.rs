//! Scheduler of one endpoint, the only place that accepts work for it.
//!
//! The scheduler admits, queues, starts, expires and cancels jobs. It accounts for the engine's memory and remembers
//! the idempotency keys that are bound to this incarnation.

mod capacity;
mod message;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use self::capacity::{Capacity, prefill_priority};
pub use self::message::*;
use crate::claim::Key;
use crate::estimate::Estimate;
use crate::expiring_set::ExpiringSet;
use crate::memory::Ledger;
use crate::name::Attempt;
use crate::queue::{Job, Order, Queue};
use crate::span::Spans;
use crate::time::Moment;

#[derive(Clone, Debug)]
struct RunningJob {
    job: Job,
    prefill_priority: PrefillPriority,
    started_at: Moment,
    first_token_at: Option<Moment>,
}

/// Factor on the estimated time of an answer; a job with less time left is refused as too late.
const ESTIMATE_MARGIN: f64 = 1.25;

/// Time after which a caller should retry at an endpoint that fails its health checks.
const UNHEALTHY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after which a caller should ask again for the memory of a span.
const SPAN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Scheduler of one endpoint; see the module documentation.
pub struct Scheduler {
    limits: Limits,
    estimate: Estimate,
    queue: Queue,
    running: HashMap<Attempt, RunningJob>,
    memory: Ledger<Attempt>,
    spans: Spans,
    /// Attempts that never started and never will.
    cancelled: ExpiringSet<Attempt>,
    /// Attempts that started and have finished.
    finished: ExpiringSet<Attempt>,
    keys: HashMap<Key, (Attempt, bool)>,
    keys_by_age: VecDeque<(Moment, Key)>,
    is_draining: bool,
    is_unhealthy: bool,
    /// Whether a span has requested memory since the last eviction pass.
    has_new_span: bool,
}

impl Scheduler {
    /// Creates a scheduler for an idle endpoint.
    pub fn new(limits: Limits, estimate: Estimate, order: Box<dyn Order>) -> Self {
        let memory = Ledger::new(limits.memory_tokens);
        Self {
            limits,
            estimate,
            queue: Queue::new(order),
            running: HashMap::new(),
            memory,
            spans: Spans::default(),
            cancelled: ExpiringSet::new(),
            finished: ExpiringSet::new(),
            keys: HashMap::new(),
            keys_by_age: VecDeque::new(),
            is_draining: false,
            is_unhealthy: false,
            has_new_span: false,
        }
    }

    /// Returns the expected prefill time of a prompt on an idle engine.
    pub fn cost(&self, prefill_tokens: u64) -> Duration {
        self.estimate.prefill(prefill_tokens) + self.estimate.first_token_overhead()
    }

    /// Returns the estimates, to be updated with observed times.
    pub fn estimate_mut(&mut self) -> &mut Estimate {
        &mut self.estimate
    }

    /// Returns the state of `key`, and binds it to `attempt` if it is new.
    pub fn claim_key(&mut self, key: &Key, attempt: Attempt, now: Moment) -> KeyState {
        if let Some((bound_attempt, is_done)) = self.keys.get(key) {
            return if *is_done { KeyState::Done(*bound_attempt) } else { KeyState::Running(*bound_attempt) };
        }
        self.keys.insert(key.clone(), (attempt, false));
        self.keys_by_age.push_back((now, key.clone()));
        KeyState::First
    }

    /// Records that the attempt of a key has finished.
    pub fn complete_key(&mut self, key: &Key, attempt: Attempt) {
        if let Some(binding) = self.keys.get_mut(key) {
            crate::invariant!(binding.0 == attempt, "only the attempt that is bound to a key may finish it");
            binding.1 = true;
        }
    }

    /// Returns whether the key was bound here within the retention period.
    pub fn has_key(&self, key: &Key) -> bool {
        self.keys.contains_key(key)
    }

    /// Releases a key whose attempt is proven not to have run.
    pub fn release_key(&mut self, key: &Key, attempt: Attempt) {
        if self.keys.get(key).is_some_and(|binding| binding.0 == attempt && !binding.1) {
            self.keys.remove(key);
            self.keys_by_age.retain(|(_, other_key)| other_key != key);
        }
    }

    /// Accepts a job, or refuses it with a reason.
    pub fn offer(&mut self, job: Job, now: Moment) -> Result<(), Refusal> {
        self.check_offer(&job, now)?;
        self.queue.push(job);
        Ok(())
    }

    fn check_offer(&self, job: &Job, now: Moment) -> Result<(), Refusal> {
        let refuse = |reason, retry_after| Err(Refusal { reason, retry_after });
        if self.is_draining {
            return refuse(RefusalReason::Draining, Duration::ZERO);
        }
        if self.is_unhealthy {
            return refuse(RefusalReason::Unhealthy, UNHEALTHY_RETRY_AFTER);
        }
        if self.cancelled.contains(job.attempt) {
            return refuse(RefusalReason::Cancelled, Duration::ZERO);
        }
        if self.finished.contains(job.attempt)
            || self.running.contains_key(&job.attempt)
            || self.queue.iter().any(|queued| queued.attempt == job.attempt)
        {
            return refuse(RefusalReason::Duplicate, Duration::ZERO);
        }
        if job.memory_tokens > self.limits.memory_tokens {
            return refuse(RefusalReason::TooLarge, Duration::ZERO);
        }
        if self.queue.len() >= self.limits.max_queued {
            return refuse(RefusalReason::QueueFull, self.queue_wait(job, now));
        }
        let needed = self.estimate_times(job, now).1.mul_f64(ESTIMATE_MARGIN);
        let time_left = job.deadline.since(now);
        if needed > time_left {
            return refuse(RefusalReason::TooLate, needed - time_left);
        }
        Ok(())
    }

    /// Returns the expected times to the first token and to the complete answer of `job`.
    fn estimate_times(&self, job: &Job, now: Moment) -> (Duration, Duration) {
        let ahead = self.queue.cost_ahead(job, now) + self.prefill_ahead(job, now) + self.slot_wait(job, now);
        let ttft = ahead + job.cost;
        (ttft, ttft + self.estimate.decode(job.output_tokens))
    }

    /// Returns the remaining time of prefill on the engine that goes before that of `job`.
    fn prefill_ahead(&self, job: &Job, now: Moment) -> Duration {
        let prefill_priority = self.prefill_priority(job);
        let spans =
            if prefill_priority == PrefillPriority::Huge { self.spans.prefill_time_left(now) } else { Duration::ZERO };
        let running: Duration = self
            .running
            .values()
            .filter(|run| run.first_token_at.is_none())
            .filter(|run| run.prefill_priority >= prefill_priority)
            .map(|run| run.job.cost.saturating_sub(now.since(run.started_at)))
            .sum();
        running + spans
    }

    /// Returns the expected wait for a slot or memory; zero if `job` fits now.
    fn slot_wait(&self, job: &Job, now: Moment) -> Duration {
        if self.capacity(now).fits(job) {
            return Duration::ZERO;
        }
        let times_left = self.running.values().map(|run| self.expected_time_left(run, now));
        times_left.min().unwrap_or(Duration::ZERO) + self.spans_wait(now)
    }

    /// Returns the expected time until the spans release their memory. Spans that are not filled yet count with their
    /// whole prefill time.
    fn spans_wait(&self, now: Moment) -> Duration {
        let unfilled = self.spans.idle_tokens() + self.spans.requested_tokens(now);
        self.cost(unfilled) + self.spans.prefill_time_left(now)
    }

    fn expected_time_left(&self, run: &RunningJob, now: Moment) -> Duration {
        let total = run.job.cost + self.estimate.decode(run.job.output_tokens);
        total.saturating_sub(now.since(run.started_at))
    }

    fn queue_wait(&self, job: &Job, now: Moment) -> Duration {
        self.estimate_times(job, now).0.max(Duration::from_millis(10))
    }

    fn prefill_priority(&self, job: &Job) -> PrefillPriority {
        // FIFO order, the baseline, ignores prompt lengths.
        if !self.queue.reserves_headroom() {
            return PrefillPriority::Huge;
        }
        let prefill_priority = prefill_priority(job, self.limits.short_tokens);
        if prefill_priority == PrefillPriority::Short || self.limits.split_long_by_length {
            prefill_priority
        } else {
            PrefillPriority::Huge
        }
    }

    /// Returns the free slots and memory.
    fn capacity(&self, now: Moment) -> Capacity {
        let share = if self.queue.reserves_headroom() { self.limits.short_share } else { 0.0 };
        let free_slots = self.limits.slots.saturating_sub(self.running.len());
        Capacity {
            free_slots,
            reserved_slots: (self.limits.slots as f64 * share) as usize,
            total_memory: self.limits.memory_tokens,
            free_memory: self.memory.available(),
            reserved_memory: (self.limits.memory_tokens as f64 * share) as u64,
            span_memory: self.spans.requested_tokens(now),
            short_tokens: self.limits.short_tokens,
        }
    }

    /// Returns the total delay that `job` would add to other jobs, whose prefill it pauses or precedes.
    fn interference(&self, job: &Job, now: Moment) -> Duration {
        let prefill_priority = self.prefill_priority(job);
        let paused = self
            .running
            .values()
            .filter(|run| run.first_token_at.is_none() && run.prefill_priority < prefill_priority)
            .count();
        let spans =
            usize::from(prefill_priority > PrefillPriority::Huge && !self.spans.prefill_time_left(now).is_zero());
        job.cost * (paused + spans) as u32
    }

    /// Returns the estimates for a job like `job`.
    pub fn quote(&self, job: &Job, now: Moment) -> Quote {
        let (ttft, total) = self.estimate_times(job, now);
        let waiting: u64 = self.queue.iter().map(|job| job.prefill_tokens + job.output_tokens).sum();
        let running: u64 = self.running.values().map(active_tokens).sum();
        let refused = self.check_offer(job, now).err();
        Quote {
            ttft,
            total,
            interference: self.interference(job, now),
            is_accepting: refused.is_none(),
            retry_after: refused.map_or(Duration::ZERO, |refused| refused.retry_after),
            outstanding: (self.queue.len() + self.running.len()) as u32,
            active_tokens: waiting + running,
            capacity_tokens: self.limits.memory_tokens,
            free_tokens: self.memory.available(),
        }
    }

    /// Expires jobs whose deadlines passed and starts jobs that fit. Must be called after every change and on timers.
    pub fn advance(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        self.prune(now);
        self.expire(now, &mut actions);
        for span in self.spans.expired(now) {
            self.spans.release(span);
            actions.push(Action::FreeSpan(span));
        }
        self.evict(now, &mut actions);
        while let Some(job) = self.take_next(now) {
            let prefill_priority = self.prefill_priority(&job);
            let attempt = job.attempt;
            let held = self.memory.reserve(attempt, job.memory_tokens, job.deadline);
            crate::invariant!(held, "a job starts only with its memory held");
            crate::invariant!(!self.cancelled.contains(attempt), "a cancelled attempt never starts");
            self.running.insert(attempt, RunningJob { job, prefill_priority, started_at: now, first_token_at: None });
            actions.push(Action::Start(attempt, prefill_priority));
        }
        crate::invariant!(self.running.len() <= self.limits.slots, "no more jobs run than there are slots");
        actions
    }

    fn take_next(&mut self, now: Moment) -> Option<Job> {
        let capacity = self.capacity(now);
        self.queue.pop(now, |job| capacity.fits(job))
    }

    fn expire(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let expired: Vec<Attempt> =
            self.queue.iter().filter(|job| job.deadline <= now).map(|job| job.attempt).collect();
        for attempt in expired {
            self.queue.remove(attempt);
            self.cancelled.insert(attempt, now);
            actions.push(Action::Expire(attempt));
        }
        let overdue = self.running.values().filter(|run| run.job.deadline <= now);
        actions.extend(overdue.map(|run| Action::Cancel(run.job.attempt)));
    }

    /// Evicts waiting jobs if the endpoint fails its health checks, and long ones that do not fit beside the memory
    /// that a new span waits for. Jobs that are accepted later take the span into account and stay.
    fn evict(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let has_new_span = std::mem::take(&mut self.has_new_span);
        if !has_new_span && !self.is_unhealthy {
            return;
        }
        let capacity = self.capacity(now);
        let is_stuck = |job: &&Job| {
            self.is_unhealthy || (!capacity.fits(job) && self.prefill_priority(job) != PrefillPriority::Short)
        };
        let evicted: Vec<Attempt> = self.queue.iter().filter(is_stuck).map(|job| job.attempt).collect();
        for attempt in evicted {
            self.queue.remove(attempt);
            self.cancelled.insert(attempt, now);
            actions.push(Action::Evict(attempt));
        }
    }

    fn prune(&mut self, now: Moment) {
        let before = now - self.limits.retention;
        self.cancelled.evict_before(before);
        self.finished.evict_before(before);
        while self.keys_by_age.front().is_some_and(|(at, _)| *at < before) {
            if let Some((_, key)) = self.keys_by_age.pop_front() {
                self.keys.remove(&key);
            }
        }
    }

    /// Records the first token of an attempt and updates the estimates.
    pub fn first_token(&mut self, attempt: Attempt, now: Moment) {
        let is_sole_prefill = self.running.values().filter(|run| run.first_token_at.is_none()).count() == 1;
        let Some(run) = self.running.get_mut(&attempt) else { return };
        if run.first_token_at.replace(now).is_none() && is_sole_prefill {
            self.estimate.observe_prefill(run.job.prefill_tokens, now.since(run.started_at));
        }
    }

    /// Finishes a running attempt that generated `output_tokens` and frees its memory.
    pub fn finish(&mut self, attempt: Attempt, output_tokens: u64, now: Moment) {
        let Some(run) = self.running.remove(&attempt) else { return };
        self.memory.release(attempt);
        self.finished.insert(attempt, now);
        if let Some(first_token_at) = run.first_token_at {
            self.estimate.observe_decode(output_tokens.saturating_sub(1), now.since(first_token_at));
        }
        self.check_memory_accounting();
    }

    fn check_memory_accounting(&self) {
        let spans = self.spans.tokens();
        let held = self.memory.held();
        crate::invariant!(held >= spans, "the memory of every span is held");
        crate::invariant!(!self.running.is_empty() || held == spans, "an idle endpoint holds memory only for spans");
    }

    /// Reserves memory for a span under a lease until `until`. If too little memory is free, starts collecting it and
    /// refuses with the time after which to retry.
    pub fn reserve_span(&mut self, span: Attempt, tokens: u64, until: Moment, now: Moment) -> Result<(), Refusal> {
        let refuse = |reason, retry_after| Err(Refusal { reason, retry_after });
        if let Some(held) = self.spans.get_mut(span) {
            held.until = until;
            return Ok(());
        }
        if self.is_draining || self.is_unhealthy {
            let reason = if self.is_draining { RefusalReason::Draining } else { RefusalReason::Unhealthy };
            return refuse(reason, UNHEALTHY_RETRY_AFTER);
        }
        if tokens > self.limits.memory_tokens {
            return refuse(RefusalReason::TooLarge, Duration::ZERO);
        }
        self.has_new_span |= !self.spans.is_requested(span);
        if !self.spans.request(span, tokens, until, now) || !self.memory.reserve(span, tokens, until) {
            return refuse(RefusalReason::QueueFull, SPAN_RETRY_AFTER);
        }
        self.spans.hold(span, tokens, until);
        self.check_memory_accounting();
        Ok(())
    }

    /// Records whether a held span is being prefilled; returns false if the span is not held.
    pub fn set_prefill(&mut self, span: Attempt, filling: bool, now: Moment) -> bool {
        let Some(tokens) = self.spans.get_mut(span).map(|held| held.tokens) else { return false };
        let cost = self.cost(tokens);
        if let Some(held) = self.spans.get_mut(span) {
            held.prefill = filling.then_some((now, cost));
        }
        true
    }

    /// Renews the lease of a span; returns false if the span is not held.
    pub fn renew_span(&mut self, span: Attempt, until: Moment) -> bool {
        self.spans.get_mut(span).map(|held| held.until = until).is_some()
    }

    /// Releases a span; returns whether the engine must free it.
    pub fn release_span(&mut self, span: Attempt) -> bool {
        self.spans.release(span)
    }

    /// Records that the engine has freed a span.
    pub fn confirm_span_freed(&mut self, span: Attempt) {
        if self.spans.confirm_freed(span) {
            self.memory.release(span);
        }
        self.check_memory_accounting();
    }

    /// Cancels an attempt if it has not started.
    ///
    /// If another attempt is bound to `key`, that attempt may run, so that the result is
    /// [`CancelOutcome::Started`].
    pub fn cancel_unstarted(&mut self, attempt: Attempt, key: Option<&Key>, now: Moment) -> CancelOutcome {
        let binding = key.and_then(|key| self.keys.get(key));
        if binding.is_some_and(|(bound_attempt, _)| *bound_attempt != attempt) {
            return CancelOutcome::Started;
        }
        if self.running.contains_key(&attempt) || self.finished.contains(attempt) {
            return CancelOutcome::Started;
        }
        self.queue.remove(attempt);
        self.cancelled.insert(attempt, now);
        CancelOutcome::NotRun
    }

    /// Starts draining: refuses all new work.
    pub fn start_drain(&mut self) {
        self.is_draining = true;
    }

    /// Stops draining: accepts new work again.
    pub fn cancel_drain(&mut self) {
        self.is_draining = false;
    }

    /// Sets whether the endpoint fails its health checks; while it does, new work is refused.
    pub fn set_unhealthy(&mut self, is_unhealthy: bool) {
        self.is_unhealthy = is_unhealthy;
    }

    /// Returns whether the endpoint is draining.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Returns whether no job runs or waits and no span is held.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty() && self.spans.is_empty()
    }

    /// Returns the number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of running jobs.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the memory in use, in tokens.
    pub fn memory_held(&self) -> u64 {
        self.memory.held()
    }

    /// Returns whether `name` is a running attempt or a held span.
    pub fn owns(&self, name: Attempt) -> bool {
        self.running.contains_key(&name) || self.spans.is_held(name)
    }

    /// Returns whether `attempt` is running.
    pub fn is_running(&self, attempt: Attempt) -> bool {
        self.running.contains_key(&attempt)
    }
}

fn active_tokens(run: &RunningJob) -> u64 {
    let prefill = if run.first_token_at.is_none() { run.job.prefill_tokens } else { 0 };
    prefill + run.job.output_tokens
}
