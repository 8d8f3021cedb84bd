//! Execution of one request: quotes, attempts, retries, resumption and the deadline.

mod failures;
mod gang_attempt;

use std::time::Duration;

use axum::http::StatusCode;
use bytes::Bytes;
use coord::claim::{Binding, Key};
use coord::name::{ExecutionStatus, Incarnation, Name};
use coord::prefix::Chain;
use coord::scheduler::RefusalReason;
use coord::time::{Moment, micros};
use tokio::sync::mpsc;

use self::failures::{
    CALLER_STEP, DEFAULT_RETRY_AFTER, LOST_CODE, UNKNOWN_CODE, attempt_lost, entry_stopping, outcome_unknown,
    rejected_by_endpoint,
};
use super::HandlerState;
use super::claims;
use super::event_loop::{AdmittedRequest, Command, Target, TargetQuery};
use super::gang;
use super::upstream::{self, AnswerPart, AttemptError, FrameStream};
use crate::failure::Failure;
use crate::holder::Holder;
use crate::wire::{Call, PrefillResponse, QuoteRequest, Usage, WorkRefusal, WorkRequest};
use crate::{event, metric, util};

/// Maximum number of candidate selections per request.
const MAX_ROUNDS: u32 = 4;
/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 6;
/// Delay between attempts at the sidecar that a key is bound to.
const BOUND_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Clock skew between an entry and a sidecar: with less time left than this, a lost attempt counts as past
/// its deadline.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(20);

/// How often a request may run, and what ensures it.
#[derive(Clone, Debug)]
pub enum RunPolicy {
    /// The request may run any number of times.
    Repeatable,
    /// At most once, under a generated key that is bound to the first sidecar that accepts it.
    OnceInternalKey,
    /// At most once, under the caller's idempotency key, which is claimed on the log.
    OnceClaimedKey(Key),
    /// At most once, under a ticket that names the sidecar incarnation.
    OnceTicket(Key, Binding),
}

/// An admitted request to be run.
pub struct Request {
    /// Request id.
    pub id: Name,
    /// Result of admission.
    pub admitted: AdmittedRequest,
    /// HTTP call to make at the endpoint.
    pub call: Call,
    /// Request body, in pieces.
    pub body: Vec<Bytes>,
    /// The prompt in the form that a gang of engines needs; `None` for a plain call.
    pub gang_prompt: Option<GangPrompt>,
    /// Hash chain over the prompt's prefixes.
    pub chain: Chain,
    /// Maximum number of output tokens.
    pub output_tokens: u64,
    /// How often the request may run.
    pub run_policy: RunPolicy,
    /// Time by which the answer must be complete.
    pub deadline: Moment,
    /// Receives the parts of the answer.
    pub parts: mpsc::Sender<Result<AnswerPart, Failure>>,
    /// Memory of the body, released together with the request.
    pub _body_memory: Holder,
}

/// A prompt that can be divided among a gang of engines.
#[derive(Clone)]
pub struct GangPrompt {
    /// Prompt text, as raw JSON.
    pub text: Bytes,
    /// Request body with an empty prompt text.
    pub body_without_text: Vec<Bytes>,
}

/// How a request continues after an attempt.
enum AttemptOutcome {
    /// The request is finished: the caller has the complete answer.
    Finished,
    /// The request may be tried on another endpoint.
    TryAnother,
    /// The request fails.
    Fail(Failure),
}

struct RequestTask<'a> {
    app: &'a HandlerState,
    request: Request,
    tried_endpoints: Vec<Name>,
    attempt_count: u32,
    /// Number of output tokens that were sent to the caller.
    sent_tokens: u64,
    /// Whether any part of the answer was sent to the caller.
    is_answer_started: bool,
    retry_after: Option<Duration>,
    last_refusal: Option<WorkRefusal>,
    /// Largest engine memory reported in a quote, in tokens.
    max_capacity_tokens: u64,
    /// Digest and token count of the prompt's spans, once a gang has prefilled them.
    prefilled_spans: Option<PrefillResponse>,
    started_at: Moment,
}

