//! Chooses the target of the next attempt: a plain replica, or a team of engines for a prompt.

use std::rc::Rc;
use std::time::Duration;

use coord::name::Name;
use coord::planner::{self, Reason, Rejection, Team};
use coord::roster::Record;
use coord::route::combine_priorities;
use coord::time::Moment;
use platform::headers;

use super::super::admission::{Lease, PlacementError};
use super::super::ingest::EVACUATED_RETRY_AFTER;
use super::super::reservation::{self, Reservation};
use super::super::state::{Gateway, Phase};
use super::super::{backoff, limits, now};
use super::PendingRequest;
use crate::{event, metric};

/// Fraction of the route's latency target that a request may wait for a permit of a rate-limited replica. The rest is
/// left for the replica; plain replicas take about a third of the latency target.
const MAX_PERMIT_WAIT_SHARE: f64 = 0.5;
/// Delay before a prompt is planned again because its memory could not be reserved or one of its engines is gone.
const REPLAN_DELAY: Duration = Duration::from_millis(50);
/// Minimum time that a prompt may wait for engines, even if an earlier attempt has used up its wait time. A free engine
/// is granted within a few milliseconds.
const MIN_GRANT_WAIT: Duration = Duration::from_millis(100);
/// Shortest wait for engines that is logged where engines are reserved; a burst that lasts no longer needs no
/// explanation.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(500);
/// Fraction of the caller's time that a prompt may wait for engines where the planner refuses prompts by forecast. It
/// applies if no refusal arrives.
const MAX_FORECAST_WAIT_SHARE: f64 = 0.65;

/// Maximum fraction of a backoff that is added to the retry delay of refused callers, so that they do not all retry at
/// the same time.
const MAX_BACKOFF_JITTER: f64 = 0.25;
/// Minimum delay before the replicas are checked again.
const MIN_RECHECK_DELAY: Duration = Duration::from_millis(1);

/// Returns the error of a request that is refused because of a backoff. The retry delay has random jitter.
fn backoff_error(backoff: Duration) -> PlacementError {
    let retry_after = backoff.mul_f64(1.0 + rand::random_range(0.0..MAX_BACKOFF_JITTER));
    PlacementError::Refused(Rejection::new(Reason::Backoff, retry_after))
}

/// Destination of an attempt.
pub(super) struct Target {
    /// Replica that receives the request.
    pub record: Record,
    /// Engines that prefill parts of the prompt.
    pub helpers: Vec<headers::Helper>,
    /// Guard of the request's slot at the replica.
    pub slot: ReplicaSlot,
}

/// A request's slot at a replica, which is released on drop.
pub enum ReplicaSlot {
    /// Slot at a plain replica.
    Plain {
        /// Guard of the replica's count of outstanding requests.
        _guard: OutstandingGuard,
    },
    /// Slot at an engine.
    Engine {
        /// Lease of the granted engines.
        lease: Lease,
        /// Memory reservation at other engines, if the prompt exceeds the memory of one engine.
        _reservation: Option<Reservation>,
    },
}

impl ReplicaSlot {
    /// Returns the time without a response after which the engines count as unresponsive, or `None` if it cannot be
    /// predicted.
    pub(super) fn unresponsive_after(&self) -> Option<Duration> {
        match self {
            ReplicaSlot::Engine { lease, .. } => lease.placement.unresponsive_after,
            ReplicaSlot::Plain { .. } => None,
        }
    }

    /// Reports that the engines are unresponsive.
    pub(super) fn report_unresponsive(&self) {
        if let ReplicaSlot::Engine { lease, .. } = self {
            lease.report_unresponsive();
        }
    }

    /// Reports that the first event of the stream has arrived.
    pub fn report_first_event(&self) {
        if let ReplicaSlot::Engine { lease, .. } = self {
            lease.report_first_event();
        }
    }
}

/// Counts one outstanding request at a plain replica until it is dropped.
pub struct OutstandingGuard {
    gateway: Rc<Gateway>,
    replica: Name,
}

impl OutstandingGuard {
    fn begin(gateway: &Rc<Gateway>, replica: &Name) -> Self {
        gateway.replica_picker.borrow_mut().begin_request(replica);
        Self { gateway: gateway.clone(), replica: replica.clone() }
    }
}

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        self.gateway.replica_picker.borrow_mut().end_request(&self.replica);
    }
}

