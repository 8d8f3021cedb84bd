//! Token buckets that enforce this entry's shares of the workspaces' rate limits.

use std::collections::HashMap;
use std::time::Duration;

use coord::intent::Workspace;
use coord::name::Name;
use coord::quota::Bucket;
use coord::time::Moment;

use super::message::{Demand, Share};

/// The rate limit that refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Requests per second.
    Requests,
    /// Prompt tokens per second.
    Tokens,
}

/// Rate limiter of one workspace, with the demand counted since the last report.
pub struct Meter {
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    asked_requests: f64,
    asked_tokens: f64,
}

/// Rate limiters of all workspaces that have limits.
pub struct Meters {
    by_workspace: HashMap<Name, Meter>,
    reported: Moment,
}

impl Meters {
    /// Creates an empty set of rate limiters.
    pub fn new(now: Moment) -> Self {
        Self { by_workspace: HashMap::new(), reported: now }
    }

    /// Replaces the limits. The bucket of an unchanged limit keeps its level.
    pub fn configure<'a>(&mut self, workspaces: impl Iterator<Item = &'a Workspace>, now: Moment) {
        let old = std::mem::take(&mut self.by_workspace);
        let limited =
            workspaces.filter(|workspace| workspace.requests_per_s.is_some() || workspace.tokens_per_s.is_some());
        self.by_workspace = limited
            .map(|workspace| (workspace.name.clone(), meter(workspace, old.get(&workspace.name), now)))
            .collect();
    }

    /// Takes one request of `tokens` prompt tokens from the workspace's buckets. Fails with the exceeded
    /// limit and the time until the bucket has refilled.
    pub fn take(&mut self, workspace: &Name, tokens: f64, now: Moment) -> Result<(), (Limit, Duration)> {
        let Some(meter) = self.by_workspace.get_mut(workspace) else { return Ok(()) };
        meter.asked_requests += 1.0;
        meter.asked_tokens += tokens;
        if let Some(bucket) = &mut meter.requests {
            bucket.take(1.0, now).map_err(|wait| (Limit::Requests, wait))?;
        }
        if let Some(bucket) = &mut meter.tokens {
            bucket.take(tokens, now).map_err(|wait| (Limit::Tokens, wait))?;
        }
        Ok(())
    }

    /// Sets this entry's shares of the limits. Workspaces without limits are ignored.
    pub fn share(&mut self, shares: &[Share], now: Moment) {
        for share in shares {
            let Some(meter) = self.by_workspace.get_mut(&share.workspace) else { continue };
            if let (Some(bucket), Some(rate)) = (&mut meter.requests, share.requests_per_s) {
                bucket.set_rate(rate, now);
            }
            if let (Some(bucket), Some(rate)) = (&mut meter.tokens, share.tokens_per_s) {
                bucket.set_rate(rate, now);
            }
        }
    }

    /// Returns the demand since the last call, and resets the counters. Workspaces without requests are
    /// left out.
    pub fn demands(&mut self, now: Moment) -> Vec<Demand> {
        let span = now.since(self.reported).as_secs_f64().max(1e-3);
        self.reported = now;
        let active = self.by_workspace.iter_mut().filter(|(_, meter)| meter.asked_requests > 0.0);
        active
            .map(|(workspace, meter)| Demand {
                workspace: workspace.clone(),
                requests_per_s: std::mem::take(&mut meter.asked_requests) / span,
                tokens_per_s: std::mem::take(&mut meter.asked_tokens) / span,
            })
            .collect()
    }
}

fn meter(workspace: &Workspace, before: Option<&Meter>, now: Moment) -> Meter {
    Meter {
        requests: bucket(workspace.requests_per_s, before.and_then(|meter| meter.requests.as_ref()), now),
        tokens: bucket(workspace.tokens_per_s, before.and_then(|meter| meter.tokens.as_ref()), now),
        asked_requests: before.map_or(0.0, |meter| meter.asked_requests),
        asked_tokens: before.map_or(0.0, |meter| meter.asked_tokens),
    }
}

/// Returns the bucket of a limit of `rate`. An existing bucket keeps its level; its rate, which is this entry's
/// share of the limit, changes only if it exceeds the new limit.
fn bucket(rate: Option<f64>, before: Option<&Bucket>, now: Moment) -> Option<Bucket> {
    let rate = rate?;
    let mut bucket = before.cloned().unwrap_or_else(|| Bucket::new(rate, now));
    if before.is_none_or(|before| before.rate() > rate) {
        bucket.set_rate(rate, now);
    }
    Some(bucket)
}
