//! The kernel thread of a sidecar: owns the scheduler and decides everything.

use std::collections::HashMap;
use std::time::Duration;

use coord::claim::Key;
use coord::estimate::Estimate;
use coord::name::{Attempt, Name};
use coord::prefix::{Cache, Chain};
use coord::queue::Job;
use coord::scheduler::{Action, Level, Once, Refusal, Refused, Scheduler, Voided};
use coord::time::{Moment, micros};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use super::transcript::Transcript;
use crate::config::{Kind, Sidecar};
use crate::plugin::{self, OrderPlugin};
use crate::wire::{Ask, Held, Hold, Open, Quoted};
use crate::{event, metric, ring, util, warn_event};

/// Longest the kernel sleeps while jobs wait or run.
const TICK: Duration = Duration::from_millis(5);
/// Longest it sleeps otherwise.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// What the kernel tells the task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Hand it to the endpoint.
    Start(Level),
    /// Its time ran out before it started; it never will.
    Expired,
    /// It is better off elsewhere; it never starts here.
    Evicted,
    /// It was voided before it started; it never will.
    Voided,
    /// Stop it: its time ran out or its endpoint is dead.
    Cancel,
}

/// What became of an offer.
pub enum Answer {
    /// Accepted: signals follow.
    Accepted(mpsc::UnboundedReceiver<Signal>),
    /// Refused: it did not run and will not.
    Refused(Refused),
    /// The key ran or runs here: this is what it says.
    Seen(Transcript),
}

/// Commands to the kernel.
pub enum Command {
    /// What would this prompt have to expect?
    Quote(Ask, oneshot::Sender<Quoted>),
    /// Take this work.
    Offer {
        /// The work.
        open: Box<Open>,
        /// Where its answer goes if it runs once.
        transcript: Option<Transcript>,
        /// Tells what became of it.
        reply: oneshot::Sender<Answer>,
    },
    /// The endpoint gave the first token.
    FirstToken(Attempt),
    /// The attempt is over after so many output tokens.
    Finish {
        /// The attempt.
        attempt: Attempt,
        /// Output tokens given.
        output_tokens: u64,
        /// Proven not to have run: its key may be tried again.
        not_run: bool,
    },
    /// The entry went away or gave up.
    Void {
        /// The attempt.
        attempt: Attempt,
        /// Its key, if it may run once.
        once: Option<Key>,
        /// Tells what became of it.
        reply: Option<oneshot::Sender<Voided>>,
    },
    /// Hold a span's memory, or renew its lease.
    Hold(Hold, oneshot::Sender<Held>),
    /// A span is being prefilled, or no longer; tells whether it is held.
    Fill(Attempt, bool, oneshot::Sender<bool>),
    /// Give a span up, and have the engine free it.
    GiveUp(Attempt),
    /// Does anything of this run own what the engine holds under this name?
    Owns(Attempt, oneshot::Sender<bool>),
    /// The engine has freed a span.
    Freed(Attempt),
    /// Refuse new work and say when nothing runs.
    Leave {
        /// Told once idle.
        idle: oneshot::Sender<()>,
    },
    /// An operator's drain is in force, or is not.
    Drain(bool),
    /// The endpoint answers, or does not.
    Health(bool),
    /// What is going on?
    Status(oneshot::Sender<Status>),
}

/// What `/status` shows.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The endpoint.
    pub endpoint: Name,
    /// The service it belongs to.
    pub service: Name,
    /// This process's run.
    pub incarnation: String,
    /// Whether new work is refused.
    pub leaving: bool,
    /// Jobs waiting.
    pub waiting: usize,
    /// Jobs running.
    pub running: usize,
    /// Tokens of KV memory held by running jobs.
    pub memory_held_tokens: u64,
    /// Invariants breached in this process.
    pub breaches: u64,
}

struct Kernel {
    settings: Sidecar,
    scheduler: Scheduler,
    cache: Cache,
    signals: HashMap<Attempt, mpsc::UnboundedSender<Signal>>,
    chains: HashMap<Attempt, Chain>,
    once: HashMap<Key, Transcript>,
    once_attempts: HashMap<Attempt, Key>,
    leaving: Vec<oneshot::Sender<()>>,
    /// Spans that the `control` thread has to free on the engine.
    lapsed: mpsc::UnboundedSender<Attempt>,
    stopping: bool,
}

/// Runs the kernel until all senders are gone or the sidecar has closed.
pub async fn run(settings: Sidecar, mut commands: ring::Receiver<Command>, lapsed: mpsc::UnboundedSender<Attempt>) {
    let mut kernel = Kernel::new(settings, lapsed);
    loop {
        let tick = if kernel.scheduler.is_idle() { IDLE_TICK } else { TICK };
        match tokio::time::timeout(tick, commands.recv()).await {
            Ok(Some(command)) => kernel.handle(command),
            Ok(None) => return,
            Err(_) if kernel.scheduler.is_idle() => kernel.prune(),
            Err(_) => {}
        }
        kernel.advance();
        if kernel.stopping && kernel.leaving.is_empty() {
            // Answer what is still asked while the threads end.
            while let Some(command) = commands.recv().await {
                kernel.handle(command);
            }
            return;
        }
    }
}

