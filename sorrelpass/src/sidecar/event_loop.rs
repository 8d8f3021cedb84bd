//! The event loop of a sidecar: it owns the scheduler and makes all decisions.

use std::collections::HashMap;
use std::time::Duration;

use coord::claim::Key;
use coord::estimate::Estimate;
use coord::name::{Attempt, Name};
use coord::prefix::{Cache, Chain};
use coord::queue::Job;
use coord::retained::Retained;
use coord::scheduler::{Action, CancelOutcome, KeyState, PrefillPriority, Refusal, RefusalReason, Scheduler};
use coord::time::{Moment, micros};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use super::transcript::Transcript;
use crate::config::{EndpointKind, Sidecar};
use crate::plugin::{self, OrderPlugin};
use crate::wire::{HoldRequest, HoldResponse, QuoteRequest, QuoteResponse, WorkRequest};
use crate::{channel, event, metric, util, warn_event};

/// Interval at which the scheduler advances while jobs wait or run.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which the scheduler advances while it is idle.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Signals from the event loop to the task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// The job starts, at the given priority level.
    Start(PrefillPriority),
    /// The deadline passed before the job started; it never starts.
    Expired,
    /// The scheduler removed the job from its queue, as it could not start here for a long time; it never starts.
    Evicted,
    /// The job was cancelled before it started; it never starts.
    CancelledBeforeStart,
    /// The running job is stopped: its deadline has passed, its endpoint is unhealthy, or its entry has cancelled it.
    Cancel,
}

/// Outcome of an offered job.
pub enum OfferOutcome {
    /// The job is accepted; the receiver gets its signals.
    Accepted(mpsc::UnboundedReceiver<Signal>),
    /// The job is refused: it did not run and will not.
    Refused(Refusal),
    /// A job with the same key ran or runs here; the transcript is its answer.
    Duplicate(Transcript),
}

/// Commands to the event loop.
pub enum Command {
    /// Returns a quote for a prompt or call.
    Quote(QuoteRequest, oneshot::Sender<QuoteResponse>),
    /// Offers a job.
    Offer {
        /// Header of the work request.
        work: Box<WorkRequest>,
        /// Transcript for the answer of a call that may run at most once.
        transcript: Option<Transcript>,
        /// Receives the outcome.
        reply: oneshot::Sender<OfferOutcome>,
    },
    /// Records that the endpoint generated the first token of an attempt.
    FirstToken(Attempt),
    /// Records the end of an attempt.
    Finish {
        /// Id of the attempt.
        attempt: Attempt,
        /// Number of output tokens generated.
        output_tokens: u64,
        /// Whether the attempt is proven not to have run; its key may then be used again.
        has_not_run: bool,
    },
    /// Cancels an attempt, because the entry has disconnected or given it up. A running attempt with an
    /// idempotency key goes on.
    CancelAttempt {
        /// Id of the attempt.
        attempt: Attempt,
        /// Idempotency key of the attempt, if it has one.
        idempotency_key: Option<Key>,
        /// Receives whether the attempt had started; one that had not never will.
        reply: Option<oneshot::Sender<CancelOutcome>>,
    },
    /// Reserves memory for a span, or renews the span's lease.
    ReserveSpan(HoldRequest, oneshot::Sender<HoldResponse>),
    /// Marks the start (`true`) or end (`false`) of a span's prefill; replies whether the span is held.
    Prefill(Attempt, bool, oneshot::Sender<bool>),
    /// Releases a span and has the engine free it.
    ReleaseSpan(Attempt),
    /// Returns whether a job or span of this incarnation has the given id at the engine.
    IsOwned(Attempt, oneshot::Sender<bool>),
    /// Records that the engine has freed a span.
    SpanFreed(Attempt),
    /// Refuses new work from now on, and reports when the sidecar is idle.
    Shutdown {
        /// Notified when no job waits or runs and no span is held.
        idle: oneshot::Sender<()>,
    },
    /// Sets whether an operator has drained the endpoint.
    SetDrained(bool),
    /// Sets whether the endpoint is healthy.
    SetHealthy(bool),
    /// Returns the state shown by `/status`.
    Status(oneshot::Sender<Status>),
}

/// Share of the process's memory for the recorded answers of complete calls that run at most once.
const TRANSCRIPT_MEMORY_SHARE: f64 = 0.25;

/// JSON body of `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Service that the endpoint belongs to.
    pub service: Name,
    /// Incarnation of the sidecar process.
    pub incarnation: String,
    /// Whether new work is refused.
    pub leaving: bool,
    /// Number of jobs in the queue.
    pub waiting: usize,
    /// Number of running jobs.
    pub running: usize,
    /// KV cache memory held by running jobs and spans, in tokens.
    pub memory_held_tokens: u64,
    /// Number of invariant violations in this process.
    pub breaches: u64,
}

