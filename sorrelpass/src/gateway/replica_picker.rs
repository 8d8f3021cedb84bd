//! Selects the replica of a plain service to which a request is sent.
//!
//! The health of a replica is derived from the outcomes of requests, never from health checks. The circuit breaker of a
//! failing replica keeps requests away from it while other replicas are available. The trial requests of a breaker are
//! requests that may be executed more than once.

use std::collections::HashMap;

use coord::breaker::Breaker;
use coord::name::Name;
use coord::roster::{Record, Roster};
use coord::route::Idempotency;

use super::now;
use crate::config;

/// Weight of an error response as a failure of the replica. Some services fail one valid request in seven, so only
/// several error responses within seconds open the breaker.
pub const ERROR_RESPONSE_WEIGHT: f64 = 0.25;
/// Weight of a refusal. That a refused request was not executed is no fault of the replica; but a replica that
/// refuses at once always has the fewest requests and would otherwise get all new ones.
pub const REFUSAL_WEIGHT: f64 = 0.5;
/// Weight of a missing response, or of a response that belongs to another request.
pub const NO_RESPONSE_WEIGHT: f64 = 1.0;

/// Load of one replica as this entry knows it.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Number of this entry's requests at the replica.
    own_requests: u32,
    /// Number of all entries' requests at the replica, as reported in its last response.
    reported_requests: u32,
}

/// Selects replicas and tracks their load and failures.
pub struct ReplicaPicker {
    local_failure_domain: Name,
    /// Whether replicas in the local failure domain are preferred among equally loaded ones.
    prefers_local: bool,
    /// Whether circuit breakers keep requests away from failing replicas.
    has_breakers: bool,
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
            loads: HashMap::new(),
            breakers: HashMap::new(),
        }
    }

    /// Selects a replica among those for which `is_eligible` returns true: the one with the best breaker state, then
    /// with the fewest requests of this entry, then with the fewest reported requests, then in the local failure
    /// domain.
    pub fn pick(
        &self,
        roster: &Roster,
        service: &str,
        repeat: Idempotency,
        is_eligible: impl Fn(&Name) -> bool,
    ) -> Option<Record> {
        let candidates = roster.usable(service).filter(|record| is_eligible(&record.id));
        let key = |record: &&Record| {
            let load = self.loads.get(&record.id).copied().unwrap_or_default();
            let breaker_rank = self.breaker_rank(&record.id, repeat);
            (
                breaker_rank,
                load.own_requests,
                load.reported_requests,
                self.prefers_local && record.failure_domain != self.local_failure_domain,
                coord::pick::rendezvous(0, &record.id),
            )
        };
        candidates.min_by_key(key).cloned()
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
            load.reported_requests = 0;
        }
    }

    /// Records the start of a request at a replica.
    pub fn begin_request(&mut self, replica: &Name) {
        if let Some(breaker) = self.breakers.get_mut(replica) {
            breaker.record_request(now());
        }
        self.loads.entry(replica.clone()).or_default().own_requests += 1;
    }

    /// Records the end of a request at a replica.
    pub fn end_request(&mut self, replica: &Name) {
        if let Some(load) = self.loads.get_mut(replica) {
            load.own_requests = load.own_requests.saturating_sub(1);
        }
    }

    /// Records the number of requests that a replica reported as its load.
    pub fn record_load(&mut self, replica: &Name, load: u32) {
        self.loads.entry(replica.clone()).or_default().reported_requests = load;
    }
}
