//! Selects the replica of a plain service to which a request is sent.
//!
//! The health of a replica is derived from the outcomes of requests, never from health checks. The circuit breaker of a
//! failing replica keeps requests away from it while other replicas are available. The trial requests of a breaker are
//! requests that may be executed more than once.

use std::collections::HashMap;

use coord::breaker::Breaker;
use coord::name::Name;
use coord::replica_load::{Load, Rank};
use coord::roster::{Record, Roster};
use coord::route::Idempotency;

use super::now;
use crate::{config, util};

/// Weight of an error response as a failure of the replica. Some services fail one valid request in seven, so only
/// several error responses within seconds open the breaker.
pub const ERROR_RESPONSE_WEIGHT: f64 = 0.25;
/// Weight of a refusal. That a refused request was not executed is no fault of the replica; but a replica that
/// refuses at once always has the fewest requests and would otherwise get all new ones.
pub const REFUSAL_WEIGHT: f64 = 0.5;
/// Weight of a missing response, or of a response that belongs to another request.
pub const NO_RESPONSE_WEIGHT: f64 = 1.0;

/// Selects replicas and tracks their load and failures.
pub struct ReplicaPicker {
    local_failure_domain: Name,
    /// Whether replicas in the local failure domain are preferred among equally loaded ones.
    prefers_local: bool,
    /// Whether circuit breakers keep requests away from failing replicas.
    has_breakers: bool,
    /// Whether replicas are ranked by an estimate of their load from recent reports.
    has_balancing: bool,
    loads: HashMap<Name, Load>,
    breakers: HashMap<Name, Breaker>,
}

impl ReplicaPicker {
    /// Creates a picker for an entry in the given failure domain.
    pub fn new(local_failure_domain: Name, policy: &config::Policy) -> Self {
        Self {
            local_failure_domain,
            prefers_local: policy.prefer_own_domain,
            has_breakers: policy.plain_breakers,
            has_balancing: false,
            loads: HashMap::new(),
            breakers: HashMap::new(),
        }
    }

    /// Sets whether replicas are ranked by an estimate of their load from recent reports.
    pub fn set_balancing(&mut self, has_balancing: bool) {
        self.has_balancing = has_balancing;
    }

    /// Selects a replica among those for which `is_eligible` returns true: the one with the best breaker state, then
    /// with the least load, then in the local failure domain.
    pub fn pick(
        &self,
        roster: &Roster,
        service: &str,
        repeat: Idempotency,
        is_eligible: impl Fn(&Name) -> bool,
    ) -> Option<Record> {
        let candidates = roster.usable(service).filter(|record| is_eligible(&record.id));
        // Entries that know equally little must not all select the same replica.
        let salt = if self.has_balancing { util::incarnation().0 } else { 0 };
        let key = |record: &&Record| {
            (
                self.breaker_rank(&record.id, repeat),
                self.load_rank(&record.id),
                self.prefers_local && record.failure_domain != self.local_failure_domain,
                coord::pick::rendezvous(salt, &record.id),
            )
        };
        candidates.min_by_key(key).cloned()
    }

    /// Ranks a replica by its load; the lowest rank is selected first. Without balancing, the rank is the number of
    /// requests of this entry, then the number that the replica last reported.
    fn load_rank(&self, replica: &Name) -> (Rank, u32) {
        let load = self.loads.get(replica).copied().unwrap_or_default();
        if self.has_balancing {
            return (load.rank(now()), 0);
        }
        (Rank { is_full: false, requests: load.own_requests() }, load.reported_requests())
    }

    /// Ranks a replica by the state of its breaker; the lowest rank is selected first. A replica on trial ranks
    /// before healthy ones for requests that may be executed more than once, and after them for other requests. A
    /// replica whose breaker is open ranks last, but is selected if there is no other.
    fn breaker_rank(&self, replica: &Name, repeat: Idempotency) -> u8 {
        let Some(breaker) = self.breakers.get(replica) else { return 1 };
        let now = now();
        match (breaker.allows_request(now), breaker.is_half_open(now), repeat) {
            (false, _, _) => 3,
            (true, true, Idempotency::Safe) => 0,
            (true, true, Idempotency::Once) => 2,
            (true, false, _) => 1,
        }
    }

    /// Records a failed request at a replica. `share`, from 0 to 1, is the weight of the failure.
    pub fn record_failure(&mut self, replica: &Name, share: f64) {
        if !self.has_breakers {
            return;
        }
        let breaker = self.breakers.entry(replica.clone()).or_default();
        breaker.record_failure(share, now());
        crate::event!("doubt", peer = %replica, share, admitted = breaker.allows_request(now()));
    }

    /// Records a successful request at a replica.
    pub fn record_success(&mut self, replica: &Name) {
        if let Some(breaker) = self.breakers.get_mut(replica) {
            breaker.record_success(now());
        }
    }

    /// Discards the failures and the reported load of a replica that was restarted under the same id.
    pub fn forget(&mut self, replica: &Name) {
        self.breakers.remove(replica);
        if let Some(load) = self.loads.get_mut(replica) {
            load.forget_reports();
        }
    }

    /// Records the start of a request at a replica.
    pub fn begin_request(&mut self, replica: &Name) {
        if let Some(breaker) = self.breakers.get_mut(replica) {
            breaker.record_request(now());
        }
        self.loads.entry(replica.clone()).or_default().begin_request();
    }

    /// Records the end of a request at a replica.
    pub fn end_request(&mut self, replica: &Name) {
        if let Some(load) = self.loads.get_mut(replica) {
            load.end_request();
        }
    }

    /// Records the number of requests that a replica reported as its load.
    pub fn record_load(&mut self, replica: &Name, load: u32) {
        self.loads.entry(replica.clone()).or_default().record_report(load, now());
    }

    /// Records that a replica refused a request.
    pub fn record_refusal(&mut self, replica: &Name) {
        self.loads.entry(replica.clone()).or_default().record_refusal(now());
    }
}