impl Kernel {
    fn new(settings: Sidecar, lapsed: mpsc::UnboundedSender<Attempt>) -> Self {
        let order = plugin::find::<OrderPlugin>(settings.order, |plugin| plugin.name);
        let order =
            order.map_or_else(|| Box::new(coord::queue::Fifo) as Box<_>, |plugin| (plugin.make)(settings.weights));
        let estimate = Estimate::new(settings.prefill_rate, settings.gap);
        Self {
            scheduler: Scheduler::new(settings.limits.clone(), estimate, order),
            cache: Cache::new(settings.cache_blocks),
            signals: HashMap::new(),
            chains: HashMap::new(),
            once: HashMap::new(),
            once_attempts: HashMap::new(),
            leaving: Vec::new(),
            lapsed,
            stopping: false,
            settings,
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Quote(ask, reply) => drop(reply.send(self.quote(&ask))),
            Command::Offer { open, transcript, reply } => drop(reply.send(self.offer(*open, transcript))),
            Command::FirstToken(attempt) => self.first_token(attempt),
            Command::Finish { attempt, output_tokens, not_run } => self.finish(attempt, output_tokens, not_run),
            Command::Void { attempt, once, reply } => self.void(attempt, once.as_ref(), reply),
            Command::Hold(hold, reply) => drop(reply.send(self.hold(hold))),
            Command::Fill(span, filling, reply) => drop(reply.send(self.scheduler.fill(span, filling, util::now()))),
            Command::GiveUp(span) => self.give_up(span),
            Command::Owns(name, reply) => drop(reply.send(self.scheduler.owns(name))),
            Command::Freed(span) => self.freed(span),
            Command::Leave { idle } => self.leave(idle),
            Command::Drain(drained) => self.drain(drained),
            Command::Health(healthy) => self.health(healthy),
            Command::Status(reply) => drop(reply.send(self.status())),
        }
    }

    fn job(&self, attempt: Attempt, ask: &Ask, now: Moment) -> Job {
        let cached = Chain::bytes(self.cache.shared(&ask.chain)) as f64 / ask.bytes_per_token;
        let prefill_tokens = ask.prompt_tokens.saturating_sub(cached as u64);
        let cost = match self.settings.kind {
            Kind::Engine => self.scheduler.cost(prefill_tokens),
            Kind::Plain => Duration::ZERO,
        };
        Job {
            attempt,
            workspace: ask.workspace.clone(),
            weight: ask.weight,
            prefill_tokens,
            memory_tokens: ask.prompt_tokens + ask.output_tokens,
            output_tokens: ask.output_tokens,
            priority: ask.priority,
            arrived: now,
            deadline: now + Duration::from_micros(ask.left_micros),
            cost,
        }
    }

    fn quote(&self, ask: &Ask) -> Quoted {
        let now = util::now();
        // The number of no attempt: a quote leaves no trace.
        let job = self.job(Attempt(0), ask, now);
        Quoted {
            incarnation: util::incarnation(),
            leaving: self.scheduler.is_leaving(),
            quote: self.scheduler.quote(&job, now),
        }
    }

