//! Rate limits that replicas set: the register of this entry, its synchronization with other entries, and its
//! enforcement.
//!
//! Every entry keeps a register of the limits in replicas' responses, and receives the limits that other entries see
//! through the leader. A limit applies to all entries together, so the leader does the accounting: for engines with
//! each grant ([`coord::planner`]), and for replicas of plain services with permits ([`permit`]). Requests to replicas
//! without a limit need no permit.

mod cold;
mod permit;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use coord::limit::{GroupSize, RelayedReport, ReplicaLimits, TimedReport, TokenBucket};
use coord::name::Name;
use coord::roster::Record;
use coord::time::Moment;
use platform::headers;
use tokio::sync::Notify;

pub use self::cold::expire_cold_limits;
use self::permit::PermitRequests;
pub use self::permit::take_permit;
use super::now;
use super::peer_protocol::{FollowerMessage, LeaderMessage, Permit};
use super::quarantine::Source;
use super::state::Gateway;
use crate::{event, metric, warn_event};

/// Maximum number of reports in a message. A report has about 30 bytes, so that a message stays below 32 KB.
const MAX_REPORTS_PER_MESSAGE: usize = 512;

/// Rate limits as this entry knows them.
#[derive(Default)]
pub struct Limits {
    register: RefCell<ReplicaLimits>,
    /// Cold replicas, with their rate limit while they are cold, in requests per second.
    cold: RefCell<BTreeMap<Name, f64>>,
    /// Notified when the set of cold replicas may have changed.
    cold_changed: Notify,
    /// Remaining allowances of plain replicas, from which this entry grants permits while it is the leader or has no
    /// leader.
    allowances: RefCell<HashMap<Name, TokenBucket>>,
    /// Replicas that have no permit for this entry before the given time.
    no_permit_until: RefCell<HashMap<Name, Moment>>,
    /// Replicas whose limit could not be parsed.
    unparsable: RefCell<HashSet<Name>>,
    /// Permit requests of this entry that the leader has not answered.
    permit_requests: PermitRequests,
    /// Recent sizes of the group of entries with the same leader.
    group: Cell<GroupSize>,
    /// Number of entries in the store at the last read.
    stored_entries: Cell<usize>,
}

impl Limits {
    /// Returns whether a rate limit applies to a replica now.
    pub fn is_limited(&self, replica: &str) -> bool {
        self.rate_limit(replica).is_some()
    }

    /// Returns the rate limit of a replica over all entries, in requests per second: the lower of the limit that the
    /// replica sets and the limit while it is cold.
    fn rate_limit(&self, replica: &str) -> Option<f64> {
        let reported = self.register.borrow().rate(replica);
        let cold = self.cold.borrow().get(replica).copied();
        reported.into_iter().chain(cold).reduce(f64::min)
    }

    /// Records the size of the group of entries with the same leader.
    pub fn record_group_size(&self, entries: usize) {
        let mut group = self.group.get();
        group.record_size(entries, now());
        self.group.set(group);
    }

    /// Records the number of entries in the store.
    pub fn record_stored_entries(&self, entries: usize) {
        self.stored_entries.set(entries);
    }

    /// Removes the limit that a replica set before it restarted.
    pub fn reset_replica(&self, replica: &Name) {
        if self.register.borrow_mut().reset_for_restart(replica, now()) {
            event!("limit", peer = %replica, rate = ?None::<f64>, reason = "restarted");
        }
    }

    /// Removes a replica that is gone. Limits of replicas that are not known yet are kept, since a starting entry
    /// receives limits before it has read the replicas' records.
    pub fn forget(&self, replica: &Name) {
        self.unparsable.borrow_mut().remove(replica);
        self.no_permit_until.borrow_mut().remove(replica);
        self.register.borrow_mut().remove(replica);
    }

    /// Returns the full register for another entry, split into messages.
    pub fn sync_messages(&self) -> Vec<Vec<RelayedReport>> {
        self.register
            .borrow()
            .relayed_reports(now())
            .chunks(MAX_REPORTS_PER_MESSAGE)
            .map(<[RelayedReport]>::to_vec)
            .collect()
    }

    /// Grants a permit of the replica in `replicas` that has the earliest one, if it is due within `max_wait`.
    /// Otherwise returns the time until it is due. A replica without a limit always has a permit.
    pub fn grant_permit(&self, replicas: &[Name], max_wait: Duration) -> Result<Permit, Duration> {
        let now = now();
        let mut allowances = self.allowances.borrow_mut();
        let wait =
            |name: &Name| allowances.get(name).map_or(Duration::ZERO, |allowance| allowance.time_until_next(now));
        let earliest = replicas.iter().map(|name| (wait(name), name)).min_by_key(|(wait, _)| *wait);
        let Some((delay, replica)) = earliest else { return Err(Duration::ZERO) };
        if delay > max_wait {
            return Err(delay);
        }
        if let Some(allowance) = allowances.get_mut(replica) {
            allowance.take(now);
        }
        Ok(Permit { replica: replica.clone(), after: delay })
    }