/// Runs a request. The last item sent to the caller is the end of the answer or a failure.
pub async fn run(app: HandlerState, request: Request) {
    let id = request.id.clone();
    let parts = request.parts.clone();
    let mut task = RequestTask {
        app: &app,
        request,
        tried_endpoints: Vec::new(),
        attempt_count: 0,
        sent_tokens: 0,
        is_answer_started: false,
        retry_after: None,
        last_refusal: None,
        max_capacity_tokens: 0,
        prefilled_spans: None,
        started_at: util::now(),
    };
    let outcome = tokio::select! {
        outcome = task.run() => outcome,
        () = parts.closed() => {
            event!("caller-gone", request = %id);
            metric::record_request("caller_gone");
            return;
        }
    };
    match outcome {
        Ok(()) => {
            event!("done", request = %id, tokens = task.sent_tokens);
            metric::record_request("ok");
        }
        Err(failure) => {
            event!("request-failed", request = %id, code = failure.code, ran = failure.ran.as_str(), reason = %failure.message);
            metric::record_request(failure.code);
            let _ = parts.send(Err(failure)).await;
        }
    }
}

impl RequestTask<'_> {
    async fn run(&mut self) -> Result<(), Failure> {
        match self.request.run_policy.clone() {
            RunPolicy::Repeatable => self.run_on_any_endpoint(None).await,
            RunPolicy::OnceInternalKey => {
                // The request id cannot serve as key: callers may choose it, and reuse it for another call.
                let generated = Name::from(util::new_attempt().to_string());
                let key = Key { workspace: self.request.admitted.workspace.name.clone(), key: generated };
                self.run_on_any_endpoint(Some(key)).await
            }
            RunPolicy::OnceClaimedKey(key) => {
                // Nothing has been sent yet, but an earlier call under the same key may have run.
                let Ok(claimed) = tokio::time::timeout(self.time_left(), self.claim_key(&key)).await else {
                    return Err(self.deadline_failure(ExecutionStatus::Unknown));
                };
                let binding = claimed?;
                self.run_on_bound_sidecar(key, binding).await
            }
            RunPolicy::OnceTicket(key, binding) => self.run_on_bound_sidecar(key, binding).await,
        }
    }

    /// Returns the time left for attempts, which excludes the time reserved for cancelling the last one.
    fn time_left(&self) -> Duration {
        upstream::time_left(self.request.deadline).saturating_sub(self.cancel_reserve())
    }

    fn cancel_reserve(&self) -> Duration {
        let allowed = self.request.deadline.since(self.started_at);
        self.app.shared.settings.cancel_reserve.min(allowed / 10)
    }

    fn quote_request(&self) -> QuoteRequest {
        let admitted = &self.request.admitted;
        QuoteRequest {
            workspace: admitted.workspace.name.clone(),
            weight: admitted.workspace.weight,
            prompt_tokens: if self.prefilled_spans.is_some() { 0 } else { admitted.prompt_tokens } + self.sent_tokens,
            output_tokens: self.request.output_tokens.saturating_sub(self.sent_tokens),
            priority: admitted.priority,
            time_left_micros: micros(self.time_left()),
            bytes_per_token: admitted.bytes_per_token,
            chain: self.request.chain.clone(),
        }
    }

    /// Selects new candidates, best first. The incarnation is `None` for candidates that were not asked for
    /// a quote.
    async fn select_candidates(
        &mut self,
        needs_incarnation: bool,
    ) -> Result<Vec<(Target, Option<Incarnation>)>, Failure> {
        let admitted = &self.request.admitted;
        let query = TargetQuery {
            service: admitted.service.clone(),
            domains: admitted.domains.clone(),
            prefix_hash: self.request.chain.head(),
            excluded: self.tried_endpoints.clone(),
        };
        let selected = self
            .app
            .shared
            .call_event_loop(|reply| Command::FindTargets(query, reply))
            .await
            .map_err(entry_stopping)?;
        if !selected.needs_quotes && !needs_incarnation {
            return Ok(selected.targets.into_iter().map(|target| (target, None)).collect());
        }
        let names: Vec<Name> = selected.targets.iter().map(|target| target.endpoint.clone()).collect();
        let quoted = upstream::request_quotes(self.app, selected.targets, &self.quote_request()).await;
        self.tried_endpoints
            .extend(names.into_iter().filter(|name| !quoted.iter().any(|quoted| quoted.target.endpoint == *name)));
        let mut candidates = Vec::new();
        for quoted in quoted {
            self.max_capacity_tokens = self.max_capacity_tokens.max(quoted.offer.quote.capacity_tokens);
            if quoted.offer.quote.is_accepting {
                candidates.push((quoted.target, Some(quoted.incarnation)));
                continue;
            }
            self.tried_endpoints.push(quoted.target.endpoint);
            self.record_retry_after(quoted.offer.quote.retry_after);
        }
        Ok(candidates)
    }

    fn record_retry_after(&mut self, wait: Duration) {
        if wait > Duration::ZERO {
            self.retry_after = Some(self.retry_after.map_or(wait, |earlier| earlier.min(wait)));
        }
    }

    /// Tries endpoints until one gives a complete answer.
    async fn run_on_any_endpoint(&mut self, idempotency_key: Option<Key>) -> Result<(), Failure> {
        for _ in 0..MAX_ROUNDS {
            let targets = self.select_candidates(idempotency_key.is_some()).await?;
            if self.exceeds_one_engine() {
                return self.run_on_gang().await;
            }
            for (target, incarnation) in targets {
                if self.time_left().is_zero() {
                    return Err(self.deadline_failure(ExecutionStatus::No));
                }
                self.tried_endpoints.push(target.endpoint.clone());
                // A call that may run at most once is retried only at the sidecar that may have accepted
                // it.
                let outcome = match (&idempotency_key, incarnation) {
                    (Some(key), Some(incarnation)) => {
                        let binding = Binding { endpoint: target.endpoint.clone(), incarnation };
                        self.run_once_on_sidecar(key, &target, &binding).await
                    }
                    _ => self.attempt(&target, incarnation, None, false).await,
                };
                match outcome {
                    AttemptOutcome::Finished => return Ok(()),
                    AttemptOutcome::TryAnother => {}
                    AttemptOutcome::Fail(failure) => return Err(failure),
                }
                if self.attempt_count >= MAX_ATTEMPTS {
                    return Err(self.no_endpoint_failure());
                }
            }
            if self.retry_after.is_some() && self.attempt_count == 0 {
                break;
            }
        }
        Err(self.no_endpoint_failure())
    }

    fn no_endpoint_failure(&self) -> Failure {
        if self.is_answer_started {
            return Failure::unavailable(
                "answer_broken_off",
                "the answer broke off and could not go on elsewhere",
                DEFAULT_RETRY_AFTER,
            )
            .with_ran(ExecutionStatus::Partial);
        }
        let wait = self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        if self.last_refusal == Some(WorkRefusal::Scheduler(RefusalReason::TooLarge)) {
            return Failure::unavailable("no_memory", "no endpoint has the memory that this prompt needs", wait);
        }
        Failure::unavailable("overloaded", "no endpoint can finish this in its time now", wait)
    }

    fn deadline_failure(&self, ran: ExecutionStatus) -> Failure {
        let ran = if self.is_answer_started { ExecutionStatus::Partial } else { ran };
        let wait = self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        Failure::new(StatusCode::GATEWAY_TIMEOUT, "deadline", "the time allowed has run out")
            .with_ran(ran)
            .with_retry_after(wait)
    }

    /// Proposes the best sidecar for a caller's key, and returns the binding that holds according to the
    /// log.
    async fn claim_key(&mut self, key: &Key) -> Result<Binding, Failure> {
        if let Some(binding) = claims::lookup(&self.app.shared, key).await {
            return Ok(binding);
        }
        let targets = self.select_candidates(true).await?;
        let Some((target, Some(incarnation))) = targets.into_iter().next() else {
            return Err(self.no_endpoint_failure());
        };
        let proposed = Binding { endpoint: target.endpoint, incarnation };
        let bound = claims::claim(&self.app.shared, key.clone(), proposed).await?;
        event!("bound", request = %self.request.id, peer = %bound.endpoint, at = %bound.incarnation);
        Ok(bound)
    }

    /// Runs a call at the sidecar incarnation that its key is bound to.
    async fn run_on_bound_sidecar(&mut self, key: Key, binding: Binding) -> Result<(), Failure> {
        let endpoint = binding.endpoint.clone();
        let located =
            self.app.shared.call_event_loop(|reply| Command::Locate(endpoint, reply)).await.map_err(entry_stopping)?;
        let Some(target) = located else { return Err(outcome_unknown(&binding)) };
        match self.run_once_on_sidecar(&key, &target, &binding).await {
            AttemptOutcome::Finished => Ok(()),
            AttemptOutcome::TryAnother => Err(self.no_endpoint_failure()),
            AttemptOutcome::Fail(failure) => Err(failure),
        }
    }

    /// Tries one sidecar incarnation until the outcome of the call is known. The sidecar runs a key at most
    /// once.
    async fn run_once_on_sidecar(&mut self, key: &Key, target: &Target, binding: &Binding) -> AttemptOutcome {
        for round in 0..MAX_ATTEMPTS {
            let may_run_already = round > 0;
            let outcome = self.attempt(target, Some(binding.incarnation), Some(key), may_run_already).await;
            let AttemptOutcome::Fail(failure) = outcome else {
                // The last attempt did not run, but an earlier one may have been accepted and its answer lost.
                return if may_run_already && matches!(outcome, AttemptOutcome::TryAnother) {
                    AttemptOutcome::Fail(outcome_unknown(binding))
                } else {
                    outcome
                };
            };
            let is_retryable =
                failure.ran == ExecutionStatus::Unknown && failure.code == LOST_CODE && !self.is_answer_started;
            if !is_retryable || self.time_left() <= BOUND_RETRY_DELAY {
                return AttemptOutcome::Fail(failure);
            }
            tokio::time::sleep(BOUND_RETRY_DELAY).await;
        }
        AttemptOutcome::Fail(outcome_unknown(binding))
    }

    /// Makes one attempt at one sidecar. With `may_run_already`, an earlier attempt under the same key may
    /// still run.
    async fn attempt(
        &mut self,
        target: &Target,
        incarnation: Option<Incarnation>,
        idempotency_key: Option<&Key>,
        may_run_already: bool,
    ) -> AttemptOutcome {
        self.attempt_count += 1;
        let mut call = self.request.call.clone();
        call.resume_after = self.sent_tokens;
        if let Some(spans) = &self.prefilled_spans {
            call.headers.push((gang::SPAN_DIGEST_HEADER.to_owned(), spans.digest.to_string()));
            call.headers.push((gang::SPAN_TOKENS_HEADER.to_owned(), spans.tokens.to_string()));
        }
        let work = WorkRequest {
            attempt: util::new_attempt(),
            request: self.request.id.clone(),
            entry: self.app.shared.settings.process.name.clone(),
            incarnation,
            idempotency_key: idempotency_key.cloned(),
            quote_request: self.quote_request(),
            call,
        };
        event!("attempt", request = %self.request.id, attempt = %work.attempt, peer = %target.endpoint, number = self.attempt_count);
        let tokens = work.quote_request.prompt_tokens + work.quote_request.output_tokens;
        let _outstanding = OutstandingAttempt::start(self.app, target, tokens);
        let timeout = self.time_left();
        let mut is_started = false;
        let result = tokio::time::timeout(timeout, self.relay_answer(target, &work, &mut is_started)).await;
        match result {
            Ok(Ok(())) => AttemptOutcome::Finished,
            Ok(Err(error)) => self.handle_attempt_error(error, idempotency_key.is_some()).await,
            Err(_) => {
                let cancelled_ran = upstream::cancel_attempt(self.app, target, &work).await;
                let ran = if is_started || may_run_already { ExecutionStatus::Unknown } else { cancelled_ran };
                AttemptOutcome::Fail(self.deadline_failure(ran))
            }
        }
    }

    async fn relay_answer(
        &mut self,
        target: &Target,
        work: &WorkRequest,
        is_started: &mut bool,
    ) -> Result<(), AttemptError> {
        let body_without_text = self
            .request
            .gang_prompt
            .as_ref()
            .filter(|_| self.prefilled_spans.is_some())
            .map(|prompt| &prompt.body_without_text);
        let body = body_without_text.unwrap_or(&self.request.body);
        let mut frames: FrameStream = upstream::send_work(self.app, target, work, body).await?;
        loop {
            let part = frames.next().await?;
            match &part {
                AnswerPart::Started => {
                    *is_started = true;
                    continue;
                }
                AnswerPart::Head { .. } => self.is_answer_started = true,
                AnswerPart::Chunk { tokens, .. } => {
                    if *tokens > 0 && self.sent_tokens == 0 {
                        let class = coord::estimate::length_class(self.request.admitted.prompt_tokens);
                        metric::record_ttft(class, util::now().since(self.started_at));
                        event!("first-token", request = %self.request.id, attempt = %work.attempt, peer = %target.endpoint);
                    }
                    self.is_answer_started = true;
                    self.sent_tokens += u64::from(*tokens);
                }
                AnswerPart::End { .. } => {}
            }
            let is_last = matches!(part, AnswerPart::End { .. });
            let part = self.with_total_usage(part);
            self.send_to_caller(part).await?;
            if is_last {
                return Ok(());
            }
        }
    }

    /// Replaces the usage of the last attempt by that of all attempts.
    fn with_total_usage(&self, part: AnswerPart) -> AnswerPart {
        match part {
            AnswerPart::End { usage, finish_reason } => {
                let usage = Usage { output_tokens: usage.output_tokens.max(self.sent_tokens), ..usage };
                AnswerPart::End { usage, finish_reason }
            }
            part => part,
        }
    }

    /// Sends a part to the caller. Fails if the caller has disconnected or does not read in time.
    async fn send_to_caller(&self, part: AnswerPart) -> Result<(), AttemptError> {
        let timeout = self.app.shared.settings.caller_timeout;
        let caller_lost = |message: &str| AttemptError::Lost {
            ran: ExecutionStatus::Partial,
            step: CALLER_STEP.into(),
            message: message.into(),
        };
        match tokio::time::timeout(timeout, self.request.parts.send(Ok(part))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(caller_lost("the caller went away")),
            Err(_) => Err(caller_lost("the caller reads too slowly")),
        }
    }

    /// Decides how the request continues after a failed attempt.
    async fn handle_attempt_error(&mut self, error: AttemptError, is_keyed: bool) -> AttemptOutcome {
        match error {
            AttemptError::NotRun { refused, retry_after } => {
                self.record_retry_after(retry_after);
                self.last_refusal = refused;
                if refused == Some(WorkRefusal::OtherIncarnation) && is_keyed {
                    return AttemptOutcome::Fail(
                        attempt_lost(ExecutionStatus::Unknown, "the sidecar that held this call was restarted")
                            .with_code(UNKNOWN_CODE),
                    );
                }
                if refused == Some(WorkRefusal::Expired) {
                    return AttemptOutcome::Fail(self.deadline_failure(ExecutionStatus::No));
                }
                AttemptOutcome::TryAnother
            }
            AttemptError::Rejected { status, message } => AttemptOutcome::Fail(rejected_by_endpoint(status, message)),
            AttemptError::Lost { ran, step, message } => {
                event!("attempt-lost", request = %self.request.id, at = %step, ran = ran.as_str(), reason = %message);
                if step == CALLER_STEP {
                    return AttemptOutcome::Fail(
                        attempt_lost(ExecutionStatus::Partial, message).with_code("caller_too_slow"),
                    );
                }
                // The sidecar's clock may reach the deadline slightly before this one.
                if self.time_left() <= MAX_CLOCK_SKEW {
                    return AttemptOutcome::Fail(self.deadline_failure(ran));
                }
                if is_keyed {
                    let ran = if self.is_answer_started { ExecutionStatus::Partial } else { ExecutionStatus::Unknown };
                    return AttemptOutcome::Fail(attempt_lost(ran, format!("{step}: {message}")));
                }
                self.retry_within_budget(ran, &step, &message).await
            }
        }
    }

    /// Continues a repeatable request on another endpoint if the retry budget allows it.
    async fn retry_within_budget(&mut self, ran: ExecutionStatus, step: &str, message: &str) -> AttemptOutcome {
        let is_allowed = self.app.shared.call_event_loop(Command::TakeRetry).await.unwrap_or(false);
        if !is_allowed {
            let ran = if self.is_answer_started { ExecutionStatus::Partial } else { ran };
            return AttemptOutcome::Fail(attempt_lost(ran, format!("{step}: {message}; the retry budget is spent")));
        }
        metric::record_retry();
        AttemptOutcome::TryAnother
    }
}

/// Counts an attempt as outstanding at its endpoint until it is dropped.
struct OutstandingAttempt<'a> {
    app: &'a HandlerState,
    endpoint: Name,
    tokens: u64,
}

impl<'a> OutstandingAttempt<'a> {
    fn start(app: &'a HandlerState, target: &Target, tokens: u64) -> Self {
        app.shared.event_loop.send_detached(Command::AttemptStarted(target.endpoint.clone(), tokens));
        Self { app, endpoint: target.endpoint.clone(), tokens }
    }
}

impl Drop for OutstandingAttempt<'_> {
    fn drop(&mut self) {
        self.app.shared.event_loop.send_detached(Command::AttemptEnded(self.endpoint.clone(), self.tokens));
    }
}
