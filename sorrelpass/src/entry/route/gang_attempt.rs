//! Execution of prompts that exceed the memory of one engine.

use std::time::Duration;

use bytes::Bytes;
use coord::name::ExecutionStatus;
use coord::prefix::Chain;

use super::{AttemptOutcome, RequestTask};
use crate::entry::event_loop::{Command, Target, TargetQuery};
use crate::entry::gang::{self, Member, SpanLeases};
use crate::entry::upstream;
use crate::failure::Failure;
use crate::wire::QuoteRequest;
use crate::{event, util};

/// Maximum number of gangs tried per request.
const MAX_GANGS: u32 = 3;
/// Maximum number of endpoints per failure domain that are asked for quotes to form a gang.
const MAX_MEMBERS_SAMPLED: usize = 24;

impl RequestTask<'_> {
    /// Returns whether the prompt and its output exceed the memory of every engine that gave a quote.
    pub(super) fn exceeds_one_engine(&self) -> bool {
        let needed = self.request.admitted.prompt_tokens + self.request.output_tokens;
        self.request.gang_prompt.is_some() && self.max_capacity_tokens > 0 && needed > self.max_capacity_tokens
    }

    /// Forms gangs until one gives a complete answer.
    pub(super) async fn run_on_gang(&mut self) -> Result<(), Failure> {
        self.tried_endpoints.clear();
        for _ in 0..MAX_GANGS {
            if self.time_left().is_zero() {
                return Err(self.deadline_failure(ExecutionStatus::No));
            }
            match self.attempt_on_gang().await {
                Ok(AttemptOutcome::Finished) => return Ok(()),
                Ok(AttemptOutcome::TryAnother) => {}
                Ok(AttemptOutcome::Fail(failure)) => return Err(failure),
                Err(error) => {
                    event!("gang-failed", request = %self.request.id, peer = %error.target.endpoint, at = error.step);
                    // A member that was only full may be used by the next gang.
                    if error.step != "wait-for-memory" {
                        self.tried_endpoints.push(error.target.endpoint);
                    }
                }
            }
            self.prefilled_spans = None;
        }
        Err(self.no_endpoint_failure())
    }

    /// Runs the prompt on one gang: reserves the spans' memory, prefills them, and has the leader's engine
    /// answer.
    async fn attempt_on_gang(&mut self) -> Result<AttemptOutcome, gang::GangError> {
        let Some(prompt) = self.request.gang_prompt.clone() else {
            return Ok(AttemptOutcome::Fail(self.no_endpoint_failure()));
        };
        let bytes_per_token = self.request.admitted.bytes_per_token;
        let texts = gang::split_prompt(&prompt.text, bytes_per_token, self.max_capacity_tokens);
        let tokens = |text: &Bytes| (text.len() as f64 / bytes_per_token).ceil() as u64;
        let largest_span = texts.iter().map(tokens).max().unwrap_or(0);
        let Some(targets) = self.select_members(texts.len(), largest_span).await else {
            return Ok(AttemptOutcome::Fail(self.no_endpoint_failure()));
        };
        let members: Vec<Member> = targets
            .iter()
            .zip(&texts)
            .map(|(target, text)| Member { target: target.clone(), span: util::new_attempt(), tokens: tokens(text) })
            .collect();
        let Some(leader) = members.last().map(|member| member.target.clone()) else {
            return Ok(AttemptOutcome::Fail(self.no_endpoint_failure()));
        };
        event!("gang", request = %self.request.id, members = members.len(), peer = %leader.endpoint);
        let texts: Vec<_> = members.iter().map(|member| member.span).zip(texts).collect();
        let leases = SpanLeases::reserve(self.app, members, self.time_left() / 4).await?;
        let prefilled = match tokio::time::timeout(self.time_left(), leases.prefill(&texts)).await {
            Ok(prefilled) => prefilled?,
            Err(_) => return Ok(AttemptOutcome::Fail(self.deadline_failure(ExecutionStatus::Unknown))),
        };
        event!("gang-filled", request = %self.request.id, tokens = prefilled.tokens);
        self.prefilled_spans = Some(prefilled);
        let outcome = self.attempt(&leader, None, None, false).await;
        leases.release();
        Ok(outcome)
    }

    /// Selects members for a gang in the nearest failure domain that has enough suitable endpoints.
    async fn select_members(&mut self, count: usize, span_tokens: u64) -> Option<Vec<Target>> {
        let admitted = &self.request.admitted;
        let query = TargetQuery {
            service: admitted.service.clone(),
            domains: admitted.domains.clone(),
            prefix_hash: None,
            excluded: self.tried_endpoints.clone(),
        };
        let domains = self.app.shared.call_event_loop(|reply| Command::TargetsByDomain(query, reply)).await.ok()?;
        let quote_request = QuoteRequest {
            prompt_tokens: span_tokens,
            output_tokens: 0,
            chain: Chain::default(),
            ..self.quote_request()
        };
        for targets in domains.into_iter().filter(|targets| targets.len() >= count) {
            let sample = targets.into_iter().take(MAX_MEMBERS_SAMPLED).collect();
            let mut quoted = upstream::request_quotes(self.app, sample, &quote_request).await;
            quoted.retain(|quoted| quoted.offer.quote.capacity_tokens >= span_tokens);
            let needed: Duration = quoted.iter().take(count).map(|quoted| quoted.offer.quote.ttft).sum();
            if quoted.len() >= count && needed <= self.time_left() {
                return Some(quoted.into_iter().take(count).map(|quoted| quoted.target).collect());
            }
        }
        None
    }
}
