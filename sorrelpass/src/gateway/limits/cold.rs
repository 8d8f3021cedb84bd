//! Cold replicas, which accept fewer requests from all entries together for a while after their start.
//!
//! A cold replica is rate-limited until the time at which it is no longer cold.

use std::collections::BTreeMap;
use std::rc::Rc;

use coord::name::Name;
use coord::time::Moment;

use super::super::now;
use super::super::state::Gateway;

/// Updates the set of cold replicas. Returns the replicas that are no longer cold.
pub(super) fn update_cold(gateway: &Gateway) -> Vec<Name> {
    let mut cold = BTreeMap::new();
    let roster = gateway.roster.borrow();
    for service in gateway.table().services() {
        let Some(limit) = service.cold else { continue };
        let replicas = roster.cold(&service.name, limit.duration, now());
        cold.extend(replicas.map(|(id, _)| (id.clone(), limit.rate)));
    }
    drop(roster);
    if !cold.is_empty() {
        gateway.limits.cold_changed.notify_one();
    }
    let previous = gateway.limits.cold.replace(cold);
    let cold = gateway.limits.cold.borrow();
    previous.into_keys().filter(|replica| !cold.contains_key(replica)).collect()
}

/// Background task that removes the rate limit of each replica when the replica is no longer cold.
pub async fn expire_cold_limits(gateway: Rc<Gateway>) {
    loop {
        match next_cold_end(&gateway) {
            Some(cold_end) => tokio::time::sleep(cold_end.since(now())).await,
            None => gateway.limits.cold_changed.notified().await,
        }
        super::apply(&gateway);
    }
}

/// Returns the time at which the next replica is no longer cold, or `None` if no replica is cold.
fn next_cold_end(gateway: &Gateway) -> Option<Moment> {
    let roster = gateway.roster.borrow();
    let table = gateway.table();
    let services = table.services().filter_map(|service| Some((service, service.cold?)));
    let cold = services.flat_map(|(service, limit)| roster.cold(&service.name, limit.duration, now()));
    cold.map(|(_, until)| until).min()
}
