//! Placement: which endpoint holds which version and adapters, decided by one controller
//! per failure domain under a fenced lease on the log.
//!
//! What a holder writes after its lease was taken over is void in every replay, so a paused
//! holder that wakes changes nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fence::{Fence, Lease};
use crate::intent::Config;
use crate::name::{Incarnation, Name};
use crate::time::Moment;

/// What an endpoint is to hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The model's version; empty leaves it to the engine.
    pub version: Name,
    /// Adapters beside it.
    pub adapters: Vec<Name>,
}

/// An order to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fence under which it was written.
    pub fence: Fence,
    /// Offset of the record; of two orders under one fence the later counts.
    pub offset: u64,
    /// What the endpoint is to hold.
    pub load: Load,
}

/// A record on the control stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A process claims the controller lease of a failure domain, or renews it.
    Claim {
        /// The failure domain.
        domain: Name,
        /// The process.
        process: Name,
        /// Its run.
        incarnation: Incarnation,
        /// For how long, in milliseconds.
        term_ms: u64,
    },
    /// The controller of a failure domain places loads.
    Place {
        /// The failure domain.
        domain: Name,
        /// The fence of the controller's lease.
        fence: Fence,
        /// Loads by endpoint.
        loads: BTreeMap<Name, Load>,
    },
}

/// Leases and orders, as replayed from the control stream.
#[derive(Debug, Default)]
pub struct Board {
    next: u64,
    leases: BTreeMap<Name, Lease>,
    orders: BTreeMap<Name, Order>,
}

impl Board {
    /// Nothing replayed yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replays the record at `offset`, stamped `at` by the log; whether it took effect.
    pub fn replay(&mut self, offset: u64, at: Moment, record: Record) -> bool {
        if offset < self.next {
            return false;
        }
        self.next = offset + 1;
        match record {
            Record::Claim { domain, process, incarnation, term_ms } => {
                let lease = self.leases.entry(domain).or_default();
                lease.replay(&process, incarnation, offset, at, Duration::from_millis(term_ms))
            }
            Record::Place { domain, fence, loads } => {
                let counts = self.leases.get(&domain).is_some_and(|lease| lease.counts(fence));
                if counts {
                    loads.into_iter().for_each(|(endpoint, load)| self.order(endpoint, Order { fence, offset, load }));
                }
                counts
            }
        }
    }

    fn order(&mut self, endpoint: Name, order: Order) {
        if let Some(before) = self.orders.get(&endpoint) {
            crate::invariant!(order.offset > before.offset, "orders follow the log");
        }
        self.orders.insert(endpoint, order);
    }

    /// Passes over everything before `offset`.
    pub fn skip_to(&mut self, offset: u64) {
        self.next = self.next.max(offset);
    }

    /// The next offset to read.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The lease of a failure domain.
    pub fn lease(&self, domain: &str) -> Option<&Lease> {
        self.leases.get(domain)
    }

    /// The order to an endpoint that counts.
    pub fn order_to(&self, endpoint: &str) -> Option<&Order> {
        self.orders.get(endpoint)
    }

    /// All orders that count, by endpoint.
    pub fn orders(&self) -> &BTreeMap<Name, Order> {
        &self.orders
    }
}

/// What a service's endpoints are to hold, by the intents; with several intents the adapters add up.
pub fn wanted(config: &Config, service: &str) -> Option<Load> {
    let mut intents = config.intents.values().filter(|intent| *intent.service == *service).peekable();
    intents.peek()?;
    let mut load = Load::default();
    for intent in intents {
        if load.version.is_empty() {
            load.version = intent.version.clone();
        }
        load.adapters.extend(intent.adapters.iter().cloned());
    }
    load.adapters.sort_unstable();
    load.adapters.dedup();
    Some(load)
}

/// An endpoint as its controller sees it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its name.
    pub name: Name,
    /// Its service.
    pub service: Name,
    /// What it said it holds, if it said so.
    pub holds: Option<Load>,
}

/// The next orders of a roll-out: at most `share` of each service's endpoints, and at least
/// one, are ordered at a time, and no others before those hold what they were ordered.
pub fn roll_out(
    config: &Config,
    endpoints: &[Endpoint],
    orders: &BTreeMap<Name, Order>,
    share: f64,
) -> BTreeMap<Name, Load> {
    let mut by_service: BTreeMap<&Name, Vec<&Endpoint>> = BTreeMap::new();
    for endpoint in endpoints {
        by_service.entry(&endpoint.service).or_default().push(endpoint);
    }
    let mut next = BTreeMap::new();
    for (service, endpoints) in by_service {
        let Some(load) = wanted(config, service) else { continue };
        let ordered = |endpoint: &&&Endpoint| orders.get(&endpoint.name).is_some_and(|order| order.load == load);
        let open =
            endpoints.iter().filter(|endpoint| ordered(endpoint) && endpoint.holds.as_ref() != Some(&load)).count();
        let most = ((endpoints.len() as f64 * share) as usize).max(1);
        let rest = endpoints.iter().filter(|endpoint| !ordered(endpoint)).take(most.saturating_sub(open));
        next.extend(rest.map(|endpoint| (endpoint.name.clone(), load.clone())));
    }
    next
}
