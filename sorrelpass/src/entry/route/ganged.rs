//! Execution of prompts that exceed the memory of one engine.

use std::time::Duration;

use bytes::Bytes;
use coord::name::Ran;
use coord::prefix::Chain;

use super::{Next, Route};
use crate::entry::gang::{self, Member, Spans};
use crate::entry::kernel::{Command, Search, Target};
use crate::entry::upstream;
use crate::failure::Failure;
use crate::wire::Ask;
use crate::{event, util};

/// Maximum number of gangs tried per request.
const MOST_GANGS: u32 = 3;
/// Maximum number of endpoints per failure domain that are asked for quotes to form a gang.
const MOST_GANG_SAMPLE: usize = 24;

impl Route<'_> {
    /// Returns whether the prompt and its output exceed the memory of every engine that gave a quote.
    pub(super) fn exceeds_one_engine(&self) -> bool {
        let needed = self.request.admitted.prompt_tokens + self.request.output_tokens;
        self.request.long.is_some() && self.capacity > 0 && needed > self.capacity
    }

    /// Forms gangs until one gives a complete answer.
    pub(super) async fn ganged(&mut self) -> Result<(), Failure> {
        self.tried.clear();
        for _ in 0..MOST_GANGS {
            if self.left().is_zero() {
                return Err(self.timed_out(Ran::No));
            }
            match self.gang().await {
                Ok(Next::Over) => return Ok(()),
                Ok(Next::Again) => {}
                Ok(Next::Fail(failure)) => return Err(failure),
                Err(failed) => {
                    event!("gang-failed", request = %self.request.id, peer = %failed.target.endpoint, at = failed.step);
                    // A member that was only full may be used by the next gang.
                    if failed.step != "wait-for-memory" {
                        self.tried.push(failed.target.endpoint);
                    }
                }
            }
            self.spans = None;
        }
        Err(self.exhausted())
    }

    /// Runs the prompt on one gang: reserves the spans' memory, prefills them, and has the leader's engine
    /// answer.
    async fn gang(&mut self) -> Result<Next, gang::Failed> {
        let Some(long) = self.request.long.clone() else { return Ok(Next::Fail(self.exhausted())) };
        let bytes_per_token = self.request.admitted.bytes_per_token;
        let texts = gang::cut(&long.text, bytes_per_token, self.capacity);
        let tokens = |text: &Bytes| (text.len() as f64 / bytes_per_token).ceil() as u64;
        let largest = texts.iter().map(tokens).max().unwrap_or(0);
        let Some(targets) = self.gang_targets(texts.len(), largest).await else {
            return Ok(Next::Fail(self.exhausted()));
        };
        let members: Vec<Member> = targets
            .iter()
            .zip(&texts)
            .map(|(target, text)| Member { target: target.clone(), span: util::attempt(), tokens: tokens(text) })
            .collect();
        let Some(lead) = members.last().map(|member| member.target.clone()) else {
            return Ok(Next::Fail(self.exhausted()));
        };
        event!("gang", request = %self.request.id, members = members.len(), peer = %lead.endpoint);
        let texts: Vec<_> = members.iter().map(|member| member.span).zip(texts).collect();
        let spans = Spans::hold(self.app, members, self.left() / 4).await?;
        let filled = match tokio::time::timeout(self.left(), spans.fill(&texts)).await {
            Ok(filled) => filled?,
            Err(_) => return Ok(Next::Fail(self.timed_out(Ran::Unknown))),
        };
        event!("gang-filled", request = %self.request.id, tokens = filled.tokens);
        self.spans = Some(filled);
        let next = self.attempt(&lead, None, None, false).await;
        spans.close();
        Ok(next)
    }

    /// Selects members for a gang in the nearest failure domain that has enough suitable endpoints.
    async fn gang_targets(&mut self, count: usize, span_tokens: u64) -> Option<Vec<Target>> {
        let admitted = &self.request.admitted;
        let search = Search {
            service: admitted.service.clone(),
            domains: admitted.domains.clone(),
            hash: None,
            exclude: self.tried.clone(),
        };
        let domains = self.app.shared.ask(|reply| Command::ByDomain(search, reply)).await.ok()?;
        let ask = Ask { prompt_tokens: span_tokens, output_tokens: 0, chain: Chain::default(), ..self.ask() };
        for targets in domains.into_iter().filter(|targets| targets.len() >= count) {
            let sample = targets.into_iter().take(MOST_GANG_SAMPLE).collect();
            let mut asked = upstream::quotes(self.app, sample, &ask).await;
            asked.retain(|asked| asked.offer.quote.capacity_tokens >= span_tokens);
            let needed: Duration = asked.iter().take(count).map(|asked| asked.offer.quote.ttft).sum();
            if asked.len() >= count && needed <= self.left() {
                return Some(asked.into_iter().take(count).map(|asked| asked.target).collect());
            }
        }
        None
    }
}
