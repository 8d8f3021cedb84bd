//! Execution of one request: quotes, attempts, retries, resumption and the deadline.

mod ending;
mod ganged;

use std::time::Duration;

use axum::http::StatusCode;
use bytes::Bytes;
use coord::claim::{Binding, Key};
use coord::name::{Incarnation, Name, Ran};
use coord::prefix::Chain;
use coord::scheduler::Refusal;
use coord::time::{Moment, micros};
use tokio::sync::mpsc;

use self::ending::{CALLER, LOST, PLAIN_RETRY, UNKNOWN, lost, outcome_unknown, rejected, stopping};
use super::App;
use super::budget::Share;
use super::claims;
use super::gang;
use super::kernel::{Admitted, Command, Search, Target};
use super::upstream::{self, Broken, Part, Upstream};
use crate::failure::Failure;
use crate::wire::{Ask, Call, Filled, Open, Refused, Usage};
use crate::{event, metric, util};

/// Maximum number of candidate selections per request.
const MOST_ROUNDS: u32 = 4;
/// Maximum number of attempts per request.
const MOST_ATTEMPTS: u32 = 6;
/// Delay between attempts at the sidecar that a key is bound to.
const BOUND_PAUSE: Duration = Duration::from_millis(50);
/// Clock skew between an entry and a sidecar: with less time left than this, a lost attempt counts as past
/// its deadline.
const CLOCK_SLACK: Duration = Duration::from_millis(20);

/// How often a request may run, and what ensures it.
#[derive(Clone, Debug)]
pub enum Once {
    /// The request may run any number of times.
    Repeatable,
    /// At most once, under a generated key that is bound to the first sidecar that accepts it.
    Own,
    /// At most once, under the caller's idempotency key, which is claimed on the log.
    Claimed(Key),
    /// At most once, under a ticket that names the sidecar incarnation.
    Ticket(Key, Binding),
}

/// An admitted request to be run.
pub struct Request {
    /// Request id.
    pub id: Name,
    /// Result of admission.
    pub admitted: Admitted,
    /// HTTP call to make at the endpoint.
    pub call: Call,
    /// Request body, in pieces.
    pub body: Vec<Bytes>,
    /// The prompt in the form that a gang of engines needs; `None` for a plain call.
    pub long: Option<Long>,
    /// Hash chain over the prompt's prefixes.
    pub chain: Chain,
    /// Maximum number of output tokens.
    pub output_tokens: u64,
    /// How often the request may run.
    pub once: Once,
    /// Time by which the answer must be complete.
    pub deadline: Moment,
    /// Receives the parts of the answer.
    pub parts: mpsc::Sender<Result<Part, Failure>>,
    /// Memory reservation of the body, released together with the request.
    pub _budget: Share,
}

/// A prompt that can be divided among a gang of engines.
#[derive(Clone)]
pub struct Long {
    /// Prompt text, as raw JSON.
    pub text: Bytes,
    /// Request body with an empty prompt text.
    pub shell: Vec<Bytes>,
}

/// How a request continues after an attempt.
enum Next {
    /// The request is finished: the caller has the complete answer.
    Over,
    /// The request may be tried on another endpoint.
    Again,
    /// The request fails.
    Fail(Failure),
}

struct Route<'a> {
    app: &'a App,
    request: Request,
    tried: Vec<Name>,
    attempts: u32,
    /// Number of output tokens that were sent to the caller.
    passed_tokens: u64,
    /// Whether any part of the answer was sent to the caller.
    begun: bool,
    retry_after: Option<Duration>,
    reason: Option<Refused>,
    /// Largest engine memory reported in a quote, in tokens.
    capacity: u64,
    /// Digest and token count of the prompt's spans, once a gang has prefilled them.
    spans: Option<Filled>,
    started: Moment,
}

/// Runs a request. The last item sent to the caller is the end of the answer or a failure.
pub async fn run(app: App, request: Request) {
    let id = request.id.clone();
    let parts = request.parts.clone();
    let mut route = Route {
        app: &app,
        request,
        tried: Vec::new(),
        attempts: 0,
        passed_tokens: 0,
        begun: false,
        retry_after: None,
        reason: None,
        capacity: 0,
        spans: None,
        started: util::now(),
    };
    let outcome = tokio::select! {
        outcome = route.run() => outcome,
        () = parts.closed() => {
            event!("caller-gone", request = %id);
            metric::request("caller_gone");
            return;
        }
    };
    match outcome {
        Ok(()) => {
            event!("done", request = %id, tokens = route.passed_tokens);
            metric::request("ok");
        }
        Err(failure) => {
            event!("give-up", request = %id, code = failure.code, ran = failure.ran.as_str(), reason = %failure.message);
            metric::request(failure.code);
            let _ = parts.send(Err(failure)).await;
        }
    }
}

