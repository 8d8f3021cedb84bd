//! Replicas that are cold: for a while they take fewer requests than they will, from all entries together.
//!
//! Such a replica counts as one that names a limit, until the moment at which it is cold no more.

use std::collections::BTreeMap;
use std::rc::Rc;

use coord::name::Name;
use coord::time::Moment;

use super::super::now;
use super::super::state::Gateway;

/// Notes which replicas are cold now; returns those that were and are not any more.
pub(super) fn refresh(gateway: &Gateway) -> Vec<Name> {
    let mut cold = BTreeMap::new();
    let roster = gateway.roster.borrow();
    for service in gateway.table().services() {
        let Some(limit) = service.cold else { continue };
        let replicas = roster.cold(&service.name, limit.lasts, now());
        cold.extend(replicas.map(|(id, _)| (id.clone(), limit.rate)));
    }
    drop(roster);
    if !cold.is_empty() {
        gateway.limits.chilled.notify_one();
    }
    let before = gateway.limits.cold.replace(cold);
    let cold = gateway.limits.cold.borrow();
    before.into_keys().filter(|replica| !cold.contains_key(replica)).collect()
}

/// Lifts the limits of replicas that are cold no more, for as long as the process lives.
pub async fn thaw(gateway: Rc<Gateway>) {
    loop {
        match next_warm(&gateway) {
            Some(at) => tokio::time::sleep(at.since(now())).await,
            None => gateway.limits.chilled.notified().await,
        }
        super::apply(&gateway);
    }
}

/// When the next replica will be cold no more.
fn next_warm(gateway: &Gateway) -> Option<Moment> {
    let roster = gateway.roster.borrow();
    let table = gateway.table();
    let services = table.services().filter_map(|service| Some((service, service.cold?)));
    let cold = services.flat_map(|(service, limit)| roster.cold(&service.name, limit.lasts, now()));
    cold.map(|(_, until)| until).min()
}
