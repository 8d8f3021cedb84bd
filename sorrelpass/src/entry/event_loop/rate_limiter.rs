//! Token buckets that enforce this entry's shares of the workspaces' rate limits.

use std::collections::HashMap;
use std::time::Duration;

use coord::intent::Workspace;
use coord::name::Name;
use coord::quota::Bucket;
use coord::time::Moment;

use super::message::{LimitShare, WorkspaceDemand};

/// The rate limit that refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Requests per second.
    Requests,
    /// Prompt tokens per second.
    Tokens,
}

/// Rate limiter of one workspace, with the demand counted since the last report.
pub struct RateLimiter {
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    demanded_requests: f64,
    demanded_tokens: f64,
}

/// Rate limiters of all workspaces that have limits.
pub struct RateLimiters {
    by_workspace: HashMap<Name, RateLimiter>,
    last_report: Moment,
}

impl RateLimiters {
    /// Creates an empty set of rate limiters.
    pub fn new(now: Moment) -> Self {
        Self { by_workspace: HashMap::new(), last_report: now }
    }

    /// Replaces the limits. The bucket of an unchanged limit keeps its level.
    pub fn configure<'a>(&mut self, workspaces: impl Iterator<Item = &'a Workspace>, now: Moment) {
        let old = std::mem::take(&mut self.by_workspace);
        let limited =
            workspaces.filter(|workspace| workspace.requests_per_s.is_some() || workspace.tokens_per_s.is_some());
        self.by_workspace = limited
            .map(|workspace| (workspace.name.clone(), make_limiter(workspace, old.get(&workspace.name), now)))
            .collect();
    }

    /// Takes one request of `tokens` prompt tokens from the workspace's buckets. Fails with the exceeded
    /// limit and the time until the bucket has refilled.
    pub fn acquire(&mut self, workspace: &Name, tokens: f64, now: Moment) -> Result<(), (Limit, Duration)> {
        let Some(limiter) = self.by_workspace.get_mut(workspace) else { return Ok(()) };
        limiter.demanded_requests += 1.0;
        limiter.demanded_tokens += tokens;
        if let Some(bucket) = &mut limiter.requests {
            bucket.try_take(1.0, now).map_err(|wait| (Limit::Requests, wait))?;
        }
        if let Some(bucket) = &mut limiter.tokens {
            bucket.try_take(tokens, now).map_err(|wait| (Limit::Tokens, wait))?;
        }
        Ok(())
    }

    /// Sets this entry's shares of the limits. Workspaces without limits are ignored.
    pub fn set_shares(&mut self, shares: &[LimitShare], now: Moment) {
        for share in shares {
            let Some(limiter) = self.by_workspace.get_mut(&share.workspace) else { continue };
            if let (Some(bucket), Some(rate)) = (&mut limiter.requests, share.requests_per_s) {
                bucket.set_rate(rate, now);
            }
            if let (Some(bucket), Some(rate)) = (&mut limiter.tokens, share.tokens_per_s) {
                bucket.set_rate(rate, now);
            }
        }
    }

    /// Returns the demand since the last call, and resets the counters. Workspaces without requests are
    /// left out.
    pub fn take_demands(&mut self, now: Moment) -> Vec<WorkspaceDemand> {
        let elapsed = now.since(self.last_report).as_secs_f64().max(1e-3);
        self.last_report = now;
        let active = self.by_workspace.iter_mut().filter(|(_, limiter)| limiter.demanded_requests > 0.0);
        active
            .map(|(workspace, limiter)| WorkspaceDemand {
                workspace: workspace.clone(),
                requests_per_s: std::mem::take(&mut limiter.demanded_requests) / elapsed,
                tokens_per_s: std::mem::take(&mut limiter.demanded_tokens) / elapsed,
            })
            .collect()
    }
}

fn make_limiter(workspace: &Workspace, previous: Option<&RateLimiter>, now: Moment) -> RateLimiter {
    RateLimiter {
        requests: make_bucket(workspace.requests_per_s, previous.and_then(|limiter| limiter.requests.as_ref()), now),
        tokens: make_bucket(workspace.tokens_per_s, previous.and_then(|limiter| limiter.tokens.as_ref()), now),
        demanded_requests: previous.map_or(0.0, |limiter| limiter.demanded_requests),
        demanded_tokens: previous.map_or(0.0, |limiter| limiter.demanded_tokens),
    }
}

/// Returns the bucket of a limit of `rate`. An existing bucket keeps its level; its rate, which is this entry's
/// share of the limit, changes only if it exceeds the new limit.
fn make_bucket(rate: Option<f64>, previous: Option<&Bucket>, now: Moment) -> Option<Bucket> {
    let rate = rate?;
    let mut bucket = previous.cloned().unwrap_or_else(|| Bucket::new(rate, now));
    if previous.is_none_or(|previous| previous.rate() > rate) {
        bucket.set_rate(rate, now);
    }
    Some(bucket)
}
