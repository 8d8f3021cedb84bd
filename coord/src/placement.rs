//! Placement of model versions and adapters on endpoints, decided by one controller per failure domain under a fenced
//! lease in the log.
//!
//! Every replay ignores records that a controller writes after another process took over its lease, so a suspended
//! controller that resumes has no effect.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fence::{Fence, Lease};
use crate::intent::Config;
use crate::name::{Incarnation, Name};
use crate::time::Moment;

/// Model version and adapters that an endpoint has to load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Artifacts {
    /// Version of the model; if empty, the engine chooses.
    pub version: Name,
    /// Adapters to load together with the model.
    pub adapters: Vec<Name>,
}

/// Order to an endpoint to load a version and adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fence of the lease under which the order was written.
    pub fence: Fence,
    /// Log offset of the order; of two orders with the same fence, the later one is valid.
    pub offset: u64,
    /// Version and adapters to load.
    pub load: Artifacts,
}

/// Record on the control stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A process claims or renews the controller lease of a failure domain.
    Claim {
        /// Failure domain of the lease.
        domain: Name,
        /// Name of the claiming process.
        process: Name,
        /// Incarnation of the claiming process.
        incarnation: Incarnation,
        /// Lease duration, in milliseconds.
        term_ms: u64,
    },
    /// The controller of a failure domain orders endpoints to load versions and adapters.
    Place {
        /// Failure domain of the endpoints.
        domain: Name,
        /// Fence of the controller's lease.
        fence: Fence,
        /// Loads by endpoint name.
        loads: BTreeMap<Name, Artifacts>,
    },
}

/// Leases and orders replayed from the control stream.
#[derive(Debug, Default)]
pub struct Placements {
    next: u64,
    leases: BTreeMap<Name, Lease>,
    orders: BTreeMap<Name, Order>,
}

impl Placements {
    /// Creates the state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replays the record at `offset` with log timestamp `at`, and returns whether it took effect.
    pub fn apply(&mut self, offset: u64, at: Moment, record: Record) -> bool {
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
                let is_valid = self.leases.get(&domain).is_some_and(|lease| lease.is_current_fence(fence));
                if is_valid {
                    loads
                        .into_iter()
                        .for_each(|(endpoint, load)| self.record_order(endpoint, Order { fence, offset, load }));
                }
                is_valid
            }
        }
    }

    fn record_order(&mut self, endpoint: Name, order: Order) {
        if let Some(previous) = self.orders.get(&endpoint) {
            crate::invariant!(order.offset > previous.offset, "orders follow the log");
        }
        self.orders.insert(endpoint, order);
    }

    /// Skips all records before `offset`.
    pub fn skip_to(&mut self, offset: u64) {
        self.next = self.next.max(offset);
    }

    /// Returns the offset of the next record to read.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Returns the lease of a failure domain, or `None` if it was never claimed.
    pub fn lease(&self, domain: &str) -> Option<&Lease> {
        self.leases.get(domain)
    }

    /// Returns the valid order to an endpoint.
    pub fn order_for(&self, endpoint: &str) -> Option<&Order> {
        self.orders.get(endpoint)
    }

    /// Returns the valid orders by endpoint name.
    pub fn orders(&self) -> &BTreeMap<Name, Order> {
        &self.orders
    }
}

/// Returns what the intents require the endpoints of `service` to load, or `None` if no intent uses the service. The
/// adapters of several intents are merged; the first version stated is used.
pub fn desired_load(config: &Config, service: &str) -> Option<Artifacts> {
    let mut intents = config.intents.values().filter(|intent| *intent.service == *service).peekable();
    intents.peek()?;
    let mut load = Artifacts::default();
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

/// Endpoint as its controller sees it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: Name,
    /// Service that the endpoint belongs to.
    pub service: Name,
    /// Load that the endpoint reported; `None` before its first report.
    pub loaded: Option<Artifacts>,
}

/// Returns the next orders of a rolling update. At most `share` of each service's endpoints, but at least one, change
/// at a time; further ones follow once those report that they hold the ordered load.
pub fn roll_out(
    config: &Config,
    endpoints: &[Endpoint],
    orders: &BTreeMap<Name, Order>,
    share: f64,
) -> BTreeMap<Name, Artifacts> {
    let mut by_service: BTreeMap<&Name, Vec<&Endpoint>> = BTreeMap::new();
    for endpoint in endpoints {
        by_service.entry(&endpoint.service).or_default().push(endpoint);
    }
    let mut next_orders = BTreeMap::new();
    for (service, endpoints) in by_service {
        let Some(load) = desired_load(config, service) else { continue };
        let is_ordered = |endpoint: &&&Endpoint| orders.get(&endpoint.name).is_some_and(|order| order.load == load);
        let pending_count =
            endpoints.iter().filter(|endpoint| is_ordered(endpoint) && endpoint.loaded.as_ref() != Some(&load)).count();
        let max_pending = ((endpoints.len() as f64 * share) as usize).max(1);
        let unordered =
            endpoints.iter().filter(|endpoint| !is_ordered(endpoint)).take(max_pending.saturating_sub(pending_count));
        next_orders.extend(unordered.map(|endpoint| (endpoint.name.clone(), load.clone())));
    }
    next_orders
}