/// A helper of a team, with the number of tokens for which it reserves memory until the response is complete. The
/// number is 0 if the helper only prefills.
struct LocatedHelper {
    helper: headers::Helper,
    reserved_tokens: u64,
}

impl PendingRequest {
    /// Chooses the target of the next attempt. A prompt waits here until engines are granted.
    pub(super) async fn choose_target(&self) -> Result<Target, PlacementError> {
        match self.request_head.prompt_tokens {
            Some(tokens) if self.has_engines() => self.choose_engine_target(tokens).await,
            _ => self.choose_plain_target().await,
        }
    }

    pub(super) fn has_engines(&self) -> bool {
        self.gateway.table().service(&self.service).is_some_and(|service| service.engine.is_some())
    }

    /// Chooses the best plain replica. A rate-limited replica is used if it has a permit at once. If all replicas are
    /// rate-limited, the request waits for the first permit that is available in time, or is refused.
    async fn choose_plain_target(&self) -> Result<Target, PlacementError> {
        // Rate-limited replicas that have no permit now.
        let mut without_permit: Vec<Name> = Vec::new();
        loop {
            let Some(record) = self.pick_replica(&without_permit) else {
                if !without_permit.is_empty() {
                    return self.wait_for_permit(without_permit).await;
                }
                self.wait_for_backoff_end().await?;
                continue;
            };
            if !self.gateway.limits.is_limited(&record.id) {
                return Ok(self.open_plain_slot(record));
            }
            let replica = record.id.clone();
            match limits::take_permit(&self.gateway, vec![replica.clone()], Duration::ZERO).await {
                Ok(_) => return Ok(self.open_plain_slot(record)),
                Err(_) => without_permit.push(replica),
            }
        }
    }

    /// Returns the best replica that has not been tried, is not in `without_permit` and is not in backoff for this
    /// entry.
    fn pick_replica(&self, without_permit: &[Name]) -> Option<Record> {
        let roster = self.gateway.roster.borrow();
        let is_excluded = |id: &Name| {
            self.tried_replicas.contains(id) || without_permit.contains(id) || self.gateway.backoffs.is_backing_off(id)
        };
        self.gateway.replica_picker.borrow().pick(&roster, &self.service, self.route.idempotency, |id| !is_excluded(id))
    }

    /// Opens a slot at a plain replica.
    fn open_plain_slot(&self, record: Record) -> Target {
        let slot = ReplicaSlot::Plain { _guard: OutstandingGuard::begin(&self.gateway, &record.id) };
        Target { record, helpers: Vec::new(), slot }
    }

    /// Returns how much longer a request may wait for a plain replica.
    fn max_plain_wait(&self) -> Duration {
        (self.started + self.route.latency_target.mul_f64(MAX_PERMIT_WAIT_SHARE)).since(now())
    }

    /// Waits for the end of the first backoff of an untried replica. Returns an error if it ends too late.
    async fn wait_for_backoff_end(&self) -> Result<(), PlacementError> {
        let is_untried = |replica: &Name| !self.tried_replicas.contains(replica);
        let Some(backoff) = backoff::next_available_of(&self.gateway, &self.service, is_untried) else {
            return Err(self.no_replica_error());
        };
        if backoff > self.max_plain_wait() {
            return Err(self.no_replica_error());
        }
        event!("backoff-wait", request = %self.request_head.id, wait_ms = backoff.as_millis());
        tokio::time::sleep(backoff.max(MIN_RECHECK_DELAY)).await;
        Ok(())
    }

