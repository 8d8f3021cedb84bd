//! Rate limits across entries: each workspace's limits are owned by one entry. The other entries report
//! their demand to the owner, which divides the limits among them.

use std::collections::HashMap;
use std::time::Duration;

use coord::intent::{Config, Workspace};
use coord::name::Name;
use coord::quota;
use coord::time::Moment;

use super::event_loop::{Command, LimitShare, WorkspaceDemand};
use super::{Shared, peer};
use crate::{util, warn_event};

/// Interval at which demand is reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Age after which a report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Newest demand of each entry, by workspace, for the limits that this entry owns.
#[derive(Default)]
pub struct DemandReports {
    reports: HashMap<Name, HashMap<Name, (Moment, WorkspaceDemand)>>,
}

impl DemandReports {
    /// Records the demand of `entry` and returns its shares.
    fn record(&mut self, config: &Config, entry: &Name, demands: Vec<WorkspaceDemand>, now: Moment) -> Vec<LimitShare> {
        demands
            .into_iter()
            .filter_map(|demand| {
                let workspace = config.workspaces.get(&demand.workspace)?;
                let reports = self.reports.entry(demand.workspace.clone()).or_default();
                reports.insert(entry.clone(), (now, demand));
                reports.retain(|_, (at, _)| now.since(*at) <= MAX_REPORT_AGE);
                Some(compute_share(workspace, reports, entry))
            })
            .collect()
    }
}

fn compute_share(
    workspace: &Workspace,
    reports: &HashMap<Name, (Moment, WorkspaceDemand)>,
    entry: &Name,
) -> LimitShare {
    let reporters: Vec<&Name> = reports.keys().collect();
    let entry_index = reporters.iter().position(|name| *name == entry).unwrap_or(0);
    let share_of = |rate: f64, demand: fn(&WorkspaceDemand) -> f64| {
        let demands: Vec<f64> = reporters.iter().map(|name| demand(&reports[*name].1)).collect();
        quota::split_rate(rate, &demands)[entry_index]
    };
    LimitShare {
        workspace: workspace.name.clone(),
        requests_per_s: workspace.requests_per_s.map(|rate| share_of(rate, |demand| demand.requests_per_s)),
        tokens_per_s: workspace.tokens_per_s.map(|rate| share_of(rate, |demand| demand.tokens_per_s)),
    }
}

/// Records a demand report at the owner. Only the threads `members` and `peer` use the lock, so no request
/// waits for it.
pub fn record_report(shared: &Shared, entry: &Name, demands: Vec<WorkspaceDemand>) -> Vec<LimitShare> {
    let config = shared.config.borrow().clone();
    let mut demand_reports = shared.demand_reports.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    demand_reports.record(&config, entry, demands, util::now())
}

/// Reports this entry's demand periodically and applies the shares that the owners assign.
pub async fn run(shared: &Shared) {
    let own_address = Name::from(shared.settings.peer_listen.to_string());
    loop {
        tokio::time::sleep(util::jitter(REPORT_INTERVAL)).await;
        let Ok(demands) = shared.call_event_loop(Command::TakeDemands).await else { return };
        if demands.is_empty() {
            continue;
        }
        let mut entries = shared.peers();
        entries.push(own_address.clone());
        for (owner, demands) in group_by_owner(&entries, demands) {
            let shares = request_shares(shared, &own_address, &owner, demands, entries.len()).await;
            let _ = shared.event_loop.send(Command::SetShares(shares)).await;
        }
    }
}

/// Groups demands by the entry that owns the limits of their workspace.
fn group_by_owner(entries: &[Name], demands: Vec<WorkspaceDemand>) -> HashMap<Name, Vec<WorkspaceDemand>> {
    let mut grouped: HashMap<Name, Vec<WorkspaceDemand>> = HashMap::new();
    for demand in demands {
        let hash = xxhash_rust::xxh3::xxh3_64(demand.workspace.as_bytes());
        if let Some(owner) = coord::pick::highest_ranked(hash, entries.iter(), 1).pop() {
            grouped.entry(owner).or_default().push(demand);
        }
    }
    grouped
}

/// Requests this entry's shares from the owner. If the owner does not answer, the limits are divided
/// equally among the entries.
async fn request_shares(
    shared: &Shared,
    own_address: &Name,
    owner: &Name,
    demands: Vec<WorkspaceDemand>,
    entries: usize,
) -> Vec<LimitShare> {
    let config = shared.config.borrow().clone();
    if owner == own_address {
        return record_report(shared, own_address, demands);
    }
    match peer::report_demand(owner, own_address, &demands).await {
        Ok(shares) => shares,
        Err(error) => {
            warn_event!("limit-owner-unreachable", peer = %owner, reason = %error);
            let equal_part = |rate: Option<f64>| rate.map(|rate| rate / entries as f64);
            let equal_share = |demand: WorkspaceDemand| {
                let workspace = config.workspaces.get(&demand.workspace)?;
                Some(LimitShare {
                    workspace: demand.workspace,
                    requests_per_s: equal_part(workspace.requests_per_s),
                    tokens_per_s: equal_part(workspace.tokens_per_s),
                })
            };
            demands.into_iter().filter_map(equal_share).collect()
        }
    }
}
