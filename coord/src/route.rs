//! Routing table: the service of each request, the workspace of each API key, and limits on callers.
//!
//! A table is immutable; a new version replaces it as a whole.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::distance::Distances;
use crate::engine::Profile;
use crate::name::Name;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be executed any number of times.
    Safe,
    /// The request may be executed at most once.
    Once,
}

/// Share of a route's traffic for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Name,
    /// Weight among the shares of the route; 0 sends no traffic to the service.
    pub weight: f64,
}

/// Route, selected by host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host in the request.
    pub host: Name,
    /// Path prefix, with a trailing slash.
    pub prefix: Name,
    /// Whether requests may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether responses are event streams.
    pub streaming: bool,
    /// Whether another replica may continue a stream after the last event delivered.
    pub resumable: bool,
    /// Maximum time that the system holds a request.
    pub timeout: Duration,
    /// Target latency of the response, or of the first event of a stream.
    pub latency_target: Duration,
    /// Target for the longest gap between two events; zero if not configured.
    pub gap_target: Duration,
    /// Maximum number of replicas that may execute one request.
    pub max_attempts: u32,
    /// Priority among routes; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Services that receive the traffic of the route.
    pub shares: Vec<WeightedService>,
}

/// Minimum time that callers wait for the next event of a stream, including the first.
const MIN_CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum waiting time of callers as a multiple of the target latency, as stated in the users' protocol
/// documentation.
const CLIENT_TIMEOUT_LATENCY_FACTOR: u32 = 4;
/// Minimum waiting time of callers as a multiple of the target gap, as stated in the users' protocol documentation.
const CLIENT_TIMEOUT_GAP_FACTOR: u32 = 8;

impl Route {
    /// Returns how long callers wait for the first event of a stream before they give up.
    pub fn client_timeout(&self) -> Duration {
        MIN_CLIENT_TIMEOUT
            .max(self.latency_target * CLIENT_TIMEOUT_LATENCY_FACTOR)
            .max(self.gap_target * CLIENT_TIMEOUT_GAP_FACTOR)
    }

    /// Returns the service for a request with the random number `point`, uniform in 0..1; `None` if all weights are
    /// zero.
    pub fn choose_service(&self, point: f64) -> Option<&Name> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        if total <= 0.0 {
            return None;
        }
        let mut remaining = point.clamp(0.0, 1.0) * total;
        for share in &self.shares {
            remaining -= share.weight;
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.iter().rev().find(|share| share.weight > 0.0).map(|share| &share.service)
    }

    /// Returns whether a request may be sent again after it may have been executed.
    pub fn is_retryable(&self) -> bool {
        self.idempotency == Idempotency::Safe || self.resumable
    }
}

/// Service whose replicas give equivalent answers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Path at which its replicas answer about their health; `None` if they do not.
    pub health_path: Option<Name>,
    /// Maximum number of connections to one replica from all callers together.
    pub max_connections: u32,
    /// Engine parameters; `None` for a plain service.
    pub engine: Option<Arc<Profile>>,
    /// Limit of cold replicas; `None` if they accept as many requests as warm ones.
    pub cold: Option<ColdLimit>,
    /// Network distances between the failure domains of its replicas.
    pub distances: Distances,
}

/// Reduced limit of a replica that is cold: for a while after its start, and whenever it reports so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests per second from all entries together.
    pub rate: f64,
    /// Duration of the cold period after a start.
    pub duration: Duration,
}

/// Workspace that an API key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Name,
    /// Priority of the workspace, which ranks before the route's priority.
    pub priority: Option<u32>,
}

/// Number of priorities; each is below it.
const PRIORITY_LEVELS: u32 = 10;
/// Priority of a workspace that sets none: the middle of the range.
const DEFAULT_WORKSPACE_PRIORITY: u32 = 5;

/// Returns the priority of a request; 0 is the most urgent. The priority of its workspace, which is `None` if it sets
/// none, decides first, and the priority of its route among equal workspaces.
pub fn combine_priorities(workspace: Option<u32>, route: u32) -> u32 {
    workspace.unwrap_or(DEFAULT_WORKSPACE_PRIORITY) * PRIORITY_LEVELS + route.min(PRIORITY_LEVELS - 1)
}

/// Limits on requests from callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub header_timeout: Duration,
    /// Maximum idle time of a kept-alive connection.
    pub idle_timeout: Duration,
}

/// Immutable version of the routing table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    version: u64,
    hosts: HashMap<Name, Vec<Route>>,
    services: HashMap<Name, Service>,
    keys: HashMap<Name, Workspace>,
    keyed: bool,
    limits: Option<Limits>,
}

/// Reason for rejecting a request during routing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// No route of the host matches the path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
}

impl Table {
    /// Creates a table. `keyed` states whether routes that are not public require an API key.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        keys: HashMap<Name, Workspace>,
        keyed: bool,
        limits: Option<Limits>,
    ) -> Self {
        let mut hosts: HashMap<Name, Vec<Route>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            // The longest prefix comes first, so that the first match is the most specific one.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|service| (service.name.clone(), service)).collect();
        Self { version, hosts, services, keys, keyed, limits }
    }

    /// Returns the version; 0 before a table was read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers, or `None` before they are known.
    pub fn limits(&self) -> Option<Limits> {
        self.limits
    }

    /// Returns the route for a host and a path.
    pub fn route(&self, host: &str, path: &str) -> Result<&Route, RouteError> {
        let routes = self.hosts.get(host).ok_or(RouteError::NoRoute)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix)).ok_or(RouteError::NoRoute)
    }

    /// Returns whether requests on `route` require an API key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.keyed && !route.public
    }

    /// Returns the workspace that `key` belongs to.
    pub fn workspace(&self, key: Option<&str>) -> Result<&Workspace, RouteError> {
        key.and_then(|key| self.keys.get(key)).ok_or(RouteError::UnknownKey)
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Iterates over all routes in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flatten()
    }

    /// Iterates over all services in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the numbers of routes, services and keys, for log lines.
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.hosts.values().map(Vec::len).sum(), self.services.len(), self.keys.len())
    }
}