    /// Waits for a permit of one of `without_permit`, all of which are rate-limited. Returns an error if no permit is
    /// available in time.
    async fn wait_for_permit(&self, without_permit: Vec<Name>) -> Result<Target, PlacementError> {
        let max_wait = self.max_plain_wait();
        match limits::take_permit(&self.gateway, without_permit, max_wait).await {
            Ok(permit) => {
                event!("limit-wait", request = %self.request_head.id, peer = %permit.replica, wait_ms = permit.after.as_millis());
                metric::record_limit_wait();
                tokio::time::sleep(permit.after).await;
                let record = self.gateway.available_replica(&permit.replica);
                record.map(|record| self.open_plain_slot(record)).ok_or(PlacementError::Exhausted)
            }
            Err(delay) => {
                let (limited, usable) = self.count_limited_and_usable();
                event!("limit-refused", request = %self.request_head.id, service = %self.service, next_ms = delay.as_millis(), limited, usable);
                metric::record_limit_refusal();
                // The jitter prevents all refused callers from retrying at the same time, when only one permit is
                // available.
                let retry_after = delay.mul_f64(rand::random_range(1.0..2.0));
                Err(PlacementError::Refused(Rejection::new(Reason::RateLimited, retry_after)))
            }
        }
    }

    /// Waits until engines are granted, for at most the time that the caller's deadline and the policy allow.
    async fn choose_engine_target(&self, tokens: u64) -> Result<Target, PlacementError> {
        let job = self.planner_job(tokens);
        let max_wait = self.route.client_timeout().min(self.timeout).mul_f64(self.max_wait_share());
        let until = (self.started + max_wait).max(now() + MIN_GRANT_WAIT);
        loop {
            if self.gateway.roster.borrow().usable(&self.service).next().is_none() {
                return Err(self.no_replica_error());
            }
            let requested_at = now();
            let time_left = until.since(requested_at);
            let lease = tokio::select! {
                // Granted engines are used even if the wait has ended at the same time.
                biased;
                result = self.gateway.admission.request_engines(&self.service, job) => result,
                () = tokio::time::sleep(time_left) => return Err(PlacementError::Exhausted),
                () = self.gateway.quarantine.wait_until_condemned(&self.identity) => return Err(PlacementError::Exhausted),
                backoff = self.all_in_backoff_beyond(until) => return Err(backoff_error(backoff)),
                // The caller of a new request can still retry at another entry. A broken stream continues to wait,
                // since only this entry can resume it.
                () = self.gateway.wait_for_phase(Phase::Closing), if self.attempts == 0 => return Err(PlacementError::Exhausted),
            };
            let lease = match lease {
                Ok(lease) => lease,
                // Only this entry can resume a broken stream, so the prompt is planned again.
                Err(PlacementError::Refused(_)) if self.attempts > 0 => {
                    tokio::time::sleep(REPLAN_DELAY).await;
                    continue;
                }
                Err(error) => {
                    self.log_rejection(error);
                    let (limited, usable) = self.count_limited_and_usable();
                    event!("placement-failed", request = %self.request_head.id, reason = error.as_str(), waited_ms = now().since(self.started).as_millis(), limited, usable);
                    return Err(error);
                }
            };
            let waited = now().since(requested_at);
            if waited >= MIN_LOGGED_WAIT && self.gateway.admission.has_reservations(&self.service) {
                event!("granted", request = %self.request_head.id, number = lease.number(), waited_ms = waited.as_millis());
            }
            let reserved = match self.locate_team(&lease.placement.team) {
                Some((record, helpers)) => self.reserve_memory(helpers).await.map(|reserved| (record, reserved)),
                // The leader has not learned yet that an engine is gone.
                None => None,
            };
            let Some((record, (helpers, _reservation))) = reserved else {
                drop(lease);
                tokio::time::sleep(REPLAN_DELAY).await;
                continue;
            };
            return Ok(Target { record, helpers, slot: ReplicaSlot::Engine { lease, _reservation } });
        }
    }

    /// Logs what was predicted for a refused prompt.
    fn log_rejection(&self, error: PlacementError) {
        let PlacementError::Refused(rejection) = error else { return };
        let Some(forecast) = rejection.forecast else { return };
        event!(
            "prompt-refused",
            request = %self.request_head.id,
            reason = rejection.reason.as_str(),
            start_in_ms = forecast.start_in.as_millis(),
            first_event_in_ms = forecast.first_event_in.as_millis(),
            ahead = forecast.ahead,
            retry_after_ms = rejection.retry_after.as_millis(),
            promised = rejection.promise.is_some(),
            returned = rejection.is_return
        );
    }