    /// Handles the leader's answer to a permit request.
    pub fn handle_permit(&self, number: u64, permit: Result<Permit, Duration>) {
        self.permit_requests.complete(number, permit);
    }
}

/// Applies the rate limit in a replica's response to a request that was sent at `sent_at`.
pub fn observe_response(gateway: &Gateway, record: &Record, response: &headers::ResponseHead, sent_at: Moment) {
    if !response.is_authoritative() {
        return;
    }
    let replica = &record.id;
    match response.rate_limit {
        Ok(rate) if rate.is_none() && !gateway.limits.is_limited(replica) => {}
        Ok(rate) => {
            let report = TimedReport { rate, requested_at: sent_at, received_at: now() };
            apply_updates(gateway, vec![RelayedReport::of(replica, &report, now())], Source::Own);
        }
        // The previous limit stays in force. The error is logged once, not for each response.
        Err(error) if gateway.limits.unparsable.borrow_mut().insert(replica.clone()) => {
            warn_event!("limit", peer = %replica, error = %error.0);
        }
        Err(_) => {}
    }
}

/// Applies reports of rate limits, and relays the ones that change a limit.
pub fn apply_updates(gateway: &Gateway, reports: Vec<RelayedReport>, source: Source) {
    let limits = &gateway.limits;
    let now = now();
    let mut changed = Vec::new();
    for report in reports {
        let mut register = limits.register.borrow_mut();
        let previous_rate = register.rate(&report.replica);
        if register.apply(&report.replica, report.timed_report(now)) {
            let age_ms = report.received_ago.as_millis();
            event!("limit", peer = %report.replica, rate = ?report.rate, before = ?previous_rate, source = ?source, age_ms);
            changed.push(report);
        }
    }
    if changed.is_empty() {
        return;
    }
    metric::set_limited_replicas(limits.register.borrow().limited().count());
    let share = usable_share(gateway);
    for report in &changed {
        limits.no_permit_until.borrow_mut().remove(&report.replica);
        apply_limit(gateway, &report.replica, limits.rate_limit(&report.replica), share);
    }
    gateway.admission.propagate(changed, source, FollowerMessage::Limits, LeaderMessage::Limits);
}

/// Applies all known rate limits, and the share of them that this entry may use.
pub fn apply(gateway: &Gateway) {
    let limits = &gateway.limits;
    let share = usable_share(gateway);
    let no_longer_cold = cold::update_cold(gateway);
    limits.allowances.borrow_mut().retain(|replica, _| limits.is_limited(replica));
    let reported: Vec<Name> = limits.register.borrow().limited().map(|(replica, _)| replica.clone()).collect();
    let cold: Vec<Name> = limits.cold.borrow().keys().cloned().collect();
    for replica in no_longer_cold.iter().chain(&reported).chain(&cold) {
        apply_limit(gateway, replica, limits.rate_limit(replica), share);
    }
}

/// Applies the rate limit of one replica.
fn apply_limit(gateway: &Gateway, replica: &Name, rate: Option<f64>, share: f64) {
    gateway.admission.set_rate_limit(replica, rate, share);
    let mut allowances = gateway.limits.allowances.borrow_mut();
    let Some(rate) = rate else {
        allowances.remove(replica);
        return;
    };
    let now = now();
    let new_allowance = || TokenBucket::new(rate, share, rand::random_range(0.0..1.0), now);
    allowances.entry(replica.clone()).or_insert_with(new_allowance).set(rate, share, now);
}

/// Returns the share of each limit that this entry may use: the share of the entries that it plans for.
fn usable_share(gateway: &Gateway) -> f64 {
    let limits = &gateway.limits;
    let entries = gateway.admission.group_size();
    if !gateway.admission.has_leader() {
        limits.record_group_size(entries);
    }
    // A leader knows the size of its group from its followers. An entry without followers knows the number of entries
    // only from the store.
    let known_entries = if entries == 1 { limits.stored_entries.get() } else { 0 };
    limits.group.get().share(entries, known_entries, now())
}

/// Takes over from a leader whose recent grants this entry does not know.
pub fn handle_leader_loss(gateway: &Gateway) {
    let limits = &gateway.limits;
    limits.permit_requests.clear();
    limits.no_permit_until.borrow_mut().clear();
    gateway.admission.reset_limit_accounting();
    let now = now();
    let mut allowances = limits.allowances.borrow_mut();
    allowances.values_mut().for_each(|allowance| allowance.reset(rand::random_range(0.0..1.0), now));
    drop(allowances);
    apply(gateway);
}