struct EventLoop {
    settings: Sidecar,
    scheduler: Scheduler,
    cache: Cache,
    signals: HashMap<Attempt, mpsc::UnboundedSender<Signal>>,
    chains: HashMap<Attempt, Chain>,
    transcripts: HashMap<Key, Transcript>,
    /// Sizes of the complete transcripts.
    retained: Retained<Key>,
    key_by_attempt: HashMap<Attempt, Key>,
    idle_waiters: Vec<oneshot::Sender<()>>,
    /// Spans that the `control` thread has to free on the engine.
    expired_spans: mpsc::UnboundedSender<Attempt>,
    is_stopping: bool,
}

/// Runs the event loop until all command senders are dropped, or until shutdown is complete.
pub async fn run(
    settings: Sidecar,
    mut commands: channel::Receiver<Command>,
    expired_spans: mpsc::UnboundedSender<Attempt>,
) {
    let mut event_loop = EventLoop::new(settings, expired_spans);
    loop {
        let interval = if event_loop.scheduler.is_idle() { IDLE_INTERVAL } else { ACTIVE_INTERVAL };
        match tokio::time::timeout(interval, commands.recv()).await {
            Ok(Some(command)) => event_loop.handle_command(command),
            Ok(None) => return,
            Err(_) if event_loop.scheduler.is_idle() => event_loop.prune_transcripts(),
            Err(_) => {}
        }
        event_loop.advance();
        if event_loop.is_stopping && event_loop.idle_waiters.is_empty() {
            // Replies to the commands that arrive while the other threads end.
            while let Some(command) = commands.recv().await {
                event_loop.handle_command(command);
            }
            return;
        }
    }
}

impl EventLoop {
    fn new(settings: Sidecar, expired_spans: mpsc::UnboundedSender<Attempt>) -> Self {
        let order = plugin::find::<OrderPlugin>(settings.queue_order, |plugin| plugin.name);
        let order =
            order.map_or_else(|| Box::new(coord::queue::Fifo) as Box<_>, |plugin| (plugin.build)(settings.weights));
        let estimate = Estimate::new(settings.initial_prefill_rate, settings.initial_gap);
        Self {
            scheduler: Scheduler::new(settings.limits.clone(), estimate, order),
            cache: Cache::new(settings.cache_blocks),
            signals: HashMap::new(),
            chains: HashMap::new(),
            transcripts: HashMap::new(),
            retained: Retained::new((settings.memory_bytes as f64 * TRANSCRIPT_MEMORY_SHARE) as u64),
            key_by_attempt: HashMap::new(),
            idle_waiters: Vec::new(),
            expired_spans,
            is_stopping: false,
            settings,
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Quote(request, reply) => drop(reply.send(self.quote(&request))),
            Command::Offer { work, transcript, reply } => drop(reply.send(self.offer_job(*work, transcript))),
            Command::FirstToken(attempt) => self.record_first_token(attempt),
            Command::Finish { attempt, output_tokens, has_not_run } => {
                self.finish_attempt(attempt, output_tokens, has_not_run)
            }
            Command::CancelAttempt { attempt, idempotency_key, reply } => {
                self.cancel_attempt(attempt, idempotency_key.as_ref(), reply)
            }
            Command::ReserveSpan(request, reply) => drop(reply.send(self.reserve_span(request))),
            Command::Prefill(id, begun, reply) => drop(reply.send(self.scheduler.set_prefill(id, begun, util::now()))),
            Command::ReleaseSpan(span) => self.release_span(span),
            Command::IsOwned(name, reply) => drop(reply.send(self.scheduler.owns(name))),
            Command::SpanFreed(span) => self.record_span_freed(span),
            Command::Shutdown { idle } => self.start_shutdown(idle),
            Command::SetDrained(drained) => self.set_drained(drained),
            Command::SetHealthy(healthy) => self.set_healthy(healthy),
            Command::Status(reply) => drop(reply.send(self.status())),
        }
    }

    fn make_job(&self, attempt: Attempt, request: &QuoteRequest, now: Moment) -> Job {
        let cached = Chain::bytes(self.cache.matching_blocks(&request.chain)) as f64 / request.bytes_per_token;
        let prefill_tokens = request.prompt_tokens.saturating_sub(cached as u64);
        let cost = match self.settings.kind {
            EndpointKind::Engine => self.scheduler.cost(prefill_tokens),
            EndpointKind::Plain => Duration::ZERO,
        };
        Job {
            attempt,
            workspace: request.workspace.clone(),
            weight: request.weight,
            prefill_tokens,
            memory_tokens: request.prompt_tokens + request.output_tokens,
            output_tokens: request.output_tokens,
            priority: request.priority,
            arrived: now,
            deadline: now + Duration::from_micros(request.time_left_micros),
            cost,
        }
    }