    fn offer(&mut self, open: Open, transcript: Option<Transcript>) -> Answer {
        let now = util::now();
        let attempt = open.attempt;
        if let (Some(key), Some(transcript)) = (&open.once, transcript) {
            match self.scheduler.once(key, attempt, now) {
                Once::First => {
                    self.once.insert(key.clone(), transcript);
                    self.once_attempts.insert(attempt, key.clone());
                }
                Once::Running(_) | Once::Done(_) => return self.seen(key, transcript),
            }
        }
        let job = self.job(attempt, &open.ask, now);
        if let Err(refused) = self.scheduler.offer(job, now) {
            self.unbind(attempt);
            event!("refuse", request = %open.request, attempt = %attempt, peer = %open.entry, reason = ?refused.reason);
            return Answer::Refused(refused);
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        self.signals.insert(attempt, sender);
        self.chains.insert(attempt, open.ask.chain);
        event!("accept", request = %open.request, attempt = %attempt, peer = %open.entry, waiting = self.scheduler.waiting());
        Answer::Accepted(receiver)
    }

    /// What the key's first attempt said, or that its outcome was too old to keep.
    fn seen(&self, key: &Key, fresh: Transcript) -> Answer {
        Answer::Seen(self.once.get(key).cloned().unwrap_or(fresh))
    }

    /// The attempt is proven not to have run: its key may be tried again.
    fn unbind(&mut self, attempt: Attempt) {
        if let Some(key) = self.once_attempts.remove(&attempt) {
            self.scheduler.once_not_run(&key, attempt);
            self.once.remove(&key);
        }
    }

    fn first_token(&mut self, attempt: Attempt) {
        self.scheduler.first_token(attempt, util::now());
        if let Some(chain) = self.chains.remove(&attempt) {
            self.cache.insert(&chain);
        }
    }

    fn finish(&mut self, attempt: Attempt, output_tokens: u64, not_run: bool) {
        self.scheduler.finish(attempt, output_tokens, util::now());
        self.forget(attempt);
        if not_run {
            self.unbind(attempt);
        }
        if let Some(key) = self.once_attempts.remove(&attempt) {
            self.scheduler.once_done(&key, attempt);
        }
    }

    fn forget(&mut self, attempt: Attempt) {
        self.signals.remove(&attempt);
        self.chains.remove(&attempt);
    }

    fn void(&mut self, attempt: Attempt, once: Option<&Key>, reply: Option<oneshot::Sender<Voided>>) {
        let voided = self.scheduler.void(attempt, once, util::now());
        match voided {
            Voided::NotRun => {
                self.signal(attempt, Signal::Voided);
                self.forget(attempt);
                self.unbind(attempt);
            }
            // A call that may run once goes on to its end, so that its outcome is known.
            Voided::Started if !self.once_attempts.contains_key(&attempt) => self.signal(attempt, Signal::Cancel),
            Voided::Started => {}
        }
        event!("void", attempt = %attempt, voided = ?voided);
        if let Some(reply) = reply {
            let _ = reply.send(voided);
        }
    }

    fn signal(&self, attempt: Attempt, signal: Signal) {
        if let Some(sender) = self.signals.get(&attempt) {
            let _ = sender.send(signal);
        }
    }

    fn hold(&mut self, hold: Hold) -> Held {
        let now = util::now();
        let until = now + Duration::from_micros(hold.lease_micros);
        if hold.renew {
            return if self.scheduler.renew(hold.span, until) { Held::Yes } else { Held::No };
        }
        match self.scheduler.reserve(hold.span, hold.tokens, until, now) {
            Ok(()) => {
                event!("hold-span", span = %hold.span, tokens = hold.tokens);
                Held::Yes
            }
            Err(refused) if refused.reason == Refusal::QueueFull => Held::Wait(micros(refused.retry_after)),
            Err(_) => Held::No,
        }
    }

    /// The `control` thread frees it on the engine: whoever asked may be gone by now.
    fn give_up(&mut self, span: Attempt) {
        if self.scheduler.give_up(span) {
            let _ = self.lapsed.send(span);
        }
    }

    fn freed(&mut self, span: Attempt) {
        event!("free-span", span = %span);
        self.scheduler.freed(span);
    }

    fn leave(&mut self, idle: oneshot::Sender<()>) {
        event!("leave", waiting = self.scheduler.waiting(), running = self.scheduler.running());
        self.stopping = true;
        self.scheduler.leave();
        self.leaving.push(idle);
    }

    fn drain(&mut self, drained: bool) {
        if self.stopping || drained == self.scheduler.is_leaving() {
            return;
        }
        event!("drain", drained, running = self.scheduler.running());
        if drained { self.scheduler.leave() } else { self.scheduler.stay() }
    }

    fn health(&mut self, healthy: bool) {
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
            if !self.once_attempts.contains_key(&attempt) {
                self.signal(attempt, Signal::Cancel);
            }
        }
    }

    /// Drops transcripts of keys whose window is over.
    fn prune(&mut self) {
        let scheduler = &self.scheduler;
        self.once.retain(|key, _| scheduler.knows(key));
    }

    fn advance(&mut self) {
        for action in self.scheduler.advance(util::now()) {
            match action {
                Action::Start(attempt, level) => self.start(attempt, level),
                Action::Expire(attempt) => {
                    event!("expire", attempt = %attempt);
                    self.signal(attempt, Signal::Expired);
                    self.forget(attempt);
                    self.unbind(attempt);
                }
                Action::Cancel(attempt) => self.signal(attempt, Signal::Cancel),
                Action::Evict(attempt) => {
                    event!("evict", attempt = %attempt);
                    self.signal(attempt, Signal::Evicted);
                    self.forget(attempt);
                    self.unbind(attempt);
                }
                Action::FreeSpan(span) => {
                    event!("lapse-span", span = %span);
                    let _ = self.lapsed.send(span);
                }
            }
        }
        metric::scheduler(self.scheduler.waiting(), self.scheduler.running(), self.scheduler.memory_held());
        if self.scheduler.is_idle() {
            for idle in self.leaving.drain(..) {
                let _ = idle.send(());
            }
        }
    }

    fn start(&mut self, attempt: Attempt, level: Level) {
        let told = self.signals.get(&attempt).is_some_and(|sender| sender.send(Signal::Start(level)).is_ok());
        if !told {
            // Its task is gone; nothing was sent to the endpoint.
            self.scheduler.finish(attempt, 0, util::now());
            self.forget(attempt);
            self.unbind(attempt);
        }
    }

    fn status(&self) -> Status {
        Status {
            endpoint: self.settings.endpoint.clone(),
            service: self.settings.service.clone(),
            incarnation: util::incarnation().to_string(),
            leaving: self.scheduler.is_leaving(),
            waiting: self.scheduler.waiting(),
            running: self.scheduler.running(),
            memory_held_tokens: self.scheduler.memory_held(),
            breaches: coord::invariant::breaches(),
        }
    }
}