impl Route<'_> {
    async fn run(&mut self) -> Result<(), Failure> {
        match self.request.once.clone() {
            Once::Repeatable => self.anywhere(None).await,
            Once::Own => {
                // The request id cannot serve as key: callers may choose it, and reuse it for another call.
                let own = Name::from(util::attempt().to_string());
                let key = Key { workspace: self.request.admitted.workspace.name.clone(), key: own };
                self.anywhere(Some(key)).await
            }
            Once::Claimed(key) => {
                // Nothing has been sent yet, but an earlier call under the same key may have run.
                let Ok(claimed) = tokio::time::timeout(self.left(), self.claim(&key)).await else {
                    return Err(self.timed_out(Ran::Unknown));
                };
                let binding = claimed?;
                self.bound(key, binding).await
            }
            Once::Ticket(key, binding) => self.bound(key, binding).await,
        }
    }

    /// Returns the time left for attempts, which excludes the reserve for voiding.
    fn left(&self) -> Duration {
        upstream::left(self.request.deadline).saturating_sub(self.reserve())
    }

    fn reserve(&self) -> Duration {
        let whole = self.request.deadline.since(self.started);
        self.app.shared.settings.void_reserve.min(whole / 10)
    }

    fn ask(&self) -> Ask {
        let admitted = &self.request.admitted;
        Ask {
            workspace: admitted.workspace.name.clone(),
            weight: admitted.workspace.weight,
            prompt_tokens: if self.spans.is_some() { 0 } else { admitted.prompt_tokens } + self.passed_tokens,
            output_tokens: self.request.output_tokens.saturating_sub(self.passed_tokens),
            priority: admitted.priority,
            left_micros: micros(self.left()),
            bytes_per_token: admitted.bytes_per_token,
            chain: self.request.chain.clone(),
        }
    }

    /// Selects new candidates, best first. The incarnation is `None` for candidates that were not asked for
    /// a quote.
    async fn search(&mut self, must_ask: bool) -> Result<Vec<(Target, Option<Incarnation>)>, Failure> {
        let admitted = &self.request.admitted;
        let search = Search {
            service: admitted.service.clone(),
            domains: admitted.domains.clone(),
            hash: self.request.chain.head(),
            exclude: self.tried.clone(),
        };
        let found = self.app.shared.ask(|reply| Command::Find(search, reply)).await.map_err(stopping)?;
        if !found.asks && !must_ask {
            return Ok(found.targets.into_iter().map(|target| (target, None)).collect());
        }
        let names: Vec<Name> = found.targets.iter().map(|target| target.endpoint.clone()).collect();
        let asked = upstream::quotes(self.app, found.targets, &self.ask()).await;
        self.tried.extend(names.into_iter().filter(|name| !asked.iter().any(|asked| asked.target.endpoint == *name)));
        let mut open = Vec::new();
        for asked in asked {
            self.capacity = self.capacity.max(asked.offer.quote.capacity_tokens);
            if asked.offer.quote.open {
                open.push((asked.target, Some(asked.incarnation)));
                continue;
            }
            self.tried.push(asked.target.endpoint);
            self.note_retry_after(asked.offer.quote.retry_after);
        }
        Ok(open)
    }

    fn note_retry_after(&mut self, wait: Duration) {
        if wait > Duration::ZERO {
            self.retry_after = Some(self.retry_after.map_or(wait, |earlier| earlier.min(wait)));
        }
    }

    /// Tries endpoints until one gives a complete answer.
    async fn anywhere(&mut self, once: Option<Key>) -> Result<(), Failure> {
        for _ in 0..MOST_ROUNDS {
            let targets = self.search(once.is_some()).await?;
            if self.exceeds_one_engine() {
                return self.ganged().await;
            }
            for (target, incarnation) in targets {
                if self.left().is_zero() {
                    return Err(self.timed_out(Ran::No));
                }
                self.tried.push(target.endpoint.clone());
                // A call that may run at most once is retried only at the sidecar that may have accepted
                // it.
                let next = match (&once, incarnation) {
                    (Some(key), Some(incarnation)) => {
                        let binding = Binding { endpoint: target.endpoint.clone(), incarnation };
                        self.bound_once(key, &target, &binding).await
                    }
                    _ => self.attempt(&target, incarnation, None, false).await,
                };
                match next {
                    Next::Over => return Ok(()),
                    Next::Again => {}
                    Next::Fail(failure) => return Err(failure),
                }
                if self.attempts >= MOST_ATTEMPTS {
                    return Err(self.exhausted());
                }
            }
            if self.retry_after.is_some() && self.attempts == 0 {
                break;
            }
        }
        Err(self.exhausted())
    }

    fn exhausted(&self) -> Failure {
        if self.begun {
            return Failure::busy(
                "answer_broken_off",
                "the answer broke off and could not go on elsewhere",
                PLAIN_RETRY,
            )
            .ran(Ran::Partial);
        }
        let wait = self.retry_after.unwrap_or(PLAIN_RETRY);
        if self.reason == Some(Refused::Scheduler(Refusal::TooLarge)) {
            return Failure::busy("no_memory", "no endpoint has the memory that this prompt needs", wait);
        }
        Failure::busy("overloaded", "no endpoint can finish this in its time now", wait)
    }

    fn timed_out(&self, ran: Ran) -> Failure {
        let ran = if self.begun { Ran::Partial } else { ran };
        let wait = self.retry_after.unwrap_or(PLAIN_RETRY);
        Failure::new(StatusCode::GATEWAY_TIMEOUT, "deadline", "the time allowed has run out").ran(ran).after(wait)
    }

    /// Proposes the best sidecar for a caller's key, and returns the binding that holds according to the
    /// log.
    async fn claim(&mut self, key: &Key) -> Result<Binding, Failure> {
        if let Some(binding) = claims::lookup(&self.app.shared, key).await {
            return Ok(binding);
        }
        let targets = self.search(true).await?;
        let Some((target, Some(incarnation))) = targets.into_iter().next() else { return Err(self.exhausted()) };
        let proposed = Binding { endpoint: target.endpoint, incarnation };
        let bound = claims::claim(&self.app.shared, key.clone(), proposed).await?;
        event!("bound", request = %self.request.id, peer = %bound.endpoint, at = %bound.incarnation);
        Ok(bound)
    }

    /// Runs a call at the sidecar incarnation that its key is bound to.
    async fn bound(&mut self, key: Key, binding: Binding) -> Result<(), Failure> {
        let endpoint = binding.endpoint.clone();
        let located = self.app.shared.ask(|reply| Command::Locate(endpoint, reply)).await.map_err(stopping)?;
        let Some(target) = located else { return Err(outcome_unknown(&binding)) };
        match self.bound_once(&key, &target, &binding).await {
            Next::Over => Ok(()),
            Next::Again => Err(self.exhausted()),
            Next::Fail(failure) => Err(failure),
        }
    }

    /// Tries one sidecar incarnation until the outcome of the call is known. The sidecar runs a key at most
    /// once.
    async fn bound_once(&mut self, key: &Key, target: &Target, binding: &Binding) -> Next {
        for turn in 0..MOST_ATTEMPTS {
            let asked_before = turn > 0;
            let next = self.attempt(target, Some(binding.incarnation), Some(key), asked_before).await;
            let Next::Fail(failure) = next else {
                // This attempt did not run, but an earlier one may have been accepted before its answer was
                // lost.
                return if asked_before && matches!(next, Next::Again) {
                    Next::Fail(outcome_unknown(binding))
                } else {
                    next
                };
            };
            let lost = failure.ran == Ran::Unknown && failure.code == LOST && !self.begun;
            if !lost || self.left() <= BOUND_PAUSE {
                return Next::Fail(failure);
            }
            tokio::time::sleep(BOUND_PAUSE).await;
        }
        Next::Fail(outcome_unknown(binding))
    }

    /// Makes one attempt at one sidecar. With `may_run_already`, an earlier attempt under the same key may
    /// still run.
    async fn attempt(
        &mut self,
        target: &Target,
        incarnation: Option<Incarnation>,
        once: Option<&Key>,
        asked_before: bool,
    ) -> Next {
        self.attempts += 1;
        let mut call = self.request.call.clone();
        call.resume_after = self.passed_tokens;
        if let Some(spans) = &self.spans {
            call.headers.push((gang::DIGEST_HEADER.to_owned(), spans.digest.to_string()));
            call.headers.push((gang::TOKENS_HEADER.to_owned(), spans.tokens.to_string()));
        }
        let open = Open {
            attempt: util::attempt(),
            request: self.request.id.clone(),
            entry: self.app.shared.settings.process.name.clone(),
            incarnation,
            once: once.cloned(),
            ask: self.ask(),
            call,
        };
        event!("attempt", request = %self.request.id, attempt = %open.attempt, peer = %target.endpoint, number = self.attempts);
        let tokens = open.ask.prompt_tokens + open.ask.output_tokens;
        let _outstanding = Outstanding::begin(self.app, target, tokens);
        let limit = self.left();
        let mut started = false;
        let relayed = tokio::time::timeout(limit, self.relay(target, &open, &mut started)).await;
        match relayed {
            Ok(Ok(())) => Next::Over,
            Ok(Err(broken)) => self.judge(broken, once.is_some()).await,
            Err(_) => {
                let voided = upstream::void(self.app, target, &open).await;
                let ran = if started || asked_before { Ran::Unknown } else { voided };
                Next::Fail(self.timed_out(ran))
            }
        }
    }

    async fn relay(&mut self, target: &Target, open: &Open, started: &mut bool) -> Result<(), Broken> {
        let shell = self.request.long.as_ref().filter(|_| self.spans.is_some()).map(|long| &long.shell);
        let body = shell.unwrap_or(&self.request.body);
        let mut upstream: Upstream = upstream::open(self.app, target, open, body).await?;
        loop {
            let part = upstream.next().await?;
            match &part {
                Part::Started => {
                    *started = true;
                    continue;
                }
                Part::Head { .. } => self.begun = true,
                Part::Piece { tokens, .. } => {
                    if *tokens > 0 && self.passed_tokens == 0 {
                        let class = coord::estimate::class(self.request.admitted.prompt_tokens);
                        metric::ttft(class, util::now().since(self.started));
                        event!("first-token", request = %self.request.id, attempt = %open.attempt, peer = %target.endpoint);
                    }
                    self.begun = true;
                    self.passed_tokens += u64::from(*tokens);
                }
                Part::End { .. } => {}
            }
            let last = matches!(part, Part::End { .. });
            let part = self.whole_usage(part);
            self.pass(part).await?;
            if last {
                return Ok(());
            }
        }
    }

    /// Replaces the usage of the last attempt by that of all attempts.
    fn whole_usage(&self, part: Part) -> Part {
        match part {
            Part::End { usage, finish } => {
                let usage = Usage { output_tokens: usage.output_tokens.max(self.passed_tokens), ..usage };
                Part::End { usage, finish }
            }
            part => part,
        }
    }

    /// Sends a part to the caller. Fails if the caller has disconnected or does not read in time.
    async fn pass(&self, part: Part) -> Result<(), Broken> {
        let patience = self.app.shared.settings.slow_caller;
        let gone = |message: &str| Broken::Lost { ran: Ran::Partial, step: CALLER.into(), message: message.into() };
        match tokio::time::timeout(patience, self.request.parts.send(Ok(part))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(gone("the caller went away")),
            Err(_) => Err(gone("the caller reads too slowly")),
        }
    }

    /// Decides how the request continues after a failed attempt.
    async fn judge(&mut self, broken: Broken, once: bool) -> Next {
        match broken {
            Broken::NotRun { refused, retry_after } => {
                self.note_retry_after(retry_after);
                self.reason = refused;
                if refused == Some(Refused::OtherIncarnation) && once {
                    return Next::Fail(
                        lost(Ran::Unknown, "the sidecar that held this call was restarted").code(UNKNOWN),
                    );
                }
                if refused == Some(Refused::Expired) {
                    return Next::Fail(self.timed_out(Ran::No));
                }
                Next::Again
            }
            Broken::Rejected { status, message } => Next::Fail(rejected(status, message)),
            Broken::Lost { ran, step, message } => {
                event!("lost", request = %self.request.id, at = %step, ran = ran.as_str(), reason = %message);
                if step == CALLER {
                    return Next::Fail(lost(Ran::Partial, message).code("caller_too_slow"));
                }
                // The sidecar's clock may reach the deadline slightly before this one.
                if self.left() <= CLOCK_SLACK {
                    return Next::Fail(self.timed_out(ran));
                }
                if once {
                    let ran = if self.begun { Ran::Partial } else { Ran::Unknown };
                    return Next::Fail(lost(ran, format!("{step}: {message}")));
                }
                self.again(ran, &step, &message).await
            }
        }
    }

    /// Continues a repeatable request on another endpoint if the retry budget allows it.
    async fn again(&mut self, ran: Ran, step: &str, message: &str) -> Next {
        let allowed = self.app.shared.ask(Command::Retry).await.unwrap_or(false);
        if !allowed {
            let ran = if self.begun { Ran::Partial } else { ran };
            return Next::Fail(lost(ran, format!("{step}: {message}; the retry budget is spent")));
        }
        metric::retry();
        Next::Again
    }
}

/// Counts an attempt as outstanding at its endpoint until it is dropped.
struct Outstanding<'a> {
    app: &'a App,
    endpoint: Name,
    tokens: u64,
}

impl<'a> Outstanding<'a> {
    fn begin(app: &'a App, target: &Target, tokens: u64) -> Self {
        app.shared.kernel.send_detached(Command::Begin(target.endpoint.clone(), tokens));
        Self { app, endpoint: target.endpoint.clone(), tokens }
    }
}

impl Drop for Outstanding<'_> {
    fn drop(&mut self) {
        self.app.shared.kernel.send_detached(Command::End(self.endpoint.clone(), self.tokens));
    }
}
