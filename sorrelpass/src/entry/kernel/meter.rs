//! Meters: the local part of the workspaces' limits.

use std::collections::HashMap;
use std::time::Duration;

use coord::intent::Workspace;
use coord::name::Name;
use coord::quota::Bucket;
use coord::time::Moment;

use super::message::{Demand, Share};

/// Which limit is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Requests a second.
    Requests,
    /// Prompt tokens a second.
    Tokens,
}

/// The meter of one workspace that has limits.
pub struct Meter {
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    asked_requests: f64,
    asked_tokens: f64,
}

/// The meters of all workspaces that have limits.
pub struct Meters {
    by_workspace: HashMap<Name, Meter>,
    reported: Moment,
}

impl Meters {
    /// No limits yet.
    pub fn new(now: Moment) -> Self {
        Self { by_workspace: HashMap::new(), reported: now }
    }

    /// Takes new limits; levels stay where a limit stays.
    pub fn configure<'a>(&mut self, workspaces: impl Iterator<Item = &'a Workspace>, now: Moment) {
        let old = std::mem::take(&mut self.by_workspace);
        let limited =
            workspaces.filter(|workspace| workspace.requests_per_s.is_some() || workspace.tokens_per_s.is_some());
        self.by_workspace = limited
            .map(|workspace| (workspace.name.clone(), meter(workspace, old.get(&workspace.name), now)))
            .collect();
    }

    /// Takes one request of `tokens` prompt tokens out, or says which limit is used up and for how long.
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

    /// Takes this entry's shares, as worked out with the others.
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

    /// What was asked for since the last report, as rates.
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

/// A bucket at the limit's rate; one whose limit was lowered starts from its level.
fn bucket(rate: Option<f64>, before: Option<&Bucket>, now: Moment) -> Option<Bucket> {
    let rate = rate?;
    let mut bucket = before.cloned().unwrap_or_else(|| Bucket::new(rate, now));
    if before.is_none_or(|before| before.rate() > rate) {
        bucket.set_rate(rate, now);
    }
    Some(bucket)
}
