//! Derives from a deployment's settings and configuration which planner features it needs.
//!
//! Most deployments have capacity for all callers, close to each of them, and need none of the features.
//! They are needed in two cases. The operator declares that callers compete for capacity. Or the failure domains are so
//! far apart that a domain under load cannot use the idle engines of the others in time, so that its callers compete.

use std::time::Duration;

use crate::planner::Features;
use crate::route::{Route, Service, Table};

/// Largest share of the strictest first-event target that round trips to the farthest engine may take while distances
/// are ignored. A larger share exceeds the error of a prediction, so that near and far engines must be distinguished.
const MAX_NEGLIGIBLE_SHARE: f64 = 0.05;
/// One-way trips until the first event: two to set up the connection, one for the request and one for the event.
const TRIPS_TO_FIRST_EVENT: u32 = 4;

/// Returns the planner features that a deployment needs. `has_contention` tells that the operator declares that callers
/// compete for capacity.
pub fn required_features(table: &Table, has_contention: bool) -> Features {
    let is_needed = has_contention || table.services().any(|service| is_spread_out(table, service));
    Features {
        forecasts: is_needed,
        reservations: is_needed,
        fair_shares: is_needed,
        spreading: is_needed,
        plain_balancing: is_needed,
    }
}

/// Returns whether the distances between the failure domains take a considerable part of the first-event targets of a
/// service with engines.
fn is_spread_out(table: &Table, service: &Service) -> bool {
    let round_trips = service.distances.max() * TRIPS_TO_FIRST_EVENT;
    strictest_target(table, service).is_some_and(|target| round_trips > target.mul_f64(MAX_NEGLIGIBLE_SHARE))
}

/// Returns the strictest first-event target among the streaming routes of a service.
fn strictest_target(table: &Table, service: &Service) -> Option<Duration> {
    let has_service = |route: &&Route| route.shares.iter().any(|share| share.service == service.name);
    let routes = table.routes().filter(|route| route.streaming).filter(has_service);
    routes.map(|route| route.latency_target).filter(|target| !target.is_zero()).min()
}
