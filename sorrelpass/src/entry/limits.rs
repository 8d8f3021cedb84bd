//! Rate limits across entries: each workspace's limits are owned by one entry. The other entries report
//! their demand to the owner, which divides the limits among them.

use std::collections::HashMap;
use std::time::Duration;

use coord::intent::{Config, Workspace};
use coord::name::Name;
use coord::quota;
use coord::time::Moment;

use super::kernel::{Command, Demand, Share};
use super::{Shared, peer};
use crate::{util, warn_event};

/// Interval at which demand is reported.
const PERIOD: Duration = Duration::from_millis(500);
/// Age after which a report is ignored.
const STALE: Duration = Duration::from_secs(3);

/// Newest demand of each entry, by workspace, for the limits that this entry owns.
#[derive(Default)]
pub struct Exchange {
    reports: HashMap<Name, HashMap<Name, (Moment, Demand)>>,
}

impl Exchange {
    /// Records the demand of `entry` and returns its shares.
    fn report(&mut self, config: &Config, entry: &Name, demands: Vec<Demand>, now: Moment) -> Vec<Share> {
        demands
            .into_iter()
            .filter_map(|demand| {
                let workspace = config.workspaces.get(&demand.workspace)?;
                let reports = self.reports.entry(demand.workspace.clone()).or_default();
                reports.insert(entry.clone(), (now, demand));
                reports.retain(|_, (at, _)| now.since(*at) <= STALE);
                Some(share(workspace, reports, entry))
            })
            .collect()
    }
}

fn share(workspace: &Workspace, reports: &HashMap<Name, (Moment, Demand)>, entry: &Name) -> Share {
    let names: Vec<&Name> = reports.keys().collect();
    let own = names.iter().position(|name| *name == entry).unwrap_or(0);
    let of = |rate: f64, demand: fn(&Demand) -> f64| {
        let demands: Vec<f64> = names.iter().map(|name| demand(&reports[*name].1)).collect();
        quota::shares(rate, &demands)[own]
    };
    Share {
        workspace: workspace.name.clone(),
        requests_per_s: workspace.requests_per_s.map(|rate| of(rate, |demand| demand.requests_per_s)),
        tokens_per_s: workspace.tokens_per_s.map(|rate| of(rate, |demand| demand.tokens_per_s)),
    }
}

/// Records a demand report at the owner. Only the threads `members` and `peer` use the lock, so no request
/// waits for it.
pub fn report(shared: &Shared, entry: &Name, demands: Vec<Demand>) -> Vec<Share> {
    let config = shared.config.borrow().clone();
    let mut exchange = shared.exchange.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    exchange.report(&config, entry, demands, util::now())
}

/// Reports this entry's demand periodically and applies the shares that the owners assign.
pub async fn run(shared: &Shared) {
    let own = Name::from(shared.settings.peer_listen.to_string());
    loop {
        tokio::time::sleep(util::jitter(PERIOD)).await;
        let Ok(demands) = shared.ask(Command::Demands).await else { return };
        if demands.is_empty() {
            continue;
        }
        let mut all = shared.peers();
        all.push(own.clone());
        for (owner, demands) in by_owner(&all, demands) {
            let shares = ask_owner(shared, &own, &owner, demands, all.len()).await;
            let _ = shared.kernel.send(Command::Shares(shares)).await;
        }
    }
}

/// Groups demands by the entry that owns the limits of their workspace.
fn by_owner(entries: &[Name], demands: Vec<Demand>) -> HashMap<Name, Vec<Demand>> {
    let mut grouped: HashMap<Name, Vec<Demand>> = HashMap::new();
    for demand in demands {
        let hash = xxhash_rust::xxh3::xxh3_64(demand.workspace.as_bytes());
        if let Some(owner) = coord::pick::chosen(hash, entries.iter(), 1).pop() {
            grouped.entry(owner).or_default().push(demand);
        }
    }
    grouped
}

/// Requests this entry's shares from the owner. If the owner does not answer, the limits are divided
/// equally among the entries.
async fn ask_owner(shared: &Shared, own: &Name, owner: &Name, demands: Vec<Demand>, entries: usize) -> Vec<Share> {
    let config = shared.config.borrow().clone();
    if owner == own {
        return report(shared, own, demands);
    }
    match peer::report(owner, own, &demands).await {
        Ok(shares) => shares,
        Err(error) => {
            warn_event!("limit-owner-unreachable", peer = %owner, reason = %error);
            let equal = |rate: Option<f64>| rate.map(|rate| rate / entries as f64);
            let part = |demand: Demand| {
                let workspace = config.workspaces.get(&demand.workspace)?;
                Some(Share {
                    workspace: demand.workspace,
                    requests_per_s: equal(workspace.requests_per_s),
                    tokens_per_s: equal(workspace.tokens_per_s),
                })
            };
            demands.into_iter().filter_map(part).collect()
        }
    }
}