    /// Returns the share of the caller's time that a prompt may wait for engines.
    fn max_wait_share(&self) -> f64 {
        let share = self.gateway.settings.policy.timeout_share;
        match self.gateway.admission.has_forecasts(&self.service) {
            true => share.max(MAX_FORECAST_WAIT_SHARE),
            false => share,
        }
    }

    /// Returns the error of a request that no replica of the service accepts now.
    fn no_replica_error(&self) -> PlacementError {
        if self.gateway.roster.borrow().is_evacuated(&self.service) {
            return PlacementError::Refused(Rejection::new(Reason::Evacuated, EVACUATED_RETRY_AFTER));
        }
        match backoff::next_available(&self.gateway, &self.service) {
            Some(backoff) if !backoff.is_zero() => backoff_error(backoff),
            _ => PlacementError::Exhausted,
        }
    }

    /// Waits until every engine of the service is in backoff for this entry beyond `until`. Returns the time until the
    /// first backoff ends.
    async fn all_in_backoff_beyond(&self, until: Moment) -> Duration {
        loop {
            let backoff_change = self.gateway.backoffs.wait_for_request();
            match backoff::next_available(&self.gateway, &self.service) {
                Some(backoff) if now() + backoff > until && !backoff.is_zero() => return backoff,
                _ => backoff_change.await,
            }
        }
    }

    /// Returns the number of rate-limited replicas of the service, and the number of its usable replicas.
    fn count_limited_and_usable(&self) -> (usize, usize) {
        let roster = self.gateway.roster.borrow();
        let limited = roster.usable(&self.service).filter(|record| self.gateway.limits.is_limited(&record.id)).count();
        (limited, roster.usable(&self.service).count())
    }

    /// Returns the planner's description of the prompt.
    fn planner_job(&self, tokens: u64) -> planner::Job {
        let workspace_priority = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        planner::Job {
            prompt_tokens: tokens,
            max_output_tokens: self.request_head.output_tokens,
            first_event_target: self.started + self.route.latency_target,
            gap_target_ms: self.route.gap_target.as_secs_f64() * 1e3,
            deadline: self.deadline.min(self.started + self.route.client_timeout()),
            priority: combine_priorities(workspace_priority, self.route.priority),
            fingerprint: Some(self.identity.work),
            workspace: self.workspace.as_ref().map(|workspace| planner::Workspace::from_name(&workspace.name)),
        }
    }

    /// Returns the decoding engine and the helpers of a team. Returns `None` if the decoding engine, or a helper that
    /// must reserve memory, no longer accepts requests.
    fn locate_team(&self, team: &Team) -> Option<(Record, Vec<LocatedHelper>)> {
        let find_available = |id: &Name| self.gateway.available_replica(id);
        let mut located = Vec::new();
        for helper in &team.helpers {
            match find_available(&helper.engine) {
                Some(record) => {
                    let helper = LocatedHelper {
                        helper: headers::Helper { address: record.address, reservation: None },
                        reserved_tokens: helper.held_tokens,
                    };
                    located.push(helper);
                }
                None if helper.held_tokens > 0 => return None,
                None => {}
            }
        }
        Some((find_available(&team.decoder)?, located))
    }

    /// Reserves the memory of a prompt at its helpers, either all of it or none. The reservation is absent if no helper
    /// needs to reserve memory.
    async fn reserve_memory(&self, located: Vec<LocatedHelper>) -> Option<(Vec<headers::Helper>, Option<Reservation>)> {
        let reserving = located.iter().filter(|located| located.reserved_tokens > 0);
        let demands: Vec<(Name, u64)> =
            reserving.map(|located| (located.helper.address.clone(), located.reserved_tokens)).collect();
        let mut helpers: Vec<headers::Helper> = located.into_iter().map(|located| located.helper).collect();
        if demands.is_empty() {
            return Some((helpers, None));
        }
        let reservation =
            reservation::acquire(&self.request_head.id, demands, self.gateway.bounds().reservation_duration()).await?;
        for helper in &mut helpers {
            helper.reservation = reservation.id(&helper.address);
        }
        // Reserved memory is filled in the order of the list, so the helpers with a reservation come first.
        helpers.sort_by_key(|helper| helper.reservation.is_none());
        Some((helpers, Some(reservation)))
    }
}