    fn quote(&self, request: &QuoteRequest) -> QuoteResponse {
        let now = util::now();
        // Placeholder id: a quote is not recorded.
        let job = self.make_job(Attempt(0), request, now);
        QuoteResponse {
            incarnation: util::incarnation(),
            is_draining: self.scheduler.is_draining(),
            quote: self.scheduler.quote(&job, now),
        }
    }

    fn offer_job(&mut self, work: WorkRequest, transcript: Option<Transcript>) -> OfferOutcome {
        let now = util::now();
        let attempt = work.attempt;
        if let (Some(key), Some(transcript)) = (&work.idempotency_key, transcript) {
            match self.scheduler.claim_key(key, attempt, now) {
                KeyState::First => {
                    self.transcripts.insert(key.clone(), transcript);
                    self.key_by_attempt.insert(attempt, key.clone());
                }
                KeyState::Running(_) | KeyState::Done(_) => return self.make_duplicate(key, transcript),
            }
        }
        let job = self.make_job(attempt, &work.quote_request, now);
        if let Err(refused) = self.scheduler.offer(job, now) {
            self.unbind_key(attempt);
            event!("refuse", request = %work.request, attempt = %attempt, peer = %work.entry, reason = ?refused.reason);
            return OfferOutcome::Refused(refused);
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        self.signals.insert(attempt, sender);
        self.chains.insert(attempt, work.quote_request.chain);
        event!("accept", request = %work.request, attempt = %attempt, peer = %work.entry, waiting = self.scheduler.waiting());
        OfferOutcome::Accepted(receiver)
    }

    /// Returns the transcript of the key's first attempt, or the empty `fresh` one if the first is no longer kept.
    fn make_duplicate(&self, key: &Key, fresh: Transcript) -> OfferOutcome {
        OfferOutcome::Duplicate(self.transcripts.get(key).cloned().unwrap_or(fresh))
    }

    /// Makes a key available again, as its attempt is proven not to have run.
    fn unbind_key(&mut self, attempt: Attempt) {
        if let Some(key) = self.key_by_attempt.remove(&attempt) {
            self.scheduler.release_key(&key, attempt);
            self.transcripts.remove(&key);
        }
    }

    fn record_first_token(&mut self, attempt: Attempt) {
        self.scheduler.first_token(attempt, util::now());
        if let Some(chain) = self.chains.remove(&attempt) {
            self.cache.insert(&chain);
        }
    }

    fn finish_attempt(&mut self, attempt: Attempt, output_tokens: u64, has_not_run: bool) {
        self.scheduler.finish(attempt, output_tokens, util::now());
        self.remove_attempt(attempt);
        if has_not_run {
            self.unbind_key(attempt);
        }
        if let Some(key) = self.key_by_attempt.remove(&attempt) {
            self.scheduler.complete_key(&key, attempt);
            self.retain_transcript(key);
        }
    }

    /// Keeps the transcript of a complete call, for which older ones may have to be dropped. Their keys stay bound, so
    /// that the calls do not run again.
    fn retain_transcript(&mut self, key: Key) {
        let bytes = self.transcripts.get(&key).map_or(0, Transcript::bytes);
        for dropped in self.retained.add(key, bytes) {
            event!("drop-answer", workspace = %dropped.workspace, kept_bytes = self.retained.total_bytes());
            self.transcripts.insert(dropped, Transcript::dropped());
        }
    }

    fn remove_attempt(&mut self, attempt: Attempt) {
        self.signals.remove(&attempt);
        self.chains.remove(&attempt);
    }

    fn cancel_attempt(
        &mut self,
        attempt: Attempt,
        idempotency_key: Option<&Key>,
        reply: Option<oneshot::Sender<CancelOutcome>>,
    ) {
        let outcome = self.scheduler.cancel_unstarted(attempt, idempotency_key, util::now());
        match outcome {
            CancelOutcome::NotRun => {
                self.send_signal(attempt, Signal::CancelledBeforeStart);
                self.remove_attempt(attempt);
                self.unbind_key(attempt);
            }
            // A call that may run at most once is not cancelled, so that its outcome becomes known.
            CancelOutcome::Started if !self.key_by_attempt.contains_key(&attempt) => {
                self.send_signal(attempt, Signal::Cancel)
            }
            CancelOutcome::Started => {}
        }
        event!("void", attempt = %attempt, voided = ?outcome);
        if let Some(reply) = reply {
            let _ = reply.send(outcome);
        }
    }

    fn send_signal(&self, attempt: Attempt, signal: Signal) {
        if let Some(sender) = self.signals.get(&attempt) {
            let _ = sender.send(signal);
        }
    }

    fn reserve_span(&mut self, request: HoldRequest) -> HoldResponse {
        let now = util::now();
        let lease_end = now + Duration::from_micros(request.lease_micros);
        if request.renew {
            return if self.scheduler.renew_span(request.span, lease_end) {
                HoldResponse::Held
            } else {
                HoldResponse::Refused
            };
        }
        match self.scheduler.reserve_span(request.span, request.tokens, lease_end, now) {
            Ok(()) => {
                event!("reserve-span", span = %request.span, tokens = request.tokens);
                HoldResponse::Held
            }
            Err(refused) if refused.reason == RefusalReason::QueueFull => {
                HoldResponse::RetryAfter(micros(refused.retry_after))
            }
            Err(_) => HoldResponse::Refused,
        }
    }

    /// Releases a span. The `control` thread frees it on the engine, since the entry that requested the
    /// release may be gone by then.
    fn release_span(&mut self, span: Attempt) {
        if self.scheduler.release_span(span) {
            let _ = self.expired_spans.send(span);
        }
    }

    fn record_span_freed(&mut self, span: Attempt) {
        event!("free-span", span = %span);
        self.scheduler.confirm_span_freed(span);
    }

    fn start_shutdown(&mut self, idle: oneshot::Sender<()>) {
        event!("shutdown", waiting = self.scheduler.waiting(), running = self.scheduler.running());
        self.is_stopping = true;
        self.scheduler.start_drain();
        self.idle_waiters.push(idle);
    }

    fn set_drained(&mut self, drained: bool) {
        if self.is_stopping || drained == self.scheduler.is_draining() {
            return;
        }
        event!("drain", drained, running = self.scheduler.running());
        if drained { self.scheduler.start_drain() } else { self.scheduler.cancel_drain() }
    }

    fn set_healthy(&mut self, healthy: bool) {
        self.scheduler.set_unhealthy(!healthy);
        if healthy {
            event!("endpoint-up", endpoint = %self.settings.endpoint);
            return;
        }
        warn_event!("endpoint-down", endpoint = %self.settings.endpoint, running = self.scheduler.running());
        self.cache.clear();
        let running: Vec<Attempt> =
            self.signals.keys().copied().filter(|attempt| self.scheduler.is_running(*attempt)).collect();
        for attempt in running {
            if !self.key_by_attempt.contains_key(&attempt) {
                self.send_signal(attempt, Signal::Cancel);
            }
        }
    }

    /// Drops the transcripts of keys that are past the idempotency window.
    fn prune_transcripts(&mut self) {
        let scheduler = &self.scheduler;
        self.transcripts.retain(|key, _| scheduler.has_key(key));
        self.retained.retain(|key| scheduler.has_key(key));
    }

    fn advance(&mut self) {
        for action in self.scheduler.advance(util::now()) {
            match action {
                Action::Start(attempt, level) => self.start_job(attempt, level),
                Action::Expire(attempt) => {
                    event!("expire", attempt = %attempt);
                    self.send_signal(attempt, Signal::Expired);
                    self.remove_attempt(attempt);
                    self.unbind_key(attempt);
                }
                Action::Cancel(attempt) => self.send_signal(attempt, Signal::Cancel),
                Action::Evict(attempt) => {
                    event!("evict", attempt = %attempt);
                    self.send_signal(attempt, Signal::Evicted);
                    self.remove_attempt(attempt);
                    self.unbind_key(attempt);
                }
                Action::FreeSpan(span) => {
                    event!("expire-span", span = %span);
                    let _ = self.expired_spans.send(span);
                }
            }
        }
        metric::set_scheduler_load(self.scheduler.waiting(), self.scheduler.running(), self.scheduler.memory_held());
        if self.scheduler.is_idle() {
            for idle in self.idle_waiters.drain(..) {
                let _ = idle.send(());
            }
        }
    }

    fn start_job(&mut self, attempt: Attempt, level: PrefillPriority) {
        let is_notified = self.signals.get(&attempt).is_some_and(|sender| sender.send(Signal::Start(level)).is_ok());
        if !is_notified {
            // The job's task has ended, so nothing was sent to the endpoint.
            self.scheduler.finish(attempt, 0, util::now());
            self.remove_attempt(attempt);
            self.unbind_key(attempt);
        }
    }

    fn status(&self) -> Status {
        Status {
            endpoint: self.settings.endpoint.clone(),
            service: self.settings.service.clone(),
            incarnation: util::incarnation().to_string(),
            leaving: self.scheduler.is_draining(),
            waiting: self.scheduler.waiting(),
            running: self.scheduler.running(),
            memory_held_tokens: self.scheduler.memory_held(),
            breaches: coord::invariant::breaches(),
        }
    }
}
