//! The routing table: which service a call goes to, whom a key stands for, and the limits on callers.
//!
//! A table is immutable; a new version replaces it whole.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::engine::Figures;
use crate::name::Name;

/// Whether a request may run again after it may have run once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may run any number of times.
    Safe,
    /// It may run at most once.
    Once,
}

/// Part of a route's traffic that goes to one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// Its weight among the route's shares; 0 sends nothing there.
    pub weight: f64,
}

/// One route: a host and a path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: Name,
    /// The host that callers name.
    pub host: Name,
    /// What the path begins with; ends in a slash.
    pub prefix: Name,
    /// Whether requests may run again.
    pub repeat: Repeat,
    /// Whether answers are streams of events.
    pub streaming: bool,
    /// Whether a stream may go on at another replica after the last event passed on.
    pub resumable: bool,
    /// Longest time for which a request is held.
    pub timeout: Duration,
    /// Time to an answer, or to a stream's first event, that callers want.
    pub aim: Duration,
    /// Longest pause between two events that callers want; zero where none is told.
    pub gap_aim: Duration,
    /// Most replicas that may run one request.
    pub max_attempts: u32,
    /// Rank among routes; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// The services behind it.
    pub shares: Vec<Share>,
}

/// Callers wait at least so long for a stream's next event, the first included …
const LEAST_PATIENCE: Duration = Duration::from_secs(2);
/// … at least this many times the aim …
const AIMS_OF_PATIENCE: u32 = 4;
/// … and this many times the longest pause that they want. The users' protocol page says so.
const GAPS_OF_PATIENCE: u32 = 8;

impl Route {
    /// How long callers wait for a stream's first event before they give up.
    pub fn patience(&self) -> Duration {
        LEAST_PATIENCE.max(self.aim * AIMS_OF_PATIENCE).max(self.gap_aim * GAPS_OF_PATIENCE)
    }

    /// The service for a request that drew `point`, uniform in 0..1.
    pub fn pick(&self, point: f64) -> Option<&Name> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        if total <= 0.0 {
            return None;
        }
        let mut left = point.clamp(0.0, 1.0) * total;
        for share in &self.shares {
            left -= share.weight;
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.iter().rev().find(|share| share.weight > 0.0).map(|share| &share.service)
    }

    /// Whether a request may be sent again after it may have run.
    pub fn repeatable(&self) -> bool {
        self.repeat == Repeat::Safe || self.resumable
    }
}

/// A service: replicas that answer alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: Name,
    /// Connections that one replica takes from all callers together.
    pub max_connections: u32,
    /// Sizes and speeds of its engines; none for a plain service.
    pub engine: Option<Arc<Figures>>,
    /// What a replica takes while it is cold; none if it takes no less than later.
    pub cold: Option<Cold>,
}

/// What a replica takes that is cold: for a while after its start, and whenever it says so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Requests a second from all entries together.
    pub rate: f64,
    /// How long it stays cold after its start.
    pub lasts: Duration,
}

/// Who a key stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// The workspace's name.
    pub name: Name,
    /// Its rank, which outranks the route's where given.
    pub priority: Option<u32>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a request head may take.
    pub header_timeout: Duration,
    /// Longest rest of a kept connection.
    pub idle_timeout: Duration,
}

/// One version of the routing table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    version: u64,
    hosts: HashMap<Name, Vec<Route>>,
    services: HashMap<Name, Service>,
    keys: HashMap<Name, Workspace>,
    keyed: bool,
    limits: Option<Limits>,
}

/// Why a request has no route here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No route of this host begins the path.
    NoRoute,
    /// The key is missing or stands for nobody.
    UnknownKey,
}

impl Table {
    /// A table of one version. `keyed` tells whether routes that are not public need a key.
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
            // The longest prefix comes first, so that the first match decides.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|service| (service.name.clone(), service)).collect();
        Self { version, hosts, services, keys, keyed, limits }
    }

    /// The version; 0 before any table was read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The bounds on callers, once known.
    pub fn limits(&self) -> Option<Limits> {
        self.limits
    }

    /// The route for a host and a path.
    pub fn route(&self, host: &str, path: &str) -> Result<&Route, Denied> {
        let routes = self.hosts.get(host).ok_or(Denied::NoRoute)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix)).ok_or(Denied::NoRoute)
    }

    /// Whether a request on `route` needs a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.keyed && !route.public
    }

    /// Whom `key` stands for.
    pub fn workspace(&self, key: Option<&str>) -> Result<&Workspace, Denied> {
        key.and_then(|key| self.keys.get(key)).ok_or(Denied::UnknownKey)
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Numbers for log lines: routes, services and keys.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.hosts.values().map(Vec::len).sum(), self.services.len(), self.keys.len())
    }
}
